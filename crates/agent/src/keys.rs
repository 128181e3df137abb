//! Idempotency keys issued by this process.

use std::collections::HashMap;

use bytes::Bytes;
use wire::{id, key, request, time::Instant};

use crate::Link;

/// Keys kept at once. A full table refuses new ones, since dropping a key early would break its
/// promised lifetime.
const MAX_KEYS: usize = 32_768;
/// Offers that may wait for the outcome of another one with the same key.
const MAX_WAITERS: usize = 16;

/// An offer that waits for the outcome of another one with the same key.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) link: Link,
    pub(crate) head: request::Head,
    pub(crate) deadline: Instant,
}

/// State of a key.
#[derive(Debug)]
pub(crate) enum State {
    Unused,
    /// An offer with this key is queued or has a reserved slot. The waiters are further offers with
    /// the same key.
    Pending(Vec<Waiter>),
    /// A request with this key was committed.
    Used(id::Grant),
}

/// One issued key.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) expires_at: Instant,
    pub(crate) route: Bytes,
    /// Fingerprint of the offer that uses the key; others have to match it.
    pub(crate) fingerprint: Option<u64>,
    pub(crate) state: State,
    /// Time for which its timer is armed.
    pub(crate) armed_for: Instant,
}

impl Record {
    /// Returns when the key expires or the first deadline of a waiter passes.
    pub(crate) fn due_at(&self) -> Instant {
        match &self.state {
            State::Pending(waiters) => {
                let first = waiters.iter().map(|waiter| waiter.deadline).min();
                first.map_or(self.expires_at, |deadline| deadline.min(self.expires_at))
            }
            _ => self.expires_at,
        }
    }

    /// Returns the list of waiters if one more may be added.
    pub(crate) fn waiters_if_not_full(&mut self) -> Option<&mut Vec<Waiter>> {
        match &mut self.state {
            State::Pending(waiters) if waiters.len() < MAX_WAITERS => Some(waiters),
            _ => None,
        }
    }

    /// Sets the state and returns the waiters of the previous one.
    pub(crate) fn replace_state(&mut self, state: State) -> Vec<Waiter> {
        match std::mem::replace(&mut self.state, state) {
            State::Pending(waiters) => waiters,
            _ => Vec::new(),
        }
    }
}

/// Keys by sequence number.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    records: HashMap<u64, Record>,
    last_seq: u64,
}

impl Keys {
    /// Issues a key, or returns `None` if the table is full.
    pub(crate) fn issue(&mut self, route: Bytes, expires_at: Instant) -> Option<u64> {
        if self.records.len() == MAX_KEYS {
            return None;
        }
        self.last_seq += 1;
        let state = State::Unused;
        let record = Record { expires_at, route, fingerprint: None, state, armed_for: expires_at };
        self.records.insert(self.last_seq, record);
        Some(self.last_seq)
    }

    /// Returns whether a key was issued, even if it has expired since.
    pub(crate) fn was_issued(&self, key: &key::Key) -> bool {
        (1..=self.last_seq).contains(&key.seq)
    }

    pub(crate) fn get_mut(&mut self, seq: u64) -> Option<&mut Record> {
        self.records.get_mut(&seq)
    }

    pub(crate) fn remove(&mut self, seq: u64) -> Option<Record> {
        self.records.remove(&seq)
    }
}
