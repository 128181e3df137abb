//! Requests of which copies were answered.

use std::{collections::HashMap, time::Duration};

use wire::time::Instant;

/// Most requests in each of the two maps.
const MAX_REQUESTS: usize = 8192;

/// Requests of which copies were answered, by key, with the last time.
///
/// Most requests come once. When the younger of two maps is full, the older one is dropped, so that
/// requests which come often are kept.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    younger: HashMap<u64, Instant>,
    older: HashMap<u64, Instant>,
}

impl Answers {
    /// Records that a copy was answered at a time.
    pub fn record(&mut self, key: u64, at: Instant) {
        if self.younger.len() >= MAX_REQUESTS && !self.younger.contains_key(&key) {
            self.older = std::mem::take(&mut self.younger);
        }
        let last = self.younger.entry(key).or_insert(at);
        *last = at.max(*last);
    }

    /// Returns when a copy was last answered, if that was within `retention`.
    pub fn last(&self, now: Instant, key: u64, retention: Duration) -> Option<Instant> {
        let times = [&self.younger, &self.older].map(|map| map.get(&key).copied());
        times.into_iter().flatten().max().filter(|at| now.since(*at) < retention)
    }
}
