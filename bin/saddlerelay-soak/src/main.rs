//! Runs the product's processes under randomized faults: see `saddlerelay-soak --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    saddlerelay_soak_runner::command_line::main(std::env::args_os().skip(1).collect())
}
