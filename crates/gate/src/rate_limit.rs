//! Rate limits that backend servers name in their responses. A limit is in force for all gateways
//! together, for as long as responses name it.

use std::{collections::HashMap, time::Duration};

use wire::time::Instant;

use crate::message;

/// Lowest rate, in requests a second. A backend server that takes none is asked at this rate, since
/// only a response shows the end of its limit.
const MIN_RATE: f64 = 0.2;
/// Highest rate, in requests a second.
const MAX_RATE: f64 = 1e6;
/// Time for which the end of a limit is kept, and the limit of a run that isn't listed.
const RETENTION: Duration = Duration::from_secs(60);

/// How a limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Began,
    Fell,
    Rose,
    Ended,
}

impl Change {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Change::Began => "began",
            Change::Fell => "fell",
            Change::Rose => "rose",
            Change::Ended => "ended",
        }
    }

    fn between(old: Option<f64>, new: Option<f64>) -> Option<Change> {
        match (old, new) {
            (None, Some(_)) => Some(Change::Began),
            (Some(_), None) => Some(Change::Ended),
            (Some(old), Some(new)) if new < old => Some(Change::Fell),
            (Some(old), Some(new)) if new > old => Some(Change::Rose),
            _ => None,
        }
    }
}

/// What a backend server last stated.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Requests a second, or `None` without a limit.
    per_s: Option<f64>,
    received_at: Instant,
}

/// Rate limits by the run of the backend server; see `backends::Backend::run`.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    statements: HashMap<u64, Statement>,
}

impl RateLimits {
    /// Records what a response stated about the limit, given the time at which its request was
    /// sent. Responses on different connections may overtake each other, so a limit rises or ends
    /// only by the response to a request that was sent after the limit was last named.
    pub fn record(
        &mut self,
        now: Instant,
        run: u64,
        sent_at: Instant,
        per_s: Option<f64>,
    ) -> Option<Change> {
        let per_s = per_s.map(|rate| rate.min(MAX_RATE));
        let Some(current) = self.statements.get(&run).copied() else {
            per_s?;
            return self.set(run, Statement { per_s, received_at: now });
        };
        let is_lower = match (current.per_s, per_s) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(current), Some(stated)) => stated <= current,
        };
        if !is_lower && sent_at < current.received_at {
            return None;
        }
        self.set(run, Statement { per_s, received_at: now })
    }

    /// Merges a peer's report, unless it is older than what is known here.
    pub fn merge(&mut self, now: Instant, report: &message::RateLimit) -> Option<Change> {
        let age = report.age.as_micros() as u64;
        let received_at = Instant(now.0.saturating_sub(age));
        let current = self.statements.get(&report.run);
        if current.is_some_and(|current| current.received_at >= received_at) {
            return None;
        }
        // A peer of another build may send any number.
        let per_s = report.per_s.map(|rate| if rate >= 0.0 { rate.min(MAX_RATE) } else { 0.0 });
        self.set(report.run, Statement { per_s, received_at })
    }

    fn set(&mut self, run: u64, statement: Statement) -> Option<Change> {
        let old = self.statements.insert(run, statement);
        Change::between(old.and_then(|old| old.per_s), statement.per_s)
    }

    /// Returns whether any limit is in force.
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
        self.limit(run).map(|limit| limit.max(MIN_RATE))
    }

    /// Returns whether a run is known to have ended its limit.
    pub fn has_ended(&self, run: u64) -> bool {
        self.statements.get(&run).is_some_and(|statement| statement.per_s.is_none())
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
