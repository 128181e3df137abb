//! Evacuated zones: their begin and end, and the requests that have nowhere else to go.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use super::{Machine, OpenRequest};
use crate::{
    Action,
    backends::Backend,
    evacuations::{Change, Evacuations},
    event::RequestNumber,
    origin::Origin,
    queue::Entry,
    refusal::Reason,
};

/// Shortest time for which requests have waited all the while before the dispatches within it tell
/// the rate at which others can be dispatched. It is some times the duration of a plain request.
const MIN_BACKLOG_TIME: Duration = Duration::from_secs(1);
/// Time after which the older half of the dispatches is weighted down, since the capacity changes
/// with the evacuations and servers.
const MAX_BACKLOG_TIME: Duration = Duration::from_secs(2);
/// Factor on the requests that can be dispatched in time by that rate. A request that is refused
/// though it would have been in time costs more than one that waits in vain.
const RATE_MARGIN: f64 = 1.5;

/// Dispatches of a service while requests wait for it.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    since: Instant,
    dispatched: f64,
}

impl Backlog {
    /// Returns the dispatches per second, once they were counted for long enough.
    fn rate(&mut self, now: Instant) -> Option<f64> {
        let span = now.since(self.since);
        if span < MIN_BACKLOG_TIME {
            return None;
        }
        let rate = self.dispatched / span.as_secs_f64();
        if span >= MAX_BACKLOG_TIME {
            self.since = self.since + (span - MIN_BACKLOG_TIME);
            self.dispatched = rate * MIN_BACKLOG_TIME.as_secs_f64();
        }
        Some(rate)
    }
}

/// What is measured of the services that have servers in evacuated zones, by the service's name.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    backlogs: HashMap<Bytes, Backlog>,
}

impl State {
    /// Counts a dispatch.
    pub(super) fn record_dispatch(&mut self, service: &Bytes) {
        if let Some(backlog) = self.backlogs.get_mut(service) {
            backlog.dispatched += 1.0;
        }
    }
}

impl Machine {
    /// Returns the evacuated zones.
    pub fn evacuations(&self) -> &Evacuations {
        self.backends.evacuations()
    }

    /// Applies the item of a zone that was written or removed.
    pub(super) fn apply_evacuation(&mut self, now: Instant, zone: Bytes, is_active: bool) {
        let change = self.backends.change_evacuations(|all| all.apply(now, zone, is_active));
        self.record_evacuation_changes(now, change);
    }

    /// Applies a read of all items.
    pub(super) fn replace_evacuations(&mut self, now: Instant, zones: Vec<Bytes>) {
        let changes = self.backends.change_evacuations(|all| all.replace_all(now, zones));
        self.record_evacuation_changes(now, changes);
    }

    /// Ends the evacuations that the store lost and that were not written again in time.
    pub(super) fn expire_evacuations(&mut self, now: Instant) {
        if self.evacuations().is_empty() {
            return;
        }
        let lease = &self.lease;
        let is_confirmed = |at| lease.is_confirmed_since(at);
        let changes = self.backends.change_evacuations(|all| all.expire(now, is_confirmed));
        self.record_evacuation_changes(now, changes);
    }

    fn record_evacuation_changes(
        &mut self,
        now: Instant,
        changes: impl IntoIterator<Item = Change>,
    ) {
        let age_ms = self.lease.age(now).map(|age| age.as_millis() as u64);
        for Change { zone, source, ended_since } in changes {
            let name = String::from_utf8_lossy(&zone);
            let source = source.name();
            let Some(since) = ended_since else {
                tracing::info!(event = "evacuation_began", zone = %name, source, age_ms);
                continue;
            };
            let lasted_ms = now.since(since).as_millis() as u64;
            tracing::info!(event = "evacuation_ended", zone = %name, source, age_ms, lasted_ms);
            self.servers_returned(now, &zone);
        }
    }

    /// Records that the servers of a zone may be used again, since its evacuation ended.
    fn servers_returned(&mut self, now: Instant, zone: &Bytes) {
        let servers = self.backends.iter().filter(|(_, backend)| backend.record.zone == *zone);
        let runs: Vec<u64> = servers.map(|(_, backend)| backend.run).collect();
        let age_ms = self.lease.age(now).map(|age| age.as_millis() as u64);
        let zone = String::from_utf8_lossy(zone);
        tracing::info!(event = "servers_returned", %zone, servers = runs.len(), age_ms);
        for run in runs {
            self.presume_warm_up(now, run);
        }
    }

    /// Returns whether all servers that may run a request now or later are in evacuated zones.
    /// Servers that leave may not. One that the request was sent to before counts.
    fn is_evacuated(&self, entry: &Entry, services: &[Bytes]) -> bool {
        let may_run = |backend: &&Backend| {
            !backend.load.stated.leaving
                && (entry.origin == Origin::Unknown || entry.origin.admits(backend))
        };
        let backends = services.iter().flat_map(|service| self.backends.of_service(service));
        let mut backends = backends.filter(may_run).peekable();
        backends.peek().is_some() && backends.all(|backend| backend.load.is_evacuated)
    }

    /// Returns the reason for the refusal of a request that no server is left for: `otherwise`,
    /// unless the evacuations are the cause.
    pub(super) fn reason_without_server(&self, number: RequestNumber, otherwise: Reason) -> Reason {
        if self.evacuations().is_empty() {
            return otherwise;
        }
        let Some(entry) = self.open_requests.get(&number).map(|open| &open.entry) else {
            return otherwise;
        };
        let services = match entry.origin {
            Origin::Unknown => self.services_of(number),
            _ => vec![entry.service.clone()],
        };
        match self.is_evacuated(entry, &services) {
            true => Reason::Evacuated,
            false => otherwise,
        }
    }

    /// Refuses the waiting requests of a service whose servers are all in evacuated zones, or all
    /// those of the version that began their stream.
    pub(super) fn refuse_evacuated(
        &mut self,
        now: Instant,
        service: &Bytes,
        actions: &mut Vec<Action>,
    ) {
        if self.evacuations().is_empty() {
            return;
        }
        let Some(queue) = self.queues.get(service) else { return };
        let numbers: Vec<RequestNumber> = queue.numbers().collect();
        for number in numbers {
            if self.reason_without_server(number, Reason::NoBackend) != Reason::Evacuated {
                continue;
            }
            let Some(open) = self.open_requests.get(&number) else { continue };
            let checked = self.check_dispatch(now, &open.entry);
            let reason = checked.err().unwrap_or(Reason::Evacuated);
            self.refuse_waiting(now, number, reason, actions);
        }
    }

    /// Refuses requests of a service with evacuated servers that can't be dispatched before their
    /// waiting time ends, by the rate of dispatches while requests waited: the least urgent ones.
    /// The most urgent request may always wait.
    pub(super) fn refuse_beyond_capacity(
        &mut self,
        now: Instant,
        service: &Bytes,
        actions: &mut Vec<Action>,
    ) {
        if !self.backends.of_service(service).any(|backend| backend.load.is_evacuated) {
            return;
        }
        let Some(queue) = self.queues.get(service).filter(|queue| !queue.is_empty()) else {
            return;
        };
        let backlog = self.evacuating.backlogs.entry(service.clone());
        let backlog = backlog.or_insert(Backlog { since: now, dispatched: 0.0 });
        let Some(rate) = backlog.rate(now) else { return };
        let is_beyond = |(position, number): &(usize, RequestNumber)| {
            let may_refuse = |open: &&OpenRequest| open.entry.attempts == 0;
            let open = self.open_requests.get(number).filter(may_refuse);
            let left = |open: &OpenRequest| open.entry.wait_until.since(now).as_secs_f64();
            open.is_some_and(|open| *position as f64 >= (RATE_MARGIN * rate * left(open)).max(1.0))
        };
        let beyond: Vec<RequestNumber> =
            queue.numbers().enumerate().filter(is_beyond).map(|(_, number)| number).collect();
        for number in beyond {
            self.refuse_waiting(now, number, Reason::Overload, actions);
        }
    }

    /// Discards what was measured of services for which no request waits now.
    pub(super) fn end_backlogs(&mut self) {
        let has_evacuations = !self.evacuations().is_empty();
        let queues = &self.queues;
        self.evacuating.backlogs.retain(|service, _| {
            has_evacuations && queues.get(service).is_some_and(|queue| !queue.is_empty())
        });
    }

    /// Handles a request that was not sent since its backend server left or its zone was evacuated
    /// while it waited for a connection.
    pub(super) fn handle_withdrawn(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        self.put_back_permit(number);
        if self.withdraw_dispatch(now, number, false).is_none() || self.stays_at_former(number) {
            return;
        }
        self.requeue_or_refuse(now, number, actions);
    }
}
