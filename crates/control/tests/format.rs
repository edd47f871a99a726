//! What the log and snapshots hold is read as it was written, or refused: a layout that changes takes a new format.

use saddlerelay_control::machine::ControlMachine;
use saddlerelay_control::state::ControlState;
use saddlerelay_replication::StateMachine;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayCommand, TrialRequest};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::protocol::{Command, LogCommand};
use saddlerelay_types::suspicion::{EngineLoss, HeldTrial, TrialId, TrialStanding, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use xxhash_rust::xxh3::xxh3_64;

/// A format and the digest of what it writes below. Where the second changes, raise the first.
const LAYOUT: (u32, u64) = (9, 10_373_770_147_888_263_458);

fn work() -> WorkDigest {
    WorkDigest::of_posted(None, "host", "/rollouts", b"an item")
}

/// Commands about suspected work, the last of the gateway's: one that is added before them moves them all.
fn commands() -> Vec<GatewayCommand> {
    let id = TrialId { holder: Incarnation(1), number: 2 };
    let held = HeldTrial { work: work(), id };
    let loss = EngineLoss { work: work(), instance: InstanceId::named("engine") };
    vec![
        GatewayCommand::TakeEvidence(WorkEvidence { losses: vec![loss], served: Vec::new() }),
        GatewayCommand::BeginTrial(TrialRequest { work: work(), id, limit_ms: 40_000 }),
        GatewayCommand::RenewTrials(vec![held]),
        GatewayCommand::ExpireTrials(vec![TrialStanding { held, renewals: 7 }]),
        GatewayCommand::EndTrial { work: work(), id: TrialId { holder: Incarnation(9), number: 9 } },
        GatewayCommand::ExpireSuspicions,
    ]
}

#[test]
fn a_layout_that_changes_takes_a_new_format() {
    let mut machine = ControlMachine::default();
    let mut written = bitcode::encode(&ControlState::default());
    for command in commands() {
        let entry = bitcode::encode(&LogCommand { time: 1_764_720_000_000, command: Command::Gateway(command) });
        machine.apply(&entry);
        written.extend(entry);
    }
    written.extend(machine.snapshot());
    assert_eq!((FeatureLevel::NEWEST.file_format(), xxh3_64(&written)), LAYOUT);
}
