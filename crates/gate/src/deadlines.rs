//! Deadlines that callers state when they first request, which tell how long ago that was.
//!
//! A caller that was refused comes back with what is left of its time. Its answer is late when
//! the objective has passed since the first request, whatever the gateway does now.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;

use crate::catalog::Route;

/// Part of the distance by which a longer deadline raises the estimate. Most requests are first
/// ones, or at least a good part of them.
const RISE: f64 = 0.2;
/// Largest rise at once, as a part of the estimate, so that a caller with much time of its own
/// does not make all others look late.
const MAX_RISE: f64 = 0.02;
/// Part of the distance by which a shorter deadline lowers the estimate: a tenth of the rise,
/// since callers who come back are many in a burst.
const FALL: f64 = 0.02;

/// Estimates by route.
#[derive(Clone, Debug, Default)]
pub struct Deadlines(HashMap<(Bytes, Bytes), f64>);

impl Deadlines {
    /// Notes a stated deadline and returns the time since the caller's first request.
    pub fn record(&mut self, route: &Route, stated: Option<Duration>) -> Duration {
        let Some(stated) = stated.map(|stated| stated.as_secs_f64()) else {
            return Duration::ZERO;
        };
        let key = (route.host.clone(), route.prefix.clone());
        let first = self.0.entry(key).or_insert(stated);
        let elapsed = (*first - stated).max(0.0);
        *first += match stated > *first {
            true => ((stated - *first) * RISE).min(*first * MAX_RISE),
            false => (stated - *first) * FALL,
        };
        Duration::from_secs_f64(elapsed)
    }
}
