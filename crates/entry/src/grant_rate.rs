//! Rate of grants, from which the time to retry after a refusal is estimated.

use std::time::Duration;

use wire::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);
/// Weight of the latest complete window in the average.
const WINDOW_WEIGHT: f64 = 0.3;
/// Lower bound of the rate, so that an idle entry does not return long retry times.
const MIN_GRANTS_PER_SECOND: f64 = 1.0;
const MIN_RETRY_AFTER_SECONDS: f64 = 1.0;
const MAX_RETRY_AFTER_SECONDS: f64 = 30.0;

/// Grants per second, as a moving average over windows.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantRate {
    window_start: Instant,
    window_grants: u32,
    average_per_second: f64,
}

impl GrantRate {
    /// Counts one grant.
    pub fn record_grant(&mut self, now: Instant) {
        let elapsed = now.since(self.window_start);
        if elapsed >= WINDOW {
            let rate = f64::from(self.window_grants) / elapsed.as_secs_f64();
            self.average_per_second += WINDOW_WEIGHT * (rate - self.average_per_second);
            self.window_start = now;
            self.window_grants = 0;
        }
        self.window_grants += 1;
    }

    /// Returns the estimated time, in whole seconds, until this many waiting requests and one more
    /// have their grants.
    pub fn retry_after(&self, waiting: usize) -> Duration {
        let rate = self.average_per_second.max(f64::from(self.window_grants));
        let seconds = (waiting + 1) as f64 / rate.max(MIN_GRANTS_PER_SECOND);
        Duration::from_secs_f64(
            seconds.ceil().clamp(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS),
        )
    }
}
