//! The engines of a run and their timers.

use std::time::Duration;

use stand::model::{Engine, Job, Output};
use wire::time::Instant;

use crate::{agenda, deployment::Deployment, scenario::Fault, workload::Call};

/// Bound on the time that a host that died is down; longer than any run.
const DOWN: Duration = Duration::from_secs(100_000);

/// All engines.
#[derive(Debug)]
pub(crate) struct Engines {
    all: Vec<Engine>,
    /// Hosts that died.
    dead: Vec<bool>,
    /// The tick that is scheduled for each engine.
    ticks: Vec<Option<Instant>>,
}

impl Engines {
    pub(crate) fn new(deployment: &Deployment) -> Engines {
        let count = deployment.speeds.len();
        let engine = |index| Engine::new(deployment.engine(index), index as u64 * 1_000);
        Engines {
            all: (0..count).map(engine).collect(),
            dead: vec![false; count],
            ticks: vec![None; count],
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn get(&self, index: usize) -> &Engine {
        &self.all[index]
    }

    pub(crate) fn is_dead(&self, index: usize) -> bool {
        self.dead.get(index).copied().unwrap_or(false)
    }

    pub(crate) fn submit(&mut self, now: Instant, index: usize, id: u64, call: &Call) -> bool {
        let output_tokens = call.output_tokens;
        let job = Job { id, fingerprint: call.prompt.full, prompt: call.prompt, output_tokens };
        !self.dead[index] && self.all[index].submit(now, job)
    }

    pub(crate) fn cancel(&mut self, now: Instant, index: usize, id: u64) -> bool {
        self.all[index].cancel(now, id)
    }

    /// Returns the time of a tick that has to be scheduled.
    pub(crate) fn due(&mut self, index: usize) -> Option<Instant> {
        let due = self.all[index].next_timer()?;
        if self.ticks[index].is_some_and(|at| at <= due) {
            return None;
        }
        self.ticks[index] = Some(due);
        Some(due)
    }

    /// Advances an engine at its tick.
    pub(crate) fn tick(&mut self, now: Instant, index: usize, out: &mut Vec<Output>) {
        if self.ticks[index].is_some_and(|at| at <= now) {
            self.ticks[index] = None;
        }
        self.all[index].advance(now, out);
    }

    /// Applies a fault and returns the hosts that died with what their engines lost.
    pub(crate) fn fault(&mut self, now: Instant, fault: Fault) -> Vec<(usize, Vec<Output>)> {
        match fault {
            Fault::Straggler(factor) => {
                self.all[1].set_slowdown(factor);
                Vec::new()
            }
            Fault::Loss => (0..self.all.len())
                .filter(|index| index % 3 == index / 3 % 3)
                .map(|index| {
                    let mut out = Vec::new();
                    self.all[index].crash(now, &mut out);
                    self.all[index].freeze(now, DOWN);
                    self.dead[index] = true;
                    (index, out)
                })
                .collect(),
        }
    }
}

/// Time that a run may go on after the last call.
pub(crate) fn end(span: Duration) -> Instant {
    agenda::at(span + Duration::from_secs(90))
}
