//! State machine of an entry: from a caller's request to its one final answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use conf::tree;
use wire::{frame, grant, host, id, key, offer, outcome, request, time::Instant};

/// A caller's request as the shell parsed it, before the filter chain.
#[derive(Clone, Debug)]
pub struct Call {
    /// Handle of the caller's connection, chosen by the shell; answers name it.
    pub caller: u64,
    pub method: Bytes,
    /// Path with query.
    pub path: Bytes,
    pub content_type: Bytes,
    /// `model` of a chat-completions body, empty otherwise.
    pub model: Bytes,
    pub account: Bytes,
    /// Whether the bearer token matched the account's setting.
    pub authenticated: bool,
    pub tier: Option<Bytes>,
    pub deadline: Option<Duration>,
    pub key: Option<Bytes>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub body_len: u64,
    /// Hash of the body.
    pub body_hash: u64,
    /// Hash of system prompt and the first 2 KiB of the first user message.
    pub prefix_hash: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Call(Call),
    CallerGone {
        caller: u64,
    },
    /// A caller asks for an idempotency key for a route.
    KeyCall {
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
    StreamLost {
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
    KeyCall {
        caller: u64,
        peer: SocketAddr,
        route: Bytes,
    },
    KeyAnswer {
        caller: u64,
        answer: Result<key::Key, outcome::Refusal>,
    },
    /// The request has this identifier; the shell keeps the body under it until `Drop`.
    Hold {
        caller: u64,
        request: id::Request,
    },
    /// The body is no longer needed.
    Drop {
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

/// Identity of the entry.
#[derive(Clone, Debug)]
pub struct Setup {
    pub process: id::Process,
    pub host: Bytes,
    pub availability_zone: Bytes,
    pub seed: u64,
}

/// Decisions of one entry process.
#[derive(Debug)]
pub struct Machine {
    setup: Setup,
}

impl Machine {
    /// Returns a machine that refuses every call until it is ready.
    pub fn new(setup: Setup) -> Machine {
        Machine { setup }
    }

    /// Handles one event and appends what has to be done.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        let _ = (now, event, actions, &self.setup, None::<frame::Body>);
        todo!()
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        todo!()
    }

    /// Fills in queues, hosts and counters for operators.
    pub fn report(&self, now: Instant, status: &mut wire::status::Status) {
        let _ = (now, status);
        todo!()
    }
}
