//! The recorded history: what engines ran and what callers were told.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use wire::{id, key, outcome, request, tier, time::Instant};

/// One run, recorded by the engine at the moment it receives a dispatch.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub engine: usize,
    pub request: id::Request,
    pub grant: id::Grant,
    pub key: Option<key::Key>,
    pub fingerprint: u64,
    /// Requests that were running on the engine at that moment.
    pub concurrent_requests: usize,
}

/// The final response that a caller saw.
#[derive(Clone, Debug)]
pub enum Response {
    Complete(Bytes),
    Refused(outcome::Refusal),
}

/// One request with everything its caller saw.
#[derive(Clone, Debug)]
pub struct Request {
    pub entry: usize,
    pub at: Instant,
    pub body: Bytes,
    pub tier: Bytes,
    pub key: Option<Bytes>,
    /// Set once the entry has numbered the request.
    pub id: Option<id::Request>,
    pub started: bool,
    pub received: Vec<u8>,
    pub responses: Vec<(Instant, Response)>,
    /// Whether the caller's connection ended because the entry was killed or the caller left.
    pub disconnected: bool,
}

/// One refusal for lack of room, with what the process held at that moment.
#[derive(Clone, Debug)]
pub struct OverloadRefusal {
    pub at: Instant,
    pub host: Bytes,
    pub tier: tier::Tier,
    pub queued: BTreeMap<u8, u64>,
}

/// Everything that the checker reads.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub runs: Vec<Run>,
    pub requests: BTreeMap<u64, Request>,
    pub heads: BTreeMap<id::Request, request::Head>,
    /// Requests whose offer reached an agent.
    pub offers_received: BTreeSet<id::Request>,
    /// Requests whose commitment reached an agent.
    pub commits_received: BTreeSet<id::Request>,
    pub overload_refusals: Vec<OverloadRefusal>,
    /// Time and engine of each crash.
    pub crashes: Vec<(Instant, usize)>,
    /// Engine crashes caused by a fingerprint.
    pub crashes_by_fingerprint: BTreeMap<u64, u32>,
    /// Time of each drain order or leaving state, with the agent.
    pub drain_starts: Vec<(Instant, usize)>,
    /// Time at which each such order was lifted.
    pub drain_ends: Vec<(Instant, usize)>,
    /// Agents and entries stopped as planned, with the requests in progress at that moment.
    pub planned_stops: Vec<(Instant, Vec<id::Request>)>,
    pub keys: BTreeMap<u64, Result<key::Key, outcome::Refusal>>,
}
