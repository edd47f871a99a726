//! Each command prints the help text.

use std::process::Command;

#[test]
fn every_command_prints_help() {
    for arguments in [&["--help"][..], &["run", "--help"], &["regressions", "--help"], &["plan", "-h"]] {
        let output = Command::new(env!("CARGO_BIN_EXE_saddlerelay-soak")).args(arguments).output();
        let output = output.expect("failed to start the program");
        let mentions_faults = String::from_utf8_lossy(&output.stdout).contains("randomized faults");
        assert!(output.status.success() && mentions_faults, "{arguments:?}");
    }
}
