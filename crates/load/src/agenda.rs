//! Events in order of virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use wire::time::Instant;

#[derive(Debug)]
struct Item<E> {
    at: Instant,
    /// Keeps events of one instant in the order in which they were added.
    seq: u64,
    event: E,
}

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Item<E>) -> bool {
        self.seq == other.seq
    }
}

impl<E> Eq for Item<E> {}

impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Item<E>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Item<E> {
    fn cmp(&self, other: &Item<E>) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// The events to come.
#[derive(Debug)]
pub(crate) struct Agenda<E> {
    heap: BinaryHeap<Reverse<Item<E>>>,
    next: u64,
}

impl<E> Agenda<E> {
    pub(crate) fn new() -> Agenda<E> {
        Agenda { heap: BinaryHeap::new(), next: 0 }
    }

    pub(crate) fn add(&mut self, at: Instant, event: E) {
        self.next += 1;
        self.heap.push(Reverse(Item { at, seq: self.next, event }));
    }

    pub(crate) fn pop(&mut self, end: Instant) -> Option<(Instant, E)> {
        self.heap.peek().filter(|next| next.0.at <= end)?;
        self.heap.pop().map(|Reverse(item)| (item.at, item.event))
    }
}

/// Returns a point in virtual time.
pub(crate) fn at(span: Duration) -> Instant {
    Instant::default() + span
}
