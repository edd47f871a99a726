//! Membership of a group.

use bitcode::{Decode, Encode};
use saddlerelay_types::identity::ReplicaId;
use std::net::SocketAddr;

/// A replica of a group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Generated with the replica's files; a replica with an empty disk is a new member.
    pub id: ReplicaId,
    /// Listen address.
    pub address: SocketAddr,
    /// Whether the member is a voter; otherwise it is a learner.
    pub voter: bool,
}

/// The members of a group, in force from one log entry on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Membership {
    /// The members, in the order in which they were added.
    pub members: Vec<Member>,
}

impl Membership {
    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.voter)
    }

    /// Number of voters in a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The member with this identifier.
    pub fn member(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.member(id).is_some_and(|member| member.voter)
    }

    /// This membership with an additional learner.
    pub fn with_learner(&self, id: ReplicaId, address: SocketAddr) -> Self {
        let mut members = self.members.clone();
        members.push(Member { id, address, voter: false });
        Self { members }
    }

    /// This membership with `id` as a voter.
    pub fn with_voter(&self, id: ReplicaId) -> Self {
        let promote = |member: &Member| Member { voter: member.voter || member.id == id, ..member.clone() };
        Self { members: self.members.iter().map(promote).collect() }
    }

    /// This membership without `id`.
    pub fn without(&self, id: ReplicaId) -> Self {
        Self { members: self.members.iter().filter(|member| member.id != id).cloned().collect() }
    }

    /// Addresses of the members for log lines, with a plus sign before learners.
    pub fn describe(&self) -> String {
        let name =
            |member: &Member| if member.voter { member.address.to_string() } else { format!("+{}", member.address) };
        self.members.iter().map(name).collect::<Vec<_>>().join(" ")
    }

    /// The largest value that a quorum of voters has reached, given each voter's value.
    pub fn quorum_value<T: Ord + Copy>(&self, reached: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(|member| reached(member.id)).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied()
    }
}
