//! Input of the machine: a request as received from a caller, and the identity of the entry.

use std::time::Duration;

use bytes::Bytes;
use wire::id;

/// A caller's request as parsed by the driver, before the filters.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Number of the caller's connection, chosen by the driver; actions for the caller carry it.
    pub caller: u64,
    pub method: Bytes,
    /// Path with query.
    pub path: Bytes,
    pub content_type: Bytes,
    /// `model` of a chat-completions body, empty otherwise.
    pub model: Bytes,
    pub account: Bytes,
    /// Whether the bearer token matched the API key in the account's settings.
    pub authenticated: bool,
    pub tier: Option<Bytes>,
    /// Time that the caller allows for the response.
    pub deadline: Option<Duration>,
    /// Text of the idempotency key.
    pub idempotency_key: Option<Bytes>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub body_len: u64,
    /// Hash of the body.
    pub body_hash: u64,
    /// Hash of the system prompt and the first 2 KiB of the first user message.
    pub prefix_hash: u64,
}

/// Identity of the entry and the seed of its random numbers.
#[derive(Clone, Debug)]
pub struct Setup {
    pub process: id::Process,
    pub host: Bytes,
    pub availability_zone: Bytes,
    pub seed: u64,
}
