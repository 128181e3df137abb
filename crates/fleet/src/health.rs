//! Outlier ejection: agents that fail, are unresponsive or slow are excluded from placement for
//! a time, at most a configured share of their pool.
//!
//! The readiness time of an agent, its latency here, is the time from an offer to the reply that a
//! slot is reserved.

use std::{collections::VecDeque, time::Duration};

use slotmap::SecondaryMap;
use wire::time::Instant;

use crate::view::{Key, View};

/// Failures in a row that eject an agent.
const FAILURES_TO_EJECT: u32 = 3;
/// Withdrawn offers in a row without a reply that eject an agent, if `MIN_TIME_WITHOUT_REPLY` has
/// passed as well.
const OFFERS_WITHOUT_REPLY_TO_EJECT: u32 = 8;
/// Shortest time without a reply for such an ejection, since a burst of withdrawn offers alone is
/// no evidence that the agent is unresponsive.
const MIN_TIME_WITHOUT_REPLY: Duration = Duration::from_secs(2);
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
/// Time in service that undoes one doubling.
const DOUBLING_DECAY: Duration = Duration::from_secs(30);
/// Latest readiness samples kept for the median that operators are shown.
const RECENT_SAMPLES: usize = 32;

/// State that a health decision depends on.
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
    /// When the latest probe was sent, which has no result yet.
    probe_sent_at: Option<Instant>,
}

/// Observations of one agent, and its ejection.
#[derive(Clone, Debug, Default)]
struct Agent {
    /// Failures since the last reply or ejection.
    failures: u32,
    /// Offers withdrawn since the last reply or ejection.
    offers_without_reply: u32,
    last_reply: Option<Instant>,
    ewma_ms: f64,
    /// Number of samples in `ewma_ms`.
    samples: u32,
    recent_ms: VecDeque<f64>,
    ejection: Option<Ejection>,
    /// Doublings of the duration of the next ejection.
    doublings: u32,
    /// When the last ejection ended.
    readmitted_at: Instant,
}

/// Observed health of every agent.
#[derive(Clone, Debug, Default)]
pub struct Health {
    agents: SecondaryMap<Key, Agent>,
}

impl Health {
    /// Returns whether placement may choose an agent: it is not ejected, or its ejection time
    /// has passed and a probe is due.
    pub fn is_eligible(&self, now: Instant, key: Key) -> bool {
        let Some(ejection) = self.agents.get(key).and_then(|agent| agent.ejection) else {
            return true;
        };
        // A probe without a result is repeated after `BASE_EJECTION`.
        ejection.until <= now
            && ejection.probe_sent_at.is_none_or(|sent| sent + BASE_EJECTION <= now)
    }

    /// Returns whether an agent is ejected; it remains so until a probe succeeds.
    pub fn is_ejected(&self, key: Key) -> bool {
        self.agents.get(key).is_some_and(|agent| agent.ejection.is_some())
    }

    /// Returns the median of recent readiness times in milliseconds.
    pub fn ready_ms_p50(&self, key: Key) -> f64 {
        let Some(agent) = self.agents.get(key) else { return 0.0 };
        median(agent.recent_ms.iter().copied().collect()).unwrap_or(0.0)
    }

    /// Records that an offer was sent. If the agent is ejected, this offer is its probe.
    pub fn record_offer(&mut self, now: Instant, key: Key) {
        if let Some(ejection) = self.agents.get_mut(key).and_then(|agent| agent.ejection.as_mut()) {
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
        let Some(agent) = self.agent_mut(key) else { return };
        agent.failures = 0;
        agent.offers_without_reply = 0;
        agent.last_reply = Some(now);
        if agent.ejection.take_if(|ejection| ejection.probe_sent_at.is_some()).is_some() {
            agent.readmitted_at = now;
            // The average that led to the ejection is out of date.
            agent.samples = 0;
        }
    }

    /// Records an unreachable agent, a broken stream or a failed backend server.
    pub fn record_failure(&mut self, context: Context<'_>, key: Key) {
        let Some(agent) = self.agent_mut(key) else { return };
        agent.failures += 1;
        let is_probed = agent.ejection.is_some_and(|ejection| ejection.probe_sent_at.is_some());
        if is_probed || agent.failures >= FAILURES_TO_EJECT {
            self.eject(context, key);
        }
    }

    /// Records that an offer without a reply was withdrawn after `elapsed`, since another agent
    /// was ready first or the deadline passed.
    pub fn record_withdrawal(&mut self, context: Context<'_>, key: Key, elapsed: Duration) {
        let Some(agent) = self.agent_mut(key) else { return };
        agent.offers_without_reply += 1;
        let last_reply = *agent.last_reply.get_or_insert(context.now);
        let time_without_reply = context.now.since(last_reply);
        if agent.offers_without_reply >= OFFERS_WITHOUT_REPLY_TO_EJECT
            && time_without_reply >= MIN_TIME_WITHOUT_REPLY
        {
            self.eject(context, key);
            return;
        }
        // The readiness time would have been at least `elapsed`, so it is a sample only if it
        // raises the average.
        if elapsed.as_secs_f64() * 1e3 > agent.ewma_ms {
            self.add_sample(context, key, elapsed);
        }
    }

    /// Removes hosts that are no longer in the view and readmits agents until no pool has more
    /// ejected agents than allowed. Has to be called after each change of the view or of the pools'
    /// settings.
    pub fn refresh(&mut self, view: &View, max_percent: impl Fn(&[u8]) -> u32) {
        self.agents.retain(|key, _| view.get(key).is_some());
        for pool in view.pools() {
            let (active, mut ejected) = self.count_agents(view, pool);
            let max_ejected = max_ejected_count(active, max_percent(pool));
            ejected.sort_by_key(|&key| self.agents[key].ejection.map(|ejection| ejection.until));
            let excess = ejected.len().saturating_sub(max_ejected);
            for &key in &ejected[..excess] {
                self.agents[key].ejection = None;
                self.agents[key].failures = 0;
            }
        }
    }

    fn agent_mut(&mut self, key: Key) -> Option<&mut Agent> {
        // `None` if the key is older than that of the host now in its slot.
        Some(self.agents.entry(key)?.or_default())
    }

    fn add_sample(&mut self, context: Context<'_>, key: Key, latency: Duration) {
        let Some(agent) = self.agent_mut(key) else { return };
        let ms = latency.as_secs_f64() * 1e3;
        let weight = if agent.samples == 0 { 1.0 } else { EWMA_WEIGHT };
        agent.ewma_ms += weight * (ms - agent.ewma_ms);
        agent.samples += 1;
        agent.recent_ms.push_back(ms);
        if agent.recent_ms.len() > RECENT_SAMPLES {
            agent.recent_ms.pop_front();
        }
        let (samples, ewma) = (agent.samples, agent.ewma_ms);
        let is_due = samples >= MIN_SAMPLES && samples.is_multiple_of(SAMPLES_PER_COMPARISON);
        if is_due && ewma > OUTLIER_FLOOR_MS && self.is_outlier(context.view, key, ewma) {
            self.eject(context, key);
        }
    }

    fn is_outlier(&self, view: &View, key: Key, ewma: f64) -> bool {
        let Some(host) = view.get(key) else { return false };
        let peers = view.agents(&host.record.pool).iter();
        let averages = peers
            .filter_map(|&peer| self.agents.get(peer))
            .filter(|agent| agent.samples >= MIN_SAMPLES)
            .map(|agent| agent.ewma_ms)
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
        let Some(agent) = self.agent_mut(key) else { return };
        if !is_ejected {
            let in_service = context.now.since(agent.readmitted_at);
            let decayed = (in_service.as_micros() / DOUBLING_DECAY.as_micros()) as u32;
            agent.doublings = agent.doublings.saturating_sub(decayed);
        } else if agent.ejection.is_some_and(|ejection| context.now < ejection.until) {
            return;
        }
        let duration = BASE_EJECTION.saturating_mul(1 << agent.doublings.min(16)).min(MAX_EJECTION);
        agent.doublings = (agent.doublings + 1).min(16);
        agent.failures = 0;
        agent.offers_without_reply = 0;
        agent.ejection = Some(Ejection { until: context.now + duration, probe_sent_at: None });
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
