//! How a leader judges the group's members: who is lost, who is ready, and who is to go next.

use crate::membership::{Member, Membership};
use crate::state::{Leadership, Progress};
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How many entries behind a learner may be when it is made a voter.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// How much longer than a voter a learner may be silent before it is dropped.
const LEARNER_SILENCE_FACTOR: u32 = 8;

/// A single voter that answers late tells of its own links.
const LATE_VOTERS: usize = 2;

/// The members as a leader judges them.
pub(crate) struct Judgement<'a> {
    pub membership: &'a Membership,
    pub leadership: &'a Leadership,
    pub own: ReplicaId,
    pub commit: u64,
    pub now: Duration,
    /// Silence after which a voter is replaced.
    pub replace_after: Duration,
    pub unwanted: &'a BTreeSet<ReplicaId>,
}

impl Judgement<'_> {
    pub fn progress(&self, member: &Member) -> Progress {
        self.leadership.progress.get(&member.id).copied().unwrap_or_default()
    }

    fn silent_since(&self, heard: Option<Duration>) -> Duration {
        self.now.saturating_sub(heard.unwrap_or(self.leadership.since))
    }

    /// For how long a member has answered nothing that it would answer if it were sound.
    ///
    /// While heartbeats are answered promptly, appends have to be as well: a member that answers none has a disk that stands
    /// still. Where heartbeats are late, an append waits behind a lost packet, for longer than a voter may be silent; there a
    /// sign of life of either kind counts.
    fn silence(&self, member: &Member) -> Duration {
        if member.id == self.own {
            return Duration::ZERO;
        }
        let progress = self.progress(member);
        let disk_silence = self.silent_since(progress.answered_sent_at);
        if self.is_late(member) && disk_silence <= self.forget_after() {
            self.silent_since(progress.contact())
        } else {
            disk_silence
        }
    }

    fn is_late(&self, member: &Member) -> bool {
        self.progress(member).is_late_since(self.now.saturating_sub(self.replace_after))
    }

    /// Whether this leader's own links lose packets, as far as it can tell: several voters that it hears answer late, and they
    /// are half of the others or more. What it does not hear may then be sound and well connected to all others.
    fn has_bad_links(&self) -> bool {
        let is_heard = |voter: &Member| self.silent_since(self.progress(voter).contact()) <= self.replace_after;
        let others: Vec<&Member> = self.membership.voters().filter(|voter| voter.id != self.own).collect();
        let late = others.iter().filter(|voter| is_heard(voter) && self.is_late(voter)).count();
        late >= LATE_VOTERS && 2 * late >= others.len()
    }

    fn is_silent(&self, member: &Member) -> bool {
        let limit = if self.has_bad_links() { self.forget_after() } else { self.replace_after };
        self.silence(member) > limit
    }

    /// Silence after which a learner is dropped, and a voter that was not to be judged by less.
    fn forget_after(&self) -> Duration {
        self.replace_after * LEARNER_SILENCE_FACTOR
    }

    /// Says why a voter is removed.
    pub fn tell_lost(&self, voter: &Member) {
        let progress = self.progress(voter);
        let silent_ms = |heard| self.silent_since(heard).as_millis() as u64;
        spdlog::info!("voter removed", kv: {
            replica = voter.id.0,
            address = voter.address.to_string().as_str(),
            unwanted = self.unwanted.contains(&voter.id),
            replaced = self.replacement(voter).is_some(),
            disk_silent_ms = silent_ms(progress.answered_sent_at),
            silent_ms = silent_ms(progress.contact()),
            is_late = self.is_late(voter),
            own_links_bad = self.has_bad_links()
        });
    }

    /// A later member at the same address has an empty disk where this one's was.
    fn replacement(&self, member: &Member) -> Option<&Member> {
        let mut later = self.membership.members.iter().skip_while(|other| other.id != member.id).skip(1);
        later.find(|other| other.address == member.address)
    }

    pub fn is_lost(&self, member: &Member) -> bool {
        self.unwanted.contains(&member.id) || self.replacement(member).is_some() || self.is_silent(member)
    }

    fn caught_up(&self, member: &Member) -> bool {
        let progress = self.progress(member);
        let behind = self.commit.saturating_sub(progress.matched);
        progress.matched > 0 && behind <= CAUGHT_UP_ENTRIES && !self.is_silent(member)
    }

    pub fn sound_voters(&self) -> usize {
        self.membership.voters().filter(|voter| !self.is_lost(voter)).count()
    }

    pub fn learner_to_promote(&self) -> Option<&Member> {
        let learners = self.membership.members.iter().filter(|member| !member.voter);
        let sound = |learner: &&Member| self.caught_up(learner) && !self.is_lost(learner);
        // One that replaces a voter's lost disk goes first.
        let replaces = |learner: &Member| {
            let same_address = |voter: &Member| voter.address == learner.address;
            self.membership.voters().any(same_address)
        };
        learners.filter(sound).max_by_key(|learner| replaces(learner))
    }

    /// A voter that is lost, once a learner is ready for its place: it goes first, and the learner votes then. The other way
    /// round both would vote for a moment, and if the learner's machine is lost again with another one, three of six voters
    /// are left and elect nobody; of five, or of the four in between, three are a quorum.
    pub fn voter_to_remove(&self, target_voters: usize) -> Option<&Member> {
        let count = self.membership.voters().count();
        let replaceable = count > target_voters || count == target_voters && self.learner_to_promote().is_some();
        let replaced = |voter: &&Member| self.replacement(voter).is_some_and(|replacement| replacement.voter);
        let removable = |voter: &&Member| replaced(voter) || replaceable && self.is_lost(voter);
        self.membership.voters().filter(|voter| voter.id != self.own).find(removable)
    }

    pub fn learner_to_remove(&self) -> Option<&Member> {
        let learners = self.membership.members.iter().filter(|member| !member.voter);
        let gone = |learner: &&Member| {
            self.unwanted.contains(&learner.id)
                || self.replacement(learner).is_some()
                || self.silence(learner) > self.forget_after()
        };
        learners.into_iter().find(gone)
    }

    /// Whether one more learner at `address` is of use.
    pub fn wants_learner(&self, address: SocketAddr, target_voters: usize, spare_learners: usize) -> bool {
        if self.membership.members.iter().any(|member| member.address == address) {
            return true;
        }
        let learners = self.membership.members.iter().filter(|member| !member.voter && !self.is_lost(member)).count();
        let missing = target_voters.saturating_sub(self.sound_voters());
        learners < missing + spare_learners
    }
}
