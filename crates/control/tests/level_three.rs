//! What feature level three adds to level two matches golden files of its first released build: log entries that advance
//! the uptime, and the resulting snapshot. All other layouts are those of level two, see `level_two.rs`.
//!
//! The golden files `pictures/level_three.*` were written by this test with
//! `PICTURES=FOLDER cargo test --release -p saddlerelay-control --test level_three`. They must not be changed.

mod common;

use common::golden_files::{check_golden_files, framed};
use saddlerelay_control::machine::ControlMachine;
use saddlerelay_layouts::commands;
use saddlerelay_replication::StateMachine;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayCommand, UptimeAdvance};
use saddlerelay_types::job::{JobId, JobSubmission};
use saddlerelay_types::protocol::Command;

const JOBS: u64 = 12;

/// Retention of ended jobs, in milliseconds.
const KEEP_MS: u64 = 30_000;

fn submission(number: u64) -> GatewayCommand {
    let job = JobSubmission {
        id: JobId(format!("job-{number}")),
        host: "host.example".to_string(),
        path: "/rollouts/x".to_string(),
        owner: None,
        model: Some("notes".to_string()),
        step: number,
        minimum_version: 1,
        wanted_groups: 1,
        items: Vec::new(),
    };
    GatewayCommand::SubmitJob { job, keep_ms: KEEP_MS }
}

/// Jobs that end and expire, one that stays open, and an advance that is too late.
fn gateway_commands() -> Vec<GatewayCommand> {
    let advance =
        |since_ms, elapsed_ms| GatewayCommand::ExpireJobs(UptimeAdvance { since_ms, elapsed_ms, keep_ms: KEEP_MS });
    let commands_of = |number: u64| {
        let mut commands = vec![submission(number), advance(number * 10_000, 10_000), advance(number, 99_000)];
        if number != 2 {
            commands.push(GatewayCommand::EndJob(JobId(format!("job-{number}"))));
        }
        commands
    };
    (0..JOBS).flat_map(commands_of).collect()
}

/// The entries and the snapshot written by this build, by file name extension of the golden files.
fn written_by_this_build() -> [(&'static str, Vec<u8>); 2] {
    let mut machine = ControlMachine::default();
    machine.enter_level(FeatureLevel::Three);
    let encode = |(number, command): (usize, GatewayCommand)| {
        let time = 1_764_720_000_000 + number as u64 * 10;
        let entries = commands::encode(time, Command::Gateway(command), FeatureLevel::Three);
        entries.expect("level three has all commands").concat()
    };
    let entries: Vec<Vec<u8>> = gateway_commands().into_iter().enumerate().map(encode).collect();
    entries.iter().for_each(|entry| drop(machine.apply(entry)));
    [("log", framed(&entries)), ("state", machine.snapshot())]
}

#[test]
fn encodings_match_the_first_released_build() {
    check_golden_files("level_three", written_by_this_build());
}
