//! Gateways before the servers of a plain service, each with slots and a queue that rejects what
//! does not fit, under requests that arrive at random, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use gate::{
    Action, Event,
    backends::Record,
    event::{AttemptResult, RequestNumber},
    message::Datagram,
    request::Request,
};
use wire::time::Instant;

use super::{PLAIN, TestGateway, catalog, request, setup};

pub const OBJECTIVE: Duration = Duration::from_millis(300);
pub const SLOTS: u32 = 6;
/// Requests that a server keeps beside those that it processes.
const QUEUE: usize = 24;
const WORK: Duration = Duration::from_millis(60);
/// Mean factor on the work where it varies.
const MEAN_VARIATION: f64 = 0.99 + 0.01 * 5.0;
const DEADLINE: Duration = Duration::from_secs(3);
/// One-way delay within an availability zone, and to another one.
const NEAR_DELAY: Duration = Duration::from_micros(250);
const FAR_DELAY: Duration = Duration::from_micros(700);
/// Time before the first request, in which gateways get to know each other.
const WARM_UP: Duration = Duration::from_secs(3);

/// Size of a deployment, its load and its faults.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub servers: usize,
    /// Requests a second as a share of what the servers can answer.
    pub load: f64,
    /// Whether the times of answers vary: by half, and one in a hundred is five times as long.
    pub varies: bool,
    /// Whether gateways receive no datagrams.
    pub is_cut_off: bool,
    pub seed: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub path: &'static str,
    pub sent_at: Instant,
    pub answered_ms: Option<f64>,
    pub refusals: u32,
    /// Time until the first refusal.
    pub refused_ms: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct Server {
    running: usize,
    waiting: VecDeque<Job>,
    /// Factor on the work.
    slowness: f64,
    is_down: bool,
}

/// Gateway, number and outcome of a request at a server.
type Job = (usize, RequestNumber);

#[derive(Debug)]
enum Step {
    Arrive,
    Return(usize),
    Confirm,
    Gateway(usize),
    Datagram(usize, Box<Datagram>),
    Submit(usize, Job),
    Finish(usize, Job),
    Event(usize, Box<Event>),
}

pub struct Deployment {
    size: Size,
    pub now: Instant,
    pub gateways: Vec<TestGateway>,
    servers: Vec<Server>,
    steps: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, Step>,
    next_step: u64,
    rng: fastrand::Rng,
    outcome_of: HashMap<Job, usize>,
    pub outcomes: Vec<Outcome>,
    pub rejections: u64,
    pub submissions: u64,
    pub datagrams: u64,
}

impl Deployment {
    pub fn new(size: Size) -> Deployment {
        let server = Server { slowness: 1.0, ..Server::default() };
        let mut deployment = Deployment {
            size,
            now: Instant(1_000_000),
            gateways: Vec::new(),
            servers: vec![server; size.servers],
            steps: BinaryHeap::new(),
            pending: HashMap::new(),
            next_step: 0,
            rng: fastrand::Rng::with_seed(size.seed),
            outcome_of: HashMap::new(),
            outcomes: Vec::new(),
            rejections: 0,
            submissions: 0,
            datagrams: 0,
        };
        for index in 0..size.gateways {
            let gateway = deployment.start_gateway(index);
            deployment.gateways.push(gateway);
            deployment.plan(Duration::ZERO, Step::Gateway(index));
        }
        deployment.plan(Duration::ZERO, Step::Confirm);
        deployment.plan(WARM_UP, Step::Arrive);
        deployment.run(WARM_UP);
        deployment
    }

    fn start_gateway(&self, index: usize) -> TestGateway {
        let mut setup = setup(index as u16 + 1, true);
        setup.availability_zone = zone(index);
        setup.seeds = (1..=3u16).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        setup.seed = self.size.seed + index as u64;
        let mut gateway = TestGateway::start(setup, self.now);
        let mut catalog = catalog(1, &["k1"], 0.0);
        for route in &mut catalog.routes {
            route.objective = OBJECTIVE;
            route.tier = u32::from(route.prefix != "/bid/");
        }
        gateway.feed(Event::Catalog(Rc::new(catalog)));
        for server in 0..self.size.servers {
            let record = super::record(PLAIN, 9_000 + server as u16);
            let record = Record { zone: zone(server), slots: SLOTS, ..record };
            gateway.add(&format!("r{server}"), record);
        }
        gateway.confirm();
        gateway
    }

    /// Makes the work at a server longer from now on.
    pub fn slow_down(&mut self, server: usize, factor: f64) {
        self.servers[server].slowness = factor;
    }

    /// Ends a server: what it has is lost, and it refuses connections.
    pub fn end_server(&mut self, server: usize) {
        self.servers[server].is_down = true;
    }

    pub fn set_load(&mut self, load: f64) {
        self.size.load = load;
    }

    fn plan(&mut self, delay: Duration, step: Step) {
        self.next_step += 1;
        self.pending.insert(self.next_step, step);
        self.steps.push(Reverse((self.now + delay, self.next_step)));
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.steps.peek().copied() {
            if at > end {
                break;
            }
            self.steps.pop();
            self.now = at;
            let step = self.pending.remove(&number).expect("a planned step");
            self.carry_out(step);
        }
        self.now = end;
    }

    fn carry_out(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Return(outcome) => self.send(outcome),
            Step::Confirm => {
                for index in 0..self.gateways.len() {
                    self.gateways[index].now = self.now;
                    self.gateways[index].confirm();
                    self.settle(index);
                }
                self.plan(Duration::from_secs(1), Step::Confirm);
            }
            Step::Gateway(index) => {
                let now = self.now;
                if self.gateways[index].machine.next_timer().is_some_and(|due| due <= now) {
                    self.feed(index, Event::Tick);
                }
            }
            Step::Datagram(to, datagram) => {
                self.gateways[to].now = self.now;
                self.gateways[to].feed_datagram(*datagram);
                self.settle(to);
            }
            Step::Submit(server, job) => self.submit(server, job),
            Step::Finish(server, job) => self.finish(server, job),
            Step::Event(gateway, event) => self.feed(gateway, *event),
        }
    }

    fn feed(&mut self, index: usize, event: Event) {
        self.gateways[index].now = self.now;
        if let Event::Ended { number, result: AttemptResult::Complete } = event
            && let Some(outcome) = self.outcome_of.get(&(index, number))
        {
            let outcome = &mut self.outcomes[*outcome];
            outcome.answered_ms = Some(self.now.since(outcome.sent_at).as_secs_f64() * 1e3);
        }
        self.gateways[index].feed(event);
        self.settle(index);
    }

    fn arrive(&mut self) {
        let rate = self.size.load * capacity_per_s(self.size.servers);
        let pause = -(1.0 - self.rng.f64()).ln() / rate;
        self.plan(Duration::from_secs_f64(pause), Step::Arrive);
        let path = if self.rng.f64() < 0.7 { "bid" } else { "status" };
        self.outcomes.push(Outcome { path, sent_at: self.now, ..Outcome::default() });
        self.send(self.outcomes.len() - 1);
    }

    fn send(&mut self, outcome: usize) {
        let sent = &self.outcomes[outcome];
        let request = Request {
            id: format!("c{outcome}").into(),
            deadline: Some(DEADLINE - self.now.since(sent.sent_at)),
            fingerprint: 1_000 + outcome as u64,
            ..request(sent.path)
        };
        let gateway = self.rng.usize(0..self.size.gateways);
        self.gateways[gateway].now = self.now;
        let number = self.gateways[gateway].arrive(request);
        self.outcome_of.insert((gateway, number), outcome);
        self.settle(gateway);
    }

    /// Carries out the actions of a gateway and plans its next timer.
    fn settle(&mut self, index: usize) {
        for action in std::mem::take(&mut self.gateways[index].actions) {
            match action {
                Action::Dispatch(dispatch) => {
                    let server = usize::from(dispatch.address.port()) - 9_000;
                    let job = (index, dispatch.number);
                    self.plan(delay(index, server), Step::Submit(server, job));
                }
                Action::Refuse { number, refusal } => {
                    let Some(outcome) = self.outcome_of.remove(&(index, number)) else { continue };
                    let left = DEADLINE - self.now.since(self.outcomes[outcome].sent_at);
                    self.outcomes[outcome].refusals += 1;
                    let waited_ms =
                        self.now.since(self.outcomes[outcome].sent_at).as_secs_f64() * 1e3;
                    self.outcomes[outcome].refused_ms.get_or_insert(waited_ms);
                    if let Some(after) = refusal.retry_after.filter(|after| *after <= left / 3)
                        && self.outcomes[outcome].refusals == 1
                    {
                        self.plan(after, Step::Return(outcome));
                    }
                }
                Action::Send { to, datagram } if !self.size.is_cut_off => {
                    let to = usize::from(to.port()) - 1;
                    self.datagrams += 1;
                    self.plan(delay(index, to), Step::Datagram(to, Box::new(datagram)));
                }
                _ => {}
            }
        }
        if let Some(due) = self.gateways[index].machine.next_timer() {
            // Timers are late by up to a millisecond.
            let wait = due.since(self.now).max(Duration::from_millis(1));
            self.plan(wait, Step::Gateway(index));
        }
    }

    fn submit(&mut self, server: usize, job: Job) {
        self.submissions += 1;
        let (gateway, number) = job;
        if self.servers[server].is_down {
            return self.reply(server, gateway, Event::Refused { number });
        }
        let is_full = self.servers[server].waiting.len() >= QUEUE;
        if self.servers[server].running < SLOTS as usize {
            self.begin(server, job);
        } else if is_full {
            self.rejections += 1;
            self.reply(server, gateway, Event::Rejected { number, retry_after: None });
        } else {
            self.servers[server].waiting.push_back(job);
        }
    }

    fn begin(&mut self, server: usize, job: Job) {
        let spread = if self.size.varies { 0.5 + self.rng.f64() } else { 1.0 };
        let outlier = if self.size.varies && self.rng.f64() < 0.01 { 5.0 } else { 1.0 };
        let mean = if self.size.varies { MEAN_VARIATION } else { 1.0 };
        self.servers[server].running += 1;
        let work = WORK.mul_f64(spread * outlier / mean * self.servers[server].slowness);
        self.plan(work, Step::Finish(server, job));
    }

    fn finish(&mut self, server: usize, (gateway, number): Job) {
        self.servers[server].running -= 1;
        let is_down = self.servers[server].is_down;
        let result = if is_down { AttemptResult::Broken } else { AttemptResult::Complete };
        self.reply(server, gateway, Event::Ended { number, result });
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.begin(server, next);
        }
    }

    fn reply(&mut self, server: usize, gateway: usize, event: Event) {
        self.plan(delay(server, gateway), Step::Event(gateway, Box::new(event)));
    }

    /// Returns the requests that were first sent after `since`, up to an objective ago.
    pub fn sent_since(&self, since: Instant) -> impl Iterator<Item = &Outcome> {
        let until = Instant(self.now.0 - OBJECTIVE.as_micros() as u64);
        self.outcomes.iter().filter(move |sent| sent.sent_at >= since && sent.sent_at < until)
    }
}

impl Outcome {
    pub fn is_in_time(&self) -> bool {
        self.answered_ms.is_some_and(|ms| ms <= OBJECTIVE.as_secs_f64() * 1e3)
    }
}

/// Requests a second that the servers can answer.
pub fn capacity_per_s(servers: usize) -> f64 {
    servers as f64 * f64::from(SLOTS) / WORK.as_secs_f64()
}

fn delay(from: usize, to: usize) -> Duration {
    if from % 3 == to % 3 { NEAR_DELAY } else { FAR_DELAY }
}

fn zone(index: usize) -> bytes::Bytes {
    format!("zone-{}", index % 3).into()
}
