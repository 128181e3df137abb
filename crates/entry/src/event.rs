//! Events that the driver passes to the state machine.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use conf::tree;
use wire::{host, id, key, offer, outcome};

use crate::incoming::IncomingRequest;

/// An event for the machine to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer is due.
    Tick,
    /// A request was received from a caller.
    Request(IncomingRequest),
    /// A caller closed its connection before its final response.
    CallerDisconnected { caller: u64 },
    /// A caller requested an idempotency key for a route.
    KeyRequest { caller: u64, route: Bytes },
    /// An agent replied to a key request.
    KeyReply { caller: u64, reply: Result<key::Key, outcome::Refusal> },
    /// The connection of a key request closed without a reply.
    KeyFailed { caller: u64, peer: SocketAddr },
    /// An agent replied to an offer.
    OfferReply { request: id::Request, peer: SocketAddr, reply: offer::Reply },
    /// The connection of an offer closed without a reply.
    OfferFailed { request: id::Request, peer: SocketAddr },
    /// A frame was received on the stream of a commit or an attach.
    Frame { request: id::Request, peer: SocketAddr, frame: wire::Frame },
    /// The stream of a commit or an attach closed before its end frame, or its bytes were
    /// malformed.
    StreamFailed { request: id::Request, peer: SocketAddr },
    /// These settings are in force now.
    Settings(Arc<tree::Tree>),
    /// The list of hosts changed.
    Hosts(Vec<host::Record>),
    /// This entry may serve requests: settings are in force, and its peers have replied or the wait
    /// for their replies has timed out.
    Ready,
    /// A planned stop was ordered: refuse new requests and finish the open ones.
    Stop,
}
