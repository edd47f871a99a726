//! Fault plans, generated deterministically from a seed.

use crate::builds::Build;
use crate::case::{Case, PlanKind};
use crate::deployment::Size;
use crate::links::{Condition, Party};
use crate::lossy_zone::LossyZone;
use fastrand::Rng;
use std::time::Duration;

/// Number of engines of each of the two web services.
pub const WEB_ENGINES: u8 = 2;
/// Number of engines that run the model.
pub const MODEL_ENGINES: u8 = 4;
/// Total number of engines.
pub const ENGINES: u8 = 2 * WEB_ENGINES + MODEL_ENGINES;

/// Interval between the starts of consecutive faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 400..2_600;

/// Interval between the starts of consecutive series or suspensions, in milliseconds.
const OVERLAPPING_PAUSE_MS: std::ops::Range<u64> = 1_000..5_000;

/// XORed into the seed for overlapping faults, so that the other faults are the same as in a `single` plan.
const OVERLAPPING_SEED: u64 = 0x5e_71e5;

/// Maximum number of rounds in a series.
const MAX_ROUNDS: usize = 4;

/// Gap between two signals of a round, in milliseconds. Extends beyond half of the shutdown grace, when a stopping
/// gateway closes its listener.
const GAP_MS: std::ops::Range<u64> = 0..3_000;

/// Maximum downtime between two rounds, in milliseconds.
const MAX_DOWN_MS: u64 = 300;

/// Duration of a suspension, in milliseconds; exceeds the longest lease, the 3 s order lease.
const SUSPENSION_MS: std::ops::Range<u64> = 3_500..8_000;

/// Maximum link delay, in milliseconds; small compared with a relay's lease.
const MAX_DELAY_MS: u64 = 100;

/// How a process is terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Killed.
    Kill,
    /// Killed, and its data folder is deleted.
    LoseDisk,
    /// Killed during a write: a torn record follows the last complete one in its log.
    TearLog,
    /// Gracefully stopped.
    Stop,
}

/// Direction of a link fault, relative to a party.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Both directions.
    Both,
    /// Traffic from the party.
    Out,
    /// Traffic to the party.
    In,
}

/// Signals to one process, the later ones sent before the earlier ones are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overlap {
    /// A new routing document, a reload signal, and a stop signal before both are handled.
    StopDuringReload,
    /// A stop signal, sent twice.
    StopTwice,
    /// A stop signal, then a reload signal.
    ReloadWhileStopping,
    /// A stop signal, then a kill.
    KillWhileStopping,
    /// A kill and immediate restart while the process's outgoing traffic is blocked, so that its peers still see the
    /// old connections as open.
    RestartUnderOldConnections,
}

/// One round of a series: the process ends and is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round {
    /// Signals sent.
    pub overlap: Overlap,
    /// Time between the signals.
    pub gap: Duration,
    /// Downtime before the restart.
    pub down: Duration,
}

/// Fault of the coordinator that leads the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderFault {
    /// Killed, and restarted after this downtime.
    Kill(Duration),
    /// Frozen for this duration.
    Freeze(Duration),
    /// Partitioned from the product's other processes for this duration; engines stay reachable.
    CutFromProcesses(Duration),
    /// Partitioned from all processes and engines for this duration; clients, trainers and operators still reach it.
    CutFromAll(Duration),
    /// Its file writes fail for this duration.
    RefuseWrites(Duration),
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Rounds of overlapping signals at one process.
    Series {
        /// Affected process.
        party: Party,
        /// Rounds, in order.
        rounds: Vec<Round>,
    },
    /// Processes are frozen for longer than any lease, as on a suspended machine.
    Suspend {
        /// Affected processes.
        parties: Vec<Party>,
        /// Duration.
        time: Duration,
    },
    /// The coordinators listed in the settings are replaced one at a time; then all processes are killed and restarted
    /// with the same settings.
    ReplaceMembers,
    /// The leader's zone loses packets on its links to all other zones.
    LossyZone(LossyZone),
    /// A process ends and is restarted.
    Restart {
        /// Affected process.
        party: Party,
        /// How it is terminated.
        end: End,
        /// Downtime before the restart.
        down: Duration,
    },
    /// A process ends and is restarted with another build.
    ReplaceBuild {
        /// Affected process.
        party: Party,
        /// Build it is restarted with.
        build: Build,
        /// How it is terminated.
        end: End,
        /// Downtime before the restart.
        down: Duration,
    },
    /// All coordinators are killed simultaneously.
    KillAll {
        /// Downtime before the restart.
        down: Duration,
    },
    /// A process is frozen.
    Freeze {
        /// Affected process.
        party: Party,
        /// Duration.
        time: Duration,
    },
    /// A party's links to the product's processes are impaired.
    Cut {
        /// Affected party.
        party: Party,
        /// Condition set on the links.
        condition: Condition,
        /// Affected direction.
        direction: Direction,
        /// Duration.
        time: Duration,
        /// Whether only links to coordinators are affected; otherwise links to engines are, too.
        coordinators_only: bool,
    },
    /// File writes of a coordinator fail.
    RefuseWrites {
        /// Affected coordinator.
        number: u8,
        /// Duration.
        time: Duration,
    },
    /// An engine crashes; its next instance reuses the address.
    CrashEngine {
        /// Affected engine.
        number: u8,
        /// Time until the next instance listens there.
        down: Duration,
    },
    /// An engine crashes and sends no reports until its address is used again.
    EndEngine {
        /// Affected engine.
        number: u8,
        /// Time until the next instance listens there.
        down: Duration,
    },
    /// A fault of the coordinator that leads the group when the fault begins.
    HarmLeader(LeaderFault),
    /// An engine is drained and replaced.
    ReplaceEngine {
        /// Affected engine.
        number: u8,
    },
    /// An engine misbehaves on requests.
    Misconduct {
        /// Affected engine.
        number: u8,
        /// Misbehavior.
        conduct: crate::engine::EngineBehavior,
        /// Duration.
        time: Duration,
    },
    /// An engine does not answer orders and executes them late.
    LateOrders {
        /// Affected engine.
        number: u8,
        /// Delay until an order is executed.
        delay: Duration,
        /// Duration.
        time: Duration,
    },
}

/// A scheduled fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Start time, relative to the start of the load.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// A random duration within a range of milliseconds.
pub(crate) fn milliseconds(random: &mut Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.u64(range))
}

fn random_process(random: &mut Rng, size: Size) -> Party {
    let number = random.u8(..size.coordinators + size.gateways);
    if number < size.coordinators { Party::Coordinator(number) } else { Party::Gateway(number - size.coordinators) }
}

fn random_engine(random: &mut Rng) -> u8 {
    random.u8(..ENGINES)
}

fn restart(random: &mut Rng, size: Size) -> Fault {
    let party = random_process(random, size);
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
        1..3 => Condition::Delayed(milliseconds(random, 5..MAX_DELAY_MS)),
        _ => Condition::Silent,
    };
    let direction = match random.u8(..4) {
        0 => Direction::Out,
        1 => Direction::In,
        _ => Direction::Both,
    };
    let party = if random.u8(..5) == 0 { Party::Engine(random_engine(random)) } else { random_process(random, size) };
    let time = milliseconds(random, 300..5_000);
    Fault::Cut { party, condition, direction, time, coordinators_only: random.bool() }
}

fn misbehavior(random: &mut Rng) -> Fault {
    use crate::engine::EngineBehavior;
    let conduct = match random.u8(..6) {
        0 => EngineBehavior::Slow(random.u32(3..12)),
        1 => EngineBehavior::Refusing,
        2 => EngineBehavior::Failing,
        3 => EngineBehavior::BreakingOff,
        4 => EngineBehavior::Hanging,
        _ => EngineBehavior::Mistaken,
    };
    Fault::Misconduct { number: random_engine(random), conduct, time: milliseconds(random, 300..4_000) }
}

pub(crate) fn random_fault(random: &mut Rng, size: Size) -> Fault {
    match random.u8(..20) {
        0..5 => restart(random, size),
        5 => Fault::KillAll { down: milliseconds(random, 50..1_500) },
        6..9 => Fault::Freeze { party: random_process(random, size), time: milliseconds(random, 200..5_000) },
        9..13 => cut(random, size),
        13 => Fault::RefuseWrites { number: random.u8(..size.coordinators), time: milliseconds(random, 300..3_000) },
        14 => Fault::CrashEngine { number: random_engine(random), down: milliseconds(random, 100..3_000) },
        15..17 => Fault::ReplaceEngine { number: random_engine(random) },
        17 => Fault::LateOrders {
            number: 2 * WEB_ENGINES + random.u8(..MODEL_ENGINES),
            delay: milliseconds(random, 1_000..4_000),
            time: milliseconds(random, 1_000..4_000),
        },
        _ => misbehavior(random),
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
    Round { overlap, gap: milliseconds(random, GAP_MS), down: milliseconds(random, 0..MAX_DOWN_MS) }
}

fn suspension(random: &mut Rng, size: Size) -> Fault {
    let time = milliseconds(random, SUSPENSION_MS);
    let parties = match random.u8(..3) {
        0 => (0..size.coordinators).map(Party::Coordinator).collect(),
        1 => (0..size.gateways).map(Party::Gateway).collect(),
        _ => vec![random_process(random, size)],
    };
    Fault::Suspend { parties, time }
}

fn random_overlapping(random: &mut Rng, size: Size) -> Fault {
    if random.u8(..4) == 0 {
        return suspension(random, size);
    }
    let party = random_process(random, size);
    let count = random.usize(1..=MAX_ROUNDS);
    Fault::Series { party, rounds: (0..count).map(|_| round(random)).collect() }
}

/// Generates faults whose starts are separated by pauses drawn from `pause_ms`.
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

/// Generates the faults of a case for a soak of this length.
pub fn draw(case: Case, length: Duration) -> Vec<Planned> {
    match case.kind {
        PlanKind::Paired | PlanKind::SingleVersion => return crate::pairs::draw(case, length),
        PlanKind::Upgrade => return crate::upgrades::draw(case, length),
        PlanKind::Lossy => return crate::lossy_zone::draw(case),
        PlanKind::Single | PlanKind::Overlapping | PlanKind::Replaced => {}
    }
    let mut planned = draw_from(Rng::with_seed(case.seed), length, PAUSE_MS, |random| random_fault(random, case.size));
    if case.kind != PlanKind::Single {
        let random = Rng::with_seed(case.seed ^ OVERLAPPING_SEED);
        planned.extend(draw_from(random, length, OVERLAPPING_PAUSE_MS, |random| random_overlapping(random, case.size)));
        planned.sort_by_key(|planned| planned.at);
    }
    if case.kind == PlanKind::Replaced {
        planned.push(Planned { at: length, fault: Fault::ReplaceMembers });
    }
    planned
}
