//! Suspects known to this process, bounded in number and time.

use std::collections::{HashMap, VecDeque};

use wire::{sync, time::Instant};

use crate::limit;

#[derive(Clone, Copy, Debug)]
struct Known {
    suspect: sync::Suspect,
    learned: Instant,
}

/// Fingerprint and crash.
type Key = (u64, u64);

/// The suspects known, without duplicates.
#[derive(Debug, Default)]
pub(crate) struct Set {
    known: HashMap<Key, Known>,
    /// Keys in the order in which they were last learned; an entry whose time differs from
    /// that in `known` is obsolete.
    order: VecDeque<(Key, Instant)>,
}

impl Set {
    /// Adds suspects and returns those that say more than what was known. A cleared crash
    /// stays cleared.
    pub(crate) fn learn(&mut self, now: Instant, suspects: &[sync::Suspect]) -> Vec<sync::Suspect> {
        self.expire(now);
        let mut new = Vec::new();
        for suspect in suspects.iter().take(limit::MAX_SUSPECTS_SENT) {
            let key = (suspect.fingerprint, suspect.crash);
            let known = self.known.get(&key);
            if known.is_some_and(|known| known.suspect.cleared || !suspect.cleared) {
                continue;
            }
            self.known.insert(key, Known { suspect: *suspect, learned: now });
            self.order.push_back((key, now));
            new.push(*suspect);
        }
        self.bound();
        new
    }

    /// Returns the suspects learned last that exchanges still include.
    pub(crate) fn shared(&self, now: Instant) -> Vec<sync::Suspect> {
        let recent = |entry: &&(Key, Instant)| now.since(entry.1) < limit::SUSPECT_SHARED;
        let mut shared = Vec::new();
        for (key, learned) in self.order.iter().rev().take_while(recent) {
            let known = self.known.get(key).filter(|known| known.learned == *learned);
            shared.extend(known.map(|known| known.suspect));
            if shared.len() >= limit::MAX_SUSPECTS_SENT {
                break;
            }
        }
        shared
    }

    fn expire(&mut self, now: Instant) {
        while self.order.front().is_some_and(|(_, at)| now.since(*at) >= limit::SUSPECT_KEPT) {
            self.forget_oldest();
        }
    }

    fn bound(&mut self) {
        while self.known.len() > limit::MAX_SUSPECTS || self.order.len() > 2 * limit::MAX_SUSPECTS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((key, learned)) = self.order.pop_front()
            && self.known.get(&key).is_some_and(|known| known.learned == learned)
        {
            self.known.remove(&key);
        }
    }
}
