//! State that a process reports to operators, as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Response to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    pub host: String,
    /// `entry` or `agent`.
    pub role: String,
    pub availability_zone: String,
    pub process: String,
    pub version: String,
    pub ready: bool,
    pub stopping: bool,
    /// Whether this host takes no new work, by a drain order or the host list.
    pub leaving: bool,
    /// Revision in force of each branch.
    pub revisions: BTreeMap<String, u64>,
    /// The last refused revision of each branch, with its reason.
    pub refused_revisions: BTreeMap<String, String>,
    /// Queued requests without a grant, by tier rank.
    pub queued: BTreeMap<u8, u64>,
    /// Requests with a grant whose response has not ended.
    pub running: u64,
    pub hosts: Vec<Host>,
    pub quarantined: Vec<Quarantine>,
    pub counters: BTreeMap<String, u64>,
}

/// One host in the view of the reporting process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Host {
    pub host: String,
    pub role: String,
    pub address: String,
    pub availability_zone: String,
    pub pool: String,
    pub leaving: bool,
    /// Whether outlier ejection keeps it out of placement.
    pub ejected: bool,
    pub ready_ms_p50: f64,
}

/// Fingerprint of a request that crashed engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Quarantine {
    pub fingerprint: String,
    pub crashes: u8,
    pub seconds_left: u64,
}

/// One event of a request's trace; `GET /requests/ID` returns a list of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Trace {
    /// Microseconds since the first event at this process.
    pub at_us: u64,
    pub host: String,
    pub step: String,
    pub event: String,
    pub peer: String,
}

/// One histogram of `GET /histograms`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Histogram {
    /// `first_token_ms`, `between_tokens_ms` or `total_ms`.
    pub name: String,
    pub account: String,
    pub tier: String,
    pub count: u64,
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    pub max: f64,
}
