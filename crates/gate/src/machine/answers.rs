//! What backend servers do with the requests that were sent to them.

use std::{collections::HashSet, time::Duration};

use wire::time::Instant;

use super::{Flight, Machine, PROBE_PERIOD, State};
use crate::{
    Action, admit, backends,
    event::{Outcome, RequestNumber},
    refusal::{Reason, Refusal},
};

/// Time for which a backend server that refused a request as full gets no other.
const FULL_TIME: Duration = Duration::from_millis(60);

impl Machine {
    /// Takes a dispatched request's work off its backend server.
    pub(super) fn release(&mut self, flight: &Flight) {
        let State::Dispatched { backend, began, .. } = flight.state else { return };
        let Some(backend) = self.backends.get_mut(backend) else { return };
        let unread = if began.is_none() { flight.entry.request.prompt_tokens() } else { 0 };
        backend.load.give_back(unread);
    }

    /// Takes a request back from its backend server; `ran` says whether it may have run there.
    pub(super) fn take_back(&mut self, number: RequestNumber, ran: bool) -> Option<backends::Key> {
        let mut flight = self.flights.remove(&number)?;
        let State::Dispatched { backend, .. } = flight.state else {
            self.flights.insert(number, flight);
            return None;
        };
        self.release(&flight);
        if !ran {
            flight.entry.attempts -= 1;
        }
        flight.entry.tried.push(backend);
        flight.state = State::Waiting;
        self.flights.insert(number, flight);
        Some(backend)
    }

    /// Puts a request that was taken back into its queue again.
    pub(super) fn requeue(&mut self, number: RequestNumber) {
        if let Some(flight) = self.flights.get(&number) {
            let queue = self.queues.entry(flight.entry.service.clone()).or_default();
            queue.push(&flight.entry, number);
        }
    }

    pub(super) fn unsent(&mut self, now: Instant, number: RequestNumber) {
        let Some(key) = self.take_back(number, false) else { return };
        if let Some(backend) = self.backends.get_mut(key) {
            backend.load.unreachable = true;
            self.probes.entry(key).or_insert(now + PROBE_PERIOD);
        }
        self.requeue(number);
    }

    pub(super) fn rejected(
        &mut self,
        now: Instant,
        number: RequestNumber,
        retry_after: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = self.take_back(number, false) else { return };
        if let Some(backend) = self.backends.get_mut(key) {
            backend.load.full_until = now + FULL_TIME;
        }
        if self.may_repeat(now, number) {
            self.requeue(number);
            return;
        }
        let left = self.left(now, number);
        let mut refusal = admit::come_back(Reason::Overload, left, &mut self.random);
        refusal.retry_after = retry_after.or(refusal.retry_after);
        self.refuse(now, number, refusal, actions);
    }

    pub(super) fn misdirected(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = self.take_back(number, false) else { return };
        if let Some(backend) = self.backends.get_mut(key) {
            // The address belongs to another backend server now; the record's removal is under way.
            backend.load.put_aside(now);
            backend.load.put_aside(now);
        }
        match self.may_repeat(now, number) {
            true => self.requeue(number),
            false => {
                let left = self.left(now, number);
                let refusal = admit::come_back(Reason::NoReplica, left, &mut self.random);
                self.refuse(now, number, refusal, actions);
            }
        }
    }

    /// Returns the time left to a request.
    pub(super) fn left(&self, now: Instant, number: RequestNumber) -> Duration {
        let flight = self.flights.get(&number);
        flight.map_or(Duration::ZERO, |flight| flight.entry.deadline.since(now))
    }

    pub(super) fn may_repeat(&mut self, now: Instant, number: RequestNumber) -> bool {
        let Some(flight) = self.flights.get(&number) else { return false };
        let gateways = self.peers.serving_count(now);
        let budget = self.budgets.get_mut(&flight.entry.service);
        budget.is_some_and(|budget| budget.spend(now, &self.options.bounds, gateways))
    }

    pub(super) fn began(&mut self, now: Instant, number: RequestNumber) {
        let Some(flight) = self.flights.get_mut(&number) else { return };
        let tokens = flight.entry.request.prompt_tokens();
        let State::Dispatched { backend, at, ahead, began } = &mut flight.state else { return };
        if began.is_some() {
            return;
        }
        *began = Some(now);
        let Some(backend) = self.backends.get_mut(*backend) else { return };
        backend.load.pending = backend.load.pending.saturating_sub(tokens);
        let waited = now.since(*at).as_secs_f64() * 1e3;
        backend.load.learn_first(waited, tokens.saturating_add(*ahead));
    }

    pub(super) fn paced(&mut self, number: RequestNumber, events: u32, span: Duration) {
        let state = self.flights.get(&number).map(|flight| flight.state);
        let Some(State::Dispatched { backend, .. }) = state else { return };
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.load.learn_events(span.as_secs_f64() * 1e3, events);
        }
    }

    pub(super) fn ended(
        &mut self,
        now: Instant,
        number: RequestNumber,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::Complete => self.completed(number),
            Outcome::Failed | Outcome::Broken => self.failed(now, number, outcome, actions),
        }
    }

    pub(super) fn completed(&mut self, number: RequestNumber) {
        let Some(flight) = self.flights.remove(&number) else { return };
        self.release(&flight);
        self.suspects.clear(flight.entry.request.fingerprint);
        let State::Dispatched { backend, .. } = flight.state else { return };
        let Some(backend) = self.backends.get_mut(backend) else { return };
        backend.load.succeeded();
    }

    pub(super) fn failed(
        &mut self,
        now: Instant,
        number: RequestNumber,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&number) else { return };
        let fingerprint = flight.entry.request.fingerprint;
        let began = matches!(flight.state, State::Dispatched { began: Some(_), .. });
        let Some(key) = self.take_back(number, true) else { return };
        if let Some(backend) = self.backends.get_mut(key) {
            backend.load.failed(now);
            if outcome == Outcome::Broken && !began {
                self.suspects.crashed(now, fingerprint);
            }
        }
        if self.may_go_on(now, number) && self.may_repeat(now, number) {
            self.requeue(number);
            return;
        }
        self.refuse(now, number, Refusal::new(Reason::Lost), actions);
    }

    pub(super) fn silent(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&number) else { return };
        let State::Dispatched { backend, .. } = flight.state else { return };
        let mut entry = flight.entry.clone();
        entry.tried.push(backend);
        let other = self.choose(now, &entry, &HashSet::new());
        if other.is_none() || !self.may_go_on(now, number) || !self.may_repeat(now, number) {
            return;
        }
        if let Some(key) = self.take_back(number, true)
            && let Some(backend) = self.backends.get_mut(key)
        {
            backend.load.failed(now);
        }
        if let Some(other) = other {
            self.dispatch(now, number, other, actions);
        }
    }

    /// Returns whether a request that may have run can go on at another backend server.
    pub(super) fn may_go_on(&self, now: Instant, number: RequestNumber) -> bool {
        self.flights.get(&number).is_some_and(|flight| {
            let entry = &flight.entry;
            entry.is_repeatable
                && entry.attempts < entry.max_attempts
                && now < entry.deadline
                && self.check_key(now, entry).is_ok()
                && self.suspects.quarantine(now, entry.request.fingerprint).is_none()
        })
    }
}
