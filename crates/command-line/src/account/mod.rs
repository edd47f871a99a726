//! `account`: progress of training steps and use of engines, from the logs of coordinators.

mod steps;
mod svg;

use crate::{CommandError, Exit};
use lexopt::prelude::*;
use saddlerelay_telemetry::line::LogLine;
use std::path::PathBuf;

pub use steps::{Account, StepAccount, Usage};

struct Options {
    files: Vec<PathBuf>,
    svg_file: Option<PathBuf>,
}

/// Runs the command.
pub fn run(parser: &mut lexopt::Parser) -> Result<(), CommandError> {
    let options = parse(parser)?;
    let lines = crate::logs::read_all(&options.files)?;
    let account = of_lines(&lines)?;
    for line in account.table() {
        println!("{line}");
    }
    if let Some(file) = options.svg_file {
        svg::write(&account, &file).map_err(|reason| CommandError::new(Exit::Failed, reason))?;
    }
    Ok(())
}

/// Builds the account of `lines`, which must be sorted by time.
pub fn of_lines(lines: &[LogLine]) -> Result<Account, CommandError> {
    let account = Account::of(lines);
    if account.steps.is_empty() {
        let reason = "these logs contain no started job: name those of the coordinators, from before the first step";
        return Err(CommandError::new(Exit::Failed, reason));
    }
    Ok(account)
}

fn parse(parser: &mut lexopt::Parser) -> Result<Options, CommandError> {
    let mut options = Options { files: Vec::new(), svg_file: None };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("svg") => options.svg_file = Some(PathBuf::from(parser.value()?)),
            Value(value) => options.files.push(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.files.is_empty() {
        return Err(CommandError::new(Exit::Usage, "missing log file"));
    }
    Ok(options)
}
