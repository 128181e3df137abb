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
const OWN_CRASH_HOLD: Duration = Duration::from_secs(10);

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Clean,
    /// Runs only alone.
    Suspect,
    /// Is refused here for the time given; another agent of its spread may run it alone.
    Held(Duration),
    /// Is refused for the time given.
    Quarantined(Duration),
}

#[derive(Clone, Debug)]
struct Record {
    /// The crashes that count, oldest first; no more than quarantine needs.
    crashes: Vec<u64>,
    until: Instant,
    /// End of the hold after a crash of this agent's engine.
    held: Instant,
}

/// Bounded table of suspects.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    records: HashMap<u64, Record>,
    by_expiry: BTreeSet<(Instant, u64)>,
}

impl Suspects {
    /// Counts a crash of this agent's engine.
    pub(crate) fn crash(&mut self, now: Instant, suspect: sync::Suspect, ttl: Duration) {
        self.learn(now, suspect, ttl);
        if let Some(record) = self.records.get_mut(&suspect.fingerprint) {
            record.held = now + OWN_CRASH_HOLD;
        }
    }

    /// Merges what another agent knows. Returns whether it was new.
    pub(crate) fn learn(&mut self, now: Instant, suspect: sync::Suspect, ttl: Duration) -> bool {
        self.expire(now, ttl);
        let sync::Suspect { fingerprint, crash, cleared } = suspect;
        let known = self.records.get(&fingerprint);
        let mut crashes = known.map(|record| record.crashes.clone()).unwrap_or_default();
        if crashes.contains(&crash) != cleared {
            return false;
        }
        if cleared {
            crashes.retain(|known| *known != crash);
            let until = known.map_or(now, |record| record.until);
            let held = known.map_or(now, |record| record.held);
            self.set(fingerprint, crashes, until, held);
            return true;
        }
        if crashes.len() == QUARANTINE_CRASHES {
            return false;
        }
        crashes.push(crash);
        let held = known.map_or(now, |record| record.held);
        self.set(fingerprint, crashes, now + ttl, held);
        true
    }

    /// Forgets a fingerprint and returns the crashes that counted.
    pub(crate) fn clear(&mut self, fingerprint: u64) -> Vec<u64> {
        let Some(record) = self.records.remove(&fingerprint) else { return Vec::new() };
        self.by_expiry.remove(&(record.until, fingerprint));
        record.crashes
    }

    fn set(&mut self, fingerprint: u64, crashes: Vec<u64>, until: Instant, held: Instant) {
        self.clear(fingerprint);
        if crashes.is_empty() {
            return;
        }
        if self.records.len() == MAX_SUSPECTS
            && let Some((_, oldest)) = self.by_expiry.pop_first()
        {
            self.records.remove(&oldest);
        }
        self.records.insert(fingerprint, Record { crashes, until, held });
        self.by_expiry.insert((until, fingerprint));
    }

    /// Takes one crash off each fingerprint whose time is over and forgets those with none.
    pub(crate) fn expire(&mut self, now: Instant, ttl: Duration) {
        while let Some((until, fingerprint)) = self.by_expiry.first().copied() {
            if until > now {
                return;
            }
            let mut crashes = self.clear(fingerprint);
            crashes.remove(0);
            self.set(fingerprint, crashes, now + ttl, now);
        }
    }

    /// Returns what may be done with a request now.
    pub(crate) fn verdict(&self, now: Instant, head: &request::Head) -> Verdict {
        match self.records.get(&head.fingerprint) {
            None => Verdict::Clean,
            Some(record) if record.crashes.len() < QUARANTINE_CRASHES => match record.held {
                held if held > now => Verdict::Held(held.since(now)),
                _ if head.beyond_spread => Verdict::Held(record.until.since(now)),
                _ => Verdict::Suspect,
            },
            Some(record) if record.until > now => Verdict::Quarantined(record.until.since(now)),
            Some(_) => Verdict::Suspect,
        }
    }

    /// Returns fingerprint, crashes and time left of each suspect, the first to expire first.
    pub(crate) fn list(&self, now: Instant) -> impl Iterator<Item = (u64, u8, Duration)> + '_ {
        self.by_expiry.iter().map(move |(until, fingerprint)| {
            let crashes = self.records[fingerprint].crashes.len() as u8;
            (*fingerprint, crashes, until.since(now))
        })
    }
}
