//! What gateways send each other: load, use of quotas, suspects, and how old what they know is.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    State(Box<Message>),
    Ask(Query),
    Answer(Reply),
}

/// Asks how old the receiver's knowledge is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// Number that the answer repeats.
    pub token: u64,
    pub from: SocketAddr,
    /// Revision of the sender's state.
    pub revision: u64,
}

/// Answers an `Ask`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    pub token: u64,
    /// Revision of the sender's state.
    pub revision: u64,
    /// Time since that revision was known to be the published one.
    pub age: Duration,
    /// Changes since the revision asked for, or `None` if they are not known or too large.
    pub entries: Option<Vec<Entry>>,
}

/// One value of the store as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub key: Bytes,
    /// The value as the store encodes it.
    pub value: Bytes,
    pub deleted: bool,
}

/// What a gateway knows of the published state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub revision: u64,
    /// Time since that revision was known to be the published one.
    pub age: Duration,
    /// Whether the sender reads the store with success.
    pub reads: bool,
}

/// One gateway's state. Each message stands for itself, so a lost one costs only age. Load is in
/// every message; what changes slowly is in some of them only, which keeps most of them small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Number drawn at the process's start.
    pub process: u64,
    pub from: Option<SocketAddr>,
    /// Grows with each message.
    pub sequence: u64,
    /// What the sender knows of the published state; nothing before it has read it.
    pub sight: Option<View>,
    /// The process takes no new requests.
    pub stopping: bool,
    /// Work of this gateway at backend servers.
    pub loads: Vec<Load>,
    /// Speeds that the sender learned, by the hash of the backend server's identifier.
    pub speeds: Vec<(u32, Speed)>,
    /// Requests that wait at the sender, by the hash of the service's name.
    pub waiting: Vec<(u64, u32)>,
    /// Time since the start of the process.
    pub age: Duration,
    pub usage: Vec<Usage>,
    /// Usage of the whole window, for a process that has just started. Only in the answer to its
    /// first message, and only from a process that knows it.
    pub history: Option<Vec<History>>,
    /// Crashes by fingerprint.
    pub crashes: Vec<(u64, u32)>,
    /// Other gateways that this one knows.
    pub peers: Vec<SocketAddr>,
}

/// Work at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Hash of the backend server's identifier.
    pub replica: u32,
    pub running: u16,
    /// Prompt tokens of requests without a first event.
    pub pending: u32,
}

/// What a backend server is learned to be capable of.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Milliseconds for a prompt token.
    pub prompt_ms: f32,
    /// Milliseconds between events of a stream.
    pub event_ms: f32,
    /// Samples that the sender took.
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

/// Units that an account used at all gateways, as far as the sender knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Hash of the account's name.
    pub account: u64,
    /// Units in equal parts of the window, the latest first.
    pub parts: Vec<f32>,
}
