//! Plans: sequences of requests and faults, and how they are run.

use std::time::Duration;

use bytes::Bytes;
use wire::time::Instant;

use crate::{
    fault::{self, Fault},
    scenario,
    simulation::Simulation,
};

/// Time between probes of the engines.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Time after the last repair within which every caller must have its response.
const COMPLETION_LIMIT: Duration = Duration::from_secs(120);

/// An operation of a plan. Indices beyond the number of entries, agents or keys wrap around.
#[derive(Clone, Debug)]
pub enum Op {
    /// Sends `count` model requests at once.
    Request {
        entry: usize,
        tier: usize,
        count: u64,
    },
    /// Requests an idempotency key.
    Key {
        entry: usize,
    },
    /// Sends the bid of one of the keys received so far; repeats it if it was sent before.
    Bid {
        entry: usize,
        key: usize,
    },
    /// Sends the poison request; repeats it if it was sent before.
    Poison {
        entry: usize,
    },
    /// Closes a caller's connection.
    Disconnect {
        caller: u64,
    },
    Fault {
        fault: Fault,
        entry: usize,
        agent: usize,
        duration: Duration,
    },
}

/// A sequence of operations, each with the delay before it, and the system that they run on.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub entries: usize,
    pub agents: usize,
    pub max_queued: u32,
    pub max_open: u32,
    pub ops: Vec<(Duration, Op)>,
}

/// Runs a plan.
pub struct Runner {
    pub simulation: Simulation,
    repairs: Vec<(Instant, Fault, usize, usize)>,
    next_caller: u64,
    next_probe: Instant,
    keys: Vec<Bytes>,
    key_requests: Vec<u64>,
}

impl Plan {
    /// Runs the plan to completion and returns its runner.
    pub fn run(&self) -> Runner {
        let tree = scenario::tree(self.max_queued, self.max_open);
        let simulation =
            Simulation::new(self.seed, tree, scenario::POOL, self.entries, self.agents);
        let mut runner = Runner::new(simulation);
        for (gap, op) in &self.ops {
            runner.advance(*gap);
            runner.apply(op, self);
        }
        runner.run_to_completion();
        runner
    }
}

impl Runner {
    /// Returns a runner for a simulation.
    pub fn new(simulation: Simulation) -> Runner {
        let next_probe = simulation.now;
        Runner {
            simulation,
            repairs: Vec::new(),
            next_caller: 1,
            next_probe,
            keys: Vec::new(),
            key_requests: Vec::new(),
        }
    }

    /// Advances time by `span`, with the probes and repairs that are due.
    pub fn advance(&mut self, span: Duration) {
        let end = self.simulation.now + span;
        while self.step(end) {}
    }

    /// Handles the next event that is due by `end`. Returns whether there was one.
    pub fn step(&mut self, end: Instant) -> bool {
        let repair = self.repairs.iter().map(|repair| repair.0).min();
        let stop = end.min(self.next_probe).min(repair.unwrap_or(end));
        if self.simulation.step(stop) {
            return true;
        }
        self.simulation.now = self.simulation.now.max(stop);
        if self.next_probe <= self.simulation.now {
            self.next_probe = self.simulation.now + PROBE_PERIOD;
            self.simulation.probe();
            return true;
        }
        let due = self.repairs.iter().position(|repair| repair.0 <= self.simulation.now);
        if let Some(index) = due {
            let (_, fault, entry, agent) = self.repairs.remove(index);
            fault.repair(&mut self.simulation, entry, agent);
            return true;
        }
        false
    }

    /// Injects a fault and schedules its repair.
    pub fn inject(&mut self, fault: Fault, entry: usize, agent: usize, duration: Duration) {
        fault.inject(&mut self.simulation, entry, agent);
        self.repairs.push((self.simulation.now + duration, fault, entry, agent));
    }

    /// Sends a model request and returns the caller's number.
    pub fn send_request(&mut self, entry: usize, tier: usize) -> u64 {
        let caller = self.allocate_caller();
        let account = ["casa", "museo", "banco"][caller as usize % 3];
        let tier = scenario::TIERS[tier];
        let (request, body) = scenario::model_request(caller, tier, account, "lot");
        self.simulation.send_request(entry, request, body);
        caller
    }

    /// Sends the bid of a key and returns the caller's number.
    pub fn send_bid(&mut self, entry: usize, key: &Bytes) -> u64 {
        let caller = self.allocate_caller();
        let (request, body) = scenario::bid_request(caller, key);
        self.simulation.send_request(entry, request, body);
        caller
    }

    /// Requests a key from an entry and returns the number under which it will be recorded.
    pub fn request_key(&mut self, entry: usize) -> u64 {
        let caller = self.allocate_caller();
        self.simulation.request_key(entry, caller, Bytes::from_static(scenario::BIDS.as_bytes()));
        self.key_requests.push(caller);
        caller
    }

    /// Repairs all faults and runs until every request has its response.
    pub fn run_to_completion(&mut self) {
        let latest = self.repairs.iter().map(|repair| repair.0).max();
        if let Some(latest) = latest {
            self.advance(latest.since(self.simulation.now) + Duration::from_micros(1));
        }
        let end = self.simulation.now + COMPLETION_LIMIT;
        while !self.simulation.all_requests_finished() && self.step(end) {}
        // Late messages must not cause further responses.
        self.advance(Duration::from_secs(1));
    }

    fn allocate_caller(&mut self) -> u64 {
        self.next_caller += 1;
        self.next_caller
    }

    fn apply(&mut self, op: &Op, plan: &Plan) {
        match op {
            Op::Request { entry, tier, count } => {
                for _ in 0..*count {
                    self.send_request(entry % plan.entries, *tier);
                }
            }
            Op::Key { entry } => {
                self.request_key(entry % plan.entries);
            }
            Op::Bid { entry, key } => {
                self.collect_keys();
                if !self.keys.is_empty() {
                    let key = self.keys[key % self.keys.len()].clone();
                    self.send_bid(entry % plan.entries, &key);
                }
            }
            Op::Poison { entry } => {
                fault::send_poison(&mut self.simulation, entry % plan.entries);
            }
            Op::Disconnect { caller } => self.simulation.disconnect_caller(*caller),
            Op::Fault { fault, entry, agent, duration } => {
                self.inject(*fault, entry % plan.entries, agent % plan.agents, *duration);
            }
        }
    }

    fn collect_keys(&mut self) {
        for caller in std::mem::take(&mut self.key_requests) {
            match self.simulation.record.keys.get(&caller) {
                Some(Ok(key)) => self.keys.push(key.to_string().into()),
                Some(Err(_)) => {}
                None => self.key_requests.push(caller),
            }
        }
    }
}
