//! Runs a deployment as processes on one machine; see `saddlerelay-fleet --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    saddlerelay_fleet_runner::command_line::main(std::env::args_os().skip(1).collect())
}
