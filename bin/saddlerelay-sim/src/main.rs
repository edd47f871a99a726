//! Deterministic simulation of whole deployments: see `saddlerelay-sim --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    saddlerelay_simulator::command_line::main(std::env::args_os().skip(1).collect())
}
