//! The faults of a soak, drawn from its seed.

use crate::builds::Build;
use crate::case::{Case, PlanKind};
use crate::deployment::Size;
use crate::links::{Condition, Party};
use crate::lossy_zone::LossyZone;
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

/// Pause between the beginnings of two series or suspensions, in milliseconds.
const OVERLAPPING_PAUSE_MS: std::ops::Range<u64> = 1_000..5_000;

/// Added to a case's seed for the faults that overlap, so that the others stay as they are without them.
const OVERLAPPING_SEED: u64 = 0x5e_71e5;

/// Most rounds of a series.
const MOST_ROUNDS: usize = 4;

/// From one signal of a round to the next, in milliseconds: up to beyond the moment at which a stopping gateway takes no
/// more connections, half of the grace after the signal.
const GAP_MS: std::ops::Range<u64> = 0..3_000;

/// Longest time for which a process is down between two rounds, in milliseconds.
const LONGEST_DOWN_MS: u64 = 300;

/// Time of a suspension, in milliseconds: longer than the lease of a holder of orders, 3 s, the longest of all.
const SUSPENSION_MS: std::ops::Range<u64> = 3_500..8_000;

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

/// Signals to one process that follow each other before it has done with the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overlap {
    /// A new routing document is sent, a reload is signalled, and a planned stop before both are done.
    StopDuringReload,
    /// A planned stop, and the same signal again.
    StopTwice,
    /// A planned stop, and a reload.
    ReloadWhileStopping,
    /// A planned stop that is broken off by a kill.
    KillWhileStopping,
    /// Killed and started again at once, while what it had sent last is held back, so that its old connections stand.
    RestartUnderOldConnections,
}

/// One round of a series: the process has ended, and runs again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round {
    /// The signals.
    pub overlap: Overlap,
    /// From one signal to the next.
    pub gap: Duration,
    /// How long the process is down.
    pub down: Duration,
}

/// What happens to the coordinator that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderHarm {
    /// It is killed, and is down for this long.
    Kill(Duration),
    /// It stands still.
    Freeze(Duration),
    /// Nothing passes between it and the other processes of the product; engines are reached.
    CutFromProcesses(Duration),
    /// Nothing passes between it and anyone but clients, trainers and operators.
    CutFromAll(Duration),
    /// It can write no more to its files.
    RefuseWrites(Duration),
}

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Signals overlap, round after round, at one process.
    Series {
        /// The process.
        party: Party,
        /// The rounds.
        rounds: Vec<Round>,
    },
    /// Processes stand still for longer than any lease lasts, as on a machine that is suspended.
    Suspend {
        /// The processes.
        parties: Vec<Party>,
        /// How long.
        time: Duration,
    },
    /// The group moves away from the coordinators that the settings name, one at a time; then every process is killed,
    /// and comes back with the same settings.
    ReplaceMembers,
    /// The zone of the coordinator that leads loses packets to all others.
    LossyZone(LossyZone),
    /// A process ends and starts again.
    Restart {
        /// The process.
        party: Party,
        /// How it ends.
        end: End,
        /// How long it is down.
        down: Duration,
    },
    /// A process ends and comes back as another build.
    ReplaceBuild {
        /// The process.
        party: Party,
        /// The build.
        build: Build,
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
    /// An engine ends for good: for long, nobody answers at its address, and none is reported there.
    EndEngine {
        /// The engine.
        number: u8,
        /// How long its address stays empty.
        down: Duration,
    },
    /// The coordinator that leads the group at that moment is harmed.
    HarmLeader(LeaderHarm),
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
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

/// A time from a range of milliseconds.
pub(crate) fn milliseconds(random: &mut Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.u64(range))
}

fn any_process(random: &mut Rng, size: Size) -> Party {
    let number = random.u8(..size.coordinators + size.gateways);
    if number < size.coordinators { Party::Coordinator(number) } else { Party::Gateway(number - size.coordinators) }
}

fn any_engine(random: &mut Rng) -> u8 {
    random.u8(..ENGINES)
}

fn restart(random: &mut Rng, size: Size) -> Fault {
    let party = any_process(random, size);
    let is_coordinator = matches!(party, Party::Coordinator(_));
    let end = match random.u8(..8) {
        0..2 if is_coordinator => End::LoseDisk,
        2..4 if is_coordinator => End::TearLog,
        4..6 => End::Stop,
        _ => End::Kill,
    };
    Fault::Restart { party, end, down: milliseconds(random, 50..3_000) }
}

fn cut(random: &mut Rng, size: Size) -> Fault {
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
    let party = if random.u8(..5) == 0 { Party::Engine(any_engine(random)) } else { any_process(random, size) };
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

pub(crate) fn any_fault(random: &mut Rng, size: Size) -> Fault {
    match random.u8(..20) {
        0..5 => restart(random, size),
        5 => Fault::KillAll { down: milliseconds(random, 50..1_500) },
        6..9 => Fault::Freeze { party: any_process(random, size), time: milliseconds(random, 200..5_000) },
        9..13 => cut(random, size),
        13 => Fault::RefuseWrites { number: random.u8(..size.coordinators), time: milliseconds(random, 300..3_000) },
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

fn round(random: &mut Rng) -> Round {
    let overlap = match random.u8(..5) {
        0 => Overlap::StopDuringReload,
        1 => Overlap::StopTwice,
        2 => Overlap::ReloadWhileStopping,
        3 => Overlap::KillWhileStopping,
        _ => Overlap::RestartUnderOldConnections,
    };
    Round { overlap, gap: milliseconds(random, GAP_MS), down: milliseconds(random, 0..LONGEST_DOWN_MS) }
}

fn suspension(random: &mut Rng, size: Size) -> Fault {
    let time = milliseconds(random, SUSPENSION_MS);
    let parties = match random.u8(..3) {
        0 => (0..size.coordinators).map(Party::Coordinator).collect(),
        1 => (0..size.gateways).map(Party::Gateway).collect(),
        _ => vec![any_process(random, size)],
    };
    Fault::Suspend { parties, time }
}

fn any_overlapping(random: &mut Rng, size: Size) -> Fault {
    if random.u8(..4) == 0 {
        return suspension(random, size);
    }
    let party = any_process(random, size);
    let count = random.usize(1..=MOST_ROUNDS);
    Fault::Series { party, rounds: (0..count).map(|_| round(random)).collect() }
}

/// Faults from one source of randomness, with pauses drawn from `pause_ms` between their beginnings.
fn draw_from(
    mut random: Rng,
    length: Duration,
    pause_ms: std::ops::Range<u64>,
    fault: impl Fn(&mut Rng) -> Fault,
) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = milliseconds(&mut random, pause_ms.clone());
    while at < length {
        planned.push(Planned { at, fault: fault(&mut random) });
        at += milliseconds(&mut random, pause_ms.clone());
    }
    planned
}

/// The faults of a case with this length.
pub fn draw(case: Case, length: Duration) -> Vec<Planned> {
    match case.kind {
        PlanKind::Paired => return crate::pairs::draw(case, length),
        PlanKind::Upgrade => return crate::upgrades::draw(case, length),
        PlanKind::Lossy => return crate::lossy_zone::draw(case),
        PlanKind::Single | PlanKind::Overlapping | PlanKind::Replaced => {}
    }
    let mut planned = draw_from(Rng::with_seed(case.seed), length, PAUSE_MS, |random| any_fault(random, case.size));
    if case.kind != PlanKind::Single {
        let random = Rng::with_seed(case.seed ^ OVERLAPPING_SEED);
        planned.extend(draw_from(random, length, OVERLAPPING_PAUSE_MS, |random| any_overlapping(random, case.size)));
        planned.sort_by_key(|planned| planned.at);
    }
    if case.kind == PlanKind::Replaced {
        planned.push(Planned { at: length, fault: Fault::ReplaceMembers });
    }
    planned
}
