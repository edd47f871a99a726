//! Thread-local count of visits to members of the deployment (engines, relays, replicas), with which tests check that
//! the cost of an event does not grow with the number of members.

use std::cell::Cell;

thread_local! {
    static VISITS: Cell<u64> = const { Cell::new(0) };
}

/// Counts a visit to one member.
pub fn record_lookup() {
    VISITS.with(|visits| visits.set(visits.get() + 1));
}

/// Runs `work`; returns the number of visits it made and its result.
pub fn lookups_of<T>(work: impl FnOnce() -> T) -> (u64, T) {
    let before = VISITS.with(Cell::get);
    let outcome = work();
    (VISITS.with(Cell::get) - before, outcome)
}
