//! Budget of arrivals beyond the first of a request.

use conf::gateway::Bounds;
use wire::time::Instant;

/// Part of the allowed share that one gateway uses. Requests are counted at different moments by
/// gateways and callers, so the rest stays free.
const USED_FRACTION: f64 = 0.6;

/// Budget of one service.
#[derive(Clone, Debug)]
pub struct Budget {
    retries: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Returns a full budget.
    pub fn new(now: Instant, bounds: &Bounds, gateways: usize) -> Budget {
        Budget { retries: max_retries(bounds, gateways), refilled_at: now }
    }

    /// Notes the first arrival of a request.
    pub fn record_request(&mut self, bounds: &Bounds, gateways: usize) {
        let max_retries = max_retries(bounds, gateways) + 1.0;
        self.retries = (self.retries + bounds.retry_ratio * USED_FRACTION).min(max_retries);
    }

    /// Takes one repeat, if there is one.
    pub fn take_retry(&mut self, now: Instant, bounds: &Bounds, gateways: usize) -> bool {
        let max_retries = max_retries(bounds, gateways);
        let windows = now.since(self.refilled_at).as_secs_f64() / bounds.retry_window.as_secs_f64();
        self.refilled_at = now;
        if self.retries < max_retries {
            self.retries = (self.retries + max_retries * windows).min(max_retries);
        }
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

/// Repeats of one gateway beyond the share of requests. A full budget and its refill may fall into
/// one window, so each is half of the gateway's part.
fn max_retries(bounds: &Bounds, gateways: usize) -> f64 {
    bounds.retry_slack * USED_FRACTION / 2.0 / gateways.max(1) as f64
}
