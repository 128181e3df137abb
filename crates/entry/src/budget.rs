//! Retry budget: a token bucket filled by accepted requests.

/// Offers beyond `spread` allowed before any request was accepted.
const BURST: u64 = 10;
/// Most tokens kept, so that a long quiet time does not pay for a retry storm.
const MAX_TOKENS: u64 = 1_000;
/// Parts of a token; one percent of an accepted request adds one part.
const PARTS: u64 = 100;

/// The tokens left.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    parts: u64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { parts: BURST * PARTS }
    }
}

impl Budget {
    /// Adds the share of one accepted request.
    pub fn accept(&mut self, retry_percent: u32) {
        self.parts = (self.parts + u64::from(retry_percent)).min(MAX_TOKENS * PARTS);
    }

    /// Returns whether an offer can be paid for.
    pub fn allows(&self) -> bool {
        self.parts >= PARTS
    }

    /// Pays for one offer.
    pub fn spend(&mut self) {
        self.parts = self.parts.saturating_sub(PARTS);
    }
}
