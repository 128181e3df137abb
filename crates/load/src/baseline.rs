//! Run of a baseline policy: each entry dispatches a call to an engine on arrival.
//!
//! The caller cancels and sends the call once more if no token has arrived at half of its
//! deadline, or at once if its engine crashed. At the deadline it cancels for good. A refused
//! connection costs one round trip, after which the entry picks another engine.

use std::{collections::HashMap, time::Duration};

use stand::run::{self, Run};
use wire::time::Instant;

use crate::{
    agenda::{self, Agenda},
    deployment::{CALLER_LATENCY, Deployment, SERVICE_US},
    engines::{self, Engines},
    ledger::{Answer, Ledger},
    policy::Policy,
    scenario::{Fault, Scenario},
    workload::{Call, Class},
};

/// Time after which entries leave out an engine that refused a connection.
const HEALTH_CHECK: Duration = Duration::from_secs(1);
/// Attempts of a call, the first one included.
const ATTEMPTS: u32 = 2;
/// Connections that an entry tries for one attempt.
const CONNECTS: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A call reaches its entry.
    Arrival(usize),
    /// An attempt reaches its engine.
    Submit {
        call: usize,
        engine: usize,
        connects: usize,
    },
    EngineTick(usize),
    Token {
        call: usize,
        last: bool,
    },
    /// Half of the deadline has passed.
    Half(usize),
    Deadline(usize),
    /// An attempt was lost with its engine.
    Lost(usize),
    Cancel {
        engine: usize,
        id: u64,
    },
    Fault(Fault),
    HealthCheck,
}

#[derive(Clone, Copy, Debug, Default)]
struct Attempt {
    count: u32,
    engine: usize,
    /// Job of the attempt in progress; 0 before its engine took it.
    id: u64,
    open: bool,
}

struct World<'a> {
    deployment: &'a Deployment,
    calls: &'a [Call],
    policy: Policy,
    now: Instant,
    rng: fastrand::Rng,
    agenda: Agenda<Event>,
    engines: Engines,
    attempts: Vec<Attempt>,
    jobs: HashMap<u64, usize>,
    next_job: u64,
    /// Next engine in turn of each entry.
    turns: Vec<usize>,
    /// Calls in progress of each entry at each engine.
    outstanding: Vec<Vec<u32>>,
    excluded: Vec<bool>,
    ledger: Ledger,
}

/// Runs all calls and returns what became of them and what the engines did.
pub(crate) fn run(
    deployment: &Deployment,
    scenario: &Scenario,
    calls: &[Call],
    policy: Policy,
    seed: u64,
) -> (Ledger, Vec<Run>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = deployment.speeds.len();
    let mut world = World {
        now: Instant::default(),
        agenda: Agenda::new(),
        engines: Engines::new(deployment),
        attempts: vec![Attempt::default(); calls.len()],
        jobs: HashMap::new(),
        next_job: 0,
        turns: (0..deployment.entries).map(|_| rng.usize(..count)).collect(),
        outstanding: vec![vec![0; count]; deployment.entries],
        excluded: vec![false; count],
        ledger: Ledger::new(calls.len()),
        rng,
        deployment,
        calls,
        policy,
    };
    for (index, call) in calls.iter().enumerate() {
        world.agenda.add(call.sent + CALLER_LATENCY, Event::Arrival(index));
    }
    if let Some((at, fault)) = scenario.fault {
        world.agenda.add(agenda::at(at), Event::Fault(fault));
    }
    let end = engines::end(scenario.span);
    while let Some((now, event)) = world.agenda.pop(end) {
        world.now = now;
        world.apply(event);
    }
    let engines = (0..count).map(|index| world.engines.get(index));
    let runs = engines.flat_map(|engine| engine.record().iter().cloned()).collect();
    (world.ledger, runs)
}

impl World<'_> {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrival(call) => self.arrive(call),
            Event::Submit { call, engine, connects } => self.submit(call, engine, connects),
            Event::EngineTick(engine) => self.engine_tick(engine),
            Event::Token { call, last } => self.token(call, last),
            Event::Half(call) => {
                let waits = self.ledger.entries[call].first_token.is_none();
                if waits && self.attempts[call].open && self.attempts[call].count < ATTEMPTS {
                    self.abandon(call);
                    self.attempt(call);
                }
            }
            Event::Deadline(call) => {
                if self.ledger.entries[call].answer.is_none() {
                    self.abandon(call);
                    self.ledger.answer(call, Answer::TimedOut);
                }
            }
            Event::Lost(call) => self.lost(call),
            Event::Cancel { engine, id } => {
                if self.jobs.remove(&id).is_some() {
                    self.engines.cancel(self.now, engine, id);
                }
            }
            Event::Fault(fault) => self.fault(fault),
            Event::HealthCheck => {
                for index in 0..self.excluded.len() {
                    self.excluded[index] = self.engines.is_dead(index);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let call = &self.calls[index];
        let deadline = call.class.deadline();
        if call.class == Class::Plain {
            let busy = Duration::from_micros(self.rng.u64(SERVICE_US.0..=SERVICE_US.1));
            let at = self.now + busy + self.deployment.latency * 2;
            self.agenda.add(at, Event::Token { call: index, last: true });
            return;
        }
        self.agenda.add(self.now + deadline / 2, Event::Half(index));
        self.agenda.add(self.now + deadline, Event::Deadline(index));
        self.attempt(index);
    }

    fn attempt(&mut self, call: usize) {
        self.attempts[call].count += 1;
        self.attempts[call].open = true;
        self.connect(call, 0);
    }

    fn connect(&mut self, call: usize, connects: usize) {
        let entry = self.calls[call].entry;
        let engine = self.choose(entry);
        self.attempts[call].engine = engine;
        self.attempts[call].id = 0;
        self.outstanding[entry][engine] += 1;
        let at = self.now + self.deployment.link(entry, engine);
        self.agenda.add(at, Event::Submit { call, engine, connects });
    }

    fn choose(&mut self, entry: usize) -> usize {
        let open: Vec<usize> = (0..self.excluded.len()).filter(|i| !self.excluded[*i]).collect();
        self.turns[entry] += 1;
        let turn = self.turns[entry];
        match self.policy {
            Policy::LeastOutstanding => {
                let counts = &self.outstanding[entry];
                let rotated = (0..open.len()).map(|i| open[(i + turn) % open.len()]);
                rotated.min_by_key(|index| counts[*index]).unwrap_or(0)
            }
            Policy::TwoChoices => {
                let mut draw = || open[self.rng.usize(..open.len())];
                let (a, b) = (draw(), draw());
                let load = |index: usize| {
                    let load = self.engines.get(index).load(self.now);
                    load.running + load.waiting
                };
                if load(b) < load(a) { b } else { a }
            }
            _ => open[turn % open.len()],
        }
    }

    fn submit(&mut self, call: usize, engine: usize, connects: usize) {
        if !self.attempts[call].open || self.attempts[call].engine != engine {
            return;
        }
        self.next_job += 1;
        let id = self.next_job;
        if self.engines.submit(self.now, engine, id, &self.calls[call]) {
            self.jobs.insert(id, call);
            self.attempts[call].id = id;
            self.schedule(engine);
            return;
        }
        self.agenda.add(self.now + HEALTH_CHECK, Event::HealthCheck);
        self.leave(call);
        if connects + 1 < CONNECTS {
            self.connect(call, connects + 1);
        }
    }

    fn schedule(&mut self, engine: usize) {
        if let Some(at) = self.engines.due(engine) {
            self.agenda.add(at, Event::EngineTick(engine));
        }
    }

    fn engine_tick(&mut self, engine: usize) {
        let mut out = Vec::new();
        self.engines.tick(self.now, engine, &mut out);
        for output in out {
            let Some(&call) = self.jobs.get(&output.id) else { continue };
            let entry = self.calls[call].entry;
            let at = self.now + self.deployment.link(entry, engine);
            let last = output.end == Some(run::End::Finished);
            self.agenda.add(at, Event::Token { call, last });
            if last {
                self.jobs.remove(&output.id);
            }
        }
        self.schedule(engine);
    }

    fn token(&mut self, call: usize, last: bool) {
        let plain = self.calls[call].class == Class::Plain;
        if !self.attempts[call].open && !plain {
            return;
        }
        self.ledger.token(call, self.now);
        if last {
            if !plain {
                self.leave(call);
                self.attempts[call].open = false;
            }
            self.ledger.answer(call, Answer::Whole(self.now + CALLER_LATENCY));
        }
    }

    /// Takes a call off the count of its engine.
    fn leave(&mut self, call: usize) {
        let entry = self.calls[call].entry;
        let count = &mut self.outstanding[entry][self.attempts[call].engine];
        *count = count.saturating_sub(1);
    }

    /// Cancels the attempt in progress.
    fn abandon(&mut self, call: usize) {
        let Attempt { engine, id, open, .. } = self.attempts[call];
        if !open {
            return;
        }
        self.leave(call);
        self.attempts[call].open = false;
        if id != 0 {
            let at = self.now + self.deployment.link(self.calls[call].entry, engine);
            self.agenda.add(at, Event::Cancel { engine, id });
        }
    }

    fn lost(&mut self, call: usize) {
        let Attempt { count, open, .. } = self.attempts[call];
        if open && count < ATTEMPTS && self.ledger.entries[call].first_token.is_none() {
            self.leave(call);
            self.attempt(call);
        }
    }

    fn fault(&mut self, fault: Fault) {
        for (engine, out) in self.engines.fault(self.now, fault) {
            for output in out {
                if let Some(call) = self.jobs.remove(&output.id) {
                    let at = self.now + self.deployment.link(self.calls[call].entry, engine);
                    self.agenda.add(at, Event::Lost(call));
                }
            }
        }
    }
}
