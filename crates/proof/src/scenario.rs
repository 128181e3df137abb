//! Settings and requests of the schedules.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use conf::tree::{Account, Entry, Pool, Route, Tier, Tree};
use wire::{request, tier};
use xxhash_rust::xxh3;

/// The pool of every agent.
pub const POOL: &str = "appraisal";
/// Route of bids, which are requests that are not idempotent and must run at most once.
pub const BIDS: &str = "bids";
/// Names of the tiers, highest first.
pub const TIERS: [&str; 3] = ["floor", "desk", "catalogue"];

/// Returns settings with three tiers, three accounts, a model route and the route of bids.
pub fn tree(max_queued: u32, max_open: u32) -> Tree {
    let text = |text: &'static str| Bytes::from_static(text.as_bytes());
    let tiers = TIERS.iter().enumerate().map(|(rank, name)| {
        let deadline = Duration::from_secs(5 * (rank as u64 + 1));
        let max_deadline = Duration::from_secs(30);
        (text(name), Tier { rank: tier::Tier(rank as u8), deadline, max_deadline })
    });
    let account = Account {
        api_key_sha256: Bytes::new(),
        top_tier: text(TIERS[0]),
        share: 1,
        max_open: 1_000,
    };
    let accounts = ["casa", "museo", "banco"].map(|name| (text(name), account.clone()));
    let model = Route {
        path: text("/v1/chat/completions"),
        model: text("appraiser"),
        kind: request::Kind::Model,
        pool: text(POOL),
        tier: text(TIERS[1]),
        idempotent: true,
        require_key: false,
        max_body_bytes: 1 << 20,
    };
    let bids = Route {
        path: text("/bids"),
        model: Bytes::new(),
        kind: request::Kind::Service,
        idempotent: false,
        require_key: true,
        ..model.clone()
    };
    Tree {
        tiers: tiers.collect(),
        accounts: BTreeMap::from(accounts),
        routes: BTreeMap::from([(text("appraise"), model), (text(BIDS), bids)]),
        pools: BTreeMap::from([(text(POOL), pool(max_queued))]),
        entry: Entry { max_open, ..Entry::default() },
        ..Tree::default()
    }
}

fn pool(max_queued: u32) -> Pool {
    Pool {
        spread: 2,
        hedge: Duration::from_millis(20),
        grant_ttl: Duration::from_millis(250),
        retention: Duration::from_secs(20),
        orphan_ttl: Duration::from_secs(10),
        key_ttl: Duration::from_secs(120),
        resume_limit: Duration::from_secs(3),
        max_running: 4,
        max_prompt_tokens: 8_000,
        short_tokens: 200,
        short_share_percent: 25,
        prefill_tokens_per_s: 20_000,
        max_queued_tokens: 1_000_000,
        max_queued,
        max_ejected_percent: 33,
        quarantine: Duration::from_secs(600),
        checks_fence: false,
    }
}

/// Returns a model request with its body.
pub fn model_request(
    caller: u64,
    tier: &str,
    account: &str,
    text: &str,
) -> (entry::IncomingRequest, Bytes) {
    let body = Bytes::from(format!("{text}-{caller}"));
    (request(caller, tier, account, "/v1/chat/completions", "appraiser", &body, None), body)
}

/// Returns a bid with its body, which depends only on the key.
pub fn bid_request(caller: u64, key: &Bytes) -> (entry::IncomingRequest, Bytes) {
    let body = Bytes::from(format!("bid-{}", String::from_utf8_lossy(key)));
    (request(caller, "floor", "casa", "/bids", "", &body, Some(key.clone())), body)
}

/// Returns a request with a body.
pub fn request(
    caller: u64,
    tier: &str,
    account: &str,
    path: &str,
    model: &str,
    body: &Bytes,
    idempotency_key: Option<Bytes>,
) -> entry::IncomingRequest {
    let copy = |text: &str| Bytes::copy_from_slice(text.as_bytes());
    entry::IncomingRequest {
        caller,
        method: Bytes::from_static(b"POST"),
        path: copy(path),
        content_type: Bytes::from_static(b"application/json"),
        model: copy(model),
        account: copy(account),
        authenticated: false,
        tier: Some(copy(tier)),
        deadline: None,
        idempotency_key,
        prompt_tokens: 100 + (xxh3::xxh3_64(body) % 900) as u32,
        output_tokens: 50,
        body_len: body.len() as u64,
        body_hash: xxh3::xxh3_64(body),
        prefix_hash: xxh3::xxh3_64(body),
    }
}
