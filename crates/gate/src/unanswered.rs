//! Requests that were given up without a response, and runs of backend servers that ended. A
//! backend server that crashed without closing its connections is noticed only later.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

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
    /// Keys of the prompt parts that may crash the backend server; see `quarantine::part_key`.
    pub parts: Vec<u64>,
    pub run: u64,
    pub dispatched_at: Instant,
    /// Time of the first event of a response that is whole if the backend server has not ended.
    pub whole_since: Option<Instant>,
}

/// Attempts without a response and ended runs.
#[derive(Clone, Debug, Default)]
pub struct Unanswered {
    /// In the order in which they were given up, with the time.
    attempts: VecDeque<(Instant, Attempt)>,
    ended_runs: HashMap<u64, Instant>,
}

impl Unanswered {
    /// Records that an attempt was given up. Returns whether its run is known to have ended.
    pub fn give_up(&mut self, now: Instant, attempt: &Attempt) -> bool {
        self.expire(now);
        if self.ended_runs.contains_key(&attempt.run) {
            return true;
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back((now, attempt.clone()));
        false
    }

    /// Records that a run ended and returns the attempts that were given up before.
    pub fn end_run(&mut self, now: Instant, run: u64) -> Vec<Attempt> {
        self.ended_runs.insert(run, now);
        self.take(now, run)
    }

    /// Removes and returns the attempts at a run that were given up.
    pub fn take(&mut self, now: Instant, run: u64) -> Vec<Attempt> {
        self.expire(now);
        let (taken, rest) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition::<VecDeque<_>, _>(|(_, attempt)| attempt.run == run);
        self.attempts = rest;
        taken.into_iter().map(|(_, attempt)| attempt).collect()
    }

    /// Records that a run answers a request that was dispatched at `dispatched_at`, so that what was
    /// given up before did not end it. Returns these attempts.
    pub fn record_answer(&mut self, run: u64, dispatched_at: Instant) -> Vec<Attempt> {
        let is_disproved =
            |at: Instant, attempt: &Attempt| attempt.run == run && at <= dispatched_at;
        if !self.attempts.iter().any(|(at, attempt)| is_disproved(*at, attempt)) {
            return Vec::new();
        }
        let (disproved, rest) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition::<VecDeque<_>, _>(|(at, attempt)| is_disproved(*at, attempt));
        self.attempts = rest;
        disproved.into_iter().map(|(_, attempt)| attempt).collect()
    }

    /// Records that a run completed a request, so that it has not ended.
    pub fn record_completion(&mut self, run: u64) {
        self.ended_runs.remove(&run);
    }

    fn expire(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.since(at) >= RETENTION;
        while self.attempts.front().is_some_and(|(at, _)| is_expired(*at)) {
            self.attempts.pop_front();
        }
        self.ended_runs.retain(|_, at| now.since(*at) < RETENTION);
    }
}
