//! Suspects: fingerprints of requests that were running when a backend server crashed.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use cause::{Answers, Rule, rule};
use wire::{request, sync, time::Instant};

/// Most suspects kept. In a full table the one that expires first is replaced.
const MAX_SUSPECTS: usize = 4096;
/// Most crashes kept of a fingerprint, the latest ones.
const MAX_CRASHES: usize = 8;

/// Time after a crash of this agent's backend server for which this agent refuses the request. The
/// same request may still be running at the other agent of its spread, and a crash there has to be
/// reported here before a second run, or one request could crash three backend servers.
const OWN_CRASH_REFUSAL: Duration = Duration::from_secs(10);

/// Restriction of a request by the crashes counted against its fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Restriction {
    Unrestricted,
    /// May run only alone.
    Exclusive,
    /// Refused here for the given time; another agent of its spread may run it alone.
    RefusedHere(Duration),
    /// Refused for the given time.
    Quarantined(Duration),
}

/// A crash that counts against a fingerprint.
#[derive(Clone, Copy, Debug)]
struct Crash {
    id: u64,
    /// Time of the report.
    at: Instant,
}

#[derive(Clone, Debug)]
struct Record {
    /// The counted crashes, oldest first.
    crashes: Vec<Crash>,
    expires_at: Instant,
    /// End of the refusal after a crash of this agent's backend server.
    refused_until: Instant,
}

/// Bounded table of suspects.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    records: HashMap<u64, Record>,
    by_expiry: BTreeSet<(Instant, u64)>,
    /// Requests of which copies completed here.
    answers: Answers,
    /// Time for which a crash or a completion counts, from the settings.
    ttl: Duration,
}

impl Suspects {
    /// Counts a crash of this agent's backend server.
    pub(crate) fn record_own_crash(&mut self, now: Instant, suspect: sync::Suspect, ttl: Duration) {
        self.merge(now, suspect, ttl);
        if let Some(record) = self.records.get_mut(&suspect.fingerprint) {
            record.refused_until = now + OWN_CRASH_REFUSAL;
        }
    }

    /// Merges a suspect that another agent reported, or one of this agent. Returns whether it
    /// changed the table.
    pub(crate) fn merge(&mut self, now: Instant, suspect: sync::Suspect, ttl: Duration) -> bool {
        self.expire(now, ttl);
        let sync::Suspect { fingerprint, crash, cleared } = suspect;
        let existing = self.records.get(&fingerprint);
        let mut crashes = existing.map(|record| record.crashes.clone()).unwrap_or_default();
        if crashes.iter().any(|counted| counted.id == crash) != cleared {
            return false;
        }
        if cleared {
            crashes.retain(|counted| counted.id != crash);
            let expires_at = existing.map_or(now, |record| record.expires_at);
            let refused_until = existing.map_or(now, |record| record.refused_until);
            self.set(fingerprint, crashes, expires_at, refused_until);
            return true;
        }
        let rule = self.rule(now, fingerprint);
        if deciding_crash(rule, &crashes).is_some() {
            return false;
        }
        crashes.push(Crash { id: crash, at: now });
        if crashes.len() > MAX_CRASHES {
            crashes.remove(0);
        }
        let refused_until = existing.map_or(now, |record| record.refused_until);
        self.set(fingerprint, crashes, now + ttl, refused_until);
        true
    }

    /// Records that a copy completed, and returns the crashes that counted.
    pub(crate) fn record_completion(&mut self, now: Instant, fingerprint: u64) -> Vec<u64> {
        self.answers.record(fingerprint, now);
        self.clear(fingerprint).into_iter().map(|crash| crash.id).collect()
    }

    /// Returns how many crashes put a request in quarantine.
    fn rule(&self, now: Instant, fingerprint: u64) -> Rule {
        Rule::for_request(self.answers.last(now, fingerprint, self.ttl).is_some())
    }

    /// Removes a fingerprint and returns its counted crashes.
    fn clear(&mut self, fingerprint: u64) -> Vec<Crash> {
        let Some(record) = self.records.remove(&fingerprint) else { return Vec::new() };
        self.by_expiry.remove(&(record.expires_at, fingerprint));
        record.crashes
    }

    fn set(
        &mut self,
        fingerprint: u64,
        crashes: Vec<Crash>,
        expires_at: Instant,
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
        self.records.insert(fingerprint, Record { crashes, expires_at, refused_until });
        self.by_expiry.insert((expires_at, fingerprint));
    }

    /// Removes the oldest crash of each fingerprint that expired, and the fingerprint with its last
    /// crash.
    pub(crate) fn expire(&mut self, now: Instant, ttl: Duration) {
        self.ttl = ttl;
        while let Some((expires_at, fingerprint)) = self.by_expiry.first().copied() {
            if expires_at > now {
                return;
            }
            let mut crashes = self.clear(fingerprint);
            crashes.remove(0);
            self.set(fingerprint, crashes, now + ttl, now);
        }
    }

    /// Returns how a request is restricted now.
    pub(crate) fn restriction(&self, now: Instant, head: &request::Head) -> Restriction {
        let Some(record) = self.records.get(&head.fingerprint) else {
            return Restriction::Unrestricted;
        };
        let rule = self.rule(now, head.fingerprint);
        if deciding_crash(rule, &record.crashes).is_some() {
            return match record.expires_at > now {
                true => Restriction::Quarantined(record.expires_at.since(now)),
                false => Restriction::Exclusive,
            };
        }
        // A request that completed before runs among others until enough crashes count.
        if rule == rule::KNOWN_REQUEST {
            return Restriction::Unrestricted;
        }
        match record.refused_until {
            refused_until if refused_until > now => {
                Restriction::RefusedHere(refused_until.since(now))
            }
            _ if head.beyond_spread => Restriction::RefusedHere(record.expires_at.since(now)),
            _ => Restriction::Exclusive,
        }
    }

    /// Returns fingerprint, number of crashes and remaining time of each suspect, the first to
    /// expire first.
    pub(crate) fn list(&self, now: Instant) -> impl Iterator<Item = (u64, u8, Duration)> + '_ {
        self.by_expiry.iter().map(move |(expires_at, fingerprint)| {
            let crashes = self.records[fingerprint].crashes.len() as u8;
            (*fingerprint, crashes, expires_at.since(now))
        })
    }
}

/// Returns when the crash was reported from which on enough count, if there are enough.
fn deciding_crash(rule: Rule, crashes: &[Crash]) -> Option<Instant> {
    rule.deciding_end(crashes.iter().rev().map(|crash| (crash.at, 1)))
}
