//! Membership changes, one at a time: joins, promotion of learners, and removal of members that have failed, were
//! replaced or are excluded.

use crate::calls::Channel;
use crate::log::EntryPayload;
use crate::member_health::MemberHealth;
use crate::membership::{Member, Membership};
use crate::message::{ReplicaReply, ReplicaRequest};
use crate::replica::{Proposal, Replica};
use crate::role_report::MIN_REPORT_INTERVAL;
use crate::state::{State, StateMachine};
use crate::voter_spread::{LossTolerance, Zones};
use futures::future::join_all;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between checks for a membership change.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest interval between join requests.
const JOIN_INTERVAL: Duration = Duration::from_millis(150);

/// Milliseconds by which each recently rejected replica lengthens the retry interval, which bounds the rate of join
/// requests to 100 a second.
const RETRY_MS_PER_REJECTED_JOIN: u64 = 10;

/// Longest retry interval after a rejected join request, in milliseconds.
const MAX_JOIN_RETRY_MS: u64 = 10_000;

/// How long a rejected join request counts; longer than the longest retry interval.
const REJECTED_JOIN_VALIDITY: Duration = Duration::from_secs(20);

/// How long a rejected replica counts as a candidate that may join in place of another one. Covers the retry interval of
/// 100 rejected replicas with its random addition; in larger fleets the first replica that asks may be admitted.
const CANDIDATE_VALIDITY: Duration = Duration::from_secs(2);

/// Timeout of one join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(400);

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Adds addresses at which replicas may listen, for join requests and redirects.
    pub fn add_known_addresses(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.inner.discovered_addresses.borrow_mut().extend(addresses);
    }

    /// Sets the replicas that must be removed from the group or kept out of it.
    pub fn set_excluded_replicas(&self, excluded: BTreeSet<ReplicaId>) {
        *self.inner.excluded_replicas.borrow_mut() = excluded;
    }

    /// Sets the zones of replicas by address, which membership changes take into account while this replica leads. An
    /// address without an entry counts as a zone of its own.
    pub fn set_zones(&self, zones: Zones) {
        *self.inner.zones.borrow_mut() = zones;
    }

    /// Whether `replica` is not a member, and the target number of healthy voters has synced all committed entries.
    pub fn is_replicated_without(&self, replica: ReplicaId) -> bool {
        let state = self.inner.state.borrow();
        let (Some(_), true) = (state.leadership(), may_change_membership(&state)) else {
            return false;
        };
        let synced_voters = self.assess_members(&state, |health| {
            let own = health.own;
            let is_synced = |voter: &&Member| {
                let matched = health.leadership.progress.get(&voter.id).map_or(0, |progress| progress.match_index);
                let synced = if voter.id == own { state.synced } else { matched };
                synced >= state.commit && !health.has_failed(voter)
            };
            health.membership.voters().filter(is_synced).count()
        });
        let removed = state.membership().member(replica).is_none();
        removed && synced_voters.is_some_and(|synced_voters| synced_voters >= self.target_voters())
    }

    /// Whether the target number of voters is healthy, so that this leader may leave the group.
    pub fn can_leave(&self) -> bool {
        let state = self.inner.state.borrow();
        let healthy = self.assess_members(&state, |health| health.healthy_voters());
        may_change_membership(&state) && healthy.is_some_and(|healthy| healthy >= self.target_voters())
    }

    /// How many zones and disks this leader's group may lose now; `None` if this replica does not lead.
    pub fn loss_tolerance(&self) -> Option<LossTolerance> {
        self.assess_members(&self.inner.state.borrow(), |health| health.loss_tolerance())
    }

    /// Logs changes of the number of zones and disks that may be lost.
    fn report_tolerance(&self) {
        let now = self.inner.platform.monotonic();
        let Some(tolerance) = self.loss_tolerance() else {
            self.inner.reported_tolerance.set(None);
            return;
        };
        let reported = self.inner.reported_tolerance.get();
        let is_due = reported.is_none_or(|(last, at)| last != tolerance && now >= at + MIN_REPORT_INTERVAL);
        if !is_due {
            return;
        }
        self.inner.reported_tolerance.set(Some((tolerance, now)));
        let state = self.inner.state.borrow();
        spdlog::info!("tolerance changed", kv: {
            term = state.term,
            zones = tolerance.zones,
            disks = tolerance.disks,
            zones_before = reported.map_or(-1, |(last, _)| last.zones as i64),
            disks_before = reported.map_or(-1, |(last, _)| last.disks as i64),
            voters = state.membership().voters().count(),
            quorum = state.membership().quorum(),
            zones_known = self.inner.zones.borrow().len(),
            peers = state.describe_peers(now).as_str()
        });
    }

    fn assess_members<T>(&self, state: &State<S>, assess: impl FnOnce(&MemberHealth) -> T) -> Option<T> {
        let excluded = self.inner.excluded_replicas.borrow();
        let zones = self.inner.zones.borrow();
        let health = MemberHealth {
            membership: state.membership(),
            leadership: state.leadership()?,
            own: state.identity.id,
            commit: state.commit,
            synced: state.synced,
            now: self.inner.platform.monotonic(),
            replace_after: self.inner.options.config.replace_after,
            excluded: &excluded,
            target_voters: self.inner.options.config.target_voters,
            zones: &zones,
        };
        Some(assess(&health))
    }

    pub(crate) fn handle_join(&self, id: ReplicaId, address: SocketAddr, level: FeatureLevel) -> ReplicaReply {
        let config = &self.inner.options.config;
        let (membership, based_on_index) = {
            let state = self.inner.state.borrow();
            if state.leadership().is_none() {
                return ReplicaReply::Members(self.known_addresses(&state));
            }
            let is_member = state.membership().member(id).is_some();
            let is_older = state.leadership().is_some_and(|leadership| level < leadership.next_level);
            if is_older {
                spdlog::warn!("join request of older build refused", kv: { replica = id.0, feature_level = level.number() });
            }
            if is_member
                || is_older
                || self.inner.excluded_replicas.borrow().contains(&id)
                || !may_change_membership(&state)
            {
                return ReplicaReply::Rejected;
            }
            let candidates = self.recent_candidates(address);
            let needed =
                self.assess_members(&state, |health| health.needs_learner(address, config.spare_learners, &candidates));
            if needed != Some(true) {
                let members = self.known_addresses(&state);
                return ReplicaReply::NotNeeded { retry_after_ms: self.reject_join(address), members };
            }
            (state.membership().with_learner(id, address), state.log.membership_index())
        };
        self.propose_membership(membership, based_on_index);
        ReplicaReply::Accepted
    }

    /// Addresses other than `address` whose join requests were rejected recently.
    fn recent_candidates(&self, address: SocketAddr) -> Vec<SocketAddr> {
        let now = self.inner.platform.monotonic();
        let rejected = self.inner.rejected_joins.borrow();
        let recent = rejected.iter().filter(|(_, rejected_at)| now < **rejected_at + CANDIDATE_VALIDITY);
        recent.map(|(candidate, _)| *candidate).filter(|candidate| *candidate != address).collect()
    }

    /// Records a rejected join request and returns the retry interval in milliseconds.
    fn reject_join(&self, address: SocketAddr) -> u64 {
        let now = self.inner.platform.monotonic();
        let mut rejected = self.inner.rejected_joins.borrow_mut();
        rejected.retain(|_, rejected_at| now < *rejected_at + REJECTED_JOIN_VALIDITY);
        rejected.insert(address, now);
        let min_retry_ms = JOIN_INTERVAL.as_millis() as u64;
        (rejected.len() as u64 * RETRY_MS_PER_REJECTED_JOIN).clamp(min_retry_ms, MAX_JOIN_RETRY_MS)
    }

    /// All addresses at which replicas are known to listen, members or not.
    pub fn known_peers(&self) -> BTreeSet<SocketAddr> {
        let mut addresses = self.inner.discovered_addresses.borrow().clone();
        addresses.extend(self.member_addresses());
        addresses
    }

    /// Addresses for a join request to try next, the leader first if it is known.
    fn known_addresses(&self, state: &State<S>) -> Vec<SocketAddr> {
        let leader = state.leader.and_then(|leader| state.address_of(leader));
        leader.into_iter().chain(self.redirect_addresses_in(state)).collect()
    }

    /// Proposes a membership based on the one at index `based_on_index`. Of several pending proposals based on the same
    /// one, only the first is accepted.
    fn propose_membership(&self, membership: Membership, based_on_index: u64) {
        let payload = EntryPayload::Membership(membership);
        let proposal = Proposal { payload, sender: None, based_on_index: Some(based_on_index) };
        // If the queue is full, the change is proposed again at the next check.
        let _ = self.inner.proposals.borrow_mut().try_send(proposal);
    }

    /// Promotes learners and removes failed or replaced members while this replica leads.
    pub(crate) async fn manage_membership(self) {
        loop {
            self.inner.platform.sleep(MEMBERSHIP_INTERVAL).await;
            let now = self.inner.platform.monotonic();
            self.inner.state.borrow_mut().observe_replication_lag(now);
            self.report_tolerance();
            if let Some((membership, based_on_index)) = self.next_membership() {
                self.propose_membership(membership, based_on_index);
            }
        }
    }

    /// The next membership change, with the index of the membership that it is based on.
    fn next_membership(&self) -> Option<(Membership, u64)> {
        let state = self.inner.state.borrow();
        if !may_change_membership(&state) {
            return None;
        }
        let target_voters = self.inner.options.config.target_voters;
        let spare_learners = self.inner.options.config.spare_learners;
        let next = self.assess_members(&state, |health| {
            if let Some(voter) = health.voter_to_remove() {
                health.log_removal(voter);
                return Some(health.membership.without(voter.id));
            }
            if health.healthy_voters() < target_voters
                && let Some(learner) = health.learner_to_promote()
            {
                return Some(health.membership.with_voter(learner.id));
            }
            health.learner_to_remove(spare_learners).map(|learner| health.membership.without(learner.id))
        });
        Some((next??, state.log.membership_index()))
    }

    /// Sends join requests while this replica belongs to no group or has no contact with a leader, as it may have been
    /// removed.
    pub(crate) async fn join_group(self) {
        let mut pause = JOIN_INTERVAL;
        loop {
            self.inner.platform.sleep(pause).await;
            pause = JOIN_INTERVAL;
            if !self.must_join() {
                continue;
            }
            let id = self.inner.state.borrow().identity.id;
            let request = ReplicaRequest::Join { id, address: self.inner.options.address };
            let send_request = |address| self.request_join(address, &request);
            let replies = join_all(self.join_addresses().into_iter().map(send_request)).await;
            for reply in replies.into_iter().flatten() {
                match reply {
                    ReplicaReply::Members(addresses) => self.add_known_addresses(addresses),
                    ReplicaReply::NotNeeded { retry_after_ms, members } => {
                        self.add_known_addresses(members);
                        let wait = Duration::from_millis(retry_after_ms.min(MAX_JOIN_RETRY_MS));
                        pause = pause.max(wait + self.inner.platform.jitter(wait / 4));
                    }
                    _ => {}
                }
            }
        }
    }

    async fn request_join(&self, address: SocketAddr, request: &ReplicaRequest) -> Option<ReplicaReply> {
        self.try_send(Channel::Negotiated, address, request, JOIN_TIMEOUT).await.ok()
    }

    fn must_join(&self) -> bool {
        let state = self.inner.state.borrow();
        if state.stopping || state.leadership().is_some() {
            return false;
        }
        let is_leader_silent =
            self.inner.platform.monotonic() >= state.last_leader_contact + self.inner.options.config.replace_after;
        state.identity.group.is_none() || is_leader_silent
    }

    fn join_addresses(&self) -> BTreeSet<SocketAddr> {
        let mut addresses: BTreeSet<SocketAddr> = self.inner.options.peers.iter().copied().collect();
        addresses.extend(self.inner.discovered_addresses.borrow().iter());
        addresses.extend(self.member_addresses());
        addresses.remove(&self.inner.options.address);
        addresses
    }
}

/// Whether a membership based on the one at index `based_on_index` may be appended now.
pub(crate) fn may_append_membership<S: StateMachine>(state: &State<S>, based_on_index: Option<u64>) -> bool {
    may_change_membership(state) && based_on_index == Some(state.log.membership_index())
}

/// Logs that this leader appends `membership`.
pub(crate) fn log_proposed_membership<S: StateMachine>(state: &State<S>, membership: &Membership) {
    spdlog::info!("members proposed", kv: {
        term = state.term,
        voters = membership.voters().count(),
        learners = membership.members.len() - membership.voters().count(),
        members = membership.describe().as_str()
    });
}

/// Whether the last membership change and an entry of this leader's term are committed.
fn may_change_membership<S: StateMachine>(state: &State<S>) -> bool {
    let Some(leadership) = state.leadership() else {
        return false;
    };
    state.commit >= leadership.first_index && state.log.membership_index() <= state.commit
}
