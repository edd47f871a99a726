//! Every command of the soak says what it does when asked.

use std::process::Command;

#[test]
fn every_command_answers_help() {
    for arguments in [&["--help"][..], &["run", "--help"], &["regressions", "--help"], &["plan", "-h"]] {
        let answer = Command::new(env!("CARGO_BIN_EXE_saddlerelay-soak")).args(arguments).output();
        let answer = answer.expect("the program starts");
        let told = String::from_utf8_lossy(&answer.stdout).contains("randomized faults");
        assert!(answer.status.success() && told, "{arguments:?}");
    }
}
