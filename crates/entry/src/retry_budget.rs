//! Retry budget: a token bucket filled by accepted requests. Retries are offers beyond the
//! spread and repeated offers within it.

/// Retries allowed before any request was accepted.
const INITIAL_TOKENS: u64 = 10;
/// Limit on saved tokens, so that a long period with few retries does not allow a retry storm.
const MAX_TOKENS: u64 = 1_000;
/// An accepted request adds `retry_percent` parts.
const PARTS_PER_TOKEN: u64 = 100;

/// Tokens left; each allows one retry.
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
    /// Records an accepted request, which adds part of a token to the budget.
    pub fn record_request(&mut self, retry_percent: u32) {
        self.parts = (self.parts + u64::from(retry_percent)).min(MAX_TOKENS * PARTS_PER_TOKEN);
    }

    /// Returns whether a retry is allowed.
    pub fn has_token(&self) -> bool {
        self.parts >= PARTS_PER_TOKEN
    }

    /// Uses up the token for one retry.
    pub fn spend_token(&mut self) {
        self.parts = self.parts.saturating_sub(PARTS_PER_TOKEN);
    }
}
