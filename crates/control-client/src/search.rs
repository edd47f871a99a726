//! What a client's replicas last answered: tells why it finds no leader.

use saddlerelay_rpc::client::CallError;
use saddlerelay_types::protocol::ControlReply;
use std::fmt;
use std::net::SocketAddr;

/// Replicas that are named one by one in a log line; more are only counted.
const MOST_NAMED: usize = 12;

/// What a replica last answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastAnswer {
    /// It was not asked yet.
    NotAsked,
    /// No connection to it.
    NotReached,
    /// A connection, and no answer in time.
    Silent,
    /// Bytes that cannot be read.
    Unreadable,
    /// It does not lead, and knows no leader.
    KnowsNoLeader,
    /// It does not lead, and names the leader.
    Names(SocketAddr),
    /// It cannot tell whether it has done what it was asked.
    Undecided,
    /// It answered as the leader, or for it.
    Answered,
}

impl LastAnswer {
    /// What became of a call.
    pub(crate) fn of(outcome: &Result<Option<ControlReply>, CallError>) -> Self {
        match outcome {
            Err(CallError::NotSent | CallError::Unspeakable) => Self::NotReached,
            Err(CallError::Unknown) => Self::Silent,
            Ok(None) => Self::Unreadable,
            Ok(Some(ControlReply::NotLeader { leader: None, .. })) => Self::KnowsNoLeader,
            Ok(Some(ControlReply::NotLeader { leader: Some(leader), .. })) => Self::Names(*leader),
            Ok(Some(ControlReply::Undecided)) => Self::Undecided,
            Ok(Some(_)) => Self::Answered,
        }
    }
}

impl fmt::Display for LastAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAsked => write!(formatter, "not asked"),
            Self::NotReached => write!(formatter, "not reached"),
            Self::Silent => write!(formatter, "silent"),
            Self::Unreadable => write!(formatter, "unreadable"),
            Self::KnowsNoLeader => write!(formatter, "knows no leader"),
            Self::Names(leader) => write!(formatter, "names {leader}"),
            Self::Undecided => write!(formatter, "undecided"),
            Self::Answered => write!(formatter, "answered"),
        }
    }
}

/// Every replica that a client asks, with its last answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderSearch {
    /// In the order in which they are asked.
    pub replicas: Vec<(SocketAddr, LastAnswer)>,
}

impl LeaderSearch {
    /// How many replicas were no help, by what they answered: short enough for a line for each refused request.
    pub fn summary(&self) -> String {
        let count = |wanted: fn(&LastAnswer) -> bool| self.replicas.iter().filter(|(_, answer)| wanted(answer)).count();
        let unreached = count(|answer| matches!(answer, LastAnswer::NotReached | LastAnswer::Silent));
        let leaderless = count(|answer| matches!(answer, LastAnswer::KnowsNoLeader));
        format!("{} known, {unreached} without an answer, {leaderless} know no leader", self.replicas.len())
    }
}

impl fmt::Display for LeaderSearch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, (address, answer)) in self.replicas.iter().take(MOST_NAMED).enumerate() {
            let separator = if place == 0 { "" } else { ", " };
            write!(formatter, "{separator}{address} {answer}")?;
        }
        match self.replicas.len().saturating_sub(MOST_NAMED) {
            0 => Ok(()),
            more => write!(formatter, ", {more} more"),
        }
    }
}
