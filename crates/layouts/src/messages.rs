//! Encoding of requests to control replicas and of their replies. Embedded messages of the replication protocol are
//! encoded by the replication crate.

use crate::FeatureLevel;
use crate::level_one::convert;
use crate::level_one::follow::FollowConverter;
use crate::level_one::gateway::{
    FollowRequest as FollowRequestOne, GatewayReply as GatewayReplyOne, GatewayRequest as GatewayRequestOne,
};
use crate::level_one::protocol as one;
use saddlerelay_types::gateway::GatewayReply;
use saddlerelay_types::protocol::{ControlReply, ControlRequest};

/// A decoded request.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// A request whose reply can be encoded at any level.
    Current(ControlRequest),
    /// A relay's follow request of level one, whose reply has different content.
    FollowOne(FollowRequestOne),
}

/// Encodes a request; `None` if the level cannot express it.
pub fn encode_request(request: &ControlRequest, level: FeatureLevel) -> Option<Vec<u8>> {
    match level {
        FeatureLevel::One => Some(bitcode::encode(&convert::control_request_to_one(request.clone())?)),
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => Some(bitcode::encode(request)),
    }
}

/// Decodes a request; `None` if it is malformed or not a valid request at this level.
pub fn decode_request(bytes: &[u8], level: FeatureLevel) -> Option<Request> {
    match level {
        FeatureLevel::One => match bitcode::decode(bytes).ok()? {
            one::ControlRequest::Gateway(GatewayRequestOne::Follow(follow)) => Some(Request::FollowOne(follow)),
            other => convert::control_request_from_one(other).map(Request::Current),
        },
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => {
            bitcode::decode(bytes).ok().map(Request::Current)
        }
    }
}

/// Encodes a reply; `None` if the level cannot express it.
pub fn encode_reply(reply: ControlReply, level: FeatureLevel) -> Option<Vec<u8>> {
    match level {
        FeatureLevel::One => Some(bitcode::encode(&convert::control_reply_to_one(reply)?)),
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => Some(bitcode::encode(&reply)),
    }
}

/// Decodes a reply; `None` if it is malformed, or a follow reply of level one, see [`decode_follow_one`].
pub fn decode_reply(bytes: &[u8], level: FeatureLevel) -> Option<ControlReply> {
    match level {
        FeatureLevel::One => convert::control_reply_from_one(bitcode::decode(bytes).ok()?),
        FeatureLevel::Two | FeatureLevel::Three | FeatureLevel::Four => bitcode::decode(bytes).ok(),
    }
}

/// Encodes a relay's follow request of level one.
pub fn encode_follow_one(request: FollowRequestOne) -> Vec<u8> {
    bitcode::encode(&one::ControlRequest::Gateway(GatewayRequestOne::Follow(request)))
}

/// Decodes the reply to a relay's follow request of level one; `None` if it is malformed.
pub fn decode_follow_one(
    bytes: &[u8],
    request: &FollowRequestOne,
    converter: &mut FollowConverter,
) -> Option<ControlReply> {
    match bitcode::decode(bytes).ok()? {
        one::ControlReply::Gateway(GatewayReplyOne::Followed(reply)) => {
            converter.convert_reply(request, reply).map(|reply| ControlReply::Gateway(GatewayReply::Followed(reply)))
        }
        other => convert::control_reply_from_one(other),
    }
}
