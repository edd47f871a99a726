//! A leader's assessment of the members: which have failed, which have caught up, and which to add or remove next.

use crate::membership::{Member, Membership};
use crate::state::{Leadership, Progress};
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A learner may be promoted if it is at most this many entries behind the commit index.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// Silence after which a learner is removed, as a multiple of `replace_after`.
const LEARNER_SILENCE_FACTOR: u32 = 8;

/// Replication lag after which a member is replaced, as a multiple of `replace_after`. A voter that cannot keep up needs
/// at least its lag to catch up, and after other voters have lost their disks, nothing is committed for that long.
const LAG_FACTOR: u32 = 4;

/// Minimum number of voters with late replies that indicates a problem with the leader's own links; a single one
/// indicates a problem with that voter's links.
const MIN_LATE_VOTERS: usize = 2;

/// A leader's assessment of the members.
pub(crate) struct MemberHealth<'a> {
    pub membership: &'a Membership,
    pub leadership: &'a Leadership,
    pub own: ReplicaId,
    pub commit: u64,
    pub now: Duration,
    /// Silence after which a voter is replaced.
    pub replace_after: Duration,
    /// Replicas that must be removed from the group or kept out of it.
    pub excluded: &'a BTreeSet<ReplicaId>,
}

impl MemberHealth<'_> {
    pub fn progress(&self, member: &Member) -> Progress {
        self.leadership.progress.get(&member.id).copied().unwrap_or_default()
    }

    fn time_since(&self, last_contact: Option<Duration>) -> Duration {
        self.now.saturating_sub(last_contact.unwrap_or(self.leadership.since))
    }

    /// Time since the member last acknowledged what a healthy member would.
    ///
    /// If heartbeats are acknowledged promptly and appends are not, the member's disk is stuck, so only appends count.
    /// If heartbeats are late, appends may be delayed by packet loss, so an acknowledgement of either kind counts,
    /// unless appends have been unacknowledged for longer than `long_silence_limit`.
    fn silence(&self, member: &Member) -> Duration {
        if member.id == self.own {
            return Duration::ZERO;
        }
        let progress = self.progress(member);
        let append_silence = self.time_since(progress.acknowledged_append_sent_at);
        if self.is_late(member) && append_silence <= self.long_silence_limit() {
            self.time_since(progress.last_contact())
        } else {
            append_silence
        }
    }

    fn is_late(&self, member: &Member) -> bool {
        self.progress(member).is_late_since(self.now.saturating_sub(self.replace_after))
    }

    /// Whether this leader's own links appear to lose packets: at least two reachable voters reply late, and they are
    /// at least half of the other voters. An unreachable voter may then be healthy.
    fn has_bad_links(&self) -> bool {
        let is_reachable = |voter: &Member| self.time_since(self.progress(voter).last_contact()) <= self.replace_after;
        let others: Vec<&Member> = self.membership.voters().filter(|voter| voter.id != self.own).collect();
        let late = others.iter().filter(|voter| is_reachable(voter) && self.is_late(voter)).count();
        late >= MIN_LATE_VOTERS && 2 * late >= others.len()
    }

    fn is_silent(&self, member: &Member) -> bool {
        let limit = if self.has_bad_links() { self.long_silence_limit() } else { self.replace_after };
        self.silence(member) > limit
    }

    fn lag(&self, member: &Member) -> Duration {
        if member.id == self.own { Duration::ZERO } else { self.progress(member).lag.at(self.now) }
    }

    /// Whether a member's log has been behind for too long. Judged only while a quorum keeps up and replies promptly:
    /// otherwise this leader's own links may be the cause.
    fn is_behind(&self, member: &Member) -> bool {
        let limit = self.replace_after * LAG_FACTOR;
        let keeps_up = |voter: &&Member| self.lag(voter) <= limit && !self.is_late(voter);
        self.lag(member) > limit && self.membership.voters().filter(keeps_up).count() >= self.membership.quorum()
    }

    /// Silence after which a learner is removed, and a voter whose link to the leader is unreliable.
    fn long_silence_limit(&self) -> Duration {
        self.replace_after * LEARNER_SILENCE_FACTOR
    }

    /// Logs why a voter is removed.
    pub fn log_removal(&self, voter: &Member) {
        let progress = self.progress(voter);
        let silent_ms = |last_contact| self.time_since(last_contact).as_millis() as u64;
        spdlog::info!("voter removed", kv: {
            replica = voter.id.0,
            address = voter.address.to_string().as_str(),
            unwanted = self.excluded.contains(&voter.id),
            replaced = self.replacement(voter).is_some(),
            disk_silent_ms = silent_ms(progress.acknowledged_append_sent_at),
            silent_ms = silent_ms(progress.last_contact()),
            lag_ms = self.lag(voter).as_millis() as u64,
            is_late = self.is_late(voter),
            own_links_bad = self.has_bad_links()
        });
    }

    /// A later member with the same address, which means that this member's disk has been replaced.
    fn replacement(&self, member: &Member) -> Option<&Member> {
        let mut later = self.membership.members.iter().skip_while(|other| other.id != member.id).skip(1);
        later.find(|other| other.address == member.address)
    }

    pub fn has_failed(&self, member: &Member) -> bool {
        self.excluded.contains(&member.id) || self.replacement(member).is_some() || self.is_silent(member)
    }

    fn is_caught_up(&self, member: &Member) -> bool {
        let progress = self.progress(member);
        let behind = self.commit.saturating_sub(progress.match_index);
        progress.match_index > 0 && behind <= CAUGHT_UP_ENTRIES && !self.is_silent(member)
    }

    pub fn healthy_voters(&self) -> usize {
        self.membership.voters().filter(|voter| !self.has_failed(voter)).count()
    }

    pub fn learner_to_promote(&self) -> Option<&Member> {
        let learners = self.membership.members.iter().filter(|member| !member.voter);
        let is_healthy = |learner: &&Member| self.is_caught_up(learner) && !self.has_failed(learner);
        // A learner that replaces a voter's lost disk takes precedence, then one that keeps up.
        let replaces = |learner: &Member| {
            let same_address = |voter: &Member| voter.address == learner.address;
            self.membership.voters().any(same_address)
        };
        learners.filter(is_healthy).max_by_key(|learner| (replaces(learner), self.keeps_up(learner)))
    }

    /// A failed voter, or one whose log is behind, once a learner can take its place. The voter is removed before the
    /// learner is promoted, as an additional voter would raise the quorum: if the learner's machine then failed
    /// together with another one, three of six voters would remain, which is no quorum.
    pub fn voter_to_remove(&self, target_voters: usize) -> Option<&Member> {
        let count = self.membership.voters().count();
        let replaceable = count > target_voters || count == target_voters && self.learner_to_promote().is_some();
        let replaced = |voter: &&Member| self.replacement(voter).is_some_and(|replacement| replacement.voter);
        let removable = |voter: &&Member| replaced(voter) || replaceable && self.has_failed(voter);
        let others = || self.membership.voters().filter(|voter| voter.id != self.own);
        others().find(removable).or_else(|| others().find(|voter| count >= target_voters && self.is_outpaced(voter)))
    }

    /// Whether a learner replies promptly and its log lags by no more than the silence that a voter is permitted. At
    /// low commit rates, few missing entries do not show this.
    fn keeps_up(&self, learner: &Member) -> bool {
        !self.is_late(learner) && self.lag(learner) <= self.replace_after
    }

    /// Whether a member's log is behind and a learner that keeps up has caught up.
    fn is_outpaced(&self, member: &Member) -> bool {
        let learner = self.learner_to_promote().filter(|learner| learner.id != member.id);
        learner.is_some_and(|learner| self.keeps_up(learner)) && self.is_behind(member)
    }

    pub fn learner_to_remove(&self) -> Option<&Member> {
        let learners = self.membership.members.iter().filter(|member| !member.voter);
        let is_removable = |learner: &&Member| {
            self.excluded.contains(&learner.id)
                || self.replacement(learner).is_some()
                || self.silence(learner) > self.long_silence_limit()
                || self.is_outpaced(learner)
        };
        learners.into_iter().find(is_removable)
    }

    /// Whether to add a learner at `address`. One that is behind does not count as spare, but only one is added in its
    /// place, as all of them may be slow to load the state.
    pub fn needs_learner(&self, address: SocketAddr, target_voters: usize, spare_learners: usize) -> bool {
        if self.membership.members.iter().any(|member| member.address == address) {
            return true;
        }
        let is_learner = |member: &&Member| !member.voter && !self.has_failed(member);
        let learners: Vec<&Member> = self.membership.members.iter().filter(is_learner).collect();
        let keeping_up = learners.iter().filter(|learner| !self.is_behind(learner)).count();
        let needed = target_voters.saturating_sub(self.healthy_voters()) + spare_learners;
        keeping_up < needed && learners.len() <= needed
    }
}
