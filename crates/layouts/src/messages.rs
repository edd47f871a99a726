//! Messages between a replica and those who ask it. Messages of the replication protocol inside them are written by that crate.

use crate::FeatureLevel;
use crate::level_one::convert;
use crate::level_one::follow::FollowMemory;
use crate::level_one::gateway::{
    FollowRequest as FollowRequestOne, GatewayReply as GatewayReplyOne, GatewayRequest as GatewayRequestOne,
};
use crate::level_one::protocol as one;
use saddlerelay_types::gateway::GatewayReply;
use saddlerelay_types::protocol::{ControlReply, ControlRequest};

/// A request as it came.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// One that is answered at any level.
    Today(ControlRequest),
    /// A relay's question of level one, whose answer has another content than today's.
    FollowOne(FollowRequestOne),
}

/// Writes a request; `None` if the level has no words for it.
pub fn encode_request(request: &ControlRequest, level: FeatureLevel) -> Option<Vec<u8>> {
    match level {
        FeatureLevel::One => Some(bitcode::encode(&convert::control_request_to_one(request.clone())?)),
        FeatureLevel::Two => Some(bitcode::encode(request)),
    }
}

/// Reads a request; `None` if it cannot be read, or asked for so.
pub fn decode_request(bytes: &[u8], level: FeatureLevel) -> Option<Request> {
    match level {
        FeatureLevel::One => match bitcode::decode(bytes).ok()? {
            one::ControlRequest::Gateway(GatewayRequestOne::Follow(follow)) => Some(Request::FollowOne(follow)),
            other => convert::control_request_from_one(other).map(Request::Today),
        },
        FeatureLevel::Two => bitcode::decode(bytes).ok().map(Request::Today),
    }
}

/// Writes an answer; `None` if the level has no words for it.
pub fn encode_reply(reply: ControlReply, level: FeatureLevel) -> Option<Vec<u8>> {
    match level {
        FeatureLevel::One => Some(bitcode::encode(&convert::control_reply_to_one(reply)?)),
        FeatureLevel::Two => Some(bitcode::encode(&reply)),
    }
}

/// Reads an answer, but for that to a relay's question of level one.
pub fn decode_reply(bytes: &[u8], level: FeatureLevel) -> Option<ControlReply> {
    match level {
        FeatureLevel::One => convert::control_reply_from_one(bitcode::decode(bytes).ok()?),
        FeatureLevel::Two => bitcode::decode(bytes).ok(),
    }
}

/// Writes a relay's question of level one.
pub fn encode_follow_one(question: FollowRequestOne) -> Vec<u8> {
    bitcode::encode(&one::ControlRequest::Gateway(GatewayRequestOne::Follow(question)))
}

/// Reads the answer to a relay's question of level one; `None` if it cannot be read.
pub fn decode_follow_one(bytes: &[u8], asked: &FollowRequestOne, memory: &mut FollowMemory) -> Option<ControlReply> {
    match bitcode::decode(bytes).ok()? {
        one::ControlReply::Gateway(GatewayReplyOne::Followed(reply)) => {
            memory.take(asked, reply).map(|reply| ControlReply::Gateway(GatewayReply::Followed(reply)))
        }
        other => convert::control_reply_from_one(other),
    }
}
