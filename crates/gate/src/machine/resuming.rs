//! Streams that callers take up: which service and version began them.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use super::Machine;
use crate::{
    Action,
    event::RequestNumber,
    message,
    origin::Origin,
    refusal::Reason,
    streams::{self, Streams},
};

/// Time for which other gateways are asked for the origin of a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which they are asked again, since datagrams may be lost, and after which the store is
/// read if that may show the origin.
const LOOKUP_PERIOD: Duration = Duration::from_millis(60);
/// Time for which a request waits for a read of the store.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two reads of the store, if the first one fails or was begun too early.
const READ_PERIOD: Duration = Duration::from_millis(150);

/// Time within which a process has read the store. If all gateways start for the first time, no stream
/// has begun before.
const MAX_START_TIME: Duration = Duration::from_secs(5);

/// A search for the origin of a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lookup {
    number: RequestNumber,
    /// Key of the attempt that began the stream, if other gateways can be asked for it.
    attempt: Option<u64>,
    begun_at: Instant,
    next_check: Instant,
}

impl Machine {
    /// Finds the origin of a stream that a caller takes up. If it isn't known here, the request
    /// waits until other gateways have been asked, or the store has been read.
    pub(super) fn find_origin(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get(&number) else { return };
        if open.entry.origin != Origin::Unknown {
            return;
        }
        let resumption = open.entry.request.resumption.as_ref();
        let attempt = resumption.and_then(|from| from.first_attempt.as_ref());
        let attempt = attempt.map(|id| streams::attempt_key(id));
        if let Some(origin) = attempt.and_then(|attempt| self.streams.get(now, attempt)) {
            self.set_origin(now, number, origin, actions);
            return;
        }
        let attempt = attempt.filter(|_| self.peers.reachable(now).next().is_some());
        if attempt.is_none() && self.only_origin(now, number).is_none() {
            self.refuse_waiting(now, number, Reason::NoVersion, actions);
            return;
        }
        self.lookups.push(Lookup { number, attempt, begun_at: now, next_check: now });
    }

    /// Places a request at the service and version that began its stream, or refuses it if none of
    /// its servers is left.
    fn set_origin(
        &mut self,
        now: Instant,
        number: RequestNumber,
        origin: u64,
        actions: &mut Vec<Action>,
    ) {
        let services = self.services_of(number);
        let Some(service) = services.into_iter().find(|service| {
            self.backends.of_service(service).any(|backend| backend.origin == origin)
        }) else {
            self.refuse_waiting(now, number, Reason::NoVersion, actions);
            return;
        };
        let Some(mut open) = self.open_requests.get(&number).cloned() else { return };
        self.dequeue(&open.entry, number);
        open.entry.origin = Origin::Known(origin);
        open.entry.service = service;
        self.enqueue(number, open.entry);
    }

    /// Returns the services that the configuration in force has for a request.
    pub(super) fn services_of(&self, number: RequestNumber) -> Vec<Bytes> {
        let request = self.open_requests.get(&number).map(|open| &open.entry.request);
        let route =
            request.and_then(|request| self.catalog.as_ref()?.route(&request.host, &request.path));
        let split = route.into_iter().flat_map(|route| &route.split);
        split.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the origin of a request's services if streams in progress have no other, as far as
    /// the state in force shows.
    fn only_origin(&self, now: Instant, number: RequestNumber) -> Option<u64> {
        let since = self.confirmed_since;
        let is_first = self.setup.first_start && since.since(self.started_at) < MAX_START_TIME;
        if !is_first && now.since(since) < streams::RETENTION {
            return None;
        }
        let mut origins = HashSet::new();
        for service in self.services_of(number) {
            origins.extend(self.backends.of_service(&service).map(|backend| backend.origin));
            origins.extend(self.streams.departed(now, &service));
        }
        let origin = origins.iter().next().copied();
        origin.filter(|_| origins.len() == 1)
    }

    /// Returns whether the state in force was the published one after a request had arrived. Until
    /// then, its stream may have begun at a backend server that joined since the last confirmation.
    fn is_confirmed_since_arrival(&self, number: RequestNumber) -> bool {
        let open = self.open_requests.get(&number);
        open.is_some_and(|open| self.lease.is_confirmed_since(open.entry.arrived_at))
    }

    /// Sends new streams and queries, and ends the searches that found an origin or took too long.
    pub(super) fn update_streams(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (to, reports) in self.streams.take_unsent(now, self.peers.reachable(now)) {
            actions.push(Action::Send { to, datagram: message::Datagram::Streams(reports) });
        }
        let mut needs_read = false;
        for mut lookup in std::mem::take(&mut self.lookups) {
            let Lookup { number, attempt, begun_at, .. } = lookup;
            let open = self.open_requests.get(&number);
            let open = open.filter(|open| open.entry.origin == Origin::Unknown);
            let Some(id) = open.map(|open| open.entry.request.id.clone()) else { continue };
            let known = attempt.and_then(|attempt| self.streams.get(now, attempt));
            let only = self.only_origin(now, number);
            let waited = now.since(begun_at);
            // Others may know a run that has no record yet.
            let was_asked = attempt.is_none() || waited >= LOOKUP_PERIOD;
            let is_certain = was_asked && self.is_confirmed_since_arrival(number);
            let certain = known.or(only.filter(|_| is_certain));
            if let Some(origin) = certain {
                tracing::info!(
                    event = "origin_found",
                    id = %String::from_utf8_lossy(&id),
                    source = if known.is_some() { "peer" } else { "store" },
                    waited_ms = waited.as_millis() as u64,
                );
                self.set_origin(now, number, origin, actions);
                continue;
            }
            let timeout = if only.is_some() { READ_TIMEOUT } else { LOOKUP_TIMEOUT };
            if waited >= timeout {
                self.refuse_waiting(now, number, Reason::NoVersion, actions);
                continue;
            }
            needs_read |= only.is_some() && was_asked;
            if now >= lookup.next_check {
                lookup.next_check = now + LOOKUP_PERIOD;
                if let Some(attempt) = attempt {
                    self.send_stream_query(now, attempt, actions);
                }
            }
            self.lookups.push(lookup);
        }
        if needs_read && now >= self.next_store_read {
            self.next_store_read = now + READ_PERIOD;
            actions.push(Action::ReadStore);
        }
    }

    /// Returns when `update_streams` has to be called next.
    pub(super) fn next_stream_update(&self) -> Option<Instant> {
        let lookups = self.lookups.iter().map(|lookup| lookup.next_check);
        lookups.chain(self.streams.next_send()).min()
    }

    fn send_stream_query(&self, now: Instant, attempt: u64, actions: &mut Vec<Action>) {
        let Some(from) = self.setup.address else { return };
        for to in Streams::gateways_to_ask(attempt, self.peers.reachable(now)) {
            let query = message::StreamQuery { from, attempt };
            actions.push(Action::Send { to, datagram: message::Datagram::StreamQuery(query) });
        }
    }

    pub(super) fn receive_stream_query(
        &self,
        now: Instant,
        query: &message::StreamQuery,
        actions: &mut Vec<Action>,
    ) {
        let reports = self.streams.reports(now, &[query.attempt]);
        send_streams(query.from, reports, actions);
    }

    /// Sends the streams that a peer keeps, which may have missed them.
    pub(super) fn send_kept_streams(
        &self,
        now: Instant,
        to: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let reports = self.streams.kept_by(now, to, self.peers.reachable(now));
        send_streams(to, reports, actions);
    }
}

fn send_streams(to: SocketAddr, reports: Vec<Vec<message::Stream>>, actions: &mut Vec<Action>) {
    for reports in reports {
        actions.push(Action::Send { to, datagram: message::Datagram::Streams(reports) });
    }
}
