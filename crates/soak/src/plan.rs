//! The faults of a soak, drawn from its seed.

use crate::deployment::{COORDINATORS, GATEWAYS};
use crate::links::{Condition, Party};
use fastrand::Rng;
use std::time::Duration;

/// Engines of each service: two web services, and the one that runs the model.
pub const WEB_ENGINES: u8 = 2;
/// See [`WEB_ENGINES`].
pub const MODEL_ENGINES: u8 = 4;
/// All engines.
pub const ENGINES: u8 = 2 * WEB_ENGINES + MODEL_ENGINES;

/// Pause between the beginnings of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 400..2_600;

/// Longest delay of a link, in milliseconds; a relay's lease leaves room for it.
const LONGEST_DELAY_MS: u64 = 100;

/// How a process is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// At once.
    Kill,
    /// At once, and its data folder is lost.
    LoseDisk,
    /// At once, while it was writing: what follows its last whole record is torn.
    TearLog,
    /// In the planned way.
    Stop,
}

/// How a link is harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Both ways.
    Both,
    /// What goes out of the party.
    Out,
    /// What comes in to the party.
    In,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A process ends and starts again.
    Restart {
        /// The process.
        party: Party,
        /// How it ends.
        end: End,
        /// How long it is down.
        down: Duration,
    },
    /// Every coordinator is killed at the same moment.
    KillAll {
        /// How long they are down.
        down: Duration,
    },
    /// A process stands still.
    Freeze {
        /// The process.
        party: Party,
        /// How long.
        time: Duration,
    },
    /// A party's links to the processes of the product are harmed.
    Cut {
        /// The party.
        party: Party,
        /// What happens on them.
        condition: Condition,
        /// Which way.
        direction: Direction,
        /// How long.
        time: Duration,
        /// Only its links to coordinators.
        coordinators_only: bool,
    },
    /// A coordinator can write no more to its files.
    RefuseWrites {
        /// The coordinator.
        number: u8,
        /// How long.
        time: Duration,
    },
    /// An engine crashes; its next instance has the same address.
    CrashEngine {
        /// The engine.
        number: u8,
        /// How long nobody answers there.
        down: Duration,
    },
    /// An engine leaves in the planned way.
    ReplaceEngine {
        /// The engine.
        number: u8,
    },
    /// An engine misbehaves.
    Misconduct {
        /// The engine.
        number: u8,
        /// How.
        conduct: crate::engine::Conduct,
        /// How long.
        time: Duration,
    },
    /// An engine leaves orders unanswered and carries them out late.
    LateOrders {
        /// The engine.
        number: u8,
        /// How much later.
        delay: Duration,
        /// How long.
        time: Duration,
    },
}

/// A fault and when it begins, from the start of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

fn milliseconds(random: &mut Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.u64(range))
}

fn any_process(random: &mut Rng) -> Party {
    let number = random.u8(..COORDINATORS + GATEWAYS);
    if number < COORDINATORS { Party::Coordinator(number) } else { Party::Gateway(number - COORDINATORS) }
}

fn any_engine(random: &mut Rng) -> u8 {
    random.u8(..ENGINES)
}

fn restart(random: &mut Rng) -> Fault {
    let party = any_process(random);
    let is_coordinator = matches!(party, Party::Coordinator(_));
    let end = match random.u8(..8) {
        0..2 if is_coordinator => End::LoseDisk,
        2..4 if is_coordinator => End::TearLog,
        4..6 => End::Stop,
        _ => End::Kill,
    };
    Fault::Restart { party, end, down: milliseconds(random, 50..3_000) }
}

fn cut(random: &mut Rng) -> Fault {
    let condition = match random.u8(..5) {
        0 => Condition::Reset,
        1..3 => Condition::Delayed(milliseconds(random, 5..LONGEST_DELAY_MS)),
        _ => Condition::Silent,
    };
    let direction = match random.u8(..4) {
        0 => Direction::Out,
        1 => Direction::In,
        _ => Direction::Both,
    };
    let party = if random.u8(..5) == 0 { Party::Engine(any_engine(random)) } else { any_process(random) };
    let time = milliseconds(random, 300..5_000);
    Fault::Cut { party, condition, direction, time, coordinators_only: random.bool() }
}

fn misconduct(random: &mut Rng) -> Fault {
    use crate::engine::Conduct;
    let conduct = match random.u8(..6) {
        0 => Conduct::Slow(random.u32(3..12)),
        1 => Conduct::Refusing,
        2 => Conduct::Failing,
        3 => Conduct::BreakingOff,
        4 => Conduct::Hanging,
        _ => Conduct::Mistaken,
    };
    Fault::Misconduct { number: any_engine(random), conduct, time: milliseconds(random, 300..4_000) }
}

fn any_fault(random: &mut Rng) -> Fault {
    match random.u8(..20) {
        0..5 => restart(random),
        5 => Fault::KillAll { down: milliseconds(random, 50..1_500) },
        6..9 => Fault::Freeze { party: any_process(random), time: milliseconds(random, 200..5_000) },
        9..13 => cut(random),
        13 => Fault::RefuseWrites { number: random.u8(..COORDINATORS), time: milliseconds(random, 300..3_000) },
        14 => Fault::CrashEngine { number: any_engine(random), down: milliseconds(random, 100..3_000) },
        15..17 => Fault::ReplaceEngine { number: any_engine(random) },
        17 => Fault::LateOrders {
            number: 2 * WEB_ENGINES + random.u8(..MODEL_ENGINES),
            delay: milliseconds(random, 1_000..4_000),
            time: milliseconds(random, 1_000..4_000),
        },
        _ => misconduct(random),
    }
}

/// The faults of a soak with this seed and length.
pub fn draw(seed: u64, length: Duration) -> Vec<Planned> {
    let mut random = Rng::with_seed(seed);
    let mut planned = Vec::new();
    let mut at = milliseconds(&mut random, PAUSE_MS);
    while at < length {
        planned.push(Planned { at, fault: any_fault(&mut random) });
        at += milliseconds(&mut random, PAUSE_MS);
    }
    planned
}
