//! Armed timers in order of their time.

use std::collections::BTreeSet;

use wire::{id, time::Instant};

use crate::queue;

/// What a timer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Queued(queue::Key),
    /// End of a reservation, by the sequence number of its grant.
    Reserved(u64),
    Stream(id::Grant),
    /// Expiry of an idempotency key or of its first waiter, by the sequence number of the key.
    Key(u64),
    /// End of a pause after a failed connection, of the preparation of an exclusive run, of the
    /// time before the next exclusive run, or of an aborted request's entry.
    Backend,
}

/// Armed timers. Each is disarmed when its owner is removed, so the set stays bounded.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    pub(crate) fn arm(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    pub(crate) fn disarm(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// Returns when the next timer is due.
    pub(crate) fn next_due(&self) -> Option<Instant> {
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
