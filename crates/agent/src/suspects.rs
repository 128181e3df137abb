//! Fingerprints of requests that were running when an engine crashed.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use wire::{sync, time::Instant};

/// Fingerprints remembered; the one that expires first makes room.
const MAX_SUSPECTS: usize = 4096;
/// Crashes after which a fingerprint is quarantined.
const QUARANTINE_CRASHES: u8 = 2;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Clean,
    /// Runs only alone.
    Suspect,
    /// Is refused for the time given.
    Quarantined(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u8,
    until: Instant,
}

/// Bounded table of suspects.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    records: HashMap<u64, Record>,
    by_expiry: BTreeSet<(Instant, u64)>,
}

impl Suspects {
    /// Counts one crash against a fingerprint and returns the new count.
    pub(crate) fn crash(&mut self, now: Instant, fingerprint: u64, ttl: Duration) -> u8 {
        self.expire(now, ttl);
        let crashes = self.records.get(&fingerprint).map_or(0, |record| record.crashes);
        let crashes = crashes.saturating_add(1).min(QUARANTINE_CRASHES);
        self.set(now, fingerprint, crashes, ttl);
        crashes
    }

    /// Takes back one crash that was counted wrongly and returns whether none is left.
    pub(crate) fn take_back(&mut self, now: Instant, fingerprint: u64, ttl: Duration) -> bool {
        let crashes = self.records.get(&fingerprint).map_or(0, |record| record.crashes);
        if crashes > 1 {
            self.set(now, fingerprint, crashes - 1, ttl);
            return false;
        }
        self.clear(fingerprint)
    }

    /// Merges what another agent knows.
    pub(crate) fn learn(&mut self, now: Instant, suspect: sync::Suspect, ttl: Duration) {
        if suspect.cleared {
            self.clear(suspect.fingerprint);
            return;
        }
        self.expire(now, ttl);
        let known = self.records.get(&suspect.fingerprint).map_or(0, |record| record.crashes);
        let crashes = suspect.crashes.min(QUARANTINE_CRASHES);
        // A repeat of what is known must not prolong it, or gossip would keep it for ever.
        if crashes > known {
            self.set(now, suspect.fingerprint, crashes, ttl);
        }
    }

    /// Forgets a fingerprint and returns whether it was known.
    pub(crate) fn clear(&mut self, fingerprint: u64) -> bool {
        match self.records.remove(&fingerprint) {
            Some(record) => self.by_expiry.remove(&(record.until, fingerprint)),
            None => false,
        }
    }

    fn set(&mut self, now: Instant, fingerprint: u64, crashes: u8, ttl: Duration) {
        self.clear(fingerprint);
        if self.records.len() == MAX_SUSPECTS
            && let Some((_, oldest)) = self.by_expiry.pop_first()
        {
            self.records.remove(&oldest);
        }
        let until = now + ttl;
        self.records.insert(fingerprint, Record { crashes, until });
        self.by_expiry.insert((until, fingerprint));
    }

    /// Takes one crash off each fingerprint whose time is over and forgets those with none.
    pub(crate) fn expire(&mut self, now: Instant, ttl: Duration) {
        while let Some((until, fingerprint)) = self.by_expiry.first().copied() {
            if until > now {
                return;
            }
            let crashes = self.records.get(&fingerprint).map_or(0, |record| record.crashes);
            self.clear(fingerprint);
            if crashes > 1 {
                self.set(now, fingerprint, crashes - 1, ttl);
            }
        }
    }

    pub(crate) fn verdict(&self, now: Instant, fingerprint: u64) -> Verdict {
        match self.records.get(&fingerprint) {
            None => Verdict::Clean,
            Some(record) if record.crashes < QUARANTINE_CRASHES => Verdict::Suspect,
            Some(record) if record.until > now => Verdict::Quarantined(record.until.since(now)),
            Some(_) => Verdict::Suspect,
        }
    }

    /// Returns fingerprint, crashes and time left of each suspect, the first to expire first.
    pub(crate) fn list(&self, now: Instant) -> impl Iterator<Item = (u64, u8, Duration)> + '_ {
        self.by_expiry.iter().map(move |(until, fingerprint)| {
            (*fingerprint, self.records[fingerprint].crashes, until.since(now))
        })
    }
}
