//! Offers: a request shown to an agent with nothing committed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{id, outcome, request};

/// Asks an agent for a place in its queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    pub head: request::Head,
    /// Hash of the sender's settings digest; a mismatch starts an exchange.
    pub settings: u64,
}

/// The agent's answer to an offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A slot is reserved; the grant must arrive within `ttl` by the agent's clock.
    Ready { grant: id::Grant, ttl: Duration },
    /// The offer is void. The outcome is always `not_run` but for idempotency keys.
    Refused(outcome::Refusal),
}
