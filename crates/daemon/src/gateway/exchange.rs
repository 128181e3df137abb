//! One call from its arrival to its answer.

use std::{future::Future, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::time;
use futures_channel::mpsc;
use futures_util::StreamExt;
use gate::{
    Event,
    action::Dispatch,
    event::{Outcome, RequestNumber},
    refusal::{Reason, Refusal},
    request::Request as GatewayRequest,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode, body, header,
    http::{request, response},
};
use platform::message::{self, ResponseKind};

use crate::{
    clock,
    connection::{Fault, Pool, Sender},
    gateway::{Gateway, Instruction, metrics::Metrics, streamed},
    http,
};

/// Largest answer that is held back until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 1 << 20;
/// Idle time after which a connection is not used again, if the replica states none.
const KEPT_TIME: Duration = Duration::from_secs(4);
/// Part of the idle time that a replica states.
const KEPT_SHARE: f64 = 0.6;

/// A call between its caller and replicas.
pub struct Exchange {
    gateway: Rc<Gateway>,
    number: RequestNumber,
    instructions: mpsc::UnboundedReceiver<Instruction>,
    parts: request::Parts,
    body: Bytes,
    id: Bytes,
    /// A replica's answer that it failed; it is final if no other replica gets the call.
    failure: Option<Response<http::Body>>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.gateway.close(self.number);
    }
}

/// A replica's answer whose head was read.
pub struct Reception {
    pub head: response::Parts,
    pub body: body::Incoming,
    pub sender: Sender,
    pub pool: Pool,
}

/// How a dispatch went.
pub enum Attempt {
    /// The replica answers.
    Received(Box<Reception>),
    /// The machine decides how it goes on.
    Report(Event),
    /// Nothing came, and the machine moved the call to another replica.
    Moved(Dispatch),
    /// The call's time is over.
    Timeout,
}

impl Exchange {
    /// Hands a call to the machine.
    pub fn open(
        gateway: Rc<Gateway>,
        parts: request::Parts,
        body: Bytes,
        request: GatewayRequest,
    ) -> Exchange {
        let (number, instructions) = gateway.open();
        let id = request.id.clone();
        gateway.feed(Event::Arrived { number, request });
        Exchange { gateway, number, instructions, parts, body, id, failure: None }
    }

    /// Returns the answer once there is one.
    pub async fn run(mut self) -> Response<http::Body> {
        let mut moved = None;
        loop {
            let dispatch = match moved.take() {
                Some(dispatch) => dispatch,
                None => match self.next().await {
                    Instruction::Dispatch(dispatch) => dispatch,
                    Instruction::Refuse(refused) => {
                        return match self.failure.take() {
                            Some(failure) => self.pass_failure(failure),
                            None => self.refuse(&refused),
                        };
                    }
                },
            };
            let sent = clock::now();
            let attempt = match self.attempt(&dispatch, None).await {
                Attempt::Received(reception)
                    if dispatch.stream && reception.head.status.is_success() =>
                {
                    match streamed::first(&mut self, &dispatch, *reception).await {
                        Ok(begun) => {
                            self.log_answer(&dispatch, 200, clock::now().since(sent));
                            return streamed::answer(self, dispatch, begun);
                        }
                        Err(attempt) => attempt,
                    }
                }
                Attempt::Received(reception) => match self.whole(&dispatch, *reception).await {
                    Ok(response) => {
                        let status = response.status().as_u16();
                        self.log_answer(&dispatch, status, clock::now().since(sent));
                        return response;
                    }
                    Err(attempt) => attempt,
                },
                attempt => attempt,
            };
            match attempt {
                Attempt::Report(event) => {
                    self.log_failure(&dispatch, &event);
                    self.report(event);
                }
                Attempt::Moved(dispatch) => moved = Some(dispatch),
                Attempt::Received(_) | Attempt::Timeout => {
                    return self.refuse(&Refusal::new(Reason::Timeout));
                }
            }
        }
    }

    /// Waits for `future` up to the dispatch's deadline. If nothing comes for `patience`, the
    /// machine may move the call to another replica.
    pub async fn wait<T>(
        &mut self,
        dispatch: &Dispatch,
        patience: Option<Duration>,
        future: impl Future<Output = T>,
    ) -> Result<T, Attempt> {
        let mut future = pin!(future);
        let remaining = dispatch.deadline.since(clock::now());
        if let Some(patience) = patience.filter(|patience| *patience < remaining) {
            if let Ok(output) = time::timeout(patience, future.as_mut()).await {
                return Ok(output);
            }
            self.report(Event::Unresponsive { number: self.number });
            if let Ok(Instruction::Dispatch(dispatch)) = self.instructions.try_recv() {
                return Err(Attempt::Moved(dispatch));
            }
        }
        let remaining = dispatch.deadline.since(clock::now());
        time::timeout(remaining, future).await.map_err(|_| Attempt::Timeout)
    }

    /// Returns the machine's next instruction.
    pub async fn next(&mut self) -> Instruction {
        let next = self.instructions.next().await;
        // The gateway drops the sender only after this exchange.
        next.unwrap_or(Instruction::Refuse(Refusal::new(Reason::Lost)))
    }

    /// Tells the machine how a dispatch went.
    pub fn report(&self, event: Event) {
        self.gateway.feed(event);
    }

    /// Returns an event that says how a dispatched call ended.
    pub fn ended(&self, outcome: Outcome) -> Event {
        Event::Ended { number: self.number, outcome }
    }

    /// Returns the event of a first event.
    pub fn began(&self) -> Event {
        Event::FirstEvent { number: self.number }
    }

    /// Returns an event that tells the pace of the answer.
    pub fn paced(&self, events: u32, span: Duration) -> Event {
        Event::EventsReceived { number: self.number, events, span }
    }

    /// Sends the call to a replica and reads the head of its answer.
    pub async fn attempt(&mut self, dispatch: &Dispatch, last_event_id: Option<&[u8]>) -> Attempt {
        let added = message::SystemHeaders {
            backend: &dispatch.id,
            account: dispatch.account.as_ref(),
            remaining: dispatch.deadline.since(clock::now()),
            last_event_id,
        };
        let Some(request) = self.request(&added) else {
            return Attempt::Report(Event::NotSent { number: self.number });
        };
        let pool = self.gateway.pool(dispatch);
        match self.wait(dispatch, dispatch.failover_timeout, pool.send(request)).await {
            Ok(Ok((response, sender))) => self.classify(response, sender, pool),
            Ok(Err(Fault::Unsent)) => Attempt::Report(Event::NotSent { number: self.number }),
            Ok(Err(Fault::Lost)) => Attempt::Report(self.ended(Outcome::Broken)),
            Err(attempt) => attempt,
        }
    }

    fn request(&self, added: &message::SystemHeaders<'_>) -> Option<Request<Full<Bytes>>> {
        let target = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(self.parts.method.clone())
            .uri(target)
            .body(Full::new(self.body.clone()))
            .ok()?;
        *request.headers_mut() = message::build_request_headers(&self.parts.headers, added);
        Some(request)
    }

    fn classify(&self, response: Response<body::Incoming>, sender: Sender, pool: Pool) -> Attempt {
        let (head, body) = response.into_parts();
        let number = self.number;
        match message::classify_response(&head, &self.id) {
            ResponseKind::NotRun { retry_after } => {
                Attempt::Report(Event::Rejected { number, retry_after })
            }
            ResponseKind::Misdirected => Attempt::Report(Event::Misdirected { number }),
            ResponseKind::Unverified => Attempt::Report(self.ended(Outcome::Broken)),
            ResponseKind::Failed | ResponseKind::Success => {
                Attempt::Received(Box::new(Reception { head, body, sender, pool }))
            }
        }
    }

    /// Reads an answer to its end before any of it is passed on.
    async fn whole(
        &mut self,
        dispatch: &Dispatch,
        reception: Reception,
    ) -> Result<Response<http::Body>, Attempt> {
        let Reception { head, body, sender, pool } = reception;
        let read = Limited::new(body, MAX_WHOLE_BYTES).collect();
        let bytes = match self.wait(dispatch, dispatch.failover_timeout, read).await? {
            Ok(body) => body.to_bytes(),
            Err(_) => return Err(Attempt::Report(self.ended(Outcome::Broken))),
        };
        pool.keep(sender, idle_time(&head.headers));
        let mut response = http::whole(head.status.as_u16(), "", bytes);
        *response.headers_mut() = message::build_response_headers(&head.headers);
        if !head.status.is_success() {
            self.failure = Some(response);
            return Err(Attempt::Report(self.ended(Outcome::Failed)));
        }
        self.report(self.ended(Outcome::Complete));
        Ok(response)
    }

    /// Logs how a call went whose answer began after `first` or was whole then.
    pub fn log_answer(&self, dispatch: &Dispatch, status: u16, first: Duration) {
        let inputs = &dispatch.inputs;
        self.gateway.metrics.count("answered");
        self.gateway.metrics.answered(dispatch, first);
        tracing::info!(
            event = "answered",
            id = %String::from_utf8_lossy(&self.id),
            replica = %String::from_utf8_lossy(&dispatch.id),
            status,
            tier = inputs.tier,
            attempt = inputs.attempt,
            waited_ms = inputs.waited.as_millis() as u64,
            first_ms = first.as_millis() as u64,
            expected_ms = inputs.expected.as_millis() as u64,
            running = inputs.running,
            backlog = inputs.backlog,
            tokens = inputs.tokens,
            account = %String::from_utf8_lossy(dispatch.account.as_deref().unwrap_or_default()),
            units = inputs.units as u64,
        );
    }

    /// Passes on a replica's own failure, which no other replica made good.
    fn pass_failure(&self, failure: Response<http::Body>) -> Response<http::Body> {
        self.gateway.metrics.count("failed");
        tracing::info!(
            event = "failed",
            id = %String::from_utf8_lossy(&self.id),
            status = failure.status().as_u16(),
        );
        failure
    }

    /// Logs why a replica did not answer a call. The machine decides how the call goes on.
    fn log_failure(&self, dispatch: &Dispatch, event: &Event) {
        let how = match event {
            Event::NotSent { .. } => "unsent",
            Event::Rejected { .. } => "rejected",
            Event::Misdirected { .. } => "misdirected",
            Event::Ended { outcome: Outcome::Broken, .. } => "broken",
            Event::Ended { .. } => "failed",
            _ => "other",
        };
        self.gateway.metrics.count_attempt(how);
        tracing::info!(
            event = "attempt_failed",
            id = %String::from_utf8_lossy(&self.id),
            replica = %String::from_utf8_lossy(&dispatch.id),
            how,
            attempt = dispatch.inputs.attempt,
            running = dispatch.inputs.running,
        );
    }

    /// Returns the gateway's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.gateway.metrics
    }

    /// Logs why a stream's answer ends after the event `last` and before its end.
    pub fn log_cut(&self, dispatch: &Dispatch, reason: &str, last: Option<&Bytes>) {
        self.gateway.metrics.count("cut");
        tracing::info!(
            event = "cut",
            id = %String::from_utf8_lossy(&self.id),
            replica = %String::from_utf8_lossy(&dispatch.id),
            reason,
            attempt = dispatch.inputs.attempt,
            last_event = %String::from_utf8_lossy(last.map_or(&[], |id| &id[..])),
        );
    }

    fn refuse(&self, refused: &Refusal) -> Response<http::Body> {
        let id = String::from_utf8_lossy(&self.id).into_owned();
        let gate::refusal::Inputs { version, gateways, reporting, waiting, usable, .. } =
            refused.inputs;
        let age_ms = refused.inputs.age.map(|age| age.as_millis() as u64);
        let quota_used = refused.inputs.quota_used.map(|used| used as i64);
        let reason = refused.reason.name();
        self.gateway.metrics.count(reason);
        tracing::info!(
            event = "refused",
            id,
            reason,
            version,
            age_ms,
            gateways,
            heard = reporting,
            waiting,
            usable,
            quota_used
        );
        refusal(refused, &self.id)
    }
}

/// Returns the answer of a refusal.
pub fn refusal(refused: &Refusal, id: &Bytes) -> Response<http::Body> {
    let status = refused.reason.status();
    let mut response = http::json(status, &serde_json::json!({ "error": refused.reason.name() }));
    let headers = response.headers_mut();
    for (name, value) in message::build_refusal_headers(refused, id) {
        if let Some(name) = name {
            headers.insert(name, value);
        }
    }
    response
}

/// Returns the time for which the connection of an answer may be used again.
pub fn idle_time(headers: &HeaderMap) -> Duration {
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|text| {
        text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    seconds.map_or(KEPT_TIME, |seconds| Duration::from_secs(seconds).mul_f64(KEPT_SHARE))
}

/// Returns the status and headers of a stream's answer.
pub fn head(parts: &response::Parts) -> (StatusCode, HeaderMap) {
    let mut headers = message::build_response_headers(&parts.headers);
    // The length is not known where a stream may go on at another replica.
    headers.remove(header::CONTENT_LENGTH);
    (parts.status, headers)
}
