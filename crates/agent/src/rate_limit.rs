//! Rate limit that the backend server names in its responses. The agent is the only process that
//! sends it requests, so a bucket of its own keeps the limit.

use std::time::Duration;

use rate::{
    bucket::Bucket,
    statement::{Change, Statement},
};
use wire::time::Instant;

/// Part of the limit that probes may use.
const PROBE_SHARE: f64 = 0.25;

/// A permit that was taken for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Permit {
    /// Number of the limit that it was taken from.
    limit: u64,
}

/// The limit and the permits that are left.
#[derive(Debug)]
pub(crate) struct RateLimit {
    statement: Statement,
    bucket: Bucket,
    /// Number of limits that have begun.
    begun: u64,
}

impl RateLimit {
    /// Returns no limit.
    pub(crate) fn new() -> RateLimit {
        let start = Instant::default();
        let (statement, bucket) = (Statement::unlimited(start), Bucket::empty(start));
        RateLimit { statement, bucket, begun: 0 }
    }

    /// Records what a response states, given the time at which its request was sent.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        sent_at: Instant,
        per_s: Option<f64>,
    ) -> Option<Change> {
        if !self.statement.is_updated_by(sent_at, per_s) {
            return None;
        }
        let statement = Statement::new(per_s, now);
        let change = self.statement.change_to(&statement);
        if change == Some(Change::Began) {
            self.bucket = Bucket::empty(now);
            self.begun += 1;
        }
        self.statement = statement;
        change
    }

    /// Returns the requests a second that may be sent, if there is a limit.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.statement.rate()
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn allows_request(&mut self, now: Instant) -> bool {
        let Some(rate) = self.rate() else { return true };
        self.bucket.refill(now, rate);
        self.bucket.has_permit()
    }

    /// Counts a request and returns its permit, if there is a limit.
    pub(crate) fn take(&mut self) -> Option<Permit> {
        self.rate()?;
        self.bucket.take();
        Some(Permit { limit: self.begun })
    }

    /// Returns the permit of a request that was not sent, unless another limit has begun since.
    pub(crate) fn put_back(&mut self, permit: Option<Permit>) {
        if permit.is_some_and(|permit| permit.limit == self.begun) {
            self.bucket.put_back();
        }
    }

    /// Returns when the next request may be sent, if there is a limit.
    pub(crate) fn next_request(&self) -> Option<Instant> {
        self.bucket.next_permit(self.rate()?)
    }

    /// Returns the time until `count` requests were sent at the rate of the limit.
    pub(crate) fn time_for(&self, count: usize) -> Duration {
        self.rate().map_or(Duration::ZERO, |rate| Duration::from_secs_f64(count as f64 / rate))
    }

    /// Returns the least time between probes, which count against the limit.
    pub(crate) fn probe_interval(&self) -> Duration {
        self.rate()
            .map_or(Duration::ZERO, |rate| Duration::from_secs_f64(1.0 / (rate * PROBE_SHARE)))
    }
}
