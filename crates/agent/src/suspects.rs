//! Fingerprints of requests that were running when an engine crashed.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use wire::{request, sync, time::Instant};

/// Fingerprints remembered; the one that expires first makes room.
const MAX_SUSPECTS: usize = 4096;
/// Crashes after which a fingerprint is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// Time after a crash of this agent's engine in which it does not run the request again. The
/// same request may still be running at the other agent of its spread, whose crash must be
/// known here before a second run, or one request could cost three engines.
const OWN_CRASH_REFUSAL: Duration = Duration::from_secs(10);

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Restriction {
    Unrestricted,
    /// Runs only alone.
    Suspect,
    /// Is refused here for the time given; another agent of its spread may run it alone.
    RefusedHere(Duration),
    /// Is refused for the time given.
    Quarantined(Duration),
}

#[derive(Clone, Debug)]
struct Record {
    /// The crashes that count, oldest first; no more than quarantine needs.
    crashes: Vec<u64>,
    expires: Instant,
    /// End of the hold after a crash of this agent's engine.
    refused_until: Instant,
}

/// Bounded table of suspects.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    records: HashMap<u64, Record>,
    by_expiry: BTreeSet<(Instant, u64)>,
}

impl Suspects {
    /// Counts a crash of this agent's engine.
    pub(crate) fn record_own_crash(&mut self, now: Instant, suspect: sync::Suspect, ttl: Duration) {
        self.merge(now, suspect, ttl);
        if let Some(record) = self.records.get_mut(&suspect.fingerprint) {
            record.refused_until = now + OWN_CRASH_REFUSAL;
        }
    }

    /// Merges what another agent knows. Returns whether it was new.
    pub(crate) fn merge(&mut self, now: Instant, suspect: sync::Suspect, ttl: Duration) -> bool {
        self.expire(now, ttl);
        let sync::Suspect { fingerprint, crash, cleared } = suspect;
        let existing = self.records.get(&fingerprint);
        let mut crashes = existing.map(|record| record.crashes.clone()).unwrap_or_default();
        if crashes.contains(&crash) != cleared {
            return false;
        }
        if cleared {
            crashes.retain(|counted| *counted != crash);
            let expires = existing.map_or(now, |record| record.expires);
            let refused_until = existing.map_or(now, |record| record.refused_until);
            self.set(fingerprint, crashes, expires, refused_until);
            return true;
        }
        if crashes.len() == QUARANTINE_CRASHES {
            return false;
        }
        crashes.push(crash);
        let refused_until = existing.map_or(now, |record| record.refused_until);
        self.set(fingerprint, crashes, now + ttl, refused_until);
        true
    }

    /// Forgets a fingerprint and returns the crashes that counted.
    pub(crate) fn clear(&mut self, fingerprint: u64) -> Vec<u64> {
        let Some(record) = self.records.remove(&fingerprint) else { return Vec::new() };
        self.by_expiry.remove(&(record.expires, fingerprint));
        record.crashes
    }

    fn set(
        &mut self,
        fingerprint: u64,
        crashes: Vec<u64>,
        expires: Instant,
        refused_until: Instant,
    ) {
        self.clear(fingerprint);
        if crashes.is_empty() {
            return;
        }
        if self.records.len() == MAX_SUSPECTS
            && let Some((_, oldest)) = self.by_expiry.pop_first()
        {
            self.records.remove(&oldest);
        }
        self.records.insert(fingerprint, Record { crashes, expires, refused_until });
        self.by_expiry.insert((expires, fingerprint));
    }

    /// Takes one crash off each fingerprint whose time is over and forgets those with none.
    pub(crate) fn expire(&mut self, now: Instant, ttl: Duration) {
        while let Some((expires, fingerprint)) = self.by_expiry.first().copied() {
            if expires > now {
                return;
            }
            let mut crashes = self.clear(fingerprint);
            crashes.remove(0);
            self.set(fingerprint, crashes, now + ttl, now);
        }
    }

    /// Returns what may be done with a request now.
    pub(crate) fn restriction(&self, now: Instant, head: &request::Head) -> Restriction {
        match self.records.get(&head.fingerprint) {
            None => Restriction::Unrestricted,
            Some(record) if record.crashes.len() < QUARANTINE_CRASHES => match record.refused_until
            {
                refused_until if refused_until > now => {
                    Restriction::RefusedHere(refused_until.since(now))
                }
                _ if head.beyond_spread => Restriction::RefusedHere(record.expires.since(now)),
                _ => Restriction::Suspect,
            },
            Some(record) if record.expires > now => {
                Restriction::Quarantined(record.expires.since(now))
            }
            Some(_) => Restriction::Suspect,
        }
    }

    /// Returns fingerprint, crashes and time left of each suspect, the first to expire first.
    pub(crate) fn list(&self, now: Instant) -> impl Iterator<Item = (u64, u8, Duration)> + '_ {
        self.by_expiry.iter().map(move |(expires, fingerprint)| {
            let crashes = self.records[fingerprint].crashes.len() as u8;
            (*fingerprint, crashes, expires.since(now))
        })
    }
}
