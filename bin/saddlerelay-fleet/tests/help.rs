//! Every command prints its help text.

use std::process::Command;

#[test]
fn every_command_prints_its_help() {
    for arguments in
        [&["--help"][..], &["run", "--help"], &["experiment", "--help"], &["scale", "-h"], &["bench", "--help"]]
    {
        let output = Command::new(env!("CARGO_BIN_EXE_saddlerelay-fleet")).args(arguments).output();
        let output = output.expect("failed to start the program");
        let has_help = String::from_utf8_lossy(&output.stdout).contains("runs a whole deployment");
        assert!(output.status.success() && has_help, "{arguments:?}");
    }
}
