//! One request, from the time when it was read completely to its response.

mod lines;

use std::{future::Future, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::time;
use futures_channel::mpsc;
use futures_util::StreamExt;
use gate::{
    Event,
    action::Dispatch,
    event::{AttemptResult, RequestNumber},
    refusal::{Reason, Refusal},
    request::Request as GatewayRequest,
    statement::Statement,
};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode, body, header,
    http::{request, response},
};
use platform::message::{self, RateLimit, ResponseKind};
use wire::time::Instant;

use crate::{
    clock,
    connection::{Fault, Pool, Sender, Sent},
    framing::Framing,
    gateway::{Gateway, Instruction, metrics::Metrics, offer::Offer, relay},
    http,
};

/// Largest response that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Idle time after which a connection is not used again, if the backend server states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time for which a backend server may reject a request that moves to it while the former one goes
/// on. A full one rejects at once. Afterwards it counts as having accepted the request, since it may
/// run it, and two servers must not run the same request for long.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Part of the idle time stated by the backend server for which a connection may be used again.
const IDLE_SHARE: f64 = 0.6;

/// A request in progress. Dropping the exchange closes the request.
pub struct Exchange {
    gateway: Rc<Gateway>,
    number: RequestNumber,
    instructions: mpsc::UnboundedReceiver<Instruction>,
    parts: request::Parts,
    body: Bytes,
    id: Bytes,
    /// Identifier of the caller's attempt that began the stream, if the caller takes one up.
    resumes: Option<Bytes>,
    /// The last failure response of a backend server. The caller gets it if the machine refuses the
    /// request afterwards.
    failure: Option<Response<http::Body>>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.gateway.close_request(self.number);
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

/// Time at which a request without progress may move to another backend server.
pub struct Failover {
    timeout: Duration,
    due: Instant,
}

impl Failover {
    /// Returns a time that is due after `timeout`.
    pub fn new(timeout: Duration) -> Failover {
        Failover { timeout, due: clock::now() + timeout }
    }

    /// Begins anew, since there was progress or the request was not moved.
    pub fn restart(&mut self) {
        self.due = clock::now() + self.timeout;
    }
}

/// Result of a dispatch.
pub enum Attempt {
    /// The head of a response was read.
    Received(Box<UnreadResponse>),
    /// The attempt failed. The event is passed to the machine, which decides whether the request is
    /// dispatched again.
    Failed(Event),
    /// Nothing was received within the failover timeout, and another backend server has accepted the
    /// request.
    Moved(Box<Offer>),
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
    ) -> Exchange {
        gateway.begin_requested_stop();
        let (number, instructions) = gateway.open_request();
        let id = request.id.clone();
        let resumes = request.resumption.as_ref().and_then(|from| from.first_attempt.clone());
        gateway.feed(Event::Arrived { number, request });
        Exchange { gateway, number, instructions, parts, body, id, resumes, failure: None }
    }

    /// Carries out the machine's instructions and returns the response for the caller.
    pub async fn run(mut self) -> Response<http::Body> {
        let mut moved = None;
        loop {
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
            let (dispatch, sent_at) = (offer.dispatch.clone(), offer.sent_at);
            let attempt = match self.conclude(offer).await {
                Attempt::Received(unread)
                    if dispatch.stream
                        && unread.head.status.is_success()
                        && relay::is_event_stream(&unread.head) =>
                {
                    match relay::read_first_event(&mut self, &dispatch, *unread).await {
                        Ok(started) => {
                            let (status, framing) = (started.head.status, started.framing());
                            let first = clock::now().since(sent_at);
                            self.log_response(&dispatch, status, framing, first);
                            return relay::build_stream_response(self, dispatch, started);
                        }
                        Err(attempt) => attempt,
                    }
                }
                Attempt::Received(unread) => {
                    let framing = unread.framing;
                    match self.read_response(&dispatch, *unread).await {
                        Ok(response) => {
                            let first = clock::now().since(sent_at);
                            self.log_response(&dispatch, response.status(), framing, first);
                            return response;
                        }
                        Err(attempt) => attempt,
                    }
                }
                attempt => attempt,
            };
            match attempt {
                Attempt::Failed(event) => {
                    self.log_failure(&dispatch, &event);
                    self.report(event);
                }
                Attempt::Moved(offer) => moved = Some(offer),
                Attempt::Received(_) | Attempt::Timeout => {
                    return self.refuse(&Refusal::new(Reason::Timeout));
                }
            }
        }
    }

    /// Waits for `future` up to the dispatch's deadline. Each time that `failover` is due, the request
    /// may move to another backend server, which continues a stream after `last_event_id`. `future`
    /// is dropped only if that server accepts the request.
    pub async fn wait<T>(
        &mut self,
        dispatch: &Dispatch,
        last_event_id: Option<&Bytes>,
        mut failover: Option<&mut Failover>,
        future: impl Future<Output = T>,
    ) -> Result<T, Attempt> {
        let mut future = pin!(future);
        loop {
            let now = clock::now();
            let due = failover.as_deref_mut().filter(|failover| failover.due < dispatch.deadline);
            let Some(failover) = due else {
                let output = time::timeout(dispatch.deadline.since(now), future).await;
                return output.map_err(|_| Attempt::Timeout);
            };
            if let Ok(output) = time::timeout(failover.due.since(now), future.as_mut()).await {
                return Ok(output);
            }
            self.report(Event::Unresponsive { number: self.number });
            if let Ok(Instruction::Dispatch(other)) = self.instructions.try_recv() {
                let offer = self.offer(other, last_event_id.cloned());
                if let Some(accepted) = self.try_move(dispatch, offer).await {
                    return Err(Attempt::Moved(Box::new(accepted)));
                }
            }
            failover.restart();
        }
    }

    /// Sends a request in progress at a backend server to another one. Returns the offer if that one
    /// accepts it, or may have done so.
    async fn try_move(&mut self, former: &Dispatch, mut offer: Offer) -> Option<Offer> {
        let event = match time::timeout(ACCEPTANCE_TIMEOUT, offer.response()).await {
            Ok(result) => match self.classify(&offer.dispatch, result, &offer.pool) {
                Attempt::Received(unread) if unread.head.status.is_success() => {
                    offer.received = Some(unread);
                    None
                }
                Attempt::Failed(event) => Some(event),
                _ => Some(self.build_ended(AttemptResult::Failed)),
            },
            Err(_) if offer.is_sent() => None,
            Err(_) => Some(Event::NotSent { number: self.number }),
        };
        self.log_move(former, &offer.dispatch, event.is_none());
        match event {
            None => {
                self.report(Event::Moved { number: self.number });
                Some(offer)
            }
            Some(event) => {
                self.log_failure(&offer.dispatch, &event);
                self.report(event);
                None
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
        self.gateway.feed(event);
    }

    /// Returns `Event::Ended` for this request.
    pub fn build_ended(&self, result: AttemptResult) -> Event {
        Event::Ended { number: self.number, result }
    }

    /// Returns `Event::FirstEvent` for this request.
    pub fn build_first_event(&self) -> Event {
        Event::FirstEvent { number: self.number }
    }

    /// Returns `Event::Continued` for this request.
    pub fn build_continued(&self) -> Event {
        Event::Continued { number: self.number }
    }

    /// Returns `Event::EventsReceived` for this request.
    pub fn build_events_received(&self, events: u32, span: Duration) -> Event {
        Event::EventsReceived { number: self.number, events, span }
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
        let pool = self.gateway.pool(&dispatch);
        let (gateway, zone) = (self.gateway.clone(), dispatch.zone.clone());
        let may_send = move || {
            let is_evacuated = gateway.read(|machine| machine.evacuations().is_evacuated(&zone));
            !is_evacuated
        };
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
            Ok(result) => self.classify(&dispatch, result, &offer.pool),
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

    /// Reports what the head of a response states, and returns what it is.
    fn classify(&self, dispatch: &Dispatch, result: Result<Sent, Fault>, pool: &Pool) -> Attempt {
        let number = self.number;
        let Sent { response, sender, is_reused } = match result {
            Ok(sent) => sent,
            Err(Fault::Unsent) => return Attempt::Failed(Event::NotSent { number }),
            Err(Fault::Late) => return Attempt::Failed(Event::Late { number }),
            Err(Fault::Refused) => return Attempt::Failed(Event::Refused { number }),
            Err(Fault::Withdrawn) => return Attempt::Failed(Event::Withdrawn { number }),
            Err(Fault::Lost) => return Attempt::Failed(self.build_ended(AttemptResult::Broken)),
        };
        let (head, body) = response.into_parts();
        self.report_rate_limit(dispatch, &head);
        let is_certain = message::is_certain(&head, is_reused);
        let mut statement = message::parse_statement(&head, &self.id);
        // A server that leaves says so in all its responses. A pause binds also in doubt: the next
        // requests would not be taken.
        statement.leaving &= is_certain;
        if statement != Statement::default() {
            self.report(Event::Stated { number, statement });
        }
        match message::classify_response(&head, &self.id) {
            ResponseKind::NotRun { .. } | ResponseKind::Misdirected if !is_certain => {
                Attempt::Failed(Event::DoubtfulRejection { number })
            }
            ResponseKind::NotRun { retry_after } => {
                Attempt::Failed(Event::Rejected { number, retry_after })
            }
            ResponseKind::Misdirected => Attempt::Failed(Event::Misdirected { number }),
            ResponseKind::Unverified => Attempt::Failed(self.build_ended(AttemptResult::Invalid)),
            ResponseKind::Failed | ResponseKind::Success => {
                let framing = Framing::of(&head.headers, &body);
                let pool = pool.clone();
                Attempt::Received(Box::new(UnreadResponse { head, framing, body, sender, pool }))
            }
        }
    }

    /// Reads a response completely before any of it is forwarded.
    async fn read_response(
        &mut self,
        dispatch: &Dispatch,
        unread: UnreadResponse,
    ) -> Result<Response<http::Body>, Attempt> {
        let UnreadResponse { head, framing, body, sender, pool } = unread;
        let read = Limited::new(body, MAX_BUFFERED_BYTES).collect();
        let mut failover = dispatch.failover_timeout.map(Failover::new);
        let bytes = match self.wait(dispatch, None, failover.as_mut(), read).await? {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                let is_too_large = error.is::<LengthLimitError>();
                let result =
                    if is_too_large { AttemptResult::Invalid } else { AttemptResult::Broken };
                return Err(Attempt::Failed(self.build_ended(result)));
            }
        };
        pool.release(sender, idle_time(&head.headers));
        let mut response = http::buffered(head.status.as_u16(), "", bytes);
        *response.headers_mut() = message::build_response_headers(&head.headers);
        if !head.status.is_success() {
            self.failure = Some(response);
            return Err(Attempt::Failed(self.build_ended(AttemptResult::Failed)));
        }
        self.report(self.build_ended(end_result(framing)));
        Ok(response)
    }

    /// Logs and returns the last failure response, since the request is not dispatched again.
    fn forward_failure(&self, failure: Response<http::Body>) -> Response<http::Body> {
        self.gateway.metrics.count_outcome("failed");
        tracing::info!(
            event = "failed",
            id = %String::from_utf8_lossy(&self.id),
            status = failure.status().as_u16(),
        );
        failure
    }

    /// Reports the rate limit that a backend server named in its response.
    fn report_rate_limit(&self, dispatch: &Dispatch, head: &response::Parts) {
        let number = self.number;
        match message::parse_rate_limit(head, &self.id) {
            RateLimit::Absent => self.report(Event::RateLimitStated { number, per_s: None }),
            RateLimit::Named(per_s) => {
                self.report(Event::RateLimitStated { number, per_s: Some(per_s) });
            }
            RateLimit::Unverified => {}
            // The limit named before stays in force.
            RateLimit::Malformed => tracing::warn!(
                event = "limit_malformed",
                id = %String::from_utf8_lossy(&self.id),
                replica = %String::from_utf8_lossy(&dispatch.id),
            ),
        }
    }

    /// Returns the gateway's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.gateway.metrics
    }

    fn refuse(&self, refusal: &Refusal) -> Response<http::Body> {
        refuse(&self.gateway.metrics, refusal, &self.id)
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
        waited_ms = wait.map(|wait| wait.waited.as_millis() as u64),
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
