//! Units of a sliding window of time, counted in slices.

use std::{collections::VecDeque, time::Duration};

use wire::time::Instant;

/// Sum of the units of a window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sum {
    /// Units by the start time of their slice, the oldest first.
    pub slices: VecDeque<(Instant, f64)>,
    pub total: f64,
}

impl Sum {
    /// Adds units to the last slice, or to a new one if that is older than `slice_duration`.
    pub fn add(&mut self, now: Instant, units: f64, slice_duration: Duration) {
        self.total += units;
        match self.slices.back_mut() {
            Some((at, sum)) if now.since(*at) < slice_duration => *sum += units,
            _ => self.slices.push_back((now, units)),
        }
    }

    /// Removes the slices that began more than `max_age` ago.
    pub fn expire(&mut self, now: Instant, max_age: Duration) {
        while let Some((at, units)) = self.slices.front().copied() {
            if now.since(at) <= max_age {
                break;
            }
            self.total -= units;
            self.slices.pop_front();
        }
        if self.slices.is_empty() {
            self.total = 0.0;
        }
    }
}
