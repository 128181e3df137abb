//! What the machine wants done.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{event::Ticket, refusal::Refusal, roster, share};

/// One action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a call to a replica.
    Dispatch(Dispatch),
    /// Answer a call with a refusal.
    Refuse { ticket: Ticket, refusal: Refusal },
    /// Send the process's state to a peer.
    Share { to: SocketAddr, message: share::Message },
    /// Try to connect to a replica that could not be reached.
    Probe { replica: roster::Key, address: SocketAddr },
}

/// A call for a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    pub ticket: Ticket,
    pub replica: roster::Key,
    /// Identifier that the replica must have.
    pub id: Bytes,
    pub address: SocketAddr,
    /// Name of the account for the replica.
    pub account: Option<Bytes>,
    /// End of the time that the call may take.
    pub deadline: wire::time::Instant,
    /// Time after which a replica that has not answered is given up, where the call may go on
    /// elsewhere.
    pub patience: Option<Duration>,
    /// Whether the call's events are a stream.
    pub stream: bool,
    /// Whether the call may be repeated after it may have run.
    pub repeatable: bool,
}
