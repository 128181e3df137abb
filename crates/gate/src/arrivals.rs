//! Rate at which requests arrive.

use std::time::Duration;

use wire::time::Instant;

/// Time constant of the moving average.
const PERIOD: Duration = Duration::from_secs(1);
/// Rate below which no arrival is expected, in requests a second. A permit that is demanded ahead
/// would mostly expire.
const MIN_RATE: f64 = 0.5;

/// Moving average of the arrivals per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrivals {
    per_s: f64,
    at: Instant,
}

impl Arrivals {
    /// Records an arrival.
    pub fn record(&mut self, now: Instant) {
        self.per_s = self.rate(now) + 1.0 / PERIOD.as_secs_f64();
        self.at = now;
    }

    /// Returns the number of arrivals that are expected within `span`.
    pub fn expected(&self, now: Instant, span: Duration) -> f64 {
        let rate = self.rate(now);
        if rate < MIN_RATE { 0.0 } else { rate * span.as_secs_f64() }
    }

    fn rate(&self, now: Instant) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / PERIOD.as_secs_f64()).exp()
    }
}
