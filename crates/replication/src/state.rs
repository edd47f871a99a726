//! A replica's state in memory.

use crate::config::ReplicationConfig;
use crate::levels::raised_to;
use crate::log::{EntryPayload, MemoryLog};
use crate::membership::{Member, Membership};
use crate::patience::Patience;
use crate::segments::Segment;
use crate::snapshot::{Snapshot, SnapshotHeader};
use crate::storage::Identity;
use futures::channel::oneshot;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What the log's commands act on. Every replica applies the same commands in the same order, so `apply` may use
/// nothing but the state and the command.
pub trait StateMachine: 'static {
    /// What a command brings.
    type Outcome: 'static;
    /// From now on commands are read, and the state is written, at `level`: at first, and when the group's level is raised.
    fn enter_level(&mut self, _level: FeatureLevel) {}
    /// Applies a committed command.
    fn apply(&mut self, command: &[u8]) -> Self::Outcome;
    /// The state as bytes, without its segments.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state with one that `snapshot` gave at `level`.
    fn restore(&mut self, bytes: &[u8], level: FeatureLevel);
    /// The immutable parts that the state refers to and `snapshot` leaves out, by rising number.
    fn segments(&self) -> Vec<Segment> {
        Vec::new()
    }
    /// A segment's bytes, while memory holds them: at least until it is released.
    fn segment_bytes(&self, _number: u64) -> Option<Rc<Vec<u8>>> {
        None
    }
    /// A segment that was sealed here and not released yet.
    fn unreleased_segment(&self) -> Option<Segment> {
        None
    }
    /// This replica's disk holds the segment: memory need not.
    fn release_segment(&mut self, _number: u64) {}
    /// Whether `replica` should rather lead than others, for example because it holds a right that passes on slowly.
    fn prefers(&self, _replica: ReplicaId) -> bool {
        false
    }
}

/// What a leader knows of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// The next entry to send.
    pub next: u64,
    /// The last entry the peer holds, synced.
    pub matched: u64,
    /// When the newest message was sent that the peer answered with its disk: one whose disk stands still falls silent here.
    pub answered_sent_at: Option<Duration>,
    /// The same of heartbeats, which it answers from memory.
    pub heard_sent_at: Option<Duration>,
    /// When a heartbeat was last found unanswered after the time of a prompt answer.
    pub late_at: Option<Duration>,
}

impl Progress {
    /// When the newest message that the peer answered was sent, of whichever kind.
    pub fn contact(&self) -> Option<Duration> {
        self.answered_sent_at.max(self.heard_sent_at)
    }

    /// Whether a heartbeat was answered late since `time`: packets are lost on the way.
    pub fn is_late_since(&self, time: Duration) -> bool {
        self.late_at.is_some_and(|at| at >= time)
    }
}

/// A leader's own state.
pub(crate) struct Leadership {
    /// The empty entry that opened the term.
    pub first_index: u64,
    /// When the term began here.
    pub since: Duration,
    /// Per peer.
    pub progress: BTreeMap<ReplicaId, Progress>,
    /// Leadership is being handed over: no new proposals.
    pub handing_over: bool,
    /// The level of the commands that are proposed now.
    pub next_level: FeatureLevel,
}

impl Leadership {
    /// Peers that have answered at least once in this term.
    pub fn answered_peers(&self) -> usize {
        self.progress.values().filter(|progress| progress.contact().is_some()).count()
    }
}

pub(crate) enum Role {
    Follower,
    Candidate,
    Leader(Leadership),
}

pub(crate) struct Waiting<O> {
    pub term: u64,
    pub sender: oneshot::Sender<O>,
}

pub(crate) struct State<S: StateMachine> {
    pub identity: Identity,
    pub term: u64,
    pub voted_for: Option<ReplicaId>,
    /// The term of a vote, or of a newer term seen, that is being written to disk.
    pub term_being_written: Option<u64>,
    pub role: Role,
    /// The leader of `term`, once known.
    pub leader: Option<ReplicaId>,
    /// When a leader was last heard, or the start: votes are refused for an election timeout after it.
    pub leader_heard_at: Duration,
    /// How long this replica waits for others.
    pub patience: Patience,
    /// When this replica will seek votes.
    pub election_at: Duration,
    pub log: MemoryLog,
    /// The last entry on this replica's own disk.
    pub synced: u64,
    pub commit: u64,
    pub applied: u64,
    pub applied_bytes_since_snapshot: u64,
    pub snapshot_index: u64,
    pub machine: S,
    /// The level of the machine's state; `None` until the replica belongs to a group.
    pub level: Option<FeatureLevel>,
    /// The level of the log's first entry, while it is known.
    pub began_at: Option<FeatureLevel>,
    pub waiting: BTreeMap<u64, Waiting<S::Outcome>>,
    /// The disk refused a write; the replica takes part in nothing until it is repaired.
    pub storage_failed: bool,
    pub stopping: bool,
}

impl<S: StateMachine> State<S> {
    pub fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub fn leads_term(&self, term: u64) -> bool {
        self.term == term && self.leadership().is_some()
    }

    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    pub fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.membership().member(id).map(|member| member.address)
    }

    /// Enters a term, or votes in the present one, as this replica's disk now says.
    pub fn set_term(&mut self, term: u64, voted_for: Option<ReplicaId>) {
        self.patience.note_terms(term.saturating_sub(self.term));
        self.term = term;
        self.voted_for = voted_for;
    }

    /// Stops leading or campaigning; waiting proposals become undecided.
    pub fn become_follower(&mut self) {
        self.role = Role::Follower;
        self.waiting.clear();
    }

    /// The time up to which a quorum has answered this leader.
    pub fn quorum_answered_at(&self, now: Duration) -> Option<Duration> {
        let leadership = self.leadership()?;
        let own = self.identity.id;
        let answered = |id: ReplicaId| {
            let progress = leadership.progress.get(&id);
            if id == own { Some(now) } else { progress.and_then(Progress::contact) }
        };
        self.membership().quorum_value(answered).flatten()
    }

    /// For operators: each peer that votes, how long ago the newest message that it answered was sent, and what it holds.
    pub fn peers_heard(&self, now: Duration) -> String {
        let Some(leadership) = self.leadership() else {
            return String::new();
        };
        let own = self.identity.id;
        let peers = self.membership().voters().filter(|member| member.id != own);
        let describe = |member: &Member| {
            let progress = leadership.progress.get(&member.id).copied().unwrap_or_default();
            let heard = progress.contact().map(|at| now.saturating_sub(at).as_millis().to_string());
            format!("{}:{}ms:{}", member.address, heard.unwrap_or("-".to_string()), progress.matched)
        };
        peers.map(describe).collect::<Vec<_>>().join(" ")
    }

    /// The last entry that every voter heard lately holds, if this replica leads.
    pub fn least_matched(&self, now: Duration, silence: Duration) -> Option<u64> {
        let leadership = self.leadership()?;
        let heard = leadership
            .progress
            .values()
            .filter(|progress| progress.answered_sent_at.is_some_and(|at| now < at + silence));
        heard.map(|progress| progress.matched).min()
    }

    /// Whether this replica leads peers that lack entries which memory no longer holds.
    pub fn has_peers_behind(&self) -> bool {
        let base = self.log.base_index();
        self.leadership().is_some_and(|leading| leading.progress.values().any(|progress| progress.next <= base))
    }

    /// Whether this replica leads, has committed in its term and holds the lease. A leader that hands over serves no
    /// more reads: its successor's election does not wait for the lease.
    pub fn may_serve(&self, now: Duration, config: &ReplicationConfig) -> bool {
        let Some(leadership) = self.leadership() else {
            return false;
        };
        let answered = self.quorum_answered_at(now);
        let leased = answered.is_some_and(|at| now < at + config.lease);
        leased && self.applied >= leadership.first_index && !leadership.handing_over && !self.storage_failed
    }

    /// Commits what a quorum holds.
    pub fn advance_commit(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let own = self.identity.id;
        let held = |id: ReplicaId| {
            let progress = leadership.progress.get(&id);
            if id == own { self.synced } else { progress.map_or(0, |progress| progress.matched) }
        };
        let Some(index) = self.membership().quorum_value(held) else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
            self.apply_committed();
        }
    }

    /// Applies committed entries and answers their proposers.
    pub fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else {
                return;
            };
            let (index, term) = (entry.index, entry.term);
            self.applied_bytes_since_snapshot += entry.payload.size();
            self.applied = index;
            let outcome = match &entry.payload {
                EntryPayload::Command(command) => match raised_to(command) {
                    Some(level) => {
                        spdlog::info!("feature level raised", kv: { feature_level = level.number(), index = index });
                        self.level = Some(level);
                        self.machine.enter_level(level);
                        None
                    }
                    None => Some(self.machine.apply(command)),
                },
                EntryPayload::Empty | EntryPayload::Membership(_) => None,
            };
            let waiting = self.waiting.remove(&index);
            if let (Some(outcome), Some(waiting)) = (outcome, waiting)
                && waiting.term == term
            {
                // The proposer may have given up.
                let _ = waiting.sender.send(outcome);
            }
        }
    }

    /// The state at the last applied entry.
    pub fn snapshot(&self) -> Snapshot {
        let index = self.applied;
        let term = self.log.term_at(index).unwrap_or_default();
        let membership = self.log.membership_at(index).clone();
        let segments = self.machine.segments();
        let snapshot = Snapshot::new(SnapshotHeader { index, term, membership, segments }, self.machine.snapshot());
        snapshot.at_level(self.level.unwrap_or(FeatureLevel::NEWEST))
    }
}
