//! Throttle of a plain service by the answers that come late, for the time in which a gateway doesn't
//! receive the load of others.
//!
//! The share of the requests that are sent rises with each answer in time and falls with each late
//! one or rejection, so that it settles where a few in ten are late.

/// Largest value of the share. Beyond 1, it is a reserve for single late answers: a service whose
/// servers have free slots has some.
const MAX_SHARE: f64 = 1.5;
/// Smallest value of the share. Some requests must be sent to learn that servers have capacity.
const MIN_SHARE: f64 = 0.1;
/// Added to the share for an answer in time. At ten answers a second, the share doubles in a few
/// seconds.
const INCREASE: f64 = 0.03;
/// Factor on the share for a late answer or a rejection. With `INCREASE`, the share settles where a
/// quarter of the answers is late, if half of the requests can be answered.
const DECREASE: f64 = 0.85;

/// Share of the requests of one service that this gateway sends.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    share: f64,
}

impl Default for Throttle {
    fn default() -> Throttle {
        Throttle { share: MAX_SHARE }
    }
}

impl Throttle {
    /// Records a request that its server answered, in time or not, or rejected.
    pub fn record(&mut self, is_in_time: bool) {
        self.share = match is_in_time {
            true => (self.share + INCREASE).min(MAX_SHARE),
            false => (self.share * DECREASE).max(MIN_SHARE),
        };
    }

    /// Returns the share of the requests that are refused.
    pub fn refused_share(&self) -> f64 {
        (1.0 - self.share).max(0.0)
    }
}
