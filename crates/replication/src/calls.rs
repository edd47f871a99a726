//! Calls between replicas.

use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::message_codec;
use crate::replica::Replica;
use crate::state::StateMachine;
use saddlerelay_layouts::messages;
use saddlerelay_rpc::client::{CallError, Client, LevelSelection};
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use std::net::SocketAddr;
use std::time::Duration;

/// Connection to a peer over which a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Channel {
    /// Messages that no other channel is for.
    Log,
    /// Heartbeats, which must not queue behind large messages.
    Heartbeats,
    /// Link probes, which must not queue behind other messages, and leadership transfer messages.
    Probes,
    /// Requests for segments, whose large replies must not delay other messages.
    Segments,
    /// Requests to machines of any build, in or outside the group; the feature level is negotiated.
    Negotiated,
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Sends a request and waits for its reply; `None` if it fails or times out.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: &ReplicaRequest,
        timeout: Duration,
    ) -> Option<ReplicaReply> {
        self.try_send(Channel::Log, address, request, timeout).await.ok()
    }

    /// Like `send`, but the error shows whether the request may have been sent.
    pub(crate) async fn try_send(
        &self,
        channel: Channel,
        address: SocketAddr,
        request: &ReplicaRequest,
        timeout: Duration,
    ) -> Result<ReplicaReply, CallError> {
        let level_selection =
            if channel == Channel::Negotiated { LevelSelection::Negotiated } else { self.level_selection() };
        self.send_as(level_selection, channel, address, request, timeout).await
    }

    /// Like `try_send`, at a feature level chosen by the caller.
    pub(crate) async fn send_as(
        &self,
        level_selection: LevelSelection,
        channel: Channel,
        address: SocketAddr,
        request: &ReplicaRequest,
        timeout: Duration,
    ) -> Result<ReplicaReply, CallError> {
        let client = self.client(channel, address);
        client.set_level_selection(level_selection);
        let response = client.call(|level| message_codec::encode_call(request, level), timeout).await?;
        let reply = message_codec::decode_call_reply(&response.body, response.level);
        reply.ok_or(CallError::OutcomeUnknown)
    }

    /// Sends a control request to the leader; `None` if the leader is unknown, is this replica, or does not reply in
    /// time.
    pub async fn call_leader(&self, request: &ControlRequest, timeout: Duration) -> Option<ControlReply> {
        let client = self.client(Channel::Negotiated, self.leader_address()?);
        let response = client.call(|level| messages::encode_request(request, level), timeout).await.ok()?;
        messages::decode_reply(&response.body, response.level)
    }

    pub(crate) fn client(&self, channel: Channel, address: SocketAddr) -> Client<P> {
        let mut clients = self.inner.clients.borrow_mut();
        let new = || Client::new(self.inner.platform.clone(), address, &self.inner.options.secret);
        clients.entry((channel, address)).or_insert_with(new).clone()
    }

    /// Header of a message to a replica in `term`.
    pub(crate) fn header(&self, to: ReplicaId, term: u64) -> Header {
        let identity = self.inner.state.borrow().identity;
        Header { group: identity.group.unwrap_or_default(), from: identity.id, to, term }
    }
}
