//! Calls from replica to replica.

use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::message_codec;
use crate::replica::Replica;
use crate::state::StateMachine;
use saddlerelay_layouts::messages;
use saddlerelay_rpc::client::{CallError, Client, Speech};
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use std::net::SocketAddr;
use std::time::Duration;

/// Which connection to a peer a message takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Channel {
    /// What the other channels do not take.
    Log,
    /// Heartbeats, which must not wait behind large messages.
    Heartbeats,
    /// Probes of the path, which must not wait behind anything else, and what follows from them.
    Probes,
    /// Questions to machines that may be of any build, and of no group.
    Questions,
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Sends a request and waits for its answer; `None` if none comes within `limit`.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: &ReplicaRequest,
        limit: Duration,
    ) -> Option<ReplicaReply> {
        self.try_send(Channel::Log, address, request, limit).await.ok()
    }

    /// Like `send`, and tells whether the request may have been sent.
    pub(crate) async fn try_send(
        &self,
        channel: Channel,
        address: SocketAddr,
        request: &ReplicaRequest,
        limit: Duration,
    ) -> Result<ReplicaReply, CallError> {
        let speech = if channel == Channel::Questions { Speech::Negotiated } else { self.speech() };
        self.send_as(speech, channel, address, request, limit).await
    }

    /// Like `try_send`, at a level that the caller knows better.
    pub(crate) async fn send_as(
        &self,
        speech: Speech,
        channel: Channel,
        address: SocketAddr,
        request: &ReplicaRequest,
        limit: Duration,
    ) -> Result<ReplicaReply, CallError> {
        let client = self.client(channel, address);
        client.speak(speech);
        let answer = client.call(|level| message_codec::encode_call(request, level), limit).await?;
        let reply = message_codec::decode_answer(&answer.body, answer.level);
        reply.ok_or(CallError::Unknown)
    }

    /// Asks the leader, as far as it is known and another replica; `None` if it does not answer in time.
    pub async fn ask_leader(&self, request: &ControlRequest, limit: Duration) -> Option<ControlReply> {
        let client = self.client(Channel::Questions, self.leader_address()?);
        let answer = client.call(|level| messages::encode_request(request, level), limit).await.ok()?;
        messages::decode_reply(&answer.body, answer.level)
    }

    pub(crate) fn client(&self, channel: Channel, address: SocketAddr) -> Client<P> {
        let mut clients = self.inner.clients.borrow_mut();
        let new = || Client::new(self.inner.platform.clone(), address, &self.inner.options.secret);
        clients.entry((channel, address)).or_insert_with(new).clone()
    }

    /// The header of a message to a replica in `term`.
    pub(crate) fn header(&self, to: ReplicaId, term: u64) -> Header {
        let identity = self.inner.state.borrow().identity;
        Header { group: identity.group.unwrap_or_default(), from: identity.id, to, term }
    }
}
