//! Events that the agent handles and the actions that it requests. The driver feeds the events and
//! carries out the actions.

use std::sync::Arc;

use bytes::Bytes;
use conf::tree;
use wire::{grant, host, id, key, offer, outcome, request, sync, time::Instant};

/// Handle of the connection of one offer, commit, attach or key request. The driver chooses it;
/// replies and frames name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Link(pub u64);

/// What the backend server sent, or what failed, for a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The response began. `instance` identifies the run of the backend server's process.
    Started { status: u16, content_type: Bytes, instance: Bytes },
    /// Bytes of the response from `offset` on.
    Data { offset: u64, bytes: Bytes },
    /// The response ended after its stated length or last chunk.
    End,
    /// The response, which has neither a length nor chunks, ended with its connection.
    Closed,
    /// The connection could not be opened, so nothing was sent.
    Unreachable,
    /// The connection was lost after bytes may have been sent.
    ConnectionLost,
    /// The backend server refused a resume, since it has no such stream.
    StreamNotFound { instance: Bytes },
}

/// An event for the machine to handle.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Offer {
        link: Link,
        offer: offer::Offer,
    },
    /// The entry closed the connection of an offer, commit, attach or key request.
    LinkClosed {
        link: Link,
    },
    /// A commit with its body, whose length the driver checks.
    Commit {
        link: Link,
        commit: grant::Commit,
        body: Bytes,
    },
    Attach {
        link: Link,
        attach: grant::Attach,
    },
    Cancel {
        commit: grant::Commit,
    },
    KeyRequest {
        link: Link,
        route: Bytes,
    },
    Backend {
        grant: id::Grant,
        progress: Progress,
    },
    /// Result of a probe: the instance of the backend server, or `None` if it did not respond.
    Probe {
        instance: Option<Bytes>,
    },
    /// The backend server responded to a request or probe that was sent at `sent_at`. `per_s` is
    /// the rate limit that the response names, in requests a second.
    RateLimitStated {
        sent_at: Instant,
        per_s: Option<f64>,
    },
    /// Load report of the engine, which lags behind its state.
    Load {
        running: u32,
        waiting: u32,
    },
    Settings(Arc<tree::Tree>),
    Hosts(Vec<host::Record>),
    Ready,
    /// `Action::Refresh` is complete: newer settings and host lists of another process, if it had
    /// any, came in earlier events.
    Refreshed,
    /// Suspects that other agents reported.
    Suspects(Vec<sync::Suspect>),
    Stop,
}

/// An action for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Reply to an offer and close the link.
    Reply {
        link: Link,
        reply: offer::Reply,
    },
    /// Send a frame on the link of a commit or attach.
    Frame {
        link: Link,
        frame: wire::Frame,
    },
    /// Close the link after the frames sent so far.
    Close {
        link: Link,
    },
    KeyReply {
        link: Link,
        reply: Result<key::Key, outcome::Refusal>,
    },
    /// Send the request to the backend server, without any retry.
    Dispatch {
        grant: id::Grant,
        head: request::Head,
        body: Bytes,
    },
    /// Resume the stream of this grant from an offset. The driver drops the earlier connection of
    /// the grant. Bytes that it delivered may still be handled later, which is why `Data` has an
    /// offset.
    Resume {
        grant: id::Grant,
        offset: u64,
    },
    /// Cancel the stream of this grant at the backend server.
    Cancel {
        grant: id::Grant,
    },
    /// Send an order to the engine.
    Order {
        order: tree::Order,
    },
    /// Compare settings and host list with another process, since this one was paused.
    Refresh,
    /// Send these suspects to other processes.
    Suspects(Vec<sync::Suspect>),
    Trace {
        request: id::Request,
        step: outcome::Step,
        event: &'static str,
        peer: Bytes,
    },
    /// No open stream and no reservation is left after `Event::Stop`.
    Stopped,
}

/// Identity of the agent, and the seed of its random numbers.
#[derive(Clone, Debug)]
pub struct Setup {
    pub process: id::Process,
    pub host: Bytes,
    pub pool: Bytes,
    pub seed: u64,
}

/// Time of one event, and the list that receives its actions.
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) out: &'a mut Vec<Action>,
}

impl Context<'_> {
    pub(crate) fn push(&mut self, action: Action) {
        self.out.push(action);
    }
}
