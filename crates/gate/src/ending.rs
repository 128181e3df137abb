//! Signs that a run of a backend server has ended, and those that show that it goes on.
//!
//! A refused connection may mean that the server's process has ended, or that the server accepts no
//! more connections for a moment.

use std::time::Duration;

use wire::time::Instant;

use crate::event::RequestNumber;

/// Time after the last sign of the end from which data shows that the run goes on. What a process that
/// has ended sent before arrives earlier, unless its packets were lost.
const MIN_PROGRESS_DELAY: Duration = Duration::from_secs(1);
/// Time between two arrivals of data of a response, of which the second shows that the run goes on.
/// Packets that are sent again after a loss arrive together.
const MIN_PROGRESS_SPAN: Duration = Duration::from_millis(250);

/// The end of a run, as far as signs show it. No later run has a connection from before the first
/// sign.
#[derive(Clone, Debug)]
pub struct Ending {
    first_sign: Instant,
    last_sign: Instant,
    /// Requests whose responses went on since the last sign, with the time at which they first did.
    progress: Vec<(RequestNumber, Instant)>,
}

impl Ending {
    /// Returns the ending of a run that has a first sign now.
    pub fn new(now: Instant) -> Ending {
        Ending { first_sign: now, last_sign: now, progress: Vec::new() }
    }

    /// Records another sign.
    pub fn record_sign(&mut self, now: Instant) {
        self.last_sign = now;
        self.progress.clear();
    }

    /// Returns whether a response to a request that was dispatched at `dispatched_at`, on a connection
    /// that was opened at `connected_at`, shows that the run goes on.
    pub fn is_disproved(&self, connected_at: Instant, dispatched_at: Instant) -> bool {
        connected_at < self.first_sign && dispatched_at > self.last_sign
    }

    /// Records data of a response that had not arrived at `waiting_since`, on a connection that was
    /// opened at `connected_at`. Returns whether it shows that the run goes on.
    pub fn record_progress(
        &mut self,
        now: Instant,
        number: RequestNumber,
        connected_at: Instant,
        waiting_since: Instant,
    ) -> bool {
        let is_late = waiting_since >= self.last_sign + MIN_PROGRESS_DELAY;
        if connected_at >= self.first_sign || !is_late {
            return false;
        }
        match self.progress.iter().find(|(other, _)| *other == number) {
            Some((_, since)) => now.since(*since) >= MIN_PROGRESS_SPAN,
            None => {
                self.progress.push((number, now));
                false
            }
        }
    }
}
