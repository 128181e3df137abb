//! Monotonic clock of one server.

use std::time;

use wire::time::Instant;

/// Clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock(time::Instant);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock(time::Instant::now())
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Instant {
        Instant(self.0.elapsed().as_micros() as u64)
    }

    /// Waits until `at`.
    pub async fn sleep_until(&self, at: Instant) {
        compio::time::sleep(at.since(self.now())).await;
    }
}
