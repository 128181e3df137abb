//! Forwards a stream's events as they arrive.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use gate::{
    action::Dispatch,
    event::{AttemptResult, CONTINUATION_TIME},
};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, StatusCode, body, header, http::response};
use prometheus_client::metrics::histogram::Histogram;

use wire::{event_stream, time::Instant};

use crate::{
    caller::Caller,
    clock,
    connection::{Pool, Sender},
    framing::Framing,
    gateway::{
        Instruction,
        events::{EventBuffer, MAX_EVENT_BYTES},
        exchange::{self, Attempt, Exchange, Failover, UnreadResponse},
        offer::Offer,
    },
    http,
};

/// Events between two reports of a stream's speed.
const EVENTS_PER_REPORT: u32 = 8;
/// Time without a complete event after which a stream that may be resumed at another backend server
/// is moved to one with free capacity. Parts of an event and comments are no progress.
const STREAM_FAILOVER_TIMEOUT: Duration = Duration::from_millis(900);

/// Reason for the end of a stream whose deadline passed.
const DEADLINE: &str = "deadline";

/// A stream that was read up to its first complete event, or to its end if it has none.
pub struct StartedStream {
    pub head: response::Parts,
    pub has_event: bool,
    reader: BodyReader,
    events: EventBuffer,
    ready: VecDeque<Bytes>,
}

impl StartedStream {
    /// Returns the framing of the backend server's response.
    pub fn framing(&self) -> Framing {
        self.reader.framing
    }
}

/// Body of a backend server's response and its connection.
struct BodyReader {
    body: body::Incoming,
    sender: Sender,
    pool: Pool,
    idle: Duration,
    framing: Framing,
}

/// Result of a read from a response body.
enum BodyRead {
    Data(Bytes),
    End,
    Broken,
}

impl BodyReader {
    async fn read(&mut self) -> BodyRead {
        loop {
            match self.body.frame().await.map(|frame| frame.map(body::Frame::into_data)) {
                Some(Ok(Ok(data))) => return BodyRead::Data(data),
                Some(Ok(Err(_trailers))) => {}
                Some(Err(_)) => return BodyRead::Broken,
                None => return BodyRead::End,
            }
        }
    }

    /// Returns the connection to its pool after the end of the response.
    fn release_connection(self) {
        self.pool.release(self.sender, self.idle);
    }
}

/// Returns whether a response on a streaming route has events. One without a content type does.
pub fn is_event_stream(head: &response::Parts) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    content_type.is_none_or(|value| event_stream::is_event_stream(value.as_bytes()))
}

/// Returns whether a response may go on with a stream that has begun. An error page, a part of a
/// document or an empty response doesn't, although its status is that of a success.
pub fn is_continuation(head: &response::Parts) -> bool {
    head.status == StatusCode::OK && is_event_stream(head)
}

fn split_response(response: UnreadResponse) -> (response::Parts, BodyReader) {
    let UnreadResponse { head, framing, body, sender, pool } = response;
    let idle = exchange::idle_time(&head.headers);
    (head, BodyReader { body, sender, pool, idle, framing })
}

/// Reads up to the first complete event, or to the end of a stream without one.
///
/// # Errors
///
/// Returns how the response ended, and its framing and bytes if it ended without a fault of the
/// connection.
pub async fn start_stream(
    response: UnreadResponse,
    caller: &Caller,
) -> Result<StartedStream, (AttemptResult, Option<(Framing, usize)>)> {
    let (head, mut reader) = split_response(response);
    let mut events = EventBuffer::new(caller.clone());
    let mut ready = VecDeque::new();
    loop {
        match reader.read().await {
            BodyRead::Data(data) => {
                let Ok(completed) = events.push(data) else {
                    return Err((AttemptResult::Discarded, None));
                };
                if !completed.bytes.is_empty() {
                    ready.push_back(completed.bytes);
                    return Ok(StartedStream { head, reader, events, ready, has_event: true });
                }
                if events.partial_len() > MAX_EVENT_BYTES {
                    return Err((AttemptResult::Invalid, None));
                }
            }
            BodyRead::End => match end_result(reader.framing, &events, false) {
                AttemptResult::Complete => {
                    ready.push_back(events.take_partial());
                    return Ok(StartedStream { head, reader, events, ready, has_event: false });
                }
                result => return Err((result, Some((reader.framing, events.partial_len())))),
            },
            BodyRead::Broken => return Err((AttemptResult::Broken, None)),
        }
    }
}

/// Returns the result of a stream whose body was read to its end. A stream is broken if it ends
/// inside an event, or without any event where its end is that of the connection.
fn end_result(framing: Framing, events: &EventBuffer, has_event: bool) -> AttemptResult {
    match (framing, events.is_inside_event()) {
        (Framing::Close, true) => AttemptResult::Broken,
        (Framing::Close, false) if !has_event => AttemptResult::Broken,
        (Framing::Length | Framing::Chunks, true) => AttemptResult::Invalid,
        (framing, false) => exchange::end_result(framing),
    }
}

/// Returns the result of a response that doesn't go on with a stream.
pub fn declined_result(head: &response::Parts, framing: Framing) -> AttemptResult {
    match head.status.is_success() {
        true => AttemptResult::Invalid,
        false => exchange::failure_result(framing),
    }
}

/// State of a stream's response. It is dropped with the body, which ends the request.
struct Relay {
    exchange: Exchange,
    dispatch: Dispatch,
    reader: Option<BodyReader>,
    events: EventBuffer,
    ready: VecDeque<Bytes>,
    unreported: Unreported,
    /// `None` if the stream may not move.
    failover: Option<Failover>,
    pauses: Histogram,
    /// Time at which the first complete event was received.
    first_event_at: Instant,
    /// Time at which data was last received.
    last_data_at: Instant,
    /// Whether no event was received since the stream was resumed.
    first_event_due: bool,
    /// Time from which an event shows that the stream goes on, until that was reported.
    continuation_due: Option<Instant>,
}

/// Events since the last report.
struct Unreported {
    events: u32,
    since: Instant,
}

impl Unreported {
    fn new() -> Unreported {
        Unreported { events: 0, since: clock::now() }
    }
}

/// Returns the response that forwards a stream.
pub fn build_stream_response(
    exchange: Exchange,
    dispatch: Dispatch,
    started: StartedStream,
) -> Response<http::Body> {
    let (status, headers) = exchange::stream_head(&started.head);
    let StartedStream { reader, events, ready, .. } = started;
    let (unreported, now) = (Unreported::new(), clock::now());
    let pauses = exchange.metrics().pause_histogram(&dispatch);
    let reader = Some(reader);
    let failover = stream_failover(&dispatch);
    let relay = Relay {
        exchange,
        dispatch,
        reader,
        events,
        ready,
        unreported,
        failover,
        pauses,
        first_event_at: now,
        last_data_at: now,
        first_event_due: false,
        continuation_due: Some(now + CONTINUATION_TIME),
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame.map(body::Frame::data), relay))
    });
    let body: http::Body = Box::pin(StreamBody::new(frames));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns when a stream in progress may move, if it may.
fn stream_failover(dispatch: &Dispatch) -> Option<Failover> {
    dispatch.failover_timeout.map(|_| Failover::new(STREAM_FAILOVER_TIMEOUT))
}

impl Relay {
    /// Returns the next bytes for the caller, an error if the stream can't be completed, or
    /// `None` at its end.
    async fn next(&mut self) -> Option<Result<Bytes, http::Aborted>> {
        loop {
            if let Some(data) = self.ready.pop_front() {
                if data.is_empty() {
                    continue;
                }
                return Some(Ok(data));
            }
            let reader = self.reader.take()?;
            let resumed = match self.read(reader).await {
                Ok(None) => Ok(()),
                Ok(Some(result)) => self.resume_broken(result).await,
                Err(Attempt::Moved(offer)) => self.resume(Some(offer), "replica_silent").await,
                Err(_) => Err(DEADLINE),
            };
            if let Err(reason) = resumed {
                return Some(Err(self.abort(reason)));
            }
        }
    }

    /// Reads on and keeps the connection if the response goes on. Returns the result of a response
    /// that was broken off.
    async fn read(&mut self, mut reader: BodyReader) -> Result<Option<AttemptResult>, Attempt> {
        let waiting_since = clock::now();
        let (dispatch, last_event_id) = (&self.dispatch, self.events.last_id());
        let failover = self.failover.as_mut();
        let wait = self.exchange.wait(dispatch, last_event_id, failover, reader.read());
        Ok(match wait.await? {
            BodyRead::Data(data) => {
                let Ok(completed) = self.events.push(data) else {
                    return Ok(Some(AttemptResult::Discarded));
                };
                // A stream that could be resumed has events with identifiers.
                if self.first_event_due && completed.count > 0 && !completed.has_id {
                    return Ok(Some(AttemptResult::Invalid));
                }
                let connected_at = reader.sender.opened_at;
                self.exchange.report_progress(&self.dispatch, connected_at, waiting_since);
                self.record_data(completed.count);
                self.ready.push_back(completed.bytes);
                let is_too_large = self.events.partial_len() > MAX_EVENT_BYTES;
                let result = is_too_large.then_some(AttemptResult::Invalid);
                self.reader = result.is_none().then_some(reader);
                result
            }
            BodyRead::End => {
                let result = self.record_end(reader.framing);
                if result.is_whole() {
                    reader.release_connection();
                    self.ready.push_back(self.events.take_partial());
                }
                (!result.is_whole()).then_some(result)
            }
            BodyRead::Broken => Some(AttemptResult::Broken),
        })
    }

    /// Reports and logs the end of the backend server's response and returns its result.
    fn record_end(&self, framing: Framing) -> AttemptResult {
        let result = end_result(framing, &self.events, !self.first_event_due);
        let (partial, last_id) = (self.events.partial_len(), self.events.last_id());
        self.exchange.log_stream_end(&self.dispatch, framing, partial, last_id);
        if result.is_whole() {
            let total = clock::now().since(self.first_event_at);
            self.exchange.metrics().record_stream_end(&self.dispatch, total);
            self.exchange.report(self.exchange.build_ended(result));
        }
        result
    }

    /// Reports a response that was broken off and resumes the stream.
    ///
    /// # Errors
    ///
    /// Returns why the stream ends.
    async fn resume_broken(&mut self, result: AttemptResult) -> Result<(), &'static str> {
        let event = self.exchange.build_ended(result);
        self.exchange.log_failure(&self.dispatch, &event);
        self.exchange.report(event);
        self.resume(None, "replica_broke_off").await
    }

    /// Logs why the response ends before its last event and returns the error for the body.
    fn abort(&self, reason: &str) -> http::Aborted {
        self.exchange.log_cut(&self.dispatch, reason, self.events.last_id());
        http::Aborted
    }

    /// Records that data with a number of complete events was received, and reports the speed every
    /// `EVENTS_PER_REPORT` events.
    fn record_data(&mut self, events: u32) {
        let now = clock::now();
        self.pauses.observe(now.since(self.last_data_at).as_secs_f64());
        self.last_data_at = now;
        if events > 0
            && let Some(failover) = &mut self.failover
        {
            failover.restart();
        }
        if events > 0 && std::mem::take(&mut self.first_event_due) {
            self.exchange.report(self.exchange.build_first_event());
            self.continuation_due = Some(now + CONTINUATION_TIME);
            self.unreported = Unreported::new();
            return;
        }
        if events > 0 && self.continuation_due.take_if(|due| now >= *due).is_some() {
            self.exchange.report(self.exchange.build_continued());
        }
        self.unreported.events += events;
        if self.unreported.events >= EVENTS_PER_REPORT {
            let span = clock::now().since(self.unreported.since);
            self.exchange.report(self.exchange.build_events_received(self.unreported.events, span));
            self.unreported = Unreported::new();
        }
    }

    /// Resumes the stream after the last complete event at the backend server that the machine
    /// selects, or at the one of `moved`, which has accepted it.
    ///
    /// # Errors
    ///
    /// Returns why the stream ends: at its deadline, or else for the reason that it had to be
    /// resumed.
    async fn resume(
        &mut self,
        mut moved: Option<Box<Offer>>,
        reason: &'static str,
    ) -> Result<(), &'static str> {
        // The resumed stream repeats an event that was received incompletely.
        self.events.take_partial();
        loop {
            let offer = match moved.take() {
                Some(offer) => offer,
                None => match self.exchange.next_instruction().await {
                    Instruction::Dispatch(dispatch) => {
                        let last_event_id = self.events.last_id().cloned();
                        Box::new(self.exchange.offer(dispatch, last_event_id))
                    }
                    Instruction::Refuse(_) => return Err(reason),
                },
            };
            let dispatch = offer.dispatch.clone();
            match self.exchange.conclude(offer).await {
                Attempt::Received(response) if is_continuation(&response.head) => {
                    self.exchange.log_resumed(&dispatch, self.events.last_id());
                    let (_, reader) = split_response(*response);
                    self.reader = Some(reader);
                    self.failover = stream_failover(&dispatch);
                    self.dispatch = dispatch;
                    self.unreported = Unreported::new();
                    self.first_event_due = true;
                    return Ok(());
                }
                Attempt::Received(response) => {
                    let event = self
                        .exchange
                        .build_ended(declined_result(&response.head, response.framing));
                    self.exchange.log_failure(&dispatch, &event);
                    self.exchange.report(event);
                }
                Attempt::Failed(event) => {
                    self.exchange.log_failure(&dispatch, &event);
                    self.exchange.report(*event);
                }
                Attempt::Moved(offer) => moved = Some(offer),
                // A stream in progress is not hedged.
                Attempt::Abandoned | Attempt::Answered(_) | Attempt::Timeout => {
                    return Err(DEADLINE);
                }
            }
        }
    }
}
