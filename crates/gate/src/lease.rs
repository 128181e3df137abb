//! Time since the published state was last confirmed, by the store or by a peer that read it.

use std::time::Duration;

use wire::time::Instant;

/// Part of the bound for withdrawn keys during which a confirmed state may be used. A request is
/// checked at its dispatch, after the caller sent it; the rest covers clocks that run at different
/// rates.
const MAX_AGE_SHARE: f64 = 0.97;
/// Age up to which a missing route or key is reported as missing; above it, the configuration may
/// be outdated.
const MAX_DENY_AGE: Duration = Duration::from_millis(3500);

/// Latest time at which the state in force was confirmed as the published one.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    confirmed_at: Option<Instant>,
    max_age: Duration,
}

impl Lease {
    /// Returns a lease without a confirmation.
    pub fn new(revoke: Duration) -> Lease {
        Lease { confirmed_at: None, max_age: revoke.mul_f64(MAX_AGE_SHARE) }
    }

    /// Records that the state in force was the published one at `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the time since the last confirmation.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether keys may be accepted.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age)
    }

    /// Returns whether a missing route or key may be reported as such.
    pub fn may_deny(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < MAX_DENY_AGE)
    }
}
