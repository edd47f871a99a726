//! What all processes of a deployment understand, so that builds can replace each other one process at a time.
//!
//! A level names one way of writing files, log entries and messages, and what their commands do to the state. A build writes
//! the newest level that it knows and reads every level listed here. A group is at the level that all its members know; one
//! log entry raises it, and each replica goes to the new level at that entry.
//!
//! A change of any layout takes a new level here: layouts of a level that has been released never change.

use std::fmt;

/// One way of writing and understanding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FeatureLevel {
    /// Routing, instances, jobs and orders.
    One,
    /// Besides: tenants, usage, starts of engines, suspected work, questions to replicas that do not lead.
    Two,
}

impl FeatureLevel {
    /// Every level that this build reads, the oldest first.
    pub const ALL: [Self; 2] = [Self::One, Self::Two];

    /// The newest one.
    pub const NEWEST: Self = Self::Two;

    /// The number of the protocol between processes, in the first frame of each connection.
    pub const fn protocol(self) -> u32 {
        match self {
            Self::One => 1,
            Self::Two => 3,
        }
    }

    /// The number of the format that files of this level alone are in.
    pub const fn file_format(self) -> u32 {
        match self {
            Self::One => 4,
            Self::Two => 9,
        }
    }

    /// The level of a protocol, if this build speaks it.
    pub fn of_protocol(protocol: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|level| level.protocol() == protocol)
    }

    /// The newest level whose protocol is no newer than `protocol`.
    pub fn newest_within(protocol: u32) -> Option<Self> {
        Self::ALL.into_iter().rev().find(|level| level.protocol() <= protocol)
    }

    /// The level of a format of files, if this build reads it.
    pub fn of_file_format(format: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|level| level.file_format() == format)
    }

    /// Its number, as logs show it.
    pub const fn number(self) -> u32 {
        match self {
            Self::One => 1,
            Self::Two => 2,
        }
    }

    /// The level of a number.
    pub fn of_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|level| level.number() == number)
    }
}

impl fmt::Display for FeatureLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number().fmt(formatter)
    }
}
