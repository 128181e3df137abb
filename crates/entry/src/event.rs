//! Events that the shell reports to the state machine.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use conf::tree;
use wire::{host, id, key, offer, outcome};

use crate::incoming::IncomingRequest;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Request(IncomingRequest),
    CallerDisconnected {
        caller: u64,
    },
    /// A caller asks for an idempotency key for a route.
    KeyRequest {
        caller: u64,
        route: Bytes,
    },
    KeyReply {
        caller: u64,
        reply: Result<key::Key, outcome::Refusal>,
    },
    KeyFailed {
        caller: u64,
        peer: SocketAddr,
    },
    /// An agent answered an offer.
    OfferReply {
        request: id::Request,
        peer: SocketAddr,
        reply: offer::Reply,
    },
    /// The connection of an offer closed without an answer.
    OfferFailed {
        request: id::Request,
        peer: SocketAddr,
    },
    /// A frame arrived on a grant's or attach's stream.
    Frame {
        request: id::Request,
        peer: SocketAddr,
        frame: wire::Frame,
    },
    /// The stream of a grant or attach closed; the end was not seen, or bytes were malformed.
    StreamFailed {
        request: id::Request,
        peer: SocketAddr,
    },
    Settings(Arc<tree::Tree>),
    Hosts(Vec<host::Record>),
    /// Settings were distributed far enough to serve.
    Ready,
    /// A planned stop was ordered: no new calls, finish the open ones.
    Stop,
}
