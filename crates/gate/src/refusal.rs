//! Refusals of requests.

use std::time::Duration;

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// No configuration has been read yet.
    NotReady,
    /// What is known of the published state was not confirmed recently enough to use it.
    Stale,
    /// The process is stopping.
    Stopping,
    /// No route has this host and path.
    NoRoute,
    /// No account has this API key.
    UnknownKey,
    /// The account has used its quota.
    Quota,
    /// Backend servers are busy with requests that are at least as urgent.
    Overload,
    /// No backend server of the service can be used.
    NoBackend,
    /// All backend servers of the service are in evacuated zones, or all those of the version that
    /// began the stream.
    Evacuated,
    /// No backend server of the version that began the stream is left, or it isn't known.
    NoVersion,
    /// All backend servers of the service asked for a pause.
    Paused,
    /// The rate limits of the backend servers leave no capacity for the request.
    RateLimit,
    /// Copies of the request crashed backend servers.
    Poison,
    /// The deadline passed before a backend server was available.
    Expired,
    /// The deadline passed after the request was dispatched.
    Timeout,
    /// The backend server failed or its response was incomplete; the request may have run.
    Lost,
    /// The request is malformed.
    Malformed,
    /// The process ends while a backend server works on the request.
    Interrupted,
    /// The body exceeds the limit.
    TooLarge,
    /// The process has no memory left for the request.
    NoMemory,
    /// The body was received too slowly.
    SlowBody,
}

impl Reason {
    /// Returns the HTTP status. 429 and 503 guarantee that the request has not run and will not
    /// run; 502 and 504 guarantee nothing.
    pub fn status(self) -> u16 {
        match self {
            Reason::NotReady
            | Reason::Stale
            | Reason::Stopping
            | Reason::Overload
            | Reason::NoBackend
            | Reason::Evacuated
            | Reason::NoVersion
            | Reason::Paused
            | Reason::RateLimit
            | Reason::Poison
            | Reason::Expired
            | Reason::NoMemory => 503,
            Reason::NoRoute => 404,
            Reason::UnknownKey => 401,
            Reason::Quota => 429,
            Reason::Timeout => 504,
            Reason::Lost | Reason::Interrupted => 502,
            Reason::Malformed => 400,
            Reason::TooLarge => 413,
            Reason::SlowBody => 408,
        }
    }

    /// Returns the name used in logs and response bodies.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NotReady => "not_ready",
            Reason::Stale => "stale",
            Reason::Stopping => "stopping",
            Reason::NoRoute => "no_route",
            Reason::UnknownKey => "unknown_key",
            Reason::Quota => "quota",
            Reason::Overload => "overload",
            Reason::NoBackend => "no_replica",
            Reason::Evacuated => "evacuated",
            Reason::NoVersion => "no_version",
            Reason::Paused => "paused",
            Reason::RateLimit => "limit",
            Reason::Poison => "poison",
            Reason::Expired => "expired",
            Reason::Timeout => "timeout",
            Reason::Lost => "lost",
            Reason::Interrupted => "interrupted",
            Reason::Malformed => "malformed",
            Reason::TooLarge => "too_large",
            Reason::NoMemory => "no_memory",
            Reason::SlowBody => "slow_body",
        }
    }
}

/// A refusal of a request, which is final.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    pub reason: Reason,
    /// Time after which the caller may retry, if the request has not run.
    pub retry_after: Option<Duration>,
    /// Decision inputs, for the log.
    pub inputs: Inputs,
}

/// Decision inputs of a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Version of the configuration in force.
    pub version: u64,
    /// Time since it was last confirmed.
    pub age: Option<Duration>,
    /// Gateways that may serve callers, this one included.
    pub gateways: u32,
    /// Those among them whose state is recent, this one included.
    pub reporting: u32,
    /// Requests that wait for the same service.
    pub waiting: u32,
    /// Backend servers of the service that requests may be sent to.
    pub usable: u32,
    /// Those among them that named a rate limit.
    pub limited: u32,
    /// Those among them that warm up and that this gateway holds no permit for.
    pub warming: u32,
    /// Quota of the account, if the request exceeds the part of it that is available here.
    pub quota: Option<Quota>,
    /// What is known of a request that waited for a backend server.
    pub wait: Option<Wait>,
}

/// A request that waited for a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    pub tier: u32,
    /// Milliseconds since its arrival.
    pub waited_ms: u32,
    /// Whether the objective had passed since the caller's first attempt when it arrived.
    pub overdue: bool,
}

/// An account's quota and its use, in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units that the account used in the window, at all gateways.
    pub used: f64,
    /// Units of the refused request.
    pub units: f64,
    /// Published quota for the window.
    pub granted: f64,
}

impl Refusal {
    /// Returns a refusal without a time to retry.
    pub fn new(reason: Reason) -> Refusal {
        Refusal { reason, retry_after: None, inputs: Inputs::default() }
    }
}
