//! Requests that wait for a backend server, by tier and arrival.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use crate::{
    admission,
    backends::{self, Backend},
    catalog::RouteKind,
    event::RequestNumber,
    origin::Origin,
    plain_load::Urgency,
    request::Request,
};

/// A request with the properties of its route and account.
#[derive(Clone, Debug)]
pub struct Entry {
    pub request: Request,
    /// Name of the route.
    pub route: Bytes,
    pub service: Bytes,
    pub account: Option<Bytes>,
    /// Units taken from the account's quota.
    pub units: f64,
    pub requires_api_key: bool,
    pub kind: RouteKind,
    pub is_repeatable: bool,
    pub max_attempts: u32,
    pub tier: u32,
    /// Urgency among the requests of its service, when it arrived.
    pub urgency: Urgency,
    /// Whether the objective has passed since the caller's first attempt. Requests that can still
    /// be in time go first.
    pub overdue: bool,
    pub arrived_at: Instant,
    /// Time until which a first event is in time.
    pub objective: Instant,
    /// The route's objective.
    pub objective_duration: Duration,
    /// Longest pause between events of a stream that is in time.
    pub max_pause: Duration,
    /// Output tokens in one event.
    pub tokens_per_event: u32,
    /// Time at which the caller's deadline or the route's timeout ends the request.
    pub deadline: Instant,
    /// Time until which the request waits for a backend server.
    pub wait_until: Instant,
    /// Where the request may run, if its caller has received events.
    pub origin: Origin,
    /// Number of backend servers that may have run the request.
    pub attempts: u32,
    /// Backend servers that the request was sent to and is not sent to again.
    pub excluded: Vec<backends::Key>,
}

impl Entry {
    /// Returns the position among requests of other gateways; the most urgent one is the smallest.
    pub fn rank(&self) -> u32 {
        Rank::from_entry(self).ordinal()
    }

    /// Returns whether the request may be sent to a backend server, apart from its load.
    pub fn admits(&self, key: backends::Key, backend: &Backend) -> bool {
        !self.excluded.contains(&key) && self.origin.admits(backend)
    }

    /// Returns whether the request goes to a server of a plain service, for one answer.
    pub fn is_plain(&self) -> bool {
        self.request.tokens.is_none() && self.kind != RouteKind::Stream
    }

    /// Returns the urgency at a server of a plain service. A second attempt at a server that queues
    /// requests would only add to its queue.
    pub fn plain_urgency(&self) -> Urgency {
        if self.attempts > 0 || self.overdue { Urgency::Overdue } else { self.urgency }
    }

    /// Returns the expected number of events of a stream.
    pub fn expected_events(&self) -> f64 {
        f64::from(self.request.output_tokens()) / f64::from(self.tokens_per_event.max(1))
    }
}

/// Position of a request in its queue. The account's tier comes first. Within it, overdue requests
/// come after all others, even after those of less urgent routes: a late response is worth less to
/// its caller than one in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    account_tier: u32,
    overdue: bool,
    tier: u32,
}

/// Largest tier of an account in a rank.
const MAX_ACCOUNT_TIER: u32 = 0xfff;

impl Rank {
    /// Returns the rank as a number, the most urgent one first. It is the same at all gateways.
    fn ordinal(self) -> u32 {
        let route_tier = self.tier % admission::ROUTE_TIERS;
        (self.account_tier.min(MAX_ACCOUNT_TIER) << 8) | (u32::from(self.overdue) << 7) | route_tier
    }

    fn from_entry(entry: &Entry) -> Rank {
        let account_tier = entry.tier / admission::ROUTE_TIERS;
        Rank { account_tier, overdue: entry.overdue, tier: entry.tier }
    }
}

/// Waiting requests of one service, the most urgent first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeSet<(Rank, RequestNumber)>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, entry: &Entry, number: RequestNumber) {
        self.waiting.insert((Rank::from_entry(entry), number));
    }

    /// Removes a request.
    pub fn remove(&mut self, entry: &Entry, number: RequestNumber) -> bool {
        self.waiting.remove(&(Rank::from_entry(entry), number))
    }

    /// Returns the waiting requests in the order of dispatch.
    pub fn numbers(&self) -> impl Iterator<Item = RequestNumber> {
        self.waiting.iter().map(|(_, number)| *number)
    }

    /// Returns the ranks of waiting requests, the most urgent first, with the number of requests that
    /// have each.
    pub fn ranks(&self) -> Vec<(u32, u32)> {
        let ordinals: Vec<u32> = self.waiting.iter().map(|(rank, _)| rank.ordinal()).collect();
        ordinals.chunk_by(|a, b| a == b).map(|same| (same[0], same.len() as u32)).collect()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
