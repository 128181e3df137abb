//! Messages about grants, by which an entry commits a request to one agent.

use serde::{Deserialize, Serialize};

use crate::id;

/// Commits a request to the agent that issued the grant number. The request body follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    pub grant: id::Grant,
    pub request: id::Request,
}

/// Requests the frames of a granted request from a byte offset on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    pub grant: id::Grant,
    pub request: id::Request,
    pub offset: u64,
    /// Fingerprint of the request. A replacement agent whose engine no longer has the stream
    /// reports it as a suspect.
    pub fingerprint: u64,
    /// Whether a replacement agent may resume the engine's stream by its grant number.
    pub resumable: bool,
}
