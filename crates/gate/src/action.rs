//! What the machine wants done.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{backends, event::RequestNumber, message, refusal::Refusal, source};

/// One action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Answer a request with a refusal.
    Refuse { number: RequestNumber, refusal: Refusal },
    /// Send a peer a datagram.
    Send { to: SocketAddr, datagram: message::Datagram },
    /// Ask a peer over a connection, since its answer does not fit in a datagram.
    Fetch { peer: SocketAddr, query: message::Query },
    /// Put the entries of a peer's answer in force and report them as installed.
    Install(source::Update),
    /// Try to connect to a backend server that could not be reached.
    Probe { backend: backends::Key, address: SocketAddr },
}

/// A request for a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    pub number: RequestNumber,
    pub backend: backends::Key,
    /// Identifier that the backend server must have.
    pub id: Bytes,
    pub address: SocketAddr,
    /// Name of the account for the backend server.
    pub account: Option<Bytes>,
    /// End of the time that the request may take.
    pub deadline: wire::time::Instant,
    /// Time after which a backend server that has not answered is given up, where the request may go on
    /// elsewhere.
    pub failover_timeout: Option<Duration>,
    /// What the choice rested on, for the log.
    pub inputs: Inputs,
    /// Whether the request's events are a stream.
    pub stream: bool,
}

/// What the choice of a backend server rested on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Time that the request waited at the gateway.
    pub waited: Duration,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Requests at the backend server from all gateways, this one included.
    pub running: u32,
    /// Prompt tokens to be read before the request's own.
    pub backlog: u32,
    /// Prompt tokens of the request.
    pub tokens: u32,
    /// Backend servers that may have run the request, this one included.
    pub attempt: u32,
    pub tier: u32,
    /// Units taken from the account's quota.
    pub units: f64,
}
