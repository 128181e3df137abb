//! The backend server's run, its silence, and turns of isolated runs.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use wire::time::Instant;

/// Unanswered probes in a row after which the backend server counts as silent.
const SILENT_PROBES: u32 = 3;
/// Pause of new work after a lost or refused connection, unless a probe answers earlier.
const PAUSE: Duration = Duration::from_millis(250);
/// Earlier runs remembered, so that a late message of one is not taken for a restart.
const MAX_RETIRED: usize = 8;
/// Time that ordinary work is held up while the engine empties for an isolated run. Streams
/// that are nearly done end within it; longer ones are not worth an idle engine.
const ISOLATION_HOLD: Duration = Duration::from_millis(500);
/// Ordinary work that waits gets at least this multiple of the time that the last isolated
/// run and the hold before it took.
const ORDINARY_SHARE: u32 = 4;
/// A request that ended without a whole answer counts as running this long, since the crash
/// it may have caused is noticed later.
const VICTIM_TTL: Duration = Duration::from_secs(5);
/// A message that names the same run clears requests that ended at least this long before.
const VICTIM_MIN: Duration = Duration::from_secs(1);
const MAX_VICTIMS: usize = 1024;

/// What a message says about the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Run {
    /// Nothing: no run is named, or one that ended before.
    Unnamed,
    Known,
    /// The first run seen.
    First,
    /// The backend server restarted.
    Changed,
}

/// The backend server as this agent sees it.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    pub(crate) instance: Option<Bytes>,
    retired: VecDeque<Bytes>,
    silent_probes: u32,
    pause_until: Option<Instant>,
    /// Requests that ended without a whole answer, with the time.
    victims: VecDeque<(Instant, u64)>,
    /// Reservations and running requests by fingerprint.
    busy: HashMap<u64, u32>,
    /// Whether a request runs alone.
    pub(crate) isolated: bool,
    /// When an isolated run may take the engine from ordinary work again.
    next_isolation: Instant,
    hold_since: Option<Instant>,
}

impl Engine {
    /// Notes the run that a message names.
    pub(crate) fn observe(&mut self, instance: &Bytes) -> Run {
        if instance.is_empty() || self.retired.contains(instance) {
            return Run::Unnamed;
        }
        match &self.instance {
            Some(known) if known == instance => Run::Known,
            Some(known) => {
                self.retired.push_back(known.clone());
                if self.retired.len() > MAX_RETIRED {
                    self.retired.pop_front();
                }
                self.instance = Some(instance.clone());
                Run::Changed
            }
            None => {
                self.instance = Some(instance.clone());
                Run::First
            }
        }
    }

    pub(crate) fn probe_answered(&mut self) {
        self.silent_probes = 0;
        self.pause_until = None;
    }

    pub(crate) fn probe_unanswered(&mut self) {
        self.silent_probes = self.silent_probes.saturating_add(1);
    }

    /// Pauses new work after a connection failed and returns until when.
    pub(crate) fn pause(&mut self, now: Instant) -> Instant {
        let until = now + PAUSE;
        self.pause_until = Some(until);
        until
    }

    /// Returns whether the backend server can be given work.
    pub(crate) fn answers(&self, now: Instant) -> bool {
        let paused = self.pause_until.is_some_and(|until| until > now);
        !paused && self.silent_probes < SILENT_PROBES
    }

    pub(crate) fn add_busy(&mut self, fingerprint: u64) {
        *self.busy.entry(fingerprint).or_default() += 1;
    }

    pub(crate) fn remove_busy(&mut self, fingerprint: u64) {
        if let Some(count) = self.busy.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.busy.remove(&fingerprint);
            }
        }
    }

    /// Returns whether an equal request runs, or ended so that its effect is not known yet.
    pub(crate) fn is_busy(&self, fingerprint: u64) -> bool {
        self.busy.contains_key(&fingerprint)
    }

    /// Notes a request that ended without a whole answer and returns when it is dropped.
    pub(crate) fn add_victim(&mut self, now: Instant, fingerprint: u64) -> Instant {
        if self.victims.len() == MAX_VICTIMS
            && let Some((_, oldest)) = self.victims.pop_front()
        {
            self.remove_busy(oldest);
        }
        self.add_busy(fingerprint);
        self.victims.push_back((now, fingerprint));
        now + VICTIM_TTL
    }

    /// Returns all victims of a crash and forgets them.
    pub(crate) fn take_victims(&mut self) -> Vec<u64> {
        self.drop_first_victims(self.victims.len())
    }

    /// Drops and returns victims that the present run outlived.
    pub(crate) fn drop_victims(&mut self, now: Instant, answered: bool) -> Vec<u64> {
        let age = if answered { VICTIM_MIN } else { VICTIM_TTL };
        let count = self.victims.iter().take_while(|(at, _)| now.since(*at) >= age).count();
        self.drop_first_victims(count)
    }

    fn drop_first_victims(&mut self, count: usize) -> Vec<u64> {
        let dropped: Vec<u64> = self.victims.drain(..count).map(|(_, victim)| victim).collect();
        for victim in &dropped {
            self.remove_busy(*victim);
        }
        dropped
    }

    /// Returns whether an isolated run is due while ordinary work waits too.
    pub(crate) fn isolation_due(&self, now: Instant) -> bool {
        now >= self.next_isolation
    }

    /// Begins to hold ordinary work so that the engine empties; returns until when, once.
    pub(crate) fn hold(&mut self, now: Instant) -> Option<Instant> {
        if self.hold_since.is_some() {
            return None;
        }
        self.hold_since = Some(now);
        Some(now + ISOLATION_HOLD)
    }

    /// Returns whether ordinary work is held, and ends a hold that ran out.
    pub(crate) fn holds(&mut self, now: Instant) -> bool {
        let held = self.hold_since.is_some_and(|since| now < since + ISOLATION_HOLD);
        if !held && self.hold_since.is_some() {
            self.end_isolation(now);
        }
        held
    }

    /// Ends a hold for which no request waits any more.
    pub(crate) fn cancel_hold(&mut self) {
        self.hold_since = None;
    }

    pub(crate) fn begin_isolation(&mut self, now: Instant) {
        self.isolated = true;
        self.hold_since.get_or_insert(now);
    }

    /// Ends a hold or an isolated run and returns when the next one may begin.
    pub(crate) fn end_isolation(&mut self, now: Instant) -> Instant {
        self.isolated = false;
        let taken = self.hold_since.take().map_or(Duration::ZERO, |since| now.since(since));
        self.next_isolation = now + taken * ORDINARY_SHARE;
        self.next_isolation
    }
}
