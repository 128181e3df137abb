//! The backend server's run, its silence, and turns of isolated runs.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use wire::time::Instant;

/// Unanswered probes in a row after which the backend server counts as silent.
const MAX_FAILED_PROBES: u32 = 3;
/// Pause of new work after a lost or refused connection, unless a probe answers earlier.
const CONNECTION_FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Earlier runs remembered, so that a late message of one is not taken for a restart.
const MAX_EARLIER_INSTANCES: usize = 8;
/// Time that ordinary work is held up while the engine empties for an isolated run. Streams
/// that are nearly done end within it; longer ones are not worth an idle engine.
const MAX_ISOLATION_PREPARATION: Duration = Duration::from_millis(500);
/// Ordinary work that waits gets at least this multiple of the time that the last isolated
/// run and the hold before it took.
const ORDINARY_TIME_FACTOR: u32 = 4;
/// A request that ended without a whole answer counts as running this long, since the crash
/// it may have caused is noticed later.
const ABORTED_TTL: Duration = Duration::from_secs(5);
/// A message that names the same run clears requests that ended at least this long before.
const MIN_ABORTED_AGE: Duration = Duration::from_secs(1);
const MAX_ABORTED: usize = 1024;

/// What a message says about the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// Nothing: no run is named, or one that ended before.
    Ignored,
    Unchanged,
    /// The first run seen.
    First,
    /// The backend server restarted.
    Restarted,
}

/// The backend server as this agent sees it.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) instance: Option<Bytes>,
    earlier_instances: VecDeque<Bytes>,
    failed_probes: u32,
    pause_until: Option<Instant>,
    /// Requests that ended without a whole answer, with the time.
    aborted: VecDeque<(Instant, u64)>,
    /// Reservations and running requests by fingerprint.
    active: HashMap<u64, u32>,
    /// Whether a request runs alone.
    pub(crate) isolated: bool,
    /// When an isolated run may take the engine from ordinary work again.
    next_isolation: Instant,
    isolation_since: Option<Instant>,
}

impl State {
    /// Notes the run that a message names.
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

    /// Pauses new work after a connection failed and returns until when.
    pub(crate) fn pause_grants(&mut self, now: Instant) -> Instant {
        let until = now + CONNECTION_FAILURE_PAUSE;
        self.pause_until = Some(until);
        until
    }

    /// Returns whether the backend server can be given work.
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

    /// Returns whether an equal request runs, or ended so that its effect is not known yet.
    pub(crate) fn is_active(&self, fingerprint: u64) -> bool {
        self.active.contains_key(&fingerprint)
    }

    /// Notes a request that ended without a whole answer and returns when it is dropped.
    pub(crate) fn add_aborted(&mut self, now: Instant, fingerprint: u64) -> Instant {
        if self.aborted.len() == MAX_ABORTED
            && let Some((_, oldest)) = self.aborted.pop_front()
        {
            self.remove_active(oldest);
        }
        self.add_active(fingerprint);
        self.aborted.push_back((now, fingerprint));
        now + ABORTED_TTL
    }

    /// Returns all victims of a crash and forgets them.
    pub(crate) fn remove_all_aborted(&mut self) -> Vec<u64> {
        self.remove_oldest_aborted(self.aborted.len())
    }

    /// Drops and returns victims that the present run outlived.
    pub(crate) fn remove_cleared_aborted(
        &mut self,
        now: Instant,
        instance_confirmed: bool,
    ) -> Vec<u64> {
        let age = if instance_confirmed { MIN_ABORTED_AGE } else { ABORTED_TTL };
        let count = self.aborted.iter().take_while(|(at, _)| now.since(*at) >= age).count();
        self.remove_oldest_aborted(count)
    }

    fn remove_oldest_aborted(&mut self, count: usize) -> Vec<u64> {
        let removed: Vec<u64> =
            self.aborted.drain(..count).map(|(_, fingerprint)| fingerprint).collect();
        for fingerprint in &removed {
            self.remove_active(*fingerprint);
        }
        removed
    }

    /// Returns whether an isolated run is due while ordinary work waits too.
    pub(crate) fn is_isolation_due(&self, now: Instant) -> bool {
        now >= self.next_isolation
    }

    /// Begins to hold ordinary work so that the engine empties; returns until when, once.
    pub(crate) fn prepare_isolation(&mut self, now: Instant) -> Option<Instant> {
        if self.isolation_since.is_some() {
            return None;
        }
        self.isolation_since = Some(now);
        Some(now + MAX_ISOLATION_PREPARATION)
    }

    /// Returns whether ordinary work is held, and ends a hold that ran out.
    pub(crate) fn check_preparation(&mut self, now: Instant) -> bool {
        let in_progress =
            self.isolation_since.is_some_and(|since| now < since + MAX_ISOLATION_PREPARATION);
        if !in_progress && self.isolation_since.is_some() {
            self.end_isolation(now);
        }
        in_progress
    }

    /// Ends a hold for which no request waits any more.
    pub(crate) fn cancel_preparation(&mut self) {
        self.isolation_since = None;
    }

    pub(crate) fn begin_isolation(&mut self, now: Instant) {
        self.isolated = true;
        self.isolation_since.get_or_insert(now);
    }

    /// Ends a hold or an isolated run and returns when the next one may begin.
    pub(crate) fn end_isolation(&mut self, now: Instant) -> Instant {
        self.isolated = false;
        let elapsed = self.isolation_since.take().map_or(Duration::ZERO, |since| now.since(since));
        self.next_isolation = now + elapsed * ORDINARY_TIME_FACTOR;
        self.next_isolation
    }
}
