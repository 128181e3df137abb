//! Clock of the state machines; decisions use no other clock.

use std::{sync::OnceLock, time::Duration};

use rustix::time::{ClockId, Timespec, clock_gettime};
use wire::time::Instant;

/// Returns the time since the first call in this process.
///
/// The clock advances while the process is paused and while the host is suspended, so that a
/// process that resumes late finds its grants, leases and timers expired.
pub fn now() -> Instant {
    static ORIGIN: OnceLock<Duration> = OnceLock::new();
    let now = since_boot();
    let origin = *ORIGIN.get_or_init(|| now);
    Instant(now.saturating_sub(origin).as_micros() as u64)
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    Duration::new(tv_sec.unsigned_abs(), tv_nsec.unsigned_abs() as u32)
}
