//! Counts looks at members of the deployment (engines, relays, replicas), so that tests can show that the cost of an event
//! does not grow with the fleet. One addition to a number of this thread for each look.

use std::cell::Cell;

thread_local! {
    static LOOKS: Cell<u64> = const { Cell::new(0) };
}

/// Counts a look at one member.
pub fn look() {
    LOOKS.with(|looks| looks.set(looks.get() + 1));
}

/// Looks that `work` takes, and what it returns.
pub fn looks_of<T>(work: impl FnOnce() -> T) -> (u64, T) {
    let before = LOOKS.with(Cell::get);
    let outcome = work();
    (LOOKS.with(Cell::get) - before, outcome)
}
