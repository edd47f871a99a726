//! A leader's choice of the members to add, promote and remove next.
//!
//! No change is made after which the loss of one zone takes a quorum of the voters, if another change is possible that
//! avoids this.

use crate::member_health::MemberHealth;
use crate::membership::Member;
use crate::voter_spread::{VoterSpread, ZoneLoss};
use saddlerelay_types::identity::ReplicaId;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Effects of a learner's promotion in place of one voter: for the best choice of that voter, unless the group then
/// survives the loss of a zone, and for the worst choice; then whether the learner's zone loses packets. A smaller value
/// is better.
type SpareRating = (Option<VoterSpread>, ZoneLoss, bool);

impl MemberHealth<'_> {
    fn learners(&self) -> impl Iterator<Item = &Member> {
        self.membership.members.iter().filter(|member| !member.voter)
    }

    /// Spread of the voters that have not failed, without `removed` and with `added`.
    fn spread(&self, removed: Option<ReplicaId>, added: Option<SocketAddr>) -> VoterSpread {
        let kept = self.membership.voters().filter(|voter| Some(voter.id) != removed && !self.has_failed(voter));
        let kept = kept.map(|voter| voter.address);
        match added {
            Some(added) => VoterSpread::with_added(kept, added, self.zones),
            None => VoterSpread::of(kept, self.zones),
        }
    }

    /// Rates a machine as a learner that is kept to replace any of the voters. Learners that are to fill missing places
    /// count as voters.
    fn rate_spare(&self, address: SocketAddr) -> SpareRating {
        let voters = self.membership.voters().filter(|voter| !self.has_failed(voter)).map(|voter| voter.address);
        let learners = self.learners().filter(|learner| !self.has_failed(learner)).map(|learner| learner.address);
        let others = voters.chain(learners.filter(|learner| *learner != address));
        let voters: Vec<SocketAddr> = others.take(self.target_voters).collect();
        let without = |removed: usize| {
            let kept = voters.iter().enumerate().filter(move |(index, _)| *index != removed);
            VoterSpread::with_added(kept.map(|(_, voter)| *voter), address, self.zones)
        };
        let spreads: Vec<VoterSpread> = (0..voters.len()).map(without).collect();
        let worst = spreads.iter().map(VoterSpread::zone_loss).max().unwrap_or(ZoneLoss::TakesQuorum);
        let best = spreads.into_iter().min().filter(|best| best.zone_loss() != ZoneLoss::Survived);
        (best, worst, self.is_zone_lossy(address))
    }

    /// The learner to promote next.
    pub fn learner_to_promote(&self) -> Option<&Member> {
        self.learner_in_place_of(None)
    }

    /// The learner to promote after the removal of `removed`. None is promoted whose promotion worsens what the loss of a
    /// zone does, while another one that avoids this is about to catch up.
    fn learner_in_place_of(&self, removed: Option<ReplicaId>) -> Option<&Member> {
        let spread = |learner: &Member| self.spread(removed, Some(learner.address));
        // A learner that replaces a voter's lost disk takes precedence, then one that keeps up.
        let replaces = |learner: &Member| self.membership.voters().any(|voter| voter.address == learner.address);
        let is_healthy = |learner: &&Member| self.is_caught_up(learner) && !self.has_failed(learner);
        let best = self.learners().filter(is_healthy).max_by_key(|learner| {
            let spread = spread(learner);
            (Reverse(spread.zone_loss()), replaces(learner), self.keeps_up(learner), Reverse(spread))
        })?;
        let zone_loss = spread(best).zone_loss();
        let is_better = |other: &Member| self.is_catching_up(other) && spread(other).zone_loss() < zone_loss;
        (!self.learners().any(is_better)).then_some(best)
    }

    /// Whether a learner may be expected to catch up soon: it is neither behind for long nor behind bad links.
    fn is_catching_up(&self, learner: &Member) -> bool {
        !self.has_failed(learner) && !self.is_late(learner) && !self.lags(learner)
    }

    /// The next voter to remove: a failed one, one whose log is behind, or one of a zone with too many voters, once a
    /// learner can take its place. The voter is removed before the learner is promoted, as an additional voter would
    /// raise the quorum: if the learner's machine then failed together with another one, three of six voters would
    /// remain, which is no quorum.
    pub fn voter_to_remove(&self) -> Option<&Member> {
        let count = self.membership.voters().count();
        let can_be_replaced = |voter: &Member| {
            count > self.target_voters
                || count == self.target_voters && self.learner_in_place_of(Some(voter.id)).is_some()
        };
        let replaced = |voter: &Member| self.replacement(voter).is_some_and(|replacement| replacement.voter);
        let removable = |voter: &&Member| replaced(voter) || self.has_failed(voter) && can_be_replaced(voter);
        let others = || self.membership.voters().filter(|voter| voter.id != self.own);
        let in_crowded_zone_first = |voter: &&Member| {
            let kept = self.membership.voters().filter(|other| other.id != voter.id);
            VoterSpread::of(kept.map(|other| other.address), self.zones)
        };
        let failed = others().filter(removable).min_by_key(in_crowded_zone_first);
        let outpaced = || {
            let is_removable = |voter: &&Member| self.is_outpaced(voter) && self.keeps_spread_without(voter);
            others().filter(|_| count >= self.target_voters).filter(is_removable).min_by_key(in_crowded_zone_first)
        };
        failed.or_else(outpaced).or_else(|| self.voter_of_crowded_zone())
    }

    /// Whether the replacement of a voter by a learner does not worsen what the loss of a zone does.
    fn keeps_spread_without(&self, voter: &Member) -> bool {
        let learner = self.learner_in_place_of(Some(voter.id));
        learner.is_some_and(|learner| {
            let replaced = self.spread(Some(voter.id), Some(learner.address));
            replaced.zone_loss() <= self.spread(None, None).zone_loss()
        })
    }

    /// If the group does not survive the loss of a zone: the voter whose replacement by a learner that keeps up improves
    /// the spread most.
    fn voter_of_crowded_zone(&self) -> Option<&Member> {
        let current = self.spread(None, None);
        if current.zone_loss() == ZoneLoss::Survived || self.healthy_voters() != self.target_voters {
            return None;
        }
        let replaced = |voter: &Member| {
            let learner = self.learner_in_place_of(Some(voter.id)).filter(|learner| self.keeps_up(learner))?;
            Some(self.spread(Some(voter.id), Some(learner.address))).filter(|replaced| *replaced < current)
        };
        let others = self.membership.voters().filter(|voter| voter.id != self.own);
        let removable = others.filter(|voter| self.is_committed_without(voter));
        let rated = removable.filter_map(|voter| Some((replaced(voter)?, voter)));
        rated.min_by(|(left, _), (right, _)| left.cmp(right)).map(|(_, voter)| voter)
    }

    /// Whether a quorum of the other voters holds all committed entries.
    fn is_committed_without(&self, removed: &Member) -> bool {
        let matched = |voter: &Member| {
            if voter.id == self.own { self.synced } else { self.progress(voter).match_index }
        };
        let others = self.membership.voters().filter(|voter| voter.id != removed.id);
        let holding = others.filter(|voter| matched(voter) >= self.commit).count();
        holding > (self.membership.voters().count() - 1) / 2
    }

    /// Whether a member's log is behind and a learner that keeps up has caught up.
    fn is_outpaced(&self, member: &Member) -> bool {
        let removed = member.voter.then_some(member.id);
        let learner = self.learner_in_place_of(removed).filter(|learner| learner.id != member.id);
        learner.is_some_and(|learner| self.keeps_up(learner)) && self.is_behind(member)
    }

    /// The next learner to remove: a failed one, one whose log is behind, or a surplus one whose zone has too many
    /// voters.
    pub fn learner_to_remove(&self, spare_learners: usize) -> Option<&Member> {
        let is_surplus = self.learners().count() > spare_learners;
        let is_better_spare = |learner: &Member, rating: &SpareRating| {
            self.is_caught_up(learner) && self.keeps_up(learner) && self.rate_spare(learner.address) < *rating
        };
        let is_outclassed = |learner: &Member| {
            let rating = self.rate_spare(learner.address);
            self.learners().any(|other| is_better_spare(other, &rating))
        };
        let is_removable = |learner: &&Member| {
            self.excluded.contains(&learner.id)
                || self.replacement(learner).is_some()
                || self.is_silent_learner(learner)
                || self.is_outpaced(learner)
                || is_surplus && is_outclassed(learner)
        };
        self.learners().find(is_removable)
    }

    /// Whether to add a learner at `address`, while the machines at `candidates` have asked for it recently. A learner
    /// that is behind, or that would spread the voters worse, does not count as spare, but only one is added in its place,
    /// as all of them may be slow to load the state.
    pub fn needs_learner(&self, address: SocketAddr, spare_learners: usize, candidates: &[SocketAddr]) -> bool {
        if self.membership.members.iter().any(|member| member.address == address) {
            return true;
        }
        let rating = self.rate_spare(address);
        let learners: Vec<&Member> = self.learners().filter(|member| !self.has_failed(member)).collect();
        let counts = |learner: &&&Member| !self.is_behind(learner) && self.rate_spare(learner.address) <= rating;
        let counted = learners.iter().filter(counts).count();
        let needed = self.target_voters.saturating_sub(self.healthy_voters()) + spare_learners;
        if counted >= needed || learners.len() > needed {
            return false;
        }
        let is_member = |address: &SocketAddr| self.membership.members.iter().any(|member| member.address == *address);
        // Non-members of one zone, and all those of unknown zone, have the same rating.
        let others = candidates.iter().filter(|other| !is_member(other));
        let by_zone: BTreeMap<Option<&String>, SocketAddr> =
            others.map(|other| (self.zones.get(other), *other)).collect();
        !by_zone.into_values().any(|other| self.rate_spare(other) < rating)
    }
}
