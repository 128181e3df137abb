//! Load, estimated speed and health of one backend server.

use std::time::Duration;

use wire::time::Instant;

use crate::{message, plain_load::PlainLoad, statement::Stated};

/// Part of the time to the first event that does not depend on the prompt.
const FIRST_EVENT_BASE_MS: f64 = 20.0;
/// Estimate of the prompt tokens processed per millisecond before the first sample. A current
/// accelerator with a mixture-of-experts model has a speed of this order.
const INITIAL_PROMPT_TOKENS_PER_MS: f64 = 50.0;
/// Estimate of the time between events of a stream before the first sample.
const INITIAL_EVENT_MS: f64 = 25.0;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Weight of a peer's estimate with new samples, if this gateway has samples of its own.
const PEER_WEIGHT: f64 = 0.2;
/// Largest ratio between a sample and the average. Samples beyond it are clamped, so that a single
/// stall doesn't dominate the estimate.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Smallest prompt whose first event is a sample of the prefill speed.
const MIN_SAMPLE_TOKENS: u32 = 300;
/// Time for which a backend server counts as slow after a hedge was faster. After it, a server that
/// still is slow gets a request that shows it.
const SLOW_TIME: Duration = Duration::from_secs(2);
/// Slots of a far backend server that are left for requests whose reports are on the way.
const UNSEEN_REQUESTS: f64 = 1.0;
/// Time for which free slots are left to the gateways with the most urgent requests: two messages
/// between nearby gateways and their delay.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(60);
/// Consecutive failures after which a backend server is ejected.
const FAILURES_TO_EJECT: u32 = 4;
/// Probability below which failures in a row don't come from the service's usual share of failures.
/// At 100 answers a second, it is reached once in some three hours.
const MAX_CHANCE: f64 = 1e-6;
/// Largest share of failures that counts as usual. Beyond it, hardly any number of them in a row
/// would be unusual.
const MAX_USUAL_FAILURES: f64 = 0.99;
/// Number of answers after which their part in the share of failures has fallen to 1/e.
const FAILURE_MEMORY: f64 = 100.0;
/// Duration of the first ejection; each further one doubles it.
const BASE_EJECTION: Duration = Duration::from_millis(1000);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Load, speed and health of one backend server.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests of this gateway in flight at the backend server.
    pub running: u32,
    /// Prompt tokens of this gateway's requests without a first event.
    pub pending: u32,
    /// Requests and pending prompt tokens of other gateways.
    pub others: (u32, u32),
    /// Whether the load of other gateways is received late, since the backend server is in another
    /// availability zone of a large deployment.
    pub is_far: bool,
    /// Slots that this gateway may still use before it receives the next reports of the others.
    free_slots: f64,
    /// Time since which there have been free slots.
    free_since: Option<Instant>,
    /// Random number from 0 to 1 below which a fraction of a slot is one for this gateway.
    division: f64,
    speed: message::Speed,
    /// Estimates for a server of a plain service.
    pub plain: PlainLoad,
    failures: u32,
    /// Share of failures among the answers to this gateway.
    failure_share: FailureShare,
    ejections: u32,
    ejected_until: Instant,
    /// The backend server refused a request as overloaded and gets none until this time.
    pub full_until: Instant,
    /// What the backend server stated of itself.
    pub stated: Stated,
    /// Time at which the first request after a pause was sent, while it is in flight.
    trial: Option<Instant>,
    /// Time until which the backend server counts as slow, since a hedge was faster than its attempt.
    slow_until: Instant,
    /// Connections fail; no requests are sent until a probe succeeds.
    pub unreachable: bool,
    /// The backend server is in an evacuated zone and gets no requests.
    pub is_evacuated: bool,
}

/// Share of failures among answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureShare {
    answers: f64,
    failures: f64,
}

impl FailureShare {
    fn record(&mut self, is_failure: bool) {
        let kept = 1.0 - 1.0 / FAILURE_MEMORY;
        self.answers = self.answers * kept + 1.0;
        self.failures = self.failures * kept + if is_failure { 1.0 } else { 0.0 };
    }

    /// Returns the share in all answers together, 0 without answers.
    pub fn of_all<'a>(shares: impl Iterator<Item = &'a FailureShare>) -> f64 {
        let sum = |(answers, failures), share: &FailureShare| {
            (answers + share.answers, failures + share.failures)
        };
        let (answers, failures) = shares.fold((0.0, 0.0), sum);
        if answers > 0.0 { failures / answers } else { 0.0 }
    }
}

impl Default for Load {
    fn default() -> Load {
        Load {
            running: 0,
            pending: 0,
            others: (0, 0),
            is_far: false,
            free_slots: 0.0,
            free_since: None,
            division: 0.0,
            speed: message::Speed {
                prompt_ms: (1.0 / INITIAL_PROMPT_TOKENS_PER_MS) as f32,
                event_ms: INITIAL_EVENT_MS as f32,
                samples: 0,
            },
            plain: PlainLoad::default(),
            failures: 0,
            failure_share: FailureShare::default(),
            ejections: 0,
            ejected_until: Instant::default(),
            full_until: Instant::default(),
            stated: Stated::default(),
            trial: None,
            slow_until: Instant::default(),
            unreachable: false,
            is_evacuated: false,
        }
    }
}

impl Load {
    /// Returns the number of requests in flight from all gateways.
    pub fn total_running(&self) -> u32 {
        self.running + self.others.0
    }

    /// Returns the prompt tokens that are not processed yet, from all gateways.
    pub fn backlog(&self) -> u32 {
        self.pending.saturating_add(self.others.1)
    }

    /// Records the load reports of other gateways, each with its age. Prefill is assumed to have
    /// continued since the reports. All free slots are this gateway's until `take_share` or
    /// `set_free_slots` is called.
    pub fn record_peer_loads(
        &mut self,
        now: Instant,
        loads: &[(Duration, message::Load)],
        slots: u32,
        is_far: bool,
    ) {
        let running: u32 = loads.iter().map(|(_, load)| u32::from(load.running)).sum();
        let pending: f64 = loads.iter().map(|(_, load)| f64::from(load.pending)).sum();
        let ages: f64 = loads.iter().map(|(age, _)| age.as_secs_f64() * 1e3).sum();
        let processed = ages / loads.len().max(1) as f64 / f64::from(self.speed.prompt_ms);
        self.others = (running, (pending - processed).max(0.0) as u32);
        self.is_far = is_far;
        let free = f64::from(slots) - f64::from(self.total_running());
        self.free_slots = if is_far { free - UNSEEN_REQUESTS } else { free };
        let since = self.free_since.unwrap_or(now);
        self.free_since = (self.free_slots >= 1.0).then_some(since);
    }

    /// Returns the free slots as this gateway knows them.
    pub fn free(&self) -> u32 {
        self.free_slots.max(0.0) as u32
    }

    /// Returns whether free slots are left to the gateways with the most urgent requests. They have
    /// some time to use them, since not every request may run at every backend server.
    pub fn is_claimed(&self, now: Instant) -> bool {
        self.free_since.is_none_or(|since| now.since(since) < CLAIM_TIMEOUT)
    }

    /// Sets the free slots that this gateway may use.
    pub fn set_free_slots(&mut self, slots: u32) {
        self.free_slots = f64::from(slots);
    }

    /// Reduces the free slots to a share of them. If requests wait at other gateways too, each
    /// gateway would use all of them otherwise.
    pub fn take_share(&mut self, own_share: f64) {
        let free = self.free_slots;
        if free > 0.0 && own_share < 1.0 {
            let part = free * own_share;
            let rounds_up = self.division < part.fract();
            self.free_slots = part.floor() + if rounds_up { 1.0 } else { 0.0 };
        }
    }

    /// Assigns the fractions of a slot anew to the gateways whose requests wait for it.
    pub fn divide_anew(&mut self, rng: &mut fastrand::Rng) {
        self.division = rng.f64();
    }

    /// Takes a slot and adds the tokens of the prompt to the pending ones.
    pub fn add_request(&mut self, prompt_tokens: u32) {
        self.running += 1;
        self.free_slots -= 1.0;
        self.pending = self.pending.saturating_add(prompt_tokens);
    }

    /// Releases a slot and removes the prompt tokens that were not processed.
    pub fn remove_request(&mut self, unprocessed_tokens: u32) {
        self.running = self.running.saturating_sub(1);
        self.free_slots += 1.0;
        self.pending = self.pending.saturating_sub(unprocessed_tokens);
    }

    /// Leaves a slot unused until the free slots are divided anew.
    pub fn withhold_slot(&mut self) {
        self.free_slots -= 1.0;
    }

    /// Returns whether this gateway may use a slot.
    pub fn has_free_slot(&self) -> bool {
        self.free_slots >= 1.0
    }

    /// Returns the estimated speed.
    pub fn speed_estimate(&self) -> message::Speed {
        self.speed
    }

    /// Returns the expected time to the first event of a prompt behind `backlog` tokens, in ms.
    pub fn first_event_ms(&self, backlog: u32, prompt_tokens: u32) -> f64 {
        let tokens = f64::from(backlog) + f64::from(prompt_tokens);
        FIRST_EVENT_BASE_MS + tokens * f64::from(self.speed.prompt_ms)
    }

    /// Returns the expected time for a number of events, in ms.
    pub fn events_ms(&self, events: f64) -> f64 {
        events * f64::from(self.speed.event_ms)
    }

    /// Returns the expected time between events of a stream while the backend server processes
    /// `tokens` of a prompt, in ms.
    pub fn pause_ms(&self, tokens: u32) -> f64 {
        f64::from(self.speed.event_ms) + f64::from(tokens) * f64::from(self.speed.prompt_ms)
    }

    /// Updates the prefill estimate from a first event `ms` after the dispatch, with `tokens`
    /// processed until then.
    pub fn record_first_event(&mut self, ms: f64, tokens: u32) {
        if tokens >= MIN_SAMPLE_TOKENS {
            let sample = (ms - FIRST_EVENT_BASE_MS).max(0.0) / f64::from(tokens);
            self.speed.prompt_ms = blend(self.speed.prompt_ms, sample, SAMPLE_WEIGHT);
            self.speed.samples = self.speed.samples.saturating_add(1);
        }
    }

    /// Updates the event estimate from `events` that took `ms`.
    pub fn record_events(&mut self, ms: f64, events: u32) {
        if events > 0 {
            let sample = ms / f64::from(events);
            self.speed.event_ms = blend(self.speed.event_ms, sample, SAMPLE_WEIGHT);
            self.speed.samples = self.speed.samples.saturating_add(1);
        }
    }

    /// Updates the estimates from a peer that has new samples.
    pub fn merge_peer_estimate(&mut self, peer: &message::Speed) {
        let weight = if self.speed.samples == 0 { 1.0 } else { PEER_WEIGHT };
        self.speed.prompt_ms = blend(self.speed.prompt_ms, f64::from(peer.prompt_ms), weight);
        self.speed.event_ms = blend(self.speed.event_ms, f64::from(peer.event_ms), weight);
    }

    /// Records that an attempt with `tokens` ahead of its first event was cancelled after `ms`, since
    /// a hedge was faster. Its slot is free again, which must not draw further requests there.
    pub fn record_lost_race(&mut self, now: Instant, ms: f64, tokens: u32) {
        self.slow_until = now + SLOW_TIME;
        if ms > self.first_event_ms(0, tokens) {
            self.record_first_event(ms, tokens);
        }
    }

    /// Returns whether a hedge was faster than the backend server lately.
    pub fn is_slow(&self, now: Instant) -> bool {
        now < self.slow_until
    }

    /// Records a complete response.
    pub fn record_success(&mut self) {
        self.failure_share.record(false);
        self.failures = 0;
        self.ejections = 0;
    }

    /// Returns the share of failures among the answers to this gateway.
    pub fn failure_share(&self) -> &FailureShare {
        &self.failure_share
    }

    /// Records a failure and returns whether the backend server is ejected for it.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.count_failure(now, FAILURES_TO_EJECT)
    }

    /// Records a failure that the backend server answered, and returns whether it is ejected for it.
    /// `usual` is the share of failures in the answers of the service's other servers. It is ejected
    /// if the service as a whole hardly ever fails as often in a row.
    pub fn record_failure_response(&mut self, now: Instant, usual: f64) -> bool {
        self.failure_share.record(true);
        let usual = usual.clamp(0.0, MAX_USUAL_FAILURES);
        let usual_in_a_row = MAX_CHANCE.ln() / usual.ln();
        self.count_failure(now, FAILURES_TO_EJECT.max(usual_in_a_row.ceil() as u32))
    }

    fn count_failure(&mut self, now: Instant, most: u32) -> bool {
        self.failures += 1;
        if self.failures < most {
            return false;
        }
        self.failures = 0;
        self.eject(now);
        true
    }

    /// Ejects the backend server: it gets no requests for a time that doubles with each further
    /// ejection, up to a limit.
    pub fn eject(&mut self, now: Instant) {
        let ejection = BASE_EJECTION * 2u32.pow(self.ejections.min(3));
        self.ejections += 1;
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }

    /// Returns whether requests may be sent to the backend server.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.unreachable
            && !self.is_evacuated
            && now >= self.ejected_until
            && now >= self.full_until
            && self.stated.is_open(now)
            && self.trial.is_none()
    }

    /// Records that a request is sent. The first one after a pause is sent alone.
    pub fn begin_trial(&mut self, now: Instant) {
        self.trial = self.stated.paused_until.map(|_| now);
    }

    /// Records that a request which was sent at `dispatched_at` was answered or has ended.
    pub fn end_trial(&mut self, dispatched_at: Instant, is_answered: bool) {
        self.trial.take_if(|sent_at| *sent_at == dispatched_at);
        if is_answered && self.stated.paused_until.is_some_and(|until| dispatched_at >= until) {
            self.stated.paused_until = None;
        }
    }
}

fn blend(average: f32, sample: f64, weight: f64) -> f32 {
    let average = f64::from(average);
    let sample = sample.clamp(average / MAX_SAMPLE_RATIO, average * MAX_SAMPLE_RATIO);
    (average + (sample - average) * weight) as f32
}
