//! Each command prints the help text.

use std::process::Command;

#[test]
fn every_command_prints_help() {
    for arguments in [&["--help"][..], &["run", "--help"], &["regressions", "--help"], &["plan", "-h"]] {
        let answer = Command::new(env!("CARGO_BIN_EXE_saddlerelay-soak")).args(arguments).output();
        let answer = answer.expect("the program starts");
        let mentions_faults = String::from_utf8_lossy(&answer.stdout).contains("randomized faults");
        assert!(answer.status.success() && mentions_faults, "{arguments:?}");
    }
}
