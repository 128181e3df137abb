//! What the machine is told.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use crate::{backends, catalog::Catalog, message, request::Request, source};

/// Number of a request within its process.
pub type RequestNumber = u64;

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was whole.
    Complete,
    /// The backend server answered that it failed.
    Failed,
    /// The answer was cut, spoiled or not the request's own.
    Broken,
}

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read.
    Arrived { number: RequestNumber, request: Request },
    /// The caller left, or the request's time ran out.
    Closed { number: RequestNumber },
    /// Nothing of the request was sent, since no connection was to be had.
    NotSent { number: RequestNumber },
    /// The backend server states that it did not run the request.
    Rejected { number: RequestNumber, retry_after: Option<Duration> },
    /// Another backend server has the address.
    Misdirected { number: RequestNumber },
    /// The first event of the answer came.
    FirstEvent { number: RequestNumber },
    /// Nothing came from the backend server for the request's patience. The request moves to another backend server
    /// if one can take it at once; otherwise it stays.
    Unresponsive { number: RequestNumber },
    /// Events of the answer came within this time.
    EventsReceived { number: RequestNumber, events: u32, span: Duration },
    /// The dispatched request ended.
    Ended { number: RequestNumber, outcome: Outcome },
    /// A configuration was read.
    Catalog(Rc<Catalog>),
    /// A backend server's record was written, or removed.
    Record { id: Bytes, record: Option<backends::Record> },
    /// All records were read.
    Records(Vec<(Bytes, backends::Record)>),
    /// Everything up to revision `to` is in force and was published at that time; the entries
    /// came after revision `from`, or are everything.
    StoreRead { at: Instant, from: Option<u64>, to: u64, entries: Vec<message::Entry> },
    /// What a peer's answer brought is in force.
    Installed(source::Update),
    /// A peer asks how old this gateway's knowledge is.
    QueryReceived(message::Query),
    /// A peer answered.
    ReplyReceived(message::Reply),
    /// The store did not answer.
    StoreUnreachable,
    /// A peer's state came.
    StateReceived(message::Message),
    /// A probe ended.
    Probed { backend: backends::Key, reachable: bool },
    /// A planned stop began.
    Stop,
    /// A timer is due.
    Tick,
}
