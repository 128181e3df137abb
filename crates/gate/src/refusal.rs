//! Answers of the gateway's own.

use std::time::Duration;

/// Why a request is not answered by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// No configuration is known yet.
    NotReady,
    /// The configuration was not confirmed recently enough to accept a key.
    Stale,
    /// The process is about to stop.
    Stopping,
    /// No route has this host and path.
    NoRoute,
    /// No account has this key.
    UnknownKey,
    /// The account used what it may.
    Quota,
    /// Backend servers are busy with work that is as urgent.
    Overload,
    /// No backend server of the service can be reached.
    NoReplica,
    /// Copies of the request crashed backend servers.
    Poison,
    /// The time ran out before a backend server was free.
    Expired,
    /// The time ran out at a backend server.
    Timeout,
    /// The backend server's answer was lost.
    Lost,
    /// The request is malformed.
    Malformed,
    /// The body is over the limit.
    TooLarge,
    /// The body came too slowly.
    SlowBody,
}

impl Reason {
    /// Returns the status of the answer. 429 and 503 promise that the request has not run and will
    /// not run; 502 and 504 promise nothing.
    pub fn status(self) -> u16 {
        match self {
            Reason::NotReady
            | Reason::Stale
            | Reason::Stopping
            | Reason::Overload
            | Reason::NoReplica
            | Reason::Poison
            | Reason::Expired => 503,
            Reason::NoRoute => 404,
            Reason::UnknownKey => 401,
            Reason::Quota => 429,
            Reason::Timeout => 504,
            Reason::Lost => 502,
            Reason::Malformed => 400,
            Reason::TooLarge => 413,
            Reason::SlowBody => 408,
        }
    }

    /// Returns the name in logs and answers.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NotReady => "not_ready",
            Reason::Stale => "stale",
            Reason::Stopping => "stopping",
            Reason::NoRoute => "no_route",
            Reason::UnknownKey => "unknown_key",
            Reason::Quota => "quota",
            Reason::Overload => "overload",
            Reason::NoReplica => "no_replica",
            Reason::Poison => "poison",
            Reason::Expired => "expired",
            Reason::Timeout => "timeout",
            Reason::Lost => "lost",
            Reason::Malformed => "malformed",
            Reason::TooLarge => "too_large",
            Reason::SlowBody => "slow_body",
        }
    }
}

/// A final answer of the gateway's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    pub reason: Reason,
    /// When the caller may come back, where the request has not run.
    pub retry_after: Option<Duration>,
    /// What the decision rested on, for the log.
    pub inputs: Inputs,
}

/// What a refusal rested on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Version of the configuration in force.
    pub version: u64,
    /// Age of its last confirmation.
    pub age: Option<Duration>,
    /// Gateways that may serve callers, this one included.
    pub gateways: usize,
    /// Those among them whose state is recent.
    pub reporting: usize,
    /// Requests that wait for the same service.
    pub waiting: usize,
    /// Backend servers of the service that may be used.
    pub usable: usize,
    /// Units that the account used in the window, at all gateways.
    pub quota_used: Option<f64>,
}

impl Refusal {
    /// Returns a refusal without a time to come back.
    pub fn new(reason: Reason) -> Refusal {
        Refusal { reason, retry_after: None, inputs: Inputs::default() }
    }
}
