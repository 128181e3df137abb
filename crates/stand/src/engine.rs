//! Model engine over HTTP: the pure model driven by the clock, with resumable streams.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use compio::runtime::JoinHandle;
use futures_util::future::select;
use serde::{Deserialize, Serialize};
use wire::time::Instant;

use crate::{
    clock::Clock,
    completion,
    model::{self, Job, Output},
    port::{Controller, Port},
    run::{End, Run},
    signal::Signal,
    stream::Stream,
};

mod handler;

/// Settings of an engine server.
#[derive(Clone, Debug)]
pub struct Settings {
    pub model: model::Settings,
    /// Whether orders with a lower fencing number than the highest seen are refused.
    pub checks_fence: bool,
    /// How long a finished stream can be resumed.
    pub retention: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            model: model::Settings::default(),
            checks_fence: false,
            retention: Duration::from_secs(30),
        }
    }
}

/// Record of one stream: the run with the identifier under which it was dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub stream: String,
    #[serde(flatten)]
    pub run: Run,
}

/// Record of one order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub fence: Option<u64>,
    pub accepted: bool,
    pub instance: u64,
    pub body: String,
}

struct State {
    model: model::Engine,
    /// Streams that can be read, by the dispatcher's identifier.
    streams: HashMap<String, u64>,
    bodies: HashMap<u64, Rc<Stream>>,
    /// Identifier of each job, indexed by job number; never shortened.
    names: Vec<String>,
    orders: Vec<Order>,
    highest_fence: Option<u64>,
    /// Jobs that ended, with the time of their end, until their streams are dropped.
    ended: VecDeque<(Instant, u64)>,
    outputs: Vec<Output>,
}

struct Shared {
    settings: Settings,
    clock: Clock,
    controller: Rc<Controller>,
    state: RefCell<State>,
    thaw: Cell<Instant>,
    /// Wakes the task that advances the model.
    changed: Signal,
}

/// A running engine server; dropping it stops the server.
pub struct Engine {
    shared: Rc<Shared>,
    port: Port,
    _driver: JoinHandle<()>,
}

/// Starts an engine on the current runtime.
///
/// # Errors
///
/// Returns the error of the bind.
pub fn spawn(address: SocketAddr, settings: Settings) -> io::Result<Engine> {
    let controller = Rc::new(Controller::default());
    let state = State {
        model: model::Engine::new(settings.model.clone(), fastrand::u64(..)),
        streams: HashMap::new(),
        bodies: HashMap::new(),
        names: Vec::new(),
        orders: Vec::new(),
        highest_fence: None,
        ended: VecDeque::new(),
        outputs: Vec::new(),
    };
    let shared = Rc::new(Shared {
        settings,
        clock: Clock::start(),
        controller: controller.clone(),
        state: RefCell::new(state),
        thaw: Cell::default(),
        changed: Signal::default(),
    });
    let port = handler::serve(address, controller, shared.clone())?;
    let driver = compio::runtime::spawn(drive(shared.clone()));
    Ok(Engine { shared, port, _driver: driver })
}

impl Engine {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Returns the number of the current run of the engine.
    pub fn instance(&self) -> u64 {
        self.shared.state.borrow().model.instance()
    }

    /// Returns everything the engine was given, over all instances.
    pub fn record(&self) -> Vec<Entry> {
        self.shared.record()
    }

    /// Returns all orders, over all instances.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.state.borrow().orders.clone()
    }

    /// Drops all connections and streams and restarts as a new instance.
    pub fn crash(&self) {
        self.shared.crash(None);
    }

    /// Makes every step take `factor` times as long.
    pub fn set_slowdown(&self, factor: f64) {
        self.shared.state.borrow_mut().model.set_slowdown(factor);
    }

    /// Makes no progress and gives no answers for `span`.
    pub fn freeze(&self, span: Duration) {
        self.shared.freeze(span);
    }
}

/// Advances the model whenever its timer is due.
async fn drive(shared: Rc<Shared>) {
    loop {
        shared.advance();
        let seen = shared.changed.changes();
        let next = shared.state.borrow().model.next_timer();
        match next {
            Some(at) => {
                let due = pin!(shared.clock.sleep_until(at));
                select(due, pin!(shared.changed.wait(seen))).await;
            }
            None => shared.changed.wait(seen).await,
        }
    }
}

impl Shared {
    /// Brings model and streams up to the present, and returns it.
    fn advance(&self) -> Instant {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let instance = state.model.instance();
        let mut outputs = std::mem::take(&mut state.outputs);
        state.model.advance(now, &mut outputs);
        for output in outputs.drain(..) {
            if let Some(stream) = state.bodies.get(&output.id) {
                stream.extend(output.at, output.tokens, output.end);
            }
            if output.end.is_some() {
                state.ended.push_back((output.at, output.id));
            }
        }
        state.outputs = outputs;
        let crashed = state.model.instance() != instance;
        state.expire(now, self.settings.retention);
        drop(state);
        if crashed {
            self.forget(None);
        }
        now
    }

    fn submit(&self, name: String, request: completion::Request) -> Option<Rc<Stream>> {
        let now = self.advance();
        let mut state = self.state.borrow_mut();
        let id = state.names.len() as u64;
        let job = Job {
            id,
            fingerprint: request.fingerprint,
            prompt: request.prompt,
            output_tokens: request.output_tokens,
        };
        if request.poison {
            state.model.add_poison(request.fingerprint);
        }
        if !state.model.submit(now, job) {
            return None;
        }
        let stream = Stream::new(request);
        state.names.push(name.clone());
        state.streams.insert(name, id);
        state.bodies.insert(id, stream.clone());
        drop(state);
        self.changed.notify();
        Some(stream)
    }

    fn find(&self, name: &str) -> Option<(u64, Rc<Stream>)> {
        let state = self.state.borrow();
        let id = *state.streams.get(name)?;
        Some((id, state.bodies.get(&id)?.clone()))
    }

    fn cancel(&self, name: &str) -> bool {
        let now = self.advance();
        let Some((id, stream)) = self.find(name) else { return false };
        let mut state = self.state.borrow_mut();
        if state.model.cancel(now, id) {
            state.ended.push_back((now, id));
        }
        drop(state);
        stream.abort(now, End::Cancelled);
        self.changed.notify();
        true
    }

    fn crash(&self, kept: Option<u64>) {
        let now = self.advance();
        let mut state = self.state.borrow_mut();
        // The streams are aborted below, so the outputs of the model are not needed.
        state.model.crash(now, &mut Vec::new());
        drop(state);
        self.forget(kept);
    }

    /// Follows a crash of the model: all that was in the memory of the instance is lost.
    fn forget(&self, kept: Option<u64>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.streams.clear();
        state.ended.clear();
        state.highest_fence = None;
        let bodies = std::mem::take(&mut state.bodies);
        drop(state);
        self.thaw.set(now);
        self.controller.crash(kept, self.settings.model.restart);
        for stream in bodies.values() {
            stream.abort(now, End::Crashed);
        }
        self.changed.notify();
    }

    fn freeze(&self, span: Duration) {
        let now = self.advance();
        self.state.borrow_mut().model.freeze(now, span);
        self.thaw.set(self.thaw.get().max(now + span));
        self.changed.notify();
    }

    fn record(&self) -> Vec<Entry> {
        let state = self.state.borrow();
        let runs = state.model.record().iter();
        runs.zip(&state.names)
            .map(|(run, name)| Entry { stream: name.clone(), run: run.clone() })
            .collect()
    }
}

impl State {
    /// Drops the streams that ended longer than `retention` ago.
    fn expire(&mut self, now: Instant, retention: Duration) {
        while let Some(&(at, id)) = self.ended.front()
            && now.since(at) > retention
        {
            self.ended.pop_front();
            self.bodies.remove(&id);
            let name = &self.names[id as usize];
            // A later dispatch under the same identifier has its own stream.
            if self.streams.get(name) == Some(&id) {
                self.streams.remove(name);
            }
        }
    }
}
