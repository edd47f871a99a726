//! Runs a stand-in for an external system; see `saddlerelay-standin --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    match saddlerelay_standins::http::process::run(std::env::args_os().skip(1).collect()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("saddlerelay-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}
