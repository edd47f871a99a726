//! The two methods of placement on the same generated loads.

#[allow(dead_code)]
mod loads;

use loads::{Load, Outcome, Reported, run};
use saddlerelay_scheduling::PlacementMethod;

/// Two in three engines take 33 ms per event, one in three 81 ms.
fn two_speeds(engine: usize, _: u64) -> Option<f64> {
    Some(if engine % 3 == 2 { 81.0 } else { 33.0 })
}

/// Speeds spread from 25 to 100 ms per event.
fn spread_speeds(engine: usize, _: u64) -> Option<f64> {
    Some(25.0 + 5.0 * (engine % 16) as f64)
}

fn equal_speeds(_: usize, _: u64) -> Option<f64> {
    Some(47.5)
}

fn load(speed: loads::Speed, groups: usize) -> Load {
    Load { engines: 15, speed, reported: Reported::Usual, jobs: 15, groups, group_size: 8, new_leader_at_ms: None }
}

fn both(name: &str, load: Load) -> (Outcome, Outcome) {
    let greedy = run(load, PlacementMethod::EarliestEnd);
    let classes = run(load, PlacementMethod::InTimeClasses);
    for (method, outcome) in [("earliest end", &greedy), ("classes", &classes)] {
        println!(
            "{name:<24} {method:<13} use {:.2} in time {:.3} busiest {:.2} least {:.2} step {:.2} s moves {} of {} back {}",
            outcome.use_share,
            outcome.in_time,
            outcome.busiest,
            outcome.least_busy,
            outcome.median_step_s,
            outcome.moves,
            outcome.items,
            outcome.moves_back
        );
    }
    (greedy, classes)
}

/// Guards against engines of one kind that stay idle, and against work that is late because it was spread. The bound of
/// the busiest engine follows from the requirement, 1.1 times the mean, at the loads that use a quarter of the slots or
/// more; below that, a single long text decides which engine is the busiest.
#[test]
fn classes_use_engines_evenly_and_are_in_time() {
    for (name, speed, groups) in [
        ("two speeds", two_speeds as loads::Speed, 17),
        ("two speeds", two_speeds, 34),
        ("two speeds", two_speeds, 51),
        ("spread speeds", spread_speeds, 17),
        ("spread speeds", spread_speeds, 34),
    ] {
        let (greedy, classes) = both(&format!("{name}, {groups} groups"), load(speed, groups));
        assert!(classes.busiest <= 1.1 && classes.least_busy >= 0.9, "{name}, {groups} groups: {classes:?}");
        assert!(classes.in_time >= greedy.in_time.min(0.99), "{name}, {groups} groups: {classes:?}");
        assert!(classes.moves_back == 0 && classes.moves * 200 <= classes.items, "{name}, {groups}: {classes:?}");
    }
}

/// Guards against a light load that uses only the fastest engines, or is slowed down much by using all.
#[test]
fn a_light_load_uses_all_engines() {
    for (name, speed) in [("two speeds", two_speeds as loads::Speed), ("spread speeds", spread_speeds)] {
        for groups in [4, 8] {
            let (greedy, classes) = both(&format!("{name}, {groups} groups"), load(speed, groups));
            assert!(classes.least_busy > 0.2 && classes.least_busy > greedy.least_busy, "{name}: {classes:?}");
            assert!(classes.in_time >= 0.99 && classes.busiest < greedy.busiest, "{name}: {classes:?}");
        }
    }
}

/// Guards against moves between equal engines, and against a difference between the methods there.
#[test]
fn nothing_moves_between_equal_engines() {
    for groups in [8, 34] {
        let (greedy, classes) = both(&format!("equal, {groups} groups"), load(equal_speeds, groups));
        assert_eq!((greedy.moves, classes.moves), (0, 0));
        assert!(classes.in_time >= 0.99 && classes.busiest <= 1.1, "{classes:?}");
    }
    let (_, one) = both("one engine", Load { engines: 1, groups: 1, ..load(equal_speeds, 1) });
    assert!(one.in_time >= 0.99 && one.moves == 0, "{one:?}");
}
