//! A request to a plain service.

use std::time::Duration;

use wire::{id, request, tier};

/// Returns the head of a request whose body is `bid`.
pub fn head() -> request::Head {
    request::Head {
        request: id::Request { process: id::Process(1), seq: 1 },
        kind: request::Kind::Service,
        route: "bids".into(),
        pool: "floor".into(),
        account: "casa".into(),
        tier: tier::Tier(0),
        remaining: Duration::from_secs(30),
        prompt_tokens: 1,
        output_tokens: 1,
        fingerprint: 1,
        affinity: 1,
        idempotent: false,
        beyond_spread: false,
        key: None,
        body_len: 3,
        method: "POST".into(),
        path: "/bids/lot-7".into(),
        content_type: "text/plain".into(),
    }
}
