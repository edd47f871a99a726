//! Pairs of faults that meet: engines end, hang or are cut off, and while what they ran goes on elsewhere, a fault meets
//! those who hold state. Calm follows, in which what was left lying shows.

use crate::case::Case;
use crate::engine::Conduct;
use crate::links::{Condition, Party};
use crate::plan::{Direction, ENGINES, End, Fault, LeaderHarm, MODEL_ENGINES, Planned, milliseconds};
use crate::waits::{CALM_TIME, ITEM_WAIT_BOUND};
use fastrand::Rng;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;

/// From the start of the load to the first pair, in milliseconds.
const FIRST_MS: Range<u64> = 1_000..2_500;

/// From the fault of engines to that of those who hold state, in milliseconds: items of [`crate::trainer::StepShape::LONG`]
/// go on meanwhile.
const GAP_MS: RangeInclusive<u64> = 300..=3_000;

/// Added to the calm after a pair, so that a wait can be longer than its bound.
const CALM_SLACK: Duration = Duration::from_millis(500);

/// Engines that are harmed together, of the four that run the model.
const ENGINES_HARMED: RangeInclusive<usize> = 2..=3;

/// Time of a fault of engines, in milliseconds: most are over before the calm.
const ENGINE_FAULT_MS: Range<u64> = 100..2_000;

/// How long an engine is gone that ends for good, in milliseconds.
const GONE_MS: Range<u64> = 5_000..8_000;

/// How long a process is down, in milliseconds.
const DOWN_MS: Range<u64> = 50..1_500;

/// How long a process stands still, is cut off or can't write, in milliseconds: from less than a change of leaders to more
/// than any lease.
const HELD_UP_MS: Range<u64> = 500..4_000;

/// Time after a pair in which nothing is harmed.
fn calm() -> Duration {
    CALM_TIME + ITEM_WAIT_BOUND + CALM_SLACK
}

/// The pairs of a case with this length: one that begins so late that its calm would not begin any more is left out.
pub fn draw(case: Case, length: Duration) -> Vec<Planned> {
    let mut random = Rng::with_seed(case.seed);
    let mut planned = Vec::new();
    let mut at = milliseconds(&mut random, FIRST_MS);
    while at + calm() < length {
        let second = at + Duration::from_millis(random.u64(GAP_MS));
        planned.extend(harm_engines(&mut random).into_iter().map(|fault| Planned { at, fault }));
        let (fault, time) = harm_holder(&mut random, case);
        planned.push(Planned { at: second, fault });
        at = second + time + calm();
    }
    planned
}

/// A fault of several engines that run the model.
fn harm_engines(random: &mut Rng) -> Vec<Fault> {
    let mut numbers: Vec<u8> = (ENGINES - MODEL_ENGINES..ENGINES).collect();
    random.shuffle(&mut numbers);
    numbers.truncate(random.usize(ENGINES_HARMED));
    let kind = random.u8(..8);
    let harm = |number| match kind {
        0..3 => Fault::CrashEngine { number, down: milliseconds(random, ENGINE_FAULT_MS) },
        3..5 => Fault::EndEngine { number, down: milliseconds(random, GONE_MS) },
        5 => misconduct(random, number, Conduct::Hanging),
        6 => misconduct(random, number, Conduct::BreakingOff),
        _ => cut_engine(random, number),
    };
    numbers.into_iter().map(harm).collect()
}

fn misconduct(random: &mut Rng, number: u8, conduct: Conduct) -> Fault {
    Fault::Misconduct { number, conduct, time: milliseconds(random, ENGINE_FAULT_MS) }
}

fn cut_engine(random: &mut Rng, number: u8) -> Fault {
    let condition = if random.bool() { Condition::Reset } else { Condition::Silent };
    let direction = if random.bool() { Direction::Both } else { Direction::Out };
    let time = milliseconds(random, ENGINE_FAULT_MS);
    Fault::Cut { party: Party::Engine(number), condition, direction, time, coordinators_only: false }
}

/// A fault of those who hold state, and how long it lasts.
fn harm_holder(random: &mut Rng, case: Case) -> (Fault, Duration) {
    let (down, held_up) = (milliseconds(random, DOWN_MS), milliseconds(random, HELD_UP_MS));
    match random.u8(..10) {
        0..2 => (Fault::HarmLeader(LeaderHarm::Kill(down)), down),
        2..4 => (Fault::HarmLeader(LeaderHarm::Freeze(held_up)), held_up),
        4 => (Fault::HarmLeader(LeaderHarm::CutFromProcesses(held_up)), held_up),
        5 => (Fault::HarmLeader(LeaderHarm::CutFromAll(held_up)), held_up),
        6..8 => (Fault::KillAll { down }, down),
        8 => {
            let party = Party::Gateway(random.u8(..case.size.gateways));
            (Fault::Restart { party, end: End::Kill, down }, down)
        }
        _ => (Fault::HarmLeader(LeaderHarm::RefuseWrites(held_up)), held_up),
    }
}
