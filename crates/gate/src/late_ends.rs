//! Ends of backend servers whose answers to a request had gone on for a while.
//!
//! A request that ends its server at some point of the answer does so at each server. If the answer
//! to another copy gets further, the request is not the cause.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use wire::time::Instant;

use crate::quota;

/// Time after an end in which the answers to other copies may get further.
const COMPARISON_TIME: Duration = Duration::from_secs(1);
/// Time by which another answer has to get further. A request may end its servers not always at the same
/// point.
const MIN_LEAD: Duration = Duration::from_millis(50);
/// Most ends kept that count.
const MAX_COUNTED: usize = 1024;
/// Most requests kept whose callers left while they were answered.
const MAX_LEFT: usize = 4096;

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
    /// Ends that count here, the oldest first.
    counted: VecDeque<LateEnd>,
    /// The longest time for which a request was answered until its caller left.
    left: HashMap<u64, Duration>,
}

impl LateEnds {
    /// Adds an end.
    pub fn add(&mut self, end: LateEnd) {
        let position = self.pending.partition_point(|earlier| earlier.at <= end.at);
        self.pending.insert(position, end);
    }

    /// Records that a caller left whose request was answered for some time. Returns the time of the last
    /// end that counts although it came at an earlier point of the answer.
    pub fn record_left(&mut self, fingerprint: u64, answered_for: Duration) -> Option<Instant> {
        if self.left.len() >= MAX_LEFT && !self.left.contains_key(&fingerprint) {
            self.left.clear();
        }
        let longest = self.left.entry(fingerprint).or_default();
        *longest = answered_for.max(*longest);
        let is_outlived =
            |end: &LateEnd| end.fingerprint == fingerprint && end.answered_for <= answered_for;
        let last = self.counted.iter().filter(|end| is_outlived(end)).map(|end| end.at).max();
        self.counted.retain(|end| !is_outlived(end));
        last
    }

    /// Returns when the next end is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.pending.first().map(|end| end.at + COMPARISON_TIME)
    }

    /// Removes the ends that are due and returns those that count. `answers` has the fingerprints of
    /// answers to which nothing has happened so far, and how long they are.
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
            let is_outlived = |times: &HashMap<u64, Duration>, lead: Duration| {
                let time = times.get(&end.fingerprint);
                time.is_some_and(|time| *time >= end.answered_for + lead)
            };
            // Callers that leave after a fixed time give no lead.
            !is_outlived(&longest, MIN_LEAD) && !is_outlived(&self.left, Duration::ZERO)
        });
        self.counted.extend(&due);
        let excess = self.counted.len().saturating_sub(MAX_COUNTED);
        self.counted.drain(..excess);
        due
    }
}
