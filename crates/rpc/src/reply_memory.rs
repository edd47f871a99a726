//! The memory that a server's replies hold, from when they are built until they are written to their connections.

use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// A limit on the memory of all large replies of a process. Clones share it. Requests that find none free wait in the
/// order of their arrival.
#[derive(Clone)]
pub struct ReplyMemory {
    inner: Rc<Inner>,
}

struct Inner {
    /// In bytes.
    capacity: usize,
    used: Cell<usize>,
    peak: Cell<usize>,
    /// Tickets of the waiting requests, in the order of their arrival.
    waiting: RefCell<VecDeque<u64>>,
    next_ticket: Cell<u64>,
    /// Notified when memory is released or a waiting request leaves the queue.
    released: Signal,
    timed_out: Cell<u64>,
}

impl ReplyMemory {
    /// A limit of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        let inner = Inner {
            capacity,
            used: Cell::default(),
            peak: Cell::default(),
            waiting: RefCell::default(),
            next_ticket: Cell::default(),
            released: Signal::default(),
            timed_out: Cell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// The limit, in bytes.
    pub fn capacity(&self) -> usize {
        self.inner.capacity
    }

    /// Bytes reserved now.
    pub fn used(&self) -> usize {
        self.inner.used.get()
    }

    /// Most bytes reserved at any time.
    pub fn peak(&self) -> usize {
        self.inner.peak.get()
    }

    /// Number of requests that wait for memory.
    pub fn waiting(&self) -> usize {
        self.inner.waiting.borrow().len()
    }

    /// Number of requests that waited in vain.
    pub fn timed_out(&self) -> u64 {
        self.inner.timed_out.get()
    }

    /// Reserves `bytes`; waits at most `limit` until they are free. `None` if they are not free by then.
    pub async fn reserve<P: Runtime>(&self, platform: &P, bytes: usize, limit: Duration) -> Option<Reservation> {
        let has_turn = (self.waiting() == 0 && self.fits(bytes))
            || timeout(platform, limit, wait_for_turn(self, bytes)).await.is_some();
        if !has_turn {
            self.inner.timed_out.set(self.timed_out() + 1);
            return None;
        }
        let mut reservation = Reservation { memory: self.clone(), bytes: 0 };
        reservation.set(bytes);
        Some(reservation)
    }

    /// Whether `bytes` are free. If nothing is reserved, any number is: the largest reply is sent when it is the only
    /// one.
    fn fits(&self, bytes: usize) -> bool {
        let used = self.used();
        used == 0 || used.saturating_add(bytes) <= self.inner.capacity
    }
}

/// Bytes reserved for one reply; released when dropped.
pub struct Reservation {
    memory: ReplyMemory,
    bytes: usize,
}

impl Reservation {
    /// Bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Lowers the reservation to `bytes`, if it is larger.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.set(bytes);
        }
    }

    fn set(&mut self, bytes: usize) {
        let inner = &self.memory.inner;
        inner.used.set(inner.used.get() - self.bytes + bytes);
        inner.peak.set(inner.peak.get().max(inner.used.get()));
        let releases = bytes < self.bytes;
        self.bytes = bytes;
        if releases {
            inner.released.notify();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Waits until `bytes` are free and no earlier request waits.
async fn wait_for_turn(memory: &ReplyMemory, bytes: usize) {
    let ticket = Ticket::take(memory);
    loop {
        let observed = memory.inner.released.count();
        if ticket.is_first() && memory.fits(bytes) {
            return;
        }
        memory.inner.released.changed(observed).await;
    }
}

/// A place in the queue of waiting requests; left when dropped.
struct Ticket<'a> {
    memory: &'a ReplyMemory,
    number: u64,
}

impl<'a> Ticket<'a> {
    fn take(memory: &'a ReplyMemory) -> Self {
        let number = memory.inner.next_ticket.replace(memory.inner.next_ticket.get() + 1);
        memory.inner.waiting.borrow_mut().push_back(number);
        Self { memory, number }
    }

    fn is_first(&self) -> bool {
        self.memory.inner.waiting.borrow().front() == Some(&self.number)
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.memory.inner.waiting.borrow_mut().retain(|number| *number != self.number);
        self.memory.inner.released.notify();
    }
}
