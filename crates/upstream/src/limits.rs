//! Limits on what an engine may send in a response, so that one that sends bytes without end exhausts no memory.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of a response head, and of the part of a body that is read at once, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum size of an event of a stream, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Size up to which a buffered body counts towards no budget, in bytes. Ordinary responses fit in even while others have
/// used up the budget.
const UNCOUNTED_BODY_BYTES: usize = 256 * 1024;

/// Maximum total size of buffered bodies beyond [`UNCOUNTED_BODY_BYTES`] each that a process reads at the same time, in
/// bytes. Half of the memory of a small gateway.
const MAX_BUFFERED_BYTES: usize = 128 * 1024 * 1024;

/// Bytes of large response bodies that are being read. Clones share the budget.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyBudget {
    reserved: Rc<Cell<usize>>,
}

/// The part of the budget that one body has reserved; given back when dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: BodyBudget,
    received: usize,
    reserved: usize,
}

impl BodyBudget {
    /// A reservation for a body of which nothing was received yet.
    pub fn begin(&self) -> BodyReservation {
        BodyReservation { budget: self.clone(), received: 0, reserved: 0 }
    }
}

impl BodyReservation {
    /// Reserves room for `bytes` more; returns whether they fit in the budget.
    pub fn receive(&mut self, bytes: usize) -> bool {
        self.received = self.received.saturating_add(bytes);
        let needed = self.received.saturating_sub(UNCOUNTED_BODY_BYTES);
        let total = self.budget.reserved.get() - self.reserved + needed;
        if total > MAX_BUFFERED_BYTES {
            return false;
        }
        self.budget.reserved.set(total);
        self.reserved = needed;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved.set(self.budget.reserved.get() - self.reserved);
    }
}
