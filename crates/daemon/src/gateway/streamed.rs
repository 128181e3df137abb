//! Passes a stream's events on as they arrive.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use gate::{action::Dispatch, event::Outcome};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body, http::response};
use prometheus_client::metrics::histogram::Histogram;

use wire::time::Instant;

use crate::{
    clock,
    connection::{Pool, Sender},
    gateway::{
        Instruction,
        events::Events,
        exchange::{self, Attempt, Exchange, Reception},
    },
    http,
};

/// Events between two reports of a stream's pace.
const PACE_EVENTS: u32 = 8;
/// Pause after which a stream that may go on elsewhere is given up at its replica.
const GAP_PATIENCE: Duration = Duration::from_millis(900);

/// A stream whose first event was read.
pub struct Begun {
    head: response::Parts,
    source: Source,
    events: Events,
    ready: VecDeque<Bytes>,
}

/// Where a stream's bytes come from.
struct Source {
    body: body::Incoming,
    sender: Sender,
    pool: Pool,
    idle: Duration,
}

/// What came next.
enum Next {
    Data(Bytes),
    End,
    Broken,
}

impl Source {
    async fn next(&mut self) -> Next {
        loop {
            match self.body.frame().await.map(|frame| frame.map(body::Frame::into_data)) {
                Some(Ok(Ok(data))) => return Next::Data(data),
                Some(Ok(Err(_trailers))) => {}
                Some(Err(_)) => return Next::Broken,
                None => return Next::End,
            }
        }
    }

    /// Makes the connection available again after the end of the answer.
    fn finish(self) {
        self.pool.release(self.sender, self.idle);
    }
}

fn source(reception: Reception) -> (response::Parts, Source) {
    let Reception { head, body, sender, pool } = reception;
    let idle = exchange::idle_time(&head.headers);
    (head, Source { body, sender, pool, idle })
}

/// Reads up to the first whole event, or to the end of a failure's answer.
pub async fn first(
    exchange: &mut Exchange,
    dispatch: &Dispatch,
    reception: Reception,
) -> Result<Begun, Attempt> {
    let (head, mut source) = source(reception);
    let mut events = Events::default();
    let mut ready = VecDeque::new();
    loop {
        match exchange.wait(dispatch, dispatch.failover_timeout, source.next()).await? {
            Next::Data(data) => {
                let whole = events.push(data);
                if !whole.is_empty() {
                    ready.push_back(whole);
                    exchange.report(exchange.began());
                    return Ok(Begun { head, source, events, ready });
                }
            }
            Next::End => {
                ready.push_back(events.take_rest());
                return Ok(Begun { head, source, events, ready });
            }
            Next::Broken => return Err(Attempt::Report(exchange.ended(Outcome::Broken))),
        }
    }
}

/// State of a stream's answer. Dropped with the body, which ends the call.
struct Relay {
    exchange: Exchange,
    dispatch: Dispatch,
    source: Option<Source>,
    events: Events,
    ready: VecDeque<Bytes>,
    pace: Pace,
    pauses: Histogram,
    /// When the first event came.
    began: Instant,
    /// When the last event came.
    last: Instant,
}

/// Events since the last report.
struct Pace {
    events: u32,
    since: Instant,
}

impl Pace {
    fn new() -> Pace {
        Pace { events: 0, since: clock::now() }
    }
}

/// Returns the answer of a stream.
pub fn answer(exchange: Exchange, dispatch: Dispatch, begun: Begun) -> Response<http::Body> {
    let (status, headers) = exchange::head(&begun.head);
    let Begun { source, events, ready, .. } = begun;
    let (pace, now) = (Pace::new(), clock::now());
    let pauses = exchange.metrics().pauses(&dispatch);
    let source = Some(source);
    let relay =
        Relay { exchange, dispatch, source, events, ready, pace, pauses, began: now, last: now };
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
            let mut source = self.source.take()?;
            let gap = self.dispatch.failover_timeout.map(|_| GAP_PATIENCE);
            let wait = self.exchange.wait(&self.dispatch, gap, source.next());
            match wait.await {
                Ok(Next::Data(data)) => {
                    self.ready.push_back(self.events.push(data));
                    self.source = Some(source);
                    self.count();
                }
                Ok(Next::End) => {
                    source.finish();
                    let total = clock::now().since(self.began);
                    self.exchange.metrics().ended(&self.dispatch, total);
                    self.exchange.report(self.exchange.ended(Outcome::Complete));
                    self.ready.push_back(self.events.take_rest());
                }
                Ok(Next::Broken) => {
                    drop(source);
                    self.exchange.report(self.exchange.ended(Outcome::Broken));
                    if !self.resume(None).await {
                        return Some(Err(self.cut("replica_broke_off")));
                    }
                }
                Err(Attempt::Moved(dispatch)) => {
                    drop(source);
                    if !self.resume(Some(dispatch)).await {
                        return Some(Err(self.cut("replica_silent")));
                    }
                }
                Err(_) => return Some(Err(self.cut("deadline"))),
            }
        }
    }

    /// Logs why the answer ends before its last event.
    fn cut(&self, reason: &str) -> http::Aborted {
        self.exchange.log_cut(&self.dispatch, reason, self.events.last_id());
        http::Aborted
    }

    /// Reports the pace from time to time.
    fn count(&mut self) {
        let now = clock::now();
        self.pauses.observe(now.since(self.last).as_secs_f64());
        self.last = now;
        self.pace.events += 1;
        if self.pace.events >= PACE_EVENTS {
            let span = clock::now().since(self.pace.since);
            self.exchange.report(self.exchange.paced(self.pace.events, span));
            self.pace = Pace::new();
        }
    }

    /// Goes on after the last whole event at the replica that the machine names. Returns
    /// whether there is one.
    async fn resume(&mut self, mut moved: Option<Dispatch>) -> bool {
        // The bytes of an event that was cut come again.
        self.events.take_rest();
        loop {
            let dispatch = match moved.take() {
                Some(dispatch) => dispatch,
                None => match self.exchange.next().await {
                    Instruction::Dispatch(dispatch) => dispatch,
                    Instruction::Refuse(_) => return false,
                },
            };
            let last = self.events.last_id().cloned();
            match self.exchange.attempt(&dispatch, last.as_deref()).await {
                Attempt::Received(reception) if reception.head.status.is_success() => {
                    let (_, source) = source(*reception);
                    self.source = Some(source);
                    self.dispatch = dispatch;
                    self.pace = Pace::new();
                    self.exchange.report(self.exchange.began());
                    return true;
                }
                Attempt::Received(_) => self.exchange.report(self.exchange.ended(Outcome::Failed)),
                Attempt::Report(event) => self.exchange.report(event),
                Attempt::Moved(dispatch) => moved = Some(dispatch),
                Attempt::Timeout => return false,
            }
        }
    }
}
