//! Calls that wait for a replica, by tier and arrival.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use crate::{admit, call::Call, catalog::Kind, event::Ticket, roster};

/// A call with what its route and account say of it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub call: Call,
    pub service: Bytes,
    pub account: Option<Bytes>,
    /// Units taken from the account's quota.
    pub units: f64,
    pub keyed: bool,
    pub kind: Kind,
    pub repeatable: bool,
    pub max_attempts: u32,
    pub tier: u32,
    /// The objective has passed since the caller's first call. Calls that can still be in time
    /// go before it.
    pub overdue: bool,
    pub arrived: Instant,
    /// Time within which the first event is in time.
    pub objective: Instant,
    /// The route's objective.
    pub span: Duration,
    /// Longest pause between events of a stream that is in time.
    pub max_pause: Duration,
    /// Output tokens in one event.
    pub stride: u32,
    /// End of the time that the call may take.
    pub deadline: Instant,
    /// Time until which the call waits for a replica.
    pub give_up: Instant,
    /// Replicas that may have run the call.
    pub attempts: u32,
    /// Replicas that the call was sent to and should not be sent to again.
    pub tried: Vec<roster::Key>,
}

impl Entry {
    /// Returns the expected number of events of a stream.
    pub fn expected_events(&self) -> f64 {
        f64::from(self.call.output_tokens()) / f64::from(self.stride.max(1))
    }
}

/// Place of a call in its queue. The account's tier goes first. An overdue call of an urgent route
/// gains its caller less than one of another route that can still be in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    account: u32,
    overdue: bool,
    tier: u32,
}

impl Rank {
    fn of(entry: &Entry) -> Rank {
        let account = entry.tier / admit::ROUTE_TIERS;
        Rank { account, overdue: entry.overdue, tier: entry.tier }
    }
}

/// Waiting calls of one service, the most urgent first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeSet<(Rank, Ticket)>,
}

impl Queue {
    /// Adds a call.
    pub fn push(&mut self, entry: &Entry, ticket: Ticket) {
        self.waiting.insert((Rank::of(entry), ticket));
    }

    /// Removes a call.
    pub fn remove(&mut self, entry: &Entry, ticket: Ticket) -> bool {
        self.waiting.remove(&(Rank::of(entry), ticket))
    }

    /// Returns the waiting calls in the order of their dispatch.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiting.iter().map(|(_, ticket)| *ticket)
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
