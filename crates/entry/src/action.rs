//! Actions that the state machine asks of the shell.

use std::net::SocketAddr;

use bytes::Bytes;
use wire::{grant, id, key, outcome, request, sync};

/// What the shell has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an offer and wait for its reply.
    Offer {
        peer: SocketAddr,
        head: request::Head,
    },
    /// Close the connection of an offer.
    Withdraw {
        request: id::Request,
        peer: SocketAddr,
    },
    /// Send the commitment with the body held for `request`.
    Commit {
        peer: SocketAddr,
        commit: grant::Commit,
    },
    Attach {
        peer: SocketAddr,
        attach: grant::Attach,
    },
    /// Tell the agent that nobody waits for this grant.
    Cancel {
        peer: SocketAddr,
        commit: grant::Commit,
    },
    KeyRequest {
        caller: u64,
        peer: SocketAddr,
        route: Bytes,
    },
    KeyResponse {
        caller: u64,
        response: Result<key::Key, outcome::Refusal>,
    },
    /// The request has this identifier; the shell keeps the body under it until `Drop`.
    StoreBody {
        caller: u64,
        request: id::Request,
    },
    /// The body is no longer needed.
    DropBody {
        request: id::Request,
    },
    /// Begin the answer to the caller.
    Start {
        caller: u64,
        request: id::Request,
        status: u16,
        content_type: Bytes,
    },
    Data {
        caller: u64,
        bytes: Bytes,
    },
    /// The answer is whole.
    Finish {
        caller: u64,
    },
    /// The final answer is a refusal; after `Start` it ends the stream with an error event.
    Refuse {
        caller: u64,
        request: Option<id::Request>,
        refusal: outcome::Refusal,
    },
    /// Suspects to pass on to other processes.
    Suspects(Vec<sync::Suspect>),
    /// One event of a request's trace.
    Trace {
        request: id::Request,
        step: outcome::Step,
        event: &'static str,
        peer: Bytes,
    },
    /// Every open request has its final answer after a planned stop.
    Stopped,
}
