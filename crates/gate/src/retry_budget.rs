//! Retry budget of a service.

use conf::gateway::Bounds;
use wire::time::Instant;

/// Part of the allowed retries that is used. The rest is a margin, since gateways and callers count
/// requests at different times.
const USED_SHARE: f64 = 0.6;

/// Retry budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn full(now: Instant, bounds: &Bounds, gateways: usize) -> RetryBudget {
        RetryBudget { retries: max_retries(bounds, gateways), refilled_at: now }
    }

    /// Returns the budget of a process that started at `started_at`, empty at first since its
    /// predecessor may have used it.
    pub fn started(started_at: Instant) -> RetryBudget {
        RetryBudget { retries: 0.0, refilled_at: started_at }
    }

    /// Records an accepted request, which adds part of a retry to the budget.
    pub fn record_request(&mut self, bounds: &Bounds, gateways: usize) {
        let max_retries = max_retries(bounds, gateways) + 1.0;
        self.retries = (self.retries + bounds.retry_ratio * USED_SHARE).min(max_retries);
    }

    /// Takes a retry and returns whether one was left.
    pub fn take_retry(&mut self, now: Instant, bounds: &Bounds, gateways: usize) -> bool {
        let max_retries = max_retries(bounds, gateways);
        let windows = now.since(self.refilled_at).as_secs_f64() / bounds.retry_window.as_secs_f64();
        self.refilled_at = now;
        let refilled = (self.retries + max_retries * windows).min(max_retries);
        // What requests added beyond a full budget stays, unless more gateways share it now.
        self.retries = self.retries.max(refilled).min(max_retries + 1.0);
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

/// Most retries of one gateway beyond `retry_ratio` of its requests. A full budget and its refill
/// may fall into the same window, so each is half of the gateway's part.
fn max_retries(bounds: &Bounds, gateways: usize) -> f64 {
    bounds.retry_slack * USED_SHARE / 2.0 / gateways.max(1) as f64
}
