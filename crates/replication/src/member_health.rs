//! A leader's assessment of the members: which have failed, which are behind, and which have caught up.

use crate::membership::{Member, Membership};
use crate::state::{Leadership, Progress};
use crate::voter_spread::{LossTolerance, ZoneKey, Zones};
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
    /// Index of the last entry synced on this leader's own disk.
    pub synced: u64,
    pub now: Duration,
    /// Silence after which a voter is replaced.
    pub replace_after: Duration,
    /// Replicas that must be removed from the group or kept out of it.
    pub excluded: &'a BTreeSet<ReplicaId>,
    /// Configured number of voters.
    pub target_voters: usize,
    /// Zones of replicas by address.
    pub zones: &'a Zones,
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

    pub fn is_late(&self, member: &Member) -> bool {
        self.progress(member).is_late_since(self.now.saturating_sub(self.replace_after))
    }

    /// Whether this leader's own links have appeared to lose packets since `since`: at least two reachable voters replied
    /// late, and they are at least half of the other voters. An unreachable voter may then be healthy. Late voters that
    /// are all of one other zone indicate a problem of that zone's links, if voters of a third zone reply promptly.
    fn has_bad_links_since(&self, since: Duration) -> bool {
        let others: Vec<&Member> = self.other_voters().collect();
        let is_late = |voter: &Member| self.progress(voter).is_late_since(since);
        let late: Vec<&Member> =
            others.iter().copied().filter(|voter| self.is_reachable(voter) && is_late(voter)).collect();
        if late.len() < MIN_LATE_VOTERS || 2 * late.len() < others.len() {
            return false;
        }
        let late_zones: BTreeSet<ZoneKey> = late.iter().map(|voter| self.zone(voter)).collect();
        let is_prompt_elsewhere = |voter: &&Member| {
            !is_late(voter)
                && self.is_reachable(voter)
                && self.is_in_other_zone(voter)
                && !late_zones.contains(&self.zone(voter))
        };
        let late_zones_elsewhere = late_zones.iter().filter(|zone| Some(**zone) != self.own_zone()).count();
        late_zones_elsewhere > 1 || !others.iter().copied().any(|voter| is_prompt_elsewhere(&voter))
    }

    /// Whether this leader's own links appear to lose packets now.
    fn has_bad_links(&self) -> bool {
        self.has_bad_links_since(self.now.saturating_sub(self.replace_after))
    }

    fn other_voters(&self) -> impl Iterator<Item = &Member> {
        self.membership.voters().filter(|voter| voter.id != self.own)
    }

    fn is_reachable(&self, member: &Member) -> bool {
        self.time_since(self.progress(member).last_contact()) <= self.replace_after
    }

    fn zone(&self, member: &Member) -> ZoneKey<'_> {
        ZoneKey::of(member.address, self.zones)
    }

    /// The zone of this leader, if it is a member.
    fn own_zone(&self) -> Option<ZoneKey<'_>> {
        self.membership.member(self.own).map(|own| self.zone(own))
    }

    fn is_in_other_zone(&self, member: &Member) -> bool {
        self.own_zone() != Some(self.zone(member))
    }

    /// Whether a member is known to be in another zone than this leader. A member that has not registered yet may be in
    /// the same zone.
    fn is_known_to_be_elsewhere(&self, member: &Member) -> bool {
        let is_known = |zone| matches!(zone, ZoneKey::Named(_));
        self.own_zone().is_some_and(is_known) && is_known(self.zone(member)) && self.is_in_other_zone(member)
    }

    /// Whether the silence of a member can be explained by this leader's links to all other zones: no voter of another
    /// zone replies promptly. Without known zones only `has_bad_links` tells.
    fn rests_on_own_links(&self, member: &Member) -> bool {
        let is_prompt = |voter: &Member| self.is_reachable(voter) && !self.is_late(voter);
        let mut elsewhere = self.other_voters().filter(|voter| self.is_in_other_zone(voter));
        self.is_known_to_be_elsewhere(member) && !elsewhere.any(is_prompt)
    }

    /// Whether the links of the zone at `address` lose packets: its members have replied late, and this leader's links to
    /// other zones are good.
    pub fn is_zone_lossy(&self, address: SocketAddr) -> bool {
        let zone = ZoneKey::of(address, self.zones);
        let since = self.now.saturating_sub(self.lag_limit());
        if matches!(zone, ZoneKey::Unknown(_)) || Some(zone) == self.own_zone() || self.has_bad_links_since(since) {
            return false;
        }
        let members: Vec<&Member> = self.membership.members.iter().filter(|member| self.zone(member) == zone).collect();
        !members.is_empty() && members.iter().all(|member| self.progress(member).is_late_since(since))
    }

    fn is_silent(&self, member: &Member) -> bool {
        let is_own_fault = self.has_bad_links() || self.rests_on_own_links(member);
        let limit = if is_own_fault { self.long_silence_limit() } else { self.replace_after };
        self.silence(member) > limit
    }

    /// Whether a learner has been silent for so long that it is removed.
    pub fn is_silent_learner(&self, learner: &Member) -> bool {
        self.silence(learner) > self.long_silence_limit()
    }

    /// Whether a member's log has been behind for too long, by this leader's links alone.
    pub fn lags(&self, member: &Member) -> bool {
        self.lag(member) > self.lag_limit()
    }

    fn lag_limit(&self) -> Duration {
        self.replace_after * LAG_FACTOR
    }

    fn lag(&self, member: &Member) -> Duration {
        if member.id == self.own { Duration::ZERO } else { self.progress(member).lag.at(self.now) }
    }

    /// Whether a member's log has been behind for too long. Judged only while a quorum keeps up and replies promptly, at
    /// least one of its voters is in another zone than this leader if the member is, and this leader's links were not bad
    /// in the meantime: otherwise these links may be the cause.
    pub fn is_behind(&self, member: &Member) -> bool {
        let keeps_up = |voter: &&Member| !self.lags(voter) && !self.is_late(voter);
        let keeping_up: Vec<&Member> = self.membership.voters().filter(keeps_up).collect();
        self.lags(member)
            && keeping_up.len() >= self.membership.quorum()
            && (!self.is_known_to_be_elsewhere(member) || keeping_up.iter().any(|voter| self.is_in_other_zone(voter)))
            && !self.has_bad_links_since(self.now.saturating_sub(self.lag_limit()))
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
    pub fn replacement(&self, member: &Member) -> Option<&Member> {
        let mut later = self.membership.members.iter().skip_while(|other| other.id != member.id).skip(1);
        later.find(|other| other.address == member.address)
    }

    pub fn has_failed(&self, member: &Member) -> bool {
        self.excluded.contains(&member.id) || self.replacement(member).is_some() || self.is_silent(member)
    }

    pub fn is_caught_up(&self, member: &Member) -> bool {
        let progress = self.progress(member);
        let behind = self.commit.saturating_sub(progress.match_index);
        progress.match_index > 0 && behind <= CAUGHT_UP_ENTRIES && !self.is_silent(member)
    }

    /// How many zones and disks may be lost now. Voters that have failed or lag do not count, as the group cannot rely on
    /// them.
    pub fn loss_tolerance(&self) -> LossTolerance {
        let sound = self.membership.voters().filter(|voter| !self.has_failed(voter) && !self.lags(voter));
        LossTolerance::of(self.membership.quorum(), sound.map(|voter| voter.address), self.zones)
    }

    pub fn healthy_voters(&self) -> usize {
        self.membership.voters().filter(|voter| !self.has_failed(voter)).count()
    }

    /// Whether a learner replies promptly and its log lags by no more than the silence that a voter is permitted. At
    /// low commit rates, few missing entries do not show this.
    pub fn keeps_up(&self, learner: &Member) -> bool {
        !self.is_late(learner) && self.lag(learner) <= self.replace_after
    }
}
