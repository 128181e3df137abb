//! Requests of which copies were answered.

use std::{
    collections::{HashMap, hash_map::Entry},
    time::Duration,
};

use wire::time::Instant;

/// Most requests in each of the two maps.
const MAX_REQUESTS: usize = 8192;

/// Requests of which copies were answered, by fingerprint, with the time of the last completion.
///
/// Most requests come once. When the younger of two maps is full, the older one is dropped, so that
/// requests which come often are kept.
#[derive(Clone, Debug, Default)]
pub struct Completions {
    younger: HashMap<u64, Instant>,
    older: HashMap<u64, Instant>,
}

impl Completions {
    /// Records that a copy was answered at a time.
    pub fn record(&mut self, fingerprint: u64, at: Instant) {
        if self.younger.len() >= MAX_REQUESTS && !self.younger.contains_key(&fingerprint) {
            self.older = std::mem::take(&mut self.younger);
        }
        match self.younger.entry(fingerprint) {
            Entry::Occupied(mut entry) => *entry.get_mut() = at.max(*entry.get()),
            Entry::Vacant(entry) => {
                entry.insert(at);
            }
        }
    }

    /// Returns when a copy was last answered, if that was within `retention`.
    pub fn last(&self, now: Instant, fingerprint: u64, retention: Duration) -> Option<Instant> {
        let times = [&self.younger, &self.older].map(|map| map.get(&fingerprint).copied());
        times.into_iter().flatten().max().filter(|at| now.since(*at) < retention)
    }
}
