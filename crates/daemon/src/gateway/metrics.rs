//! Counters and latency histograms of a gateway, as text that common collectors read.

use std::{cell::RefCell, collections::BTreeSet, fmt, time::Duration};

use gate::{Machine, action::Dispatch};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use wire::time::Instant;

use crate::log;

/// Upper bounds of the buckets, in seconds: around the objectives, which lie between 0.15 and
/// 1.1 s, and up to the longest deadlines.
const BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.7, 1.1, 2.5, 5.0, 15.0];
/// Pairs of account and tier with histograms of their own; the others share one. A page with
/// that many takes about 2 MB.
const MAX_SERIES: usize = 500;
const OTHER: &str = "other";

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
struct Series {
    account: String,
    tier: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

type Times = Family<Series, Histogram, fn() -> Histogram>;

/// Metrics of one gateway.
pub struct Metrics {
    registry: Registry,
    known: RefCell<BTreeSet<Series>>,
    requests: Family<Outcome, Counter>,
    attempts: Family<Outcome, Counter>,
    waited: Times,
    first: Times,
    pause: Times,
    stream: Times,
    open: Gauge,
    age: Gauge<f64, std::sync::atomic::AtomicU64>,
    revision: Gauge,
    gateways: Gauge,
    store_calls: Counter,
    dropped_lines: Gauge,
}

impl Metrics {
    /// Returns metrics without samples.
    pub fn new() -> Metrics {
        let times = || Times::new_with_constructor(|| Histogram::new(BUCKETS));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("quincespoke"),
            known: RefCell::default(),
            requests: Family::default(),
            attempts: Family::default(),
            waited: times(),
            first: times(),
            pause: times(),
            stream: times(),
            open: Gauge::default(),
            age: Gauge::default(),
            revision: Gauge::default(),
            gateways: Gauge::default(),
            store_calls: Counter::default(),
            dropped_lines: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Calls by their outcome", self.requests.clone());
        let help = "Attempts that a replica did not answer";
        registry.register("failed_attempts", help, self.attempts.clone());
        let times = [
            ("waited", "Time at the gateway before the dispatch", &self.waited),
            ("first", "Time from the dispatch to the first event or the answer", &self.first),
            ("pause", "Time between two events of a stream", &self.pause),
            ("stream", "Time from the first event to the end of a stream", &self.stream),
        ];
        for (name, help, family) in times {
            registry.register_with_unit(name, help, Unit::Seconds, family.clone());
        }
        registry.register("open", "Calls in progress", self.open.clone());
        let age = "Age of the configuration and the list of replicas";
        registry.register_with_unit("age", age, Unit::Seconds, self.age.clone());
        registry.register("revision", "Revision of the store in force", self.revision.clone());
        registry.register("gateways", "Gateways that may serve callers", self.gateways.clone());
        registry.register("store_calls", "Calls of the store", self.store_calls.clone());
        let dropped = "Log lines left out or lost since the start";
        registry.register("dropped_log_lines", dropped, self.dropped_lines.clone());
    }

    /// Counts a call's outcome.
    pub fn count(&self, outcome: &'static str) {
        self.requests.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts an attempt that a replica did not answer.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a call of the store.
    pub fn count_store_call(&self) {
        self.store_calls.inc();
    }

    /// Records the first event or the answer of a dispatched call.
    pub fn answered(&self, dispatch: &Dispatch, first: Duration) {
        let series = self.series(dispatch);
        self.waited.get_or_create(&series).observe(dispatch.inputs.waited.as_secs_f64());
        self.first.get_or_create(&series).observe(first.as_secs_f64());
    }

    /// Returns where the times between the events of a stream are recorded, for all of them.
    pub fn pauses(&self, dispatch: &Dispatch) -> Histogram {
        self.pause.get_or_create(&self.series(dispatch)).clone()
    }

    /// Records the end of a stream.
    pub fn ended(&self, dispatch: &Dispatch, span: Duration) {
        self.stream.get_or_create(&self.series(dispatch)).observe(span.as_secs_f64());
    }

    fn series(&self, dispatch: &Dispatch) -> Series {
        let account = dispatch.account.as_deref().unwrap_or_default();
        let account = String::from_utf8_lossy(account).into_owned();
        let series = Series { account, tier: dispatch.inputs.tier };
        let mut known = self.known.borrow_mut();
        if known.contains(&series) {
            return series;
        }
        if known.len() >= MAX_SERIES {
            return Series { account: OTHER.into(), tier: dispatch.inputs.tier };
        }
        known.insert(series.clone());
        series
    }

    /// Returns the page of all metrics.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn page(&self, now: Instant, machine: &Machine) -> Result<String, fmt::Error> {
        self.open.set(machine.open_count() as i64);
        self.age.set(machine.age(now).map_or(f64::INFINITY, |age| age.as_secs_f64()));
        self.revision.set(machine.revision().map_or(-1, |revision| revision as i64));
        self.gateways.set(machine.gateways(now) as i64);
        self.dropped_lines.set(log::dropped_lines() as i64);
        let mut page = String::new();
        text::encode(&mut page, &self.registry)?;
        Ok(page)
    }
}
