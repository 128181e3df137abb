//! Exchange of the load with other gateways. Nearby ones report each change at once, so that gateways
//! in one availability zone don't fill the same backend server.

use std::{net::SocketAddr, time::Duration};

use wire::time::Instant;

use super::Machine;
use crate::{Action, backends, claims, message, queue::Queue, quota};

/// Time between two assignments of the slots for which requests wait at several gateways.
const DIVISION_PERIOD: Duration = Duration::from_millis(100);
/// Time between a report of a nearby gateway and the dispatch of requests that wait, which bounds
/// the processor time that the reports take.
const DISPATCH_DELAY: Duration = Duration::from_millis(5);

/// Shortest time between two divisions of the slots while they are scarce. A division at each event
/// slowed the smallest hosts, which have a sixteenth of a core.
const REFRESH_PERIOD: Duration = Duration::from_millis(5);

/// State of the exchange.
#[derive(Clone, Copy, Debug)]
pub(super) struct State {
    /// Whether the load of this gateway changed since it was sent.
    is_changed: bool,
    /// Time from which it may be sent again.
    next_send: Instant,
    /// Whether it changed since it was sent to all gateways for plain services.
    pub(super) is_changed_for_all: bool,
    /// Whether reports were received that placement does not use yet.
    is_outdated: bool,
    /// Whether more requests wait than there are free slots.
    is_scarce: bool,
    /// Time from which scarce slots are divided anew.
    next_refresh: Instant,
    next_division: Instant,
    /// Time at which waiting requests are dispatched by reports that were received.
    dispatch_at: Option<Instant>,
}

impl State {
    pub(super) fn new(now: Instant) -> State {
        State {
            is_changed: false,
            next_send: now,
            is_changed_for_all: false,
            is_outdated: false,
            is_scarce: false,
            next_refresh: now,
            next_division: now,
            dispatch_at: None,
        }
    }

    /// Records that the load of this gateway changed.
    pub(super) fn mark_changed(&mut self) {
        self.is_changed = true;
        self.is_outdated |= self.is_scarce;
        self.is_changed_for_all = true;
    }
}

impl Machine {
    pub(super) fn receive_loads(&mut self, now: Instant, loads: message::Loads) {
        if self.peers.receive_loads(now, loads).is_err() {
            return;
        }
        self.load_exchange.is_outdated = true;
        let dispatch_at = &mut self.load_exchange.dispatch_at;
        dispatch_at.take_if(|at| now >= *at);
        dispatch_at.get_or_insert(now + DISPATCH_DELAY);
    }

    /// Sends the load to nearby gateways, if it changed and may be sent already.
    pub(super) fn send_loads(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.load_exchange.is_changed || now < self.load_exchange.next_send {
            return;
        }
        let (targets, period) = self.peers.near(now);
        self.load_exchange.is_changed = false;
        self.load_exchange.next_send = now + period;
        self.send_loads_to(&targets, actions);
    }

    /// Sends the load to these gateways.
    pub(super) fn send_loads_to(&mut self, targets: &[SocketAddr], actions: &mut Vec<Action>) {
        let (Some(from), false) = (self.setup.address, targets.is_empty()) else { return };
        let loads = self.loads_message(from);
        for to in targets {
            let datagram = message::Datagram::Loads(loads.clone());
            actions.push(Action::Send { to: *to, datagram });
        }
    }

    /// Returns a message with the load of this gateway.
    pub(super) fn loads_message(&mut self, from: SocketAddr) -> message::Loads {
        self.sequence += 1;
        message::Loads {
            process: self.setup.process,
            from,
            sequence: self.sequence,
            availability_zone: quota::hash(&self.setup.availability_zone),
            loads: self.own_loads(),
            waiting: self.waiting(),
        }
    }

    /// Returns the load of this gateway at backend servers.
    pub(super) fn own_loads(&self) -> Vec<message::Load> {
        let busy = self.backends.iter().filter(|(_, backend)| backend.load.running > 0);
        let loads = busy.map(|(_, backend)| message::Load {
            backend: backend.hash,
            running: backend.load.running.min(u32::from(u16::MAX)) as u16,
            pending: backend.load.pending,
        });
        loads.collect()
    }

    /// Uses the reports of other gateways for placement, if there are new ones.
    pub(super) fn refresh_loads(&mut self, now: Instant) {
        self.load_exchange.dispatch_at.take_if(|at| now >= *at);
        let state = &self.load_exchange;
        let may_refresh = !state.is_scarce || now >= state.next_refresh;
        if (state.is_outdated && may_refresh) || now >= state.next_division {
            self.record_peer_loads(now);
        }
    }

    /// Returns whether a slot that becomes free here may belong to a more urgent request elsewhere,
    /// so that it is not used before the slots are divided anew.
    pub(super) fn withholds_slots(&self) -> bool {
        self.load_exchange.is_scarce
    }

    pub(super) fn record_peer_loads(&mut self, now: Instant) {
        let divides_anew = now >= self.load_exchange.next_division;
        if divides_anew {
            self.load_exchange.next_division = now + DIVISION_PERIOD;
        }
        self.load_exchange.is_outdated = false;
        let own_waiting = self.waiting();
        let reports: Vec<_> = self.peers.reports(now).collect();
        let restricted = self.restricted(now);
        let view = backends::View {
            reports: &reports,
            has_far: self.peers.has_far(now),
            own_address: self.own_address(),
            zone: &self.setup.availability_zone,
            own_waiting: &own_waiting,
            divides_anew,
            restricted: &restricted,
        };
        let is_scarce = self.backends.record_peer_loads(now, &view, &mut self.rng);
        self.load_exchange.is_scarce = is_scarce;
        self.load_exchange.next_refresh = now + REFRESH_PERIOD;
    }

    /// Returns the number of waiting requests by the hash of the service, and that of each rank by
    /// `claims::key`.
    pub(super) fn waiting(&self) -> Vec<(u64, u32)> {
        let mut waiting = Vec::new();
        for (service, queue) in self.queues.iter().filter(|(_, queue)| !queue.is_empty()) {
            let service = quota::hash(service);
            waiting.push((service, queue.len() as u32));
            let ranks = queue.ranks().into_iter();
            waiting.extend(ranks.map(|(rank, count)| (claims::key(service, rank), count)));
        }
        waiting
    }

    /// Records that a request begins to wait, which other gateways have to know at once if it may be
    /// more urgent than theirs.
    pub(super) fn record_wait(&mut self) {
        self.load_exchange.mark_changed();
    }

    fn has_waiting(&self) -> bool {
        self.queues.values().any(|queue: &Queue| !queue.is_empty())
    }

    /// Returns the time of the next tick that sends the load or uses that of others.
    pub(super) fn next_load_update(&self) -> Option<Instant> {
        let state = &self.load_exchange;
        let send = state.is_changed.then_some(state.next_send);
        if !self.has_waiting() {
            return send;
        }
        let refresh = (state.is_scarce && state.is_outdated).then_some(state.next_refresh);
        [send, Some(state.next_division), state.dispatch_at, refresh].into_iter().flatten().min()
    }
}
