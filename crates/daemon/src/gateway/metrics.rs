//! Counters and latency histograms of a gateway in the OpenMetrics text format.

use std::{cell::RefCell, collections::BTreeSet, fmt, sync::atomic::Ordering, time::Duration};

use gate::{Machine, action::Dispatch, hedging, revision::Revision};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use wire::time::Instant;

use crate::{caller, log, usage};

/// Upper bounds of the histogram buckets, in seconds. They cover the latency objectives, which
/// lie between 0.15 and 1.1 s, and extend to the longest deadlines.
const BUCKETS_S: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.7, 1.1, 2.5, 5.0, 15.0];
/// Largest number of pairs of account and tier that have histograms of their own; further accounts
/// share the label `other`. The metrics page takes about 2 MB with this many pairs.
const MAX_LABEL_SETS: usize = 500;
const OTHER_ACCOUNTS: &str = "other";

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
struct Labels {
    account: String,
    tier: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Origin {
    from: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

type Histograms = Family<Labels, Histogram, fn() -> Histogram>;

/// Metrics of one gateway.
pub struct Metrics {
    registry: Registry,
    label_sets: RefCell<BTreeSet<Labels>>,
    requests: Family<Outcome, Counter>,
    attempts: Family<Outcome, Counter>,
    waited: Histograms,
    first: Histograms,
    pause: Histograms,
    stream: Histograms,
    open: Gauge,
    age: Gauge<f64, std::sync::atomic::AtomicU64>,
    revision: Gauge,
    era: Gauge,
    outdated: Gauge,
    memory: Gauge,
    callers_memory: Gauge,
    connections: Gauge,
    crowded_out: Family<Outcome, Counter>,
    gateways: Gauge,
    store_calls: Counter,
    read_bytes: Family<Origin, Counter>,
    suspects: Gauge,
    quarantined: Gauge,
    limited: Gauge,
    warming: Gauge,
    warm_up_permits: Counter,
    evacuated_zones: Gauge,
    short_services: Gauge,
    dropped_log_lines: Gauge,
    hedges: Family<Outcome, Counter>,
    withheld_hedges: Family<Reason, Counter>,
}

impl Metrics {
    /// Returns metrics without samples. Those of hedges are left out if hedging is off.
    pub fn new(has_hedges: bool) -> Metrics {
        let histograms = || Histograms::new_with_constructor(|| Histogram::new(BUCKETS_S));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("quincespoke"),
            label_sets: RefCell::default(),
            requests: Family::default(),
            attempts: Family::default(),
            waited: histograms(),
            first: histograms(),
            pause: histograms(),
            stream: histograms(),
            open: Gauge::default(),
            age: Gauge::default(),
            revision: Gauge::default(),
            era: Gauge::default(),
            outdated: Gauge::default(),
            memory: Gauge::default(),
            callers_memory: Gauge::default(),
            connections: Gauge::default(),
            crowded_out: Family::default(),
            gateways: Gauge::default(),
            store_calls: Counter::default(),
            read_bytes: Family::default(),
            suspects: Gauge::default(),
            quarantined: Gauge::default(),
            limited: Gauge::default(),
            warming: Gauge::default(),
            warm_up_permits: Counter::default(),
            evacuated_zones: Gauge::default(),
            short_services: Gauge::default(),
            dropped_log_lines: Gauge::default(),
            hedges: Family::default(),
            withheld_hedges: Family::default(),
        };
        metrics.register();
        if has_hedges {
            metrics.register_hedges();
        }
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Calls by their outcome", self.requests.clone());
        let help = "Attempts that a replica did not answer";
        registry.register("failed_attempts", help, self.attempts.clone());
        let histograms = [
            ("waited", "Time at the gateway before the dispatch", &self.waited),
            ("first", "Time from the dispatch to the first event or the answer", &self.first),
            ("pause", "Time between two events of a stream", &self.pause),
            ("stream", "Time from the first event to the end of a stream", &self.stream),
        ];
        for (name, help, family) in histograms {
            registry.register_with_unit(name, help, Unit::Seconds, family.clone());
        }
        registry.register("open", "Calls in progress", self.open.clone());
        let age = "Age of the configuration and the list of replicas";
        registry.register_with_unit("age", age, Unit::Seconds, self.age.clone());
        registry.register("revision", "Revision of the store in force", self.revision.clone());
        let era = "Times that the store came back from an older copy, as it states";
        registry.register("era", era, self.era.clone());
        let outdated = "Whether the state is too old to send calls by it";
        registry.register("outdated", outdated, self.outdated.clone());
        let memory = "Resident memory of the process";
        registry.register_with_unit("memory", memory, Unit::Bytes, self.memory.clone());
        let memory = "Memory that callers take of their budget";
        let unit = Unit::Bytes;
        registry.register_with_unit("callers_memory", memory, unit, self.callers_memory.clone());
        registry.register("connections", "Connections of callers", self.connections.clone());
        let help = "Connections closed for others, and requests and connections without room";
        registry.register("crowded_out", help, self.crowded_out.clone());
        registry.register("gateways", "Gateways that may serve callers", self.gateways.clone());
        registry.register("store_calls", "Calls of the store", self.store_calls.clone());
        let help = "Bytes of the published state that were read, by where from";
        registry.register_with_unit("state_read", help, Unit::Bytes, self.read_bytes.clone());
        let suspects = "Calls under which replicas ended, as counted by all gateways";
        registry.register("suspects", suspects, self.suspects.clone());
        let quarantined = "Those among them that are refused";
        registry.register("quarantined", quarantined, self.quarantined.clone());
        let limited = "Replicas that named a rate limit";
        registry.register("limited", limited, self.limited.clone());
        registry.register("warming", "Replicas that warm up", self.warming.clone());
        let permits = "Permits used for calls of replicas that warm up";
        registry.register("warm_up_permits", permits, self.warm_up_permits.clone());
        let evacuated = "Zones that operators evacuate";
        registry.register("evacuated_zones", evacuated, self.evacuated_zones.clone());
        let short = "Plain services whose servers are all at their bounds";
        registry.register("short_services", short, self.short_services.clone());
        let dropped = "Log lines left out or lost since the start";
        registry.register("dropped_log_lines", dropped, self.dropped_log_lines.clone());
    }

    fn register_hedges(&mut self) {
        let help = "Second attempts of slow calls, by what became of them";
        self.registry.register("hedges", help, self.hedges.clone());
        let help = "Slow calls without a second attempt, by reason";
        self.registry.register("hedges_withheld", help, self.withheld_hedges.clone());
    }

    fn record_hedges(&self, counts: &hedging::Counts) {
        let set = |outcome, count| {
            self.hedges.get_or_create(&Outcome { outcome }).inner().store(count, Ordering::Relaxed);
        };
        set("sent", counts.sent);
        set("won", counts.won);
        set("cancelled", counts.cancelled);
        for (reason, count) in hedging::Withheld::ALL.iter().zip(counts.withheld) {
            let reason = Reason { reason: reason.name() };
            let counter = self.withheld_hedges.get_or_create(&reason);
            counter.inner().store(count, Ordering::Relaxed);
        }
    }

    /// Counts the outcome of a request.
    pub fn count_outcome(&self, outcome: &'static str) {
        self.requests.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts an attempt at a backend server that failed.
    pub fn count_failed_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a request to the store.
    pub fn count_store_call(&self) {
        self.store_calls.inc();
    }

    /// Counts bytes of the published state that were read from the store or a peer.
    pub fn count_read_bytes(&self, from: &'static str, bytes: usize) {
        self.read_bytes.get_or_create(&Origin { from }).inc_by(bytes as u64);
    }

    /// Records the time that a request waited at the gateway, and the time from the dispatch to the
    /// first event or the complete response.
    pub fn record_response(&self, dispatch: &Dispatch, first: Duration) {
        let labels = self.labels(dispatch);
        self.waited.get_or_create(&labels).observe(dispatch.inputs.waited.as_secs_f64());
        self.first.get_or_create(&labels).observe(first.as_secs_f64());
    }

    /// Returns the histogram for the times between the events of a stream, so that it is looked up
    /// only once for each stream.
    pub fn pause_histogram(&self, dispatch: &Dispatch) -> Histogram {
        self.pause.get_or_create(&self.labels(dispatch)).clone()
    }

    /// Records the time from the first event of a stream to its end.
    pub fn record_stream_end(&self, dispatch: &Dispatch, span: Duration) {
        self.stream.get_or_create(&self.labels(dispatch)).observe(span.as_secs_f64());
    }

    fn labels(&self, dispatch: &Dispatch) -> Labels {
        let account = dispatch.account.as_deref().unwrap_or_default();
        let account = String::from_utf8_lossy(account).into_owned();
        let labels = Labels { account, tier: dispatch.inputs.tier };
        let mut label_sets = self.label_sets.borrow_mut();
        if label_sets.contains(&labels) {
            return labels;
        }
        if label_sets.len() >= MAX_LABEL_SETS {
            return Labels { account: OTHER_ACCOUNTS.into(), tier: dispatch.inputs.tier };
        }
        label_sets.insert(labels.clone());
        labels
    }

    /// Records what callers take.
    pub fn record_callers(&self, callers: &caller::Registry) {
        let (bytes, connections) = callers.usage();
        self.callers_memory.set(bytes as i64);
        self.connections.set(connections as i64);
        let counts = callers.counts();
        let set = |outcome, count| {
            let counter = self.crowded_out.get_or_create(&Outcome { outcome });
            counter.inner().store(count, Ordering::Relaxed);
        };
        set("closed", counts.closed);
        set("refused", counts.refused);
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn encode(&self, now: Instant, machine: &Machine) -> Result<String, fmt::Error> {
        self.open.set(machine.open_count() as i64);
        self.age.set(machine.age(now).map_or(f64::INFINITY, |age| age.as_secs_f64()));
        let revision = machine.revision().map(Revision::from_ordinal);
        self.revision.set(revision.map_or(-1, |revision| revision.number as i64));
        self.era.set(revision.map_or(-1, |revision| revision.era as i64));
        self.memory.set(usage::resident_bytes().map_or(-1, |bytes| bytes as i64));
        self.outdated.set(machine.is_outdated().into());
        self.gateways.set(machine.gateways(now) as i64);
        let (suspects, quarantined) = machine.suspects().counts(now);
        self.suspects.set(suspects as i64);
        self.quarantined.set(quarantined as i64);
        self.limited.set(machine.limited_count() as i64);
        self.warming.set(machine.warming_count(now) as i64);
        let used = machine.warm_up_permits_used();
        self.warm_up_permits.inc_by(used.saturating_sub(self.warm_up_permits.get()));
        self.evacuated_zones.set(machine.evacuations().len() as i64);
        self.short_services.set(machine.short_count() as i64);
        self.dropped_log_lines.set(log::dropped_lines() as i64);
        if let Some(counts) = machine.hedge_counts() {
            self.record_hedges(&counts);
        }
        let mut page = String::new();
        text::encode(&mut page, &self.registry)?;
        Ok(page)
    }
}
