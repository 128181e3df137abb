//! Whether this process was paused, and what it believed before may be out of date.
//!
//! A process that wakes handles what waited for it in order, so a commitment may come before
//! the settings that order a drain. No work starts until the settings were compared with
//! another process.

use std::time::Duration;

use wire::time::Instant;

/// Period of the timer that shows that the process runs.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Delay of that timer that counts as a pause. Settings take at most 2.5 s to arrive, and the
/// guarantee for a leaving server is 3 s.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(200);
/// Time after which work starts again without a comparison, since the loss of all other
/// processes must not stop service.
const MAX_REFRESH_WAIT: Duration = Duration::from_secs(1);

/// Gaps in the run of the process.
#[derive(Debug, Default)]
pub(crate) struct Pause {
    next_heartbeat: Option<Instant>,
    stale_until: Option<Instant>,
}

impl Pause {
    /// Returns whether the process was paused before this event.
    pub(crate) fn detect_pause(&mut self, now: Instant) -> bool {
        let paused = self.next_heartbeat.is_some_and(|due| now > due + MAX_HEARTBEAT_DELAY);
        if paused {
            self.stale_until = Some(now + MAX_REFRESH_WAIT);
        }
        self.next_heartbeat = Some(now + HEARTBEAT_PERIOD);
        paused
    }

    /// Returns when the timer is due.
    pub(crate) fn next_heartbeat(&self) -> Option<Instant> {
        self.next_heartbeat
    }

    /// Records that settings were compared with another process.
    pub(crate) fn mark_refreshed(&mut self) {
        self.stale_until = None;
    }

    /// Returns whether what this process believes may be out of date.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.stale_until.is_some_and(|end| now < end)
    }
}
