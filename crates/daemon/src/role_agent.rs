//! The agent role: carries out the actions of `agent::Machine`.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};

use agent::{Action, Event, Link, Progress};
use bytes::Bytes;
use compio::runtime;
use conf::tree;
use futures_channel::oneshot;
use futures_util::future::LocalBoxFuture;
use hyper::{Request, Response, body};
use serde::{Serialize, de::DeserializeOwned};
use wire::{frame, grant, host, id, key, offer, outcome, request, status, sync};

use crate::{
    backend,
    caller::Caller,
    clock,
    distribution::Distribution,
    driver::{Driver, Execute},
    http,
    metrics::Metrics,
    peer,
    role::{Identity, Role},
    stream, trace,
};

/// Time between probes of the backend server.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Bound on a commit with its request body.
const MAX_COMMIT_BYTES: u64 = conf::tree::MAX_BODY_BYTES + MAX_SHORT_MESSAGE_BYTES;
/// Bound on any other message.
const MAX_SHORT_MESSAGE_BYTES: u64 = 1 << 20;

/// Channel for the reply to a peer's message.
enum PendingReply {
    Offer(oneshot::Sender<offer::Reply>),
    Key(oneshot::Sender<Result<key::Key, outcome::Refusal>>),
    Stream(stream::Sender),
}

/// The agent role of a process.
pub struct Agent {
    driver: Rc<Driver<agent::Machine>>,
    backend: backend::Client,
    pool: Bytes,
    serves_models: Cell<bool>,
    links: RefCell<HashMap<Link, PendingReply>>,
    next_link: Cell<u64>,
    dispatches: RefCell<HashMap<id::Grant, runtime::JoinHandle<()>>>,
    distribution: RefCell<Weak<Distribution>>,
    on_stopped: Rc<dyn Fn()>,
    traces: Rc<trace::Store>,
    metrics: Rc<Metrics>,
}

/// Closes a link when dropped and reports that to the state machine.
struct Guard {
    agent: Rc<Agent>,
    link: Link,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let agent = self.agent.clone();
        let link = self.link;
        // The response may be dropped while the state machine is borrowed, so the event is fed by a
        // new task.
        runtime::spawn(async move {
            agent.links.borrow_mut().remove(&link);
            agent.feed(Event::LinkClosed { link });
        })
        .detach();
    }
}

impl Agent {
    /// Starts the role and its probes; `on_stopped` is called at the end of a planned stop.
    pub fn start(
        identity: &Identity,
        pool: Bytes,
        backend: backend::Client,
        metrics: Rc<Metrics>,
        traces: Rc<trace::Store>,
        on_stopped: Rc<dyn Fn()>,
    ) -> Rc<Agent> {
        let setup = agent::Setup {
            process: identity.process,
            host: identity.host.clone(),
            pool: pool.clone(),
            seed: identity.seed,
        };
        let agent = Rc::new_cyclic(|this: &Weak<Agent>| Agent {
            driver: Driver::new(agent::Machine::new(setup)),
            backend: backend.with_limit_observer(observe_limit(this.clone())),
            pool,
            serves_models: Cell::new(false),
            links: RefCell::default(),
            next_link: Cell::new(1),
            dispatches: RefCell::default(),
            distribution: RefCell::default(),
            on_stopped,
            traces,
            metrics,
        });
        runtime::spawn(probe_backend(agent.clone())).detach();
        agent
    }

    /// Sets the settings distribution, which receives suspects and the digest hashes in offers.
    pub fn set_distribution(&self, distribution: &Rc<Distribution>) {
        *self.distribution.borrow_mut() = Rc::downgrade(distribution);
    }

    fn feed(self: &Rc<Self>, event: Event) {
        let executor = Rc::new(Executor(self.clone()));
        self.driver.feed(&executor, event);
    }

    fn open_link(self: &Rc<Self>, reply: PendingReply) -> Guard {
        let link = Link(self.next_link.replace(self.next_link.get() + 1));
        self.links.borrow_mut().insert(link, reply);
        Guard { agent: self.clone(), link }
    }

    async fn respond(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> Response<http::Body> {
        let path = request.uri().path().to_owned();
        let from = request.headers().get(peer::FROM).cloned();
        let limit = if path == "/grant" { MAX_COMMIT_BYTES } else { MAX_SHORT_MESSAGE_BYTES };
        let Ok(body) = http::read_body(request.into_body(), limit, &caller).await else {
            return http::empty(400);
        };
        match path.as_str() {
            "/offer" => self.handle_offer(&body, from).await,
            "/grant" => self.handle_commit(&body, caller),
            "/attach" => self.handle_attach(&body, caller),
            "/cancel" => self.handle_cancel(&body),
            "/key" => self.handle_key_request(&body).await,
            _ => http::empty(404),
        }
    }

    async fn handle_offer(
        self: &Rc<Self>,
        body: &[u8],
        from: Option<hyper::header::HeaderValue>,
    ) -> Response<http::Body> {
        let Some(offer) = decode::<offer::Offer>(body) else { return http::empty(400) };
        let from = from.and_then(|value| value.to_str().ok()?.parse().ok());
        if let (Some(peer), Some(distribution)) = (from, self.distribution.borrow().upgrade()) {
            distribution.feed(::sync::Event::DigestHash { peer, hash: offer.settings });
        }
        let (sender, receiver) = oneshot::channel();
        let guard = self.open_link(PendingReply::Offer(sender));
        self.feed(Event::Offer { link: guard.link, offer });
        match receiver.await {
            Ok(reply) => encode_reply(&reply),
            Err(_) => http::empty(503),
        }
    }

    fn handle_commit(self: &Rc<Self>, body: &[u8], caller: Caller) -> Response<http::Body> {
        let mut reader = frame::Reader::default();
        reader.push(body);
        let Ok(Some(commit)) = reader.read::<grant::Commit>() else { return http::empty(400) };
        let body = reader.take_remaining();
        self.open_stream(caller, |link| Event::Commit { link, commit, body })
    }

    fn handle_attach(self: &Rc<Self>, body: &[u8], caller: Caller) -> Response<http::Body> {
        let Some(attach) = decode(body) else { return http::empty(400) };
        self.open_stream(caller, |link| Event::Attach { link, attach })
    }

    fn open_stream(
        self: &Rc<Self>,
        caller: Caller,
        event: impl FnOnce(Link) -> Event,
    ) -> Response<http::Body> {
        let (sender, receiver) = stream::channel(Some(caller));
        let guard = self.open_link(PendingReply::Stream(sender));
        self.feed(event(guard.link));
        http::streamed(200, peer::CONTENT_TYPE.as_bytes(), receiver, guard)
    }

    fn handle_cancel(self: &Rc<Self>, body: &[u8]) -> Response<http::Body> {
        let Some(commit) = decode(body) else { return http::empty(400) };
        self.feed(Event::Cancel { commit });
        encode_reply(&())
    }

    async fn handle_key_request(self: &Rc<Self>, body: &[u8]) -> Response<http::Body> {
        let Some(route) = decode(body) else { return http::empty(400) };
        let (sender, receiver) = oneshot::channel();
        let guard = self.open_link(PendingReply::Key(sender));
        self.feed(Event::KeyRequest { link: guard.link, route });
        match receiver.await {
            Ok(reply) => encode_reply(&reply),
            Err(_) => http::empty(503),
        }
    }

    fn dispatch(self: &Rc<Self>, grant: id::Grant, head: request::Head, body: Bytes) {
        let backend = self.backend.clone();
        let report = self.progress_reporter(grant);
        let task = if body.len() as u64 == head.body_len {
            self.metrics.count("dispatched");
            runtime::spawn(backend.dispatch(grant, head, body, report))
        } else {
            // The body is not the one that the caller sent, so nothing is sent to the backend
            // server.
            tracing::warn!(event = "bad_body_length", %grant, offered = head.body_len, len = body.len());
            runtime::spawn(async move { report(Progress::Unreachable) })
        };
        self.dispatches.borrow_mut().insert(grant, task);
    }

    fn resume(self: &Rc<Self>, grant: id::Grant, offset: u64) {
        let backend = self.backend.clone();
        let report = self.progress_reporter(grant);
        let task = runtime::spawn(backend.resume(grant, offset, report));
        self.dispatches.borrow_mut().insert(grant, task);
    }

    /// Returns a function that feeds progress to the state machine and removes the task with the
    /// last progress.
    fn progress_reporter(self: &Rc<Self>, grant: id::Grant) -> impl Fn(Progress) + use<> {
        let agent = self.clone();
        move |progress| {
            let is_running = matches!(progress, Progress::Started { .. } | Progress::Data { .. });
            if !is_running && let Some(task) = agent.dispatches.borrow_mut().remove(&grant) {
                task.detach();
            }
            agent.feed(Event::Backend { grant, progress });
        }
    }

    /// Sends a frame. If the reader is too far behind, its link is closed without an end frame, so
    /// that it attaches again from its own offset.
    fn send_frame(&self, link: Link, frame: &wire::Frame) {
        let mut links = self.links.borrow_mut();
        if let Some(PendingReply::Stream(sender)) = links.get(&link)
            && !sender.send(frame::encode_delimited(frame))
        {
            tracing::warn!(event = "reader_too_slow", request = %frame.request);
            links.remove(&link);
        }
    }

    fn send_order(&self, order: tree::Order) {
        let backend = self.backend.clone();
        runtime::spawn(async move {
            let action = String::from_utf8_lossy(&order.action).into_owned();
            let status = backend.send_order(&order).await;
            tracing::info!(event = "order_given", action, fence = order.fence, ?status);
        })
        .detach();
    }
}

/// Returns a function that feeds the rate limits in responses to the state machine.
fn observe_limit(agent: Weak<Agent>) -> backend::LimitObserver {
    Rc::new(move |sent_at, per_s| {
        if let Some(agent) = agent.upgrade() {
            agent.feed(Event::RateLimitStated { sent_at, per_s });
        }
    })
}

/// Probes the backend server until the process ends. The first probe is sent at once, so that a
/// crash before the first request is detected.
async fn probe_backend(agent: Rc<Agent>) {
    loop {
        let instance = agent.backend.clone().probe().await;
        let is_reachable = instance.is_some();
        agent.feed(Event::Probe { instance });
        // A plain service does not report its load.
        let min_interval = agent.driver.read(agent::Machine::probe_interval);
        let reports_load = is_reachable && agent.serves_models.get() && min_interval.is_zero();
        if reports_load && let Some(load) = agent.backend.clone().read_load().await {
            agent.feed(Event::Load { running: load.running, waiting: load.waiting });
        }
        compio::time::sleep(PROBE_INTERVAL.max(min_interval)).await;
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let decoded = frame::decode(body);
    if let Err(error) = &decoded {
        tracing::warn!(event = "bad_message", %error);
    }
    decoded.ok()
}

fn encode_reply(message: &impl Serialize) -> Response<http::Body> {
    http::buffered(200, peer::CONTENT_TYPE, frame::encode(message))
}

struct Executor(Rc<Agent>);

impl Execute<Action> for Executor {
    fn execute(&self, action: Action) {
        let agent = &self.0;
        match action {
            Action::Reply { link, reply } => {
                if let Some(PendingReply::Offer(sender)) = agent.links.borrow_mut().remove(&link) {
                    let _ = sender.send(reply);
                }
            }
            Action::Frame { link, frame } => agent.send_frame(link, &frame),
            Action::Close { link } => {
                if let Some(PendingReply::Stream(sender)) = agent.links.borrow_mut().remove(&link) {
                    sender.finish();
                }
            }
            Action::KeyReply { link, reply } => {
                if let Some(PendingReply::Key(sender)) = agent.links.borrow_mut().remove(&link) {
                    let _ = sender.send(reply);
                }
            }
            Action::Dispatch { grant, head, body } => agent.dispatch(grant, head, body),
            Action::Resume { grant, offset } => agent.resume(grant, offset),
            Action::Cancel { grant } => {
                agent.dispatches.borrow_mut().remove(&grant);
                runtime::spawn(agent.backend.clone().cancel(grant)).detach();
            }
            Action::Order { order } => agent.send_order(order),
            Action::Refresh => {
                tracing::warn!(event = "paused");
                if let Some(distribution) = agent.distribution.borrow().upgrade() {
                    distribution.feed(::sync::Event::Refresh);
                }
            }
            Action::Suspects(suspects) => {
                if let Some(distribution) = agent.distribution.borrow().upgrade() {
                    distribution.feed(::sync::Event::Suspects(suspects));
                }
            }
            Action::Trace { request, step, event, peer } => {
                agent.traces.record(request, step, event, peer);
            }
            Action::Stopped => (agent.on_stopped)(),
        }
    }
}

impl Role for Agent {
    fn apply_settings(self: Rc<Self>, tree: Arc<tree::Tree>) {
        let is_served =
            |route: &tree::Route| route.pool == self.pool && route.kind == request::Kind::Model;
        self.serves_models.set(tree.routes.values().any(is_served));
        self.feed(Event::Settings(tree));
    }

    fn apply_hosts(self: Rc<Self>, hosts: Vec<host::Record>) {
        self.feed(Event::Hosts(hosts));
    }

    fn apply_suspects(self: Rc<Self>, suspects: Vec<sync::Suspect>) {
        self.feed(Event::Suspects(suspects));
    }

    fn mark_refreshed(self: Rc<Self>) {
        self.feed(Event::Refreshed);
    }

    fn start_serving(self: Rc<Self>) {
        self.feed(Event::Ready);
    }

    fn stop(self: Rc<Self>) {
        self.feed(Event::Stop);
    }

    fn report(&self, status: &mut status::Status) {
        self.driver.read(|machine| machine.report(clock::now(), status));
    }

    fn handle_message(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(self.respond(request, caller))
    }
}
