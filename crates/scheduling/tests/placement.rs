//! Choice of the engine for a text, and moves of running texts.

use saddlerelay_scheduling::{
    Candidate, CapacityEstimate, EngineSnapshot, PlacedWork, Placement, PlacementMethod, PlacementReason, RunningWork,
    Work, move_target, place,
};
use std::time::Duration;

fn engine(seconds_per_event: f64, running: u32) -> EngineSnapshot {
    let capacity = CapacityEstimate {
        seconds_per_event_alone: seconds_per_event,
        added_per_neighbor: seconds_per_event * 0.0075,
        slowdown: 1.0,
        age: None,
    };
    EngineSnapshot { capacity, running, slots: 8, reporting: true }
}

fn candidate(seconds_per_event: f64, running: u32) -> Candidate {
    Candidate { engine: engine(seconds_per_event, running), has_cached_prompt: false, avoided: false }
}

fn text(events: f64, time_left_ms: u64) -> PlacedWork {
    let work = Work { remaining_events: events, prompt_tokens: 0 };
    PlacedWork { work, time_left: Duration::from_millis(time_left_ms), mean_events: 20.0 }
}

/// Places a text by classes; returns the index and the reason.
fn placed(candidates: &[Candidate], text: &PlacedWork) -> Option<(usize, PlacementReason)> {
    match place(PlacementMethod::InTimeClasses, candidates, text) {
        Placement::At { index, reason, .. } => Some((index, reason)),
        Placement::WaitForSlot | Placement::WaitForFasterEngine => None,
    }
}

/// Guards against slow engines that receive nothing, and against long texts on them.
#[test]
fn short_texts_use_slow_engines_and_long_ones_do_not() {
    let candidates = [candidate(0.033, 6), candidate(0.081, 1)];
    assert_eq!(placed(&candidates, &text(20.0, 7_500)), Some((1, PlacementReason::LeastUsed)));
    assert_eq!(placed(&candidates, &text(110.0, 7_500)), Some((0, PlacementReason::LeastUsed)));
    assert_eq!(placed(&candidates, &text(145.0, 7_500)), Some((0, PlacementReason::EarliestInTime)));
    assert_eq!(placed(&candidates, &text(300.0, 7_500)), Some((0, PlacementReason::EarliestLate)));
}

/// Guards against a choice among equal engines that differs from the least used one and the group's engine.
#[test]
fn among_equal_engines_the_least_used_or_the_groups_engine_is_chosen() {
    let mut candidates = [candidate(0.04, 3), candidate(0.04, 1), candidate(0.04, 2)];
    assert_eq!(placed(&candidates, &text(20.0, 7_500)).map(|(index, _)| index), Some(1));
    candidates[2].has_cached_prompt = true;
    assert_eq!(placed(&candidates, &text(20.0, 7_500)).map(|(index, _)| index), Some(2));
    candidates[2].engine.running = 4;
    assert_eq!(placed(&candidates, &text(20.0, 7_500)).map(|(index, _)| index), Some(1));
}

/// Guards against a long text that takes a slow slot although a fast one is free soon, and against a wait without end.
#[test]
fn a_text_waits_for_a_fast_slot_only_while_that_helps() {
    let candidates = [candidate(0.033, 8), candidate(0.081, 0)];
    let wait = |time_left_ms| place(PlacementMethod::InTimeClasses, &candidates, &text(145.0, time_left_ms));
    assert_eq!(wait(7_500), Placement::WaitForFasterEngine);
    assert_eq!(wait(4_500), Placement::WaitForFasterEngine, "late, but in less than half the time");
    assert!(matches!(wait(0), Placement::At { index: 1, reason: PlacementReason::EarliestLate, .. }));
    let less_slow = [candidate(0.033, 8), candidate(0.06, 0)];
    let late = place(PlacementMethod::InTimeClasses, &less_slow, &text(145.0, 4_500));
    assert!(matches!(late, Placement::At { index: 1, reason: PlacementReason::EarliestLate, .. }));
    let full = [candidate(0.033, 8), candidate(0.081, 8)];
    assert_eq!(place(PlacementMethod::InTimeClasses, &full, &text(20.0, 7_500)), Placement::WaitForSlot);
    assert_eq!(place(PlacementMethod::InTimeClasses, &[], &text(20.0, 7_500)), Placement::WaitForSlot);
}

/// Guards against texts that stop when no sound engine is left, and against unsound engines used beside sound ones.
#[test]
fn unsound_engines_are_the_last_resort() {
    let silent = |running| {
        let mut silent = candidate(0.03, running);
        silent.engine.reporting = false;
        silent
    };
    let avoided = Candidate { avoided: true, ..candidate(0.03, 0) };
    let two_sound = [silent(0), avoided, candidate(0.04, 8), candidate(0.04, 8)];
    assert_eq!(placed(&two_sound, &text(20.0, 7_500)), None);
    assert_eq!(placed(&two_sound[..3], &text(20.0, 7_500)), Some((0, PlacementReason::LastResort)));
    assert_eq!(placed(&two_sound[1..3], &text(20.0, 7_500)), Some((0, PlacementReason::LastResort)));
    let with_free = [silent(0), avoided, candidate(0.2, 7)];
    assert_eq!(placed(&with_free, &text(20.0, 7_500)).map(|(index, _)| index), Some(2));
}

fn running(seconds_per_event: f64, slowdown: f64, events: f64, time_left_ms: u64) -> RunningWork {
    let mut engine = engine(seconds_per_event, 4);
    engine.capacity.slowdown = slowdown;
    RunningWork {
        engine,
        work: Work { remaining_events: events, prompt_tokens: 0 },
        time_left: Duration::from_millis(time_left_ms),
        later_time_left: Duration::from_millis(time_left_ms),
        restart_time: Duration::from_millis(300),
    }
}

/// Guards against moves of texts that are in time, or that are late at the other engine too.
#[test]
fn a_text_moves_only_from_late_to_in_time() {
    let candidates = [candidate(0.05, 0), candidate(0.033, 5), candidate(0.033, 8)];
    assert_eq!(move_target(&running(0.033, 3.0, 60.0, 4_000), &candidates), Some(1));
    assert_eq!(move_target(&running(0.081, 1.0, 60.0, 4_000), &candidates), Some(1));
    assert_eq!(move_target(&running(0.033, 3.0, 60.0, 6_500), &candidates), None, "in time where it is");
    assert_eq!(move_target(&running(0.033, 3.0, 60.0, 1_500), &candidates), None, "late everywhere");
    assert_eq!(move_target(&running(0.033, 3.0, 60.0, 2_300), &candidates), None, "late with the restart");
    assert_eq!(move_target(&running(0.033, 3.0, 60.0, 4_000), &candidates[2..]), None, "no free slot");
}

/// Guards against a text that stays on an engine that has slowed down because it can't meet the due time anywhere.
#[test]
fn a_text_that_is_late_everywhere_is_judged_by_the_later_bound() {
    let late =
        |later_ms| RunningWork { later_time_left: Duration::from_millis(later_ms), ..running(0.033, 3.0, 60.0, 1_500) };
    let candidates = [candidate(0.033, 5)];
    assert_eq!(move_target(&late(4_000), &candidates), Some(0));
    assert_eq!(move_target(&late(2_000), &candidates), None, "later than the later bound everywhere");
    assert_eq!(move_target(&late(6_500), &candidates), None, "meets the later bound where it is");
}

/// Guards against a text that runs for a multiple of its usual time because it is late anyway.
#[test]
fn a_text_that_is_late_anyway_does_not_start_on_a_slowed_engine() {
    let mut slowed = candidate(0.0475, 0);
    slowed.engine.capacity.slowdown = 3.0;
    let candidates = [candidate(0.0475, 8), slowed];
    let place_with = |time_left_ms| place(PlacementMethod::InTimeClasses, &candidates, &text(145.0, time_left_ms));
    assert_eq!(place_with(6_750), Placement::WaitForFasterEngine);
    assert!(matches!(place_with(0), Placement::At { index: 1, reason: PlacementReason::EarliestLate, .. }));
}

/// Guards against moves between equal engines, whatever the time left.
#[test]
fn nothing_moves_between_equal_engines() {
    for time_left_ms in (0..8_000).step_by(100) {
        for (slowdown, other) in [(1.0, 0.040), (1.15, 0.040), (1.0, 0.035)] {
            let target = move_target(&running(0.04, slowdown, 100.0, time_left_ms), &[candidate(other, 0); 3]);
            assert_eq!(target, None, "{time_left_ms} ms left, slowdown {slowdown}");
        }
    }
}

/// Guards against a move to an engine because of a short fast phase.
#[test]
fn a_temporary_speed_up_of_the_other_engine_does_not_count() {
    let mut swinging = candidate(0.05, 0);
    swinging.engine.capacity.slowdown = 0.6;
    assert_eq!(move_target(&running(0.06, 1.0, 60.0, 3_000), &[swinging]), None);
}
