//! Rate limits that backend servers name in their responses. A limit is in force for all gateways
//! together, for as long as responses name it.

use std::{collections::HashMap, time::Duration};

use rate::statement::{Change, Statement};
use wire::time::Instant;

use crate::message;

/// Time for which the end of a limit is kept, and the limit of a run that isn't listed.
const RETENTION: Duration = Duration::from_secs(60);

/// Rate limits by the run of the backend server; see `backends::Backend::run`.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    statements: HashMap<u64, Statement>,
}

impl RateLimits {
    /// Records what a response stated about the limit, given the time at which its request was
    /// sent.
    pub fn record(
        &mut self,
        now: Instant,
        run: u64,
        sent_at: Instant,
        per_s: Option<f64>,
    ) -> Option<Change> {
        match self.statements.get(&run) {
            Some(current) if !current.is_updated_by(sent_at, per_s) => None,
            None if per_s.is_none() => None,
            _ => self.set(run, Statement::new(per_s, now)),
        }
    }

    /// Merges a peer's report, unless it is older than what is known here.
    pub fn merge(&mut self, now: Instant, report: &message::RateLimit) -> Option<Change> {
        let age = report.age.as_micros() as u64;
        let received_at = Instant(now.0.saturating_sub(age));
        let current = self.statements.get(&report.run);
        if current.is_some_and(|current| current.received_at >= received_at) {
            return None;
        }
        self.set(report.run, Statement::new(report.per_s, received_at))
    }

    fn set(&mut self, run: u64, statement: Statement) -> Option<Change> {
        let old = self.statements.insert(run, statement);
        let old = old.unwrap_or(Statement::unlimited(statement.received_at));
        old.change_to(&statement)
    }

    /// Returns whether no limit is in force.
    pub fn is_empty(&self) -> bool {
        self.statements.values().all(|statement| statement.per_s.is_none())
    }

    /// Returns whether a run has a limit.
    pub fn is_limited(&self, run: u64) -> bool {
        self.limit(run).is_some()
    }

    /// Returns the limit that a run named, in requests a second.
    pub fn limit(&self, run: u64) -> Option<f64> {
        self.statements.get(&run)?.per_s
    }

    /// Returns the rate at which requests may be sent to a run with a limit, per second.
    pub fn rate(&self, run: u64) -> Option<f64> {
        self.statements.get(&run)?.rate()
    }

    /// Returns the report on a run for a peer.
    pub fn report(&self, now: Instant, run: u64) -> Option<message::RateLimit> {
        let Statement { per_s, received_at } = *self.statements.get(&run)?;
        Some(message::RateLimit { run, per_s, age: now.since(received_at) })
    }

    /// Returns the runs with a limit, and those whose limit ended lately.
    pub fn runs(&self) -> impl Iterator<Item = u64> {
        self.statements.keys().copied()
    }

    /// Removes the ends of limits after some time, and the limits of runs that are not listed.
    pub fn expire(&mut self, now: Instant, is_listed: impl Fn(u64) -> bool) {
        self.statements.retain(|run, statement| {
            let is_recent = now.since(statement.received_at) < RETENTION;
            is_recent || (statement.per_s.is_some() && is_listed(*run))
        });
    }
}
