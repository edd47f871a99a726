//! Notification of tasks that wait for a condition to change.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Counts notifications. A task passes the count that it last observed and waits until the count changes.
#[derive(Default)]
pub struct Signal {
    count: Cell<u64>,
    next_waiter: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, Waker>>,
}

/// Future of [`Signal::changed`]. Dropping it deregisters the waiter.
pub struct Changed<'a> {
    signal: &'a Signal,
    observed_count: u64,
    waiter: u64,
}

impl Signal {
    /// The number of notifications so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// The number of waiting tasks.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Increments the count and wakes every waiter.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        waiting.into_values().for_each(Waker::wake);
    }

    /// Waits until the count differs from `observed_count`.
    pub fn changed(&self, observed_count: u64) -> Changed<'_> {
        let waiter = self.next_waiter.replace(self.next_waiter.get() + 1);
        Changed { signal: self, observed_count, waiter }
    }
}

impl Future for Changed<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.signal.count.get() != self.observed_count {
            return Poll::Ready(());
        }
        self.signal.waiting.borrow_mut().insert(self.waiter, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Changed<'_> {
    fn drop(&mut self) {
        self.signal.waiting.borrow_mut().remove(&self.waiter);
    }
}
