//! The one place that reads the clock for decisions.

use std::{sync::OnceLock, time};

use wire::time::Instant;

/// Returns the time since the first call in this process.
///
/// The monotonic clock goes on while the process is paused, so a process that wakes late
/// finds its own grants and timers expired.
pub fn now() -> Instant {
    static ORIGIN: OnceLock<time::Instant> = OnceLock::new();
    let origin = *ORIGIN.get_or_init(time::Instant::now);
    Instant(origin.elapsed().as_micros() as u64)
}
