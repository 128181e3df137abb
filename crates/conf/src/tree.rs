//! The settings tree. It is merged from branches of INI sections; each branch is owned by one team.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use wire::{request, tier};

use crate::{branch, check, merge};

/// Largest body that a route may accept. An agent reads a body together with the rest of its commit
/// into memory.
pub const MAX_BODY_BYTES: u64 = 64 << 20;

/// Path of model routes.
pub const CHAT_PATH: &[u8] = b"/v1/chat/completions";

/// The merged settings in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tree {
    /// `[tier NAME]`.
    pub tiers: BTreeMap<Bytes, Tier>,
    /// `[account NAME]`.
    pub accounts: BTreeMap<Bytes, Account>,
    /// `[route NAME]`.
    pub routes: BTreeMap<Bytes, Route>,
    /// `[pool NAME]`.
    pub pools: BTreeMap<Bytes, Pool>,
    /// `[drain HOST]`: hosts ordered to take no new work.
    pub drains: BTreeMap<Bytes, Drain>,
    /// `[order HOST]`: order to the engine of that host's agent.
    pub orders: BTreeMap<Bytes, Order>,
    /// `[entry]`.
    pub entry: Entry,
}

/// A request tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    pub rank: tier::Tier,
    /// `deadline_ms`: deadline of requests whose caller gives none.
    pub deadline: Duration,
    /// `max_deadline_ms`: upper bound of the deadline that a caller may give.
    pub max_deadline: Duration,
}

impl Default for Tier {
    fn default() -> Tier {
        Tier {
            rank: tier::Tier(0),
            deadline: Duration::from_secs(30),
            max_deadline: Duration::from_secs(300),
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// `api_key_sha256`: hexadecimal SHA-256 of the bearer token; if empty, the account header
    /// alone is enough.
    pub api_key_sha256: Bytes,
    /// `top_tier`: name of the highest tier the account may use.
    pub top_tier: Bytes,
    /// `share`: weight among accounts of the same tier.
    pub share: u32,
    /// `max_open`: upper bound of its open requests at one entry.
    pub max_open: u32,
}

impl Default for Account {
    fn default() -> Account {
        Account { api_key_sha256: Bytes::new(), top_tier: Bytes::new(), share: 1, max_open: 1_000 }
    }
}

impl Account {
    /// Returns whether a caller may use the account, given whether its token matched.
    pub fn admits(&self, authenticated: bool) -> bool {
        authenticated || self.api_key_sha256.is_empty()
    }
}

/// A route from callers to a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// `path`: URL path prefix; for model routes the chat-completions path.
    pub path: Bytes,
    /// `model`: model name that selects this route; empty for services.
    pub model: Bytes,
    pub kind: request::Kind,
    pub pool: Bytes,
    /// `tier`: tier of requests whose caller names none.
    pub tier: Bytes,
    /// `idempotent`: whether a request may safely run more than once.
    pub idempotent: bool,
    /// `require_key`: whether non-idempotent requests need an issued idempotency key.
    pub require_key: bool,
    pub max_body_bytes: u64,
}

impl Default for Route {
    fn default() -> Route {
        Route {
            path: Bytes::from_static(CHAT_PATH),
            model: Bytes::new(),
            kind: request::Kind::Model,
            pool: Bytes::new(),
            tier: Bytes::new(),
            idempotent: true,
            require_key: true,
            max_body_bytes: 1 << 20,
        }
    }
}

/// A pool of backend servers of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// `spread`: number of agents to which a request is offered; others get an offer only after
    /// refusals.
    pub spread: u32,
    /// `hedge_ms`: time to wait for the first agent before the second gets an offer.
    pub hedge: Duration,
    /// `grant_ttl_ms`: time for which a slot stays reserved until the entry commits the request.
    pub grant_ttl: Duration,
    /// `retention_ms`: time for which a finished response is kept, for a repeated request or a
    /// broken connection.
    pub retention: Duration,
    /// `orphan_ttl_ms`: time for which a running stream without a reader continues.
    pub orphan_ttl: Duration,
    /// `key_ttl_ms`: time for which an idempotency key is valid.
    pub key_ttl: Duration,
    /// `resume_limit_ms`: time in which a stream has to be resumed, else the outcome is
    /// `unknown`.
    pub resume_limit: Duration,
    /// `max_running`: upper bound of requests that run on one backend server.
    pub max_running: u32,
    /// `max_prompt_tokens`: upper bound of estimated prompt tokens of requests that have a slot and
    /// whose response has not begun.
    pub max_prompt_tokens: u64,
    /// `short_tokens`: a request up to this prompt size counts as short.
    pub short_tokens: u32,
    /// `short_share_percent`: share of the engine's limits, and of the pool's agents, reserved
    /// for short requests.
    pub short_share_percent: u32,
    /// `prefill_tokens_per_s`: initial estimate of the prefill speed of the slowest engine.
    pub prefill_tokens_per_s: u32,
    /// `max_queued_tokens`: upper bound of estimated prompt tokens queued at an agent.
    pub max_queued_tokens: u64,
    /// `max_queued`: upper bound of requests queued at an agent.
    pub max_queued: u32,
    /// `max_ejected_percent`: share of the pool's agents that may be ejected.
    pub max_ejected_percent: u32,
    /// `quarantine_ms`: time for which a poison request is refused.
    pub quarantine: Duration,
    /// `checks_fence`: whether the engines refuse orders with an old fencing number.
    pub checks_fence: bool,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool {
            spread: 2,
            hedge: Duration::from_millis(20),
            grant_ttl: Duration::from_millis(250),
            retention: Duration::from_secs(60),
            orphan_ttl: Duration::from_secs(10),
            key_ttl: Duration::from_secs(900),
            resume_limit: Duration::from_secs(5),
            max_running: 64,
            max_prompt_tokens: 65_536,
            short_tokens: 1_024,
            short_share_percent: 25,
            prefill_tokens_per_s: 8_000,
            max_queued_tokens: 2_000_000,
            max_queued: 1_024,
            max_ejected_percent: 33,
            quarantine: Duration::from_secs(600),
            checks_fence: false,
        }
    }
}

/// An order to a host to take no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// `reason`: shown to operators.
    pub reason: Bytes,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// `load_model`, `load_adapter`, `set_version` or `set_role`.
    pub action: Bytes,
    pub argument: Bytes,
    /// Fencing number; orders with a lower one are outdated.
    pub fence: u64,
}

/// Limits of every entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// `max_open`: upper bound of open requests.
    pub max_open: u32,
    /// `max_held_bytes`: upper bound of bytes of request bodies in memory.
    pub max_held_bytes: u64,
    /// `retry_percent`: upper bound of retries, as a share of accepted requests.
    pub retry_percent: u32,
}

impl Default for Entry {
    fn default() -> Entry {
        Entry { max_open: 10_000, max_held_bytes: 1 << 30, retry_percent: 10 }
    }
}

/// The sections of one branch, checked on their own, and whether `[entry]` is one of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Branch(pub Tree, pub(crate) bool);

/// Parses and checks one branch. The same text gives the same result in every process.
///
/// # Errors
///
/// Returns every error of the branch.
pub fn parse(name: &str, text: &str) -> Result<Branch, Vec<check::Error>> {
    branch::parse(name, text)
}

/// Returns the kinds and names of the sections of a branch, whether or not their keys are valid.
/// Returns `None` if the text can't be split into sections.
pub fn section_names(text: &str) -> Option<BTreeSet<(String, String)>> {
    branch::section_names(text)
}

/// Merges branches. A section defined in two branches is taken from the first branch in name
/// order. The second value lists such conflicts and references to undefined names; a section
/// with such a reference is left out of the tree.
pub fn merge(branches: &BTreeMap<Bytes, Branch>) -> (Tree, Vec<check::Error>) {
    merge::merge(branches)
}
