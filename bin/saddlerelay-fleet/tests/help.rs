//! Every command of the fleet says what it does when asked.

use std::process::Command;

#[test]
fn every_command_answers_help() {
    for arguments in
        [&["--help"][..], &["run", "--help"], &["experiment", "--help"], &["scale", "-h"], &["bench", "--help"]]
    {
        let answer = Command::new(env!("CARGO_BIN_EXE_saddlerelay-fleet")).args(arguments).output();
        let answer = answer.expect("the program starts");
        let told = String::from_utf8_lossy(&answer.stdout).contains("runs a whole deployment");
        assert!(answer.status.success() && told, "{arguments:?}");
    }
}
