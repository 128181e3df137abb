//! Outlier ejection: agents that fail, fall silent or are slow are kept out of placement for
//! a time, never more than a set share of their pool.

use std::{collections::VecDeque, time::Duration};

use slotmap::SecondaryMap;
use wire::time::Instant;

use crate::view::{Key, View};

/// Failures in a row that eject an agent.
const FAILURES: u32 = 3;
/// Unanswered offers in a row that eject an agent, if another agent answered each of them.
const SILENT_OFFERS: u32 = 8;
/// An agent counts as silent only after this time without an answer; a burst of offers alone
/// is no evidence.
const SILENT_SPAN: Duration = Duration::from_secs(2);
/// Readiness samples needed for a latency comparison.
const MIN_SAMPLES: u32 = 20;
/// Samples of one agent between two latency comparisons, which read the whole pool.
const COMPARE_EVERY: u32 = 8;
/// Weight of a new sample in the moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Ratio to the pool's median above which an agent is an outlier.
const OUTLIER_RATIO: f64 = 5.0;
/// Averages below this many milliseconds are never outliers.
const OUTLIER_FLOOR_MS: f64 = 100.0;
/// First ejection; each further one doubles it.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Time in service that takes back one doubling.
const DECAY: Duration = Duration::from_secs(30);
/// Readiness samples kept for the median that operators see.
const RECENT: usize = 32;

/// What a health decision refers to.
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
    /// When the probe under way was sent.
    probe: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct Track {
    failures: u32,
    silent: u32,
    last_answer: Option<Instant>,
    ewma_ms: f64,
    samples: u32,
    recent: VecDeque<f64>,
    ejection: Option<Ejection>,
    doublings: u32,
    /// When the last ejection ended.
    readmitted: Instant,
}

/// Observed behaviour of every agent.
#[derive(Clone, Debug, Default)]
pub struct Health {
    tracks: SecondaryMap<Key, Track>,
}

impl Health {
    /// Returns whether placement may use an agent: it is not ejected, or its ejection time
    /// has passed and a probe is due.
    pub fn is_eligible(&self, now: Instant, key: Key) -> bool {
        let Some(ejection) = self.tracks.get(key).and_then(|track| track.ejection) else {
            return true;
        };
        // A probe without any result is repeated after the first ejection time.
        ejection.until <= now && ejection.probe.is_none_or(|sent| sent + BASE_EJECTION <= now)
    }

    /// Returns whether an agent is ejected; it remains so until a probe succeeds.
    pub fn is_ejected(&self, key: Key) -> bool {
        self.tracks.get(key).is_some_and(|track| track.ejection.is_some())
    }

    /// Returns the median of recent readiness times in milliseconds.
    pub fn ready_ms_p50(&self, key: Key) -> f64 {
        let Some(track) = self.tracks.get(key) else { return 0.0 };
        median(track.recent.iter().copied().collect()).unwrap_or(0.0)
    }

    /// Records that an offer was sent, which is the probe if the agent is ejected.
    pub fn record_offer(&mut self, now: Instant, key: Key) {
        if let Some(ejection) = self.tracks.get_mut(key).and_then(|track| track.ejection.as_mut()) {
            ejection.probe = Some(now);
        }
    }

    /// Records that an agent became ready for an offer after `latency`.
    pub fn record_ready(&mut self, scope: Context<'_>, key: Key, latency: Duration) {
        self.record_reply(scope.now, key);
        self.sample(scope, key, latency);
    }

    /// Records an answer that says nothing about speed, such as a refusal for room.
    pub fn record_reply(&mut self, now: Instant, key: Key) {
        let Some(track) = self.track(key) else { return };
        track.failures = 0;
        track.silent = 0;
        track.last_answer = Some(now);
        if track.ejection.take_if(|ejection| ejection.probe.is_some()).is_some() {
            track.readmitted = now;
            // The average that led to the ejection describes the past.
            track.samples = 0;
        }
    }

    /// Records an unreachable agent, a lost stream or a failed backend server.
    pub fn record_failure(&mut self, scope: Context<'_>, key: Key) {
        let Some(track) = self.track(key) else { return };
        track.failures += 1;
        let probed = track.ejection.is_some_and(|ejection| ejection.probe.is_some());
        if probed || track.failures >= FAILURES {
            self.eject(scope, key);
        }
    }

    /// Records that an offer was withdrawn unanswered after `elapsed`, since another agent
    /// was ready first or the deadline passed.
    pub fn record_withdrawal(&mut self, scope: Context<'_>, key: Key, elapsed: Duration) {
        let Some(track) = self.track(key) else { return };
        track.silent += 1;
        let answered = *track.last_answer.get_or_insert(scope.now);
        let span = scope.now.since(answered);
        if track.silent >= SILENT_OFFERS && span >= SILENT_SPAN {
            self.eject(scope, key);
            return;
        }
        // The readiness time is at least the elapsed time, so only a higher value counts.
        if elapsed.as_secs_f64() * 1e3 > track.ewma_ms {
            self.sample(scope, key, elapsed);
        }
    }

    /// Forgets hosts that left the view and readmits agents until no pool is over its
    /// ceiling; called after each change of the view or of the pools' settings.
    pub fn refresh(&mut self, view: &View, max_percent: impl Fn(&[u8]) -> u32) {
        self.tracks.retain(|key, _| view.get(key).is_some());
        for pool in view.pools() {
            let (live, mut ejected) = self.census(view, pool);
            let ceiling = ceiling(live, max_percent(pool));
            ejected.sort_by_key(|&key| self.tracks[key].ejection.map(|ejection| ejection.until));
            let excess = ejected.len().saturating_sub(ceiling);
            for &key in &ejected[..excess] {
                self.tracks[key].ejection = None;
                self.tracks[key].failures = 0;
            }
        }
    }

    fn track(&mut self, key: Key) -> Option<&mut Track> {
        // `None` for keys that a newer host took over.
        Some(self.tracks.entry(key)?.or_default())
    }

    fn sample(&mut self, scope: Context<'_>, key: Key, latency: Duration) {
        let Some(track) = self.track(key) else { return };
        let ms = latency.as_secs_f64() * 1e3;
        let weight = if track.samples == 0 { 1.0 } else { EWMA_WEIGHT };
        track.ewma_ms += weight * (ms - track.ewma_ms);
        track.samples += 1;
        track.recent.push_back(ms);
        if track.recent.len() > RECENT {
            track.recent.pop_front();
        }
        let (samples, ewma) = (track.samples, track.ewma_ms);
        let due = samples >= MIN_SAMPLES && samples.is_multiple_of(COMPARE_EVERY);
        if due && ewma > OUTLIER_FLOOR_MS && self.is_outlier(scope.view, key, ewma) {
            self.eject(scope, key);
        }
    }

    fn is_outlier(&self, view: &View, key: Key, ewma: f64) -> bool {
        let Some(host) = view.get(key) else { return false };
        let peers = view.agents(&host.record.pool).iter();
        let averages = peers
            .filter_map(|&peer| self.tracks.get(peer))
            .filter(|track| track.samples >= MIN_SAMPLES)
            .map(|track| track.ewma_ms)
            .collect();
        median(averages).is_some_and(|median| ewma > median * OUTLIER_RATIO)
    }

    fn eject(&mut self, scope: Context<'_>, key: Key) {
        let Some(host) = scope.view.get(key) else { return };
        let (live, ejected) = self.census(scope.view, &host.record.pool);
        let already = self.is_ejected(key);
        if !already && ejected.len() + 1 > ceiling(live, scope.max_percent) {
            return;
        }
        let Some(track) = self.track(key) else { return };
        if !already {
            let in_service = scope.now.since(track.readmitted);
            let decayed = (in_service.as_micros() / DECAY.as_micros()) as u32;
            track.doublings = track.doublings.saturating_sub(decayed);
        } else if track.ejection.is_some_and(|ejection| scope.now < ejection.until) {
            return;
        }
        let span = BASE_EJECTION.saturating_mul(1 << track.doublings.min(16)).min(MAX_EJECTION);
        track.doublings = (track.doublings + 1).min(16);
        track.failures = 0;
        track.silent = 0;
        track.ejection = Some(Ejection { until: scope.now + span, probe: None });
    }

    /// Returns the number of live agents of a pool and the ejected ones among them.
    fn census(&self, view: &View, pool: &[u8]) -> (usize, Vec<Key>) {
        let live = || view.agents(pool).iter().copied().filter(|&key| view.accepts_work(key));
        (live().count(), live().filter(|&key| self.is_ejected(key)).collect())
    }
}

fn ceiling(live: usize, max_percent: u32) -> usize {
    live * max_percent.min(100) as usize / 100
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len().checked_sub(1)? / 2).copied()
}
