//! Token bucket for the requests to one backend server.

use std::time::Duration;

use wire::time::Instant;

/// Part of a second for which permits that nobody uses accumulate.
const BURST_S: f64 = 0.25;

/// Permits that are available, and the rate at which they are added.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    permits: f64,
    /// Permits a second at the last refill.
    rate: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Returns an empty bucket.
    pub fn empty(now: Instant) -> Bucket {
        Bucket { permits: 0.0, rate: 0.0, refilled_at: now }
    }

    /// Returns a bucket that first has to make up for a part of a permit.
    pub fn with_debt(now: Instant, debt: f64) -> Bucket {
        Bucket { permits: -debt, ..Bucket::empty(now) }
    }

    /// Adds the permits of the time since the last refill.
    pub fn refill(&mut self, now: Instant, rate: f64) {
        let added = now.since(self.refilled_at).as_secs_f64() * rate;
        self.refilled_at = now;
        if rate < self.rate {
            // What accumulated at the higher rate would exceed the lower one.
            self.permits *= rate / self.rate;
        }
        self.rate = rate;
        self.permits = (self.permits + added).min((rate * BURST_S).max(1.0));
    }

    /// Returns whether a permit is available.
    pub fn has_permit(&self) -> bool {
        self.permits >= 1.0
    }

    /// Uses a permit, also one that is not available yet.
    pub fn take(&mut self) {
        self.permits -= 1.0;
    }

    /// Returns a permit with which nothing was sent.
    pub fn put_back(&mut self) {
        self.permits += 1.0;
    }

    /// Returns when a permit is available at this rate, or `None` if that is too far off.
    pub fn next_permit(&self, rate: f64) -> Option<Instant> {
        let missing = (1.0 - self.permits).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / rate).ok()?;
        // Rounded up, so that the permit is there at that time.
        Some(self.refilled_at + wait + Duration::from_micros(1))
    }
}
