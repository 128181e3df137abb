//! Calls of a run, drawn by seed.
//!
//! Each account and class has its own random sequence, so a change to one of them leaves the
//! calls of the others as they were.

use std::time::Duration;

use stand::{cache::Prompt, model};
use wire::time::Instant;

use crate::{agenda, deployment::Deployment, scenario::Scenario};

/// Part of catalogue calls that ask again about a dossier seen before.
const REPEATED: f64 = 0.4;
/// Dossiers of an account that are asked about again.
const RECENT: usize = 8;
/// Plain calls for each model call.
const PLAIN_RATIO: f64 = 0.2;
/// Calls sampled to estimate the cost of a mean call.
const COST_SAMPLE: usize = 20_000;
const COST_SEED: u64 = 1;

/// Kind of a call; the first three are the tiers of model calls, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Class {
    /// Condition tags.
    Floor,
    /// Lot descriptions.
    Desk,
    /// Provenance dossiers and mortgage files.
    Catalogue,
    /// Calls of a plain service.
    Plain,
}

impl Class {
    pub const ALL: [Class; 4] = [Class::Floor, Class::Desk, Class::Catalogue, Class::Plain];
    pub const MODEL: [Class; 3] = [Class::Floor, Class::Desk, Class::Catalogue];

    /// Returns the name of the class, which is the name of its tier.
    pub fn name(self) -> &'static str {
        match self {
            Class::Floor => "floor",
            Class::Desk => "desk",
            Class::Catalogue => "catalogue",
            Class::Plain => "plain",
        }
    }

    /// Returns the time from sending to the last byte that counts as in time.
    pub fn deadline(self) -> Duration {
        match self {
            Class::Floor | Class::Plain => Duration::from_secs(2),
            Class::Desk => Duration::from_secs(15),
            Class::Catalogue => Duration::from_secs(40),
        }
    }

    /// Returns the calls of this class for each model call.
    fn part(self) -> f64 {
        match self {
            Class::Floor => 0.60,
            Class::Desk => 0.35,
            Class::Catalogue => 0.05,
            Class::Plain => PLAIN_RATIO,
        }
    }
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// When the caller sends it.
    pub sent: Instant,
    pub account: usize,
    pub class: Class,
    pub entry: usize,
    pub prompt: Prompt,
    pub output_tokens: u32,
}

/// Draws the prompts of one account and class.
struct Source {
    rng: fastrand::Rng,
    class: Class,
    /// Prefix and length of recent dossiers.
    recent: Vec<(u64, u32)>,
}

impl Source {
    fn new(seed: u64, account: usize, class: Class) -> Source {
        let mixed =
            seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ ((account as u64) << 8) ^ class as u64;
        Source { rng: fastrand::Rng::with_seed(mixed), class, recent: Vec::new() }
    }

    /// Draws a prompt and an output length.
    fn draw(&mut self) -> (Prompt, u32) {
        let full = self.rng.u64(1..);
        let fresh = |tokens| Prompt { tokens, prefix_tokens: 0, prefix: full, full };
        match self.class {
            Class::Floor => (fresh(self.rng.u32(40..=150)), self.rng.u32(6..=18)),
            Class::Desk => (fresh(self.rng.u32(300..=1_500)), self.rng.u32(60..=180)),
            Class::Catalogue => (self.dossier(full), self.rng.u32(200..=400)),
            Class::Plain => (fresh(0), 0),
        }
    }

    fn dossier(&mut self, full: u64) -> Prompt {
        let question = self.rng.u32(50..=200);
        let repeated = self.rng.f64() < REPEATED && !self.recent.is_empty();
        let (prefix, prefix_tokens) = if repeated {
            self.recent[self.rng.usize(..self.recent.len())]
        } else {
            // Log-uniform, so that most dossiers are nearer to the lower bound.
            let tokens = 8_000.0 * 5_f64.powf(self.rng.f64());
            let dossier = (self.rng.u64(1..), tokens as u32);
            if self.recent.len() == RECENT {
                self.recent.remove(0);
            }
            self.recent.push(dossier);
            dossier
        };
        Prompt { tokens: prefix_tokens + question, prefix_tokens, prefix, full }
    }
}

/// Returns the seconds that a mean model call takes of an engine of speed 1 with full batches
/// and perfect reuse of prefixes.
pub fn mean_cost() -> f64 {
    let settings = model::Settings::default();
    let batch = settings.max_batch as f64;
    let step = settings.step_base.as_secs_f64() / batch + settings.step_per_job.as_secs_f64();
    Class::MODEL
        .into_iter()
        .map(|class| {
            let mut source = Source::new(COST_SEED, 0, class);
            let mut total = 0.0;
            for _ in 0..COST_SAMPLE {
                let known = source.recent.clone();
                let (prompt, output) = source.draw();
                let seen = known.iter().any(|&(prefix, _)| prefix == prompt.prefix);
                let cached = if seen { prompt.prefix_tokens } else { 0 };
                total += f64::from(prompt.tokens - cached) / settings.prefill_rate;
                total += f64::from(output) * step;
            }
            class.part() * total / COST_SAMPLE as f64
        })
        .sum()
}

/// Returns the model calls per second that the fleet can answer.
pub fn capacity(deployment: &Deployment) -> f64 {
    deployment.speeds.iter().sum::<f64>() / mean_cost()
}

/// Draws all calls of a run in order of time.
pub fn calls(deployment: &Deployment, scenario: &Scenario, seed: u64) -> Vec<Call> {
    let rate = capacity(deployment) * scenario.load;
    let total: u32 = deployment.accounts.iter().map(|(_, part)| part).sum();
    let mut calls = Vec::new();
    for (account, &(_, part)) in deployment.accounts.iter().enumerate() {
        for class in Class::ALL.into_iter().filter(|class| scenario.includes(*class)) {
            let base = rate * class.part() * f64::from(part) / f64::from(total);
            let mut source = Source::new(seed, account, class);
            arrivals(deployment, scenario, account, base, &mut source, &mut calls);
        }
    }
    calls.sort_by_key(|call| call.sent);
    calls
}

/// Draws the calls of one account and class by thinning a Poisson process of the highest rate.
fn arrivals(
    deployment: &Deployment,
    scenario: &Scenario,
    account: usize,
    base: f64,
    source: &mut Source,
    calls: &mut Vec<Call>,
) {
    let class = source.class;
    let peak = scenario.peak(account, class);
    let mut seconds = 0.0;
    loop {
        seconds -= (1.0 - source.rng.f64()).ln() / (base * peak);
        if seconds >= scenario.span.as_secs_f64() {
            return;
        }
        let sent = agenda::at(Duration::from_secs_f64(seconds));
        if source.rng.f64() * peak > scenario.factor(account, class, sent) {
            continue;
        }
        let entry = source.rng.usize(..deployment.entries);
        let (prompt, output_tokens) = source.draw();
        calls.push(Call { sent, account, class, entry, prompt, output_tokens });
    }
}
