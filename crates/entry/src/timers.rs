//! Armed timers in order of their time, one for each open request or key request.

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

/// Armed timers.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    order: BTreeSet<(Instant, Owner)>,
}

impl Timers {
    /// Arms a timer and disarms the owner's previous one, which was armed for `old`.
    pub fn arm(&mut self, owner: Owner, old: Option<Instant>, at: Instant) {
        self.disarm(owner, old);
        self.order.insert((at, owner));
    }

    /// Disarms the timer that was armed for `at`.
    pub fn disarm(&mut self, owner: Owner, at: Option<Instant>) {
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
