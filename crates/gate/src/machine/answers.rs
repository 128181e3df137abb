//! What replicas do with the calls that were sent to them.

use std::{collections::HashSet, time::Duration};

use wire::time::Instant;

use super::{Flight, Machine, PROBE_PERIOD, State};
use crate::{
    Action, admit,
    event::{End, Ticket},
    refusal::{Reason, Refusal},
    roster,
};

/// Time for which a replica that refused a call as full gets no other.
const FULL_TIME: Duration = Duration::from_millis(60);

impl Machine {
    /// Takes a dispatched call's work off its replica.
    pub(super) fn release(&mut self, flight: &Flight) {
        let State::Dispatched { replica, began, .. } = flight.state else { return };
        let Some(replica) = self.roster.get_mut(replica) else { return };
        let unread = if began.is_none() { flight.entry.call.prompt_tokens() } else { 0 };
        replica.load.give_back(unread);
    }

    /// Takes a call back from its replica; `ran` says whether it may have run there.
    pub(super) fn take_back(&mut self, ticket: Ticket, ran: bool) -> Option<roster::Key> {
        let mut flight = self.flights.remove(&ticket)?;
        let State::Dispatched { replica, .. } = flight.state else {
            self.flights.insert(ticket, flight);
            return None;
        };
        self.release(&flight);
        if !ran {
            flight.entry.attempts -= 1;
        }
        flight.entry.tried.push(replica);
        flight.state = State::Waiting;
        self.flights.insert(ticket, flight);
        Some(replica)
    }

    /// Puts a call that was taken back into its queue again.
    pub(super) fn requeue(&mut self, ticket: Ticket) {
        if let Some(flight) = self.flights.get(&ticket) {
            let queue = self.queues.entry(flight.entry.service.clone()).or_default();
            queue.push(&flight.entry, ticket);
        }
    }

    pub(super) fn unsent(&mut self, now: Instant, ticket: Ticket) {
        let Some(key) = self.take_back(ticket, false) else { return };
        if let Some(replica) = self.roster.get_mut(key) {
            replica.load.unreachable = true;
            self.probes.entry(key).or_insert(now + PROBE_PERIOD);
        }
        self.requeue(ticket);
    }

    pub(super) fn rejected(
        &mut self,
        now: Instant,
        ticket: Ticket,
        retry_after: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = self.take_back(ticket, false) else { return };
        if let Some(replica) = self.roster.get_mut(key) {
            replica.load.full_until = now + FULL_TIME;
        }
        if self.may_repeat(now, ticket) {
            self.requeue(ticket);
            return;
        }
        let left = self.left(now, ticket);
        let mut refusal = admit::come_back(Reason::Overload, left, &mut self.random);
        refusal.retry_after = retry_after.or(refusal.retry_after);
        self.refuse(now, ticket, refusal, actions);
    }

    pub(super) fn misdirected(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(key) = self.take_back(ticket, false) else { return };
        if let Some(replica) = self.roster.get_mut(key) {
            // The address belongs to another replica now; the record's removal is under way.
            replica.load.put_aside(now);
            replica.load.put_aside(now);
        }
        match self.may_repeat(now, ticket) {
            true => self.requeue(ticket),
            false => {
                let left = self.left(now, ticket);
                let refusal = admit::come_back(Reason::NoReplica, left, &mut self.random);
                self.refuse(now, ticket, refusal, actions);
            }
        }
    }

    /// Returns the time left to a call.
    pub(super) fn left(&self, now: Instant, ticket: Ticket) -> Duration {
        let flight = self.flights.get(&ticket);
        flight.map_or(Duration::ZERO, |flight| flight.entry.deadline.since(now))
    }

    pub(super) fn may_repeat(&mut self, now: Instant, ticket: Ticket) -> bool {
        let Some(flight) = self.flights.get(&ticket) else { return false };
        let gateways = self.peers.known(now);
        let budget = self.budgets.get_mut(&flight.entry.service);
        budget.is_some_and(|budget| budget.spend(now, &self.options.bounds, gateways))
    }

    pub(super) fn began(&mut self, now: Instant, ticket: Ticket) {
        let Some(flight) = self.flights.get_mut(&ticket) else { return };
        let tokens = flight.entry.call.prompt_tokens();
        let State::Dispatched { replica, at, ahead, began } = &mut flight.state else { return };
        if began.is_some() {
            return;
        }
        *began = Some(now);
        let Some(replica) = self.roster.get_mut(*replica) else { return };
        replica.load.pending = replica.load.pending.saturating_sub(tokens);
        let waited = now.since(*at).as_secs_f64() * 1e3;
        replica.load.learn_first(waited, tokens.saturating_add(*ahead));
    }

    pub(super) fn paced(&mut self, ticket: Ticket, events: u32, span: Duration) {
        let state = self.flights.get(&ticket).map(|flight| flight.state);
        let Some(State::Dispatched { replica, .. }) = state else { return };
        if let Some(replica) = self.roster.get_mut(replica) {
            replica.load.learn_events(span.as_secs_f64() * 1e3, events);
        }
    }

    pub(super) fn ended(
        &mut self,
        now: Instant,
        ticket: Ticket,
        end: End,
        actions: &mut Vec<Action>,
    ) {
        match end {
            End::Whole => self.completed(ticket),
            End::Failed | End::Broken => self.failed(now, ticket, end, actions),
        }
    }

    pub(super) fn completed(&mut self, ticket: Ticket) {
        let Some(flight) = self.flights.remove(&ticket) else { return };
        self.release(&flight);
        self.suspects.clear(flight.entry.call.fingerprint);
        let State::Dispatched { replica, .. } = flight.state else { return };
        let Some(replica) = self.roster.get_mut(replica) else { return };
        replica.load.succeeded();
    }

    pub(super) fn failed(
        &mut self,
        now: Instant,
        ticket: Ticket,
        end: End,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&ticket) else { return };
        let fingerprint = flight.entry.call.fingerprint;
        let began = matches!(flight.state, State::Dispatched { began: Some(_), .. });
        let Some(key) = self.take_back(ticket, true) else { return };
        if let Some(replica) = self.roster.get_mut(key) {
            replica.load.failed(now);
            if end == End::Broken && !began {
                self.suspects.crashed(now, fingerprint);
            }
        }
        if self.may_go_on(now, ticket) && self.may_repeat(now, ticket) {
            self.requeue(ticket);
            return;
        }
        self.refuse(now, ticket, Refusal::new(Reason::Lost), actions);
    }

    pub(super) fn silent(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&ticket) else { return };
        let State::Dispatched { replica, .. } = flight.state else { return };
        let mut entry = flight.entry.clone();
        entry.tried.push(replica);
        let other = self.choose(now, &entry, &HashSet::new());
        if other.is_none() || !self.may_go_on(now, ticket) || !self.may_repeat(now, ticket) {
            return;
        }
        if let Some(key) = self.take_back(ticket, true)
            && let Some(replica) = self.roster.get_mut(key)
        {
            replica.load.failed(now);
        }
        if let Some(other) = other {
            self.dispatch(now, ticket, other, actions);
        }
    }

    /// Returns whether a call that may have run can go on at another replica.
    pub(super) fn may_go_on(&self, now: Instant, ticket: Ticket) -> bool {
        self.flights.get(&ticket).is_some_and(|flight| {
            let entry = &flight.entry;
            entry.repeatable
                && entry.attempts < entry.max_attempts
                && now < entry.deadline
                && self.check_key(now, entry).is_ok()
                && self.suspects.quarantine(now, entry.call.fingerprint).is_none()
        })
    }
}
