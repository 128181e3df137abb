//! Queue of events, ordered by virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use wire::time::Instant;

#[derive(Debug)]
struct Scheduled<E> {
    at: Instant,
    /// Keeps events of the same instant in the order in which they were added.
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Scheduled<E>) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Scheduled<E>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Scheduled<E>) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The events that have not been handled yet.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    last_sequence: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), last_sequence: 0 }
    }

    pub(crate) fn push(&mut self, at: Instant, event: E) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.last_sequence, event }));
    }

    /// Removes and returns the next event that is due by `end`.
    pub(crate) fn pop(&mut self, end: Instant) -> Option<(Instant, E)> {
        self.heap.peek().filter(|next| next.0.at <= end)?;
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}

/// Returns the instant that is `span` after the start of the run.
pub(crate) fn instant(span: Duration) -> Instant {
    Instant::default() + span
}
