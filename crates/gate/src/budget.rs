//! Budget of arrivals beyond the first of a request.

use conf::gateway::Bounds;
use wire::time::Instant;

/// Part of the allowed share that one gateway uses. Requests are counted at different moments by
/// gateways and callers, so the rest stays free.
const USED_SHARE: f64 = 0.6;

/// Budget of one service.
#[derive(Clone, Debug)]
pub struct Budget {
    level: f64,
    refilled: Instant,
}

impl Budget {
    /// Returns a full budget.
    pub fn new(now: Instant, bounds: &Bounds, gateways: usize) -> Budget {
        Budget { level: cap(bounds, gateways), refilled: now }
    }

    /// Notes the first arrival of a request.
    pub fn earn(&mut self, bounds: &Bounds, gateways: usize) {
        let cap = cap(bounds, gateways) + 1.0;
        self.level = (self.level + bounds.retry_ratio * USED_SHARE).min(cap);
    }

    /// Takes one repeat, if there is one.
    pub fn spend(&mut self, now: Instant, bounds: &Bounds, gateways: usize) -> bool {
        let cap = cap(bounds, gateways);
        let windows = now.since(self.refilled).as_secs_f64() / bounds.retry_window.as_secs_f64();
        self.refilled = now;
        if self.level < cap {
            self.level = (self.level + cap * windows).min(cap);
        }
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// Repeats of one gateway beyond the share of requests. A full budget and its refill may fall into
/// one window, so each is half of the gateway's part.
fn cap(bounds: &Bounds, gateways: usize) -> f64 {
    bounds.retry_slack * USED_SHARE / 2.0 / gateways.max(1) as f64
}
