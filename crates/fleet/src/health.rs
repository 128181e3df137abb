//! Outlier ejection: agents that fail, are unresponsive or slow are excluded from placement for
//! a time, at most a configured share of their pool.

use std::{collections::VecDeque, time::Duration};

use slotmap::SecondaryMap;
use wire::time::Instant;

use crate::view::{Key, View};

/// Failures in a row that eject an agent.
const FAILURES_TO_EJECT: u32 = 3;
/// Offers in a row without a reply that eject an agent; each was withdrawn since another agent
/// was ready first or the deadline passed.
const NO_REPLY_OFFERS_TO_EJECT: u32 = 8;
/// Time without a reply before an agent counts as unresponsive, since a burst of offers alone
/// shows nothing.
const MIN_UNRESPONSIVE_TIME: Duration = Duration::from_secs(2);
/// Readiness samples needed for a latency comparison.
const MIN_SAMPLES: u32 = 20;
/// Samples of one agent between two latency comparisons, each of which reads the whole pool.
const SAMPLES_PER_COMPARISON: u32 = 8;
/// Weight of a new sample in the moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Ratio to the pool's median above which an agent is an outlier.
const OUTLIER_RATIO: f64 = 5.0;
/// Averages below this many milliseconds are never outliers.
const OUTLIER_FLOOR_MS: f64 = 100.0;
/// Duration of the first ejection; each further one doubles it.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Time in service after which one doubling is undone.
const DOUBLING_DECAY: Duration = Duration::from_secs(30);
/// Readiness samples of which operators are shown the median.
const RECENT_SAMPLES: usize = 32;

/// Inputs of a health decision.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    pub now: Instant,
    pub view: &'a View,
    /// `max_ejected_percent` of the agent's pool.
    pub max_percent: u32,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    /// When the probe without a result so far was sent.
    probe_sent_at: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct Stats {
    failures: u32,
    offers_without_reply: u32,
    last_reply: Option<Instant>,
    ewma_ms: f64,
    samples: u32,
    recent_ms: VecDeque<f64>,
    ejection: Option<Ejection>,
    doublings: u32,
    /// When the last ejection ended.
    readmitted_at: Instant,
}

/// Observed health of every agent.
#[derive(Clone, Debug, Default)]
pub struct Health {
    stats: SecondaryMap<Key, Stats>,
}

impl Health {
    /// Returns whether placement may choose an agent: it is not ejected, or its ejection time
    /// has passed and a probe is due.
    pub fn is_eligible(&self, now: Instant, key: Key) -> bool {
        let Some(ejection) = self.stats.get(key).and_then(|stats| stats.ejection) else {
            return true;
        };
        // A probe without a result is repeated after `BASE_EJECTION`.
        ejection.until <= now
            && ejection.probe_sent_at.is_none_or(|sent| sent + BASE_EJECTION <= now)
    }

    /// Returns whether an agent is ejected; it remains so until a probe succeeds.
    pub fn is_ejected(&self, key: Key) -> bool {
        self.stats.get(key).is_some_and(|stats| stats.ejection.is_some())
    }

    /// Returns the median of recent readiness times in milliseconds.
    pub fn ready_ms_p50(&self, key: Key) -> f64 {
        let Some(stats) = self.stats.get(key) else { return 0.0 };
        median(stats.recent_ms.iter().copied().collect()).unwrap_or(0.0)
    }

    /// Records that an offer was sent. If the agent is ejected, this offer is its probe.
    pub fn record_offer(&mut self, now: Instant, key: Key) {
        if let Some(ejection) = self.stats.get_mut(key).and_then(|stats| stats.ejection.as_mut()) {
            ejection.probe_sent_at = Some(now);
        }
    }

    /// Records that an agent became ready for an offer after `latency`.
    pub fn record_ready(&mut self, context: Context<'_>, key: Key, latency: Duration) {
        self.record_reply(context.now, key);
        self.add_sample(context, key, latency);
    }

    /// Records a reply that is no readiness sample, such as a refusal for lack of capacity.
    pub fn record_reply(&mut self, now: Instant, key: Key) {
        let Some(stats) = self.stats_mut(key) else { return };
        stats.failures = 0;
        stats.offers_without_reply = 0;
        stats.last_reply = Some(now);
        if stats.ejection.take_if(|ejection| ejection.probe_sent_at.is_some()).is_some() {
            stats.readmitted_at = now;
            // The average that led to the ejection is out of date.
            stats.samples = 0;
        }
    }

    /// Records an unreachable agent, a broken stream or a failed backend server.
    pub fn record_failure(&mut self, context: Context<'_>, key: Key) {
        let Some(stats) = self.stats_mut(key) else { return };
        stats.failures += 1;
        let is_probed = stats.ejection.is_some_and(|ejection| ejection.probe_sent_at.is_some());
        if is_probed || stats.failures >= FAILURES_TO_EJECT {
            self.eject(context, key);
        }
    }

    /// Records that an offer without a reply was withdrawn after `elapsed`, since another agent
    /// was ready first or the deadline passed.
    pub fn record_withdrawal(&mut self, context: Context<'_>, key: Key, elapsed: Duration) {
        let Some(stats) = self.stats_mut(key) else { return };
        stats.offers_without_reply += 1;
        let last_reply = *stats.last_reply.get_or_insert(context.now);
        let duration = context.now.since(last_reply);
        if stats.offers_without_reply >= NO_REPLY_OFFERS_TO_EJECT
            && duration >= MIN_UNRESPONSIVE_TIME
        {
            self.eject(context, key);
            return;
        }
        // The readiness time would have been at least `elapsed`, so it is a sample only if it
        // raises the average.
        if elapsed.as_secs_f64() * 1e3 > stats.ewma_ms {
            self.add_sample(context, key, elapsed);
        }
    }

    /// Removes hosts that are no longer in the view and readmits agents until no pool has more
    /// ejected than allowed. Has to be called after each change of the view or of the pools'
    /// settings.
    pub fn refresh(&mut self, view: &View, max_percent: impl Fn(&[u8]) -> u32) {
        self.stats.retain(|key, _| view.get(key).is_some());
        for pool in view.pools() {
            let (active, mut ejected) = self.count_agents(view, pool);
            let max_ejected = max_ejected_count(active, max_percent(pool));
            ejected.sort_by_key(|&key| self.stats[key].ejection.map(|ejection| ejection.until));
            let excess = ejected.len().saturating_sub(max_ejected);
            for &key in &ejected[..excess] {
                self.stats[key].ejection = None;
                self.stats[key].failures = 0;
            }
        }
    }

    fn stats_mut(&mut self, key: Key) -> Option<&mut Stats> {
        // `None` if the key is older than that of the host now in its slot.
        Some(self.stats.entry(key)?.or_default())
    }

    fn add_sample(&mut self, context: Context<'_>, key: Key, latency: Duration) {
        let Some(stats) = self.stats_mut(key) else { return };
        let ms = latency.as_secs_f64() * 1e3;
        let weight = if stats.samples == 0 { 1.0 } else { EWMA_WEIGHT };
        stats.ewma_ms += weight * (ms - stats.ewma_ms);
        stats.samples += 1;
        stats.recent_ms.push_back(ms);
        if stats.recent_ms.len() > RECENT_SAMPLES {
            stats.recent_ms.pop_front();
        }
        let (samples, ewma) = (stats.samples, stats.ewma_ms);
        let is_due = samples >= MIN_SAMPLES && samples.is_multiple_of(SAMPLES_PER_COMPARISON);
        if is_due && ewma > OUTLIER_FLOOR_MS && self.is_outlier(context.view, key, ewma) {
            self.eject(context, key);
        }
    }

    fn is_outlier(&self, view: &View, key: Key, ewma: f64) -> bool {
        let Some(host) = view.get(key) else { return false };
        let peers = view.agents(&host.record.pool).iter();
        let averages = peers
            .filter_map(|&peer| self.stats.get(peer))
            .filter(|stats| stats.samples >= MIN_SAMPLES)
            .map(|stats| stats.ewma_ms)
            .collect();
        median(averages).is_some_and(|median| ewma > median * OUTLIER_RATIO)
    }

    fn eject(&mut self, context: Context<'_>, key: Key) {
        let Some(host) = context.view.get(key) else { return };
        let (active, ejected) = self.count_agents(context.view, &host.record.pool);
        let is_ejected = self.is_ejected(key);
        if !is_ejected && ejected.len() + 1 > max_ejected_count(active, context.max_percent) {
            return;
        }
        let Some(stats) = self.stats_mut(key) else { return };
        if !is_ejected {
            let in_service = context.now.since(stats.readmitted_at);
            let decayed = (in_service.as_micros() / DOUBLING_DECAY.as_micros()) as u32;
            stats.doublings = stats.doublings.saturating_sub(decayed);
        } else if stats.ejection.is_some_and(|ejection| context.now < ejection.until) {
            return;
        }
        let duration = BASE_EJECTION.saturating_mul(1 << stats.doublings.min(16)).min(MAX_EJECTION);
        stats.doublings = (stats.doublings + 1).min(16);
        stats.failures = 0;
        stats.offers_without_reply = 0;
        stats.ejection = Some(Ejection { until: context.now + duration, probe_sent_at: None });
    }

    /// Returns the number of agents of a pool that accept work, and the ejected ones among them.
    fn count_agents(&self, view: &View, pool: &[u8]) -> (usize, Vec<Key>) {
        let active = || view.agents(pool).iter().copied().filter(|&key| view.accepts_work(key));
        (active().count(), active().filter(|&key| self.is_ejected(key)).collect())
    }
}

fn max_ejected_count(active: usize, max_percent: u32) -> usize {
    active * max_percent.min(100) as usize / 100
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len().checked_sub(1)? / 2).copied()
}
