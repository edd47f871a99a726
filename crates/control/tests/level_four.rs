//! What feature level four adds to level three matches golden files of its first released build: log entries about
//! suspected work and its retrials, and the resulting snapshot. All other layouts are those of level three.
//!
//! The golden files `pictures/level_four.*` were written by this test with
//! `PICTURES=FOLDER cargo test --release -p saddlerelay-control --test level_four`. They must not be changed.

mod common;

use common::golden_files::{check_golden_files, framed};
use saddlerelay_control::machine::ControlMachine;
use saddlerelay_layouts::commands;
use saddlerelay_replication::StateMachine;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayCommand, TrialRequest};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::protocol::Command;
use saddlerelay_types::suspicion::{EngineLoss, Retrial, TrialId, WorkEvidence};
use saddlerelay_types::work::WorkDigest;

const ENTRIES: usize = 400;
const WORKS: u32 = 7;
const ENGINES: u32 = 60;

/// Log time of the first entry, in Unix milliseconds.
const FIRST_TIME: u64 = 1_764_720_000_000;

fn work(random: &mut fastrand::Rng) -> WorkDigest {
    WorkDigest::of_post_request(None, "host", "/rollouts", &random.u32(..WORKS).to_le_bytes())
}

fn evidence(random: &mut fastrand::Rng) -> WorkEvidence {
    let loss = |random: &mut fastrand::Rng| EngineLoss {
        work: work(random),
        instance: InstanceId::started(format!("engine-{}", random.u32(..ENGINES)), random.u64(..3)),
    };
    let losses = (0..random.usize(..4)).map(|_| loss(random)).collect();
    let served = (0..random.usize(..10) / 9).map(|_| work(random)).collect();
    WorkEvidence { losses, served }
}

fn command(random: &mut fastrand::Rng) -> GatewayCommand {
    let id = TrialId { holder: Incarnation(random.u64(..3)), number: random.u64(..4) };
    match random.u32(..8) {
        0..=3 => GatewayCommand::RecordEvidence(evidence(random)),
        4 => GatewayCommand::BeginTrial(TrialRequest { work: work(random), id, limit_ms: 40_000 }),
        5 => GatewayCommand::EndTrial { work: work(random), id },
        6 => GatewayCommand::AllowRetrials(vec![Retrial { work: work(random), number: random.u32(..3) }]),
        _ => GatewayCommand::ExpireSuspicions,
    }
}

/// Entries with random commands; the log's time advances by up to ten minutes now and then.
fn entries() -> Vec<Vec<u8>> {
    let mut random = fastrand::Rng::with_seed(75);
    let mut time = FIRST_TIME;
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        time += if number % 50 == 49 { random.u64(..600_000) } else { random.u64(..400) };
        let command = Command::Gateway(command(&mut random));
        let encoded = commands::encode(time, command, FeatureLevel::Four);
        entries.push(encoded.expect("level four has all commands").concat());
    }
    entries
}

fn machine() -> ControlMachine {
    let mut machine = ControlMachine::default();
    machine.enter_level(FeatureLevel::Four);
    machine
}

/// The entries and the snapshot written by this build, by file name extension of the golden files.
fn written_by_this_build() -> [(&'static str, Vec<u8>); 2] {
    let mut machine = machine();
    let entries = entries();
    entries.iter().for_each(|entry| drop(machine.apply(entry)));
    [("log", framed(&entries)), ("state", machine.snapshot())]
}

#[test]
fn encodings_match_the_first_released_build() {
    check_golden_files("level_four", written_by_this_build());
}

/// A replica that was sent a snapshot has the same state as one that applied every entry.
#[test]
fn a_restored_snapshot_leads_to_the_same_state_at_every_entry() {
    let mut applied = machine();
    for entry in entries() {
        let mut restored = machine();
        restored.restore(&applied.snapshot(), FeatureLevel::Four);
        restored.apply(&entry);
        applied.apply(&entry);
        assert!(restored.snapshot() == applied.snapshot());
    }
}

#[test]
fn older_levels_cannot_encode_retrials() {
    for level in FeatureLevel::ALL.into_iter().filter(|level| *level < FeatureLevel::Four) {
        let command = Command::Gateway(GatewayCommand::AllowRetrials(Vec::new()));
        assert_eq!(commands::encode(FIRST_TIME, command, level), None, "level {level}");
    }
}
