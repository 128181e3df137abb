//! Detection of pauses of this process, after which its settings may be outdated.
//!
//! A process that resumes handles the messages that queued up in their order, so a commit may come
//! before the settings that order a drain. No request starts until the settings have been compared
//! with those of another process.

use std::time::Duration;

use wire::time::Instant;

/// Period of the timer that shows that the process is running.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Delay of that timer beyond which the process counts as paused. Settings take up to 2.5 s to
/// arrive, and from 3 s after a drain order no request may start on the leaving host, so a longer
/// pause has to be detected.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(200);
/// Time after which requests start again without a comparison, since the loss of all other
/// processes must not stop service.
const MAX_REFRESH_WAIT: Duration = Duration::from_secs(1);

/// Pauses of the process.
#[derive(Debug, Default)]
pub(crate) struct Pause {
    next_heartbeat: Option<Instant>,
    stale_until: Option<Instant>,
}

impl Pause {
    /// Returns whether the process was paused before this event, and restarts the timer.
    pub(crate) fn detect(&mut self, now: Instant) -> bool {
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

    /// Returns whether the settings of this process may be outdated.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.stale_until.is_some_and(|end| now < end)
    }
}
