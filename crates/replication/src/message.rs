//! Messages between replicas.

use crate::log::LogEntry;
use bitcode::{Decode, Encode};
use saddlerelay_types::identity::ReplicaId;
use std::net::SocketAddr;

/// Who speaks to whom. A message for another identity or group is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Header {
    /// The group, drawn when it was initialised.
    pub group: u64,
    /// The sender.
    pub from: ReplicaId,
    /// The receiver as the sender knows it.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: u64,
}

/// A request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaRequest {
    /// Asks for a vote, or whether one would be given.
    Vote {
        /// Sender and receiver.
        header: Header,
        /// Only asks; the term is the one that would be campaigned in.
        pre_vote: bool,
        /// The old leader asked for this election, so that its lease does not stand against it. With `pre_vote`, the sender
        /// offers to lead: it would campaign if the leader asked it to.
        transfer: bool,
        /// The candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
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
        /// The entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// A part of an encoded [`Snapshot`](crate::snapshot::Snapshot), which replaces the receiver's state once it is whole.
    SnapshotPart {
        /// Sender and receiver.
        header: Header,
        /// The part.
        part: SnapshotPart,
    },
    /// Asks any replica for a segment.
    ReadSegment {
        /// Sender and receiver.
        header: Header,
        /// The segment.
        number: u64,
    },
    /// The leader stops: the receiver should campaign now.
    TakeOver {
        /// Sender and receiver.
        header: Header,
    },
    /// A replica with an empty disk asks to be added.
    Join {
        /// Its identifier.
        id: ReplicaId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// The leader is alive, while a larger message is still unanswered; answered from memory.
    Heartbeat {
        /// Sender and receiver.
        header: Header,
    },
    /// The leader says where the group is, to a machine that is no member of it: without, one that starts with an empty disk
    /// and settings that the group has left could not find it, nor send anyone on to it.
    Announce {
        /// The group.
        group: u64,
        /// Where the leader listens.
        leader: SocketAddr,
        /// Where the group's replicas listen.
        members: Vec<SocketAddr>,
    },
}

/// A replica's answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaReply {
    /// Of a vote request.
    Vote {
        /// The voter's term.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Of an append or a snapshot.
    Append {
        /// The receiver's term.
        term: u64,
        /// Whether the receiver now holds the entries, synced.
        accepted: bool,
        /// When accepted the last index held; otherwise where to try next.
        index: u64,
    },
    /// Of a part of a snapshot that is not whole yet.
    SnapshotPart {
        /// The receiver's term.
        term: u64,
        /// The byte that the receiver wants next.
        next_offset: u64,
    },
    /// The snapshot is whole, and the receiver fetches segments that it refers to.
    FetchingSegments {
        /// The receiver's term.
        term: u64,
    },
    /// A segment's bytes.
    Segment(Vec<u8>),
    /// The request was taken.
    Taken,
    /// Of a request to be added, by a replica that does not lead: where the group's replicas listen.
    Members(Vec<SocketAddr>),
    /// Of a request to be added, by the leader of a group that needs no more replicas now.
    NotWanted {
        /// When to ask again, in milliseconds.
        ask_again_ms: u64,
        /// Where the group's replicas listen.
        members: Vec<SocketAddr>,
    },
    /// The request is for another replica or group, or the disk has failed.
    Refused,
    /// Of a heartbeat.
    Heartbeat {
        /// The receiver's term, or the newer one that it is entering.
        term: u64,
        /// Whether the receiver is in the leader's term and votes for nobody else within an election timeout.
        heard: bool,
    },
}

/// A part of an encoded [`Snapshot`](crate::snapshot::Snapshot).
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotPart {
    /// Last entry that the snapshot includes.
    pub index: u64,
    /// Bytes of the whole.
    pub total: u64,
    /// Bytes before this part.
    pub offset: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}
