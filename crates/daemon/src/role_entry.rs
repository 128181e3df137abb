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

/// Times a cancellation is sent before it is left to the agent's own time limits.
const CANCEL_TRIES: u32 = 3;

/// What the state machine tells a caller.
#[derive(Debug)]
pub enum Answer {
    Start { request: id::Request, status: u16, content_type: Bytes },
    Data(Bytes),
    Finish,
    Refuse { request: Option<id::Request>, refusal: outcome::Refusal },
}

/// One open call.
struct Caller {
    body: Bytes,
    answers: mpsc::UnboundedSender<Answer>,
}

/// A task that is cancelled when dropped.
type Task = runtime::JoinHandle<()>;

/// The entry role of a process.
pub struct Entry {
    driver: Rc<Driver<entry::Machine>>,
    peers: peer::Client,
    identity: Identity,
    callers: RefCell<HashMap<u64, Caller>>,
    key_callers: RefCell<HashMap<u64, oneshot::Sender<Result<key::Key, outcome::Refusal>>>>,
    next_caller: Cell<u64>,
    bodies: RefCell<HashMap<id::Request, Bytes>>,
    offers: RefCell<HashMap<(id::Request, SocketAddr), Task>>,
    streams: RefCell<HashMap<id::Request, (id::Grant, Task)>>,
    tree: RefCell<Arc<tree::Tree>>,
    distribution: RefCell<Weak<Distribution>>,
    stopped: Rc<dyn Fn()>,
    pub traces: Rc<trace::Store>,
    pub metrics: Rc<Metrics>,
}

impl Entry {
    /// Returns the role; `stopped` is called at the end of a planned stop.
    pub fn new(
        identity: Identity,
        metrics: Rc<Metrics>,
        traces: Rc<trace::Store>,
        stopped: Rc<dyn Fn()>,
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
            key_callers: RefCell::default(),
            next_caller: Cell::new(1),
            bodies: RefCell::default(),
            offers: RefCell::default(),
            streams: RefCell::default(),
            tree: RefCell::default(),
            distribution: RefCell::default(),
            stopped,
            traces,
            metrics,
        })
    }

    /// Sets where suspects are reported and offers get the hash of the settings digest from.
    pub fn set_distribution(&self, distribution: &Rc<Distribution>) {
        *self.distribution.borrow_mut() = Rc::downgrade(distribution);
    }

    /// Returns the settings in force.
    pub fn tree(&self) -> Arc<tree::Tree> {
        self.tree.borrow().clone()
    }

    /// Returns the host's name, for refusals made outside the state machine.
    pub fn host(&self) -> Bytes {
        self.identity.host.clone()
    }

    /// Returns whether new calls are taken.
    pub fn is_serving(&self) -> bool {
        self.driver.read(entry::Machine::is_serving)
    }

    /// Opens a call and returns its number and its answers.
    pub fn open(
        self: &Rc<Self>,
        body: Bytes,
        call: impl FnOnce(u64) -> entry::IncomingRequest,
    ) -> (u64, mpsc::UnboundedReceiver<Answer>) {
        let caller = self.next_caller.replace(self.next_caller.get() + 1);
        let (answers, receiver) = mpsc::unbounded();
        self.callers.borrow_mut().insert(caller, Caller { body, answers });
        self.feed(Event::Request(call(caller)));
        (caller, receiver)
    }

    /// Reports that a caller's connection is gone.
    pub fn close(self: &Rc<Self>, caller: u64) {
        let entry = self.clone();
        // The caller's answer may be dropped while the machine is borrowed.
        runtime::spawn(async move {
            entry.callers.borrow_mut().remove(&caller);
            entry.feed(Event::CallerDisconnected { caller });
        })
        .detach();
    }

    /// Asks for an idempotency key.
    pub async fn key(self: &Rc<Self>, route: Bytes) -> Option<Result<key::Key, outcome::Refusal>> {
        let caller = self.next_caller.replace(self.next_caller.get() + 1);
        let (sender, receiver) = oneshot::channel();
        self.key_callers.borrow_mut().insert(caller, sender);
        self.feed(Event::KeyRequest { caller, route });
        receiver.await.ok()
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
            let limit = head.remaining;
            let distribution = entry.distribution.borrow().upgrade();
            let settings = distribution.map_or(0, |distribution| distribution.hash());
            let offer = offer::Offer { head, settings };
            let reply = entry.peers.exchange(peer, "/offer", &offer, limit).await;
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
        self.stream(commit.request, commit.grant, peer, async move {
            entry.peers.commit(peer, &commit, &body).await
        });
    }

    fn attach(self: &Rc<Self>, peer: SocketAddr, attach: grant::Attach) {
        let entry = self.clone();
        self.stream(attach.request, attach.grant, peer, async move {
            entry.peers.attach(peer, &attach).await
        });
    }

    /// Feeds the frames of a stream. A newer stream of the same request replaces an older one.
    fn stream<S: Stream<Item = Result<Frame, Error>> + 'static>(
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
                Err(error) => entry.lose_stream(request, peer, &error),
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
                    let last =
                        matches!(frame.body, frame::Body::End { .. } | frame::Body::Refused(_));
                    if last {
                        self.forget_stream(request);
                    }
                    self.feed(Event::Frame { request, peer, frame });
                    if last {
                        return;
                    }
                }
                Err(error) => return self.lose_stream(request, peer, &error),
            }
        }
        self.forget_stream(request);
        self.feed(Event::StreamFailed { request, peer });
    }

    fn lose_stream(self: &Rc<Self>, request: id::Request, peer: SocketAddr, error: &Error) {
        tracing::debug!(event = "stream_lost", %request, %error);
        self.forget_stream(request);
        self.feed(Event::StreamFailed { request, peer });
    }

    /// Releases the running task's own handle without cancelling it.
    fn forget_stream(&self, request: id::Request) {
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
            for _ in 0..CANCEL_TRIES {
                let limit = peer::EXCHANGE_TIMEOUT;
                let sent: Result<(), Error> =
                    entry.peers.exchange(peer, "/cancel", &commit, limit).await;
                if sent.is_ok() {
                    return;
                }
            }
        })
        .detach();
    }

    fn ask_key(self: &Rc<Self>, caller: u64, peer: SocketAddr, route: Bytes) {
        let entry = self.clone();
        runtime::spawn(async move {
            let limit = peer::EXCHANGE_TIMEOUT;
            let reply = entry.peers.exchange(peer, "/key", &route, limit).await;
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

    fn answer(&self, caller: u64, answer: Answer) {
        let last = matches!(answer, Answer::Finish | Answer::Refuse { .. });
        let mut callers = self.callers.borrow_mut();
        if let Some(slot) = callers.get(&caller) {
            let _ = slot.answers.unbounded_send(answer);
        }
        if last {
            callers.remove(&caller);
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
            Action::KeyRequest { caller, peer, route } => entry.ask_key(caller, peer, route),
            Action::KeyResponse { caller, response } => {
                if let Some(sender) = entry.key_callers.borrow_mut().remove(&caller) {
                    let _ = sender.send(response);
                }
            }
            Action::StoreBody { caller, request } => {
                if let Some(slot) = entry.callers.borrow_mut().get_mut(&caller) {
                    let body = std::mem::take(&mut slot.body);
                    entry.bodies.borrow_mut().insert(request, body);
                }
            }
            Action::DropBody { request } => {
                entry.bodies.borrow_mut().remove(&request);
            }
            Action::Start { caller, request, status, content_type } => {
                entry.answer(caller, Answer::Start { request, status, content_type });
            }
            Action::Data { caller, bytes } => entry.answer(caller, Answer::Data(bytes)),
            Action::Finish { caller } => entry.answer(caller, Answer::Finish),
            Action::Refuse { caller, request, refusal } => {
                entry.metrics.count(&format!("refused.{}.{}", refusal.outcome, refusal.reason));
                entry.answer(caller, Answer::Refuse { request, refusal });
            }
            Action::Suspects(suspects) => {
                if let Some(distribution) = entry.distribution.borrow().upgrade() {
                    distribution.feed(::sync::Event::Suspects(suspects));
                }
            }
            Action::Trace { request, step, event, peer } => {
                entry.traces.record(request, step, event, peer);
            }
            Action::Stopped => (entry.stopped)(),
        }
    }
}

impl Role for Entry {
    fn settings(self: Rc<Self>, tree: Arc<tree::Tree>) {
        *self.tree.borrow_mut() = tree.clone();
        self.feed(Event::Settings(tree));
    }

    fn hosts(self: Rc<Self>, hosts: Vec<host::Record>) {
        self.feed(Event::Hosts(hosts));
    }

    fn suspects(self: Rc<Self>, _suspects: Vec<sync::Suspect>) {}

    fn refreshed(self: Rc<Self>) {}

    fn ready(self: Rc<Self>) {
        self.feed(Event::Ready);
    }

    fn stop(self: Rc<Self>) {
        self.feed(Event::Stop);
    }

    fn report(&self, status: &mut status::Status) {
        self.driver.read(|machine| machine.report(clock::now(), status));
    }

    fn message(
        self: Rc<Self>,
        _request: Request<body::Incoming>,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(async { http::empty(404) })
    }
}
