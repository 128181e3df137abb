//! Requests that ran at backend servers that crashed.

use std::{collections::HashMap, time::Duration};

use wire::time::Instant;

/// Crashes after which a request is refused.
const QUARANTINE_CRASHES: u32 = 2;
/// Time for which crashes are held against a request.
const MEMORY: Duration = Duration::from_secs(60);
/// Most suspects kept.
const MAX_SUSPECTS: usize = 4096;
/// Suspects in one message to a peer, which keeps it within one datagram.
const MAX_SHARED: usize = 24;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    own: u32,
    /// The largest count that one peer reported.
    reported: u32,
    last: Instant,
}

/// Suspects by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspects: HashMap<u64, Suspect>,
}

impl Suspects {
    /// Notes that a backend server crashed while it ran the request.
    pub fn crashed(&mut self, now: Instant, fingerprint: u64) {
        let suspect = self.entry(now, fingerprint);
        suspect.own += 1;
        suspect.last = now;
    }

    /// Notes a peer's count of crashes.
    pub fn reported(&mut self, now: Instant, fingerprint: u64, crashes: u32) {
        let suspect = self.entry(now, fingerprint);
        if crashes > suspect.reported {
            suspect.reported = crashes;
            suspect.last = now;
        }
    }

    /// Forgets a request that completed.
    pub fn clear(&mut self, fingerprint: u64) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.own = 0;
        }
    }

    /// Returns how long the request may not be dispatched, if it may not.
    pub fn quarantine(&self, now: Instant, fingerprint: u64) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        let left = MEMORY.saturating_sub(now.since(suspect.last));
        let crashed = suspect.own + suspect.reported >= QUARANTINE_CRASHES;
        (crashed && !left.is_zero()).then_some(left)
    }

    /// Returns the own counts for peers, the latest first.
    pub fn shared(&self, now: Instant) -> Vec<(u64, u32)> {
        let recent = |s: &Suspect| s.own > 0 && now.since(s.last) < MEMORY;
        let mut own: Vec<_> = self.suspects.iter().filter(|(_, s)| recent(s)).collect();
        own.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.last));
        own.iter().take(MAX_SHARED).map(|(key, suspect)| (**key, suspect.own)).collect()
    }

    fn entry(&mut self, now: Instant, fingerprint: u64) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, suspect| now.since(suspect.last) < MEMORY);
        }
        self.suspects.entry(fingerprint).or_insert(Suspect { own: 0, reported: 0, last: now })
    }
}
