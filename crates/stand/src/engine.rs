//! Model engine over HTTP: runs the model in real time and serves resumable streams.

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
    /// Whether to refuse orders with a fencing number lower than the highest received.
    pub checks_fence: bool,
    /// Time for which a stream can still be resumed after its end.
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

/// Record of one stream: the run and the identifier under which it was dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub stream: String,
    #[serde(flatten)]
    pub run: Run,
}

/// Record of one order, that is, of one `POST /v1/orders` request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub fence: Option<u64>,
    pub accepted: bool,
    pub instance: u64,
    pub body: String,
}

struct State {
    model: model::Engine,
    /// Jobs whose streams can be read, by the dispatcher's identifier.
    job_ids: HashMap<String, u64>,
    /// Streams that can be read, by job number.
    streams: HashMap<u64, Rc<Stream>>,
    /// Dispatcher's identifier of each job, indexed by job number. Never shortened, since the
    /// record covers all jobs.
    stream_ids: Vec<String>,
    orders: Vec<Order>,
    highest_fence: Option<u64>,
    /// Ended jobs with the time of their end, until their streams are dropped.
    ended: VecDeque<(Instant, u64)>,
    outputs: Vec<Output>,
}

struct Shared {
    settings: Settings,
    clock: Clock,
    controller: Rc<Controller>,
    state: RefCell<State>,
    frozen_until: Cell<Instant>,
    /// Rate limit that all responses name, in requests a second.
    rate_limit: Cell<Option<f64>>,
    /// Wakes the task that advances the model.
    changed: Signal,
}

/// A running engine server; dropping it stops the server.
pub struct Engine {
    shared: Rc<Shared>,
    port: Port,
    _model_task: JoinHandle<()>,
}

/// Starts an engine on the current runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn spawn(address: SocketAddr, settings: Settings) -> io::Result<Engine> {
    let controller = Rc::new(Controller::default());
    let state = State {
        model: model::Engine::new(settings.model.clone(), fastrand::u64(..)),
        job_ids: HashMap::new(),
        streams: HashMap::new(),
        stream_ids: Vec::new(),
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
        frozen_until: Cell::default(),
        rate_limit: Cell::default(),
        changed: Signal::default(),
    });
    let port = handler::serve(address, controller, shared.clone())?;
    let model_task = compio::runtime::spawn(run_model(shared.clone()));
    Ok(Engine { shared, port, _model_task: model_task })
}

impl Engine {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Returns the instance number; each crash changes it.
    pub fn instance(&self) -> u64 {
        self.shared.state.borrow().model.instance()
    }

    /// Returns the record of all jobs that the engine received, over all instances.
    pub fn record(&self) -> Vec<Entry> {
        self.shared.record()
    }

    /// Returns all orders that the engine received, over all instances.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.state.borrow().orders.clone()
    }

    /// Drops all connections and streams and restarts as a new instance.
    pub fn crash(&self) {
        self.shared.crash(None);
    }

    /// Sets the rate limit that all responses name from now on, in requests a second.
    pub fn set_rate_limit(&self, rate_limit: Option<f64>) {
        self.shared.rate_limit.set(rate_limit);
    }

    /// Makes every step take `factor` times as long.
    pub fn set_slowdown(&self, factor: f64) {
        self.shared.state.borrow_mut().model.set_slowdown(factor);
    }

    /// Stops progress and responses for `duration`.
    pub fn freeze(&self, duration: Duration) {
        self.shared.freeze(duration);
    }
}

/// Advances the model whenever its timer expires.
async fn run_model(shared: Rc<Shared>) {
    loop {
        shared.advance();
        let seen_changes = shared.changed.changes();
        let next = shared.state.borrow().model.next_timer();
        match next {
            Some(at) => {
                let timer = pin!(shared.clock.sleep_until(at));
                select(timer, pin!(shared.changed.wait(seen_changes))).await;
            }
            None => shared.changed.wait(seen_changes).await,
        }
    }
}

impl Shared {
    /// Advances the model to the current time, appends its output to the streams and returns
    /// the time.
    fn advance(&self) -> Instant {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let instance = state.model.instance();
        let mut outputs = std::mem::take(&mut state.outputs);
        state.model.advance(now, &mut outputs);
        for output in outputs.drain(..) {
            if let Some(stream) = state.streams.get(&output.id) {
                stream.extend(output.at, output.tokens, output.end);
            }
            if output.end.is_some() {
                state.ended.push_back((output.at, output.id));
            }
        }
        state.outputs = outputs;
        let crashed = state.model.instance() != instance;
        state.drop_expired(now, self.settings.retention);
        drop(state);
        if crashed {
            self.reset_instance(None);
        }
        now
    }

    fn submit(&self, stream_id: String, request: completion::Request) -> Option<Rc<Stream>> {
        let now = self.advance();
        let mut state = self.state.borrow_mut();
        let id = state.stream_ids.len() as u64;
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
        state.stream_ids.push(stream_id.clone());
        state.job_ids.insert(stream_id, id);
        state.streams.insert(id, stream.clone());
        drop(state);
        self.changed.notify();
        Some(stream)
    }

    fn find(&self, stream_id: &str) -> Option<(u64, Rc<Stream>)> {
        let state = self.state.borrow();
        let id = *state.job_ids.get(stream_id)?;
        Some((id, state.streams.get(&id)?.clone()))
    }

    fn cancel(&self, stream_id: &str) -> bool {
        let now = self.advance();
        let Some((id, stream)) = self.find(stream_id) else { return false };
        let mut state = self.state.borrow_mut();
        if state.model.cancel(now, id) {
            state.ended.push_back((now, id));
        }
        drop(state);
        stream.abort(now, End::Cancelled);
        self.changed.notify();
        true
    }

    fn crash(&self, kept_connection: Option<u64>) {
        let now = self.advance();
        let mut state = self.state.borrow_mut();
        // `reset_instance` aborts the streams, so the model's outputs are not needed.
        state.model.crash(now, &mut Vec::new());
        drop(state);
        self.reset_instance(kept_connection);
    }

    /// Resets the server after a crash of the model: aborts all streams, drops the connections
    /// except `kept_connection`, and clears the state that the instance held in memory.
    fn reset_instance(&self, kept_connection: Option<u64>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.job_ids.clear();
        state.ended.clear();
        state.highest_fence = None;
        let streams = std::mem::take(&mut state.streams);
        drop(state);
        self.frozen_until.set(now);
        self.controller.crash(kept_connection, self.settings.model.restart);
        for stream in streams.values() {
            stream.abort(now, End::Crashed);
        }
        self.changed.notify();
    }

    fn freeze(&self, duration: Duration) {
        let now = self.advance();
        self.state.borrow_mut().model.freeze(now, duration);
        self.frozen_until.set(self.frozen_until.get().max(now + duration));
        self.changed.notify();
    }

    fn record(&self) -> Vec<Entry> {
        let state = self.state.borrow();
        let runs = state.model.record().iter();
        runs.zip(&state.stream_ids)
            .map(|(run, stream_id)| Entry { stream: stream_id.clone(), run: run.clone() })
            .collect()
    }
}

impl State {
    /// Drops the streams that ended more than `retention` ago.
    fn drop_expired(&mut self, now: Instant, retention: Duration) {
        while let Some(&(at, id)) = self.ended.front()
            && now.since(at) > retention
        {
            self.ended.pop_front();
            self.streams.remove(&id);
            let stream_id = &self.stream_ids[id as usize];
            // A later dispatch under the same identifier has replaced the stream.
            if self.job_ids.get(stream_id) == Some(&id) {
                self.job_ids.remove(stream_id);
            }
        }
    }
}
