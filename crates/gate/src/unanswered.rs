//! Attempts whose backend server may have ended with them, and runs of backend servers that ended. A
//! backend server that crashed without closing its connections is noticed only later.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use cause::Ending;
use wire::time::Instant;

/// Time for which attempts and ended runs are kept. A run's end may be learned only after an
/// outage of the store, and callers may wait as long for a silent response.
const RETENTION: Duration = Duration::from_secs(60);
/// Most attempts kept.
const MAX_ATTEMPTS: usize = 4096;

/// A dispatch without a response, or with one whose end may be that of the backend server.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub fingerprint: u64,
    /// Whether the answer had gone on for a while; see `late_ends`.
    pub is_late: bool,
    /// Keys of the prompt parts that may crash the backend server; see `quarantine::part_key`.
    pub parts: Vec<u64>,
    pub run: u64,
    pub dispatched_at: Instant,
    pub ended_at: Instant,
    pub ending: Ending,
    /// Time of the first event of a response that is whole if the backend server has not ended.
    pub whole_since: Option<Instant>,
}

/// Attempts whose backend server may have ended with them, and ended runs.
#[derive(Clone, Debug, Default)]
pub struct Unanswered {
    /// In the order in which they ended.
    attempts: VecDeque<Attempt>,
    ended_runs: HashMap<u64, Instant>,
}

impl Unanswered {
    /// Records that an attempt ended. Returns whether its run is known to have ended.
    pub fn record(&mut self, now: Instant, attempt: &Attempt) -> bool {
        self.expire(now);
        if self.ended_runs.contains_key(&attempt.run) {
            return true;
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt.clone());
        false
    }

    /// Records that a run ended and returns the attempts that had ended before.
    pub fn end_run(&mut self, now: Instant, run: u64) -> Vec<Attempt> {
        self.ended_runs.insert(run, now);
        self.take(now, run)
    }

    /// Removes and returns the attempts at a run.
    pub fn take(&mut self, now: Instant, run: u64) -> Vec<Attempt> {
        self.expire(now);
        self.take_where(|attempt| attempt.run == run)
    }

    /// Records that a run answers a request that was dispatched at `dispatched_at`, so that attempts
    /// which had ended before did not end it. Returns these attempts.
    pub fn record_answer(&mut self, run: u64, dispatched_at: Instant) -> Vec<Attempt> {
        if self.ended_runs.get(&run).is_some_and(|at| *at <= dispatched_at) {
            self.ended_runs.remove(&run);
        }
        self.take_where(|attempt| attempt.run == run && attempt.ended_at <= dispatched_at)
    }

    /// Removes and returns the attempts whose response is whole, since their runs are still listed.
    /// `listed_since` is the time since which the list was confirmed all the while.
    pub fn take_whole(
        &mut self,
        now: Instant,
        listed_since: Instant,
        is_listed: impl Fn(u64) -> bool,
    ) -> Vec<Attempt> {
        self.take_where(|attempt| {
            attempt.ending.is_whole(now, attempt.ended_at, listed_since) && is_listed(attempt.run)
        })
    }

    /// Returns when a copy of a request last ended with a response that is whole unless its backend
    /// server ended.
    pub fn last_closed(&self, fingerprint: u64) -> Option<Instant> {
        let is_closed = |attempt: &&Attempt| {
            attempt.fingerprint == fingerprint && attempt.whole_since.is_some()
        };
        self.attempts.iter().rev().find(is_closed).map(|attempt| attempt.ended_at)
    }

    /// Records that the record of a run is there again, so that it has not ended.
    pub fn record_return(&mut self, run: u64) {
        self.ended_runs.remove(&run);
    }

    /// Returns the fingerprints of responses that are whole unless their backend servers ended, with the
    /// time from their first events to their ends.
    pub fn closed(&self) -> impl Iterator<Item = (u64, Duration)> {
        self.attempts.iter().filter_map(|attempt| {
            Some((attempt.fingerprint, attempt.ended_at.since(attempt.whole_since?)))
        })
    }

    fn take_where(&mut self, is_taken: impl Fn(&Attempt) -> bool) -> Vec<Attempt> {
        if !self.attempts.iter().any(&is_taken) {
            return Vec::new();
        }
        let (taken, rest) = std::mem::take(&mut self.attempts).into_iter().partition(is_taken);
        self.attempts = rest;
        Vec::from(taken)
    }

    /// Records that a run completed a request, so that it has not ended.
    pub fn record_completion(&mut self, run: u64) {
        self.ended_runs.remove(&run);
    }

    fn expire(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.since(at) >= RETENTION;
        while self.attempts.front().is_some_and(|attempt| is_expired(attempt.ended_at)) {
            self.attempts.pop_front();
        }
        self.ended_runs.retain(|_, at| now.since(*at) < RETENTION);
    }
}
