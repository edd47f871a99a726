//! Where the group is, for machines that are not its members: they serve callers too, and have to send them on.
//!
//! Members come and go, and settings and files name those of another day. Whoever starts must find the group through any
//! machine that answers. A machine that is no member learns of the group from the answers to its own requests to be added;
//! that is not enough for one whose disk was lost and whose settings name only machines like itself. So the leader also tells every
//! machine that the group knows and that has not been taken away, each second: one message of some hundred bytes to each that is no member.

use crate::message::{ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::state::{State, StateMachine};
use futures::future::join_all;
use saddlerelay_runtime::Runtime;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between two announcements: what a caller may wait for a machine that has just started and knows nobody, beside an
/// election. Thirty machines cost the leader thirty small messages a second, beside 70 heartbeats to five voters.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of one announcement.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(400);

/// How long an announced leader is named first: some announcements, so that one that is gone is not named for ever.
const ANNOUNCEMENT_KEPT: Duration = Duration::from_secs(5);

/// Most peers that a replica names to a caller, about 250 bytes: a group has six members, and settings name three machines.
const MOST_NAMED: usize = 32;

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Names the machines that are told where the group is while this replica leads it.
    pub fn set_audience(&self, machines: BTreeSet<SocketAddr>) {
        *self.inner.audience.borrow_mut() = machines;
    }

    /// Where other replicas listen, the likeliest to know the leader first: the leader that told of itself last, the
    /// members by this replica's own log, and whoever it has heard of. A member that has just lost its leader names the
    /// members only: the next leader is one of them, and each machine that is gone would cost a caller the time of a
    /// connection, 0.3 s, in an election.
    pub fn peers_by_likelihood(&self) -> Vec<SocketAddr> {
        self.peers_by_likelihood_in(&self.inner.state.borrow())
    }

    pub(crate) fn peers_by_likelihood_in(&self, state: &State<S>) -> Vec<SocketAddr> {
        let members: Vec<SocketAddr> = state.membership().members.iter().map(|member| member.address).collect();
        let mut likely = self.recently_announced_leader().into_iter().collect::<Vec<_>>();
        likely.extend(members);
        if !self.belongs_to_group(state) {
            likely.extend(self.inner.heard_of.borrow().iter());
        }
        let mut named = Vec::new();
        for address in likely {
            let is_new = address != self.inner.options.address && !named.contains(&address);
            if is_new && named.len() < MOST_NAMED {
                named.push(address);
            }
        }
        named
    }

    /// Whether a leader counted this replica among its members lately. By its own log alone one that was removed while it
    /// was down would count itself, too.
    fn belongs_to_group(&self, state: &State<S>) -> bool {
        let heard_until = state.leader_heard_at + self.inner.options.config.replace_after;
        let is_member = state.membership().member(state.identity.id).is_some();
        is_member && self.inner.platform.monotonic() < heard_until
    }

    pub(crate) fn recently_announced_leader(&self) -> Option<SocketAddr> {
        let (leader, at) = self.inner.announced_leader.get()?;
        (self.inner.platform.monotonic() < at + ANNOUNCEMENT_KEPT).then_some(leader)
    }

    /// Whether a leader has said lately that this replica is no member, and none has been heard since. A replica that was removed
    /// while nobody reached it holds a log in which it still is one: it is sent no entry any more that says otherwise.
    pub(crate) fn is_left_out(&self, state: &State<S>) -> bool {
        let now = self.inner.platform.monotonic();
        let left_out_at = self.inner.left_out_at.get();
        left_out_at.is_some_and(|at| at >= state.leader_heard_at && now < at + ANNOUNCEMENT_KEPT)
    }

    /// Takes a leader's word of where the group is. One of another group is not for this replica.
    pub(crate) fn hear_announcement(&self, group: u64, leader: SocketAddr, members: Vec<SocketAddr>) -> ReplicaReply {
        let own = self.inner.state.borrow().identity.group;
        if own.is_some_and(|own| own != group) {
            return ReplicaReply::Refused;
        }
        let now = self.inner.platform.monotonic();
        let is_left_out = !members.contains(&self.inner.options.address) && leader != self.inner.options.address;
        self.inner.left_out_at.set(is_left_out.then_some(now));
        let before = self.inner.announced_leader.replace(Some((leader, now)));
        if before.is_none_or(|(before, _)| before != leader) {
            spdlog::info!("group announced", kv: { leader = leader.to_string().as_str(), members = members.len() });
        }
        self.hear_of(members);
        ReplicaReply::Taken
    }

    /// Tells machines that are no members where the group is, while this replica leads it.
    pub(crate) async fn announce_group(self) {
        loop {
            self.inner.platform.sleep(ANNOUNCE_INTERVAL).await;
            let Some(announcement) = self.announcement() else {
                continue;
            };
            let tell = |address| self.send(address, &announcement, ANNOUNCE_LIMIT);
            // One that does not answer is told again at the next turn.
            join_all(self.strangers().into_iter().map(tell)).await;
        }
    }

    fn announcement(&self) -> Option<ReplicaRequest> {
        self.leading_term()?;
        let group = self.inner.state.borrow().identity.group?;
        Some(ReplicaRequest::Announce { group, leader: self.inner.options.address, members: self.member_addresses() })
    }

    /// Machines that the group knows and that are not its members.
    fn strangers(&self) -> Vec<SocketAddr> {
        let members = self.member_addresses();
        let audience = self.inner.audience.borrow();
        audience.iter().filter(|address| !members.contains(address)).copied().collect()
    }
}
