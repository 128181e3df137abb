//! Messages between gateways: load, quota usage, suspects and the age of the view of the published
//! state.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Rounds between messages with the quota usage.
pub const USAGE_INTERVAL: u64 = 2;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    State(Box<Message>),
    #[serde(rename = "Ask")]
    Query(Query),
    #[serde(rename = "Answer")]
    Reply(Reply),
    Suspects(Vec<Suspect>),
    RateLimits(Vec<RateLimit>),
    Demands(Demands),
    Permits(Permits),
    Streams(Vec<Stream>),
    StreamQuery(StreamQuery),
    Loads(Loads),
    WarmUps(Vec<WarmUp>),
    PlainLoads(PlainLoads),
    Announcement(Announcement),
}

/// Load of one gateway, sent to nearby gateways soon after it changed, and to all others now and
/// then, so that they learn where it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    /// Random number that identifies this run of the process.
    pub process: u64,
    pub from: SocketAddr,
    /// Grows with each of these messages and of `Message`.
    pub sequence: u64,
    /// Hash of the name of the sender's availability zone.
    pub availability_zone: u64,
    /// As in `Message`.
    pub loads: Vec<Load>,
    /// As in `Message`.
    pub waiting: Vec<(u64, u32)>,
}

/// Load of one gateway while servers of a plain service have queues, sent to all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlainLoads {
    pub loads: Loads,
    /// Latest answers from servers of plain services since the last of these messages.
    pub answers: Vec<Answer>,
}

/// An answer from a server of a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Hash of the backend server's identifier.
    pub backend: u32,
    /// Time from the dispatch to the complete answer.
    pub took: Duration,
    /// Time since then.
    pub age: Duration,
}

/// A stream in progress that its caller may take up at another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stream {
    /// Hash of the identifier of the caller's attempt that began it.
    pub attempt: u64,
    /// Service and version that began it; see `origin::key`.
    pub origin: u64,
    /// Time since its first event.
    pub age: Duration,
}

/// Query for the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamQuery {
    pub from: SocketAddr,
    /// Hash of the identifier of the caller's attempt that began it.
    pub attempt: u64,
}

/// What a backend server last stated about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Hash that identifies the run; see `backends::Backend::run`.
    pub run: u64,
    /// Requests a second from all gateways together, or `None` without a limit.
    pub per_s: Option<f64>,
    /// Time since the response was received.
    pub age: Duration,
}

/// Permits that the sender needs for requests to backend servers with a rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demands {
    pub from: SocketAddr,
    /// Random number of these demands, which the permits repeat.
    pub token: u64,
    pub demands: Vec<Demand>,
    /// Limits of the runs, as the sender knows them.
    pub limits: Vec<RateLimit>,
    /// Warm-ups of the servers, as the sender knows them. Left out without any, so that builds
    /// before it can read the message.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub warm_ups: Vec<WarmUp>,
}

/// A backend server that warms up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Hash of the server's identifier; see `backends::Backend::server`. Permits for it have this
    /// number in place of the run.
    pub server: u64,
    /// Run that warms up, or whose successor does if it refused connections.
    pub run: u64,
    /// Requests a second for which permits are issued.
    pub per_s: f64,
    /// Time for which it warms up, as it was stated.
    pub left: Duration,
    /// Time since that was stated.
    pub age: Duration,
    pub source: WarmUpSource,
}

/// What says that a backend server warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WarmUpSource {
    /// Its record.
    Record,
    /// A record of a run that is new and doesn't say whether it warms up.
    Unstated,
    /// A response of the server.
    Response,
    /// It refused a connection, so its next run warms up.
    Refusal,
    /// The end of an evacuation of its zone.
    Evacuation,
}

impl WarmUpSource {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            WarmUpSource::Record => "record",
            WarmUpSource::Unstated => "unstated",
            WarmUpSource::Response => "response",
            WarmUpSource::Refusal => "refusal",
            WarmUpSource::Evacuation => "evacuation",
        }
    }

    /// Returns whether a record of a later run says more.
    pub fn is_of_one_run(self) -> bool {
        matches!(self, WarmUpSource::Record | WarmUpSource::Unstated | WarmUpSource::Refusal)
    }
}

/// Permits needed for one run of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub run: u64,
    /// Tier of the requests that wait for the backend server; `None` if the permits are for requests
    /// that may arrive next.
    pub tier: Option<u32>,
    /// Permits needed beside those that the sender holds.
    pub count: u16,
}

/// Permits for one run of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permits {
    /// Random number that identifies the issuing process.
    pub process: u64,
    /// Grows with each message of that process.
    pub number: u64,
    /// Token of the demands.
    pub token: u64,
    pub run: u64,
    pub count: u16,
}

/// Query for the receiver's view of the published state and the changes to it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// Number of the query, which the reply repeats.
    pub token: u64,
    pub from: SocketAddr,
    /// Revision of the sender's state.
    pub revision: u64,
}

/// Reply to a `Query`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    pub token: u64,
    /// Revision of the sender's state.
    pub revision: u64,
    /// Time since that revision was confirmed as the published one.
    pub age: Duration,
    /// Changes since the revision in the query, or `None` if they are not available or too large.
    pub entries: Option<Vec<StoreEntry>>,
}

/// One value of the store as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    pub key: Bytes,
    /// The value as the store encodes it.
    pub value: Bytes,
    pub deleted: bool,
}

/// A gateway's view of the published state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Ordinal; see `revision::Revision`. So are all revisions in these messages.
    pub revision: u64,
    /// Time since that revision was confirmed as the published one.
    pub age: Duration,
    /// Whether the sender has read the store recently.
    pub reads: bool,
}

/// A view that has just changed, sent to a few peers before the next `Message`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Number that identifies this run of the process.
    pub process: u64,
    pub from: SocketAddr,
    pub view: View,
}

/// State of one gateway. Messages don't build on each other, so if one is lost, the receiver only
/// uses the state of the previous one for longer. Load is in every message; state that changes
/// slowly is only in some of them, which keeps most messages small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Random number that identifies this run of the process.
    pub process: u64,
    pub from: Option<SocketAddr>,
    /// Grows with each message.
    pub sequence: u64,
    /// View of the published state; `None` until the sender has read it.
    #[serde(rename = "sight")]
    pub view: Option<View>,
    /// Whether the process accepts no new requests.
    pub stopping: bool,
    /// Load of this gateway at backend servers.
    pub loads: Vec<Load>,
    /// Speed estimates of the sender, by the hash of the backend server's identifier.
    pub speeds: Vec<(u32, Speed)>,
    /// Number of requests that wait at the sender, by the hash of the service's name.
    pub waiting: Vec<(u64, u32)>,
    /// Time since the start of the process.
    pub age: Duration,
    pub usage: Vec<Usage>,
    /// Usage of the whole window. Sent only in return for the first message of a process, and only
    /// if the sender has recorded the whole window.
    pub history: Option<Vec<History>>,
    /// Units a second asked of the sender, by the hash of the account's name, of accounts near their
    /// quota. Sent with the usage. Builds before it had a count here that none of them uses.
    #[serde(rename = "crashes")]
    pub demands: Vec<(u64, u32)>,
    /// Addresses of other gateways.
    pub peers: Vec<SocketAddr>,
}

/// Ends of backend servers under copies of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Suspect {
    pub fingerprint: u64,
    /// Time since a copy last completed, or was seen to go on.
    pub completed: Option<Duration>,
    pub ends: Vec<End>,
}

/// Ends of one run of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Hash that identifies the run; see `backends::Backend::run`.
    pub run: u64,
    pub count: u32,
    /// Time since the last one.
    pub age: Duration,
}

/// Load at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Hash of the backend server's identifier.
    #[serde(rename = "replica")]
    pub backend: u32,
    pub running: u16,
    /// Prompt tokens of requests without a first event.
    pub pending: u32,
}

/// Estimated speed of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Milliseconds per prompt token.
    pub prompt_ms: f32,
    /// Milliseconds between events of a stream.
    pub event_ms: f32,
    /// Number of samples of the sender.
    pub samples: u32,
}

/// Units that an account used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Hash of the account's name.
    pub account: u64,
    /// Units admitted by the sender since its start.
    pub admitted: f64,
}

/// Units that an account used at all gateways in the window, as counted by the sender.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Hash of the account's name.
    pub account: u64,
    /// Units in equal parts of the window, the latest first.
    pub parts: Vec<f32>,
}
