//! Deadlines of everything that waits, in order.

use std::collections::BTreeSet;

use wire::{id, time::Instant};

use crate::queue;

/// What a deadline belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Queued(queue::Key),
    Reserved(u64),
    Stream(id::Grant),
    Key(u64),
    /// The engine's pause or the hold before an isolated run ends.
    Backend,
}

/// Armed deadlines; each is disarmed when its owner goes, so the set stays bounded.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    pub(crate) fn arm(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    pub(crate) fn disarm(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// Returns the earliest deadline.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer due by `now`.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let (at, _) = self.0.first()?;
        if *at > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
