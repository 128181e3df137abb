//! Gateways in several availability zones before modelled engines, under requests that arrive at
//! random, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use gate::{
    Action, Event,
    backends::Record,
    event::{AttemptResult, RequestNumber},
    message::Datagram,
    request::{Request, Tokens},
};
use stand::{
    cache::Prompt,
    model::{self, Engine, Job},
    run::End,
};
use wire::time::Instant;

use super::{MODEL, TestGateway, catalog, request, setup};

/// Delay of a message within an availability zone, and to another one.
const NEAR_DELAY: Duration = Duration::from_micros(200);
const FAR_DELAY: Duration = Duration::from_micros(900);
/// Time before the first request, in which gateways get to know each other.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time between confirmations of the configuration.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);
const TOKENS_PER_EVENT: u32 = 5;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub path: &'static str,
    pub prompt: u32,
    /// Mean of the generated tokens.
    pub output: u32,
    /// Part of all requests.
    pub share: f64,
    pub objective: Duration,
}

/// Long, middle and short prompts, the most urgent first.
pub const KINDS: [Kind; 3] = [
    Kind {
        path: "essay",
        prompt: 6_600,
        output: 300,
        share: 0.3,
        objective: Duration::from_millis(800),
    },
    Kind {
        path: "resumable",
        prompt: 700,
        output: 240,
        share: 0.2,
        objective: Duration::from_millis(400),
    },
    Kind {
        path: "tag",
        prompt: 1_800,
        output: 20,
        share: 0.5,
        objective: Duration::from_millis(400),
    },
];

/// Size and load of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub zones: usize,
    pub gateways: usize,
    pub engines: usize,
    /// Requests a second for each engine.
    pub per_engine_s: f64,
    pub seed: u64,
}

/// What one caller got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub kind: usize,
    pub sent_at: Instant,
    pub first_ms: Option<f64>,
    pub longest_pause_ms: f64,
    pub is_refused: bool,
    last_event_at: Instant,
    events: u32,
    first_at: Instant,
}

impl Outcome {
    /// Returns whether the first event and all others came in time.
    pub fn is_in_time(&self) -> bool {
        let objective = KINDS[self.kind].objective.as_secs_f64() * 1e3;
        self.first_ms.is_some_and(|ms| ms <= objective) && self.longest_pause_ms <= 400.0
    }
}

#[derive(Debug)]
enum Step {
    Arrive,
    Confirm,
    Gateway(usize),
    Engine(usize),
    Datagram(usize, Box<Datagram>),
    Submit(usize, Job),
    Tokens { job: u64, tokens: u32, ended: bool },
}

pub struct Deployment {
    size: Size,
    pub now: Instant,
    gateways: Vec<TestGateway>,
    engines: Vec<Engine>,
    steps: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, Step>,
    next_step: u64,
    rng: fastrand::Rng,
    /// Gateway, number and engine of each job.
    jobs: HashMap<u64, (usize, RequestNumber, usize)>,
    requests: HashMap<(usize, RequestNumber), (usize, Request)>,
    next_job: u64,
    pub outcomes: Vec<Outcome>,
    pub datagrams: u64,
    is_sending: bool,
}

impl Deployment {
    /// Returns a deployment whose gateways have read the store and know each other.
    pub fn new(size: Size) -> Deployment {
        let mut rng = fastrand::Rng::with_seed(size.seed);
        let engines = (0..size.engines).map(|n| {
            let settings = model::Settings {
                prefill_rate: 56_600.0,
                step_base: Duration::from_micros(3_790),
                step_per_job: Duration::from_micros(150),
                speed: 0.8 + 0.4 * rng.f64(),
                max_batch: 6,
                ..model::Settings::default()
            };
            Engine::new(settings, n as u64)
        });
        let engines = engines.collect();
        let mut deployment = Deployment {
            size,
            now: Instant(1_000_000),
            gateways: Vec::new(),
            engines,
            steps: BinaryHeap::new(),
            pending: HashMap::new(),
            next_step: 0,
            rng,
            jobs: HashMap::new(),
            requests: HashMap::new(),
            next_job: 0,
            outcomes: Vec::new(),
            datagrams: 0,
            is_sending: true,
        };
        for index in 0..size.gateways {
            let gateway = deployment.start_gateway(index);
            deployment.gateways.push(gateway);
            deployment.plan(deployment.now, Step::Gateway(index));
        }
        deployment.plan(deployment.now, Step::Confirm);
        deployment.plan(deployment.now + WARM_UP, Step::Arrive);
        deployment
    }

    fn start_gateway(&self, index: usize) -> TestGateway {
        let mut setup = setup(index as u16 + 1, true);
        setup.availability_zone = zone(index % self.size.zones);
        setup.seeds = (1..=3u16).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        setup.seed = self.size.seed + index as u64;
        let mut gateway = TestGateway::start(setup, self.now);
        let mut catalog = catalog(1, &["k1"], 0.0);
        for kind in KINDS {
            let name = format!("/{}/", kind.path);
            let route = catalog.routes.iter_mut().find(|route| route.prefix == name);
            route.expect("a route of the kind").objective = kind.objective;
        }
        gateway.feed(Event::Catalog(Rc::new(catalog)));
        for engine in 0..self.size.engines {
            let record = Record {
                zone: zone(engine % self.size.zones),
                slots: 6,
                ..super::record(MODEL, 9_000 + engine as u16)
            };
            gateway.add(&format!("r{engine}"), record);
        }
        gateway.confirm();
        gateway
    }

    fn plan(&mut self, at: Instant, step: Step) {
        self.next_step += 1;
        self.pending.insert(self.next_step, step);
        self.steps.push(Reverse((at, self.next_step)));
    }

    /// Advances the time while requests arrive.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.steps.peek().copied() {
            if at > end {
                break;
            }
            self.steps.pop();
            self.now = self.now.max(at);
            let step = self.pending.remove(&number).expect("a planned step");
            self.carry_out(at, step);
        }
        self.now = end;
    }

    /// Advances the time without new requests.
    pub fn finish(&mut self, span: Duration) {
        self.is_sending = false;
        self.run(span);
    }

    fn carry_out(&mut self, at: Instant, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Confirm => {
                for index in 0..self.gateways.len() {
                    self.gateways[index].now = self.now;
                    self.gateways[index].confirm();
                    self.settle(index);
                }
                self.plan(self.now + CONFIRM_PERIOD, Step::Confirm);
            }
            Step::Gateway(index) => {
                if self.gateways[index].machine.next_timer().is_some_and(|due| due <= at) {
                    self.feed(index, Event::Tick);
                }
            }
            Step::Datagram(to, datagram) => {
                self.gateways[to].now = self.now;
                self.gateways[to].feed_datagram(*datagram);
                self.settle(to);
            }
            Step::Submit(engine, job) => {
                self.advance_engine(engine);
                self.engines[engine].submit(self.now, job);
                self.plan_engine(engine);
            }
            Step::Engine(engine) => {
                if self.engines[engine].next_timer() == Some(at) {
                    self.advance_engine(engine);
                    self.plan_engine(engine);
                }
            }
            Step::Tokens { job, tokens, ended } => self.receive_tokens(job, tokens, ended),
        }
    }

    fn feed(&mut self, index: usize, event: Event) {
        self.gateways[index].now = self.now;
        self.gateways[index].feed(event);
        self.settle(index);
    }

    fn arrive(&mut self) {
        if !self.is_sending {
            return;
        }
        let rate = self.size.per_engine_s * self.size.engines as f64;
        let pause = -(1.0 - self.rng.f64()).ln() / rate;
        self.plan(self.now + Duration::from_secs_f64(pause), Step::Arrive);
        // Callers are spread unevenly over the gateways.
        let gateway =
            self.rng.usize(0..self.size.gateways).max(self.rng.usize(0..self.size.gateways));
        let mut point = self.rng.f64();
        let kind = KINDS.iter().position(|kind| {
            point -= kind.share;
            point < 0.0
        });
        let kind = kind.unwrap_or(KINDS.len() - 1);
        let Kind { path, prompt, output, .. } = KINDS[kind];
        let tokens = Tokens { prompt, max_output: output * 4 };
        let request = Request {
            id: format!("c{}", self.outcomes.len()).into(),
            tokens: Some(tokens),
            output_hint: Some(output),
            fingerprint: 1_000 + self.outcomes.len() as u64,
            ..request(path)
        };
        let outcome = self.outcomes.len();
        self.outcomes.push(Outcome { kind, sent_at: self.now, ..Outcome::default() });
        self.gateways[gateway].now = self.now;
        let number = self.gateways[gateway].arrive(request.clone());
        self.requests.insert((gateway, number), (outcome, request));
        self.settle(gateway);
    }

    /// Carries out the actions of a gateway and plans its next timer.
    fn settle(&mut self, index: usize) {
        for action in std::mem::take(&mut self.gateways[index].actions) {
            match action {
                Action::Dispatch(dispatch) => {
                    let engine = usize::from(dispatch.address.port()) - 9_000;
                    self.submit(index, dispatch.number, engine);
                }
                Action::Refuse { number, .. } => {
                    if let Some((outcome, _)) = self.requests.remove(&(index, number)) {
                        self.outcomes[outcome].is_refused = true;
                    }
                }
                Action::Send { to, datagram } => {
                    let to = usize::from(to.port()) - 1;
                    if to < self.gateways.len() && to != index {
                        self.datagrams += 1;
                        let at = self.now + self.delay(index, to);
                        self.plan(at, Step::Datagram(to, Box::new(datagram)));
                    }
                }
                _ => {}
            }
        }
        if let Some(due) = self.gateways[index].machine.next_timer() {
            // Timers are late by up to a millisecond.
            self.plan(due.max(self.now + Duration::from_millis(1)), Step::Gateway(index));
        }
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        match from % self.size.zones == to % self.size.zones {
            true => NEAR_DELAY,
            false => FAR_DELAY,
        }
    }

    fn submit(&mut self, gateway: usize, number: RequestNumber, engine: usize) {
        let Some((_, request)) = self.requests.get(&(gateway, number)) else { return };
        let tokens = request.tokens.expect("a request for a model");
        let mean = f64::from(tokens.max_output / 4);
        let output = (-(1.0 - self.rng.f64()).ln() * mean).min(mean * 4.0).max(1.0);
        self.next_job += 1;
        let hash = self.next_job;
        let prompt = Prompt { tokens: tokens.prompt, prefix_tokens: 0, prefix: hash, full: hash };
        let job = Job { id: hash, fingerprint: hash, prompt, output_tokens: output as u32 };
        self.jobs.insert(hash, (gateway, number, engine));
        let at = self.now + self.delay(gateway, engine);
        self.plan(at, Step::Submit(engine, job));
    }

    fn advance_engine(&mut self, engine: usize) {
        let mut outputs = Vec::new();
        self.engines[engine].advance(self.now, &mut outputs);
        for output in outputs {
            let is_event = output.tokens == 1 || output.tokens % TOKENS_PER_EVENT == 0;
            if !is_event && output.end.is_none() {
                continue;
            }
            let (gateway, _, _) = self.jobs[&output.id];
            let at = output.at + self.delay(gateway, engine);
            let ended = output.end == Some(End::Finished);
            self.plan(at, Step::Tokens { job: output.id, tokens: output.tokens, ended });
        }
    }

    fn plan_engine(&mut self, engine: usize) {
        if let Some(due) = self.engines[engine].next_timer() {
            self.plan(due, Step::Engine(engine));
        }
    }

    fn receive_tokens(&mut self, job: u64, tokens: u32, ended: bool) {
        let (gateway, number, _) = self.jobs[&job];
        let Some((index, _)) = self.requests.get(&(gateway, number)) else { return };
        let now = self.now;
        let outcome = &mut self.outcomes[*index];
        let is_first = outcome.first_ms.is_none();
        if is_first {
            outcome.first_ms = Some(now.since(outcome.sent_at).as_secs_f64() * 1e3);
            outcome.first_at = now;
        } else {
            let pause = now.since(outcome.last_event_at).as_secs_f64() * 1e3;
            outcome.longest_pause_ms = outcome.longest_pause_ms.max(pause);
            outcome.events += 1;
        }
        outcome.last_event_at = now;
        let (events, span) = (outcome.events, now.since(outcome.first_at));
        if is_first {
            self.feed(gateway, Event::FirstEvent { number });
        }
        if ended {
            self.requests.remove(&(gateway, number));
            self.jobs.remove(&job);
            if events > 0 && tokens > 1 {
                self.feed(gateway, Event::EventsReceived { number, events, span });
            }
            self.feed(gateway, Event::Ended { number, result: AttemptResult::Complete });
        }
    }

    /// Returns the part of the requests of a kind that were served in time.
    pub fn in_time(&self, kind: usize) -> f64 {
        let all = self.outcomes.iter().filter(|outcome| outcome.kind == kind);
        let (mut in_time, mut count) = (0, 0);
        for outcome in all {
            count += 1;
            in_time += u32::from(outcome.is_in_time());
        }
        f64::from(in_time) / f64::from(count.max(1))
    }

    /// Returns the part of all requests that were refused.
    pub fn refused(&self) -> f64 {
        let refused = self.outcomes.iter().filter(|outcome| outcome.is_refused).count();
        refused as f64 / self.outcomes.len().max(1) as f64
    }
}

fn zone(index: usize) -> bytes::Bytes {
    format!("zone-{index}").into()
}
