//! Load of plain services: the tiers that they get, waits, and the exchange with other gateways
//! while servers have queues.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use super::Machine;
use crate::{
    Action,
    event::RequestNumber,
    message, placement,
    plain_load::{Tiers, Urgency},
    queue::Entry,
    refusal::Reason,
    throttle::Throttle,
};

/// Shortest time between messages with the load to all gateways.
const MIN_SEND_PERIOD: Duration = Duration::from_millis(25);
/// Most of these messages that one gateway sends per second, as to nearby gateways.
const MAX_MESSAGES_PER_S: f64 = 400.0;
/// Time without a request that found all servers at their bounds after which a service is no longer
/// short. It bounds the log lines.
const SHORT_TIME: Duration = Duration::from_secs(1);

/// State of the plain services.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    tiers: HashMap<Bytes, Tiers>,
    throttles: HashMap<Bytes, Throttle>,
    /// Services that are short of capacity, with the time of the last request that found all servers
    /// at their bounds.
    short: HashMap<Bytes, Instant>,
    /// Time from which the load may be sent to all gateways.
    next_send: Instant,
    /// Whether servers had queues when it was last sent. Once they have none, it is sent again, since
    /// others count the earlier one otherwise.
    had_queues: bool,
}

impl Machine {
    /// Returns the number of plain services whose servers are all at their bounds.
    pub fn short_count(&self) -> usize {
        self.plain.short.len()
    }

    /// Records the tier of a request that arrived and returns its urgency.
    pub(super) fn record_tier(&mut self, now: Instant, entry: &Entry) -> Urgency {
        if !entry.is_plain() {
            return Urgency::First;
        }
        let tiers = self.plain.tiers.entry(entry.service.clone()).or_default();
        tiers.record(now, entry.tier);
        if tiers.is_first(now, entry.tier) { Urgency::First } else { Urgency::Later }
    }

    /// Refuses a request that just arrived if the service's throttle says so, the least urgent ones
    /// first.
    pub(super) fn throttle(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get(&number) else { return };
        let entry = &open.entry;
        let Some(throttle) = self.plain.throttles.get(&entry.service) else { return };
        let share = throttle.refused_share();
        let is_refused = match entry.plain_urgency() {
            _ if share == 0.0 || !entry.is_plain() => false,
            Urgency::First => self.rng.f64() < share,
            Urgency::Later => self.rng.f64() < 2.0 * share,
            Urgency::Overdue => true,
        };
        if is_refused {
            let service = entry.service.clone();
            self.record_shortage(now, &service, number);
            self.refuse_waiting(now, number, Reason::Overload, actions);
        }
    }

    /// Records for the service's throttle that a request was answered, in time or not, or rejected.
    pub(super) fn record_plain_outcome(&mut self, entry: &Entry, is_in_time: bool) {
        if entry.is_plain() {
            let throttle = self.plain.throttles.entry(entry.service.clone()).or_default();
            throttle.record(is_in_time);
        }
    }

    /// Bounds the wait of requests while all servers of a plain service are at their bounds, and
    /// refuses those that would wait for longer.
    pub(super) fn bound_plain_waits(
        &mut self,
        now: Instant,
        service: &Bytes,
        actions: &mut Vec<Action>,
    ) {
        let Some(queue) = self.queues.get(service) else { return };
        let numbers: Vec<RequestNumber> = queue.numbers().collect();
        for number in numbers {
            let Some(open) = self.open_requests.get(&number) else { continue };
            let entry = &open.entry;
            if !entry.is_plain() {
                continue;
            }
            let wait = placement::shortest_plain_wait(&self.context(now), entry);
            let Some(wait) = wait.filter(|wait| !wait.is_zero()) else { continue };
            let max_wait = entry.plain_urgency().max_wait(entry.objective_duration);
            let wait_until = entry.wait_until.min(entry.arrived_at + max_wait);
            self.record_shortage(now, service, number);
            if now + wait > wait_until {
                self.refuse_waiting(now, number, Reason::Overload, actions);
            } else if let Some(open) = self.open_requests.get_mut(&number) {
                open.entry.wait_until = wait_until;
            }
        }
    }

    fn record_shortage(&mut self, now: Instant, service: &Bytes, number: RequestNumber) {
        if self.plain.short.insert(service.clone(), now).is_some() {
            return;
        }
        let Some(entry) = self.open_requests.get(&number).map(|open| &open.entry) else { return };
        let (mut servers, mut running, mut most) = (0, 0.0, 0.0);
        for backend in self.backends.usable(service, now) {
            let (load, slots) = (&backend.load, backend.record.slots);
            servers += 1;
            running += load.plain.running(now, load.total_running(), slots);
            most += load.plain.max_running(slots, entry.objective_duration, Urgency::First);
        }
        tracing::info!(
            event = "service_short",
            service = %String::from_utf8_lossy(service),
            usable = servers,
            running = running as u64,
            most = most as u64,
        );
    }

    /// Logs the services that are no longer short.
    pub(super) fn log_plain_load(&mut self, now: Instant) {
        self.plain.short.retain(|service, at| {
            let is_short = now.since(*at) < SHORT_TIME;
            if !is_short {
                let service = String::from_utf8_lossy(service);
                tracing::info!(event = "service_short_ended", %service);
            }
            is_short
        });
    }

    /// Returns whether a server of a plain service has no free slot, by the reports.
    fn has_plain_queue(&self) -> bool {
        self.backends.iter().any(|(_, backend)| {
            backend.load.plain.work_ms().is_some()
                && backend.load.total_running() >= backend.record.slots
        })
    }

    /// Returns whether the load is sent to all gateways as soon as that is allowed again.
    fn is_plain_send_due(&self) -> bool {
        self.load_exchange.is_changed_for_all && (self.plain.had_queues || self.has_plain_queue())
    }

    /// Sends the load and the times of answers to all gateways while servers of a plain service have
    /// queues. Other gateways' loads are known too late otherwise.
    pub(super) fn send_plain_loads(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(from) = self.setup.address else { return };
        if now < self.plain.next_send || !self.is_plain_send_due() {
            return;
        }
        let targets: Vec<_> = self.peers.reachable(now).collect();
        let period = Duration::from_secs_f64(targets.len() as f64 / MAX_MESSAGES_PER_S);
        self.plain.next_send = now + period.max(MIN_SEND_PERIOD);
        self.plain.had_queues = self.has_plain_queue();
        self.load_exchange.is_changed_for_all = false;
        let answers = self.backends.take_answers(now);
        let loads = self.loads_message(from);
        for to in targets {
            let loads = message::PlainLoads { loads: loads.clone(), answers: answers.clone() };
            actions.push(Action::Send { to, datagram: message::Datagram::PlainLoads(loads) });
        }
    }

    /// Returns the time at which the load is sent to all gateways next.
    pub(super) fn next_plain_update(&self) -> Option<Instant> {
        self.is_plain_send_due().then_some(self.plain.next_send)
    }
}
