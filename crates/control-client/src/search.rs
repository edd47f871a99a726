//! The result of the last request to each replica, which shows why a client finds no leader.

use saddlerelay_rpc::client::CallError;
use saddlerelay_types::protocol::ControlReply;
use std::fmt;
use std::net::SocketAddr;

/// Maximum number of replicas listed in a log line; the number of further ones follows.
const MAX_LISTED: usize = 12;

/// The result of the last request to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastResult {
    /// No request was sent yet.
    NotContacted,
    /// No connection could be established.
    Unreachable,
    /// The request was sent, and no reply was received.
    NoReply,
    /// The reply could not be decoded.
    Malformed,
    /// It does not lead and knows no leader.
    LeaderUnknown,
    /// It does not lead and returned the leader's address.
    Redirected(SocketAddr),
    /// It does not know whether the request was executed.
    OutcomeUnknown,
    /// It served or rejected the request.
    Answered,
}

impl LastResult {
    /// Classifies the outcome of a call.
    pub(crate) fn of(outcome: &Result<Option<ControlReply>, CallError>) -> Self {
        match outcome {
            Err(CallError::NotSent | CallError::UnsupportedByPeer) => Self::Unreachable,
            Err(CallError::OutcomeUnknown) => Self::NoReply,
            Ok(None) => Self::Malformed,
            Ok(Some(ControlReply::NotLeader { leader: None, .. })) => Self::LeaderUnknown,
            Ok(Some(ControlReply::NotLeader { leader: Some(leader), .. })) => Self::Redirected(*leader),
            Ok(Some(ControlReply::Undecided)) => Self::OutcomeUnknown,
            Ok(Some(_)) => Self::Answered,
        }
    }
}

impl fmt::Display for LastResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotContacted => write!(formatter, "not contacted"),
            Self::Unreachable => write!(formatter, "unreachable"),
            Self::NoReply => write!(formatter, "no reply"),
            Self::Malformed => write!(formatter, "malformed reply"),
            Self::LeaderUnknown => write!(formatter, "leader unknown"),
            Self::Redirected(leader) => write!(formatter, "redirects to {leader}"),
            Self::OutcomeUnknown => write!(formatter, "outcome unknown"),
            Self::Answered => write!(formatter, "answered"),
        }
    }
}

/// All replicas known to a client, with the result of the last request to each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderSearch {
    /// Configured replicas first, then discovered ones.
    pub replicas: Vec<(SocketAddr, LastResult)>,
}

impl LeaderSearch {
    /// A short text with the number of replicas by kind of failure.
    pub fn summary(&self) -> String {
        let count = |wanted: fn(&LastResult) -> bool| self.replicas.iter().filter(|(_, result)| wanted(result)).count();
        let unanswered = count(|result| matches!(result, LastResult::Unreachable | LastResult::NoReply));
        let leaderless = count(|result| matches!(result, LastResult::LeaderUnknown));
        format!(
            "{} known, {unanswered} unreachable or without a reply, {leaderless} without a known leader",
            self.replicas.len()
        )
    }
}

impl fmt::Display for LeaderSearch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (address, result)) in self.replicas.iter().take(MAX_LISTED).enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{address} {result}")?;
        }
        match self.replicas.len().saturating_sub(MAX_LISTED) {
            0 => Ok(()),
            more => write!(formatter, ", {more} more"),
        }
    }
}
