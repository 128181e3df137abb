//! State of the backend server: its instance, its availability, and the exclusive runs of suspects,
//! during which it runs no other request.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use wire::time::Instant;

/// Consecutive failed probes after which the backend server counts as unresponsive.
const MAX_FAILED_PROBES: u32 = 3;
/// Pause of new grants after a lost or refused connection. Any message from the backend server ends
/// it early.
const CONNECTION_FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Previous instances kept, so that a late message from one of them is not taken for a restart.
const MAX_EARLIER_INSTANCES: usize = 8;
/// Longest time that grants for other requests are withheld until the backend server is empty and a
/// suspect can run alone. Streams that are nearly done end within it; longer ones would leave the
/// backend server mostly idle.
const MAX_EXCLUSIVE_RUN_PREPARATION: Duration = Duration::from_millis(500);
/// After an exclusive run, queued offers that need none are served for at least this multiple of
/// the time that the run and its preparation took.
const ORDINARY_TIME_FACTOR: u32 = 4;
/// Time for which a request that ended still counts as active, since a crash that it caused is
/// detected only after its end.
const ENDED_TTL: Duration = Duration::from_secs(5);
/// A message from the same instance clears requests that ended at least this long before it.
const MIN_ENDED_AGE: Duration = Duration::from_secs(1);
const MAX_ENDED: usize = 1024;

/// Result of comparing the instance that a message names with the last one seen. An instance is one
/// run of the backend server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The message names no instance, or a previous one.
    Ignored,
    Unchanged,
    /// The first instance seen.
    First,
    /// The instance differs: the backend server has restarted.
    Restarted,
}

/// An attempt that ended and may still prove to have crashed the backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) at: Instant,
    pub(crate) fingerprint: u64,
    pub(crate) ending: cause::Ending,
}

/// The backend server, as derived from its messages and probes.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) instance: Option<Bytes>,
    earlier_instances: VecDeque<Bytes>,
    failed_probes: u32,
    pause_until: Option<Instant>,
    /// Attempts that ended and may still prove to have crashed the backend server, oldest first.
    ended: VecDeque<Attempt>,
    /// Number of reservations, running and recently ended requests of each fingerprint.
    active: HashMap<u64, u32>,
    /// Whether a request has a reserved slot to run alone, or runs alone.
    pub(crate) exclusive: bool,
    /// Earliest time of the next exclusive run while other requests wait.
    next_exclusive_run: Instant,
    /// When the preparation of the exclusive run began, or the run itself if it needed none.
    exclusive_since: Option<Instant>,
}

impl State {
    /// Records the instance that a message names.
    pub(crate) fn observe_instance(&mut self, instance: &Bytes) -> Observation {
        if instance.is_empty() || self.earlier_instances.contains(instance) {
            return Observation::Ignored;
        }
        match &self.instance {
            Some(current) if current == instance => Observation::Unchanged,
            Some(current) => {
                self.earlier_instances.push_back(current.clone());
                if self.earlier_instances.len() > MAX_EARLIER_INSTANCES {
                    self.earlier_instances.pop_front();
                }
                self.instance = Some(instance.clone());
                Observation::Restarted
            }
            None => {
                self.instance = Some(instance.clone());
                Observation::First
            }
        }
    }

    pub(crate) fn mark_responsive(&mut self) {
        self.failed_probes = 0;
        self.pause_until = None;
    }

    pub(crate) fn count_failed_probe(&mut self) {
        self.failed_probes = self.failed_probes.saturating_add(1);
    }

    /// Pauses grants after a connection failed and returns the end of the pause.
    pub(crate) fn pause_grants(&mut self, now: Instant) -> Instant {
        let until = now + CONNECTION_FAILURE_PAUSE;
        self.pause_until = Some(until);
        until
    }

    /// Returns whether requests can be dispatched to the backend server.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        let paused = self.pause_until.is_some_and(|until| until > now);
        !paused && self.failed_probes < MAX_FAILED_PROBES
    }

    pub(crate) fn add_active(&mut self, fingerprint: u64) {
        *self.active.entry(fingerprint).or_default() += 1;
    }

    pub(crate) fn remove_active(&mut self, fingerprint: u64) {
        if let Some(count) = self.active.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.active.remove(&fingerprint);
            }
        }
    }

    /// Returns whether a request with this fingerprint has a slot, or ended so recently that
    /// it may still prove to have crashed the backend server.
    pub(crate) fn is_active(&self, fingerprint: u64) -> bool {
        self.active.contains_key(&fingerprint)
    }

    /// Records an attempt that ended and returns when its entry expires.
    pub(crate) fn add_ended(&mut self, attempt: Attempt) -> Instant {
        if self.ended.len() == MAX_ENDED
            && let Some(oldest) = self.ended.pop_front()
        {
            self.remove_active(oldest.fingerprint);
        }
        self.add_active(attempt.fingerprint);
        self.ended.push_back(attempt);
        attempt.at + ENDED_TTL
    }

    /// Removes and returns all attempts that ended, as suspects of a crash.
    pub(crate) fn remove_all_ended(&mut self) -> Vec<Attempt> {
        self.remove_oldest_ended(self.ended.len())
    }

    /// Removes and returns attempts that ended long enough ago to be cleared of a crash:
    /// [`MIN_ENDED_AGE`] if a message has just confirmed the instance, else [`ENDED_TTL`].
    pub(crate) fn remove_cleared(
        &mut self,
        now: Instant,
        instance_confirmed: bool,
    ) -> Vec<Attempt> {
        let age = if instance_confirmed { MIN_ENDED_AGE } else { ENDED_TTL };
        let count = self.ended.iter().take_while(|attempt| now.since(attempt.at) >= age).count();
        self.remove_oldest_ended(count)
    }

    fn remove_oldest_ended(&mut self, count: usize) -> Vec<Attempt> {
        let removed: Vec<Attempt> = self.ended.drain(..count).collect();
        for attempt in &removed {
            self.remove_active(attempt.fingerprint);
        }
        removed
    }

    /// Returns whether an exclusive run may begin although other requests wait.
    pub(crate) fn is_exclusive_run_due(&self, now: Instant) -> bool {
        now >= self.next_exclusive_run
    }

    /// Starts to withhold other grants until the backend server is empty. Returns the end of the
    /// preparation, or `None` if one is already in progress.
    pub(crate) fn prepare_exclusive_run(&mut self, now: Instant) -> Option<Instant> {
        if self.exclusive_since.is_some() {
            return None;
        }
        self.exclusive_since = Some(now);
        Some(now + MAX_EXCLUSIVE_RUN_PREPARATION)
    }

    /// Returns whether a preparation is in progress, and ends one that timed out.
    pub(crate) fn check_preparation(&mut self, now: Instant) -> bool {
        let in_progress =
            self.exclusive_since.is_some_and(|since| now < since + MAX_EXCLUSIVE_RUN_PREPARATION);
        if !in_progress && self.exclusive_since.is_some() {
            self.end_exclusive_run(now);
        }
        in_progress
    }

    /// Ends a preparation after the last offer that needs an exclusive run has left the queue.
    pub(crate) fn cancel_preparation(&mut self) {
        self.exclusive_since = None;
    }

    pub(crate) fn begin_exclusive_run(&mut self, now: Instant) {
        self.exclusive = true;
        self.exclusive_since.get_or_insert(now);
    }

    /// Ends a preparation or an exclusive run and returns when the next one may begin.
    pub(crate) fn end_exclusive_run(&mut self, now: Instant) -> Instant {
        self.exclusive = false;
        let elapsed = self.exclusive_since.take().map_or(Duration::ZERO, |since| now.since(since));
        self.next_exclusive_run = now + elapsed * ORDINARY_TIME_FACTOR;
        self.next_exclusive_run
    }
}
