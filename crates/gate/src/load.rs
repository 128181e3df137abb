//! Work at one replica and what it is learned to be capable of.

use std::time::Duration;

use wire::time::Instant;

/// Time to the first event that does not depend on the prompt, before any was seen, in ms.
const FIRST_MS: f64 = 20.0;
/// Prompt tokens read in a millisecond, before any was seen. In the order of what a current
/// accelerator reads of a mixture-of-experts model.
const PROMPT_TOKENS_PER_MS: f64 = 50.0;
/// Time for one output token, before any was seen, in ms.
const OUTPUT_TOKEN_MS: f64 = 5.0;
/// Weight of a new sample in the moving averages.
const WEIGHT: f64 = 0.15;
/// Bounds of one sample's ratio to the average, so that one stall does not condemn a replica.
const MAX_RATIO: f64 = 4.0;
/// Failures in a row after which a replica is put aside.
const FAILURES: u32 = 4;
/// First time aside; each further one doubles it.
const BASE_ASIDE: Duration = Duration::from_millis(1000);
/// Longest time aside.
const MAX_ASIDE: Duration = Duration::from_secs(8);

/// Load, speed and health of one replica.
#[derive(Clone, Debug)]
pub struct Load {
    /// Calls of this gateway at the replica.
    pub running: u32,
    /// Prompt tokens of this gateway's calls without a first event.
    pub pending: u32,
    /// Calls and pending tokens of other gateways.
    pub others: (u32, u32),
    /// Milliseconds for a prompt token, learned.
    prompt_ms: f64,
    /// Milliseconds for an output token, learned.
    output_ms: f64,
    failures: u32,
    asides: u32,
    aside_until: Instant,
    /// The replica refused as full; it gets nothing until then.
    pub full_until: Instant,
    /// Connections fail; a probe has to succeed first.
    pub unreachable: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            running: 0,
            pending: 0,
            others: (0, 0),
            prompt_ms: 1.0 / PROMPT_TOKENS_PER_MS,
            output_ms: OUTPUT_TOKEN_MS,
            failures: 0,
            asides: 0,
            aside_until: Instant::default(),
            full_until: Instant::default(),
            unreachable: false,
        }
    }
}

impl Load {
    /// Returns the calls at the replica from all gateways.
    pub fn total(&self) -> u32 {
        self.running + self.others.0
    }

    /// Returns the expected time to the first event of a prompt, in ms.
    pub fn first_ms(&self, prompt_tokens: u32) -> f64 {
        let ahead = f64::from(self.pending) + f64::from(self.others.1);
        FIRST_MS + (ahead + f64::from(prompt_tokens)) * self.prompt_ms
    }

    /// Returns the expected time for the output after the first event, in ms.
    pub fn output_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.output_ms
    }

    /// Learns from a first event that came `ms` after the dispatch of a prompt, with `ahead`
    /// tokens read before it.
    pub fn learn_first(&mut self, ms: f64, tokens: u32) {
        if tokens < 200 {
            return;
        }
        let sample = (ms - FIRST_MS).max(0.0) / f64::from(tokens);
        self.prompt_ms = blend(self.prompt_ms, sample);
    }

    /// Learns from an output of `tokens` that took `ms`.
    pub fn learn_output(&mut self, ms: f64, tokens: u32) {
        if tokens > 0 {
            self.output_ms = blend(self.output_ms, ms / f64::from(tokens));
        }
    }

    /// Notes an answer that was whole.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.asides = 0;
    }

    /// Notes a failure and returns whether the replica is put aside for it.
    pub fn failed(&mut self, now: Instant) -> bool {
        self.failures += 1;
        if self.failures < FAILURES {
            return false;
        }
        self.failures = 0;
        self.put_aside(now);
        true
    }

    /// Keeps the replica out of use for a time that grows.
    pub fn put_aside(&mut self, now: Instant) {
        let aside = BASE_ASIDE * 2u32.pow(self.asides.min(3));
        self.asides += 1;
        self.aside_until = now + aside.min(MAX_ASIDE);
    }

    /// Returns whether calls may be sent.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.unreachable && now >= self.aside_until && now >= self.full_until
    }
}

fn blend(average: f64, sample: f64) -> f64 {
    let sample = sample.clamp(average / MAX_RATIO, average * MAX_RATIO);
    average + (sample - average) * WEIGHT
}
