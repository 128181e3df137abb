//! Actions that the machine requests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{backends, event::RequestNumber, message, refusal::Refusal, source};

/// An action for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Refuse a request.
    Refuse { number: RequestNumber, refusal: Refusal },
    /// Send a datagram to a peer.
    Send { to: SocketAddr, datagram: message::Datagram },
    /// Query a peer over a connection, since the changes may not fit in a datagram.
    Fetch { peer: SocketAddr, query: message::Query },
    /// Put the changes in a peer's reply in force, then feed `Event::Installed`.
    Install(source::Update),
    /// Read the changes in the store now, besides the regular reads, and feed `Event::StoreRead`.
    ReadStore,
    /// Try to connect to a backend server that was unreachable.
    Probe { backend: backends::Key, address: SocketAddr },
}

/// A request and the backend server that it is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    pub number: RequestNumber,
    pub backend: backends::Key,
    /// Identifier that the backend server must have.
    pub id: Bytes,
    pub address: SocketAddr,
    /// Availability zone of the backend server.
    pub zone: Bytes,
    /// Name of the account, which is sent to the backend server.
    pub account: Option<Bytes>,
    /// Time at which the request ends.
    pub deadline: wire::time::Instant,
    /// Time from which the request must not be written to the connection any more, since the backend
    /// server warms up or may have begun to; `None` if its service doesn't warm up.
    pub send_by: Option<wire::time::Instant>,
    /// Time without a response after which `Event::Unresponsive` is due; `None` if the request may
    /// not be sent to another backend server.
    pub failover_timeout: Option<Duration>,
    /// When the request may be hedged; `None` if it may not.
    pub hedge: Option<Hedge>,
    /// Version of the backend server's software, for the log.
    pub version: Bytes,
    /// Decision inputs, for the log.
    pub inputs: Inputs,
    /// Whether the response is a stream of events.
    pub stream: bool,
}

/// Times of a second attempt for a request whose response is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hedge {
    /// Time without a response, or a stream's first event, after which `Event::Slow` is due.
    pub after: Duration,
    /// Longest time for both attempts; `None` if they may run until one has an answer.
    pub max_overlap: Option<Duration>,
}

/// Decision inputs of a dispatch.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Time that the request waited at the gateway.
    pub waited: Duration,
    /// Version of the configuration in force.
    pub configuration: u64,
    /// Time since the state in force was confirmed.
    pub age: Option<Duration>,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Requests in flight at the backend server from all gateways, this request included.
    pub running: u32,
    /// Prompt tokens that the backend server processes before those of the request.
    pub backlog: u32,
    /// Prompt tokens of the request.
    pub tokens: u32,
    /// Number of backend servers that may have run the request, this one included.
    pub attempt: u32,
    pub tier: u32,
    /// Units taken from the account's quota.
    pub units: f64,
    /// Rate limit of the backend server, in requests a second, that the request has a permit for.
    pub rate_limit: Option<f64>,
    /// Time for which the backend server still warms up, if the request has a permit for that.
    pub warm_up_left: Option<Duration>,
}
