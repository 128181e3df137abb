//! The recorded history: what engines ran and what callers received.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use wire::{id, key, outcome, request, tier, time::Instant};

/// A run of a request, recorded when the engine receives its dispatch.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub engine: usize,
    pub request: id::Request,
    pub grant: id::Grant,
    pub key: Option<key::Key>,
    pub fingerprint: u64,
    /// Number of requests that were running on the engine at that moment.
    pub concurrent_requests: usize,
}

/// The final response that a caller received.
#[derive(Clone, Debug)]
pub enum Response {
    Complete(Bytes),
    Refused(outcome::Refusal),
}

/// A request with everything that its caller received.
#[derive(Clone, Debug)]
pub struct Request {
    pub entry: usize,
    pub at: Instant,
    pub body: Bytes,
    pub tier: Bytes,
    pub key: Option<Bytes>,
    /// `None` until the entry has assigned an id.
    pub id: Option<id::Request>,
    pub started: bool,
    pub received: Vec<u8>,
    pub responses: Vec<(Instant, Response)>,
    /// Whether the connection ended without a response because the entry was down or the
    /// caller closed it.
    pub disconnected: bool,
}

/// A refusal for lack of capacity, with the queue of the refusing process at that moment.
#[derive(Clone, Debug)]
pub struct OverloadRefusal {
    pub at: Instant,
    pub host: Bytes,
    pub tier: tier::Tier,
    pub queued: BTreeMap<u8, u64>,
}

/// The history that the checker reads.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub runs: Vec<Run>,
    /// Requests by caller.
    pub requests: BTreeMap<u64, Request>,
    pub heads: BTreeMap<id::Request, request::Head>,
    /// Requests whose offer reached an agent.
    pub offers_received: BTreeSet<id::Request>,
    /// Requests whose commit reached an agent.
    pub commits_received: BTreeSet<id::Request>,
    pub overload_refusals: Vec<OverloadRefusal>,
    /// Time and engine of each crash.
    pub crashes: Vec<(Instant, usize)>,
    /// Number of engine crashes that requests with each fingerprint caused.
    pub crashes_by_fingerprint: BTreeMap<u64, u32>,
    /// Time and agent of each drain order and of each change to leaving in the host list.
    pub drain_starts: Vec<(Instant, usize)>,
    /// Time and agent of each end of such a drain or leaving state.
    pub drain_ends: Vec<(Instant, usize)>,
    /// Time of each planned stop of an agent, with the requests in flight at its engine.
    pub planned_stops: Vec<(Instant, Vec<id::Request>)>,
    /// Responses to requests for idempotency keys, by caller.
    pub keys: BTreeMap<u64, Result<key::Key, outcome::Refusal>>,
}
