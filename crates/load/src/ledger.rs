//! What became of each call.

use std::collections::BTreeMap;

use wire::{outcome::Reason, time::Instant};

use crate::{deployment::CALLER_LATENCY, workload::Call};

/// Final answer of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answered in full; the time is that at the caller.
    Whole(Instant),
    Refused(Reason),
    /// The caller gave up.
    TimedOut,
}

/// Progress of one call.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    pub first_token: Option<Instant>,
    pub last_token: Option<Instant>,
    pub answer: Option<Answer>,
    /// Final answers beyond the first, which are errors of the policy or of the runner.
    pub extra: u32,
}

/// Record of a run.
#[derive(Debug, Default)]
pub struct Ledger {
    pub entries: Vec<Entry>,
    /// Microseconds between tokens, with counts, as rounded to the histogram's precision.
    pub gaps: BTreeMap<u64, u64>,
    pub counters: BTreeMap<String, u64>,
}

/// Gaps are kept to this precision, in microseconds.
const GAP_STEP: u64 = 100;

impl Ledger {
    pub(crate) fn new(calls: usize) -> Ledger {
        Ledger { entries: vec![Entry::default(); calls], ..Ledger::default() }
    }

    /// Notes a token that left the entry.
    pub(crate) fn token(&mut self, call: usize, now: Instant) {
        let now = now + CALLER_LATENCY;
        let entry = &mut self.entries[call];
        entry.first_token.get_or_insert(now);
        if let Some(last) = entry.last_token.replace(now) {
            let gap = now.since(last).as_micros() as u64 / GAP_STEP * GAP_STEP;
            *self.gaps.entry(gap).or_default() += 1;
        }
    }

    /// Notes a final answer that left the entry.
    pub(crate) fn answer(&mut self, call: usize, answer: Answer) {
        let entry = &mut self.entries[call];
        match entry.answer {
            None => entry.answer = Some(answer),
            Some(_) => entry.extra += 1,
        }
    }

    /// Returns whether a call was answered in full and in time.
    pub fn is_good(&self, index: usize, call: &Call) -> bool {
        let Some(Answer::Whole(at)) = self.entries[index].answer else { return false };
        // The deadline counts from the arrival at the entry to the departure from it.
        at.since(call.sent) <= call.class.deadline() + CALLER_LATENCY * 2
    }
}
