//! Generates the requests of a run from a seed.
//!
//! Each account and class has a random sequence of its own, so that a change to one of them does
//! not change the requests of the others.

use std::time::Duration;

use stand::{cache::Prompt, model};
use wire::time::Instant;

use crate::{deployment::Deployment, event_queue, scenario::Scenario};

/// Share of catalogue requests about a document of an earlier request.
const REPEAT_SHARE: f64 = 0.4;
/// Number of recent documents of an account that later requests may be about.
const RECENT_DOCUMENTS: usize = 8;
/// Number of plain requests per model request.
const PLAIN_RATIO: f64 = 0.2;
/// Number of requests of each class sampled to estimate the mean cost.
const COST_SAMPLE: usize = 20_000;
const COST_SEED: u64 = 1;

/// Class of a request. The first three are the tiers of model requests, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Class {
    /// Condition tags: short prompts and responses.
    Floor,
    /// Lot descriptions: prompts and responses of medium length.
    Desk,
    /// Provenance dossiers and mortgage files: long prompts, of which some share a prefix.
    Catalogue,
    /// Requests to a plain service.
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

    /// Returns the time within which a response must be complete.
    pub fn deadline(self) -> Duration {
        match self {
            Class::Floor | Class::Plain => Duration::from_secs(2),
            Class::Desk => Duration::from_secs(15),
            Class::Catalogue => Duration::from_secs(40),
        }
    }

    /// Returns the number of requests of this class per model request.
    fn ratio(self) -> f64 {
        match self {
            Class::Floor => 0.60,
            Class::Desk => 0.35,
            Class::Catalogue => 0.05,
            Class::Plain => PLAIN_RATIO,
        }
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time at which the caller sends it.
    pub sent: Instant,
    pub account: usize,
    pub class: Class,
    pub entry: usize,
    pub prompt: Prompt,
    pub output_tokens: u32,
}

/// Draws the prompts of one account and class.
struct PromptSource {
    rng: fastrand::Rng,
    class: Class,
    /// Prefix hash and length in tokens of recent documents.
    recent: Vec<(u64, u32)>,
}

impl PromptSource {
    fn new(seed: u64, account: usize, class: Class) -> PromptSource {
        let mixed =
            seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ ((account as u64) << 8) ^ class as u64;
        PromptSource { rng: fastrand::Rng::with_seed(mixed), class, recent: Vec::new() }
    }

    /// Draws a prompt and an output length.
    fn draw(&mut self) -> (Prompt, u32) {
        let full = self.rng.u64(1..);
        let fresh = |tokens| Prompt { tokens, prefix_tokens: 0, prefix: full, full };
        match self.class {
            Class::Floor => (fresh(self.rng.u32(40..=150)), self.rng.u32(6..=18)),
            Class::Desk => (fresh(self.rng.u32(300..=1_500)), self.rng.u32(60..=180)),
            Class::Catalogue => (self.draw_document(full), self.rng.u32(200..=400)),
            Class::Plain => (fresh(0), 0),
        }
    }

    fn draw_document(&mut self, full: u64) -> Prompt {
        let question = self.rng.u32(50..=200);
        let repeated = self.rng.f64() < REPEAT_SHARE && !self.recent.is_empty();
        let (prefix, prefix_tokens) = if repeated {
            self.recent[self.rng.usize(..self.recent.len())]
        } else {
            // Log-uniform, so that most documents are nearer to the lower bound.
            let tokens = 8_000.0 * 5_f64.powf(self.rng.f64());
            let document = (self.rng.u64(1..), tokens as u32);
            if self.recent.len() == RECENT_DOCUMENTS {
                self.recent.remove(0);
            }
            self.recent.push(document);
            document
        };
        Prompt { tokens: prefix_tokens + question, prefix_tokens, prefix, full }
    }
}

/// Returns the mean cost of a model request, in seconds of an engine of speed 1 with full batches
/// and perfect reuse of prefixes.
pub fn mean_cost() -> f64 {
    let settings = model::Settings::default();
    let batch = settings.max_batch as f64;
    let step = settings.step_base.as_secs_f64() / batch + settings.step_per_job.as_secs_f64();
    Class::MODEL
        .into_iter()
        .map(|class| {
            let mut source = PromptSource::new(COST_SEED, 0, class);
            let mut total = 0.0;
            for _ in 0..COST_SAMPLE {
                let cached_documents = source.recent.clone();
                let (prompt, output) = source.draw();
                let seen = cached_documents.iter().any(|&(prefix, _)| prefix == prompt.prefix);
                let cached = if seen { prompt.prefix_tokens } else { 0 };
                total += f64::from(prompt.tokens - cached) / settings.prefill_rate;
                total += f64::from(output) * step;
            }
            class.ratio() * total / COST_SAMPLE as f64
        })
        .sum()
}

/// Returns the number of model requests per second that the fleet can process.
pub fn capacity(deployment: &Deployment) -> f64 {
    deployment.speeds.iter().sum::<f64>() / mean_cost()
}

/// Generates all requests of a run, in order of time.
pub fn generate(deployment: &Deployment, scenario: &Scenario, seed: u64) -> Vec<Request> {
    let rate = capacity(deployment) * scenario.load;
    let total: u32 = deployment.accounts.iter().map(|(_, share)| share).sum();
    let mut requests = Vec::new();
    for (account, &(_, share)) in deployment.accounts.iter().enumerate() {
        for class in Class::ALL.into_iter().filter(|class| scenario.includes(*class)) {
            let base_rate = rate * class.ratio() * f64::from(share) / f64::from(total);
            let mut source = PromptSource::new(seed, account, class);
            draw_arrivals(deployment, scenario, account, base_rate, &mut source, &mut requests);
        }
    }
    requests.sort_by_key(|request| request.sent);
    requests
}

/// Generates the requests of one account and class by thinning a Poisson process whose rate is
/// the highest rate of the scenario.
fn draw_arrivals(
    deployment: &Deployment,
    scenario: &Scenario,
    account: usize,
    base_rate: f64,
    source: &mut PromptSource,
    requests: &mut Vec<Request>,
) {
    let class = source.class;
    let peak = scenario.peak_factor(account, class);
    let mut seconds = 0.0;
    loop {
        seconds -= (1.0 - source.rng.f64()).ln() / (base_rate * peak);
        if seconds >= scenario.span.as_secs_f64() {
            return;
        }
        let sent = event_queue::instant(Duration::from_secs_f64(seconds));
        if source.rng.f64() * peak > scenario.rate_factor(account, class, sent) {
            continue;
        }
        let entry = source.rng.usize(..deployment.entries);
        let (prompt, output_tokens) = source.draw();
        requests.push(Request { sent, account, class, entry, prompt, output_tokens });
    }
}
