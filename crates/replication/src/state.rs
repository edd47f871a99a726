//! In-memory state of a replica.

use crate::adaptive_timeout::AdaptiveTimeout;
use crate::config::ReplicationConfig;
use crate::levels::raised_to;
use crate::log::{EntryPayload, MemoryLog};
use crate::membership::{Member, Membership};
use crate::replication_lag::ReplicationLag;
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

/// The replicated state machine. All replicas apply the same commands in the same order, so `apply` must be
/// deterministic.
pub trait StateMachine: 'static {
    /// Result of applying a command.
    type Outcome: 'static;
    /// Sets the feature level at which commands are decoded and the state is encoded from now on. Called once at the
    /// start and whenever the group's level is raised.
    fn enter_level(&mut self, _level: FeatureLevel) {}
    /// Applies a committed command.
    fn apply(&mut self, command: &[u8]) -> Self::Outcome;
    /// Encodes the state, without its segments.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state with one that `snapshot` encoded at `level`.
    fn restore(&mut self, bytes: &[u8], level: FeatureLevel);
    /// Immutable parts of the state that `snapshot` leaves out, by ascending number.
    fn segments(&self) -> Vec<Segment> {
        Vec::new()
    }
    /// Content of a segment that is still in memory. Segments stay in memory until they are released.
    fn segment_bytes(&self, _number: u64) -> Option<Rc<Vec<u8>>> {
        None
    }
    /// A sealed segment that has not been released yet.
    fn unreleased_segment(&self) -> Option<Segment> {
        None
    }
    /// Called once the segment is on this replica's disk and may be dropped from memory.
    fn release_segment(&mut self, _number: u64) {}
    /// Whether `replica` should win elections if possible, for example because it holds a resource that is slow to
    /// move.
    fn prefers(&self, _replica: ReplicaId) -> bool {
        false
    }
}

/// A leader's replication state for one peer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Index of the last entry known to be synced on the peer.
    pub match_index: u64,
    /// Send time of the newest append or snapshot message that the peer acknowledged. Appends are acknowledged after
    /// the peer's disk sync, so this stops advancing while its disk is stuck.
    pub acknowledged_append_sent_at: Option<Duration>,
    /// Send time of the newest acknowledged heartbeat. Peers reply to heartbeats without disk access.
    pub acknowledged_heartbeat_sent_at: Option<Duration>,
    /// When a heartbeat last had no reply within `PROMPT_REPLY_LIMIT`.
    pub last_late_heartbeat: Option<Duration>,
    /// How far its log is behind the commit index.
    pub lag: ReplicationLag,
}

impl Progress {
    /// Send time of the newest acknowledged message of any kind.
    pub fn last_contact(&self) -> Option<Duration> {
        self.acknowledged_append_sent_at.max(self.acknowledged_heartbeat_sent_at)
    }

    /// Whether a reply to a heartbeat has been late since `time`, which indicates packet loss on the path.
    pub fn is_late_since(&self, time: Duration) -> bool {
        self.last_late_heartbeat.is_some_and(|at| at >= time)
    }
}

/// State that exists only while this replica leads.
pub(crate) struct Leadership {
    /// Index of the empty entry that opened the term.
    pub first_index: u64,
    /// When this replica became leader.
    pub since: Duration,
    /// Replication state by peer.
    pub progress: BTreeMap<ReplicaId, Progress>,
    /// A leadership transfer is in progress; proposals are rejected.
    pub transfer_in_progress: bool,
    /// Feature level of the commands that are proposed now.
    pub next_level: FeatureLevel,
}

impl Leadership {
    /// Number of peers that have acknowledged a message in this term.
    pub fn acknowledged_peers(&self) -> usize {
        self.progress.values().filter(|progress| progress.last_contact().is_some()).count()
    }
}

pub(crate) enum Role {
    Follower,
    Candidate,
    Leader(Leadership),
}

pub(crate) struct PendingProposal<O> {
    pub term: u64,
    pub sender: oneshot::Sender<O>,
}

pub(crate) struct State<S: StateMachine> {
    pub identity: Identity,
    pub term: u64,
    pub voted_for: Option<ReplicaId>,
    /// Term that is being written to disk, with a vote or after a newer term was observed.
    pub term_being_written: Option<u64>,
    pub role: Role,
    /// Leader of `term`, once known.
    pub leader: Option<ReplicaId>,
    /// Last contact with a leader, or the start. Votes are refused for an election timeout after it.
    pub last_leader_contact: Duration,
    /// Scales the waits for other replicas.
    pub adaptive_timeout: AdaptiveTimeout,
    /// When this replica starts a campaign unless a leader contacts it before.
    pub election_deadline: Duration,
    pub log: MemoryLog,
    /// Index of the last entry synced on this replica's own disk.
    pub synced: u64,
    pub commit: u64,
    pub applied: u64,
    pub applied_bytes_since_snapshot: u64,
    pub snapshot_index: u64,
    pub state_machine: S,
    /// Feature level of the state machine; `None` until the replica belongs to a group.
    pub level: Option<FeatureLevel>,
    /// Feature level of the first log entry, as long as no snapshot has replaced it.
    pub first_entry_level: Option<FeatureLevel>,
    pub pending_proposals: BTreeMap<u64, PendingProposal<S::Outcome>>,
    /// A disk write failed. The replica rejects all requests until the disk has been repaired.
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

    /// Records a term and vote that are already on disk.
    pub fn set_term(&mut self, term: u64, voted_for: Option<ReplicaId>) {
        self.adaptive_timeout.record_ended_terms(term.saturating_sub(self.term));
        self.term = term;
        self.voted_for = voted_for;
    }

    /// Stops leading or campaigning. Pending proposals end as undecided.
    pub fn become_follower(&mut self) {
        self.role = Role::Follower;
        self.pending_proposals.clear();
    }

    /// Newest time such that a quorum has acknowledged messages sent at or after it.
    pub fn quorum_acknowledged_at(&self, now: Duration) -> Option<Duration> {
        let leadership = self.leadership()?;
        let own = self.identity.id;
        let acknowledged = |id: ReplicaId| {
            let progress = leadership.progress.get(&id);
            if id == own { Some(now) } else { progress.and_then(Progress::last_contact) }
        };
        self.membership().quorum_value(acknowledged).flatten()
    }

    /// Describes the other voters for log lines: address, milliseconds since the newest acknowledged message was sent,
    /// and the last entry known to be synced.
    pub fn describe_peers(&self, now: Duration) -> String {
        let Some(leadership) = self.leadership() else {
            return String::new();
        };
        let own = self.identity.id;
        let peers = self.membership().voters().filter(|member| member.id != own);
        let describe = |member: &Member| {
            let progress = leadership.progress.get(&member.id).copied().unwrap_or_default();
            let elapsed = progress.last_contact().map(|at| now.saturating_sub(at).as_millis().to_string());
            format!("{}:{}ms:{}", member.address, elapsed.unwrap_or("-".to_string()), progress.match_index)
        };
        peers.map(describe).collect::<Vec<_>>().join(" ")
    }

    /// Smallest index from which a peer that has acknowledged an append within `max_silence` continues, if this replica
    /// leads: its match index, or that of the snapshot being sent if the log does not reach back so far.
    pub fn lowest_match_index(&self, now: Duration, max_silence: Duration, sent_index: Option<u64>) -> Option<u64> {
        let leadership = self.leadership()?;
        let reachable = leadership
            .progress
            .values()
            .filter(|progress| progress.acknowledged_append_sent_at.is_some_and(|at| now < at + max_silence));
        let base = self.log.base_index();
        let continues_from = |progress: &Progress| match sent_index {
            Some(sent_index) if progress.match_index < base => sent_index,
            _ => progress.match_index,
        };
        reachable.map(continues_from).min()
    }

    /// Whether this replica leads and a peer needs entries that are no longer in memory.
    pub fn has_lagging_peers(&self) -> bool {
        let base = self.log.base_index();
        self.leadership().is_some_and(|leading| leading.progress.values().any(|progress| progress.next_index <= base))
    }

    /// Whether this replica leads, has applied an entry of its term and holds the lease. Reads stop during a
    /// leadership transfer, as the successor's election does not wait for the lease.
    pub fn may_serve(&self, now: Duration, config: &ReplicationConfig) -> bool {
        let Some(leadership) = self.leadership() else {
            return false;
        };
        let acknowledged = self.quorum_acknowledged_at(now);
        let lease_valid = acknowledged.is_some_and(|at| now < at + config.lease);
        lease_valid
            && self.applied >= leadership.first_index
            && !leadership.transfer_in_progress
            && !self.storage_failed
    }

    /// Measures the replication lag of all peers, if this replica leads.
    pub fn observe_replication_lag(&mut self, now: Duration) {
        let commit = self.commit;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        for progress in leadership.progress.values_mut() {
            progress.lag.observe(progress.match_index, commit, now);
        }
    }

    /// Advances the commit index to the last entry of this term that a quorum has synced.
    pub fn advance_commit(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let own = self.identity.id;
        let synced_index = |id: ReplicaId| {
            let progress = leadership.progress.get(&id);
            if id == own { self.synced } else { progress.map_or(0, |progress| progress.match_index) }
        };
        let Some(index) = self.membership().quorum_value(synced_index) else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
            self.apply_committed();
        }
    }

    /// Applies committed entries and returns the outcomes to their proposers.
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
                        self.state_machine.enter_level(level);
                        None
                    }
                    None => Some(self.state_machine.apply(command)),
                },
                EntryPayload::Empty | EntryPayload::Membership(_) => None,
            };
            let pending = self.pending_proposals.remove(&index);
            if let (Some(outcome), Some(pending)) = (outcome, pending)
                && pending.term == term
            {
                // The caller may have stopped waiting.
                let _ = pending.sender.send(outcome);
            }
        }
    }

    /// Snapshot of the state at the last applied entry.
    pub fn snapshot(&self) -> Snapshot {
        let index = self.applied;
        let term = self.log.term_at(index).unwrap_or_default();
        let membership = self.log.membership_at(index).clone();
        let segments = self.state_machine.segments();
        let snapshot =
            Snapshot::new(SnapshotHeader { index, term, membership, segments }, self.state_machine.snapshot());
        snapshot.at_level(self.level.unwrap_or(FeatureLevel::NEWEST))
    }
}
