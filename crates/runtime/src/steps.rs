//! Thread-local count of lookups of members of the deployment (engines, relays, replicas), with which tests check that
//! the cost of an event does not grow with the number of members.

use std::cell::Cell;

thread_local! {
    static LOOKUPS: Cell<u64> = const { Cell::new(0) };
}

/// Counts a lookup of one member.
pub fn record_lookup() {
    LOOKUPS.with(|lookups| lookups.set(lookups.get() + 1));
}

/// Runs `work`; returns the number of lookups counted on this thread meanwhile, and the result.
pub fn lookups_of<T>(work: impl FnOnce() -> T) -> (u64, T) {
    let before = LOOKUPS.with(Cell::get);
    let result = work();
    (LOOKUPS.with(Cell::get) - before, result)
}
