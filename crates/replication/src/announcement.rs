//! Announcements of the group to machines outside it.
//!
//! Machines that are not members redirect callers to the group, and join it when a member fails. Their settings and
//! files may list outdated members. The leader therefore sends the current members to all known machines outside the
//! group, so that a machine with an empty disk finds the group even if its settings list no member.

use crate::message::{ReplicaReply, ReplicaRequest};
use crate::replica::Replica;
use crate::state::{State, StateMachine};
use futures::future::join_all;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::timeout::timeout;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after an announcement within which the next one arrives unless it is lost or its sender has failed.
const NEXT_ANNOUNCEMENT_LIMIT: Duration = ANNOUNCE_INTERVAL.saturating_add(ANNOUNCE_TIMEOUT);

/// Validity of a received announcement.
const ANNOUNCEMENT_VALIDITY: Duration = Duration::from_secs(5);

/// Maximum number of addresses in a reply.
const MAX_PEER_ADDRESSES: usize = 32;

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Sets the addresses that receive announcements while this replica leads. They are announced to at once if this is
    /// a new leader or if they have changed: until then, machines outside the group know only the previous leader.
    pub fn set_announcement_targets(&self, machines: BTreeSet<SocketAddr>) {
        let term = self.claimed_term();
        let has_new_term = self.inner.announced_term.replace(term) != term;
        let previous = self.inner.announcement_targets.replace(machines);
        if has_new_term || previous != *self.inner.announcement_targets.borrow() {
            self.inner.announcement_due.notify();
        }
    }

    /// Addresses of other replicas in the order in which a caller should try them to find the leader: the last
    /// announced leader, the members in this replica's log, then other known addresses. A replica that is an active
    /// member omits the last group, as the next leader will be a member and each unreachable address delays the
    /// caller.
    pub fn redirect_addresses(&self) -> Vec<SocketAddr> {
        self.redirect_addresses_in(&self.inner.state.borrow())
    }

    pub(crate) fn redirect_addresses_in(&self, state: &State<S>) -> Vec<SocketAddr> {
        let members: Vec<SocketAddr> = state.membership().members.iter().map(|member| member.address).collect();
        let mut candidates = self.leader_announced_within(ANNOUNCEMENT_VALIDITY).into_iter().collect::<Vec<_>>();
        candidates.extend(members);
        if !self.is_active_member(state) {
            candidates.extend(self.inner.discovered_addresses.borrow().iter());
        }
        let mut addresses = Vec::new();
        for address in candidates {
            let is_new = address != self.inner.options.address && !addresses.contains(&address);
            if is_new && addresses.len() < MAX_PEER_ADDRESSES {
                addresses.push(address);
            }
        }
        addresses
    }

    /// Whether this replica is a member by its own log and was in contact with a leader within `replace_after`. The
    /// log alone is not sufficient, as a replica that was removed while it was down still finds itself in it.
    fn is_active_member(&self, state: &State<S>) -> bool {
        let contact_expires_at = state.last_leader_contact + self.inner.options.config.replace_after;
        let is_member = state.membership().member(state.identity.id).is_some();
        is_member && self.inner.platform.monotonic() < contact_expires_at
    }

    /// The leader that last announced itself, unless an announcement has been missed since: it may have failed.
    pub(crate) fn announcing_leader(&self) -> Option<SocketAddr> {
        self.leader_announced_within(NEXT_ANNOUNCEMENT_LIMIT)
    }

    fn leader_announced_within(&self, age: Duration) -> Option<SocketAddr> {
        let (leader, at) = self.inner.announced_leader.get()?;
        (self.inner.platform.monotonic() < at + age).then_some(leader)
    }

    /// Whether a recent announcement listed the members without this replica, and no leader has contacted it since. A
    /// replica that was removed while it was unreachable does not receive the log entry that removed it.
    pub(crate) fn is_excluded(&self, state: &State<S>) -> bool {
        let now = self.inner.platform.monotonic();
        let excluded_at = self.inner.excluded_at.get();
        excluded_at.is_some_and(|at| at >= state.last_leader_contact && now < at + ANNOUNCEMENT_VALIDITY)
    }

    /// Handles an announcement by a leader; rejected if it is of another group.
    pub(crate) fn handle_announcement(&self, group: u64, leader: SocketAddr, members: Vec<SocketAddr>) -> ReplicaReply {
        let own_group = self.inner.state.borrow().identity.group;
        if own_group.is_some_and(|own_group| own_group != group) {
            return ReplicaReply::Rejected;
        }
        let now = self.inner.platform.monotonic();
        let is_excluded = !members.contains(&self.inner.options.address) && leader != self.inner.options.address;
        self.inner.excluded_at.set(is_excluded.then_some(now));
        let previous = self.inner.announced_leader.replace(Some((leader, now)));
        if previous.is_none_or(|(previous, _)| previous != leader) {
            spdlog::info!("group announced", kv: { leader = leader.to_string().as_str(), members = members.len() });
        }
        self.add_known_addresses(members);
        ReplicaReply::Accepted
    }

    /// Sends announcements to addresses outside the group while this replica leads.
    pub(crate) async fn announce_group(self) {
        let mut notified_count = 0;
        loop {
            let due = self.inner.announcement_due.changed(notified_count);
            timeout(&self.inner.platform, ANNOUNCE_INTERVAL, due).await;
            notified_count = self.inner.announcement_due.count();
            let Some(announcement) = self.announcement() else {
                continue;
            };
            let send = |address| self.send(address, &announcement, ANNOUNCE_TIMEOUT);
            // Failed announcements are repeated in the next round.
            join_all(self.non_members().into_iter().map(send)).await;
        }
    }

    fn announcement(&self) -> Option<ReplicaRequest> {
        self.leading_term()?;
        let group = self.inner.state.borrow().identity.group?;
        Some(ReplicaRequest::Announce { group, leader: self.inner.options.address, members: self.member_addresses() })
    }

    /// Announcement targets that are not members.
    fn non_members(&self) -> Vec<SocketAddr> {
        let members = self.member_addresses();
        let announcement_targets = self.inner.announcement_targets.borrow();
        announcement_targets.iter().filter(|address| !members.contains(address)).copied().collect()
    }
}
