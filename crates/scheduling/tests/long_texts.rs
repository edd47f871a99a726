//! Room for long texts.

use saddlerelay_scheduling::long_texts::{
    Displaceable, MAX_DISPLACEMENTS_PER_ITEM, Reservation, RunningText, Step, Submissions, allows_neighbor,
    cannot_wait, choose_displaced, needs_displacement,
};
use saddlerelay_scheduling::{CapacityEstimate, EngineSnapshot};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// An engine with 40 ms per event, 1 ms more for each neighbor.
fn engine(running: u32) -> EngineSnapshot {
    let capacity =
        CapacityEstimate { seconds_per_event_alone: 0.04, added_per_neighbor: 0.001, slowdown: 1.0, age: None };
    EngineSnapshot { capacity, running, slots: 8, reporting: true }
}

fn text(remaining_events: f64, due_ms: u64) -> RunningText {
    RunningText { remaining_events, due_at: NOW + ms(due_ms) }
}

/// Guards against a neighbor that makes a long text late, and against an engine kept empty for a text that is late
/// anyway.
#[test]
fn an_engine_takes_only_neighbors_that_leave_its_texts_in_time() {
    // 100 events take 4.0 s alone, 4.1 s beside one other text and 4.2 s beside two.
    let cases = [
        ("no text", 0, vec![], true),
        ("room for one neighbor", 1, vec![text(100.0, 4_150)], true),
        ("no room for a second one", 2, vec![text(100.0, 4_150)], false),
        ("late alone", 1, vec![text(100.0, 3_900)], true),
        ("late beside the neighbor it has", 2, vec![text(100.0, 4_050)], true),
        ("one of two can't have it", 2, vec![text(10.0, 4_150), text(100.0, 4_150)], false),
    ];
    for (name, running, texts, expected) in cases {
        assert_eq!(allows_neighbor(&engine(running), &texts, NOW), expected, "{name}");
    }
}

fn submissions(at_ms: &[u64], long_texts: u32) -> Submissions {
    let mut submissions = Submissions::default();
    for at in at_ms {
        submissions.record(Step { at: ms(*at), long_texts, mean_duration: ms(1_000) });
    }
    submissions
}

/// Guards against slots that stay empty for a step that is not expected.
#[test]
fn slots_are_reserved_only_shortly_before_a_regular_step() {
    let regular = submissions(&[0, 4_000, 8_200], 3);
    assert_eq!(regular.interval(), Some(ms(4_100)));
    assert_eq!(regular.reservation(40, ms(11_000)), None, "too early");
    let expected = Some(Reservation { slots: 3, expected_at: ms(12_300), lead: ms(150) });
    assert_eq!(regular.reservation(40, ms(12_200)), expected);
    assert_eq!(regular.reservation(40, ms(13_200)), expected);
    assert_eq!(regular.reservation(40, ms(13_400)), None, "the step did not come");
    assert_eq!(regular.reservation(16, ms(12_200)).map(|reserved| reserved.slots), Some(2), "one in eight");
    assert_eq!(regular.reservation(7, ms(12_200)), None, "too few slots");
    assert_eq!(submissions(&[0, 4_000], 3).reservation(40, ms(8_000)), None, "only one interval is known");
    assert_eq!(submissions(&[0, 10, 4_000], 3).reservation(40, ms(7_990)), None, "irregular");
    assert_eq!(submissions(&[0, 4_000, 8_000], 0).reservation(40, ms(12_000)), None, "no long texts");
}

/// Guards against texts counted as long that can wait.
#[test]
fn a_text_that_leaves_less_slack_than_a_usual_text_takes_cannot_wait() {
    assert!(cannot_wait(ms(7_500), ms(6_900), ms(1_000)));
    assert!(cannot_wait(ms(7_500), ms(9_000), ms(1_000)));
    assert!(!cannot_wait(ms(7_500), ms(6_400), ms(1_000)));
}

fn running(urgent_ms: u64, remaining_ms: u64, due_ms: u64) -> Displaceable {
    Displaceable {
        urgent_duration: ms(urgent_ms),
        wanted: true,
        remaining: ms(remaining_ms),
        due_in: ms(due_ms),
        displacements: 0,
    }
}

/// Guards against displacing an item although a slot becomes free in time.
#[test]
fn a_text_waits_for_a_slot_that_becomes_free_in_time() {
    let items = [running(3_000, 1_000, 5_000), running(3_000, 400, 5_000)];
    assert!(!needs_displacement(ms(500), &items));
    assert!(needs_displacement(ms(300), &items));
}

/// Guards against displacing items that can't wait themselves, and against displacing an item without a bound.
#[test]
fn a_text_takes_the_slot_of_an_item_that_can_wait() {
    let base = running(3_000, 1_000, 5_000);
    let cases = [
        ("slack", base, true),
        ("too little slack", Displaceable { due_in: ms(2_400), ..base }, false),
        ("nobody waits for it", Displaceable { due_in: ms(2_400), wanted: false, ..base }, true),
        ("a longer text with slack", Displaceable { remaining: ms(3_100), due_in: ms(60_000), ..base }, true),
        ("displaced before", Displaceable { displacements: MAX_DISPLACEMENTS_PER_ITEM, ..base }, false),
    ];
    for (name, item, expected) in cases {
        assert_eq!(choose_displaced(&[item]).is_some(), expected, "{name}");
    }
    let slower_engine = Displaceable { urgent_duration: ms(3_500), due_in: ms(50_000), ..base };
    assert_eq!(choose_displaced(&[slower_engine, base]), Some(1), "the text goes where it ends soonest");
    let more_slack = Displaceable { due_in: ms(6_000), ..base };
    assert_eq!(choose_displaced(&[base, more_slack]), Some(1), "the item with the most slack");
    assert_eq!(choose_displaced(&[]), None);
}
