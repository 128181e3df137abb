//! Refusals: the response to a caller whose request the system does not run in full.

use std::{fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is certain that no backend server ran any part of the request.
    NotRun,
    /// The request ran, and its response is incomplete.
    Incomplete,
    /// The request may have run.
    Unknown,
}

/// The step of its processing at which a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    Received,
    QueuedAtEntry,
    Offered,
    QueuedAtAgent,
    Granted,
    Dispatched,
    MidStream,
    Answered,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Malformed request, headers or body.
    BadRequest,
    /// No route, or the account may not use it.
    NoRoute,
    UnknownAccount,
    /// The body is over the limit of the route.
    TooLarge,
    /// The process has no accepted settings yet.
    NotReady,
    /// No free capacity at this tier.
    Overload,
    /// Removed to free capacity for a request of a higher tier.
    Displaced,
    /// The account is over its limit.
    AccountLimit,
    /// The deadline can't be met, or has passed.
    Deadline,
    /// The backend server is leaving or its agent is stopping.
    Leaving,
    /// No backend server of the pool takes new work.
    NoBackend,
    /// The grant expired, or the agent has no record that it is valid.
    GrantExpired,
    /// The backend server is unreachable; nothing was sent.
    BackendUnreachable,
    /// The backend server ended while the request ran.
    BackendCrashed,
    /// The backend server stopped responding.
    BackendSilent,
    /// The status of the backend server's response promises that the request has not run, which
    /// may be untrue, or is not one of the protocol.
    BackendStatus,
    /// The agent became unreachable after the grant.
    AgentLost,
    /// The agent's process was replaced after the grant or the key was issued.
    AgentReplaced,
    /// The same request was running when an engine crashed; it may run again only on an engine
    /// without other requests.
    Suspect,
    /// The same request crashed two engines and is quarantined.
    Poison,
    /// The idempotency key was not issued by this system or belongs to another route.
    BadKey,
    /// The idempotency key has expired.
    KeyExpired,
    /// A request with the same idempotency key is in progress.
    KeyInUse,
    /// The caller closed its connection.
    CallerGone,
    /// The response failed its length or checksum check.
    Corrupt,
}

/// The end of a request without a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub outcome: Outcome,
    pub step: Step,
    pub reason: Reason,
    /// The host at which the refusal arose.
    pub peer: Bytes,
    pub retry_after: Option<Duration>,
}

macro_rules! snake_case_display {
    ($($name:ident),*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.serialize(f)
            }
        }
    )*};
}

snake_case_display!(Outcome, Step, Reason);
