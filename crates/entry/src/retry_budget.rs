//! Retry budget: a token bucket filled by accepted requests.

/// Offers beyond `spread` allowed before any request was accepted.
const INITIAL_TOKENS: u64 = 10;
/// Most tokens kept, so that a long quiet time does not pay for a retry storm.
const MAX_TOKENS: u64 = 1_000;
/// Parts of a token; one percent of an accepted request adds one part.
const PARTS_PER_TOKEN: u64 = 100;

/// The tokens left.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    parts: u64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { parts: INITIAL_TOKENS * PARTS_PER_TOKEN }
    }
}

impl RetryBudget {
    /// Adds the share of one accepted request.
    pub fn add_accepted(&mut self, retry_percent: u32) {
        self.parts = (self.parts + u64::from(retry_percent)).min(MAX_TOKENS * PARTS_PER_TOKEN);
    }

    /// Returns whether an offer can be paid for.
    pub fn has_token(&self) -> bool {
        self.parts >= PARTS_PER_TOKEN
    }

    /// Pays for one offer.
    pub fn spend_token(&mut self) {
        self.parts = self.parts.saturating_sub(PARTS_PER_TOKEN);
    }
}
