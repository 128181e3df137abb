//! One request, from the time when it was read completely to its response.

mod hedging;
mod lines;
mod waiting;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::StreamExt;
use gate::{
    Event,
    action::Dispatch,
    event::AttemptResult,
    refusal::{Reason, Refusal},
    request::Request as GatewayRequest,
};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode, body, header,
    http::{request, response},
};
use platform::message;
use wire::time::Instant;

pub use waiting::Failover;

use self::hedging::Hedge;
use crate::{
    caller::Caller,
    clock,
    connection::{Pool, Sender},
    framing::Framing,
    gateway::{
        Gateway, Instruction,
        answer::{self, Answer, Content, Failure},
        metrics::Metrics,
        offer::Offer,
        relay,
        reporter::Reporter,
    },
    http,
};

/// Idle time after which a connection is not used again, if the backend server states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time for which data had not arrived when it was waited for. What has arrived is read sooner.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// Part of the idle time stated by the backend server for which a connection may be used again.
const IDLE_SHARE: f64 = 0.6;

/// A request in progress. Dropping the exchange closes the request.
pub struct Exchange {
    reporter: Reporter,
    instructions: mpsc::UnboundedReceiver<Instruction>,
    parts: request::Parts,
    body: Bytes,
    /// Identifier of the caller's attempt that began the stream, if the caller takes one up.
    resumes: Option<Bytes>,
    /// The last failure response of a backend server. The caller gets it if the machine refuses the
    /// request afterwards.
    failure: Option<Response<http::Body>>,
    hedge: Hedge,
    caller: Caller,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.reporter.gateway.close_request(self.reporter.number);
    }
}

/// A backend server's response whose body has not been read yet, and its connection.
pub struct UnreadResponse {
    pub head: response::Parts,
    pub framing: Framing,
    pub body: body::Incoming,
    pub sender: Sender,
    pub pool: Pool,
}

/// Result of a dispatch.
pub enum Attempt {
    /// The head of a response was read.
    Received(Box<UnreadResponse>),
    /// The attempt failed. The event is passed to the machine, which decides whether the request is
    /// dispatched again.
    Failed(Box<Event>),
    /// Nothing was received within the failover timeout, and another backend server has accepted the
    /// request.
    Moved(Box<Offer>),
    /// The first attempt of a hedged request was given up. The second one goes on.
    Abandoned,
    /// The second attempt of a hedged request has an answer, and this one was cancelled.
    Answered(Box<Answer>),
    /// The request's deadline passed.
    Timeout,
}

impl Exchange {
    /// Passes a request to the machine.
    pub fn open(
        gateway: Rc<Gateway>,
        parts: request::Parts,
        body: Bytes,
        request: GatewayRequest,
        caller: Caller,
    ) -> Exchange {
        gateway.begin_requested_stop();
        let (number, instructions) = gateway.open_request();
        let id = request.id.clone();
        let resumes = request.resumption.as_ref().and_then(|from| from.first_attempt.clone());
        gateway.feed(Event::Arrived { number, request });
        let reporter = Reporter { gateway, number, id, is_second: false };
        let (failure, hedge) = (None, Hedge::Off);
        Exchange { reporter, instructions, parts, body, resumes, failure, hedge, caller }
    }

    /// Carries out the machine's instructions and returns the response for the caller.
    pub async fn run(mut self) -> Response<http::Body> {
        let mut moved = None;
        loop {
            let answer = match self.hedge.take() {
                Some(race) => self.follow(race).await,
                None => {
                    let offer = match moved.take() {
                        Some(offer) => offer,
                        None => match self.next_instruction().await {
                            Instruction::Dispatch(dispatch) => Box::new(self.offer(dispatch, None)),
                            Instruction::Refuse(refusal) => {
                                return match self.failure.take() {
                                    Some(failure) => self.forward_failure(failure),
                                    None => self.refuse(&refusal),
                                };
                            }
                        },
                    };
                    self.attempt(offer).await
                }
            };
            match answer {
                Ok(answer) => return self.deliver(answer),
                Err(Attempt::Answered(answer)) => return self.deliver(*answer),
                // The failure was reported, or the second attempt goes on alone.
                Err(Attempt::Failed(_) | Attempt::Abandoned) => {}
                Err(Attempt::Moved(offer)) => moved = Some(offer),
                Err(Attempt::Received(_) | Attempt::Timeout) => {
                    return self.refuse(&Refusal::new(Reason::Timeout));
                }
            }
        }
    }

    /// Waits for the answer to an offer.
    async fn attempt(&mut self, offer: Box<Offer>) -> Result<Answer, Attempt> {
        let (dispatch, sent_at) = (offer.dispatch.clone(), offer.sent_at);
        self.hedge = Hedge::for_dispatch(&dispatch, sent_at);
        let unread = match self.conclude(offer).await {
            Attempt::Received(unread) => *unread,
            Attempt::Failed(event) => {
                self.log_failure(&dispatch, &event);
                self.report((*event).clone());
                return Err(Attempt::Failed(event));
            }
            attempt => return Err(attempt),
        };
        let mut failover = dispatch.failover_timeout.map(Failover::new);
        let caller = self.caller.clone();
        let read = answer::read(&dispatch, unread, &caller);
        let result = self.wait(&dispatch, None, failover.as_mut(), read).await?;
        self.accept(dispatch, sent_at, result)
    }

    /// Reports the answer of an attempt or its failure. An answer cancels the second attempt, if it
    /// is in progress.
    fn accept(
        &mut self,
        dispatch: Dispatch,
        sent_at: Instant,
        result: Result<Content, Failure>,
    ) -> Result<Answer, Attempt> {
        match result {
            Ok(content) => {
                if let Some(event) = content.build_event(self.reporter.number) {
                    self.report(event);
                }
                if let Some(race) = self.hedge.take() {
                    self.log_hedge_end(&dispatch, race.dispatch(), "answered");
                }
                Ok(Answer { dispatch, sent_at, content })
            }
            Err(failure) => {
                let event = self.record_failure(&dispatch, failure);
                self.log_failure(&dispatch, &event);
                self.report(event.clone());
                Err(Attempt::Failed(Box::new(event)))
            }
        }
    }

    /// Keeps the failure response of an attempt for the caller, and returns the event on it.
    fn record_failure(&mut self, dispatch: &Dispatch, failure: Failure) -> Event {
        if let Some((framing, partial_bytes)) = failure.stream_end {
            self.log_stream_end(dispatch, framing, partial_bytes, None);
        }
        let event = failure.build_event(self.reporter.number);
        if let Some(status) = failure.withheld {
            self.log_withheld(dispatch, status);
        }
        if failure.response.is_some() {
            self.failure = failure.response;
        }
        event
    }

    /// Logs an answer and returns the response for the caller.
    fn deliver(self, answer: Answer) -> Response<http::Body> {
        let Answer { dispatch, sent_at, content } = answer;
        let first = clock::now().since(sent_at);
        match content {
            Content::Stream(started) => {
                let (status, framing) = (started.head.status, started.framing());
                self.log_response(&dispatch, status, framing, first);
                relay::build_stream_response(self, dispatch, *started)
            }
            Content::Whole(response, framing) => {
                self.log_response(&dispatch, response.status(), framing, first);
                response
            }
        }
    }

    /// Waits for the machine's next instruction.
    pub async fn next_instruction(&mut self) -> Instruction {
        let next = self.instructions.next().await;
        // The gateway drops the sender only when this exchange is dropped.
        next.unwrap_or(Instruction::Refuse(Refusal::new(Reason::Lost)))
    }

    /// Passes an event to the machine.
    pub fn report(&self, event: Event) {
        self.reporter.report(event);
    }

    /// Reports that data of a response arrived for which was waited since `waiting_since`, if its
    /// backend server's run was taken to have ended.
    pub fn report_progress(
        &self,
        dispatch: &Dispatch,
        connected_at: Instant,
        waiting_since: Instant,
    ) {
        let has_waited = || clock::now().since(waiting_since) >= MIN_WAIT;
        if self.reporter.has_ended(dispatch) && has_waited() {
            let number = self.reporter.number;
            self.report(Event::Progressed { number, connected_at, waiting_since });
        }
    }

    /// Returns `Event::Ended` for this request.
    pub fn build_ended(&self, result: AttemptResult) -> Event {
        self.reporter.build_ended(result)
    }

    /// Returns `Event::FirstEvent` for this request.
    pub fn build_first_event(&self) -> Event {
        Event::FirstEvent { number: self.reporter.number }
    }

    /// Returns `Event::Continued` for this request.
    pub fn build_continued(&self) -> Event {
        Event::Continued { number: self.reporter.number }
    }

    /// Returns `Event::EventsReceived` for this request.
    pub fn build_events_received(&self, events: u32, span: Duration) -> Event {
        Event::EventsReceived { number: self.reporter.number, events, span }
    }

    /// Begins to send the request to a backend server.
    pub fn offer(&self, dispatch: Dispatch, last_event_id: Option<Bytes>) -> Offer {
        let added = message::AddedHeaders {
            backend: &dispatch.id,
            account: dispatch.account.as_ref(),
            remaining: dispatch.deadline.since(clock::now()),
            last_event_id: last_event_id.as_deref(),
        };
        let request = self.build_request(&added);
        let pool = self.reporter.gateway.pool(&dispatch);
        let (gateway, checked) = (self.reporter.gateway.clone(), dispatch.clone());
        let may_send = move || gateway.read(|machine| machine.may_send(clock::now(), &checked));
        Offer::new(dispatch, pool, last_event_id, request, may_send)
    }

    /// Reads the head of the response to an offer.
    pub async fn conclude(&mut self, mut offer: Box<Offer>) -> Attempt {
        if let Some(unread) = offer.received.take() {
            return Attempt::Received(unread);
        }
        let dispatch = offer.dispatch.clone();
        let last_event_id = offer.last_event_id.clone();
        let mut failover = dispatch.failover_timeout.map(Failover::new);
        let response = offer.response();
        match self.wait(&dispatch, last_event_id.as_ref(), failover.as_mut(), response).await {
            Ok(result) => match self.reporter.classify(&dispatch, result, &offer.pool) {
                Ok(unread) => Attempt::Received(unread),
                Err(event) => Attempt::Failed(event),
            },
            Err(attempt) => attempt,
        }
    }

    fn build_request(&self, added: &message::AddedHeaders<'_>) -> Option<Request<Full<Bytes>>> {
        let target = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(self.parts.method.clone())
            .uri(target)
            .body(Full::new(self.body.clone()))
            .ok()?;
        *request.headers_mut() = message::build_request_headers(&self.parts.headers, added);
        Some(request)
    }

    /// Logs and returns the last failure response, since the request is not dispatched again.
    fn forward_failure(&self, failure: Response<http::Body>) -> Response<http::Body> {
        self.reporter.gateway.metrics.count_outcome("failed");
        tracing::info!(
            event = "failed",
            id = %String::from_utf8_lossy(&self.reporter.id),
            status = failure.status().as_u16(),
        );
        failure
    }

    /// Returns the gateway's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.reporter.gateway.metrics
    }

    fn refuse(&self, refusal: &Refusal) -> Response<http::Body> {
        refuse(&self.reporter.gateway.metrics, refusal, &self.reporter.id)
    }
}

/// Logs and counts a refusal, and returns the response for it.
pub fn refuse(metrics: &Metrics, refusal: &Refusal, id: &Bytes) -> Response<http::Body> {
    let gate::refusal::Inputs {
        version,
        gateways,
        reporting,
        waiting,
        usable,
        limited,
        warming,
        quota,
        wait,
        ..
    } = refusal.inputs;
    let reason = refusal.reason.name();
    metrics.count_outcome(reason);
    tracing::info!(
        event = "refused",
        id = %String::from_utf8_lossy(id),
        reason,
        version,
        age_ms = refusal.inputs.age.map(|age| age.as_millis() as u64),
        gateways,
        heard = reporting,
        waiting,
        usable,
        limited,
        warming,
        quota_used = quota.map(|quota| quota.used as i64),
        quota = quota.map(|quota| quota.granted as i64),
        units = quota.map(|quota| quota.units as i64),
        tier = wait.map(|wait| wait.tier),
        overdue = wait.map(|wait| wait.overdue),
        waited_ms = wait.map(|wait| wait.waited_ms),
    );
    build_refusal(refusal, id)
}

fn build_refusal(refusal: &Refusal, id: &Bytes) -> Response<http::Body> {
    let status = refusal.reason.status();
    let mut response = http::json(status, &serde_json::json!({ "error": refusal.reason.name() }));
    let headers = response.headers_mut();
    for (name, value) in message::build_refusal_headers(refusal, id) {
        if let Some(name) = name {
            headers.insert(name, value);
        }
    }
    response
}

/// Returns the result of a response that was read to its end.
pub fn end_result(framing: Framing) -> AttemptResult {
    match framing {
        Framing::Length | Framing::Chunks => AttemptResult::Complete,
        Framing::Close => AttemptResult::Unframed,
    }
}

/// Returns the result of a failure response.
pub fn failure_result(framing: Framing) -> AttemptResult {
    match framing {
        Framing::Length | Framing::Chunks => AttemptResult::Failed,
        Framing::Close => AttemptResult::UnframedFailure,
    }
}

/// Returns the idle time for which a connection may be used again, from the response's headers.
pub fn idle_time(headers: &HeaderMap) -> Duration {
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|text| {
        text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    seconds.map_or(DEFAULT_IDLE, |seconds| Duration::from_secs(seconds).mul_f64(IDLE_SHARE))
}

/// Returns the status and headers of a stream for the caller.
pub fn stream_head(parts: &response::Parts) -> (StatusCode, HeaderMap) {
    let mut headers = message::build_response_headers(&parts.headers);
    // The length is unknown, since the stream may be resumed at another backend server.
    headers.remove(header::CONTENT_LENGTH);
    (parts.status, headers)
}
