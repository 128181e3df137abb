//! Ends of backend servers whose answers to a request had gone on for a while.
//!
//! A request that ends its server at some point of the answer does so at each server. If the answer
//! to another copy gets further, the request is not the cause.

use std::{collections::HashMap, time::Duration};

use cause::answer::CONTINUATION_TIME;
use wire::time::Instant;

use crate::quota;

/// Time after an end in which the answers to other copies may get further.
const COMPARISON_TIME: Duration = Duration::from_secs(1);

/// Returns the key under which such ends are counted against a request. Others are disproved by an
/// answer that goes on, and these aren't.
pub fn late_key(fingerprint: u64) -> u64 {
    quota::hash(&[&b"late "[..], &fingerprint.to_be_bytes()].concat())
}

/// The end of a run while it answered a request.
#[derive(Clone, Copy, Debug)]
pub struct LateEnd {
    pub fingerprint: u64,
    pub run: u64,
    pub dispatched_at: Instant,
    pub at: Instant,
    /// Time from the begin of the answer to the end.
    pub answered_for: Duration,
}

/// Ends that don't count yet, in the order of their times.
#[derive(Clone, Debug, Default)]
pub struct LateEnds {
    pending: Vec<LateEnd>,
}

impl LateEnds {
    /// Adds an end.
    pub fn add(&mut self, end: LateEnd) {
        self.pending.push(end);
    }

    /// Returns when the next end is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.pending.first().map(|end| end.at + COMPARISON_TIME)
    }

    /// Removes the ends that are due and returns those that count. `answers` has the fingerprint of each
    /// answer in progress and the time since it began.
    pub fn take_due(
        &mut self,
        now: Instant,
        answers: impl Iterator<Item = (u64, Duration)>,
    ) -> Vec<LateEnd> {
        if self.next_due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        let due = self.pending.partition_point(|end| end.at + COMPARISON_TIME <= now);
        let mut due: Vec<LateEnd> = self.pending.drain(..due).collect();
        let mut longest: HashMap<u64, Duration> = HashMap::new();
        for (fingerprint, time) in answers {
            let longest = longest.entry(fingerprint).or_default();
            *longest = time.max(*longest);
        }
        due.retain(|end| {
            let longest = longest.get(&end.fingerprint).copied().unwrap_or_default();
            longest < end.answered_for + CONTINUATION_TIME
        });
        due
    }
}
