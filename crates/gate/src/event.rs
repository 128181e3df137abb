//! Events that the machine handles.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
pub use cause::answer::CONTINUATION_TIME;
use wire::time::Instant;

use crate::{backends, catalog::Catalog, message, request::Request, source, statement::Statement};

/// Number of a request within its process.
pub type RequestNumber = u64;

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The response is complete.
    Complete,
    /// The response ended with its connection, so the backend server may have ended before it.
    Unframed,
    /// The backend server responded with a failure.
    Failed,
    /// The backend server responded with a failure that ended with its connection, so it may have
    /// ended before the response did.
    UnframedFailure,
    /// The connection was lost before the end of the response.
    Broken,
    /// The response is invalid or belongs to another request. The backend server has not ended.
    Invalid,
    /// The response was not read since there was no memory for it, which is no fault of the backend
    /// server.
    Discarded,
}

impl AttemptResult {
    /// Returns whether the backend server responded with a failure.
    pub fn is_failure(self) -> bool {
        matches!(self, AttemptResult::Failed | AttemptResult::UnframedFailure)
    }

    /// Returns whether the response is passed on as whole.
    pub fn is_whole(self) -> bool {
        matches!(self, AttemptResult::Complete | AttemptResult::Unframed)
    }
}

/// An event for the machine to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read.
    Arrived { number: RequestNumber, request: Request },
    /// The caller disconnected, the deadline passed or the response was sent.
    Closed { number: RequestNumber },
    /// Nothing of the request was sent, for example since the connection failed.
    NotSent { number: RequestNumber },
    /// The connection was opened, but too late to send the request on it; see `Dispatch::send_by`.
    Late { number: RequestNumber },
    /// No process listens at the backend server's address; nothing of the request was sent.
    Refused { number: RequestNumber },
    /// While the request waited for its connection, the backend server left, its zone was evacuated,
    /// or the state became too old to be used; nothing of the request was sent.
    Withdrawn { number: RequestNumber },
    /// The backend server stated that it did not run the request.
    Rejected { number: RequestNumber, retry_after: Option<Duration> },
    /// The address belongs to another backend server.
    Misdirected { number: RequestNumber },
    /// A rejection was received that may be an extra response to an earlier request, so that the
    /// backend server may have run this one.
    DoubtfulRejection { number: RequestNumber },
    /// The head of a response was received. `per_s` is the rate limit that it names, in requests a
    /// second from all gateways together.
    RateLimitStated { number: RequestNumber, per_s: Option<f64> },
    /// The head of a response to this request was received on a connection that was opened at
    /// `connected_at` and had other requests before. Reported while the run of its backend server is
    /// taken to have ended.
    Responded { number: RequestNumber, connected_at: Instant },
    /// Data of a response arrived, for which the gateway had waited since `waiting_since`, on a
    /// connection that was opened at `connected_at`. Reported while the run of its backend server is
    /// taken to have ended.
    Progressed { number: RequestNumber, connected_at: Instant, waiting_since: Instant },
    /// The head of a response states something of the backend server.
    Stated { number: RequestNumber, statement: Statement },
    /// The first event of the response was received.
    FirstEvent { number: RequestNumber },
    /// A further event of the response was received `CONTINUATION_TIME` after the first one or later.
    Continued { number: RequestNumber },
    /// No response was received for `Dispatch::failover_timeout`, or no data of a stream in
    /// progress for the driver's limit. The request is dispatched to another backend server if one
    /// has capacity now, and otherwise stays where it is. The next event on it is either `Moved`, or
    /// states why the other backend server doesn't take it.
    Unresponsive { number: RequestNumber },
    /// The backend server that an unresponsive request was dispatched to has accepted it, and the
    /// former one is given up.
    Moved { number: RequestNumber },
    /// No response, or first event of a stream, was received for `Hedge::after`. The request is
    /// dispatched to a second backend server if a hedge is allowed now.
    Slow { number: RequestNumber },
    /// An event on the second attempt of a hedged request. While both attempts run, all other
    /// events are on the first one. The first event or the complete response of either attempt
    /// cancels the other. `Event::Moved` states that the second server has accepted the request,
    /// and that the first attempt is given up for it.
    Hedge { number: RequestNumber, event: Box<Event> },
    /// Further events of the response were received within `span`.
    EventsReceived { number: RequestNumber, events: u32, span: Duration },
    /// The attempt at the backend server ended.
    Ended { number: RequestNumber, result: AttemptResult },
    /// A new configuration was read.
    Catalog(Rc<Catalog>),
    /// Operators evacuate an availability zone, or take it back.
    Evacuation { zone: Bytes, is_active: bool },
    /// All items were read: these availability zones are evacuated. It precedes the records of the
    /// same read.
    Evacuations(Vec<Bytes>),
    /// A backend server's record was written or removed.
    Record { id: Bytes, record: Option<backends::Record> },
    /// The records of all backend servers were read.
    Records(Vec<(Bytes, backends::Record)>),
    /// The store came back from an older copy, and the events up to the next `StoreRead` have what
    /// it holds. What it lost may be written again.
    StoreRestored,
    /// The store was read: revision `to` is in force and was the published one at time `at`. The
    /// entries are the changes after revision `from`. If `from` is `None`, the whole state was read
    /// and the entries are not used.
    ///
    /// Revisions are ordinals; see `revision::Revision`.
    StoreRead { at: Instant, from: Option<u64>, to: u64, entries: Vec<message::StoreEntry> },
    /// The changes in a peer's reply are in force.
    Installed(source::Update),
    /// A peer's view of the published state has changed.
    AnnouncementReceived(message::Announcement),
    /// A peer sent a query.
    QueryReceived(message::Query),
    /// A peer replied to a query.
    ReplyReceived(message::Reply),
    /// A query over a connection has no reply.
    FetchFailed { token: u64 },
    /// A request to the store failed.
    StoreUnreachable,
    /// Part of a response of the store was received, the rest of which is on its way.
    StoreResponding,
    /// A peer sent its state.
    StateReceived(message::Message),
    /// A nearby peer sent its load.
    LoadsReceived(message::Loads),
    /// A peer sent its load since servers of a plain service have queues.
    PlainLoadsReceived(message::PlainLoads),
    /// A peer sent suspects.
    SuspectsReceived(Vec<message::Suspect>),
    /// A peer sent rate limits of backend servers.
    RateLimitsReceived(Vec<message::RateLimit>),
    /// A peer demands permits.
    DemandsReceived(message::Demands),
    /// A peer issued permits.
    PermitsReceived(message::Permits),
    /// A peer sent backend servers that warm up.
    WarmUpsReceived(Vec<message::WarmUp>),
    /// A peer sent origins of streams.
    StreamsReceived(Vec<message::Stream>),
    /// A peer asks for the origin of a stream.
    StreamQueryReceived(message::StreamQuery),
    /// A probe ended.
    Probed { backend: backends::Key, reachable: bool },
    /// A planned stop was requested. A process that was busy handles it later.
    Stop { requested_at: Instant },
    /// A timer is due.
    Tick,
}
