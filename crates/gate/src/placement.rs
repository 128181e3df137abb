//! Choice of a backend server for a request.
//!
//! Answers the load of bursts on backend servers of unlike speed: a prompt is sent only where its first
//! event is expected in time and where reading it does not stall the streams that run there. A
//! request for which there is no such backend server waits, and less urgent ones don't take the places
//! that it waits for.

use std::collections::HashSet;

use bytes::Bytes;
use wire::time::Instant;

use crate::{
    backends::{self, Backend, Backends},
    catalog::Kind,
    queue::Entry,
};

/// Cost of another zone, in ms: its latency is small, but its bytes are paid for.
const OTHER_ZONE_MS: f64 = 2.0;
/// Cost of one request in progress at a backend server of a plain service, in ms.
const RUNNING_MS: f64 = 10.0;
/// Part of the time left that an expected first event may take.
const FIRST_EVENT_SHARE: f64 = 0.9;
/// Part of the objective after which a waiting request takes the next free place, in time or not.
/// It would be refused otherwise while less urgent requests are served.
const STRICT_WAIT_SHARE: f64 = 0.3;
/// Ratio to the longest pause that is accepted then.
const RELAXED_PAUSE_RATIO: f64 = 2.0;
/// Part of the time to the deadline that a stream may be expected to take. Callers' estimates of
/// the output are right at the median only, and a stream cut at its deadline is lost.
const TOTAL_SHARE: f64 = 0.6;
/// Part of the longest pause that a backend server's streams may be expected to make.
const PAUSE_SHARE: f64 = 0.9;
/// Most tokens that are read between two events of a stream: engines read prompts in chunks and
/// generate a token for each running stream between two chunks.
const MAX_PAUSE_TOKENS: u32 = 10_000;
/// Spread of the costs, so that gateways with the same view don't all choose the same backend server.
const COST_SPREAD: f64 = 0.15;

/// What a choice depends on beside the request.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    pub backends: &'a Backends,
    pub now: Instant,
    pub zone: &'a Bytes,
}

/// Returns the backend server that is expected to answer first, if one has room and is not `reserved`.
pub fn choose(
    context: &Context<'_>,
    entry: &Entry,
    reserved: &HashSet<backends::Key>,
    random: &mut fastrand::Rng,
) -> Option<backends::Key> {
    let limits = Limits::for_request(context, entry);
    let mut best = None;
    for &key in context.backends.keys_of(&entry.service) {
        let Some(backend) = context.backends.get(key) else { continue };
        let open = has_capacity(backend, entry, context.now)
            && !entry.excluded.contains(&key)
            && !reserved.contains(&key);
        if !open || !limits.admits(backend, entry, backend.load.backlog()) {
            continue;
        }
        let cost = cost(backend, entry, context.zone) * (1.0 + COST_SPREAD * random.f64());
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key)
}

/// Adds the backend servers that could serve a waiting request once they have less to do.
pub fn reserve_candidates(
    context: &Context<'_>,
    entry: &Entry,
    reserved: &mut HashSet<backends::Key>,
) {
    let limits = Limits::for_request(context, entry);
    for &key in context.backends.keys_of(&entry.service) {
        let Some(backend) = context.backends.get(key) else { continue };
        if !entry.excluded.contains(&key) && limits.admits(backend, entry, 0) {
            reserved.insert(key);
        }
    }
}

/// Bounds on what is expected of a backend server.
struct Limits {
    first_event_ms: f64,
    pause_ms: f64,
    total_ms: f64,
}

impl Limits {
    /// Returns the bounds for a request. They are relaxed for one that has waited, and for one that no
    /// backend server could serve in time even without other work, since it would wait for nothing.
    fn for_request(context: &Context<'_>, entry: &Entry) -> Limits {
        let objective = entry.objective.since(entry.arrived);
        let left = entry.objective.since(context.now).as_secs_f64() * 1e3;
        let deadline = entry.deadline.since(context.now).as_secs_f64() * 1e3;
        let pause_ms = entry.max_pause.as_secs_f64() * 1e3 * PAUSE_SHARE;
        let strict = Limits {
            first_event_ms: left * FIRST_EVENT_SHARE,
            pause_ms,
            total_ms: deadline * TOTAL_SHARE,
        };
        let relaxed = Limits {
            first_event_ms: f64::INFINITY,
            pause_ms: pause_ms * RELAXED_PAUSE_RATIO,
            total_ms: f64::INFINITY,
        };
        let is_within_strict_wait =
            context.now.since(entry.arrived) < objective.mul_f64(STRICT_WAIT_SHARE);
        let mut usable = context.backends.usable(&entry.service, context.now);
        match is_within_strict_wait && usable.any(|backend| strict.admits(backend, entry, 0)) {
            true => strict,
            false => relaxed,
        }
    }

    fn admits(&self, backend: &Backend, entry: &Entry, backlog: u32) -> bool {
        if entry.kind != Kind::Stream || entry.request.tokens.is_none() {
            return true;
        }
        let tokens = entry.request.prompt_tokens();
        let read = backlog.saturating_add(tokens).min(MAX_PAUSE_TOKENS);
        let is_idle = backend.load.total_running() == 0;
        let first = backend.load.first_event_ms(backlog, tokens);
        let total = first + backend.load.events_ms(entry.expected_events());
        first <= self.first_event_ms
            && total <= self.total_ms
            && (is_idle || backend.load.pause_ms(read) <= self.pause_ms)
    }
}

/// Requests of plain services are over before gateways hear of each other's, and such a backend server
/// queues some and truthfully refuses the rest, so only this gateway's own requests count there.
fn has_capacity(backend: &Backend, entry: &Entry, now: Instant) -> bool {
    let load = &backend.load;
    let has_slot = match entry.request.tokens {
        Some(_) => load.has_free_slot(),
        None => load.running < backend.record.slots,
    };
    load.is_usable(now) && has_slot
}

fn cost(backend: &Backend, entry: &Entry, zone: &Bytes) -> f64 {
    let zone_cost = if backend.record.zone == *zone { 0.0 } else { OTHER_ZONE_MS };
    let load = &backend.load;
    match entry.request.tokens {
        Some(_) => {
            let first = load.first_event_ms(load.backlog(), entry.request.prompt_tokens());
            zone_cost + first + load.events_ms(entry.expected_events())
        }
        None => zone_cost + RUNNING_MS * f64::from(load.total_running()),
    }
}
