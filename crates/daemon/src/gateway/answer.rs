//! What a backend server answers: a stream from its first event on, or a whole response.

use bytes::Bytes;
use gate::{
    Event,
    action::Dispatch,
    event::{AttemptResult, RequestNumber},
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Response;
use platform::message;
use wire::time::Instant;

use crate::{
    framing::Framing,
    gateway::{
        exchange::{self, UnreadResponse},
        offer::Offer,
        relay,
        reporter::Reporter,
    },
    http,
};

/// Largest response that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// The answer to a request.
pub struct Answer {
    pub dispatch: Dispatch,
    pub sent_at: Instant,
    pub content: Content,
}

/// Content of an answer.
pub enum Content {
    Stream(Box<relay::StartedStream>),
    Whole(Response<http::Body>, Framing),
}

impl Content {
    /// Returns the event that reports the content; `None` for a stream without an event so far.
    pub fn build_event(&self, number: RequestNumber) -> Option<Event> {
        match self {
            Content::Stream(started) => started.has_event.then_some(Event::FirstEvent { number }),
            Content::Whole(_, framing) => {
                Some(Event::Ended { number, result: exchange::end_result(*framing) })
            }
        }
    }
}

/// Why an attempt has no answer.
pub struct Failure {
    pub cause: Cause,
    /// The failure response of the backend server.
    pub response: Option<Response<http::Body>>,
    /// Framing of a stream that ended without an event, and the bytes that it had.
    pub stream_end: Option<(Framing, usize)>,
}

/// How the machine learns of a failure.
pub enum Cause {
    Event(Box<Event>),
    Result(AttemptResult),
}

impl Failure {
    fn new(result: AttemptResult) -> Failure {
        Failure { cause: Cause::Result(result), response: None, stream_end: None }
    }

    /// Returns the event that reports the failure.
    pub fn build_event(&self, number: RequestNumber) -> Event {
        match &self.cause {
            Cause::Event(event) => (**event).clone(),
            Cause::Result(result) => Event::Ended { number, result: *result },
        }
    }
}

/// Waits for the response to an offer and reads the answer.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn receive(reporter: Reporter, mut offer: Offer) -> Result<Content, Failure> {
    let result = offer.response().await;
    match reporter.classify(&offer.dispatch, result, &offer.pool) {
        Ok(unread) => read(&offer.dispatch, *unread).await,
        Err(event) => Err(Failure { cause: Cause::Event(event), response: None, stream_end: None }),
    }
}

/// Reads a stream up to its first event, or any other response completely.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn read(dispatch: &Dispatch, unread: UnreadResponse) -> Result<Content, Failure> {
    let is_stream =
        dispatch.stream && unread.head.status.is_success() && relay::is_event_stream(&unread.head);
    if !is_stream {
        return read_whole(unread).await;
    }
    let started = relay::start_stream(unread).await;
    let failure = |(result, stream_end)| Failure { stream_end, ..Failure::new(result) };
    started.map(|started| Content::Stream(Box::new(started))).map_err(failure)
}

/// Reads a response completely before any of it is forwarded.
async fn read_whole(unread: UnreadResponse) -> Result<Content, Failure> {
    let UnreadResponse { head, framing, body, sender, pool } = unread;
    let read = Limited::new(body, MAX_BUFFERED_BYTES).collect().await;
    let bytes: Bytes = match read {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let is_too_large = error.is::<LengthLimitError>();
            let result = if is_too_large { AttemptResult::Invalid } else { AttemptResult::Broken };
            return Err(Failure::new(result));
        }
    };
    pool.release(sender, exchange::idle_time(&head.headers));
    let mut response = http::buffered(head.status.as_u16(), "", bytes);
    *response.headers_mut() = message::build_response_headers(&head.headers);
    if !head.status.is_success() {
        return Err(Failure { response: Some(response), ..Failure::new(AttemptResult::Failed) });
    }
    Ok(Content::Whole(response, framing))
}
