//! Events an agent reacts to and the actions it asks of its shell.

use std::sync::Arc;

use bytes::Bytes;
use conf::tree;
use wire::{grant, host, id, key, offer, outcome, request, sync, time::Instant};

/// Handle of a peer's connection, chosen by the shell; replies and frames name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Link(pub u64);

/// What the shell learned about a dispatched request from the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The answer began. `instance` names the backend server's run.
    Started { status: u16, content_type: Bytes, instance: Bytes },
    /// Bytes of the answer from `offset` on.
    Data { offset: u64, bytes: Bytes },
    /// The answer ended as the protocol demands.
    End,
    /// The connection could not be opened: nothing was sent.
    Unreachable,
    /// The connection was lost after bytes may have been sent.
    ConnectionLost,
    /// A resume was answered: the backend server does not know the stream.
    StreamNotFound { instance: Bytes },
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Offer {
        link: Link,
        offer: offer::Offer,
    },
    /// The connection of an offer, commit or attach closed.
    LinkClosed {
        link: Link,
    },
    /// A commitment arrived with its body's length checked by the shell.
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
    /// The shell's probe found the backend server's run; `None` if it does not answer.
    Probe {
        instance: Option<Bytes>,
    },
    /// The engine's load report, which lags.
    Load {
        running: u32,
        waiting: u32,
    },
    Settings(Arc<tree::Tree>),
    Hosts(Vec<host::Record>),
    Ready,
    /// The answer to `Refresh`: settings and host list as another process has them came before.
    Refreshed,
    /// Suspects learned from other agents.
    Suspects(Vec<sync::Suspect>),
    Stop,
}

/// What the shell has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer an offer; the link is done.
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
    /// Send the request to the backend server, once.
    Dispatch {
        grant: id::Grant,
        head: request::Head,
        body: Bytes,
    },
    /// Resume the backend server's stream of this grant from an offset. The shell drops the
    /// earlier connection of this grant. What it had delivered before may still be handled
    /// later, which is why `Data` names its offset.
    Resume {
        grant: id::Grant,
        offset: u64,
    },
    /// Cancel the backend server's stream of this grant.
    Cancel {
        grant: id::Grant,
    },
    /// Give the backend server an order.
    Order {
        order: tree::Order,
    },
    /// Compare settings and host list with another process, since this one was paused.
    Refresh,
    /// Suspects to pass on to other processes.
    Suspects(Vec<sync::Suspect>),
    Trace {
        request: id::Request,
        step: outcome::Step,
        event: &'static str,
        peer: Bytes,
    },
    /// Nothing is in progress after a planned stop.
    Stopped,
}

/// Identity of the agent.
#[derive(Clone, Debug)]
pub struct Setup {
    pub process: id::Process,
    pub host: Bytes,
    pub pool: Bytes,
    pub seed: u64,
}

/// The time of one event and where its actions go.
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) out: &'a mut Vec<Action>,
}

impl Context<'_> {
    pub(crate) fn push(&mut self, action: Action) {
        self.out.push(action);
    }
}
