//! Work at one backend server and what it is learned to be capable of.

use std::time::Duration;

use wire::time::Instant;

use crate::message;

/// Time to the first event that does not depend on the prompt, in ms.
const FIRST_MS: f64 = 20.0;
/// Prompt tokens read in a millisecond, before any was seen. In the order of what a current
/// accelerator reads of a mixture-of-experts model.
const PROMPT_TOKENS_PER_MS: f64 = 50.0;
/// Time between events of a stream, before any was seen, in ms.
const EVENT_MS: f64 = 25.0;
/// Weight of a new sample in the moving averages.
const WEIGHT: f64 = 0.25;
/// Weight of what a peer learned since its last message.
const PEER_WEIGHT: f64 = 0.2;
/// Bounds of one sample's ratio to the average, so that one stall does not condemn a backend server.
const MAX_RATIO: f64 = 4.0;
/// Smallest prompt whose first event tells the speed of reading.
const MIN_TOKENS: u32 = 300;
/// Failures in a row after which a backend server is put aside.
const FAILURES: u32 = 4;
/// First time aside; each further one doubles it.
const BASE_ASIDE: Duration = Duration::from_millis(1000);
/// Longest time aside.
const MAX_ASIDE: Duration = Duration::from_secs(8);

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
    room: f64,
    speed: message::Speed,
    failures: u32,
    asides: u32,
    aside_until: Instant,
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
            room: 0.0,
            speed: message::Speed {
                prompt_ms: (1.0 / PROMPT_TOKENS_PER_MS) as f32,
                event_ms: EVENT_MS as f32,
                samples: 0,
            },
            failures: 0,
            asides: 0,
            aside_until: Instant::default(),
            full_until: Instant::default(),
            unreachable: false,
        }
    }
}

impl Load {
    /// Returns the requests at the backend server from all gateways.
    pub fn total(&self) -> u32 {
        self.running + self.others.0
    }

    /// Returns the prompt tokens that are still to be read.
    pub fn backlog(&self) -> u32 {
        self.pending.saturating_add(self.others.1)
    }

    /// Notes what other gateways have at the backend server, each with the age of what it says. Where
    /// they have requests waiting too, free places are divided: each would take all of them
    /// otherwise. Prompts are taken to be read on since the message.
    pub fn count_others(
        &mut self,
        loads: &[(Duration, message::Load)],
        slots: u32,
        share: f64,
        random: &mut fastrand::Rng,
    ) {
        let running: u32 = loads.iter().map(|(_, load)| u32::from(load.running)).sum();
        let pending: f64 = loads.iter().map(|(_, load)| f64::from(load.pending)).sum();
        let ages: f64 = loads.iter().map(|(age, _)| age.as_secs_f64() * 1e3).sum();
        let read = ages / loads.len().max(1) as f64 / f64::from(self.speed.prompt_ms);
        self.others = (running, (pending - read).max(0.0) as u32);
        let free = f64::from(slots) - f64::from(self.total());
        self.room = free;
        if free > 0.0 && share < 1.0 {
            let part = free * share;
            let up = random.f64() < part.fract();
            self.room = part.floor() + if up { 1.0 } else { 0.0 };
        }
    }

    /// Takes a place and adds a prompt to read.
    pub fn take(&mut self, prompt_tokens: u32) {
        self.running += 1;
        self.room -= 1.0;
        self.pending = self.pending.saturating_add(prompt_tokens);
    }

    /// Gives a place back; a prompt that was not read to its end is taken off.
    pub fn give_back(&mut self, unread_tokens: u32) {
        self.running = self.running.saturating_sub(1);
        self.room += 1.0;
        self.pending = self.pending.saturating_sub(unread_tokens);
    }

    /// Returns whether this gateway may take a place.
    pub fn has_room(&self) -> bool {
        self.room >= 1.0
    }

    /// Returns the learned speed.
    pub fn speed(&self) -> message::Speed {
        self.speed
    }

    /// Returns the expected time to the first event of a prompt behind `backlog` tokens, in ms.
    pub fn first_ms(&self, backlog: u32, prompt_tokens: u32) -> f64 {
        let tokens = f64::from(backlog) + f64::from(prompt_tokens);
        FIRST_MS + tokens * f64::from(self.speed.prompt_ms)
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
    pub fn learn_first(&mut self, ms: f64, tokens: u32) {
        if tokens >= MIN_TOKENS {
            let sample = (ms - FIRST_MS).max(0.0) / f64::from(tokens);
            self.speed.prompt_ms = blend(self.speed.prompt_ms, sample, WEIGHT);
            self.speed.samples = self.speed.samples.saturating_add(1);
        }
    }

    /// Learns from a number of events that took `ms`.
    pub fn learn_events(&mut self, ms: f64, events: u32) {
        if events > 0 {
            let sample = ms / f64::from(events);
            self.speed.event_ms = blend(self.speed.event_ms, sample, WEIGHT);
            self.speed.samples = self.speed.samples.saturating_add(1);
        }
    }

    /// Learns from a peer that took samples since its last message.
    pub fn learn_from(&mut self, peer: &message::Speed) {
        let weight = if self.speed.samples == 0 { 1.0 } else { PEER_WEIGHT };
        self.speed.prompt_ms = blend(self.speed.prompt_ms, f64::from(peer.prompt_ms), weight);
        self.speed.event_ms = blend(self.speed.event_ms, f64::from(peer.event_ms), weight);
    }

    /// Notes an answer that was whole.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.asides = 0;
    }

    /// Notes a failure and returns whether the backend server is put aside for it.
    pub fn failed(&mut self, now: Instant) -> bool {
        self.failures += 1;
        if self.failures < FAILURES {
            return false;
        }
        self.failures = 0;
        self.put_aside(now);
        true
    }

    /// Keeps the backend server out of use for a time that grows.
    pub fn put_aside(&mut self, now: Instant) {
        let aside = BASE_ASIDE * 2u32.pow(self.asides.min(3));
        self.asides += 1;
        self.aside_until = now + aside.min(MAX_ASIDE);
    }

    /// Returns whether requests may be sent.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.unreachable && now >= self.aside_until && now >= self.full_until
    }
}

fn blend(average: f32, sample: f64, weight: f64) -> f32 {
    let average = f64::from(average);
    let sample = sample.clamp(average / MAX_RATIO, average * MAX_RATIO);
    (average + (sample - average) * weight) as f32
}
