//! Notifies tasks on one thread of changes.

use std::{
    cell::{Cell, RefCell},
    future,
    task::{Poll, Waker},
};

/// A counter of changes that tasks can wait on.
#[derive(Debug, Default)]
pub struct Signal {
    changes: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.changes.set(self.changes.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Returns the number of changes so far.
    pub fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// Waits until the number of changes differs from `seen`.
    pub async fn wait(&self, seen: u64) {
        future::poll_fn(|cx| {
            if self.changes.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
