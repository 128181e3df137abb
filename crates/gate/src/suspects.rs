//! Requests that were running on backend servers when these crashed.

use std::{collections::HashMap, time::Duration};

use wire::time::Instant;

/// Number of crashes from which a request is refused.
const QUARANTINE_CRASHES: u32 = 2;
/// Time for which a crash counts.
const RETENTION: Duration = Duration::from_secs(60);
/// Number of suspects from which expired ones are removed before one is added.
const MAX_SUSPECTS: usize = 4096;
/// Most suspects in one message to a peer, which keeps it within one datagram.
const MAX_REPORTED: usize = 24;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    observed: u32,
    /// Largest count that a single peer reported.
    reported: u32,
    last_crash: Instant,
}

/// Suspects by the fingerprint of the request.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspects: HashMap<u64, Suspect>,
}

impl Suspects {
    /// Records that a backend server crashed while it ran the request.
    pub fn record_crash(&mut self, now: Instant, fingerprint: u64) {
        let suspect = self.suspect_mut(now, fingerprint);
        suspect.observed += 1;
        suspect.last_crash = now;
    }

    /// Records a peer's count of crashes and returns whether it is the largest so far.
    pub fn record_report(&mut self, now: Instant, fingerprint: u64, crashes: u32) -> bool {
        let suspect = self.suspect_mut(now, fingerprint);
        let is_larger = crashes > suspect.reported;
        if is_larger {
            suspect.reported = crashes;
            suspect.last_crash = now;
        }
        is_larger
    }

    /// Clears the crashes observed here after the request completed.
    pub fn clear(&mut self, fingerprint: u64) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.observed = 0;
        }
    }

    /// Returns the crashes that count against a request: those observed here, and the largest count
    /// of a peer.
    pub fn counts(&self, fingerprint: u64) -> (u32, u32) {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or((0, 0), |suspect| (suspect.observed, suspect.reported))
    }

    /// Returns the remaining time of the request's quarantine, if any.
    pub fn quarantine_left(&self, now: Instant, fingerprint: u64) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        let left = RETENTION.saturating_sub(now.since(suspect.last_crash));
        let crashed = suspect.observed + suspect.reported >= QUARANTINE_CRASHES;
        (crashed && !left.is_zero()).then_some(left)
    }

    /// Returns the crashes observed here, the latest first, for messages to peers.
    pub fn recent_crashes(&self, now: Instant) -> Vec<(u64, u32)> {
        let recent = |s: &Suspect| s.observed > 0 && now.since(s.last_crash) < RETENTION;
        let mut observed: Vec<_> = self.suspects.iter().filter(|(_, s)| recent(s)).collect();
        observed.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.last_crash));
        observed.iter().take(MAX_REPORTED).map(|(key, suspect)| (**key, suspect.observed)).collect()
    }

    fn suspect_mut(&mut self, now: Instant, fingerprint: u64) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, suspect| now.since(suspect.last_crash) < RETENTION);
        }
        self.suspects.entry(fingerprint).or_insert(Suspect {
            observed: 0,
            reported: 0,
            last_crash: now,
        })
    }
}
