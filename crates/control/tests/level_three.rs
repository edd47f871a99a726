//! What feature level three adds to level two matches golden files of its first released build: log entries that advance
//! the uptime, and the resulting snapshot. All other layouts are those of level two, see `level_two.rs`.
//!
//! The golden files `pictures/level_three.*` were written by this test with
//! `PICTURES=FOLDER cargo test --release -p saddlerelay-control --test level_three`. They must not be changed.

use saddlerelay_control::machine::ControlMachine;
use saddlerelay_layouts::commands;
use saddlerelay_replication::StateMachine;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayCommand, UptimeAdvance};
use saddlerelay_types::job::{JobId, JobSubmission};
use saddlerelay_types::protocol::Command;
use std::path::Path;

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

fn framed(parts: &[Vec<u8>]) -> Vec<u8> {
    let frame = |part: &Vec<u8>| [&(part.len() as u32).to_le_bytes(), part.as_slice()].concat();
    parts.iter().flat_map(frame).collect()
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
    for (extension, bytes) in written_by_this_build() {
        let name = format!("level_three.{extension}");
        if let Ok(folder) = std::env::var("PICTURES") {
            std::fs::write(Path::new(&folder).join(name), bytes).expect("the golden file can be written");
            continue;
        }
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/pictures").join(&name);
        let released = std::fs::read(file).expect("the golden file can be read");
        assert!(
            bytes == released,
            "{name}: a layout or the effect of a command has changed without a new feature level"
        );
    }
}
