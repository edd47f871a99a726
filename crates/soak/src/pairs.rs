//! Plans with pairs of faults: engines end, hang or are cut off, and while their work moves to other engines, a fault
//! hits a process that holds state. A quiet period follows, in which stalled items become visible.

use crate::case::Case;
use crate::engine::EngineBehavior;
use crate::links::{Condition, Party};
use crate::plan::{Direction, ENGINES, End, Fault, LeaderFault, MODEL_ENGINES, Planned, milliseconds};
use crate::waits::{ITEM_WAIT_BOUND, QUIET_PERIOD};
use fastrand::Rng;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;

/// Time from the start of the load to the first pair, in milliseconds.
const FIRST_MS: Range<u64> = 1_000..2_500;

/// Time between the two faults of a pair, in milliseconds; items of [`crate::trainer::StepShape::LONG`] are in
/// progress meanwhile.
const GAP_MS: RangeInclusive<u64> = 300..=3_000;

/// Time added to the quiet period, so that an item wait can exceed its bound.
const QUIET_SLACK: Duration = Duration::from_millis(500);

/// Number of engines affected by one fault, of the four that run the model.
const ENGINES_AFFECTED: RangeInclusive<usize> = 2..=3;

/// Duration of an engine fault, in milliseconds; most end before the quiet period.
const ENGINE_FAULT_MS: Range<u64> = 100..2_000;

/// Time until an engine that has ended permanently is replaced, in milliseconds.
const ENGINE_REPLACEMENT_DELAY_MS: Range<u64> = 5_000..8_000;

/// Downtime of a process, in milliseconds.
const DOWN_MS: Range<u64> = 50..1_500;

/// Duration of a freeze, partition or write failure, in milliseconds; from below the duration of a leader election to
/// above every lease.
const BLOCKED_MS: Range<u64> = 500..4_000;

/// Time without faults after a pair.
fn quiet_period() -> Duration {
    QUIET_PERIOD + ITEM_WAIT_BOUND + QUIET_SLACK
}

/// Generates the pairs of a case. A pair whose quiet period would not start within `length` is omitted.
pub fn draw(case: Case, length: Duration) -> Vec<Planned> {
    let mut random = Rng::with_seed(case.seed);
    let mut planned = Vec::new();
    let mut at = milliseconds(&mut random, FIRST_MS);
    while at + quiet_period() < length {
        let second_at = at + Duration::from_millis(random.u64(GAP_MS));
        planned.extend(draw_engine_faults(&mut random).into_iter().map(|fault| Planned { at, fault }));
        let (fault, time) = draw_stateful_fault(&mut random, case);
        planned.push(Planned { at: second_at, fault });
        at = second_at + time + quiet_period();
    }
    planned
}

/// Generates one kind of fault for several engines that run the model.
fn draw_engine_faults(random: &mut Rng) -> Vec<Fault> {
    let mut numbers: Vec<u8> = (ENGINES - MODEL_ENGINES..ENGINES).collect();
    random.shuffle(&mut numbers);
    numbers.truncate(random.usize(ENGINES_AFFECTED));
    let kind = random.u8(..8);
    let draw_fault = |number| match kind {
        0..3 => Fault::CrashEngine { number, down: milliseconds(random, ENGINE_FAULT_MS) },
        3..5 => Fault::EndEngine { number, down: milliseconds(random, ENGINE_REPLACEMENT_DELAY_MS) },
        5 => misbehavior(random, number, EngineBehavior::Hanging),
        6 => misbehavior(random, number, EngineBehavior::BreakingOff),
        _ => cut_engine(random, number),
    };
    numbers.into_iter().map(draw_fault).collect()
}

fn misbehavior(random: &mut Rng, number: u8, conduct: EngineBehavior) -> Fault {
    Fault::Misconduct { number, conduct, time: milliseconds(random, ENGINE_FAULT_MS) }
}

fn cut_engine(random: &mut Rng, number: u8) -> Fault {
    let condition = if random.bool() { Condition::Reset } else { Condition::Silent };
    let direction = if random.bool() { Direction::Both } else { Direction::Out };
    let time = milliseconds(random, ENGINE_FAULT_MS);
    Fault::Cut { party: Party::Engine(number), condition, direction, time, coordinators_only: false }
}

/// Generates a fault of a process that holds state, with its duration.
fn draw_stateful_fault(random: &mut Rng, case: Case) -> (Fault, Duration) {
    let (down, blocked) = (milliseconds(random, DOWN_MS), milliseconds(random, BLOCKED_MS));
    match random.u8(..10) {
        0..2 => (Fault::HarmLeader(LeaderFault::Kill(down)), down),
        2..4 => (Fault::HarmLeader(LeaderFault::Freeze(blocked)), blocked),
        4 => (Fault::HarmLeader(LeaderFault::CutFromProcesses(blocked)), blocked),
        5 => (Fault::HarmLeader(LeaderFault::CutFromAll(blocked)), blocked),
        6..8 => (Fault::KillAll { down }, down),
        8 => {
            let party = Party::Gateway(random.u8(..case.size.gateways));
            (Fault::Restart { party, end: End::Kill, down }, down)
        }
        _ => (Fault::HarmLeader(LeaderFault::RefuseWrites(blocked)), blocked),
    }
}
