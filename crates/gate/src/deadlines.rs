//! Estimates of the deadline that callers state with their first attempt, by route.
//!
//! A caller that was refused retries with its remaining time as the deadline. The difference from
//! the estimate is the time since its first attempt. Its response is late if the objective has
//! passed since then, however soon the request is served now.
//!
//! Callers of one route don't all have the same patience, so a deadline that is only a little shorter
//! than the estimate says nothing. Times to retry after are chosen such that the remaining time of a
//! caller that keeps them is shorter than that; see `admission::RETRY_SHARES`.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;

use crate::catalog::Route;

/// Part of the difference by which a longer deadline raises the estimate. Most requests, or at
/// least a considerable part of them, are first attempts.
const RISE_WEIGHT: f64 = 0.2;
/// Largest single rise, as a part of the estimate, so that one caller with a long deadline does not
/// make all others appear late.
const MAX_RISE_RATIO: f64 = 0.02;
/// Part of the difference by which a shorter deadline lowers the estimate: a tenth of the rise,
/// since a burst has many retries.
const FALL_WEIGHT: f64 = 0.02;

/// Part of the estimate from which a stated deadline counts as that of a first attempt. The deadlines
/// of first attempts differ by up to 0.15 on the deployments so far; if they counted as elapsed time,
/// a third of the new callers would be served last.
const FIRST_ATTEMPT_SHARE: f64 = 0.84;

/// Estimates by route.
#[derive(Clone, Debug, Default)]
pub struct Deadlines(HashMap<(Bytes, Bytes), f64>);

impl Deadlines {
    /// Records a stated deadline and returns the time since the caller's first attempt.
    pub fn record(&mut self, route: &Route, stated: Option<Duration>) -> Duration {
        let Some(stated) = stated.map(|stated| stated.as_secs_f64()) else {
            return Duration::ZERO;
        };
        let key = (route.host.clone(), route.prefix.clone());
        let estimate = self.0.entry(key).or_insert(stated);
        let elapsed = match stated >= *estimate * FIRST_ATTEMPT_SHARE {
            true => 0.0,
            false => *estimate - stated,
        };
        *estimate += match stated > *estimate {
            true => ((stated - *estimate) * RISE_WEIGHT).min(*estimate * MAX_RISE_RATIO),
            false => (stated - *estimate) * FALL_WEIGHT,
        };
        Duration::from_secs_f64(elapsed)
    }
}
