//! Encoding of replication messages at each feature level.
//!
//! Level one has no `Heartbeat`, `Announce` or `NotNeeded`.

use crate::log::LogEntry;
use crate::message::{Header, ReplicaReply, ReplicaRequest, SnapshotPart};
use bitcode::{Decode, Encode};
use saddlerelay_layouts::messages::{self, Request};
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use std::net::SocketAddr;

/// A request as encoded at level one. Released, so its encoding must not change.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
enum LevelOneRequest {
    Vote { header: Header, pre_vote: bool, transfer: bool, last_index: u64, last_term: u64 },
    Append { header: Header, previous_index: u64, previous_term: u64, entries: Vec<LogEntry>, commit: u64 },
    SnapshotPart { header: Header, part: SnapshotPart },
    ReadSegment { header: Header, number: u64 },
    TimeoutNow { header: Header },
    Join { id: ReplicaId, address: SocketAddr },
}

/// A reply as encoded at level one. Released, so its encoding must not change.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
enum LevelOneReply {
    Vote { term: u64, granted: bool },
    Append { term: u64, accepted: bool, index: u64 },
    SnapshotPart { term: u64, next_offset: u64 },
    FetchingSegments { term: u64 },
    Segment(Vec<u8>),
    Accepted,
    Members(Vec<SocketAddr>),
    Rejected,
}

impl From<LevelOneRequest> for ReplicaRequest {
    fn from(request: LevelOneRequest) -> Self {
        match request {
            LevelOneRequest::Vote { header, pre_vote, transfer, last_index, last_term } => {
                Self::Vote { header, pre_vote, transfer, last_index, last_term }
            }
            LevelOneRequest::Append { header, previous_index, previous_term, entries, commit } => {
                Self::Append { header, previous_index, previous_term, entries, commit }
            }
            LevelOneRequest::SnapshotPart { header, part } => Self::SnapshotPart { header, part },
            LevelOneRequest::ReadSegment { header, number } => Self::ReadSegment { header, number },
            LevelOneRequest::TimeoutNow { header } => Self::TimeoutNow { header },
            LevelOneRequest::Join { id, address } => Self::Join { id, address },
        }
    }
}

impl LevelOneRequest {
    fn of(request: ReplicaRequest) -> Option<Self> {
        Some(match request {
            ReplicaRequest::Vote { header, pre_vote, transfer, last_index, last_term } => {
                Self::Vote { header, pre_vote, transfer, last_index, last_term }
            }
            ReplicaRequest::Append { header, previous_index, previous_term, entries, commit } => {
                Self::Append { header, previous_index, previous_term, entries, commit }
            }
            ReplicaRequest::SnapshotPart { header, part } => Self::SnapshotPart { header, part },
            ReplicaRequest::ReadSegment { header, number } => Self::ReadSegment { header, number },
            ReplicaRequest::TimeoutNow { header } => Self::TimeoutNow { header },
            ReplicaRequest::Join { id, address } => Self::Join { id, address },
            ReplicaRequest::Heartbeat { .. } | ReplicaRequest::Announce { .. } => return None,
        })
    }
}

impl From<LevelOneReply> for ReplicaReply {
    fn from(reply: LevelOneReply) -> Self {
        match reply {
            LevelOneReply::Vote { term, granted } => Self::Vote { term, granted },
            LevelOneReply::Append { term, accepted, index } => Self::Append { term, accepted, index },
            LevelOneReply::SnapshotPart { term, next_offset } => Self::SnapshotPart { term, next_offset },
            LevelOneReply::FetchingSegments { term } => Self::FetchingSegments { term },
            LevelOneReply::Segment(bytes) => Self::Segment(bytes),
            LevelOneReply::Accepted => Self::Accepted,
            LevelOneReply::Members(members) => Self::Members(members),
            LevelOneReply::Rejected => Self::Rejected,
        }
    }
}

impl From<ReplicaReply> for LevelOneReply {
    fn from(reply: ReplicaReply) -> Self {
        match reply {
            ReplicaReply::Vote { term, granted } => Self::Vote { term, granted },
            ReplicaReply::Append { term, accepted, index } => Self::Append { term, accepted, index },
            ReplicaReply::SnapshotPart { term, next_offset } => Self::SnapshotPart { term, next_offset },
            ReplicaReply::FetchingSegments { term } => Self::FetchingSegments { term },
            ReplicaReply::Segment(bytes) => Self::Segment(bytes),
            ReplicaReply::Accepted => Self::Accepted,
            // Level one has no `NotNeeded`; the joining replica retries at the listed addresses.
            ReplicaReply::Members(members) | ReplicaReply::NotNeeded { members, .. } => Self::Members(members),
            ReplicaReply::Rejected | ReplicaReply::Heartbeat { .. } => Self::Rejected,
        }
    }
}

/// Encodes a request; `None` if the level does not have it.
pub fn encode_request(request: &ReplicaRequest, level: FeatureLevel) -> Option<Vec<u8>> {
    match level {
        FeatureLevel::One => Some(bitcode::encode(&LevelOneRequest::of(request.clone())?)),
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => Some(bitcode::encode(request)),
    }
}

/// Decodes a request; `None` if it is malformed.
pub fn decode_request(bytes: &[u8], level: FeatureLevel) -> Option<ReplicaRequest> {
    match level {
        FeatureLevel::One => bitcode::decode::<LevelOneRequest>(bytes).ok().map(Into::into),
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => bitcode::decode(bytes).ok(),
    }
}

/// Encodes a reply; a reply that the level does not have is replaced by the closest one that it has.
pub fn encode_reply(reply: ReplicaReply, level: FeatureLevel) -> Vec<u8> {
    match level {
        FeatureLevel::One => bitcode::encode(&LevelOneReply::from(reply)),
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => bitcode::encode(&reply),
    }
}

/// Decodes a reply; `None` if it is malformed.
pub fn decode_reply(bytes: &[u8], level: FeatureLevel) -> Option<ReplicaReply> {
    match level {
        FeatureLevel::One => bitcode::decode::<LevelOneReply>(bytes).ok().map(Into::into),
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => bitcode::decode(bytes).ok(),
    }
}

/// Encodes `request` as a [`ControlRequest`]; `None` if the level does not have it.
pub fn encode_call(request: &ReplicaRequest, level: FeatureLevel) -> Option<Vec<u8>> {
    messages::encode_request(&ControlRequest::Replication(encode_request(request, level)?), level)
}

/// Decodes what `encode_call` has encoded; `None` if it is malformed or another kind of request.
pub fn decode_call(body: &[u8], level: FeatureLevel) -> Option<ReplicaRequest> {
    match messages::decode_request(body, level)? {
        Request::Current(ControlRequest::Replication(bytes)) => decode_request(&bytes, level),
        _ => None,
    }
}

/// Encodes `reply` as a [`ControlReply`]; `None` if the level cannot express it.
pub fn encode_call_reply(reply: ReplicaReply, level: FeatureLevel) -> Option<Vec<u8>> {
    messages::encode_reply(ControlReply::Replication(encode_reply(reply, level)), level)
}

/// Decodes what `encode_call_reply` has encoded; `None` if it is malformed or another kind of reply.
pub fn decode_call_reply(body: &[u8], level: FeatureLevel) -> Option<ReplicaReply> {
    match messages::decode_reply(body, level)? {
        ControlReply::Replication(bytes) => decode_reply(&bytes, level),
        _ => None,
    }
}
