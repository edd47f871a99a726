//! Changes of the group's members, one at a time: joining, learners that become voters, and voters that are lost,
//! replaced or unwanted.

use crate::calls::Channel;
use crate::judgement::Judgement;
use crate::log::EntryPayload;
use crate::membership::{Member, Membership};
use crate::message::{ReplicaReply, ReplicaRequest};
use crate::replica::{Proposal, Replica};
use crate::state::{State, StateMachine};
use futures::future::join_all;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between looks at the membership.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between requests to be added to a group.
const JOIN_INTERVAL: Duration = Duration::from_millis(150);

/// Time that a leader gives to each replica that asks in vain to be added, in milliseconds: a hundred of them ask it a
/// hundred times a second, and so do a thousand. Fifteen or fewer ask no less often than `JOIN_INTERVAL`; a lost voter's
/// place is taken at once by the learner that is kept at hand.
const REFUSED_JOIN_MS: u64 = 10;

/// Longest time after which a replica that was refused asks again, in milliseconds.
const LONGEST_JOIN_MS: u64 = 10_000;

/// How long a replica that asked in vain is counted among those that do: it has asked again by then, or is gone.
const REFUSED_JOINER_KEPT: Duration = Duration::from_secs(20);

/// Time limit of one request to be added.
const JOIN_LIMIT: Duration = Duration::from_millis(400);

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Names further addresses at which replicas may listen.
    pub fn hear_of(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.inner.heard_of.borrow_mut().extend(addresses);
    }

    /// Names the replicas that are not to be members.
    pub fn set_unwanted(&self, unwanted: BTreeSet<ReplicaId>) {
        *self.inner.unwanted.borrow_mut() = unwanted;
    }

    /// Whether `replica` is no member, and enough voters hold the whole committed log on their disks.
    pub fn is_whole_without(&self, replica: ReplicaId) -> bool {
        let state = self.inner.state.borrow();
        let (Some(_), true) = (state.leadership(), may_change_membership(&state)) else {
            return false;
        };
        let whole = self.judge(&state, |judgement| {
            let own = judgement.own;
            let holds = |voter: &&Member| {
                let matched = judgement.leadership.progress.get(&voter.id).map_or(0, |progress| progress.matched);
                let synced = if voter.id == own { state.synced } else { matched };
                synced >= state.commit && !judgement.is_lost(voter)
            };
            judgement.membership.voters().filter(holds).count()
        });
        let removed = state.membership().member(replica).is_none();
        removed && whole.is_some_and(|whole| whole >= self.target_voters())
    }

    /// Whether the group is whole without this replica, which leads it.
    pub fn may_leave(&self) -> bool {
        let state = self.inner.state.borrow();
        let sound = self.judge(&state, |judgement| judgement.sound_voters());
        may_change_membership(&state) && sound.is_some_and(|sound| sound >= self.target_voters())
    }

    fn judge<T>(&self, state: &State<S>, judge: impl FnOnce(&Judgement) -> T) -> Option<T> {
        let unwanted = self.inner.unwanted.borrow();
        let judgement = Judgement {
            membership: state.membership(),
            leadership: state.leadership()?,
            own: state.identity.id,
            commit: state.commit,
            now: self.inner.platform.monotonic(),
            replace_after: self.inner.options.config.replace_after,
            unwanted: &unwanted,
        };
        Some(judge(&judgement))
    }

    pub(crate) fn answer_join(&self, id: ReplicaId, address: SocketAddr, level: FeatureLevel) -> ReplicaReply {
        let config = &self.inner.options.config;
        let (membership, made_from) = {
            let state = self.inner.state.borrow();
            if state.leadership().is_none() {
                return ReplicaReply::Members(self.known_addresses(&state));
            }
            let known = state.membership().member(id).is_some();
            let is_older = state.leadership().is_some_and(|leadership| level < leadership.next_level);
            if is_older {
                spdlog::warn!("older build not added", kv: { replica = id.0, feature_level = level.number() });
            }
            if known || is_older || self.inner.unwanted.borrow().contains(&id) || !may_change_membership(&state) {
                return ReplicaReply::Refused;
            }
            let wanted = self.judge(&state, |judgement| {
                judgement.wants_learner(address, config.target_voters, config.spare_learners)
            });
            if wanted != Some(true) {
                let members = self.known_addresses(&state);
                return ReplicaReply::NotWanted { ask_again_ms: self.refuse_joiner(address), members };
            }
            (state.membership().with_learner(id, address), state.log.membership_index())
        };
        self.propose_membership(membership, made_from);
        ReplicaReply::Taken
    }

    /// Counts a replica that asked in vain; returns when it should ask again.
    fn refuse_joiner(&self, address: SocketAddr) -> u64 {
        let now = self.inner.platform.monotonic();
        let mut refused = self.inner.refused_joiners.borrow_mut();
        refused.retain(|_, asked_at| now < *asked_at + REFUSED_JOINER_KEPT);
        refused.insert(address, now);
        let shortest = JOIN_INTERVAL.as_millis() as u64;
        (refused.len() as u64 * REFUSED_JOIN_MS).clamp(shortest, LONGEST_JOIN_MS)
    }

    /// Where replicas may listen that this one knows of: the group's members, and others it has heard of.
    pub fn known_peers(&self) -> BTreeSet<SocketAddr> {
        let mut addresses = self.inner.heard_of.borrow().clone();
        addresses.extend(self.member_addresses());
        addresses
    }

    /// Where replicas listen, the leader first as far as it is known.
    fn known_addresses(&self, state: &State<S>) -> Vec<SocketAddr> {
        let leader = state.leader.and_then(|leader| state.address_of(leader));
        leader.into_iter().chain(self.peers_by_likelihood_in(state)).collect()
    }

    /// Proposes a membership that was made from the one at index `made_from`. While it waits to be written others may be
    /// proposed that were made from the same one: only the first is taken.
    fn propose_membership(&self, membership: Membership, made_from: u64) {
        let payload = EntryPayload::Membership(membership);
        let proposal = Proposal { payload, sender: None, made_from: Some(made_from) };
        // A full queue only delays the change: it is proposed again at the next look.
        let _ = self.inner.proposals.borrow_mut().try_send(proposal);
    }

    /// Makes learners voters, and removes members whose place has been taken, while this replica leads.
    pub(crate) async fn manage_membership(self) {
        loop {
            self.inner.platform.sleep(MEMBERSHIP_INTERVAL).await;
            if let Some((membership, made_from)) = self.next_membership() {
                self.propose_membership(membership, made_from);
            }
        }
    }

    /// The next change that is due, with the index of the membership that it is made from.
    fn next_membership(&self) -> Option<(Membership, u64)> {
        let state = self.inner.state.borrow();
        if !may_change_membership(&state) {
            return None;
        }
        let target_voters = self.inner.options.config.target_voters;
        let next = self.judge(&state, |judgement| {
            if let Some(voter) = judgement.voter_to_remove(target_voters) {
                judgement.tell_lost(voter);
                return Some(judgement.membership.without(voter.id));
            }
            if judgement.sound_voters() < target_voters
                && let Some(learner) = judgement.learner_to_promote()
            {
                return Some(judgement.membership.with_voter(learner.id));
            }
            judgement.learner_to_remove().map(|learner| judgement.membership.without(learner.id))
        });
        Some((next??, state.log.membership_index()))
    }

    /// Asks the group's replicas to add this one while it belongs to no group, or hears no leader: it may have been
    /// removed meanwhile.
    pub(crate) async fn join_group(self) {
        let mut pause = JOIN_INTERVAL;
        loop {
            self.inner.platform.sleep(pause).await;
            pause = JOIN_INTERVAL;
            if !self.needs_group() {
                continue;
            }
            let id = self.inner.state.borrow().identity.id;
            let request = ReplicaRequest::Join { id, address: self.inner.options.address };
            let ask = |address| self.ask_to_join(address, &request);
            let replies = join_all(self.join_addresses().into_iter().map(ask)).await;
            for reply in replies.into_iter().flatten() {
                match reply {
                    ReplicaReply::Members(addresses) => self.hear_of(addresses),
                    ReplicaReply::NotWanted { ask_again_ms, members } => {
                        self.hear_of(members);
                        let wait = Duration::from_millis(ask_again_ms.min(LONGEST_JOIN_MS));
                        pause = pause.max(wait + self.inner.platform.jitter(wait / 4));
                    }
                    _ => {}
                }
            }
        }
    }

    async fn ask_to_join(&self, address: SocketAddr, request: &ReplicaRequest) -> Option<ReplicaReply> {
        self.try_send(Channel::Questions, address, request, JOIN_LIMIT).await.ok()
    }

    fn needs_group(&self) -> bool {
        let state = self.inner.state.borrow();
        if state.stopping || state.leadership().is_some() {
            return false;
        }
        let silent = self.inner.platform.monotonic() >= state.leader_heard_at + self.inner.options.config.replace_after;
        state.identity.group.is_none() || silent
    }

    fn join_addresses(&self) -> BTreeSet<SocketAddr> {
        let mut addresses: BTreeSet<SocketAddr> = self.inner.options.peers.iter().copied().collect();
        addresses.extend(self.inner.heard_of.borrow().iter());
        addresses.extend(self.member_addresses());
        addresses.remove(&self.inner.options.address);
        addresses
    }
}

/// Whether a membership that was made from the one at index `made_from` may be written now.
pub(crate) fn may_take_membership<S: StateMachine>(state: &State<S>, made_from: Option<u64>) -> bool {
    may_change_membership(state) && made_from == Some(state.log.membership_index())
}

/// Says that this leader writes `membership`.
pub(crate) fn tell_membership<S: StateMachine>(state: &State<S>, membership: &Membership) {
    spdlog::info!("members proposed", kv: {
        term = state.term,
        voters = membership.voters().count(),
        learners = membership.members.len() - membership.voters().count(),
        members = membership.names().as_str()
    });
}

/// One change at a time, and none before this term has committed.
fn may_change_membership<S: StateMachine>(state: &State<S>) -> bool {
    let Some(leadership) = state.leadership() else {
        return false;
    };
    state.commit >= leadership.first_index && state.log.membership_index() <= state.commit
}
