//! Timers in order of time, one for each open request or key request.

use std::collections::BTreeSet;

use wire::time::Instant;

use crate::open_request;

/// Request that a timer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    Request(open_request::Key),
    /// A key request, by its caller.
    KeyRequest(u64),
}

/// The timers that are set.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    order: BTreeSet<(Instant, Owner)>,
}

impl Timers {
    /// Sets a timer and removes the owner's previous one, which was set for `old`.
    pub fn set(&mut self, owner: Owner, old: Option<Instant>, at: Instant) {
        self.clear(owner, old);
        self.order.insert((at, owner));
    }

    /// Removes the timer that was set for `at`.
    pub fn clear(&mut self, owner: Owner, at: Option<Instant>) {
        if let Some(at) = at {
            self.order.remove(&(at, owner));
        }
    }

    /// Removes and returns the next timer that is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<Owner> {
        self.order.first().filter(|(at, _)| *at <= now)?;
        self.order.pop_first().map(|(_, owner)| owner)
    }

    /// Returns when the next timer is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.order.first().map(|&(at, _)| at)
    }
}
