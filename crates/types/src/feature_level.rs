//! Feature levels, which let builds be upgraded and rolled back one process at a time.
//!
//! A level fixes the encoding of files, log entries and messages, and the effect of commands on the state. A build
//! reads every level listed here. A control group runs at a level that all its members support; a log entry raises it,
//! and each replica switches to the new level when it applies that entry.
//!
//! Each change of an encoding needs a new level: encodings of a released level never change.

use std::fmt;

/// A version of the encodings and of the effects of commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FeatureLevel {
    /// Routing, engine instances, batch jobs and orders.
    One,
    /// Adds tenants, usage counts, engine start times, suspected work and reads at followers.
    Two,
    /// Adds [`GatewayCommand::ExpireJobs`](crate::gateway::GatewayCommand::ExpireJobs): ended jobs expire by the
    /// monotonic clocks of the replicas.
    Three,
    /// Adds [`GatewayCommand::AllowRetrials`](crate::gateway::GatewayCommand::AllowRetrials): engine losses are weighed,
    /// and quarantined work is tried again.
    Four,
}

impl FeatureLevel {
    /// Every level that this build supports, oldest first.
    pub const ALL: [Self; 4] = [Self::One, Self::Two, Self::Three, Self::Four];

    /// The newest supported level.
    pub const NEWEST: Self = Self::Four;

    /// Protocol version, sent in the first frame of each connection between processes.
    pub const fn protocol(self) -> u32 {
        match self {
            Self::One => 1,
            Self::Two => 3,
            Self::Three => 4,
            Self::Four => 5,
        }
    }

    /// Format version of files written at this level.
    pub const fn file_format(self) -> u32 {
        match self {
            Self::One => 4,
            Self::Two => 9,
            Self::Three => 11,
            Self::Four => 14,
        }
    }

    /// The level of a protocol version, if this build supports it.
    pub fn from_protocol(protocol: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|level| level.protocol() == protocol)
    }

    /// The newest supported level whose protocol version is at most `protocol`.
    pub fn newest_within(protocol: u32) -> Option<Self> {
        Self::ALL.into_iter().rev().find(|level| level.protocol() <= protocol)
    }

    /// The level of a file format version, if this build supports it.
    pub fn from_file_format(format: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|level| level.file_format() == format)
    }

    /// The level's number, as shown in logs.
    pub const fn number(self) -> u32 {
        match self {
            Self::One => 1,
            Self::Two => 2,
            Self::Three => 3,
            Self::Four => 4,
        }
    }

    /// The level with this number, if this build supports it.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|level| level.number() == number)
    }
}

impl fmt::Display for FeatureLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number().fmt(formatter)
    }
}
