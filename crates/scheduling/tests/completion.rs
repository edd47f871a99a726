//! Expected durations of texts.

use saddlerelay_scheduling::{CapacityEstimate, EngineSnapshot, Work, expected_duration};
use std::time::Duration;

fn engine(running: u32, slowdown: f64) -> EngineSnapshot {
    let capacity = CapacityEstimate { seconds_per_event_alone: 0.04, added_per_neighbor: 0.001, slowdown, age: None };
    EngineSnapshot { capacity, running, slots: 8, reporting: true }
}

fn work(remaining_events: f64) -> Work {
    Work { remaining_events, prompt_tokens: 0 }
}

/// Guards against neighbors and slowdowns that are not counted.
#[test]
fn neighbors_and_slowdown_lengthen_a_text() {
    assert_eq!(expected_duration(&engine(0, 1.0), &work(100.0)), Duration::from_secs(4));
    assert_eq!(expected_duration(&engine(7, 1.0), &work(100.0)), Duration::from_millis(4_700));
    assert_eq!(expected_duration(&engine(0, 3.0), &work(100.0)), Duration::from_secs(12));
}

/// Guards against a panic on estimates that are not finite.
#[test]
fn invalid_estimates_give_the_longest_duration() {
    assert_eq!(expected_duration(&engine(0, f64::INFINITY), &work(1.0)), Duration::MAX);
    assert_eq!(expected_duration(&engine(0, 1.0), &work(-5.0)), Duration::ZERO);
}
