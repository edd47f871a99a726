//! The lease clock under steps of the wall clock and suspended machines.

use saddlerelay_runtime_compio::clock::{Clock, Reading};
use std::time::Duration;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn reading(monotonic: u64, wall: u64) -> Reading {
    Reading { monotonic: seconds(monotonic), wall: seconds(wall) }
}

#[test]
fn a_suspended_machine_ages_by_the_wall_clock() {
    let clock = Clock::starting_at(reading(0, 1_000));
    assert_eq!(clock.advance(reading(1, 1_001)), seconds(1));
    assert_eq!(clock.advance(reading(1, 1_031)), seconds(31));
    assert_eq!(clock.advance(reading(2, 1_032)), seconds(32));
}

#[test]
fn the_clock_goes_on_after_the_wall_clock_was_set_forward_and_back() {
    let clock = Clock::starting_at(reading(0, 1_000));
    assert_eq!(clock.advance(reading(1, 1_003)), seconds(3));
    // Set back by two seconds: a clock that waited for the wall clock would stand still, and leases would last longer.
    assert_eq!(clock.advance(reading(2, 1_002)), seconds(4));
    assert_eq!(clock.advance(reading(3, 1_003)), seconds(5));
}
