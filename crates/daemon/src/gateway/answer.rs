//! What a backend server answers: a stream from its first event on, or a whole response.

use gate::{
    Event,
    action::Dispatch,
    event::{AttemptResult, RequestNumber},
};
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body};
use platform::message;
use wire::{response::Meaning, time::Instant};

use crate::{
    caller::{Buffer, Caller},
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
    /// The failure response of the backend server, if the caller may receive it.
    pub response: Option<Response<http::Body>>,
    /// Status of the failure response that the caller may not receive.
    pub withheld: Option<StatusCode>,
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
        Failure::with_cause(Cause::Result(result))
    }

    fn with_cause(cause: Cause) -> Failure {
        Failure { cause, response: None, withheld: None, stream_end: None }
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
pub async fn receive(
    reporter: Reporter,
    mut offer: Offer,
    caller: Caller,
) -> Result<Content, Failure> {
    let result = offer.response().await;
    match reporter.classify(&offer.dispatch, result, &offer.pool) {
        Ok(unread) => read(&offer.dispatch, *unread, &caller).await,
        Err(event) => Err(Failure::with_cause(Cause::Event(event))),
    }
}

/// Reads a stream up to its first event, or any other response completely.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn read(
    dispatch: &Dispatch,
    unread: UnreadResponse,
    caller: &Caller,
) -> Result<Content, Failure> {
    let is_stream =
        dispatch.stream && unread.head.status.is_success() && relay::is_event_stream(&unread.head);
    if !is_stream {
        return read_whole(unread, caller).await;
    }
    let started = relay::start_stream(unread, caller).await;
    let failure = |(result, stream_end)| Failure { stream_end, ..Failure::new(result) };
    started.map(|started| Content::Stream(Box::new(started))).map_err(failure)
}

/// Reads a response completely before any of it is forwarded.
async fn read_whole(unread: UnreadResponse, caller: &Caller) -> Result<Content, Failure> {
    let UnreadResponse { head, framing, body, sender, pool } = unread;
    let received = collect(body, caller).await.map_err(Failure::new)?;
    pool.release(sender, exchange::idle_time(&head.headers));
    let mut response = Response::new(received.into_body());
    *response.status_mut() = head.status;
    *response.headers_mut() = message::build_response_headers(&head.headers);
    let failure = Failure::new(exchange::failure_result(framing));
    match Meaning::of(head.status.as_u16()) {
        Meaning::Success => Ok(Content::Whole(response, framing)),
        meaning if meaning.is_forwarded() => Err(Failure { response: Some(response), ..failure }),
        _ => Err(Failure { withheld: Some(head.status), ..failure }),
    }
}

/// Collects the body of a response.
///
/// # Errors
///
/// Returns the result of a response that is not complete, or too large.
async fn collect(mut body: body::Incoming, caller: &Caller) -> Result<Buffer, AttemptResult> {
    let mut received = Buffer::new(caller.clone());
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| AttemptResult::Broken)?.into_data() else { continue };
        if received.len() + data.len() > MAX_BUFFERED_BYTES {
            return Err(AttemptResult::Invalid);
        }
        received.extend(&data, MAX_BUFFERED_BYTES).map_err(|_| AttemptResult::Discarded)?;
    }
    Ok(received)
}
