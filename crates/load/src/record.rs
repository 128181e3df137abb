//! Record of a run: the progress and outcome of each request.

use std::collections::BTreeMap;

use wire::{outcome::Reason, time::Instant};

use crate::{deployment::CALLER_LATENCY, workload::Request};

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response is complete; contains the time at which the caller received it.
    Complete(Instant),
    Refused(Reason),
    /// The caller cancelled at the deadline.
    TimedOut,
}

/// Progress of one request.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    pub first_token: Option<Instant>,
    pub last_token: Option<Instant>,
    pub outcome: Option<Outcome>,
    /// Number of outcomes beyond the first; not 0 only if the policy or the simulation is faulty.
    pub extra_outcomes: u32,
}

/// Record of a run.
#[derive(Debug, Default)]
pub struct Record {
    pub requests: Vec<Progress>,
    /// Number of times between tokens by their length in microseconds, which is rounded down to a
    /// multiple of 100.
    pub token_gaps: BTreeMap<u64, u64>,
    pub counters: BTreeMap<String, u64>,
}

/// Resolution of recorded times between tokens, in microseconds.
const GAP_STEP_US: u64 = 100;

impl Record {
    pub(crate) fn new(count: usize) -> Record {
        Record { requests: vec![Progress::default(); count], ..Record::default() }
    }

    /// Records a token that left the entry at `now`.
    pub(crate) fn record_token(&mut self, index: usize, now: Instant) {
        let now = now + CALLER_LATENCY;
        let progress = &mut self.requests[index];
        progress.first_token.get_or_insert(now);
        if let Some(last) = progress.last_token.replace(now) {
            let gap = now.since(last).as_micros() as u64 / GAP_STEP_US * GAP_STEP_US;
            *self.token_gaps.entry(gap).or_default() += 1;
        }
    }

    /// Records the outcome of a request.
    pub(crate) fn record_outcome(&mut self, index: usize, outcome: Outcome) {
        let progress = &mut self.requests[index];
        match progress.outcome {
            None => progress.outcome = Some(outcome),
            Some(_) => progress.extra_outcomes += 1,
        }
    }

    /// Returns whether the response to a request was complete and in time.
    pub fn counts_as_goodput(&self, index: usize, request: &Request) -> bool {
        let Some(Outcome::Complete(at)) = self.requests[index].outcome else { return false };
        // The deadline applies from the arrival at the entry to the departure from it.
        at.since(request.sent) <= request.class.deadline() + CALLER_LATENCY * 2
    }
}
