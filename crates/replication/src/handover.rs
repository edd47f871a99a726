//! Handing leadership over before a planned stop.

use crate::calls::Channel;
use crate::membership::Member;
use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::state::StateMachine;
use futures::future::join;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between looks for a successor that holds the whole log.
pub(crate) const SUCCESSOR_POLL: Duration = Duration::from_millis(5);

/// How long one successor may take to answer that it takes over.
const TAKE_OVER_LIMIT: Duration = Duration::from_millis(200);

/// How long a planned stop waits for its successor.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);

/// A voter that is asked to lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Successor {
    pub id: ReplicaId,
    pub address: SocketAddr,
    /// The leader's term, which ends with the successor's election.
    pub term: u64,
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Hands leadership over before a planned stop, or before this replica leaves the group. Returns whether a successor has
    /// taken over; if none has in time, this replica gives leadership up all the same, and the others elect one of them.
    pub async fn hand_over(&self) -> bool {
        self.inner.state.borrow_mut().stopping = true;
        self.hand_over_to(|asked| self.whole_successor(asked)).await
    }

    /// Asks one successor after the other, as `choose` names them, to take over. Returns whether one has; if none has in
    /// time, this replica leads no more all the same.
    pub(crate) async fn hand_over_to(&self, choose: impl Fn(&BTreeSet<ReplicaId>) -> Option<Successor>) -> bool {
        let deadline = self.inner.platform.monotonic() + HAND_OVER_LIMIT;
        let mut asked = BTreeSet::new();
        while self.inner.platform.monotonic() < deadline && self.stop_proposals() {
            let Some(successor) = choose(&asked) else {
                self.inner.platform.sleep(SUCCESSOR_POLL).await;
                continue;
            };
            // Nobody leads meanwhile: one that is slow to answer is passed over.
            asked.insert(successor.id);
            self.ask_to_take_over(successor).await;
            self.inner.platform.sleep(self.inner.options.config.heartbeat_interval).await;
        }
        !self.give_up_leadership()
    }

    /// Asks on two connections, as nobody leads until one of the messages arrives; the second to arrive is refused.
    async fn ask_to_take_over(&self, successor: Successor) {
        let request = ReplicaRequest::TakeOver { header: self.header(successor.id, successor.term) };
        let ask = |channel| self.try_send(channel, successor.address, &request, TAKE_OVER_LIMIT);
        let (log, probes) = join(ask(Channel::Log), ask(Channel::Probes)).await;
        spdlog::info!("asked to take over", kv: {
            successor = successor.id.0, address = successor.address.to_string().as_str(), term = successor.term,
            answered = log.is_ok() || probes.is_ok()
        });
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
        self.inner.platform.spawn(self.clone().campaign_after(header.term, true));
        ReplicaReply::Taken
    }

    /// Takes no further proposals; `false` when this replica does not lead.
    fn stop_proposals(&self) -> bool {
        let mut state = self.inner.state.borrow_mut();
        let leadership = state.leadership_mut();
        leadership.map(|leadership| leadership.handing_over = true).is_some()
    }

    /// A voter that holds the whole log, or it would not be elected: first among those not asked yet, the one heard last.
    fn whole_successor(&self, asked: &BTreeSet<ReplicaId>) -> Option<Successor> {
        let state = self.inner.state.borrow();
        let own = state.identity.id;
        let known = &state.leadership()?.progress;
        let last_index = state.log.last_index();
        let progress = |member: &Member| known.get(&member.id).copied().unwrap_or_default();
        let others = state.membership().voters().filter(|member| member.id != own);
        let unwanted = self.inner.unwanted.borrow();
        let wanted = others.filter(|member| !unwanted.contains(&member.id));
        let whole = wanted.filter(|member| progress(member).matched >= last_index);
        let best = whole.max_by_key(|member| (!asked.contains(&member.id), progress(member).answered_sent_at))?;
        Some(Successor { id: best.id, address: best.address, term: state.term })
    }
}
