//! Placement while engines change their speed or fail, report wrong figures, or the leader changes.

#[allow(dead_code)]
mod loads;

use loads::{Load, Outcome, Reported, run};
use saddlerelay_scheduling::PlacementMethod;

const FAST_MS: f64 = 33.0;
const SLOW_MS: f64 = 81.0;

fn is_slow(engine: usize) -> bool {
    engine % 3 == 2
}

fn two_speeds(engine: usize, _: u64) -> Option<f64> {
    Some(if is_slow(engine) { SLOW_MS } else { FAST_MS })
}

fn load(speed: loads::Speed) -> Load {
    Load { engines: 15, speed, reported: Reported::Usual, jobs: 15, groups: 17, group_size: 8, new_leader_at_ms: None }
}

fn classes(name: &str, load: Load) -> Outcome {
    let outcome = run(load, PlacementMethod::InTimeClasses);
    println!(
        "{name:<28} use {:.2} in time {:.3} busiest {:.2} step {:.2} s moves {} of {} back {}",
        outcome.use_share,
        outcome.in_time,
        outcome.busiest,
        outcome.median_step_s,
        outcome.moves,
        outcome.items,
        outcome.moves_back
    );
    outcome
}

/// Guards against a new leader that stays blind: until it has seen events it treats all engines alike, afterwards it
/// works as before.
#[test]
fn a_new_leader_places_as_if_engines_were_alike_and_learns() {
    // Submission of a job: its items are placed before anything is known, and their texts are all late if long ones
    // stay on slow engines.
    let outcome = classes("new leader", Load { new_leader_at_ms: Some(24_000), ..load(two_speeds) });
    let starts = &outcome.starts_of_new_leader;
    assert!(starts.iter().all(|count| *count > 0), "all engines should receive texts: {starts:?}");
    assert!(outcome.in_time >= 0.97 && outcome.busiest <= 1.15 && outcome.moves_back == 0, "{outcome:?}");
}

/// Guards against texts that wait for engines that are away.
#[test]
fn all_fast_engines_lost_at_once() {
    let without_fast = |engine: usize, at: u64| {
        let away = !is_slow(engine) && (20_000..28_000).contains(&at);
        (!away).then(|| if is_slow(engine) { SLOW_MS } else { FAST_MS })
    };
    let outcome = classes("fast engines away for 8 s", load(without_fast));
    // The five slow engines take 40 of the 136 texts of a step at a time. Three steps overlap with the 8 s.
    assert!(outcome.in_time >= 0.8 && outcome.moves_back == 0, "{outcome:?}");
}

/// Guards against engines that are rated by a speed they no longer have.
#[test]
fn slow_engines_become_fast_and_fast_ones_slow() {
    let swapped = |engine: usize, at: u64| {
        let slow = is_slow(engine) == (at < 30_000);
        Some(if slow { SLOW_MS } else { FAST_MS })
    };
    let outcome = classes("speeds swapped at 30 s", load(swapped));
    assert!(outcome.in_time >= 0.95 && outcome.busiest <= 1.5 && outcome.moves_back == 0, "{outcome:?}");
}

/// Guards against load figures that hide a slowdown: four engines take three times as long for 8 s.
#[test]
fn load_figures_that_stay_at_100_do_not_hide_a_slowdown() {
    let slowed = |engine: usize, at: u64| {
        let factor = if engine < 4 && (22_000..30_000).contains(&at) { 3.0 } else { 1.0 };
        two_speeds(engine, at).map(|pace| pace * factor)
    };
    let stuck = classes("four slowed, reports 100", load(slowed));
    let nothing = classes("four slowed, no reports", Load { reported: Reported::Nothing, ..load(slowed) });
    assert!(stuck.in_time >= 0.97 && nothing.in_time >= 0.97, "{stuck:?} {nothing:?}");
    assert!(stuck.moves > 0 && stuck.moves_back == 0, "late texts should move away: {stuck:?}");
}

/// Guards against wrong figures that outweigh what is observed.
#[test]
fn half_of_the_engines_report_wrong_figures() {
    let outcome = classes("half report wrong figures", Load { reported: Reported::HalfWrong, ..load(two_speeds) });
    assert!(outcome.in_time >= 0.99 && outcome.busiest <= 1.2 && outcome.moves_back == 0, "{outcome:?}");
}

/// Guards against moves that follow each swing of an engine's speed.
#[test]
fn speeds_that_swing_every_600_ms_move_nothing_back_and_forth() {
    let swinging = |engine: usize, at: u64| {
        let slow_phase = ((at + 370 * engine as u64) / 600).is_multiple_of(2);
        Some(if slow_phase { 2.5 * FAST_MS } else { FAST_MS })
    };
    let outcome = classes("swings every 600 ms", load(swinging));
    assert!(outcome.moves_back == 0 && outcome.moves * 100 <= outcome.items, "{outcome:?}");
    assert!(outcome.in_time >= 0.97 && outcome.busiest <= 1.1, "{outcome:?}");
}

/// Guards against long texts that stay on slowed engines because they need nearly all of their time anywhere.
#[test]
fn texts_with_little_time_to_spare_leave_slowed_engines() {
    let slowed = |engine: usize, at: u64| {
        let factor = if engine < 4 && (21_000..29_000).contains(&at) { 3.0 } else { 1.0 };
        Some(47.5 * factor)
    };
    let outcome = classes("four of equal slowed", load(slowed));
    let undisturbed = classes("equal, undisturbed", load(|_, _| Some(47.5)));
    assert!(outcome.in_time >= undisturbed.in_time - 0.02, "{outcome:?} {undisturbed:?}");
    assert!(outcome.moves > 0 && outcome.moves_back == 0 && undisturbed.moves == 0, "{outcome:?} {undisturbed:?}");
}
