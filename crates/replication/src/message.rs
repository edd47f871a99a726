//! Messages between replicas.

use crate::log::LogEntry;
use bitcode::{Decode, Encode};
use saddlerelay_types::identity::ReplicaId;
use std::net::SocketAddr;

/// Addressing of a message. A message to another replica or group is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Header {
    /// Identifier of the group.
    pub group: u64,
    /// Identifier of the sender.
    pub from: ReplicaId,
    /// Identifier of the intended receiver.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: u64,
}

/// A request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaRequest {
    /// Requests a vote or a pre-vote.
    Vote {
        /// Sender and receiver.
        header: Header,
        /// Whether this is a pre-vote, which changes no state of the voter. `header.term` is then the term of the
        /// intended campaign.
        pre_vote: bool,
        /// Leadership transfer: the current leader requested the election, so voters ignore its lease. Together with
        /// `pre_vote`, the sender offers to take over leadership.
        transfer: bool,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
    },
    /// Appends entries; a heartbeat when there are none.
    Append {
        /// Sender and receiver.
        header: Header,
        /// Index of the entry before the first.
        previous_index: u64,
        /// Term of the entry before the first.
        previous_term: u64,
        /// Consecutive entries after `previous_index`; empty for a heartbeat.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// Part of an encoded [`Snapshot`](crate::snapshot::Snapshot). The complete snapshot replaces the receiver's
    /// state.
    SnapshotPart {
        /// Sender and receiver.
        header: Header,
        /// The part, with its offset in the encoded snapshot.
        part: SnapshotPart,
    },
    /// Reads a segment; any replica may reply.
    ReadSegment {
        /// Sender and receiver.
        header: Header,
        /// Number of the segment.
        number: u64,
    },
    /// Leadership transfer: the receiver should campaign now.
    TimeoutNow {
        /// Sender and receiver.
        header: Header,
    },
    /// Requests that the sender be added to the group as a learner.
    Join {
        /// Identifier of the joining replica.
        id: ReplicaId,
        /// Listen address of the joining replica.
        address: SocketAddr,
    },
    /// Heartbeat while a larger message is in flight; the receiver replies without disk access.
    Heartbeat {
        /// Sender and receiver.
        header: Header,
    },
    /// Announces the group to an address outside it, so that a machine with an empty disk or outdated settings can
    /// join and can redirect callers.
    Announce {
        /// Identifier of the group.
        group: u64,
        /// Address of the leader.
        leader: SocketAddr,
        /// Addresses of the members.
        members: Vec<SocketAddr>,
    },
}

/// A reply to a `ReplicaRequest`.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaReply {
    /// Reply to a vote request.
    Vote {
        /// The voter's term.
        term: u64,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Reply to an append or to a complete snapshot.
    Append {
        /// The receiver's term.
        term: u64,
        /// Whether the entries are now synced on the receiver.
        accepted: bool,
        /// If accepted, the last synced index; otherwise the index after which the leader should retry.
        index: u64,
    },
    /// Reply to a part of an incomplete snapshot.
    SnapshotPart {
        /// The receiver's term.
        term: u64,
        /// Byte offset of the next part to send.
        next_offset: u64,
    },
    /// The snapshot is complete, and the receiver is fetching segments that it refers to.
    FetchingSegments {
        /// The receiver's term.
        term: u64,
    },
    /// Content of a segment.
    Segment(Vec<u8>),
    /// The join request, announcement or request to take over was accepted.
    Accepted,
    /// Reply to a join request by a replica that is not the leader: addresses of the group's replicas.
    Members(Vec<SocketAddr>),
    /// Reply to a join request by a leader that needs no further replica at present.
    NotNeeded {
        /// Milliseconds until the next join request.
        retry_after_ms: u64,
        /// Addresses of the group's replicas.
        members: Vec<SocketAddr>,
    },
    /// The request is for another replica or group, or the receiver cannot handle it, for example because its disk has
    /// failed.
    Rejected,
    /// Reply to a heartbeat.
    Heartbeat {
        /// The receiver's term, or the newer one that it is entering.
        term: u64,
        /// Whether the receiver is in the leader's term and will grant no other vote within an election timeout.
        acknowledged: bool,
    },
}

/// Part of an encoded [`Snapshot`](crate::snapshot::Snapshot).
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotPart {
    /// Index of the last entry included in the snapshot.
    pub index: u64,
    /// Size of the encoded snapshot in bytes.
    pub total: u64,
    /// Byte offset of this part.
    pub offset: u64,
    /// Content of this part.
    pub bytes: Vec<u8>,
}
