//! Bounds that a deployment sets.

use std::time::Duration;

/// Bounds of one gateway process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time after which a withdrawn key may not run anywhere.
    pub revoke: Duration,
    /// Time for a planned stop.
    pub grace: Duration,
    /// Arrivals beyond the first of a call, as a share of calls.
    pub retry_ratio: f64,
    /// Arrivals beyond that share in `retry_window`, for all gateways together.
    pub retry_slack: f64,
    pub retry_window: Duration,
    /// Time over which quotas are counted.
    pub quota_window: Duration,
    /// Share of a quota that may be exceeded.
    pub quota_overage: f64,
    /// Units beyond that share, of all gateways together.
    pub quota_slack: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            revoke: Duration::from_secs(5),
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_slack: 54.0,
            retry_window: Duration::from_secs(10),
            quota_window: Duration::from_secs(8),
            quota_overage: 0.25,
            quota_slack: 140_000.0,
        }
    }
}
