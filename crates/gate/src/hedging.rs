//! Hedges: second attempts for requests whose response is slow.
//!
//! A request is slow after a quantile of the times that requests of its route and size class took
//! here in the last seconds. Hedges are paid from a budget of work that first attempts fill, so their
//! part of the work is bounded at each gateway and thereby over all of them.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use conf::gateway;
use hdrhistogram::Histogram;
use wire::time::Instant;

use crate::{action, catalog::RouteKind, queue::Entry};

/// Duration of one slice of the recent response times. Slices are dropped as a whole.
const SLICE: Duration = Duration::from_secs(2);
/// Number of slices, for a window of 8 to 10 s.
const SLICES: usize = 5;
/// Time for which a quantile is used before it is computed again, which bounds the processor time.
const REFRESH_PERIOD: Duration = Duration::from_millis(250);
/// Fewest response times that a quantile is taken of, whatever the quantile. In the largest
/// deployments, a gateway has some 3 requests a second of one kind, and so 25 in the window.
const MIN_SAMPLES: u64 = 20;
/// Unit of the recorded times.
const RESOLUTION: Duration = Duration::from_micros(100);
/// Longest recorded time, in units of `RESOLUTION`; the longest deadlines are 15 s.
const MAX_UNITS: u64 = 600_000;
/// Decimal digits of the recorded times. With two, a slice takes about 8 KB.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Most classes with times of their own, against a configuration with very many routes.
const MAX_CLASSES: usize = 512;
/// Work of mean requests that a budget holds at most, which bounds the burst of hedges.
const MAX_SAVED_REQUESTS: f64 = 10.0;
/// Weight of a request in the moving average of the work.
const WORK_WEIGHT: f64 = 0.05;
/// Shortest time to a hedge. Timers have this resolution.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// Longest time for both attempts at model engines. A request may not run at two engines for longer
/// than 400 ms; the rest is for the first engine to notice that its connection was closed.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Why a slow request was not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The work budget or the retry budget is used up.
    Budget,
    /// The service is short of capacity.
    Busy,
    /// No other backend server is fit.
    NoServer,
    /// The route allows no further attempt.
    Attempts,
}

impl Withheld {
    /// All reasons, in the order of `Counts::withheld`.
    pub const ALL: [Withheld; 4] =
        [Withheld::Budget, Withheld::Busy, Withheld::NoServer, Withheld::Attempts];

    /// Returns the name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Withheld::Budget => "budget",
            Withheld::Busy => "busy",
            Withheld::NoServer => "no_server",
            Withheld::Attempts => "attempts",
        }
    }
}

/// Numbers of hedges since the start of the process. Those that were sent and neither won nor were
/// cancelled failed, or their callers left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    /// Hedges for which the first attempt was cancelled.
    pub won: u64,
    /// Hedges that were cancelled since the first attempt had an answer.
    pub cancelled: u64,
    /// Slow requests without a hedge, by `Withheld::ALL`.
    pub withheld: [u64; 4],
}

/// Requests whose response times are compared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Class {
    route: Bytes,
    /// Magnitude of the prompt: 0 without a prompt, else the number of its bits.
    size: u32,
}

impl Class {
    fn of(entry: &Entry) -> Class {
        let bits = u32::BITS - entry.request.prompt_tokens().leading_zeros();
        Class { route: entry.route.clone(), size: bits }
    }
}

/// Quantile and mean of the recent response times of a class.
#[derive(Clone, Copy, Debug)]
struct Summary {
    quantile: Duration,
    mean: Duration,
}

/// Recent response times of a class.
#[derive(Clone, Debug, Default)]
struct Times {
    /// Times by the start of their slice, the oldest first.
    slices: VecDeque<(Instant, Histogram<u32>)>,
    /// `None` with too few samples.
    summary: Option<Summary>,
    refresh_at: Instant,
}

impl Times {
    fn record(&mut self, now: Instant, time: Duration) {
        let is_current = |(began_at, _): &(Instant, _)| now.since(*began_at) < SLICE;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back((now, empty_histogram()));
        }
        self.expire(now);
        if let Some((_, slice)) = self.slices.back_mut() {
            let units = time.as_micros() / RESOLUTION.as_micros();
            slice.saturating_record(units.min(u128::from(MAX_UNITS)) as u64);
        }
    }

    fn expire(&mut self, now: Instant) {
        let window = SLICE * SLICES as u32;
        self.slices.retain(|(began_at, _)| now.since(*began_at) < window);
    }

    fn summary(&mut self, now: Instant, quantile: f64) -> Option<Summary> {
        if self.summary.is_some() && now < self.refresh_at {
            return self.summary;
        }
        self.expire(now);
        self.summary = None;
        let count: u64 = self.slices.iter().map(|(_, slice)| slice.len()).sum();
        if count < min_samples(quantile) {
            return None;
        }
        self.refresh_at = now + REFRESH_PERIOD;
        let mut all = empty_histogram();
        for (_, slice) in &self.slices {
            // Slices have the same bounds, so the values of each fit.
            let _ = all.add(slice);
        }
        let duration = |units: f64| RESOLUTION.mul_f64(units);
        self.summary = Some(Summary {
            quantile: duration(all.value_at_quantile(quantile) as f64),
            mean: duration(all.mean()),
        });
        self.summary
    }
}

/// Returns the fewest samples for a quantile: at least one is expected beyond it.
fn min_samples(quantile: f64) -> u64 {
    MIN_SAMPLES.max((1.0 / (1.0 - quantile)).round() as u64)
}

fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_UNITS, SIGNIFICANT_DIGITS)
        .expect("the limits are valid for a histogram")
}

/// Work that the hedges of a service may still cause.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    left: f64,
    /// Moving average of the work of a first attempt.
    mean: f64,
}

impl Budget {
    fn fill(&mut self, work: f64, share: f64) {
        let is_first = self.mean == 0.0;
        self.mean += (work - self.mean) * if is_first { 1.0 } else { WORK_WEIGHT };
        self.add(work * share);
    }

    fn add(&mut self, work: f64) {
        self.left = (self.left + work).min(self.mean * MAX_SAVED_REQUESTS);
    }

    fn take(&mut self, work: f64) -> bool {
        let is_enough = work <= self.left;
        if is_enough {
            self.left -= work;
        }
        is_enough
    }
}

/// Response times, budgets and counters for the hedges of one gateway.
#[derive(Clone, Debug)]
pub struct Hedging {
    settings: gateway::Hedging,
    times: HashMap<Class, Times>,
    /// Work budgets by service. The work of all requests of a service has the same unit.
    budgets: HashMap<Bytes, Budget>,
    pub counts: Counts,
}

impl Hedging {
    /// Returns a state without samples, with empty budgets.
    pub fn new(settings: gateway::Hedging) -> Hedging {
        Hedging {
            settings,
            times: HashMap::new(),
            budgets: HashMap::new(),
            counts: Counts::default(),
        }
    }

    /// Records that a request is sent to a backend server, and returns when it may be hedged. Only
    /// the first attempt of a request fills the budget, and only that is hedged. `is_model` says
    /// whether the backend servers are model engines.
    pub fn record_dispatch(
        &mut self,
        now: Instant,
        entry: &Entry,
        is_model: bool,
    ) -> Option<action::Hedge> {
        if entry.attempts > 0 {
            return None;
        }
        // A request that a backend server did not take, so that it is sent again, counts once.
        if entry.excluded.is_empty()
            && let Some(work) = self.work(now, entry)
        {
            let budget = self.budgets.entry(entry.service.clone()).or_default();
            budget.fill(work, self.settings.work_share);
        }
        let after = self.threshold(now, entry).filter(|_| entry.is_repeatable)?;
        let has_overlap_limit =
            is_model || entry.kind == RouteKind::Stream || entry.request.tokens.is_some();
        let max_overlap = has_overlap_limit.then_some(MAX_OVERLAP);
        Some(action::Hedge { after: after.max(MIN_DELAY), max_overlap })
    }

    /// Returns the time after which a response is slow; `None` without enough samples.
    pub fn threshold(&mut self, now: Instant, entry: &Entry) -> Option<Duration> {
        Some(self.summary(now, entry)?.quantile)
    }

    /// Records the time that a request took. If its first attempt was cancelled for a hedge, that is
    /// the time until then. The attempt would have taken longer, but lies above the quantile in
    /// either case.
    pub fn record_time(&mut self, now: Instant, entry: &Entry, time: Duration) {
        let class = Class::of(entry);
        if self.times.len() >= MAX_CLASSES && !self.times.contains_key(&class) {
            self.times.retain(|_, times| {
                times.expire(now);
                !times.slices.is_empty()
            });
            if self.times.len() >= MAX_CLASSES {
                return;
            }
        }
        self.times.entry(class).or_default().record(now, time);
    }

    /// Takes the work of a hedge from the budget and returns whether it was enough.
    pub fn take_work(&mut self, now: Instant, entry: &Entry) -> bool {
        let Some(work) = self.work(now, entry) else { return false };
        let budget = self.budgets.get_mut(&entry.service);
        budget.is_some_and(|budget| budget.take(work))
    }

    /// Returns the work of a hedge that its backend server did not take.
    pub fn put_back_work(&mut self, now: Instant, entry: &Entry) {
        let work = self.work(now, entry);
        if let Some((budget, work)) = self.budgets.get_mut(&entry.service).zip(work) {
            budget.add(work);
        }
    }

    /// Counts a slow request that was not hedged.
    pub fn count_withheld(&mut self, reason: Withheld) {
        let index = Withheld::ALL.iter().position(|other| *other == reason);
        if let Some(count) = index.and_then(|index| self.counts.withheld.get_mut(index)) {
            *count += 1;
        }
    }

    /// Returns the work of a request: its tokens at a model engine, and elsewhere the mean time of
    /// its class in ms, if that is known.
    fn work(&mut self, now: Instant, entry: &Entry) -> Option<f64> {
        match entry.request.tokens {
            Some(tokens) => {
                Some(f64::from(tokens.prompt) + f64::from(entry.request.output_tokens()))
            }
            None => Some(self.summary(now, entry)?.mean.as_secs_f64() * 1e3),
        }
    }

    fn summary(&mut self, now: Instant, entry: &Entry) -> Option<Summary> {
        let times = self.times.get_mut(&Class::of(entry))?;
        times.summary(now, self.settings.quantile)
    }
}
