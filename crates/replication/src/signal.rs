//! Wakes tasks that wait for a condition.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Counts notifications; waiters compare the count with the one they saw last.
#[derive(Default)]
pub struct Signal {
    count: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Signal {
    /// The number of notifications so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Wakes every waiter.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        waiting.into_iter().for_each(Waker::wake);
    }

    /// Waits until the count differs from `seen`.
    pub async fn changed(&self, seen: u64) {
        poll_fn(|context| {
            if self.count.get() != seen {
                return Poll::Ready(());
            }
            self.waiting.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}
