//! Detection of pauses of this process while requests with an idempotency key are open.
//!
//! The refusal of such a request says that nothing ran with its key. When the process resumes, a
//! refusal that it receives may be old, and another request with the key may have run since.

use std::time::Duration;

use wire::time::Instant;

/// Period of the timer that shows that the process is running.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Delay of that timer beyond which the process counts as paused.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(200);

/// Timer of the process, which runs while it is needed.
#[derive(Debug, Default)]
pub struct Pause {
    next_heartbeat: Option<Instant>,
}

impl Pause {
    /// Returns whether the process was paused before this event.
    pub fn detect(&self, now: Instant) -> bool {
        self.next_heartbeat.is_some_and(|due| now > due + MAX_HEARTBEAT_DELAY)
    }

    /// Restarts the timer, or stops it if it isn't needed.
    pub fn restart(&mut self, now: Instant, is_needed: bool) {
        self.next_heartbeat = is_needed.then_some(now + HEARTBEAT_PERIOD);
    }

    /// Returns when the timer is due.
    pub fn next_heartbeat(&self) -> Option<Instant> {
        self.next_heartbeat
    }
}
