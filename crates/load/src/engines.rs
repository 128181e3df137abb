//! The engines of a run and their timers.

use std::time::Duration;

use stand::model::{Engine, Job, Output};
use wire::time::Instant;

use crate::{deployment::Deployment, event_queue, scenario::Fault, workload::Request};

/// Time for which a failed host is down; longer than any run.
const FAILURE_TIME: Duration = Duration::from_secs(100_000);

/// All engines.
#[derive(Debug)]
pub(crate) struct Engines {
    engines: Vec<Engine>,
    /// Whether the host of each engine has failed.
    failed: Vec<bool>,
    /// Time of the tick that is scheduled for each engine.
    ticks: Vec<Option<Instant>>,
}

impl Engines {
    pub(crate) fn new(deployment: &Deployment) -> Engines {
        let count = deployment.speeds.len();
        let engine = |index| Engine::new(deployment.engine_settings(index), index as u64 * 1_000);
        Engines {
            engines: (0..count).map(engine).collect(),
            failed: vec![false; count],
            ticks: vec![None; count],
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.engines.len()
    }

    pub(crate) fn get(&self, index: usize) -> &Engine {
        &self.engines[index]
    }

    pub(crate) fn has_failed(&self, index: usize) -> bool {
        self.failed.get(index).copied().unwrap_or(false)
    }

    pub(crate) fn submit(
        &mut self,
        now: Instant,
        index: usize,
        id: u64,
        request: &Request,
    ) -> bool {
        let output_tokens = request.output_tokens;
        let job =
            Job { id, fingerprint: request.prompt.full, prompt: request.prompt, output_tokens };
        !self.failed[index] && self.engines[index].submit(now, job)
    }

    pub(crate) fn cancel(&mut self, now: Instant, index: usize, id: u64) -> bool {
        self.engines[index].cancel(now, id)
    }

    /// Returns the time of the next tick of an engine, if it has to be scheduled.
    pub(crate) fn next_tick(&mut self, index: usize) -> Option<Instant> {
        let due = self.engines[index].next_timer()?;
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
        self.engines[index].advance(now, out);
    }

    /// Injects a fault. Returns the hosts that failed, each with the crashed jobs of its engine.
    pub(crate) fn inject_fault(&mut self, now: Instant, fault: Fault) -> Vec<(usize, Vec<Output>)> {
        match fault {
            Fault::Straggler(factor) => {
                self.engines[1].set_slowdown(factor);
                Vec::new()
            }
            Fault::Loss => (0..self.engines.len())
                .filter(|index| index % 3 == index / 3 % 3)
                .map(|index| {
                    let mut out = Vec::new();
                    self.engines[index].crash(now, &mut out);
                    self.engines[index].freeze(now, FAILURE_TIME);
                    self.failed[index] = true;
                    (index, out)
                })
                .collect(),
        }
    }
}

/// Returns the end of a run: 90 s after `span`, the time within which all requests are sent.
pub(crate) fn run_end(span: Duration) -> Instant {
    event_queue::instant(span + Duration::from_secs(90))
}
