//! Layouts of log entries and snapshots do not change without a new file format number.

use saddlerelay_control::machine::ControlMachine;
use saddlerelay_control::state::ControlState;
use saddlerelay_replication::StateMachine;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayCommand, TrialRequest, UptimeAdvance};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::protocol::{Command, LogCommand};
use saddlerelay_types::suspicion::{EngineLoss, HeldTrial, Retrial, TrialId, TrialLease, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use xxhash_rust::xxh3::xxh3_64;

/// File format number, and digest of the data written in that format. If the digest changes, increase the number.
const LAYOUT: (u32, u64) = (14, 6_156_919_645_601_937_430);

fn work() -> WorkDigest {
    WorkDigest::of_post_request(None, "host", "/rollouts", b"an item")
}

/// The last variants of the commands: a variant added before them changes their encoding.
fn commands() -> Vec<GatewayCommand> {
    let id = TrialId { holder: Incarnation(1), number: 2 };
    let held = HeldTrial { work: work(), id };
    let loss = EngineLoss { work: work(), instance: InstanceId::without_start_time("engine") };
    vec![
        GatewayCommand::RecordEvidence(WorkEvidence { losses: vec![loss], served: Vec::new() }),
        GatewayCommand::BeginTrial(TrialRequest { work: work(), id, limit_ms: 40_000 }),
        GatewayCommand::RenewTrials(vec![held]),
        GatewayCommand::ExpireTrials(vec![TrialLease { held, renewals: 7 }]),
        GatewayCommand::EndTrial { work: work(), id: TrialId { holder: Incarnation(9), number: 9 } },
        GatewayCommand::ExpireSuspicions,
        GatewayCommand::ExpireJobs(UptimeAdvance { since_ms: 0, elapsed_ms: 10_000, keep_ms: 150_000 }),
        GatewayCommand::AllowRetrials(vec![Retrial { work: work(), number: 0 }]),
    ]
}

#[test]
fn changed_layout_requires_a_new_file_format() {
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
