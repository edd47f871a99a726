//! Commands on the log.

use crate::FeatureLevel;
use crate::level_one::convert::commands_to_one;
use crate::level_one::protocol as one;
use saddlerelay_types::protocol::{Command, LogCommand};

/// A command as it stands on the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Committed {
    /// Of level one.
    One(one::LogCommand),
    /// Of today.
    Today(LogCommand),
}

/// The entries that do together what `command` does, the last of which has its outcome; `None` if the level has no words for it.
pub fn encode(time: u64, command: Command, level: FeatureLevel) -> Option<Vec<Vec<u8>>> {
    match level {
        FeatureLevel::One => {
            let entry = |command| bitcode::encode(&one::LogCommand { time, command });
            Some(commands_to_one(command)?.into_iter().map(entry).collect())
        }
        FeatureLevel::Two => Some(vec![bitcode::encode(&LogCommand { time, command })]),
    }
}

/// Reads an entry; `None` if it cannot be read.
pub fn decode(bytes: &[u8], level: FeatureLevel) -> Option<Committed> {
    match level {
        FeatureLevel::One => bitcode::decode(bytes).ok().map(Committed::One),
        FeatureLevel::Two => bitcode::decode(bytes).ok().map(Committed::Today),
    }
}
