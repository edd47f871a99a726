//! Leadership transfer, before a planned stop or to a voter with better links.

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

/// Interval between checks for a voter that is ready to take over.
pub(crate) const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of one request to take over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a leadership transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// A voter that is requested to take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Successor {
    pub id: ReplicaId,
    pub address: SocketAddr,
    /// Term of the leader that requests the transfer.
    pub term: u64,
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Transfers leadership before a planned stop or before this replica leaves the group. Returns whether a successor
    /// took over. After a timeout this replica steps down anyway.
    pub async fn transfer_leadership(&self) -> bool {
        self.inner.state.borrow_mut().stopping = true;
        self.transfer_leadership_to(|attempted| self.caught_up_successor(attempted)).await
    }

    /// Requests the successors returned by `choose` to take over, one at a time. Returns whether one did. After a
    /// timeout this replica steps down anyway.
    pub(crate) async fn transfer_leadership_to(
        &self,
        choose: impl Fn(&BTreeSet<ReplicaId>) -> Option<Successor>,
    ) -> bool {
        let deadline = self.inner.platform.monotonic() + TRANSFER_TIMEOUT;
        let mut attempted = BTreeSet::new();
        while self.inner.platform.monotonic() < deadline && self.block_proposals() {
            let Some(successor) = choose(&attempted) else {
                self.inner.platform.sleep(SUCCESSOR_POLL_INTERVAL).await;
                continue;
            };
            // Proposals are blocked meanwhile, so a slow successor is skipped.
            attempted.insert(successor.id);
            self.request_takeover(successor).await;
            self.inner.platform.sleep(self.inner.options.config.heartbeat_interval).await;
        }
        !self.step_down()
    }

    /// Sends the request over two connections to tolerate packet loss, as proposals are blocked until it arrives. The
    /// second copy is rejected.
    async fn request_takeover(&self, successor: Successor) {
        let request = ReplicaRequest::TimeoutNow { header: self.header(successor.id, successor.term) };
        let send_request = |channel| self.try_send(channel, successor.address, &request, TAKEOVER_TIMEOUT);
        let (log_reply, probes_reply) = join(send_request(Channel::Log), send_request(Channel::Probes)).await;
        spdlog::info!("leadership transfer requested", kv: {
            successor = successor.id.0, address = successor.address.to_string().as_str(), term = successor.term,
            answered = log_reply.is_ok() || probes_reply.is_ok()
        });
    }

    /// Steps down if this replica still leads, and returns whether it did. It must not serve again in this term: a
    /// voter that received a request to take over may still campaign, and voters ignore the lease for that campaign.
    fn step_down(&self) -> bool {
        let mut state = self.inner.state.borrow_mut();
        if state.leadership().is_none() {
            return false;
        }
        spdlog::warn!("leadership transfer timed out", kv: {
            term = state.term,
            limit_ms = TRANSFER_TIMEOUT.as_millis() as u64,
            last_index = state.log.last_index(),
            peers = state.describe_peers(self.inner.platform.monotonic()).as_str()
        });
        state.become_follower();
        state.leader = None;
        drop(state);
        self.inner.state_changed.notify();
        true
    }

    /// Campaigns at the request of the current term's leader. A delayed request of an earlier term is rejected: voters
    /// ignore the lease in such a campaign, and the current leader has not agreed to that.
    pub(crate) fn handle_timeout_now(&self, header: Header) -> ReplicaReply {
        let is_current = header.term == self.inner.state.borrow().term;
        if !is_current || !self.is_for_this_replica(&header) {
            return ReplicaReply::Rejected;
        }
        self.inner.platform.spawn(self.clone().campaign_after(header.term, true));
        ReplicaReply::Accepted
    }

    /// Blocks further proposals; `false` if this replica is not the leader.
    fn block_proposals(&self) -> bool {
        let mut state = self.inner.state.borrow_mut();
        let leadership = state.leadership_mut();
        leadership.map(|leadership| leadership.transfer_in_progress = true).is_some()
    }

    /// A voter with the complete log, as only such a voter is certain to be elected. Voters that were not attempted
    /// yet come first, then those that reply promptly, then the one with the most recent acknowledgement. A late voter may
    /// be behind bad links, and would have to transfer leadership again.
    fn caught_up_successor(&self, attempted: &BTreeSet<ReplicaId>) -> Option<Successor> {
        let state = self.inner.state.borrow();
        let own = state.identity.id;
        let progress_by_peer = &state.leadership()?.progress;
        let last_index = state.log.last_index();
        let progress = |member: &Member| progress_by_peer.get(&member.id).copied().unwrap_or_default();
        let others = state.membership().voters().filter(|member| member.id != own);
        let excluded = self.inner.excluded_replicas.borrow();
        let eligible = others.filter(|member| !excluded.contains(&member.id));
        let caught_up = eligible.filter(|member| progress(member).match_index >= last_index);
        let late_since = self.inner.platform.monotonic().saturating_sub(self.inner.options.config.replace_after);
        let best = caught_up.max_by_key(|member| {
            let progress = progress(member);
            let is_prompt = !progress.is_late_since(late_since);
            (!attempted.contains(&member.id), is_prompt, progress.acknowledged_append_sent_at)
        })?;
        Some(Successor { id: best.id, address: best.address, term: state.term })
    }
}
