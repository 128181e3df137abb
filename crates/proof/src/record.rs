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
    pub beside: usize,
}

/// The final answer that a caller saw.
#[derive(Clone, Debug)]
pub enum Answer {
    Whole(Bytes),
    Refused(outcome::Refusal),
}

/// One call with everything its caller saw.
#[derive(Clone, Debug)]
pub struct Call {
    pub entry: usize,
    pub at: Instant,
    pub body: Bytes,
    pub tier: Bytes,
    pub key: Option<Bytes>,
    /// Set once the entry has numbered the request.
    pub request: Option<id::Request>,
    pub started: bool,
    pub received: Vec<u8>,
    pub answers: Vec<(Instant, Answer)>,
    /// Whether the caller's connection ended because the entry was killed or the caller left.
    pub lost: bool,
}

/// One refusal for lack of room, with what the process held at that moment.
#[derive(Clone, Debug)]
pub struct Shed {
    pub at: Instant,
    pub host: Bytes,
    pub tier: tier::Tier,
    pub queued: BTreeMap<u8, u64>,
}

/// Everything that the checker reads.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub runs: Vec<Run>,
    pub calls: BTreeMap<u64, Call>,
    pub heads: BTreeMap<id::Request, request::Head>,
    /// Requests whose offer reached an agent.
    pub arrived: BTreeSet<id::Request>,
    /// Requests whose commitment reached an agent.
    pub granted: BTreeSet<id::Request>,
    pub sheds: Vec<Shed>,
    /// Time and engine of each crash.
    pub crashes: Vec<(Instant, usize)>,
    /// Engine crashes caused by a fingerprint.
    pub poisoned: BTreeMap<u64, u32>,
    /// Time of each drain order or leaving state, with the agent.
    pub leaving: Vec<(Instant, usize)>,
    /// Time at which each such order was lifted.
    pub lifted: Vec<(Instant, usize)>,
    /// Agents and entries stopped as planned, with the requests in progress at that moment.
    pub stopped: Vec<(Instant, Vec<id::Request>)>,
    pub keys: BTreeMap<u64, Result<key::Key, outcome::Refusal>>,
}
