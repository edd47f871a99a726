//! Encoding of log commands.

use crate::FeatureLevel;
use crate::level_one::convert::commands_to_one;
use crate::level_one::protocol as one;
use saddlerelay_types::gateway::GatewayCommand;
use saddlerelay_types::protocol::{Command, LogCommand};

/// A decoded log command.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedCommand {
    /// A command of level one.
    One(one::LogCommand),
    /// A command of the current types.
    Current(LogCommand),
}

/// Encodes `command` as one or more log entries; the outcome of the last one is that of the command. `None` if the
/// level cannot express it.
pub fn encode(time: u64, command: Command, level: FeatureLevel) -> Option<Vec<Vec<u8>>> {
    if level < introduced_at(&command) {
        return None;
    }
    match level {
        FeatureLevel::One => {
            let entry = |command| bitcode::encode(&one::LogCommand { time, command });
            Some(commands_to_one(command)?.into_iter().map(entry).collect())
        }
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => {
            Some(vec![bitcode::encode(&LogCommand { time, command })])
        }
    }
}

/// The level that adds the command; level one for those that [`commands_to_one`] decides on.
fn introduced_at(command: &Command) -> FeatureLevel {
    match command {
        Command::Gateway(GatewayCommand::ExpireJobs(_)) => FeatureLevel::Three,
        Command::Gateway(GatewayCommand::AllowRetrials(_)) => FeatureLevel::Four,
        _ => FeatureLevel::One,
    }
}

/// Decodes a log entry; `None` if it is malformed.
pub fn decode(bytes: &[u8], level: FeatureLevel) -> Option<DecodedCommand> {
    match level {
        FeatureLevel::One => bitcode::decode(bytes).ok().map(DecodedCommand::One),
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => {
            bitcode::decode(bytes).ok().map(DecodedCommand::Current)
        }
    }
}
