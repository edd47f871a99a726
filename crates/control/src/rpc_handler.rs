//! Handles RPC requests of other processes. Requests and replies are encoded at the feature level of the connection.

use crate::large_replies::{Content, WRITE_LIMIT, shrink_to_encoded};
use crate::node::ControlNode;
use crate::state::text_archive::SEGMENT_BYTES;
use saddlerelay_layouts::messages::{self, Request};
use saddlerelay_replication::message::{ReplicaReply, ReplicaRequest};
use saddlerelay_replication::message_codec;
use saddlerelay_rpc::reply_memory::Reservation;
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::GatewayReply;
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use std::rc::Rc;

impl<P: Runtime, B: Backends> Handler for ControlNode<P, B> {
    async fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> Option<Response> {
        let request = messages::decode_request(&body, level)?;
        drop(body);
        // A segment may take long over a bad link; its receiver decides when to give up.
        let is_replication = matches!(request, Request::Current(ControlRequest::Replication(_)));
        let mut reservation = None;
        let body = self.handle_at_level(level, request, &mut reservation).await?;
        shrink_to_encoded(&mut reservation, body.len());
        let write_limit = (!is_replication).then_some(WRITE_LIMIT);
        Some(Response { body, reservation, write_limit })
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Handles a request; request and reply are encoded at `level`.
    async fn handle_at_level(
        &self,
        level: FeatureLevel,
        request: Request,
        reservation: &mut Option<Reservation>,
    ) -> Option<Vec<u8>> {
        let request = match request {
            Request::FollowOne(follow) => {
                self.record_older_build_request();
                return Some(bitcode::encode(&self.follow_level_one(follow).await));
            }
            Request::Current(request) => request,
        };
        if let ControlRequest::Replication(bytes) = &request {
            return messages::encode_reply(self.handle_replication(bytes, level, reservation).await, level);
        }
        if level < FeatureLevel::NEWEST {
            self.record_older_build_request();
        }
        let reply = self.answer(request, reservation).await;
        let fallback = || messages::encode_reply(ControlReply::Gateway(GatewayReply::Unavailable), level);
        messages::encode_reply(reply, level).or_else(fallback)
    }

    /// Size of a segment; of an ordinary one if the state no longer refers to it.
    fn segment_bytes(&self, number: u64) -> usize {
        self.inner.replica.segment(number).map_or(SEGMENT_BYTES, |segment| segment.bytes as usize)
    }

    pub(crate) async fn handle_replication(
        &self,
        bytes: &[u8],
        level: FeatureLevel,
        reservation: &mut Option<Reservation>,
    ) -> ControlReply {
        let Some(request) = message_codec::decode_request(bytes, level) else {
            return ControlReply::Refused("malformed replication message".to_string());
        };
        // A build of this version sends join requests at the newest level, so this one comes from an older build.
        if level < FeatureLevel::NEWEST && matches!(request, ReplicaRequest::Join { .. }) {
            self.record_older_build_request();
        }
        let segment_bytes = match request {
            ReplicaRequest::ReadSegment { number, .. } => self.segment_bytes(number),
            _ => 0,
        };
        let reply = match self.reserve_reply(reservation, Content::Segment, segment_bytes, 0).await {
            true => self.inner.replica.handle(request, level).await,
            false => ReplicaReply::Rejected,
        };
        ControlReply::Replication(message_codec::encode_reply(reply, level))
    }
}
