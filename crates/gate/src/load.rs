//! Work at one backend server and what it is learned to be capable of.

use std::time::Duration;

use wire::time::Instant;

use crate::message;

/// Time to the first event that does not depend on the prompt, in ms.
const FIRST_EVENT_BASE_MS: f64 = 20.0;
/// Prompt tokens read in a millisecond, before any was seen. In the order of what a current
/// accelerator reads of a mixture-of-experts model.
const INITIAL_PROMPT_TOKENS_PER_MS: f64 = 50.0;
/// Time between events of a stream, before any was seen, in ms.
const INITIAL_EVENT_MS: f64 = 25.0;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Weight of what a peer learned since its last message.
const PEER_WEIGHT: f64 = 0.2;
/// Bounds of one sample's ratio to the average, so that one stall does not condemn a backend server.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Smallest prompt whose first event tells the speed of reading.
const MIN_SAMPLE_TOKENS: u32 = 300;
/// Failures in a row after which a backend server is put aside.
const FAILURES_TO_EJECT: u32 = 4;
/// First time aside; each further one doubles it.
const BASE_EJECTION: Duration = Duration::from_millis(1000);
/// Longest time aside.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Load, speed and health of one backend server.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests of this gateway at the backend server.
    pub running: u32,
    /// Prompt tokens of this gateway's requests without a first event.
    pub pending: u32,
    /// Requests and pending tokens of other gateways.
    pub others: (u32, u32),
    /// Free places that this gateway may still take before it hears of the others again.
    free_slots: f64,
    speed: message::Speed,
    failures: u32,
    ejections: u32,
    ejected_until: Instant,
    /// The backend server refused as full; it gets nothing until then.
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
            free_slots: 0.0,
            speed: message::Speed {
                prompt_ms: (1.0 / INITIAL_PROMPT_TOKENS_PER_MS) as f32,
                event_ms: INITIAL_EVENT_MS as f32,
                samples: 0,
            },
            failures: 0,
            ejections: 0,
            ejected_until: Instant::default(),
            full_until: Instant::default(),
            unreachable: false,
        }
    }
}

impl Load {
    /// Returns the requests at the backend server from all gateways.
    pub fn total_running(&self) -> u32 {
        self.running + self.others.0
    }

    /// Returns the prompt tokens that are still to be read.
    pub fn backlog(&self) -> u32 {
        self.pending.saturating_add(self.others.1)
    }

    /// Notes what other gateways have at the backend server, each with the age of what it says. Where
    /// they have requests waiting too, free places are divided: each would take all of them
    /// otherwise. Prompts are taken to be read on since the message.
    pub fn record_peer_loads(
        &mut self,
        loads: &[(Duration, message::Load)],
        slots: u32,
        own_share: f64,
        random: &mut fastrand::Rng,
    ) {
        let running: u32 = loads.iter().map(|(_, load)| u32::from(load.running)).sum();
        let pending: f64 = loads.iter().map(|(_, load)| f64::from(load.pending)).sum();
        let ages: f64 = loads.iter().map(|(age, _)| age.as_secs_f64() * 1e3).sum();
        let read = ages / loads.len().max(1) as f64 / f64::from(self.speed.prompt_ms);
        self.others = (running, (pending - read).max(0.0) as u32);
        let free = f64::from(slots) - f64::from(self.total_running());
        self.free_slots = free;
        if free > 0.0 && own_share < 1.0 {
            let part = free * own_share;
            let up = random.f64() < part.fract();
            self.free_slots = part.floor() + if up { 1.0 } else { 0.0 };
        }
    }

    /// Takes a place and adds a prompt to read.
    pub fn add_request(&mut self, prompt_tokens: u32) {
        self.running += 1;
        self.free_slots -= 1.0;
        self.pending = self.pending.saturating_add(prompt_tokens);
    }

    /// Gives a place back; a prompt that was not read to its end is taken off.
    pub fn remove_request(&mut self, unread_tokens: u32) {
        self.running = self.running.saturating_sub(1);
        self.free_slots += 1.0;
        self.pending = self.pending.saturating_sub(unread_tokens);
    }

    /// Returns whether this gateway may take a place.
    pub fn has_free_slot(&self) -> bool {
        self.free_slots >= 1.0
    }

    /// Returns the learned speed.
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

    /// Returns the expected pause of the backend server's streams while it reads `tokens`, in ms.
    pub fn pause_ms(&self, tokens: u32) -> f64 {
        f64::from(self.speed.event_ms) + f64::from(tokens) * f64::from(self.speed.prompt_ms)
    }

    /// Learns from a first event that came `ms` after the dispatch, with `tokens` read until
    /// then.
    pub fn record_first_event(&mut self, ms: f64, tokens: u32) {
        if tokens >= MIN_SAMPLE_TOKENS {
            let sample = (ms - FIRST_EVENT_BASE_MS).max(0.0) / f64::from(tokens);
            self.speed.prompt_ms = blend(self.speed.prompt_ms, sample, SAMPLE_WEIGHT);
            self.speed.samples = self.speed.samples.saturating_add(1);
        }
    }

    /// Learns from a number of events that took `ms`.
    pub fn record_events(&mut self, ms: f64, events: u32) {
        if events > 0 {
            let sample = ms / f64::from(events);
            self.speed.event_ms = blend(self.speed.event_ms, sample, SAMPLE_WEIGHT);
            self.speed.samples = self.speed.samples.saturating_add(1);
        }
    }

    /// Learns from a peer that took samples since its last message.
    pub fn merge_peer_estimate(&mut self, peer: &message::Speed) {
        let weight = if self.speed.samples == 0 { 1.0 } else { PEER_WEIGHT };
        self.speed.prompt_ms = blend(self.speed.prompt_ms, f64::from(peer.prompt_ms), weight);
        self.speed.event_ms = blend(self.speed.event_ms, f64::from(peer.event_ms), weight);
    }

    /// Notes an answer that was whole.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Notes a failure and returns whether the backend server is put aside for it.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return false;
        }
        self.failures = 0;
        self.eject(now);
        true
    }

    /// Keeps the backend server out of use for a time that grows.
    pub fn eject(&mut self, now: Instant) {
        let ejection = BASE_EJECTION * 2u32.pow(self.ejections.min(3));
        self.ejections += 1;
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }

    /// Returns whether requests may be sent.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.unreachable && now >= self.ejected_until && now >= self.full_until
    }
}

fn blend(average: f32, sample: f64, weight: f64) -> f32 {
    let average = f64::from(average);
    let sample = sample.clamp(average / MAX_SAMPLE_RATIO, average * MAX_SAMPLE_RATIO);
    (average + (sample - average) * weight) as f32
}
