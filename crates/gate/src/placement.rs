//! Choice of a backend server for a request.
//!
//! Backend servers differ in speed, and requests arrive in bursts. A prompt is sent only to a
//! backend server where its first event is expected in time and where prefill doesn't stall the
//! streams in progress. A request waits if there is no such backend server, and less urgent
//! requests don't take the slots that it waits for.

use std::{collections::HashSet, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use crate::{
    backends::{self, Backend, Backends},
    catalog::RouteKind,
    permits::Permits,
    plain_load::Urgency,
    queue::Entry,
    rate_limit::RateLimits,
    warm_up::WarmUps,
};

/// Added cost of a backend server in another zone, in ms. Its latency is small, but traffic between
/// zones is charged.
const OTHER_ZONE_MS: f64 = 2.0;
/// Cost of one request in flight at a backend server of a plain service, the one that is placed
/// included, in ms.
const RUNNING_MS: f64 = 10.0;
/// Part of the remaining time to the objective that the expected first event may take.
const FIRST_EVENT_SHARE: f64 = 0.9;
/// Part of the objective after which a waiting request takes the next free slot even where it is
/// expected to be late. Otherwise it would be refused while less urgent requests are served.
const STRICT_WAIT_SHARE: f64 = 0.3;
/// Factor on the accepted pause under relaxed limits.
const RELAXED_PAUSE_RATIO: f64 = 2.0;
/// Part of the time to the deadline that the expected duration of a stream may take. The callers'
/// estimates of the output are right only at the median, and a stream that is cut at its deadline
/// is wasted.
const TOTAL_SHARE: f64 = 0.6;
/// Part of the route's longest pause that the expected pause of a stream may take.
const PAUSE_SHARE: f64 = 0.9;
/// Most prompt tokens that are processed between two events of a stream: engines process prompts in
/// chunks and generate a token for each running stream between two chunks.
const MAX_PAUSE_TOKENS: u32 = 10_000;
/// Factor on the cost of a far backend server, whose load is known late.
const FAR_COST_RATIO: f64 = 1.5;
/// Factor on the cost of a backend server of a plain service that was slower than a hedge lately. Its
/// slot was released with its connection, so it would be the first choice again: without the factor,
/// 95 in 100 answers of ten servers, two of them slow, took 137 ms instead of 72 ms in virtual time.
const SLOW_COST_RATIO: f64 = 2.0;
/// Random spread of the costs, so that gateways with the same view don't all choose the same
/// backend server.
const COST_SPREAD: f64 = 0.15;

/// State that a choice depends on besides the request.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    pub backends: &'a Backends,
    pub rate_limits: &'a RateLimits,
    pub permits: &'a Permits,
    pub warm_ups: &'a WarmUps,
    pub now: Instant,
    /// Availability zone of this gateway.
    pub zone: &'a Bytes,
}

impl Context<'_> {
    /// Returns whether the rate limit of a backend server, or the rate that it tolerates while it
    /// warms up, allows a request now.
    fn has_permit(&self, backend: &Backend) -> bool {
        if self.warm_ups.is_warming(self.now, backend) {
            return self.permits.count(self.now, backend.server) > 0;
        }
        if self.warm_ups.is_uncertain(self.now, backend) {
            return false;
        }
        !self.rate_limits.is_limited(backend.run) || self.permits.count(self.now, backend.run) > 0
    }
}

/// Returns the backend server with the lowest expected cost, if one has capacity and is not
/// `reserved`.
pub fn choose(
    context: &Context<'_>,
    entry: &Entry,
    reserved: &HashSet<backends::Key>,
    rng: &mut fastrand::Rng,
) -> Option<backends::Key> {
    let limits = Limits::for_request(context, entry);
    let mean_running = context.backends.mean_running(&entry.service);
    let mut best = None;
    for &key in context.backends.keys_of(&entry.service) {
        let Some(backend) = context.backends.get(key) else { continue };
        let is_candidate = has_capacity(backend, entry, context.now)
            && context.has_permit(backend)
            && entry.admits(key, backend)
            && !reserved.contains(&key);
        if !is_candidate || !limits.admits(backend, entry, backend.load.backlog()) {
            continue;
        }
        let cost = cost(context, backend, entry, mean_running);
        let cost = cost * (1.0 + COST_SPREAD * rng.f64());
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key)
}

/// Adds to `reserved` the backend servers that could serve a waiting request once they have fewer
/// requests, so that less urgent requests don't take their slots.
pub fn reserve_candidates(
    context: &Context<'_>,
    entry: &Entry,
    reserved: &mut HashSet<backends::Key>,
) {
    // Such a request only gets slots that are free beyond the others' bounds.
    if entry.is_plain() && entry.plain_urgency() == Urgency::Overdue {
        return;
    }
    let limits = Limits::for_request(context, entry);
    for &key in context.backends.keys_of(&entry.service) {
        let Some(backend) = context.backends.get(key) else { continue };
        if entry.admits(key, backend) && limits.admits(backend, entry, 0) {
            reserved.insert(key);
        }
    }
}

/// Limits on the expected times at a backend server.
struct Limits {
    first_event_ms: f64,
    pause_ms: f64,
    total_ms: f64,
}

impl Limits {
    /// Returns the limits for a request. They are relaxed for a request that has waited for a long
    /// time, and for one that no backend server could serve in time even without other requests,
    /// since waiting would not help it.
    fn for_request(context: &Context<'_>, entry: &Entry) -> Limits {
        let objective = entry.objective.since(entry.arrived_at);
        let objective_left_ms = entry.objective.since(context.now).as_secs_f64() * 1e3;
        let deadline_left_ms = entry.deadline.since(context.now).as_secs_f64() * 1e3;
        let pause_ms = entry.max_pause.as_secs_f64() * 1e3 * PAUSE_SHARE;
        let strict = Limits {
            first_event_ms: objective_left_ms * FIRST_EVENT_SHARE,
            pause_ms,
            total_ms: deadline_left_ms * TOTAL_SHARE,
        };
        let relaxed = Limits {
            first_event_ms: f64::INFINITY,
            pause_ms: pause_ms * RELAXED_PAUSE_RATIO,
            total_ms: f64::INFINITY,
        };
        let is_within_strict_wait =
            context.now.since(entry.arrived_at) < objective.mul_f64(STRICT_WAIT_SHARE);
        let usable = context.backends.usable(&entry.service, context.now);
        let mut usable =
            usable.filter(|backend| context.has_permit(backend) && entry.origin.admits(backend));
        match is_within_strict_wait && usable.any(|backend| strict.admits(backend, entry, 0)) {
            true => strict,
            false => relaxed,
        }
    }

    fn admits(&self, backend: &Backend, entry: &Entry, backlog: u32) -> bool {
        if entry.kind != RouteKind::Stream || entry.request.tokens.is_none() {
            return true;
        }
        let tokens = entry.request.prompt_tokens();
        let prefill_tokens = backlog.saturating_add(tokens).min(MAX_PAUSE_TOKENS);
        let is_idle = backend.load.total_running() == 0;
        let first = backend.load.first_event_ms(backlog, tokens);
        let total = first + backend.load.events_ms(entry.expected_events());
        first <= self.first_event_ms
            && total <= self.total_ms
            && (is_idle || backend.load.pause_ms(prefill_tokens) <= self.pause_ms)
    }
}

/// Returns whether a backend server can be used and has capacity. Servers of plain services queue
/// requests, so that all gateways together may send more than their slots; see `plain_load`.
fn has_capacity(backend: &Backend, entry: &Entry, now: Instant) -> bool {
    let load = &backend.load;
    let has_slot = match entry.request.tokens {
        Some(_) => load.has_free_slot(),
        None => {
            let is_at_bound = entry.is_plain() && !plain_wait(backend, entry, now).is_zero();
            load.running < backend.record.slots && !is_at_bound
        }
    };
    load.is_usable(now) && has_slot
}

/// Returns the time until a server of a plain service may get a request, by the load from all
/// gateways.
fn plain_wait(backend: &Backend, entry: &Entry, now: Instant) -> Duration {
    let (load, slots) = (&backend.load, backend.record.slots);
    let urgency = entry.plain_urgency();
    load.plain.wait(now, load.total_running(), slots, entry.objective_duration, urgency)
}

/// Returns the shortest time until a server of a plain service may get a request by the load from
/// all gateways, zero if one may get it now. Returns `None` if none of them can be used.
pub fn shortest_plain_wait(context: &Context<'_>, entry: &Entry) -> Option<Duration> {
    let keys = context.backends.keys_of(&entry.service).iter();
    let backends = keys.filter_map(|key| Some((*key, context.backends.get(*key)?)));
    let waits = backends.filter_map(|(key, backend)| {
        // A server whose queue was full gets a request again after a short while.
        let full_until = backend.load.full_until.max(context.now);
        let is_candidate = backend.load.is_usable(full_until)
            && context.has_permit(backend)
            && entry.admits(key, backend);
        let wait = plain_wait(backend, entry, context.now);
        is_candidate.then(|| wait.max(full_until.since(context.now)))
    });
    waits.min()
}

/// Returns the expected cost of a request at a backend server. Requests of plain services end before
/// the load of a far backend server is received, so the mean of the service is used there.
fn cost(context: &Context<'_>, backend: &Backend, entry: &Entry, mean_running: f64) -> f64 {
    let zone_cost = if backend.record.zone == *context.zone { 0.0 } else { OTHER_ZONE_MS };
    let load = &backend.load;
    let ratio = if load.is_far { FAR_COST_RATIO } else { 1.0 };
    let slow_ratio = if load.is_slow(context.now) { SLOW_COST_RATIO } else { 1.0 };
    match entry.request.tokens {
        Some(_) => {
            let first = load.first_event_ms(load.backlog(), entry.request.prompt_tokens());
            zone_cost + ratio * (first + load.events_ms(entry.expected_events()))
        }
        None if load.is_far => {
            let running = mean_running.max(f64::from(load.running));
            zone_cost + ratio * slow_ratio * RUNNING_MS * (running + 1.0)
        }
        None => zone_cost + slow_ratio * RUNNING_MS * f64::from(load.total_running() + 1),
    }
}
