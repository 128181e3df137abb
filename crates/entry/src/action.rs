//! Actions that the state machine returns for its driver to carry out.

use std::net::SocketAddr;

use bytes::Bytes;
use wire::{grant, id, key, outcome, request, sync};

/// An action for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an offer to an agent and wait for its reply.
    Offer { peer: SocketAddr, head: request::Head },
    /// Close the connection on which an offer was sent.
    Withdraw { request: id::Request, peer: SocketAddr },
    /// Send a commit with the body stored for its request.
    Commit { peer: SocketAddr, commit: grant::Commit },
    /// Attach to the stream of a grant again, from an offset on.
    Attach { peer: SocketAddr, attach: grant::Attach },
    /// Notify the agent that no caller waits for this grant.
    Cancel { peer: SocketAddr, commit: grant::Commit },
    /// Request an idempotency key from an agent.
    KeyRequest { caller: u64, peer: SocketAddr, route: Bytes },
    /// Send the caller its idempotency key or a refusal.
    KeyResponse { caller: u64, response: Result<key::Key, outcome::Refusal> },
    /// Store the caller's body under this request identifier until `DropBody`.
    StoreBody { caller: u64, request: id::Request },
    /// Drop a stored body, which is no longer needed.
    DropBody { request: id::Request },
    /// Begin the response to the caller.
    Start { caller: u64, request: id::Request, status: u16, content_type: Bytes },
    /// Send the next bytes of the response to the caller.
    Data { caller: u64, bytes: Bytes },
    /// End the response to the caller, which is complete.
    Finish { caller: u64 },
    /// Send the caller a refusal as its final response; after `Start` it ends the stream with an
    /// error event.
    Refuse { caller: u64, request: Option<id::Request>, refusal: outcome::Refusal },
    /// Send suspects to other processes.
    Suspects(Vec<sync::Suspect>),
    /// Record one event of a request's trace.
    Trace { request: id::Request, step: outcome::Step, event: &'static str, peer: Bytes },
    /// End the planned stop: every open request has had its final response.
    Stopped,
}
