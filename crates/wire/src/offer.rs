//! Offers, by which an entry asks an agent whether it accepts a request, without a commitment.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{id, outcome, request};

/// Asks an agent to queue a request and reserve a slot for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    pub head: request::Head,
    /// Hash of the sender's settings digest; a mismatch starts an exchange of settings.
    pub settings: u64,
}

/// The agent's reply to an offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A slot is reserved; the grant must arrive within `ttl` by the agent's clock.
    Ready { grant: id::Grant, ttl: Duration },
    /// The offer is refused. The outcome is always `not_run`, except for idempotency keys.
    Refused(outcome::Refusal),
}
