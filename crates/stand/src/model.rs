//! Pure model of a model engine: continuous batching, chunked prefill, prefix cache.
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
    /// Time of a decode step apart from the part that grows with the batch.
    pub step_base: Duration,
    /// Time that each decoding job adds to a step.
    pub step_per_job: Duration,
    /// Speed relative to the figures above.
    pub speed: f64,
    /// Prompt tokens computed in one step at most.
    pub chunk_tokens: u32,
    pub max_batch: usize,
    pub block_tokens: u32,
    pub cache_blocks: usize,
    /// Age of the load reports.
    pub load_lag: Duration,
    /// Time from a crash until the next instance takes jobs.
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

#[derive(Debug)]
struct Active {
    job: Job,
    /// Index into the record.
    run: usize,
    /// Prompt tokens still to compute, without those of the step in progress.
    left: u32,
    /// Whether the step in progress generates a token for this job.
    decodes: bool,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    instance: u64,
    slow: f64,
    cache: Cache,
    waiting: VecDeque<Active>,
    running: Vec<Active>,
    /// End of the step in progress.
    step_end: Option<Instant>,
    /// No step starts and no job is taken before this time.
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
            slow: 1.0,
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

    /// Returns the number of the current run of the engine; each crash changes it.
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// Returns whether the engine takes jobs, as opposed to restarting after a crash.
    pub fn is_up(&self, now: Instant) -> bool {
        self.down_until <= now
    }

    /// Makes every step take `factor` times as long, from the next step on.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slow = factor.max(f64::MIN_POSITIVE);
    }

    /// Adds a fingerprint whose prefill crashes the engine.
    pub fn add_poison(&mut self, fingerprint: u64) {
        self.poison.insert(fingerprint);
    }

    /// Takes a job, whatever the load. Returns false if the engine is restarting.
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
        self.waiting.push_back(Active { job, run, left: 0, decodes: false });
        if self.step_end.is_none() {
            self.start_step(now);
        }
        self.note_load(now);
        true
    }

    /// Completes all steps that end by `now` and appends what they produced to `out`.
    pub fn advance(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some(end) = self.step_end.filter(|&end| end <= now) {
            self.step_end = None;
            if self.running.iter().any(|active| self.poison.contains(&active.job.fingerprint)) {
                self.crash(end, out);
                return;
            }
            self.finish_step(end, out);
            self.start_step(end);
            self.note_load(end);
        }
    }

    /// Returns when [`Engine::advance`] has something to do next.
    pub fn next_timer(&self) -> Option<Instant> {
        self.step_end
    }

    /// Ends a job. Returns false if it is not in progress.
    ///
    /// No output follows. Prompt tokens of the step in progress count as computed.
    pub fn cancel(&mut self, now: Instant, id: u64) -> bool {
        let active = if let Some(at) = self.running.iter().position(|a| a.job.id == id) {
            self.running.remove(at)
        } else if let Some(at) = self.waiting.iter().position(|a| a.job.id == id) {
            self.waiting.remove(at).expect("position is within the list")
        } else {
            return false;
        };
        self.end_run(active.run, now, End::Cancelled);
        self.note_load(now);
        true
    }

    /// Loses all jobs and the cache, and restarts as a new instance.
    pub fn crash(&mut self, now: Instant, out: &mut Vec<Output>) {
        let lost: Vec<Active> = self.running.drain(..).chain(self.waiting.drain(..)).collect();
        for active in lost {
            self.end_run(active.run, now, End::Crashed);
            let tokens = self.record[active.run].tokens;
            out.push(Output { id: active.job.id, at: now, tokens, end: Some(End::Crashed) });
        }
        self.cache.clear();
        self.step_end = None;
        self.frozen_until = Instant::default();
        self.down_until = now + self.settings.restart;
        self.instance = self.instance.wrapping_add(1);
        self.note_load(now);
    }

    /// Makes no progress for `span`; jobs are still taken.
    pub fn freeze(&mut self, now: Instant, span: Duration) {
        self.frozen_until = self.frozen_until.max(now + span);
        self.step_end = self.step_end.map(|end| end + span);
    }

    /// Returns the load as it was one `load_lag` ago.
    pub fn load(&self, now: Instant) -> Load {
        let seen = self.lagged(now);
        let after = self.loads.partition_point(|(at, _)| *at <= seen);
        after.checked_sub(1).map(|at| self.loads[at].1).unwrap_or_default()
    }

    /// Returns the record of all jobs in order of arrival, over all instances.
    pub fn record(&self) -> &[Run] {
        &self.record
    }

    fn lagged(&self, now: Instant) -> Instant {
        Instant(now.0.saturating_sub(self.settings.load_lag.as_micros() as u64))
    }

    fn note_load(&mut self, now: Instant) {
        let load = Load { running: self.running.len(), waiting: self.waiting.len() };
        if self.loads.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.loads.push_back((now, load));
        let seen = self.lagged(now);
        while self.loads.get(1).is_some_and(|(at, _)| *at <= seen) {
            self.loads.pop_front();
        }
    }

    fn end_run(&mut self, run: usize, now: Instant, end: End) {
        let run = &mut self.record[run];
        run.ended_at = Some(now);
        run.end = Some(end);
    }

    /// Fills the batch from the waiting list and plans one step: one token for each job
    /// past its prefill, and a shared chunk of prompt tokens, oldest job first.
    fn start_step(&mut self, now: Instant) {
        let now = now.max(self.frozen_until);
        self.fill_batch(now);
        if self.running.is_empty() {
            return;
        }
        let mut chunk = self.settings.chunk_tokens.max(1);
        let mut decoding = 0;
        for active in &mut self.running {
            if active.left == 0 {
                decoding += 1;
                active.decodes = true;
                continue;
            }
            let part = active.left.min(chunk);
            chunk -= part;
            active.left -= part;
            self.record[active.run].prefill_computed += part;
            // The step that completes the prefill generates the first token.
            active.decodes = active.left == 0;
        }
        let prefill = self.settings.chunk_tokens.max(1) - chunk;
        self.step_end = Some(now + self.step_time(decoding, prefill));
    }

    fn fill_batch(&mut self, now: Instant) {
        while self.running.len() < self.settings.max_batch.max(1) {
            let Some(mut active) = self.waiting.pop_front() else { return };
            let cached = self.cache.lookup(&active.job.prompt);
            let run = &mut self.record[active.run];
            run.prefill_start = Some(now);
            run.prefill_cached = cached;
            active.left = active.job.prompt.tokens.max(1) - cached;
            self.running.push(active);
        }
    }

    fn step_time(&self, decoding: u32, prefill: u32) -> Duration {
        let decode = match decoding {
            0 => Duration::ZERO,
            n => self.settings.step_base + self.settings.step_per_job * n,
        };
        let seconds = decode.as_secs_f64() + f64::from(prefill) / self.settings.prefill_rate;
        let scaled = seconds * self.slow / self.settings.speed;
        // Time has to pass in each step, or `advance` would not terminate.
        Duration::from_secs_f64(scaled).max(Duration::from_micros(1))
    }

    fn finish_step(&mut self, now: Instant, out: &mut Vec<Output>) {
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
            out.push(Output { id: active.job.id, at: now, tokens: run.tokens, end });
        }
        self.running.retain(|active| self.record[active.run].end.is_none());
    }
}
