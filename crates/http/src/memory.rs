//! The memory that all clients of a process together may make it hold.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which a reservation counts as small, in bytes. Part of the budget is kept for small reservations, so that
/// ordinary requests are served beside large ones.
pub const SMALL_BYTES: usize = 64 * 1024;

/// One in this many bytes of the budget is kept for small reservations.
const SMALL_SHARE: usize = 4;

#[derive(Debug, Default)]
struct Used {
    total: AtomicUsize,
    large: AtomicUsize,
}

/// A limit on memory that is held for clients. Clones share the budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// In bytes.
    capacity: usize,
    used: Arc<Used>,
}

impl MemoryBudget {
    /// A budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, used: Arc::default() }
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.total.load(Ordering::Relaxed)
    }

    /// The limit, in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// A reservation of no bytes.
    pub fn begin(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// Whether a reservation may grow from `held` to `bytes`. One large reservation is admitted whatever its size, so
    /// that the largest legal request is served when no other one is.
    fn admits(&self, held: usize, bytes: usize) -> bool {
        let total = self.used() - held + bytes;
        if bytes <= SMALL_BYTES {
            return total <= self.capacity;
        }
        let held_large = if held > SMALL_BYTES { held } else { 0 };
        let other_large = self.used.large.load(Ordering::Relaxed) - held_large;
        let large_capacity = self.capacity - self.capacity / SMALL_SHARE;
        other_large == 0 || (other_large + bytes <= large_capacity && total <= self.capacity)
    }
}

/// Bytes reserved in a budget; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the reservation to `bytes` if the budget allows it; returns whether it does.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let is_admitted = bytes <= self.bytes || self.budget.admits(self.bytes, bytes);
        if is_admitted {
            self.set(bytes);
        }
        is_admitted
    }

    /// Changes the reservation to `bytes` even if that exceeds the budget: for memory that is held already.
    pub fn set(&mut self, bytes: usize) {
        let large = |bytes: usize| if bytes > SMALL_BYTES { bytes } else { 0 };
        // One thread changes a budget at a time; reservations may be dropped on others.
        self.budget.used.total.fetch_add(bytes, Ordering::Relaxed);
        self.budget.used.total.fetch_sub(self.bytes, Ordering::Relaxed);
        self.budget.used.large.fetch_add(large(bytes), Ordering::Relaxed);
        self.budget.used.large.fetch_sub(large(self.bytes), Ordering::Relaxed);
        self.bytes = bytes;
    }

    /// Ties the reservation to `contents`, until the last clone of the result is dropped.
    pub fn attach(self, contents: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(ReservedBytes { contents, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

struct ReservedBytes<C> {
    contents: C,
    _reservation: Reservation,
}

impl<C: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<C> {
    fn as_ref(&self) -> &[u8] {
        self.contents.as_ref()
    }
}
