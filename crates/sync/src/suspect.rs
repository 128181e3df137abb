//! Suspects known to this process, bounded in number and time.

use std::collections::{HashMap, VecDeque};

use wire::{sync, time::Instant};

use crate::limit;

#[derive(Clone, Copy, Debug)]
struct Known {
    suspect: sync::Suspect,
    learned: Instant,
}

/// The suspects known, without duplicates.
#[derive(Debug, Default)]
pub(crate) struct Set {
    known: HashMap<u64, Known>,
    /// Fingerprints in the order in which they were last learned; an entry whose time
    /// differs from that in `known` is obsolete.
    order: VecDeque<(u64, Instant)>,
}

impl Set {
    /// Adds suspects and returns those that say more than what was known. More crashes
    /// prevail over fewer, and with equal crashes a cleared suspect prevails.
    pub(crate) fn learn(&mut self, now: Instant, suspects: &[sync::Suspect]) -> Vec<sync::Suspect> {
        self.expire(now);
        let mut new = Vec::new();
        for suspect in suspects.iter().take(limit::MAX_SUSPECTS_SENT) {
            let rank = |suspect: &sync::Suspect| (suspect.crashes, suspect.cleared);
            let known = self.known.get(&suspect.fingerprint);
            if known.is_some_and(|known| rank(&known.suspect) >= rank(suspect)) {
                continue;
            }
            self.known.insert(suspect.fingerprint, Known { suspect: *suspect, learned: now });
            self.order.push_back((suspect.fingerprint, now));
            new.push(*suspect);
        }
        self.bound();
        new
    }

    /// Returns the suspects learned last that exchanges still include.
    pub(crate) fn shared(&self, now: Instant) -> Vec<sync::Suspect> {
        let recent = |entry: &&(u64, Instant)| now.since(entry.1) < limit::SUSPECT_SHARED;
        let mut shared = Vec::new();
        for (fingerprint, learned) in self.order.iter().rev().take_while(recent) {
            let known = self.known.get(fingerprint).filter(|known| known.learned == *learned);
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
        if let Some((fingerprint, learned)) = self.order.pop_front()
            && self.known.get(&fingerprint).is_some_and(|known| known.learned == learned)
        {
            self.known.remove(&fingerprint);
        }
    }
}
