//! Points in time for the state machines, which get the time with each event and read no clock.

use std::{ops, time::Duration};

use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, in microseconds since an arbitrary origin.
///
/// Instants of different processes are not comparable and are never sent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant(self.0.saturating_add(span.as_micros() as u64))
    }
}
