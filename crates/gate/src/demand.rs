//! Demand of an account at each gateway, by which gateways divide what is left of a limit.
//!
//! A gateway learns what others admit only with their next reports, after a second or more in a
//! large deployment. If all of them used what seems to be left, they would exceed it together by
//! what they admit in that time. Therefore each gateway allows for the units that others are
//! expected to have admitted since their last reports, up to their parts of what is left.

use std::{collections::HashMap, time::Duration};

use wire::time::Instant;

use crate::{quota::GatewayCounts, window};

/// Weight of the latest measurement in the demand.
const MEASUREMENT_WEIGHT: f64 = 0.5;
/// Part of the mean demand that each gateway is given beside its own, so that one without demand so
/// far can admit something.
const MEAN_SHARE: f64 = 0.1;
/// Shortest time between reports from which a demand is derived.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(50);
/// Time within which a report is received, as a rule.
const REPORT_LATENCY: Duration = Duration::from_millis(100);
/// Resolution of the units that other gateways may not know yet.
const SLICE_DURATION: Duration = Duration::from_millis(50);

/// Last reports of peers by process.
pub(crate) type Reports = HashMap<u64, Report>;

/// What a peer last reported of one account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub at: Instant,
    /// Units admitted since the start of the process.
    pub admitted: f64,
    /// Units a second that were asked of it.
    pub per_s: f64,
}

impl Report {
    /// Returns a report with the demand that the peer stated, or else what it has admitted since its
    /// last report, or since its start `age` ago.
    pub fn new(
        at: Instant,
        age: Duration,
        admitted: f64,
        stated: Option<f64>,
        last: Option<Report>,
    ) -> Report {
        let (since, time) = match last {
            Some(last) => (last.admitted, at.since(last.at)),
            None => (0.0, age),
        };
        let per_s = stated.unwrap_or_else(|| match time >= MIN_MEASURED_TIME {
            true => (admitted - since).max(0.0) / time.as_secs_f64(),
            false => last.map_or(0.0, |last| last.per_s),
        });
        Report { at, admitted, per_s }
    }
}

/// Demand of one account at this gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    /// Admitted units that other gateways may not know yet.
    admitted: window::Sum,
    /// Units asked in the last report delay, admitted or not, and their squares by request.
    asked: window::Sum,
    asked_squares: window::Sum,
    /// Units asked since the last measurement.
    unmeasured: f64,
    /// Whether the account was near its limit since then.
    is_near_limit: bool,
    /// Units a second at the last measurement; `None` before the first one.
    per_s: Option<f64>,
    /// Whether the demand is stated to peers.
    is_stated: bool,
}

impl Meter {
    /// Records that units were asked, whether they are admitted or not.
    pub fn ask(&mut self, now: Instant, units: f64, is_near_limit: bool) {
        self.asked.add(now, units, SLICE_DURATION);
        self.asked_squares.add(now, units * units, SLICE_DURATION);
        self.unmeasured += units;
        self.is_near_limit |= is_near_limit;
    }

    /// Records admitted units, or a refund if they are negative.
    pub fn admit(&mut self, now: Instant, units: f64) {
        self.admitted.add(now, units, SLICE_DURATION);
    }

    /// Removes the units that all gateways know by now. The last report was sent `since_report` ago.
    pub fn expire(&mut self, now: Instant, report_delay: Duration, since_report: Duration) {
        let unknown_for = report_delay.min(since_report + REPORT_LATENCY);
        self.admitted.expire(now, unknown_for + SLICE_DURATION);
        self.asked.expire(now, report_delay + SLICE_DURATION);
        self.asked_squares.expire(now, report_delay + SLICE_DURATION);
    }

    /// Measures the demand over the time since the last measurement.
    pub fn measure(&mut self, time: Duration) {
        if time.is_zero() {
            return;
        }
        let latest = self.unmeasured / time.as_secs_f64();
        let earlier = self.per_s.unwrap_or(latest);
        self.per_s = Some(earlier + (latest - earlier) * MEASUREMENT_WEIGHT);
        self.is_stated = self.is_near_limit;
        (self.unmeasured, self.is_near_limit) = (0.0, false);
    }

    /// Returns the units a second that peers are told.
    pub fn stated(&self) -> Option<f64> {
        self.per_s.filter(|per_s| self.is_stated && *per_s >= 1.0)
    }

    /// Returns the units that were admitted here and that other gateways may not know yet.
    pub fn recent(&self) -> f64 {
        self.admitted.total
    }

    /// Returns the units that other gateways are expected to have admitted without a report that
    /// was received here, at most their parts of what is left of the limit without the recent units
    /// of this gateway.
    pub fn unreported_of_others(
        &self,
        now: Instant,
        reports: Option<&Reports>,
        counts: GatewayCounts,
        left: f64,
    ) -> f64 {
        let reporting = counts.serving.saturating_sub(counts.silent) as f64;
        if reporting <= 1.0 {
            return 0.0;
        }
        let (mut others_per_s, mut expected, mut known) = (0.0, 0.0, 0);
        let reports = reports.into_iter().flat_map(HashMap::values);
        for report in reports.filter(|report| now.since(report.at) < counts.max_report_age) {
            others_per_s += report.per_s;
            expected += report.per_s * now.since(report.at).as_secs_f64();
            known += 1;
        }
        // Gateways that started as recently as this one are expected to be asked for as much. Few
        // requests say little about the others, so their deviation is left out.
        let unknown = counts.starting.min((reporting as usize - 1).saturating_sub(known)) as f64;
        expected +=
            unknown * (self.asked.total - self.asked_squares.total.max(0.0).sqrt()).max(0.0);
        let all_per_s = others_per_s + self.per_s.unwrap_or(0.0);
        let part = match self.per_s {
            Some(own) if all_per_s > 0.0 && 2.0 * unknown < reporting => {
                let settled = reporting - unknown;
                let mean = all_per_s / settled;
                let share = (own + mean * MEAN_SHARE) / (all_per_s * (1.0 + MEAN_SHARE));
                share * settled / reporting
            }
            _ => 1.0 / reporting,
        };
        expected.min((1.0 - part) * left.max(0.0))
    }
}
