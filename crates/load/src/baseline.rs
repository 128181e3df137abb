//! Runs of baseline policies, under which an entry dispatches each request on arrival.
//!
//! If no token has arrived, the caller sends the request a second time at half of its deadline,
//! after cancelling the first attempt, or as soon as the engine has crashed. At the deadline it
//! cancels the request without another attempt. A refused connection takes the one-way latency
//! to the engine, after which the entry chooses an engine again.

use std::{collections::HashMap, time::Duration};

use stand::run::{self, Run};
use wire::time::Instant;

use crate::{
    deployment::{CALLER_LATENCY, Deployment, SERVICE_TIME_US},
    engines::{self, Engines},
    event_queue::{self, EventQueue},
    policy::Policy,
    record::{Outcome, Record},
    scenario::{Fault, Scenario},
    workload::{Class, Request},
};

/// Time from a refused connection to the health check that excludes the engine.
const HEALTH_CHECK_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of attempts of a request, including the first.
const MAX_ATTEMPTS: u32 = 2;
/// Maximum number of connections that an entry tries for one attempt.
const MAX_CONNECTS: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request reaches its entry.
    Arrival(usize),
    /// An attempt reaches its engine.
    Submit {
        request: usize,
        engine: usize,
        failed_connects: usize,
    },
    /// The refusal of a connection reaches the entry.
    Refused {
        request: usize,
        engine: usize,
        failed_connects: usize,
    },
    EngineTick(usize),
    Token {
        request: usize,
        last: bool,
    },
    /// Half of the deadline has passed.
    HalfDeadline(usize),
    Deadline(usize),
    /// The engine of an attempt crashed.
    AttemptLost(usize),
    Cancel {
        engine: usize,
        job: u64,
    },
    Fault(Fault),
    HealthCheck,
}

#[derive(Clone, Copy, Debug, Default)]
struct Attempt {
    count: u32,
    engine: usize,
    /// Number of the job that runs the current attempt; 0 until its engine accepts it.
    job: u64,
    open: bool,
}

struct Simulation<'a> {
    deployment: &'a Deployment,
    requests: &'a [Request],
    policy: Policy,
    now: Instant,
    rng: fastrand::Rng,
    events: EventQueue<Event>,
    engines: Engines,
    attempts: Vec<Attempt>,
    jobs: HashMap<u64, usize>,
    next_job: u64,
    /// Position of each entry in its rotation over the engines.
    turns: Vec<usize>,
    /// Requests in flight of each entry at each engine.
    outstanding: Vec<Vec<u32>>,
    excluded: Vec<bool>,
    record: Record,
}

/// Runs all requests and returns their record and the runs of the engines.
pub(crate) fn run(
    deployment: &Deployment,
    scenario: &Scenario,
    requests: &[Request],
    policy: Policy,
    seed: u64,
) -> (Record, Vec<Run>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = deployment.speeds.len();
    let mut simulation = Simulation {
        now: Instant::default(),
        events: EventQueue::new(),
        engines: Engines::new(deployment),
        attempts: vec![Attempt::default(); requests.len()],
        jobs: HashMap::new(),
        next_job: 0,
        turns: (0..deployment.entries).map(|_| rng.usize(..count)).collect(),
        outstanding: vec![vec![0; count]; deployment.entries],
        excluded: vec![false; count],
        record: Record::new(requests.len()),
        rng,
        deployment,
        requests,
        policy,
    };
    for (index, request) in requests.iter().enumerate() {
        simulation.events.push(request.sent + CALLER_LATENCY, Event::Arrival(index));
    }
    if let Some((at, fault)) = scenario.fault {
        simulation.events.push(event_queue::instant(at), Event::Fault(fault));
    }
    let end = engines::run_end(scenario.span);
    while let Some((now, event)) = simulation.events.pop(end) {
        simulation.now = now;
        simulation.handle_event(event);
    }
    let engines = (0..count).map(|index| simulation.engines.get(index));
    let runs = engines.flat_map(|engine| engine.record().iter().cloned()).collect();
    (simulation.record, runs)
}

impl Simulation<'_> {
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.handle_arrival(request),
            Event::Submit { request, engine, failed_connects } => {
                self.submit(request, engine, failed_connects)
            }
            Event::Refused { request, engine, failed_connects } => {
                self.retry_refused(request, engine, failed_connects);
            }
            Event::EngineTick(engine) => self.tick_engine(engine),
            Event::Token { request, last } => self.handle_token(request, last),
            Event::HalfDeadline(request) => {
                let awaits_token = self.record.requests[request].first_token.is_none();
                if awaits_token
                    && self.attempts[request].open
                    && self.attempts[request].count < MAX_ATTEMPTS
                {
                    self.cancel_attempt(request);
                    self.start_attempt(request);
                }
            }
            Event::Deadline(request) => {
                if self.record.requests[request].outcome.is_none() {
                    self.cancel_attempt(request);
                    self.record.record_outcome(request, Outcome::TimedOut);
                }
            }
            Event::AttemptLost(request) => self.retry_lost_attempt(request),
            Event::Cancel { engine, job } => {
                if self.jobs.remove(&job).is_some() {
                    self.engines.cancel(self.now, engine, job);
                }
            }
            Event::Fault(fault) => self.inject_fault(fault),
            Event::HealthCheck => {
                for index in 0..self.excluded.len() {
                    self.excluded[index] = self.engines.has_failed(index);
                }
            }
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let request = &self.requests[index];
        let deadline = request.class.deadline();
        if request.class == Class::Plain {
            let service_time =
                Duration::from_micros(self.rng.u64(SERVICE_TIME_US.0..=SERVICE_TIME_US.1));
            let at = self.now + service_time + self.deployment.latency * 2;
            self.events.push(at, Event::Token { request: index, last: true });
            return;
        }
        self.events.push(self.now + deadline / 2, Event::HalfDeadline(index));
        self.events.push(self.now + deadline, Event::Deadline(index));
        self.start_attempt(index);
    }

    fn start_attempt(&mut self, request: usize) {
        self.attempts[request].count += 1;
        self.attempts[request].open = true;
        self.connect(request, 0);
    }

    fn connect(&mut self, request: usize, failed_connects: usize) {
        let entry = self.requests[request].entry;
        let engine = self.choose_engine(entry);
        self.attempts[request].engine = engine;
        self.attempts[request].job = 0;
        self.outstanding[entry][engine] += 1;
        let at = self.now + self.deployment.latency_between(entry, engine);
        self.events.push(at, Event::Submit { request, engine, failed_connects });
    }

    fn choose_engine(&mut self, entry: usize) -> usize {
        let candidates: Vec<usize> =
            (0..self.excluded.len()).filter(|i| !self.excluded[*i]).collect();
        self.turns[entry] += 1;
        let turn = self.turns[entry];
        match self.policy {
            Policy::LeastOutstanding => {
                let counts = &self.outstanding[entry];
                let rotated =
                    (0..candidates.len()).map(|i| candidates[(i + turn) % candidates.len()]);
                rotated.min_by_key(|index| counts[*index]).unwrap_or(0)
            }
            Policy::TwoChoices => {
                let mut draw = || candidates[self.rng.usize(..candidates.len())];
                let (a, b) = (draw(), draw());
                let load = |index: usize| {
                    let load = self.engines.get(index).load(self.now);
                    load.running + load.waiting
                };
                if load(b) < load(a) { b } else { a }
            }
            _ => candidates[turn % candidates.len()],
        }
    }

    fn submit(&mut self, request: usize, engine: usize, failed_connects: usize) {
        if !self.attempts[request].open || self.attempts[request].engine != engine {
            return;
        }
        self.next_job += 1;
        let job = self.next_job;
        if self.engines.submit(self.now, engine, job, &self.requests[request]) {
            self.jobs.insert(job, request);
            self.attempts[request].job = job;
            self.schedule_engine(engine);
            return;
        }
        let entry = self.requests[request].entry;
        let at = self.now + self.deployment.latency_between(entry, engine);
        let failed_connects = failed_connects + 1;
        self.events.push(at, Event::Refused { request, engine, failed_connects });
    }

    fn retry_refused(&mut self, request: usize, engine: usize, failed_connects: usize) {
        let Attempt { open, engine: current, .. } = self.attempts[request];
        if !open || current != engine {
            return;
        }
        self.events.push(self.now + HEALTH_CHECK_DELAY, Event::HealthCheck);
        self.release_engine(request);
        if failed_connects < MAX_CONNECTS {
            self.connect(request, failed_connects);
        }
    }

    fn schedule_engine(&mut self, engine: usize) {
        if let Some(at) = self.engines.next_tick(engine) {
            self.events.push(at, Event::EngineTick(engine));
        }
    }

    fn tick_engine(&mut self, engine: usize) {
        let mut out = Vec::new();
        self.engines.tick(self.now, engine, &mut out);
        for output in out {
            let Some(&request) = self.jobs.get(&output.id) else { continue };
            let entry = self.requests[request].entry;
            let at = self.now + self.deployment.latency_between(entry, engine);
            let last = output.end == Some(run::End::Finished);
            self.events.push(at, Event::Token { request, last });
            if last {
                self.jobs.remove(&output.id);
            }
        }
        self.schedule_engine(engine);
    }

    fn handle_token(&mut self, request: usize, last: bool) {
        let plain = self.requests[request].class == Class::Plain;
        if !self.attempts[request].open && !plain {
            return;
        }
        self.record.record_token(request, self.now);
        if last {
            if !plain {
                self.release_engine(request);
                self.attempts[request].open = false;
            }
            self.record.record_outcome(request, Outcome::Complete(self.now + CALLER_LATENCY));
        }
    }

    /// Subtracts a request from the requests in flight at its engine.
    fn release_engine(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        let count = &mut self.outstanding[entry][self.attempts[request].engine];
        *count = count.saturating_sub(1);
    }

    /// Cancels the current attempt, if it is open.
    fn cancel_attempt(&mut self, request: usize) {
        let Attempt { engine, job, open, .. } = self.attempts[request];
        if !open {
            return;
        }
        self.release_engine(request);
        self.attempts[request].open = false;
        if job != 0 {
            let at =
                self.now + self.deployment.latency_between(self.requests[request].entry, engine);
            self.events.push(at, Event::Cancel { engine, job });
        }
    }

    fn retry_lost_attempt(&mut self, request: usize) {
        let Attempt { count, open, .. } = self.attempts[request];
        if open && count < MAX_ATTEMPTS && self.record.requests[request].first_token.is_none() {
            self.release_engine(request);
            self.start_attempt(request);
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        for (engine, out) in self.engines.inject_fault(self.now, fault) {
            for output in out {
                if let Some(request) = self.jobs.remove(&output.id) {
                    let at = self.now
                        + self.deployment.latency_between(self.requests[request].entry, engine);
                    self.events.push(at, Event::AttemptLost(request));
                }
            }
        }
    }
}
