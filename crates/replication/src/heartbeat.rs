//! Heartbeats beside a message that is still unanswered.
//!
//! An append is answered once it is on the peer's disk, and the next one waits for that. Where disks are slow or a message is
//! large, a leader would seem silent to its peers, and they to it. While an append is unanswered for longer than a heartbeat
//! interval, heartbeats go over a connection of their own and are answered from memory. In a calm group none is sent.

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
    /// Waits for `call`, and has heartbeats sent to `peer` for as long as it takes.
    pub(crate) async fn with_heartbeats<T>(&self, peer: &Member, term: u64, call: impl Future<Output = T>) -> T {
        let mut call = pin!(call);
        loop {
            let pause = pin!(self.inner.platform.sleep(self.inner.options.config.heartbeat_interval));
            match select(call, pause).await {
                Either::Left((answer, _)) => return answer,
                Either::Right(((), unanswered)) => call = unanswered,
            }
            self.inner.platform.spawn(self.clone().send_heartbeat(peer.clone(), term));
        }
    }

    async fn send_heartbeat(self, peer: Member, term: u64) {
        let sent_at = self.inner.platform.monotonic();
        let request = ReplicaRequest::Heartbeat { header: self.header(peer.id, term) };
        let limit = self.inner.options.config.call_limit;
        let call = self.try_send(Channel::Heartbeats, peer.address, &request, limit);
        let note_late = || {
            let late_at = self.inner.platform.monotonic();
            self.with_progress(&peer, term, |progress| progress.late_at = Some(late_at));
        };
        let reply = self.watch_promptness(call, note_late).await;
        if let Ok(ReplicaReply::Heartbeat { term: seen, heard }) = reply {
            if heard {
                self.with_progress(&peer, term, |progress| {
                    progress.heard_sent_at = progress.heard_sent_at.max(Some(sent_at));
                });
            } else {
                self.observe_term(seen).await;
            }
        }
    }

    /// Changes what this replica knows of a peer, if it still leads `term` and the peer is a member.
    pub(crate) fn with_progress(&self, peer: &Member, term: u64, change: impl FnOnce(&mut Progress)) {
        let mut state = self.inner.state.borrow_mut();
        if !state.leads_term(term) {
            return;
        }
        if let Some(progress) = state.leadership_mut().and_then(|leading| leading.progress.get_mut(&peer.id)) {
            change(progress);
        }
    }

    /// Answers a leader from memory, without waiting for the disk. The leader's lease rests on the answer: a replica that is
    /// writing a vote, or has entered another term, acknowledges no older leader.
    pub(crate) fn answer_heartbeat(&self, header: Header) -> ReplicaReply {
        let mut state = self.inner.state.borrow_mut();
        let newest_term = state.term_being_written.unwrap_or(state.term).max(state.term);
        let is_newest = header.term >= newest_term;
        let is_other = state.term == header.term && state.leader.is_some_and(|leader| leader != header.from);
        if !is_newest || is_other || state.leadership().is_some() {
            return ReplicaReply::Heartbeat { term: newest_term, heard: false };
        }
        // One that has not entered the leader's term yet does not seek votes meanwhile; it acknowledges only once it has.
        self.hear_leader(&mut state, &header);
        self.note_heartbeat();
        if header.term == state.term {
            state.become_follower();
        }
        ReplicaReply::Heartbeat { term: state.term, heard: header.term == state.term }
    }
}
