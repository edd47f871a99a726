//! Heartbeats while an append is in flight.
//!
//! An append is acknowledged only after the peer's disk sync. If it is in flight for longer than the heartbeat
//! interval, heartbeats are sent over a separate connection. Peers reply to them without disk access, so that slow
//! disks and large messages cause no election. None are sent while appends are acknowledged in time.

use crate::calls::Channel;
use crate::membership::Member;
use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::state::{Progress, StateMachine};
use futures::future::{Either, select};
use saddlerelay_runtime::Runtime;
use std::future::Future;
use std::pin::pin;

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Waits for `call`, sending heartbeats to `peer` until it completes.
    pub(crate) async fn with_heartbeats<T>(&self, peer: &Member, term: u64, call: impl Future<Output = T>) -> T {
        let mut call = pin!(call);
        loop {
            let pause = pin!(self.inner.platform.sleep(self.inner.options.config.heartbeat_interval));
            match select(call, pause).await {
                Either::Left((reply, _)) => return reply,
                Either::Right(((), pending_call)) => call = pending_call,
            }
            self.inner.platform.spawn(self.clone().send_heartbeat(peer.clone(), term));
        }
    }

    async fn send_heartbeat(self, peer: Member, term: u64) {
        let sent_at = self.inner.platform.monotonic();
        let request = ReplicaRequest::Heartbeat { header: self.header(peer.id, term) };
        let timeout = self.inner.options.config.call_timeout;
        let call = self.try_send(Channel::Heartbeats, peer.address, &request, timeout);
        let record_late_reply = || {
            let last_late_heartbeat = self.inner.platform.monotonic();
            self.with_progress(&peer, term, |progress| progress.last_late_heartbeat = Some(last_late_heartbeat));
        };
        let reply = self.detect_late_reply(call, record_late_reply).await;
        if let Ok(ReplicaReply::Heartbeat { term: observed_term, acknowledged }) = reply {
            if acknowledged {
                self.with_progress(&peer, term, |progress| {
                    progress.acknowledged_heartbeat_sent_at =
                        progress.acknowledged_heartbeat_sent_at.max(Some(sent_at));
                });
            } else {
                self.observe_term(observed_term).await;
            }
        }
    }

    /// Updates the progress of a peer, if this replica still leads `term` and the peer is a member.
    pub(crate) fn with_progress(&self, peer: &Member, term: u64, change: impl FnOnce(&mut Progress)) {
        let mut state = self.inner.state.borrow_mut();
        if !state.leads_term(term) {
            return;
        }
        if let Some(progress) = state.leadership_mut().and_then(|leading| leading.progress.get_mut(&peer.id)) {
            change(progress);
        }
    }

    /// Replies to a heartbeat without disk access. The leader's lease relies on the reply: a replica that has entered,
    /// or is writing, a newer term does not acknowledge the heartbeat.
    pub(crate) fn handle_heartbeat(&self, header: Header) -> ReplicaReply {
        let mut state = self.inner.state.borrow_mut();
        let newest_term = state.term_being_written.unwrap_or(state.term).max(state.term);
        let is_newest = header.term >= newest_term;
        let is_other_leader = state.term == header.term && state.leader.is_some_and(|leader| leader != header.from);
        if !is_newest || is_other_leader || state.leadership().is_some() {
            return ReplicaReply::Heartbeat { term: newest_term, acknowledged: false };
        }
        // A replica that has not entered the leader's term yet resets its election timer, but does not acknowledge.
        self.record_leader_contact(&mut state, &header);
        self.record_heartbeat();
        if header.term == state.term {
            state.become_follower();
        }
        ReplicaReply::Heartbeat { term: state.term, acknowledged: header.term == state.term }
    }
}
