//! Handing leadership over before a planned stop.

use crate::membership::Member;
use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::state::StateMachine;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between looks for a successor that holds the whole log.
const SUCCESSOR_POLL: Duration = Duration::from_millis(5);

/// How long one successor may take to answer that it takes over.
const TAKE_OVER_LIMIT: Duration = Duration::from_millis(200);

/// How long a planned stop waits for its successor.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Hands leadership over before a planned stop, or before this replica leaves the group. Returns whether a successor has
    /// taken over; if none has in time, this replica gives leadership up all the same, and the others elect one of them.
    pub async fn hand_over(&self) -> bool {
        let deadline = self.inner.platform.monotonic() + HAND_OVER_LIMIT;
        self.inner.state.borrow_mut().stopping = true;
        let mut asked = BTreeSet::new();
        while self.inner.platform.monotonic() < deadline && self.stop_proposals() {
            let Some((successor, address, term)) = self.choose_successor(&asked) else {
                self.inner.platform.sleep(SUCCESSOR_POLL).await;
                continue;
            };
            // Nobody leads meanwhile: one that is slow to answer is passed over.
            asked.insert(successor);
            let request = ReplicaRequest::TakeOver { header: self.header(successor, term) };
            self.send(address, &request, TAKE_OVER_LIMIT).await;
            self.inner.platform.sleep(self.inner.options.config.heartbeat_interval).await;
        }
        !self.give_up_leadership()
    }

    /// Leads no more, if this replica still does. Without, it would keep the others from electing anyone, as they hear it,
    /// while it serves nothing. It can't go on serving in this term: one that it has asked may still take over, and the
    /// voters do not wait for the lease then.
    fn give_up_leadership(&self) -> bool {
        let mut state = self.inner.state.borrow_mut();
        if state.leadership().is_none() {
            return false;
        }
        spdlog::warn!("nobody took over", kv: {
            term = state.term,
            limit_ms = HAND_OVER_LIMIT.as_millis() as u64,
            last_index = state.log.last_index(),
            peers = state.peers_heard(self.inner.platform.monotonic()).as_str()
        });
        state.become_follower();
        state.leader = None;
        drop(state);
        self.inner.changed.notify();
        true
    }

    /// Campaigns at the request of this term's leader. One of an earlier term was long under way and is refused: votes in the
    /// election that it asks for do not wait for the lease of a leader, and this term's has not given its consent.
    pub(crate) fn answer_take_over(&self, header: Header) -> ReplicaReply {
        let is_current = header.term == self.inner.state.borrow().term;
        if !is_current || !self.is_for_this_replica(&header) {
            return ReplicaReply::Refused;
        }
        self.inner.platform.spawn(self.clone().campaign(true));
        ReplicaReply::Taken
    }

    /// Takes no further proposals; `false` when this replica does not lead.
    fn stop_proposals(&self) -> bool {
        let mut state = self.inner.state.borrow_mut();
        let leadership = state.leadership_mut();
        leadership.map(|leadership| leadership.handing_over = true).is_some()
    }

    /// A voter that holds the whole log, or it would not be elected: first among those not asked yet, the one heard last.
    fn choose_successor(&self, asked: &BTreeSet<ReplicaId>) -> Option<(ReplicaId, SocketAddr, u64)> {
        let state = self.inner.state.borrow();
        let own = state.identity.id;
        let term = state.term;
        let known = state.leadership()?.progress.clone();
        let last_index = state.log.last_index();
        let progress = |member: &Member| known.get(&member.id).copied().unwrap_or_default();
        let others = state.membership().voters().filter(|member| member.id != own);
        let unwanted = self.inner.unwanted.borrow();
        let wanted = others.filter(|member| !unwanted.contains(&member.id));
        let whole = wanted.filter(|member| progress(member).matched >= last_index);
        let best = whole.max_by_key(|member| (!asked.contains(&member.id), progress(member).answered_sent_at))?;
        Some((best.id, best.address, term))
    }
}
