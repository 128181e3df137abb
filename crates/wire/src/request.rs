//! The description of a request without its body.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{id, key, tier};

/// Whether a request runs on a model engine or on a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Model,
    Service,
}

/// The part of a request that scheduling decisions need; the body stays at the entry
/// until a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub request: id::Request,
    pub kind: Kind,
    pub route: Bytes,
    pub pool: Bytes,
    pub account: Bytes,
    pub tier: tier::Tier,
    /// Time left until the caller's deadline when this message was sent.
    pub remaining: Duration,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// Hash of account, route and body; equal for a repeated request.
    pub fingerprint: u64,
    /// Hash of account, model and the start of the prompt; equal for requests that can
    /// share a cached prefix.
    pub affinity: u64,
    pub idempotent: bool,
    /// Whether the offer goes to an agent beyond the request's spread. Suspects are not run
    /// there, since a poison request could crash a third engine.
    #[serde(default)]
    pub beyond_spread: bool,
    pub key: Option<key::Key>,
    pub body_len: u64,
    /// Method and path with query of a request to a plain service; fixed for model requests.
    pub method: Bytes,
    pub path: Bytes,
    pub content_type: Bytes,
}
