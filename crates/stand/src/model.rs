//! Model of an engine with continuous batching, chunked prefill and a prefix cache.
//!
//! The model does no I/O and reads no clock. Callers pass `now`, which never decreases,
//! and call [`Engine::advance`] before any other call with a later `now`.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use wire::time::Instant;

use crate::{
    cache::{Cache, Prompt},
    run::{End, Run},
};

/// Size and speed of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Prompt tokens computed per second at speed 1.
    pub prefill_rate: f64,
    /// Time of a decode step without the time that each decoding job adds.
    pub step_base: Duration,
    /// Time that each decoding job adds to a step.
    pub step_per_job: Duration,
    /// Speed relative to the figures above.
    pub speed: f64,
    /// Largest number of prompt tokens computed in one step.
    pub chunk_tokens: u32,
    pub max_batch: usize,
    pub block_tokens: u32,
    pub cache_blocks: usize,
    /// Age of the load that [`Engine::load`] returns.
    pub load_lag: Duration,
    /// Time from a crash until the next instance accepts jobs.
    pub restart: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            prefill_rate: 20_000.0,
            step_base: Duration::from_millis(10),
            step_per_job: Duration::from_micros(200),
            speed: 1.0,
            chunk_tokens: 512,
            max_batch: 64,
            block_tokens: 64,
            cache_blocks: 4096,
            load_lag: Duration::from_millis(500),
            restart: Duration::from_secs(2),
        }
    }
}

/// One request to the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Chosen by the submitter, unique among the jobs in progress.
    pub id: u64,
    pub fingerprint: u64,
    pub prompt: Prompt,
    /// Tokens to generate; at least one is generated.
    pub output_tokens: u32,
}

/// Progress of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Output {
    pub id: u64,
    pub at: Instant,
    /// Tokens generated so far.
    pub tokens: u32,
    /// Set on the last output of a job.
    pub end: Option<End>,
}

/// Load as the engine reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Load {
    pub running: usize,
    pub waiting: usize,
}

/// A waiting or running job.
#[derive(Debug)]
struct Active {
    job: Job,
    /// Index of the job's run in the record.
    run: usize,
    /// Prompt tokens still to compute, not counting those of the step in progress.
    remaining_prompt_tokens: u32,
    /// Whether the step in progress generates a token for this job.
    decodes: bool,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    instance: u64,
    slowdown: f64,
    cache: Cache,
    waiting: VecDeque<Active>,
    running: Vec<Active>,
    /// End of the step in progress.
    step_end: Option<Instant>,
    /// Time before which no step starts and no job is accepted.
    down_until: Instant,
    frozen_until: Instant,
    poison: HashSet<u64>,
    loads: VecDeque<(Instant, Load)>,
    record: Vec<Run>,
}

impl Engine {
    /// Returns an idle engine with an empty cache.
    pub fn new(settings: Settings, instance: u64) -> Engine {
        Engine {
            cache: Cache::new(settings.block_tokens, settings.cache_blocks),
            settings,
            instance,
            slowdown: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            step_end: None,
            down_until: Instant::default(),
            frozen_until: Instant::default(),
            poison: HashSet::new(),
            loads: VecDeque::new(),
            record: Vec::new(),
        }
    }

    /// Returns the instance number; each crash changes it.
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// Returns whether the engine accepts jobs, that is, whether it is not restarting after a
    /// crash.
    pub fn is_up(&self, now: Instant) -> bool {
        self.down_until <= now
    }

    /// Makes every step from the next one on take `factor` times as long.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(f64::MIN_POSITIVE);
    }

    /// Adds a fingerprint whose prefill crashes the engine.
    pub fn add_poison(&mut self, fingerprint: u64) {
        self.poison.insert(fingerprint);
    }

    /// Accepts a job at any load. Returns false if the engine is restarting.
    pub fn submit(&mut self, now: Instant, job: Job) -> bool {
        if !self.is_up(now) {
            return false;
        }
        self.record.push(Run {
            id: job.id,
            fingerprint: job.fingerprint,
            instance: self.instance,
            prompt_tokens: job.prompt.tokens,
            arrival: now,
            prefill_start: None,
            first_token: None,
            tokens: 0,
            ended_at: None,
            prefill_computed: 0,
            prefill_cached: 0,
            end: None,
        });
        let run = self.record.len() - 1;
        self.waiting.push_back(Active { job, run, remaining_prompt_tokens: 0, decodes: false });
        if self.step_end.is_none() {
            self.start_step(now);
        }
        self.record_load(now);
        true
    }

    /// Completes all steps that end by `now` and appends what they produced to `outputs`.
    pub fn advance(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        while let Some(end) = self.step_end.filter(|&end| end <= now) {
            self.step_end = None;
            if self.running.iter().any(|active| self.poison.contains(&active.job.fingerprint)) {
                self.crash(end, outputs);
                return;
            }
            self.finish_step(end, outputs);
            self.start_step(end);
            self.record_load(end);
        }
    }

    /// Returns the time at which [`Engine::advance`] next completes a step.
    pub fn next_timer(&self) -> Option<Instant> {
        self.step_end
    }

    /// Cancels a job. Returns false if it is not in progress.
    ///
    /// The job has no further output. Its prompt tokens in the current step count as computed.
    pub fn cancel(&mut self, now: Instant, id: u64) -> bool {
        let active = if let Some(index) = self.running.iter().position(|a| a.job.id == id) {
            self.running.remove(index)
        } else if let Some(index) = self.waiting.iter().position(|a| a.job.id == id) {
            self.waiting.remove(index).expect("position is within the list")
        } else {
            return false;
        };
        self.end_run(active.run, now, End::Cancelled);
        self.record_load(now);
        true
    }

    /// Drops all jobs and the cache, and restarts as a new instance.
    pub fn crash(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let dropped: Vec<Active> = self.running.drain(..).chain(self.waiting.drain(..)).collect();
        for active in dropped {
            self.end_run(active.run, now, End::Crashed);
            let tokens = self.record[active.run].tokens;
            outputs.push(Output { id: active.job.id, at: now, tokens, end: Some(End::Crashed) });
        }
        self.cache.clear();
        self.step_end = None;
        self.frozen_until = Instant::default();
        self.down_until = now + self.settings.restart;
        self.instance = self.instance.wrapping_add(1);
        self.record_load(now);
    }

    /// Stops progress for `duration`; jobs are still accepted.
    pub fn freeze(&mut self, now: Instant, duration: Duration) {
        let until = self.frozen_until.max(now + duration);
        let extension = until.since(self.frozen_until.max(now));
        self.frozen_until = until;
        self.step_end = self.step_end.map(|end| end + extension);
    }

    /// Returns the load as it was `load_lag` before `now`.
    pub fn load(&self, now: Instant) -> Load {
        let reported_at = self.report_time(now);
        let after = self.loads.partition_point(|(at, _)| *at <= reported_at);
        after.checked_sub(1).map(|index| self.loads[index].1).unwrap_or_default()
    }

    /// Returns the record of all jobs in order of arrival, over all instances.
    pub fn record(&self) -> &[Run] {
        &self.record
    }

    fn report_time(&self, now: Instant) -> Instant {
        Instant(now.0.saturating_sub(self.settings.load_lag.as_micros() as u64))
    }

    fn record_load(&mut self, now: Instant) {
        let load = Load { running: self.running.len(), waiting: self.waiting.len() };
        if self.loads.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.loads.push_back((now, load));
        let reported_at = self.report_time(now);
        while self.loads.get(1).is_some_and(|(at, _)| *at <= reported_at) {
            self.loads.pop_front();
        }
    }

    fn end_run(&mut self, run: usize, now: Instant, end: End) {
        let run = &mut self.record[run];
        run.ended_at = Some(now);
        run.end = Some(end);
    }

    /// Fills the batch with waiting jobs and starts a step: one token for each job that has
    /// finished its prefill, and one chunk of prompt tokens for the others, oldest job first.
    fn start_step(&mut self, now: Instant) {
        let now = now.max(self.frozen_until);
        self.fill_batch(now);
        if self.running.is_empty() {
            return;
        }
        let mut chunk_left = self.settings.chunk_tokens.max(1);
        let mut decoding = 0;
        for active in &mut self.running {
            if active.remaining_prompt_tokens == 0 {
                decoding += 1;
                active.decodes = true;
                continue;
            }
            let computed = active.remaining_prompt_tokens.min(chunk_left);
            chunk_left -= computed;
            active.remaining_prompt_tokens -= computed;
            self.record[active.run].prefill_computed += computed;
            // The step that completes the prefill generates the first token.
            active.decodes = active.remaining_prompt_tokens == 0;
        }
        let prefill = self.settings.chunk_tokens.max(1) - chunk_left;
        self.step_end = Some(now + self.step_time(decoding, prefill));
    }

    fn fill_batch(&mut self, now: Instant) {
        while self.running.len() < self.settings.max_batch.max(1) {
            let Some(mut active) = self.waiting.pop_front() else { return };
            let cached = self.cache.lookup(&active.job.prompt);
            let run = &mut self.record[active.run];
            run.prefill_start = Some(now);
            run.prefill_cached = cached;
            active.remaining_prompt_tokens = active.job.prompt.tokens.max(1) - cached;
            self.running.push(active);
        }
    }

    fn step_time(&self, decoding: u32, prefill: u32) -> Duration {
        let decode = match decoding {
            0 => Duration::ZERO,
            n => self.settings.step_base + self.settings.step_per_job * n,
        };
        let seconds = decode.as_secs_f64() + f64::from(prefill) / self.settings.prefill_rate;
        let scaled = seconds * self.slowdown / self.settings.speed;
        // A step of zero length would make `advance` loop forever.
        Duration::from_secs_f64(scaled).max(Duration::from_micros(1))
    }

    fn finish_step(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for active in self.running.iter().filter(|active| active.decodes) {
            let run = &mut self.record[active.run];
            run.tokens += 1;
            if run.first_token.is_none() {
                run.first_token = Some(now);
                self.cache.insert(&active.job.prompt);
            }
            let done = run.tokens >= active.job.output_tokens;
            if done {
                run.ended_at = Some(now);
                run.end = Some(End::Finished);
            }
            let end = done.then_some(End::Finished);
            outputs.push(Output { id: active.job.id, at: now, tokens: run.tokens, end });
        }
        self.running.retain(|active| self.record[active.run].end.is_none());
    }
}
