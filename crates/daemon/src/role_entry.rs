//! The entry role: carries out the actions of `entry::Machine`.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    sync::Arc,
};

use bytes::Bytes;
use compio::runtime;
use conf::tree;
use entry::{Action, Event};
use futures_channel::{mpsc, oneshot};
use futures_util::{Stream, StreamExt, future::LocalBoxFuture};
use hyper::{Request, Response, body};
use wire::{Frame, frame, grant, host, id, key, offer, outcome, request, status, sync};

use crate::{
    caller::Caller,
    clock,
    distribution::Distribution,
    driver::{Driver, Execute},
    error::Error,
    http,
    metrics::Metrics,
    peer,
    role::{Identity, Role},
    trace,
};

/// Attempts to send a cancellation. After that the agent's own time limits end the request.
const CANCEL_ATTEMPTS: u32 = 3;

/// Part of the response to a caller, as the state machine emits it.
#[derive(Debug)]
pub enum ResponsePart {
    Start { request: id::Request, status: u16, content_type: Bytes },
    Data(Bytes),
    Finish,
    Refuse { request: Option<id::Request>, refusal: outcome::Refusal },
}

/// A caller whose request is open.
struct CallerState {
    body: Bytes,
    parts: mpsc::UnboundedSender<ResponsePart>,
    connection: Caller,
    request: Option<id::Request>,
}

/// Handle of a task; dropping it cancels the task.
type Task = runtime::JoinHandle<()>;

/// The entry role of a process.
pub struct Entry {
    driver: Rc<Driver<entry::Machine>>,
    peers: peer::Client,
    identity: Identity,
    callers: RefCell<HashMap<u64, CallerState>>,
    /// Connections of the callers of open requests.
    connections: RefCell<HashMap<id::Request, Caller>>,
    key_callers: RefCell<HashMap<u64, oneshot::Sender<Result<key::Key, outcome::Refusal>>>>,
    next_caller: Cell<u64>,
    bodies: RefCell<HashMap<id::Request, Bytes>>,
    offers: RefCell<HashMap<(id::Request, SocketAddr), Task>>,
    streams: RefCell<HashMap<id::Request, (id::Grant, Task)>>,
    tree: RefCell<Arc<tree::Tree>>,
    distribution: RefCell<Weak<Distribution>>,
    on_stopped: Rc<dyn Fn()>,
    pub traces: Rc<trace::Store>,
    pub metrics: Rc<Metrics>,
}

impl Entry {
    /// Returns the role; `on_stopped` is called at the end of a planned stop.
    pub fn new(
        identity: Identity,
        metrics: Rc<Metrics>,
        traces: Rc<trace::Store>,
        on_stopped: Rc<dyn Fn()>,
    ) -> Rc<Entry> {
        let setup = entry::Setup {
            process: identity.process,
            host: identity.host.clone(),
            availability_zone: identity.availability_zone.clone(),
            seed: identity.seed,
        };
        Rc::new(Entry {
            driver: Driver::new(entry::Machine::new(setup)),
            peers: peer::Client::new(identity.address),
            identity,
            callers: RefCell::default(),
            connections: RefCell::default(),
            key_callers: RefCell::default(),
            next_caller: Cell::new(1),
            bodies: RefCell::default(),
            offers: RefCell::default(),
            streams: RefCell::default(),
            tree: RefCell::default(),
            distribution: RefCell::default(),
            on_stopped,
            traces,
            metrics,
        })
    }

    /// Sets the settings distribution, which receives suspects and provides the hash of the
    /// settings digest for offers.
    pub fn set_distribution(&self, distribution: &Rc<Distribution>) {
        *self.distribution.borrow_mut() = Rc::downgrade(distribution);
    }

    /// Returns the settings in force.
    pub fn tree(&self) -> Arc<tree::Tree> {
        self.tree.borrow().clone()
    }

    /// Returns the host's name, for refusals that are made outside the state machine.
    pub fn host(&self) -> Bytes {
        self.identity.host.clone()
    }

    /// Returns whether new requests are accepted.
    pub fn is_serving(&self) -> bool {
        self.driver.read(entry::Machine::is_serving)
    }

    /// Opens a request and returns the caller's number and the parts of the response.
    pub fn open_request(
        self: &Rc<Self>,
        body: Bytes,
        connection: Caller,
        incoming: impl FnOnce(u64) -> entry::IncomingRequest,
    ) -> (u64, mpsc::UnboundedReceiver<ResponsePart>) {
        let caller = self.next_caller.replace(self.next_caller.get() + 1);
        let (parts, receiver) = mpsc::unbounded();
        let state = CallerState { body, parts, connection, request: None };
        self.callers.borrow_mut().insert(caller, state);
        self.feed(Event::Request(incoming(caller)));
        (caller, receiver)
    }

    /// Reports that a caller's connection has closed.
    pub fn disconnect_caller(self: &Rc<Self>, caller: u64) {
        let entry = self.clone();
        // The caller's response may be dropped while the state machine is borrowed, so the event is
        // fed by a new task.
        runtime::spawn(async move {
            entry.remove_caller(caller);
            entry.feed(Event::CallerDisconnected { caller });
        })
        .detach();
    }

    /// Requests an idempotency key from an agent of the route.
    pub async fn issue_key(
        self: &Rc<Self>,
        route: Bytes,
    ) -> Option<Result<key::Key, outcome::Refusal>> {
        let caller = self.next_caller.replace(self.next_caller.get() + 1);
        let (sender, receiver) = oneshot::channel();
        self.key_callers.borrow_mut().insert(caller, sender);
        self.feed(Event::KeyRequest { caller, route });
        receiver.await.ok()
    }

    fn remove_caller(&self, caller: u64) {
        let state = self.callers.borrow_mut().remove(&caller);
        if let Some(request) = state.and_then(|state| state.request) {
            self.connections.borrow_mut().remove(&request);
        }
    }

    fn feed(self: &Rc<Self>, event: Event) {
        let executor = Rc::new(Executor(self.clone()));
        self.driver.feed(&executor, event);
    }

    fn offer(self: &Rc<Self>, peer: SocketAddr, head: request::Head) {
        let entry = self.clone();
        let request = head.request;
        let started = clock::now();
        let task = runtime::spawn(async move {
            let (limit, most) = (head.remaining, peer::MAX_SHORT_REPLY_BYTES);
            let distribution = entry.distribution.borrow().upgrade();
            let settings = distribution.map_or(0, |distribution| distribution.digest_hash());
            let offer = offer::Offer { head, settings };
            let reply = entry.peers.exchange(peer, "/offer", &offer, limit, most).await;
            if let Some(task) = entry.offers.borrow_mut().remove(&(request, peer)) {
                task.detach();
            }
            entry.feed(match reply {
                Ok(reply) => Event::OfferReply { request, peer, reply },
                Err(error) => {
                    let waited_ms = clock::now().since(started).as_millis() as u64;
                    tracing::debug!(event = "offer_failed", %request, waited_ms, %error);
                    Event::OfferFailed { request, peer }
                }
            });
        });
        self.offers.borrow_mut().insert((request, peer), task);
    }

    fn commit(self: &Rc<Self>, peer: SocketAddr, commit: grant::Commit) {
        let entry = self.clone();
        let body = self.bodies.borrow().get(&commit.request).cloned().unwrap_or_default();
        let connection = self.connections.borrow().get(&commit.request).cloned();
        self.open_stream(commit.request, commit.grant, peer, async move {
            entry.peers.commit(peer, &commit, &body, connection).await
        });
    }

    fn attach(self: &Rc<Self>, peer: SocketAddr, attach: grant::Attach) {
        let entry = self.clone();
        let connection = self.connections.borrow().get(&attach.request).cloned();
        self.open_stream(attach.request, attach.grant, peer, async move {
            entry.peers.attach(peer, &attach, connection).await
        });
    }

    /// Opens a stream and feeds its frames to the state machine. A newer stream of the same
    /// request replaces an older one.
    fn open_stream<S: Stream<Item = Result<Frame, Error>> + 'static>(
        self: &Rc<Self>,
        request: id::Request,
        grant: id::Grant,
        peer: SocketAddr,
        open: impl Future<Output = Result<S, Error>> + 'static,
    ) {
        let entry = self.clone();
        let task = runtime::spawn(async move {
            match open.await {
                Ok(frames) => entry.read_frames(request, peer, frames).await,
                Err(error) => entry.handle_stream_error(request, peer, &error),
            }
        });
        self.streams.borrow_mut().insert(request, (grant, task));
    }

    async fn read_frames(
        self: &Rc<Self>,
        request: id::Request,
        peer: SocketAddr,
        frames: impl Stream<Item = Result<Frame, Error>>,
    ) {
        let mut frames = Box::pin(frames);
        while let Some(next) = frames.next().await {
            match next {
                Ok(frame) => {
                    let is_last =
                        matches!(frame.body, frame::Body::End { .. } | frame::Body::Refused(_));
                    if is_last {
                        self.detach_stream(request);
                    }
                    self.feed(Event::Frame { request, peer, frame });
                    if is_last {
                        return;
                    }
                }
                Err(error) => return self.handle_stream_error(request, peer, &error),
            }
        }
        self.detach_stream(request);
        self.feed(Event::StreamFailed { request, peer });
    }

    fn handle_stream_error(self: &Rc<Self>, request: id::Request, peer: SocketAddr, error: &Error) {
        tracing::debug!(event = "stream_lost", %request, %error);
        self.detach_stream(request);
        self.feed(Event::StreamFailed { request, peer });
    }

    /// Detaches the task that reads a stream. The task calls this itself, and dropping its handle
    /// would cancel it.
    fn detach_stream(&self, request: id::Request) {
        if let Some((_, task)) = self.streams.borrow_mut().remove(&request) {
            task.detach();
        }
    }

    fn cancel(self: &Rc<Self>, peer: SocketAddr, commit: grant::Commit) {
        let mut streams = self.streams.borrow_mut();
        if streams.get(&commit.request).is_some_and(|(grant, _)| *grant == commit.grant) {
            streams.remove(&commit.request);
        }
        drop(streams);
        let entry = self.clone();
        runtime::spawn(async move {
            for _ in 0..CANCEL_ATTEMPTS {
                let (limit, most) = (peer::EXCHANGE_TIMEOUT, peer::MAX_SHORT_REPLY_BYTES);
                let sent: Result<(), Error> =
                    entry.peers.exchange(peer, "/cancel", &commit, limit, most).await;
                if sent.is_ok() {
                    return;
                }
            }
        })
        .detach();
    }

    fn request_key(self: &Rc<Self>, caller: u64, peer: SocketAddr, route: Bytes) {
        let entry = self.clone();
        runtime::spawn(async move {
            let (limit, most) = (peer::EXCHANGE_TIMEOUT, peer::MAX_SHORT_REPLY_BYTES);
            let reply = entry.peers.exchange(peer, "/key", &route, limit, most).await;
            entry.feed(match reply {
                Ok(reply) => Event::KeyReply { caller, reply },
                Err(error) => {
                    tracing::debug!(event = "key_call_failed", %error);
                    Event::KeyFailed { caller, peer }
                }
            });
        })
        .detach();
    }

    fn send_part(&self, caller: u64, part: ResponsePart) {
        let is_last = matches!(part, ResponsePart::Finish | ResponsePart::Refuse { .. });
        if let Some(state) = self.callers.borrow().get(&caller) {
            let _ = state.parts.unbounded_send(part);
        }
        if is_last {
            self.remove_caller(caller);
        }
    }
}

struct Executor(Rc<Entry>);

impl Execute<Action> for Executor {
    fn execute(&self, action: Action) {
        let entry = &self.0;
        match action {
            Action::Offer { peer, head } => entry.offer(peer, head),
            Action::Withdraw { request, peer } => {
                entry.offers.borrow_mut().remove(&(request, peer));
            }
            Action::Commit { peer, commit } => entry.commit(peer, commit),
            Action::Attach { peer, attach } => entry.attach(peer, attach),
            Action::Cancel { peer, commit } => entry.cancel(peer, commit),
            Action::KeyRequest { caller, peer, route } => entry.request_key(caller, peer, route),
            Action::KeyResponse { caller, response } => {
                if let Some(sender) = entry.key_callers.borrow_mut().remove(&caller) {
                    let _ = sender.send(response);
                }
            }
            Action::StoreBody { caller, request } => {
                if let Some(state) = entry.callers.borrow_mut().get_mut(&caller) {
                    let body = std::mem::take(&mut state.body);
                    state.request = Some(request);
                    entry.connections.borrow_mut().insert(request, state.connection.clone());
                    entry.bodies.borrow_mut().insert(request, body);
                }
            }
            Action::DropBody { request } => {
                entry.bodies.borrow_mut().remove(&request);
            }
            Action::Start { caller, request, status, content_type } => {
                entry.send_part(caller, ResponsePart::Start { request, status, content_type });
            }
            Action::Data { caller, bytes } => entry.send_part(caller, ResponsePart::Data(bytes)),
            Action::Finish { caller } => entry.send_part(caller, ResponsePart::Finish),
            Action::Refuse { caller, request, refusal } => {
                entry.metrics.count(&format!("refused.{}.{}", refusal.outcome, refusal.reason));
                entry.send_part(caller, ResponsePart::Refuse { request, refusal });
            }
            Action::Suspects(suspects) => {
                if let Some(distribution) = entry.distribution.borrow().upgrade() {
                    distribution.feed(::sync::Event::Suspects(suspects));
                }
            }
            Action::Trace { request, step, event, peer } => {
                entry.traces.record(request, step, event, peer);
            }
            Action::Stopped => (entry.on_stopped)(),
        }
    }
}

impl Role for Entry {
    fn apply_settings(self: Rc<Self>, tree: Arc<tree::Tree>) {
        *self.tree.borrow_mut() = tree.clone();
        self.feed(Event::Settings(tree));
    }

    fn apply_hosts(self: Rc<Self>, hosts: Vec<host::Record>) {
        self.feed(Event::Hosts(hosts));
    }

    fn apply_suspects(self: Rc<Self>, _suspects: Vec<sync::Suspect>) {}

    fn mark_refreshed(self: Rc<Self>) {}

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
        _request: Request<body::Incoming>,
        _caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(async { http::empty(404) })
    }
}
