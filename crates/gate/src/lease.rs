//! Age of the state in force: the time since the store or a peer confirmed it as the published one.

use std::time::Duration;

use wire::time::Instant;

/// Part of `Bounds::revoke` for which API keys are accepted after the last confirmation. Requests
/// are checked at their dispatch, after the caller sent them, so the rest only has to cover clocks
/// that run at different rates.
const MAX_AGE_SHARE: f64 = 0.97;
/// Age up to which a missing route or API key is reported as missing. If the state is older, a
/// later configuration may have it.
const MAX_DENY_AGE: Duration = Duration::from_millis(3500);

/// Latest time at which the state in force was confirmed as the published one.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    confirmed_at: Option<Instant>,
    max_age: Duration,
}

impl Lease {
    /// Returns a lease without a confirmation. `revoke` is the longest time for which a withdrawn
    /// API key may be accepted.
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

    /// Returns whether the state in force was confirmed as the published one at `at` or later.
    pub fn is_confirmed_since(&self, at: Instant) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| confirmed_at >= at)
    }

    /// Returns whether API keys may be accepted.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age)
    }

    /// Returns whether a missing route or API key may be reported as such.
    pub fn may_deny(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < MAX_DENY_AGE)
    }
}
