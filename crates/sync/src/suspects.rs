//! Suspects that this process found or received, bounded in number and time.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use wire::{sync, time::Instant};

use crate::limit;

#[derive(Clone, Copy, Debug)]
struct Entry {
    suspect: sync::Suspect,
    added_at: Instant,
    /// Whether it came with the settings at the start of this process. Such a suspect is not sent
    /// on: its age is not known, and it would never expire.
    is_inherited: bool,
}

/// Fingerprint and crash.
type Key = (u64, u64);

/// Suspects without duplicates.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    entries: HashMap<Key, Entry>,
    /// Keys in the order in which they were last added; a key whose time differs from that
    /// in `entries` is obsolete.
    order: VecDeque<(Key, Instant)>,
}

impl Suspects {
    /// Adds suspects and returns those that are new or newly cleared. A cleared crash stays
    /// cleared.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        suspects: &[sync::Suspect],
        is_inherited: bool,
    ) -> Vec<sync::Suspect> {
        self.remove_expired(now);
        let mut new = Vec::new();
        for suspect in suspects.iter().take(limit::MAX_SUSPECTS_SENT) {
            let key = (suspect.fingerprint, suspect.crash);
            let entry = self.entries.get(&key);
            if entry.is_some_and(|entry| entry.suspect.cleared || !suspect.cleared) {
                continue;
            }
            self.entries.insert(key, Entry { suspect: *suspect, added_at: now, is_inherited });
            self.order.push_back((key, now));
            new.push(*suspect);
        }
        self.remove_excess();
        new
    }

    /// Returns the suspects to include in an exchange, the latest first.
    pub(crate) fn recent(&self, now: Instant) -> Vec<sync::Suspect> {
        self.added_within(now, limit::SUSPECT_SHARING_PERIOD)
    }

    /// Returns the suspects for a process that is starting, the latest first.
    pub(crate) fn all(&self, now: Instant) -> Vec<sync::Suspect> {
        self.added_within(now, limit::SUSPECT_RETENTION)
    }

    fn added_within(&self, now: Instant, period: Duration) -> Vec<sync::Suspect> {
        let is_recent = |entry: &&(Key, Instant)| now.since(entry.1) < period;
        let mut recent = Vec::new();
        for (key, added_at) in self.order.iter().rev().take_while(is_recent) {
            let entry = self.entries.get(key);
            let entry = entry.filter(|entry| entry.added_at == *added_at && !entry.is_inherited);
            recent.extend(entry.map(|entry| entry.suspect));
            if recent.len() >= limit::MAX_SUSPECTS_SENT {
                break;
            }
        }
        recent
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.order.front().is_some_and(|(_, at)| now.since(*at) >= limit::SUSPECT_RETENTION) {
            self.remove_oldest();
        }
    }

    fn remove_excess(&mut self) {
        while self.entries.len() > limit::MAX_SUSPECTS || self.order.len() > 2 * limit::MAX_SUSPECTS
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((key, added_at)) = self.order.pop_front()
            && self.entries.get(&key).is_some_and(|entry| entry.added_at == added_at)
        {
            self.entries.remove(&key);
        }
    }
}
