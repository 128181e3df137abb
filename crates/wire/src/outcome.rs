//! What callers are told when a request is not answered in full.

use std::{fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What is known about the work of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Proved: no engine or service ran any part of the request.
    NotRun,
    /// The request ran, and its answer is not whole.
    Incomplete,
    /// The request may have run.
    Unknown,
}

/// The step of a request's life at which it ended.
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
    /// No room at this tier.
    Overload,
    /// A request of a higher tier took the place.
    Displaced,
    /// The account is over its own bound.
    AccountLimit,
    /// The deadline can't be met, or has passed.
    Deadline,
    /// The backend server is leaving or its agent is stopping.
    Leaving,
    /// No live backend server in the pool.
    NoBackend,
    /// The grant expired or is not known to be live.
    GrantExpired,
    /// The engine or service can't be reached; nothing was sent.
    BackendUnreachable,
    /// The engine or service ended while the request ran.
    BackendCrashed,
    /// The engine or service stopped answering.
    BackendSilent,
    /// The agent was lost after the grant.
    AgentLost,
    /// The agent's process was replaced after the grant or the key was issued.
    AgentReplaced,
    /// The same request crashed engines before; it waits for an isolated run.
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
    /// The answer failed its length or checksum check.
    Corrupt,
}

/// A final answer other than a whole one.
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
