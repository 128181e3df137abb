//! Whether this process was paused, and what it believed before may be out of date.
//!
//! A process that wakes handles what waited for it in order, so a commitment may come before
//! the settings that order a drain. No work starts until the settings were compared with
//! another process.

use std::time::Duration;

use wire::time::Instant;

/// Period of the timer that shows that the process runs.
const BEAT: Duration = Duration::from_millis(200);
/// Delay of that timer that counts as a pause. Settings take at most 2.5 s to arrive, and the
/// guarantee for a leaving server is 3 s.
const PAUSED: Duration = Duration::from_millis(200);
/// Time after which work starts again without a comparison, since the loss of all other
/// processes must not stop service.
const PATIENCE: Duration = Duration::from_secs(1);

/// Gaps in the run of the process.
#[derive(Debug, Default)]
pub(crate) struct Pause {
    beat: Option<Instant>,
    until: Option<Instant>,
}

impl Pause {
    /// Returns whether the process was paused before this event.
    pub(crate) fn notice(&mut self, now: Instant) -> bool {
        let paused = self.beat.is_some_and(|beat| now > beat + PAUSED);
        if paused {
            self.until = Some(now + PATIENCE);
        }
        self.beat = Some(now + BEAT);
        paused
    }

    /// Returns when the timer is due.
    pub(crate) fn next_beat(&self) -> Option<Instant> {
        self.beat
    }

    /// Records that settings were compared with another process.
    pub(crate) fn refreshed(&mut self) {
        self.until = None;
    }

    /// Returns whether what this process believes may be out of date.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
