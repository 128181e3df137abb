//! Observed rate of grants, from which `Retry-After` is estimated.

use std::time::Duration;

use wire::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);
/// Weight of a finished window in the average.
const WEIGHT: f64 = 0.3;
/// Rate assumed at least, so that an idle entry does not send callers away for long.
const MIN_PER_SECOND: f64 = 1.0;
const MIN_RETRY_SECONDS: f64 = 1.0;
const MAX_RETRY_SECONDS: f64 = 30.0;

/// Grants per second, as a moving average over windows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    window: Instant,
    count: u32,
    per_second: f64,
}

impl Pace {
    /// Counts one grant.
    pub fn count(&mut self, now: Instant) {
        let elapsed = now.since(self.window);
        if elapsed >= WINDOW {
            let rate = f64::from(self.count) / elapsed.as_secs_f64();
            self.per_second += WEIGHT * (rate - self.per_second);
            self.window = now;
            self.count = 0;
        }
        self.count += 1;
    }

    /// Returns the time in whole seconds in which a queue of this length is likely to clear.
    pub fn retry_after(&self, queued: usize) -> Duration {
        let rate = self.per_second.max(f64::from(self.count));
        let seconds = (queued + 1) as f64 / rate.max(MIN_PER_SECOND);
        Duration::from_secs_f64(seconds.ceil().clamp(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS))
    }
}
