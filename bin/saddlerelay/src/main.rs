//! The `saddlerelay` command-line program.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    ExitCode::from(saddlerelay_command_line::run(arguments) as u8)
}
