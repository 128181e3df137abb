//! Capacity limits of the backend server: an adaptive request count and a prompt token budget.

use std::time::Duration;

use conf::tree;
use wire::{request, time::Instant};

/// Congestion does not lower the count limit below this, so that one long and one short request can
/// always run together.
const MIN_COUNT_LIMIT: f64 = 2.0;
/// Factor applied to the count limit when the engine is slower than estimated.
const DECREASE_FACTOR: f64 = 0.9;
/// A first byte later than this multiple of the estimated time counts as congestion.
const CONGESTION_FACTOR: f64 = 2.0;
/// Latency of an engine that does not depend on the prompt, added to the estimated time.
const FIXED_LATENCY: Duration = Duration::from_millis(100);
/// Weight of one sample in the estimated prefill speed.
const SPEED_WEIGHT: f64 = 0.1;
/// Weight of one sample in the estimated time for each output token.
const OUTPUT_WEIGHT: f64 = 0.02;
/// Samples of fewer prompt tokens are ignored: they are dominated by the fixed latency.
const MIN_SAMPLE_TOKENS: u64 = 256;
/// The estimated prefill speed stays within this factor of the configured one.
const MAX_SPEED_RATIO: f64 = 64.0;

/// Estimated prefill time in the engine above which no request is added. An engine processes
/// prompts in order of arrival, so a request behind a long prefill waits in the engine, where no
/// other agent can serve it and no higher tier can pass it. Several engine steps of work stay in
/// the engine, since the next grant takes a round trip.
const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(100);

/// What one request counts against the limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    /// Prompt tokens of the request.
    pub(crate) tokens: u64,
    pub(crate) short: bool,
    /// Whether the prompt tokens still count against the prompt token budget.
    pub(crate) prefill: bool,
    /// Whether the request was dispatched.
    pub(crate) dispatched: bool,
}

/// Requests and prompt tokens of one size class.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    count: u32,
    tokens: u64,
}

/// The limits, their use, and the estimates behind them.
#[derive(Debug)]
pub(crate) struct Limit {
    short: Usage,
    long: Usage,
    /// Prompt tokens of dispatched requests whose response has not begun.
    dispatched_tokens: u64,
    max_count: u32,
    max_tokens: u64,
    short_tokens: u32,
    short_percent: u64,
    count_limit: f64,
    /// Tokens per second, from the settings.
    configured_prefill_speed: f64,
    /// Tokens per second, estimated.
    prefill_speed: f64,
    /// Estimated seconds for each output token that a request announces.
    seconds_per_token: f64,
    last_decrease: Instant,
    /// Whether the engine reports requests that it has not started.
    has_waiting_requests: bool,
}

impl Limit {
    pub(crate) fn new() -> Limit {
        Limit {
            short: Usage::default(),
            long: Usage::default(),
            dispatched_tokens: 0,
            max_count: 0,
            max_tokens: 0,
            short_tokens: 0,
            short_percent: 0,
            count_limit: 0.0,
            configured_prefill_speed: 0.0,
            prefill_speed: 1.0,
            seconds_per_token: 0.0,
            last_decrease: Instant::default(),
            has_waiting_requests: false,
        }
    }

    pub(crate) fn apply_settings(&mut self, pool: &tree::Pool) {
        let configured = f64::from(pool.prefill_tokens_per_s.max(1));
        if self.configured_prefill_speed != configured {
            self.configured_prefill_speed = configured;
            self.prefill_speed = configured;
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

    pub(crate) fn new_slot(&self, prompt_tokens: u32) -> Slot {
        let short = self.is_short(prompt_tokens);
        Slot { tokens: u64::from(prompt_tokens), short, prefill: true, dispatched: false }
    }

    fn effective_count_limit(&self) -> u32 {
        (self.count_limit as u32).clamp(1, self.max_count.max(1))
    }

    fn max_short_count(&self) -> u32 {
        (u64::from(self.effective_count_limit()) * self.short_percent / 100) as u32
    }

    fn max_short_tokens(&self) -> u64 {
        (u128::from(self.max_tokens) * u128::from(self.short_percent) / 100) as u64
    }

    /// Returns whether a request may be granted a slot. A prompt of any size fits into the token
    /// budget when no other request is in prefill, so none waits forever.
    ///
    /// `passing` is set for a short request that would be served before a long one that does not
    /// fit. It may use only the part reserved for short requests, so that the long one is not
    /// delayed.
    pub(crate) fn fits(&self, slot: Slot, passing: bool) -> bool {
        if self.used_slots() >= self.effective_count_limit() {
            return false;
        }
        let short_fits = self.short.tokens + slot.tokens <= self.max_short_tokens();
        if passing {
            return slot.short && short_fits && self.short.count < self.max_short_count();
        }
        if self.prefill_time(self.prefill_tokens()) > MAX_PREFILL_BACKLOG {
            return false;
        }
        let total_fits = self.prefill_tokens() + slot.tokens <= self.max_tokens;
        if slot.short {
            return total_fits || short_fits || self.prefill_tokens() == 0;
        }
        let max_long_count = (self.effective_count_limit() - self.max_short_count()).max(1);
        let max_long_tokens = self.max_tokens - self.max_short_tokens();
        let budget_fits = total_fits && self.long.tokens + slot.tokens <= max_long_tokens;
        let first_in_class = self.long.tokens == 0 && self.short.tokens <= self.max_short_tokens();
        self.long.count < max_long_count && (budget_fits || first_in_class)
    }

    fn usage_mut(&mut self, short: bool) -> &mut Usage {
        if short { &mut self.short } else { &mut self.long }
    }

    pub(crate) fn reserve(&mut self, slot: Slot) {
        let usage = self.usage_mut(slot.short);
        usage.count += 1;
        if slot.prefill {
            usage.tokens += slot.tokens;
        }
    }

    /// Removes the prompt tokens of a request from the budget.
    pub(crate) fn end_prefill(&mut self, slot: &mut Slot) {
        if slot.prefill {
            slot.prefill = false;
            self.usage_mut(slot.short).tokens -= slot.tokens;
            if slot.dispatched {
                self.dispatched_tokens -= slot.tokens;
            }
        }
    }

    /// Marks a request as dispatched and returns the prompt tokens in the engine, its own included.
    pub(crate) fn dispatch(&mut self, slot: &mut Slot) -> u64 {
        slot.dispatched = true;
        self.dispatched_tokens += slot.tokens;
        self.dispatched_tokens
    }

    pub(crate) fn release(&mut self, mut slot: Slot) {
        self.end_prefill(&mut slot);
        self.usage_mut(slot.short).count -= 1;
    }

    /// Returns the number of requests with a slot.
    pub(crate) fn used_slots(&self) -> u32 {
        self.short.count + self.long.count
    }

    /// Returns the prompt tokens counted against the budget.
    pub(crate) fn prefill_tokens(&self) -> u64 {
        self.short.tokens + self.long.tokens
    }

    /// Returns the estimated time to process prompt tokens.
    pub(crate) fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_speed)
    }

    /// Returns the estimated time from dispatch to the last byte in an engine without other
    /// prefill.
    pub(crate) fn response_time(&self, head: &request::Head) -> Duration {
        let output = f64::from(head.output_tokens) * self.seconds_per_token;
        self.prefill_time(u64::from(head.prompt_tokens)) + Duration::from_secs_f64(output)
    }

    /// Updates the estimated time for each output token from the time between first and last byte.
    /// Callers announce an upper bound of the output, so the sample is the time for each announced
    /// token, not for each one generated.
    pub(crate) fn record_output(&mut self, elapsed: Duration, output_tokens: u32) {
        if output_tokens > 0 {
            let sample = elapsed.as_secs_f64() / f64::from(output_tokens);
            self.seconds_per_token += OUTPUT_WEIGHT * (sample - self.seconds_per_token);
        }
    }

    pub(crate) fn prefill_speed(&self) -> f64 {
        self.prefill_speed
    }

    pub(crate) fn count_limit(&self) -> u32 {
        self.effective_count_limit()
    }

    /// Updates the count limit and the estimated prefill speed from the time between dispatch and
    /// first byte. `tokens_at_dispatch` are the prompt tokens in the engine at dispatch, those of
    /// the request included.
    pub(crate) fn record_first_byte(
        &mut self,
        now: Instant,
        elapsed: Duration,
        tokens_at_dispatch: u64,
    ) {
        let expected =
            self.prefill_time(tokens_at_dispatch).mul_f64(CONGESTION_FACTOR) + FIXED_LATENCY;
        if elapsed > expected {
            self.decrease(now, elapsed);
        } else if !self.has_waiting_requests
            && self.used_slots() + 1 >= self.effective_count_limit()
        {
            let raised = self.count_limit + 1.0 / self.count_limit.max(1.0);
            self.count_limit = raised.min(f64::from(self.max_count));
        }
        if tokens_at_dispatch >= MIN_SAMPLE_TOKENS {
            let sample = tokens_at_dispatch as f64 / elapsed.as_secs_f64().max(0.001);
            let sample = sample.clamp(
                self.configured_prefill_speed / MAX_SPEED_RATIO,
                self.configured_prefill_speed * MAX_SPEED_RATIO,
            );
            self.prefill_speed += SPEED_WEIGHT * (sample - self.prefill_speed);
        }
    }

    /// Lowers the count limit, at most once in `interval`: samples of requests that were dispatched
    /// before the last decrease don't show its effect.
    fn decrease(&mut self, now: Instant, interval: Duration) {
        if now.since(self.last_decrease) >= interval {
            self.last_decrease = now;
            let floor = MIN_COUNT_LIMIT.min(f64::from(self.max_count));
            self.count_limit = (self.count_limit * DECREASE_FACTOR).max(floor);
        }
    }

    /// Records whether the engine reports requests that it has not started.
    pub(crate) fn record_load(&mut self, waiting: u32) {
        self.has_waiting_requests = waiting > 0;
    }
}
