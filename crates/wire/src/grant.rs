//! Grants: the entry's commitment to run a request at one agent.

use serde::{Deserialize, Serialize};

use crate::id;

/// Commits a request to the agent that issued the grant number. The body follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    pub grant: id::Grant,
    pub request: id::Request,
}

/// Asks for the frames of a granted request from a byte offset on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    pub grant: id::Grant,
    pub request: id::Request,
    pub offset: u64,
    /// Of the request, so that a replacement agent that finds its engine without the stream
    /// can suspect it.
    pub fingerprint: u64,
    /// Whether a replacement agent may resume the engine's stream by the grant number.
    pub resumable: bool,
}
