//! Freshness of what was read: how long ago the store, or a peer that read it, confirmed it.

use std::time::Duration;

use wire::time::Instant;

/// Part of the bound on withdrawn keys for which a confirmed state may be used. A request is checked
/// when it is dispatched, so it was sent before; the rest covers clocks that run unlike.
const MAX_AGE_SHARE: f64 = 0.97;
/// Age up to which a missing route or key counts as missing and not as not yet known.
const MAX_DENY_AGE: Duration = Duration::from_millis(3500);

/// The latest moment at which the state in force is known to have been the published one.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    confirmed_at: Option<Instant>,
    max_age: Duration,
}

impl Lease {
    /// Returns a lease that was never confirmed.
    pub fn new(revoke: Duration) -> Lease {
        Lease { confirmed_at: None, max_age: revoke.mul_f64(MAX_AGE_SHARE) }
    }

    /// Notes that the state in force was the published one at `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the age of the confirmation.
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
