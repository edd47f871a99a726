//! Limits how many calls of a kind run at the same time.

use saddlerelay_runtime::signal::Signal;
use std::cell::Cell;
use std::time::Duration;

/// A number of permits; those who find none wait.
pub(crate) struct ConcurrencyLimit {
    free: Cell<usize>,
    released: Signal,
}

/// The right to run a call; given back when dropped.
pub(crate) struct Permit<'a>(&'a ConcurrencyLimit);

impl ConcurrencyLimit {
    /// Lets `limit` calls run at the same time.
    pub fn new(limit: usize) -> Self {
        Self { free: Cell::new(limit), released: Signal::default() }
    }

    /// Waits for a permit, for at most `timeout`.
    pub async fn enter(&self, timeout: Duration) -> Option<Permit<'_>> {
        compio::time::timeout(timeout, self.wait()).await.ok()
    }

    async fn wait(&self) -> Permit<'_> {
        while self.free.get() == 0 {
            self.released.changed(self.released.count()).await;
        }
        self.free.set(self.free.get() - 1);
        Permit(self)
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
        self.0.released.notify();
    }
}
