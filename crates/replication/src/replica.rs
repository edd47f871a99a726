//! A replica's public interface: opening it, proposing commands, reading state and handling requests.

use crate::adaptive_timeout::AdaptiveTimeout;
use crate::calls::Channel;
use crate::config::ReplicationConfig;
use crate::file_format::FileFormat;
use crate::follower::IncomingSnapshot;
use crate::group_formation::founder_id;
use crate::leadership_offer::LeadershipOffers;
use crate::log::EntryPayload;
use crate::membership::Member;
use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::role_report::{RoleReports, log_recovered_state};
use crate::segments::StoredSegments;
use crate::snapshot::Snapshot;
use crate::state::{Role, State, StateMachine};
use crate::storage::{Identity, Recovered, Storage, StorageError};
use crate::transfer_policy::TransferPolicy;
use crate::voter_spread::{LossTolerance, Zones};
use futures::channel::{mpsc, oneshot};
use futures::lock::Mutex;
use saddlerelay_rpc::client::Client;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::repeated_event::RepeatedEvent;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::protocol::{GroupView, ReplicaView};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Start options of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Listen address of this replica.
    pub address: SocketAddr,
    /// Addresses of the group's replicas; may include this replica's own address.
    pub peers: Vec<SocketAddr>,
    /// Addresses of the initial voters, identical on all of them. Set only for the first start of a new group. A
    /// replica that is not in the list joins the group instead.
    pub founders: Vec<SocketAddr>,
    /// Shared secret of the deployment.
    pub secret: String,
    /// Timeouts and size limits.
    pub config: ReplicationConfig,
}

/// Reason why a proposal returned no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader; nothing was written. Holds the leader's address if known.
    NotLeader(Option<SocketAddr>),
    /// The proposal queue is full; nothing was written.
    Overloaded,
    /// Leadership was lost before the outcome was known; the proposal may still be committed.
    OutcomeUnknown,
    /// The command cannot be encoded at the group's feature level; nothing was written.
    UnsupportedAtLevel,
}

pub(crate) struct Proposal<O> {
    pub payload: EntryPayload,
    pub sender: Option<oneshot::Sender<O>>,
    /// For a membership change: index of the membership entry that the change is based on.
    pub based_on_index: Option<u64>,
}

pub(crate) struct Inner<P: Runtime, S: StateMachine> {
    pub platform: P,
    pub options: ReplicaOptions,
    pub state: RefCell<State<S>>,
    pub storage: Mutex<Storage<P::Disk>>,
    /// Format of the files on disk.
    pub format: Rc<Cell<FileFormat>>,
    /// Serializes writes of the snapshot file. Lock order: `storage` first.
    pub snapshot_file: Mutex<()>,
    /// Serializes writes of segment files.
    pub segment_files: Mutex<()>,
    pub proposals: RefCell<mpsc::Sender<Proposal<S::Outcome>>>,
    proposal_queue: RefCell<Option<mpsc::Receiver<Proposal<S::Outcome>>>>,
    /// Wakes the tasks that replicate to peers, on new entries and when this leader steps down.
    pub state_changed: Signal,
    /// Connections to other replicas, by channel and address.
    pub clients: RefCell<BTreeMap<(Channel, SocketAddr), Client<P>>>,
    /// Replicas that must be removed from the group or kept out of it.
    pub excluded_replicas: RefCell<BTreeSet<ReplicaId>>,
    /// Zones of replicas by address. An address without an entry is a zone of its own.
    pub zones: RefCell<Zones>,
    /// Segments stored on this replica's disk.
    pub segments: RefCell<StoredSegments>,
    /// Whether a task is fetching missing segments.
    pub fetching: Cell<bool>,
    /// What the sources of segments have shown.
    pub transfer_policy: RefCell<TransferPolicy>,
    /// Failed requests for segments.
    pub failed_fetches: RefCell<RepeatedEvent>,
    /// Snapshot that is being received.
    pub incoming_snapshot: RefCell<Option<IncomingSnapshot>>,
    /// Snapshots that are being sent, the newest last; shared by peers that need one at the same time.
    pub outgoing_snapshots: RefCell<Vec<Weak<Snapshot>>>,
    /// Addresses of replicas learned from other replicas or from callers.
    pub discovered_addresses: RefCell<BTreeSet<SocketAddr>>,
    /// Sender of the last leader announcement, and when it was received.
    pub announced_leader: Cell<Option<(SocketAddr, Duration)>>,
    /// When an announcement last listed the members without this replica.
    pub excluded_at: Cell<Option<Duration>>,
    /// Addresses that receive announcements while this replica leads.
    pub announcement_targets: RefCell<BTreeSet<SocketAddr>>,
    /// Term in which the announcement targets were last set.
    pub announced_term: Cell<Option<u64>>,
    /// Notified when an announcement is due before the interval has passed.
    pub announcement_due: Signal,
    /// Addresses whose join requests this leader has rejected recently, and when.
    pub rejected_joins: RefCell<BTreeMap<SocketAddr, Duration>>,
    /// Leadership offers made and received.
    pub leadership_offers: RefCell<LeadershipOffers>,
    /// What was last logged about this replica's role in the group.
    pub role_reports: RefCell<RoleReports>,
    /// The tolerance in the last log line about it, and when that was written.
    pub reported_tolerance: Cell<Option<(LossTolerance, Duration)>>,
}

/// A replica of a group. Clones share the same state.
pub struct Replica<P: Runtime, S: StateMachine> {
    pub(crate) inner: Rc<Inner<P, S>>,
}

impl<P: Runtime, S: StateMachine> Clone for Replica<P, S> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Opens the files and restores the state. The replica takes part in the group only after `start`.
    pub async fn open(platform: P, options: ReplicaOptions, mut state_machine: S) -> Result<Self, StorageError> {
        let is_founder = options.founders.contains(&options.address);
        let new_format = if is_founder { FileFormat::Level(options.config.first_level) } else { FileFormat::ANY_LEVEL };
        let random_id = ReplicaId(platform.random().max(1));
        let new_id = if is_founder { founder_id(options.address) } else { random_id };
        let (storage, recovered) = Storage::open(platform.disk(), new_id, new_format).await?;
        log_recovered_state(&recovered);
        let snapshot_index = recovered.log.base_index();
        let was_leader = was_leader(&recovered);
        let mut segments = StoredSegments::default();
        let first_entry_level = recovered.level.filter(|_| recovered.snapshot.is_none());
        if let Some(level) = first_entry_level {
            state_machine.enter_level(level);
        }
        if let Some(snapshot) = recovered.snapshot {
            state_machine.restore(snapshot.state(), snapshot.level);
            segments = StoredSegments::new(&snapshot.header.segments);
        }
        let now = platform.monotonic();
        let preferred = state_machine.prefers(recovered.identity.id);
        // When all processes restart together, the previous leader is given a head start in the election.
        let campaigns_first = preferred || was_leader || recovered.term == 0;
        let head_start = if campaigns_first { Duration::ZERO } else { options.config.leader_head_start };
        // Before the restart this replica may have acknowledged a leader, whose lease relies on it. Votes are
        // therefore refused for the length of a lease after the start, not for a whole election timeout.
        let vote_slack = options.config.election_timeout.saturating_sub(options.config.lease);
        let state = State {
            identity: recovered.identity,
            term: recovered.term,
            voted_for: recovered.voted_for,
            term_being_written: None,
            role: Role::Follower,
            leader: None,
            last_leader_contact: now.saturating_sub(vote_slack),
            adaptive_timeout: AdaptiveTimeout::new(options.config.election_timeout),
            election_deadline: now
                + options.config.election_timeout
                + election_jitter(&platform, &options.config, preferred)
                + head_start,
            synced: recovered.log.last_index(),
            log: recovered.log,
            commit: snapshot_index,
            applied: snapshot_index,
            applied_bytes_since_snapshot: 0,
            snapshot_index,
            state_machine,
            level: recovered.level,
            first_entry_level,
            pending_proposals: BTreeMap::new(),
            storage_failed: false,
            stopping: false,
        };
        let (proposals, proposal_queue) = mpsc::channel(options.config.proposal_queue);
        let inner = Inner {
            platform,
            options,
            state: RefCell::new(state),
            format: storage.format(),
            storage: Mutex::new(storage),
            snapshot_file: Mutex::new(()),
            segment_files: Mutex::new(()),
            proposals: RefCell::new(proposals),
            proposal_queue: RefCell::new(Some(proposal_queue)),
            state_changed: Signal::default(),
            clients: RefCell::default(),
            excluded_replicas: RefCell::default(),
            zones: RefCell::default(),
            segments: RefCell::new(segments),
            fetching: Cell::default(),
            transfer_policy: RefCell::default(),
            failed_fetches: RefCell::default(),
            incoming_snapshot: RefCell::default(),
            outgoing_snapshots: RefCell::default(),
            discovered_addresses: RefCell::default(),
            announced_leader: Cell::default(),
            excluded_at: Cell::default(),
            announcement_targets: RefCell::default(),
            announced_term: Cell::default(),
            announcement_due: Signal::default(),
            rejected_joins: RefCell::default(),
            leadership_offers: RefCell::default(),
            role_reports: RefCell::default(),
            reported_tolerance: Cell::default(),
        };
        let replica = Self { inner: Rc::new(inner) };
        replica.finish_forming_group().await?;
        replica.form_founders_group().await?;
        Ok(replica)
    }

    /// Spawns the replica's tasks. Panics if called twice.
    pub fn start(&self) {
        let queue = self.inner.proposal_queue.borrow_mut().take().expect("a replica must be started only once");
        let platform = &self.inner.platform;
        platform.spawn(self.clone().run_elections());
        platform.spawn(self.clone().write_proposals(queue));
        platform.spawn(self.clone().manage_membership());
        platform.spawn(self.clone().maintain_storage());
        platform.spawn(self.clone().join_group());
        platform.spawn(self.clone().announce_group());
        platform.spawn(self.clone().run_leadership_offers());
        platform.spawn(self.clone().evaluate_offers());
    }

    /// Proposes `command` and waits for its outcome.
    pub async fn propose(&self, command: Vec<u8>) -> Result<S::Outcome, ProposeError> {
        self.propose_as(|_| Some(vec![command])).await
    }

    /// Proposes a command that `encode` writes as one or more entries at the feature level of the end of the log, and
    /// waits for the outcome of the last entry.
    pub async fn propose_as(
        &self,
        encode: impl FnOnce(FeatureLevel) -> Option<Vec<Vec<u8>>>,
    ) -> Result<S::Outcome, ProposeError> {
        let Some(level) = self.level_of_proposals() else {
            return Err(ProposeError::NotLeader(self.leader_address()));
        };
        let entries = encode(level).ok_or(ProposeError::UnsupportedAtLevel)?;
        let mut last = None;
        // The entries are queued without yielding, so that no level change can be queued between them.
        for command in entries {
            match self.enqueue(command) {
                Ok(outcome) => last = Some(outcome),
                Err(error) if last.is_none() => return Err(error),
                Err(_) => return Err(ProposeError::OutcomeUnknown),
            }
        }
        let outcome = last.ok_or(ProposeError::UnsupportedAtLevel)?;
        outcome.await.map_err(|_| ProposeError::OutcomeUnknown)
    }

    fn enqueue(&self, command: Vec<u8>) -> Result<oneshot::Receiver<S::Outcome>, ProposeError> {
        let (sender, outcome) = oneshot::channel();
        let proposal = Proposal { payload: EntryPayload::Command(command), sender: Some(sender), based_on_index: None };
        let queued = self.inner.proposals.borrow_mut().try_send(proposal);
        queued.map(|()| outcome).map_err(|_| ProposeError::Overloaded)
    }

    /// Feature level at which proposals are encoded now; `None` if this replica cannot accept proposals.
    pub fn level_of_proposals(&self) -> Option<FeatureLevel> {
        let state = self.inner.state.borrow();
        let leadership =
            state.leadership().filter(|leadership| !leadership.transfer_in_progress && !state.storage_failed)?;
        Some(leadership.next_level)
    }

    /// Commit index for a linearizable read, if this replica leads and holds the lease. A replica that has applied the
    /// log up to it has seen every acknowledged write.
    pub fn read_index(&self) -> Option<u64> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        state.may_serve(now, &self.inner.options.config).then_some(state.commit)
    }

    /// Index of the last entry applied by this replica.
    pub fn applied_index(&self) -> u64 {
        self.inner.state.borrow().applied
    }

    /// Reads the state machine if this replica leads and holds the lease.
    pub fn read<T>(&self, read: impl FnOnce(&S) -> T) -> Option<T> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        state.may_serve(now, &self.inner.options.config).then(|| read(&state.state_machine))
    }

    /// Current term, if this replica leads and holds the lease.
    pub fn leading_term(&self) -> Option<u64> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        state.may_serve(now, &self.inner.options.config).then_some(state.term)
    }

    /// Term in which this replica leads, even if its lease has expired.
    pub fn claimed_term(&self) -> Option<u64> {
        let state = self.inner.state.borrow();
        state.leadership().map(|_| state.term)
    }

    /// Address of the leader, if another replica leads and was in contact within the election timeout, or announces itself
    /// to this replica outside the group. Callers are not redirected to a leader that may have failed.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        if self.is_excluded(&state) {
            return self.announcing_leader();
        }
        if now >= state.last_leader_contact + self.inner.options.config.election_timeout {
            return None;
        }
        let leader = state.leader.filter(|leader| *leader != state.identity.id)?;
        state.address_of(leader)
    }

    /// Reads the state machine as applied locally, which may be stale.
    pub fn read_local<T>(&self, read: impl FnOnce(&S) -> T) -> T {
        read(&self.inner.state.borrow().state_machine)
    }

    /// Changes local state of the state machine that is not replicated.
    pub fn update_local_state(&self, change: impl FnOnce(&mut S)) {
        change(&mut self.inner.state.borrow_mut().state_machine);
    }

    /// Configured number of voters.
    pub fn target_voters(&self) -> usize {
        self.inner.options.config.target_voters
    }

    /// Addresses of the members in this replica's newest membership.
    pub fn member_addresses(&self) -> Vec<SocketAddr> {
        self.inner.state.borrow().membership().members.iter().map(|member| member.address).collect()
    }

    /// Whether this replica is a member, by its own log and by the last leader announcement.
    pub fn is_member(&self) -> bool {
        let state = self.inner.state.borrow();
        state.membership().member(state.identity.id).is_some() && !self.is_excluded(&state)
    }

    /// Identifier of this replica's group, if it belongs to one.
    pub fn group(&self) -> Option<u64> {
        self.inner.state.borrow().identity.group
    }

    /// Identifier of this replica.
    pub fn id(&self) -> ReplicaId {
        self.inner.state.borrow().identity.id
    }

    /// Whether the replica leads with a valid lease, or has had contact with a leader within the election timeout.
    pub fn is_ready(&self) -> bool {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        let config = &self.inner.options.config;
        let has_leader = state.leader.is_some() && now < state.last_leader_contact + config.election_timeout;
        !state.storage_failed && (has_leader || state.may_serve(now, config))
    }

    /// State of the group as seen by this leader; `None` if this replica does not lead.
    pub fn view(&self) -> Option<GroupView> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        let leadership = state.leadership()?;
        let own = state.identity.id;
        let replica = |member: &Member| {
            let progress = leadership.progress.get(&member.id).copied().unwrap_or_default();
            let since = progress.last_contact().map_or(now, |at| now.saturating_sub(at));
            let is_own = member.id == own;
            ReplicaView {
                id: member.id,
                address: member.address,
                voter: member.voter,
                matched: if is_own { state.synced } else { progress.match_index },
                heard_milliseconds_ago: if is_own { 0 } else { since.as_millis() as u64 },
            }
        };
        let replicas = state.membership().members.iter().map(replica).collect();
        Some(GroupView { term: state.term, leader: own, committed: state.commit, replicas })
    }

    /// Handles a request from another replica.
    pub async fn handle(&self, request: ReplicaRequest, level: FeatureLevel) -> ReplicaReply {
        if self.inner.state.borrow().storage_failed {
            return ReplicaReply::Rejected;
        }
        match request {
            ReplicaRequest::Join { id, address } => self.handle_join(id, address, level),
            ReplicaRequest::Announce { group, leader, members } => self.handle_announcement(group, leader, members),
            ReplicaRequest::Vote { header, pre_vote, transfer, last_index, last_term } => {
                if !self.is_for_this_replica(&header) {
                    return ReplicaReply::Rejected;
                }
                if pre_vote && transfer {
                    self.record_offer(&header, (last_term, last_index));
                }
                self.handle_vote(header, pre_vote, transfer, (last_term, last_index)).await
            }
            ReplicaRequest::Append { header, previous_index, previous_term, entries, commit } => {
                if !self.accepts_leader(&header).await {
                    return ReplicaReply::Rejected;
                }
                self.append_entries(header, previous_index, previous_term, entries, commit, level).await
            }
            ReplicaRequest::SnapshotPart { header, part } => {
                if !self.accepts_leader(&header).await {
                    return ReplicaReply::Rejected;
                }
                self.receive_snapshot_part(header, part, level).await
            }
            ReplicaRequest::ReadSegment { header, number } => {
                if !self.is_for_this_replica(&header) {
                    return ReplicaReply::Rejected;
                }
                self.handle_segment_request(number).await
            }
            ReplicaRequest::Heartbeat { header } => {
                if !self.is_for_this_replica(&header) {
                    return ReplicaReply::Rejected;
                }
                self.handle_heartbeat(header)
            }
            ReplicaRequest::TimeoutNow { header } => self.handle_timeout_now(header),
        }
    }

    pub(crate) fn is_for_this_replica(&self, header: &Header) -> bool {
        let identity = self.inner.state.borrow().identity;
        header.to == identity.id && identity.group == Some(header.group)
    }

    /// Like `is_for_this_replica`, but a replica without a group adopts the group of the first leader that contacts
    /// it.
    async fn accepts_leader(&self, header: &Header) -> bool {
        let identity = self.inner.state.borrow().identity;
        if header.to != identity.id {
            return false;
        }
        if identity.group.is_some() {
            return identity.group == Some(header.group);
        }
        let adopted = Identity { group: Some(header.group), ..identity };
        let mut storage = self.inner.storage.lock().await;
        if let Err(error) = storage.write_identity(adopted).await {
            // The leader retries.
            spdlog::warn!("identity write failed", kv: { dependency = "disk", reason = error.to_string().as_str() });
            return false;
        }
        self.inner.state.borrow_mut().identity = adopted;
        true
    }

    /// Listen address of this replica.
    pub fn address(&self) -> SocketAddr {
        self.inner.options.address
    }

    pub(crate) fn reset_election_timer(&self, state: &mut State<S>) {
        let config = &self.inner.options.config;
        let platform = &self.inner.platform;
        let wait =
            config.election_timeout + election_jitter(platform, config, state.state_machine.prefers(state.identity.id));
        state.election_deadline = platform.monotonic() + state.adaptive_timeout.scale(wait);
    }
}

/// Whether this replica was the leader when its files were last written: it voted for itself in its term, and its last
/// entry is of that term.
fn was_leader(recovered: &Recovered) -> bool {
    let elected_itself = recovered.voted_for == Some(recovered.identity.id);
    elected_itself && recovered.log.last_term() == recovered.term
}

/// Random part of an election timeout. The preferred replica draws from the first third of the range, all others from
/// the rest.
fn election_jitter<P: Runtime>(platform: &P, config: &ReplicationConfig, preferred: bool) -> Duration {
    let third = config.election_jitter / 3;
    if preferred { platform.jitter(third) } else { third + platform.jitter(config.election_jitter - third) }
}
