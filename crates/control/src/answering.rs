//! Answers other processes, each in the words of its level.

use crate::node::ControlNode;
use saddlerelay_layouts::messages::{self, Request};
use saddlerelay_replication::message::ReplicaRequest;
use saddlerelay_replication::message_codec;
use saddlerelay_rpc::server::Handler;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::GatewayReply;
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use std::rc::Rc;

impl<P: Runtime, B: Backends> Handler for ControlNode<P, B> {
    async fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> Option<Vec<u8>> {
        let request = messages::decode_request(&body, level)?;
        self.answer_at(level, request).await
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Answers a request of another process, both written at `level`.
    async fn answer_at(&self, level: FeatureLevel, request: Request) -> Option<Vec<u8>> {
        let request = match request {
            Request::FollowOne(follow) => {
                self.note_older_asker();
                return Some(bitcode::encode(&self.follow_level_one(follow).await));
            }
            Request::Today(request) => request,
        };
        if let ControlRequest::Replication(bytes) = &request {
            return messages::encode_reply(self.answer_replica(bytes, level).await, level);
        }
        if level < FeatureLevel::NEWEST {
            self.note_older_asker();
        }
        let reply = self.answer(request).await;
        let unspeakable = || messages::encode_reply(ControlReply::Gateway(GatewayReply::Unavailable), level);
        messages::encode_reply(reply, level).or_else(unspeakable)
    }

    pub(crate) async fn answer_replica(&self, bytes: &[u8], level: FeatureLevel) -> ControlReply {
        let Some(request) = message_codec::decode_request(bytes, level) else {
            return ControlReply::Refused("malformed replication message".to_string());
        };
        // Builds of this age ask to be added at the newest level that both know.
        if level < FeatureLevel::NEWEST && matches!(request, ReplicaRequest::Join { .. }) {
            self.note_older_asker();
        }
        let reply = self.inner.replica.handle(request, level).await;
        ControlReply::Replication(message_codec::encode_reply(reply, level))
    }
}
