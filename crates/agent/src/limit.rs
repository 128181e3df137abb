//! Limits of what the engine holds: a learned request count and a prompt token budget.

use std::time::Duration;

use conf::tree;
use wire::{request, time::Instant};

/// Smallest learned count limit; one long and one short request can always run together.
const MIN_LIMIT: f64 = 2.0;
/// Factor applied to the count limit when the engine is slower than expected.
const DECREASE: f64 = 0.9;
/// A first token later than this multiple of the expected time counts as congestion.
const TOLERANCE: f64 = 2.0;
/// Added to the expected time: fixed costs of an engine that do not depend on the prompt.
const FIXED_COST: Duration = Duration::from_millis(100);
/// Weight of one sample in the learned prefill speed.
const SPEED_WEIGHT: f64 = 0.1;
/// Weight of one sample in the learned time for an output token.
const OUTPUT_WEIGHT: f64 = 0.02;
/// Smaller prompts say more about fixed costs than about prefill speed.
const MIN_SAMPLE_TOKENS: u64 = 256;
/// The learned speed stays within this factor of the configured one.
const SPEED_RANGE: f64 = 64.0;

/// An engine computes prompts in order of arrival. What enters behind much prefill waits in
/// the engine, where no other agent can serve it and no higher tier can pass it.
/// Several engine steps are kept ahead, since the next grant takes a round trip.
const MAX_BACKLOG: Duration = Duration::from_millis(100);

/// The part of the limits that one request holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    pub(crate) tokens: u64,
    pub(crate) short: bool,
    /// Whether the prompt tokens are still counted.
    pub(crate) prefill: bool,
    /// Whether the request was sent to the engine.
    pub(crate) dispatched: bool,
}

/// Requests and prompt tokens of one class in the engine.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    count: u32,
    tokens: u64,
}

/// Engine limits and what is held against them.
#[derive(Debug)]
pub(crate) struct Limit {
    short: Load,
    long: Load,
    /// Prompt tokens sent to the engine and not answered yet.
    dispatched_tokens: u64,
    max_count: u32,
    max_tokens: u64,
    short_tokens: u32,
    short_percent: u64,
    count_limit: f64,
    configured_speed: f64,
    speed: f64,
    /// Learned seconds for each output token that a request estimates.
    token_seconds: f64,
    last_decrease: Instant,
    engine_waits: bool,
}

impl Limit {
    pub(crate) fn new() -> Limit {
        Limit {
            short: Load::default(),
            long: Load::default(),
            dispatched_tokens: 0,
            max_count: 0,
            max_tokens: 0,
            short_tokens: 0,
            short_percent: 0,
            count_limit: 0.0,
            configured_speed: 0.0,
            speed: 1.0,
            token_seconds: 0.0,
            last_decrease: Instant::default(),
            engine_waits: false,
        }
    }

    pub(crate) fn configure(&mut self, pool: &tree::Pool) {
        let configured = f64::from(pool.prefill_tokens_per_s.max(1));
        if self.configured_speed != configured {
            self.configured_speed = configured;
            self.speed = configured;
        }
        if self.max_count != pool.max_running {
            self.max_count = pool.max_running;
            self.count_limit = f64::from(pool.max_running);
        }
        self.max_tokens = pool.max_prompt_tokens;
        self.short_tokens = pool.short_tokens;
        self.short_percent = u64::from(pool.short_share_percent.min(100));
    }

    pub(crate) fn is_short(&self, prompt_tokens: u32) -> bool {
        prompt_tokens <= self.short_tokens
    }

    pub(crate) fn slot(&self, prompt_tokens: u32) -> Slot {
        let short = self.is_short(prompt_tokens);
        Slot { tokens: u64::from(prompt_tokens), short, prefill: true, dispatched: false }
    }

    fn count_cap(&self) -> u32 {
        (self.count_limit as u32).clamp(1, self.max_count.max(1))
    }

    fn short_count(&self) -> u32 {
        (u64::from(self.count_cap()) * self.short_percent / 100) as u32
    }

    fn short_budget(&self) -> u64 {
        self.max_tokens * self.short_percent / 100
    }

    /// Returns whether a request may enter. A request of any size fits once nothing of its
    /// class is in prefill, so no prompt waits for ever. With `passing` a short one may use
    /// only the part kept for short requests, so it takes nothing from whom it passes.
    pub(crate) fn fits(&self, slot: Slot, passing: bool) -> bool {
        if self.in_engine() >= self.count_cap() {
            return false;
        }
        let short_share_fits = self.short.tokens + slot.tokens <= self.short_budget();
        if passing {
            return slot.short && short_share_fits && self.short.count < self.short_count();
        }
        if self.prefill_time(self.prefilling()) > MAX_BACKLOG {
            return false;
        }
        let total_fits = self.prefilling() + slot.tokens <= self.max_tokens;
        if slot.short {
            return total_fits || short_share_fits || self.prefilling() == 0;
        }
        let long_count = (self.count_cap() - self.short_count()).max(1);
        let long_budget = self.max_tokens - self.short_budget();
        let budget_fits = total_fits && self.long.tokens + slot.tokens <= long_budget;
        let alone = self.long.tokens == 0 && self.short.tokens <= self.short_budget();
        self.long.count < long_count && (budget_fits || alone)
    }

    fn class(&mut self, short: bool) -> &mut Load {
        if short { &mut self.short } else { &mut self.long }
    }

    pub(crate) fn reserve(&mut self, slot: Slot) {
        let load = self.class(slot.short);
        load.count += 1;
        if slot.prefill {
            load.tokens += slot.tokens;
        }
    }

    /// Takes the prompt tokens of a request out of the budget.
    pub(crate) fn end_prefill(&mut self, slot: &mut Slot) {
        if slot.prefill {
            slot.prefill = false;
            self.class(slot.short).tokens -= slot.tokens;
            if slot.dispatched {
                self.dispatched_tokens -= slot.tokens;
            }
        }
    }

    /// Notes that a request is sent and returns the prompt tokens in the engine, its own
    /// included.
    pub(crate) fn dispatch(&mut self, slot: &mut Slot) -> u64 {
        slot.dispatched = true;
        self.dispatched_tokens += slot.tokens;
        self.dispatched_tokens
    }

    pub(crate) fn release(&mut self, mut slot: Slot) {
        self.end_prefill(&mut slot);
        self.class(slot.short).count -= 1;
    }

    /// Returns the number of requests that hold a slot.
    pub(crate) fn in_engine(&self) -> u32 {
        self.short.count + self.long.count
    }

    /// Returns the prompt tokens counted against the budget.
    pub(crate) fn prefilling(&self) -> u64 {
        self.short.tokens + self.long.tokens
    }

    /// Returns the time to process prompt tokens at the learned speed.
    pub(crate) fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.speed)
    }

    /// Returns the time from dispatch to the last byte in an engine without other prefill.
    pub(crate) fn response_time(&self, head: &request::Head) -> Duration {
        let output = f64::from(head.output_tokens) * self.token_seconds;
        self.prefill_time(u64::from(head.prompt_tokens)) + Duration::from_secs_f64(output)
    }

    /// Learns from the time between first and last byte. Callers estimate output by an upper
    /// bound, so the time for each estimated token is learned, not that for each real one.
    pub(crate) fn learn_output(&mut self, elapsed: Duration, output_tokens: u32) {
        if output_tokens > 0 {
            let sample = elapsed.as_secs_f64() / f64::from(output_tokens);
            self.token_seconds += OUTPUT_WEIGHT * (sample - self.token_seconds);
        }
    }

    pub(crate) fn speed(&self) -> f64 {
        self.speed
    }

    pub(crate) fn count_limit(&self) -> u32 {
        self.count_cap()
    }

    /// Learns from the time between dispatch and first byte. `ahead` is the prompt tokens in
    /// the engine at dispatch, those of the request included.
    pub(crate) fn learn(&mut self, now: Instant, elapsed: Duration, ahead: u64) {
        let expected = self.prefill_time(ahead).mul_f64(TOLERANCE) + FIXED_COST;
        if elapsed > expected {
            self.decrease(now, elapsed);
        } else if !self.engine_waits && self.in_engine() + 1 >= self.count_cap() {
            let raised = self.count_limit + 1.0 / self.count_limit.max(1.0);
            self.count_limit = raised.min(f64::from(self.max_count));
        }
        if ahead >= MIN_SAMPLE_TOKENS {
            let sample = ahead as f64 / elapsed.as_secs_f64().max(0.001);
            let sample = sample
                .clamp(self.configured_speed / SPEED_RANGE, self.configured_speed * SPEED_RANGE);
            self.speed += SPEED_WEIGHT * (sample - self.speed);
        }
    }

    /// Lowers the count limit, at most once in `interval`: requests that entered before the
    /// last decrease say nothing about its effect.
    fn decrease(&mut self, now: Instant, interval: Duration) {
        if now.since(self.last_decrease) >= interval {
            self.last_decrease = now;
            let floor = MIN_LIMIT.min(f64::from(self.max_count));
            self.count_limit = (self.count_limit * DECREASE).max(floor);
        }
    }

    /// Notes whether the engine reports requests it has not started.
    pub(crate) fn observe_load(&mut self, waiting: u32) {
        self.engine_waits = waiting > 0;
    }
}
