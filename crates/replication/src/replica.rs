//! A replica's public face: opening, proposing, reading and answering messages.

use crate::calls::Channel;
use crate::config::ReplicationConfig;
use crate::file_format::FileFormat;
use crate::follower::IncomingSnapshot;
use crate::founding::founder_id;
use crate::lead_offer::LeadOffers;
use crate::log::EntryPayload;
use crate::membership::Member;
use crate::message::{Header, ReplicaReply, ReplicaRequest};
use crate::patience::Patience;
use crate::segments::StoredSegments;
use crate::snapshot::Snapshot;
use crate::standing::{StandingReports, tell_recovered};
use crate::state::{Role, State, StateMachine};
use crate::storage::{Identity, Recovered, Storage, StorageError};
use futures::channel::{mpsc, oneshot};
use futures::lock::Mutex;
use saddlerelay_rpc::client::Client;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::protocol::{GroupView, ReplicaView};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// How a replica is started.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Where this replica listens.
    pub address: SocketAddr,
    /// Where the group's replicas listen; this one's own address may be among them.
    pub peers: Vec<SocketAddr>,
    /// Where the replicas listen that form the group when it is first started; every one of them is given the same.
    /// Empty unless this is that first start. A replica that is not among them joins.
    pub founders: Vec<SocketAddr>,
    /// The deployment's shared secret.
    pub secret: String,
    /// Limits.
    pub config: ReplicationConfig,
}

/// Why a proposal brought no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica does not lead; nothing was written.
    NotLeader(Option<SocketAddr>),
    /// Too many proposals wait; nothing was written.
    Overloaded,
    /// The proposal may or may not be committed later.
    Undecided,
    /// The group's feature level has no words for the command; nothing was written.
    NotAtThisLevel,
}

pub(crate) struct Proposal<O> {
    pub payload: EntryPayload,
    pub sender: Option<oneshot::Sender<O>>,
    /// For a membership: the index that brought the one that it was made from.
    pub made_from: Option<u64>,
}

pub(crate) struct Inner<P: Runtime, S: StateMachine> {
    pub platform: P,
    pub options: ReplicaOptions,
    pub state: RefCell<State<S>>,
    pub storage: Mutex<Storage<P::Disk>>,
    /// The format of the files.
    pub format: Rc<Cell<FileFormat>>,
    /// Held by whoever writes the snapshot file; taken after `storage` if both are needed.
    pub snapshot_file: Mutex<()>,
    /// Held by whoever writes a segment's file.
    pub segment_files: Mutex<()>,
    pub proposals: RefCell<mpsc::Sender<Proposal<S::Outcome>>>,
    proposal_queue: RefCell<Option<mpsc::Receiver<Proposal<S::Outcome>>>>,
    /// New entries, a new leader or a new membership.
    pub changed: Signal,
    /// Connections to other replicas.
    pub clients: RefCell<BTreeMap<(Channel, SocketAddr), Client<P>>>,
    /// Replicas that are not to be members.
    pub unwanted: RefCell<BTreeSet<ReplicaId>>,
    /// The segments on this replica's disk.
    pub segments: RefCell<StoredSegments>,
    /// Missing segments are being fetched.
    pub fetching: Cell<bool>,
    /// A snapshot that is being received.
    pub incoming: RefCell<Option<IncomingSnapshot>>,
    /// The snapshot that is being sent, for peers that need one at the same time.
    pub outgoing: RefCell<Weak<Snapshot>>,
    /// Where replicas may listen that this one has heard of.
    pub heard_of: RefCell<BTreeSet<SocketAddr>>,
    /// The leader that last told this replica of itself although it is no member, and when.
    pub announced_leader: Cell<Option<(SocketAddr, Duration)>>,
    /// When a leader last said that this replica is no member.
    pub left_out_at: Cell<Option<Duration>>,
    /// Machines that are told where the group is while this replica leads.
    pub audience: RefCell<BTreeSet<SocketAddr>>,
    /// Replicas that have asked this leader in vain to be added, and when.
    pub refused_joiners: RefCell<BTreeMap<SocketAddr, Duration>>,
    /// Offers to lead, made and received.
    pub lead_offers: RefCell<LeadOffers>,
    /// What operators have been told of this replica's place in the group.
    pub reports: RefCell<StandingReports>,
}

/// One replica of a group. Clones are the same replica.
pub struct Replica<P: Runtime, S: StateMachine> {
    pub(crate) inner: Rc<Inner<P, S>>,
}

impl<P: Runtime, S: StateMachine> Clone for Replica<P, S> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Opens the replica's files and restores its state; `start` makes it take part.
    pub async fn open(platform: P, options: ReplicaOptions, mut machine: S) -> Result<Self, StorageError> {
        let founds = options.founders.contains(&options.address);
        let new_format = if founds { FileFormat::Level(options.config.first_level) } else { FileFormat::Raised };
        let random_id = ReplicaId(platform.random().max(1));
        let new_id = if founds { founder_id(options.address) } else { random_id };
        let (storage, recovered) = Storage::open(platform.disk(), new_id, new_format).await?;
        tell_recovered(&recovered);
        let snapshot_index = recovered.log.base_index();
        let led_last = led_last(&recovered);
        let mut segments = StoredSegments::default();
        let began_at = recovered.level.filter(|_| recovered.snapshot.is_none());
        if let Some(level) = began_at {
            machine.enter_level(level);
        }
        if let Some(snapshot) = recovered.snapshot {
            machine.restore(snapshot.state(), snapshot.level);
            segments = StoredSegments::new(&snapshot.header.segments);
        }
        let now = platform.monotonic();
        let preferred = machine.prefers(recovered.identity.id);
        // Where all processes start at once, the one that led comes first; its work goes on without being taken over.
        let first = preferred || led_last || recovered.term == 0;
        let head_start = if first { Duration::ZERO } else { options.config.leader_head_start };
        // What this replica last answered, a leader may count on for a lease and no longer; those that started a little
        // earlier are then not refused their first votes.
        let vote_slack = options.config.election_timeout.saturating_sub(options.config.lease);
        let state = State {
            identity: recovered.identity,
            term: recovered.term,
            voted_for: recovered.voted_for,
            term_being_written: None,
            role: Role::Follower,
            leader: None,
            leader_heard_at: now.saturating_sub(vote_slack),
            patience: Patience::new(options.config.election_timeout),
            election_at: now
                + options.config.election_timeout
                + election_jitter(&platform, &options.config, preferred)
                + head_start,
            synced: recovered.log.last_index(),
            log: recovered.log,
            commit: snapshot_index,
            applied: snapshot_index,
            applied_bytes_since_snapshot: 0,
            snapshot_index,
            machine,
            level: recovered.level,
            began_at,
            waiting: BTreeMap::new(),
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
            changed: Signal::default(),
            clients: RefCell::default(),
            unwanted: RefCell::default(),
            segments: RefCell::new(segments),
            fetching: Cell::default(),
            incoming: RefCell::default(),
            outgoing: RefCell::default(),
            heard_of: RefCell::default(),
            announced_leader: Cell::default(),
            left_out_at: Cell::default(),
            audience: RefCell::default(),
            refused_joiners: RefCell::default(),
            lead_offers: RefCell::default(),
            reports: RefCell::default(),
        };
        let replica = Self { inner: Rc::new(inner) };
        replica.finish_forming_group().await?;
        replica.form_founders_group().await?;
        Ok(replica)
    }

    /// Starts the replica's tasks. Called once.
    pub fn start(&self) {
        let queue = self.inner.proposal_queue.borrow_mut().take().expect("a replica is started once");
        let platform = &self.inner.platform;
        platform.spawn(self.clone().run_elections());
        platform.spawn(self.clone().write_proposals(queue));
        platform.spawn(self.clone().manage_membership());
        platform.spawn(self.clone().maintain_storage());
        platform.spawn(self.clone().join_group());
        platform.spawn(self.clone().announce_group());
        platform.spawn(self.clone().offer_to_lead());
        platform.spawn(self.clone().consider_offers());
    }

    /// Commits `command` and returns its outcome.
    pub async fn propose(&self, command: Vec<u8>) -> Result<S::Outcome, ProposeError> {
        self.propose_as(|_| Some(vec![command])).await
    }

    /// Commits a command, written as one or more entries at the level of the log's end, and returns the last one's outcome.
    pub async fn propose_as(
        &self,
        encode: impl FnOnce(FeatureLevel) -> Option<Vec<Vec<u8>>>,
    ) -> Result<S::Outcome, ProposeError> {
        let Some(level) = self.level_of_proposals() else {
            return Err(ProposeError::NotLeader(self.leader_address()));
        };
        let entries = encode(level).ok_or(ProposeError::NotAtThisLevel)?;
        let mut last = None;
        // All are queued at once: an entry that raises the level stands before them or behind.
        for command in entries {
            match self.queue(command) {
                Ok(outcome) => last = Some(outcome),
                Err(error) if last.is_none() => return Err(error),
                Err(_) => return Err(ProposeError::Undecided),
            }
        }
        let outcome = last.ok_or(ProposeError::NotAtThisLevel)?;
        outcome.await.map_err(|_| ProposeError::Undecided)
    }

    fn queue(&self, command: Vec<u8>) -> Result<oneshot::Receiver<S::Outcome>, ProposeError> {
        let (sender, outcome) = oneshot::channel();
        let proposal = Proposal { payload: EntryPayload::Command(command), sender: Some(sender), made_from: None };
        let queued = self.inner.proposals.borrow_mut().try_send(proposal);
        queued.map(|()| outcome).map_err(|_| ProposeError::Overloaded)
    }

    /// The level of what is proposed now; `None` if nothing may be.
    pub fn level_of_proposals(&self) -> Option<FeatureLevel> {
        let state = self.inner.state.borrow();
        let leadership = state.leadership().filter(|leadership| !leadership.handing_over && !state.storage_failed)?;
        Some(leadership.next_level)
    }

    /// How far the log is committed, if this replica leads and holds the lease: whoever has applied it that far knows all
    /// that was acknowledged before.
    pub fn read_position(&self) -> Option<u64> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        state.may_serve(now, &self.inner.options.config).then_some(state.commit)
    }

    /// How far this replica has applied the log.
    pub fn applied_index(&self) -> u64 {
        self.inner.state.borrow().applied
    }

    /// Reads the committed state, if this replica leads and holds the lease.
    pub fn read<T>(&self, read: impl FnOnce(&S) -> T) -> Option<T> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        state.may_serve(now, &self.inner.options.config).then(|| read(&state.machine))
    }

    /// The term, if this replica leads and holds the lease.
    pub fn leading_term(&self) -> Option<u64> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        state.may_serve(now, &self.inner.options.config).then_some(state.term)
    }

    /// The term in which this replica leads, whether or not a quorum has answered lately.
    pub fn claimed_term(&self) -> Option<u64> {
        let state = self.inner.state.borrow();
        state.leadership().map(|_| state.term)
    }

    /// The leader's address, if another replica leads and was heard lately: callers that are sent to one that stands still
    /// lose the time of a whole call.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        if self.is_left_out(&state) {
            return self.recently_announced_leader();
        }
        if now >= state.leader_heard_at + self.inner.options.config.election_timeout {
            return None;
        }
        let leader = state.leader.filter(|leader| *leader != state.identity.id)?;
        state.address_of(leader)
    }

    /// Reads the state as this replica has applied it, which may be old.
    pub fn peek<T>(&self, read: impl FnOnce(&S) -> T) -> T {
        read(&self.inner.state.borrow().machine)
    }

    /// Changes what the machine keeps beside its replicated state.
    pub fn adjust(&self, change: impl FnOnce(&mut S)) {
        change(&mut self.inner.state.borrow_mut().machine);
    }

    /// How many voters the group wants.
    pub fn target_voters(&self) -> usize {
        self.inner.options.config.target_voters
    }

    /// Where the group's replicas listen, as far as this one knows.
    pub fn member_addresses(&self) -> Vec<SocketAddr> {
        self.inner.state.borrow().membership().members.iter().map(|member| member.address).collect()
    }

    /// Whether this replica is a member by the newest word that it has of it: its log's, or a leader's.
    pub fn is_member(&self) -> bool {
        let state = self.inner.state.borrow();
        state.membership().member(state.identity.id).is_some() && !self.is_left_out(&state)
    }

    /// The group that this replica belongs to, if any.
    pub fn group(&self) -> Option<u64> {
        self.inner.state.borrow().identity.group
    }

    /// This replica's identifier.
    pub fn id(&self) -> ReplicaId {
        self.inner.state.borrow().identity.id
    }

    /// Whether the replica takes part: it knows a leader that was heard within an election timeout, or leads.
    pub fn is_ready(&self) -> bool {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        let config = &self.inner.options.config;
        let follows = state.leader.is_some() && now < state.leader_heard_at + config.election_timeout;
        !state.storage_failed && (follows || state.may_serve(now, config))
    }

    /// The group as this leader sees it.
    pub fn view(&self) -> Option<GroupView> {
        let now = self.inner.platform.monotonic();
        let state = self.inner.state.borrow();
        let leadership = state.leadership()?;
        let own = state.identity.id;
        let replica = |member: &Member| {
            let progress = leadership.progress.get(&member.id).copied().unwrap_or_default();
            let since = progress.contact().map_or(now, |at| now.saturating_sub(at));
            let is_own = member.id == own;
            ReplicaView {
                id: member.id,
                address: member.address,
                voter: member.voter,
                matched: if is_own { state.synced } else { progress.matched },
                heard_milliseconds_ago: if is_own { 0 } else { since.as_millis() as u64 },
            }
        };
        let replicas = state.membership().members.iter().map(replica).collect();
        Some(GroupView { term: state.term, leader: own, committed: state.commit, replicas })
    }

    /// Answers another replica.
    pub async fn handle(&self, request: ReplicaRequest, level: FeatureLevel) -> ReplicaReply {
        if self.inner.state.borrow().storage_failed {
            return ReplicaReply::Refused;
        }
        match request {
            ReplicaRequest::Join { id, address } => self.answer_join(id, address, level),
            ReplicaRequest::Announce { group, leader, members } => self.hear_announcement(group, leader, members),
            ReplicaRequest::Vote { header, pre_vote, transfer, last_index, last_term } => {
                if !self.is_for_this_replica(&header) {
                    return ReplicaReply::Refused;
                }
                if pre_vote && transfer {
                    self.note_offer(&header, (last_term, last_index));
                }
                self.answer_vote(header, pre_vote, transfer, (last_term, last_index)).await
            }
            ReplicaRequest::Append { header, previous_index, previous_term, entries, commit } => {
                if !self.accepts_leader(&header).await {
                    return ReplicaReply::Refused;
                }
                self.append_entries(header, previous_index, previous_term, entries, commit, level).await
            }
            ReplicaRequest::SnapshotPart { header, part } => {
                if !self.accepts_leader(&header).await {
                    return ReplicaReply::Refused;
                }
                self.take_snapshot_part(header, part, level).await
            }
            ReplicaRequest::ReadSegment { header, number } => {
                if !self.is_for_this_replica(&header) {
                    return ReplicaReply::Refused;
                }
                self.answer_segment(number).await
            }
            ReplicaRequest::Heartbeat { header } => {
                if !self.is_for_this_replica(&header) {
                    return ReplicaReply::Refused;
                }
                self.answer_heartbeat(header)
            }
            ReplicaRequest::TakeOver { header } => self.answer_take_over(header),
        }
    }

    pub(crate) fn is_for_this_replica(&self, header: &Header) -> bool {
        let identity = self.inner.state.borrow().identity;
        header.to == identity.id && identity.group == Some(header.group)
    }

    /// Like `is_for_this_replica`, but a replica without a group takes the group of the first leader that adds it.
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
            // The leader asks again.
            spdlog::warn!("identity not written", kv: { dependency = "disk", reason = error.to_string().as_str() });
            return false;
        }
        self.inner.state.borrow_mut().identity = adopted;
        true
    }

    /// Where this replica listens.
    pub fn address(&self) -> SocketAddr {
        self.inner.options.address
    }

    pub(crate) fn reset_election_timer(&self, state: &mut State<S>) {
        let config = &self.inner.options.config;
        let platform = &self.inner.platform;
        let wait =
            config.election_timeout + election_jitter(platform, config, state.machine.prefers(state.identity.id));
        state.election_at = platform.monotonic() + state.patience.stretch(wait);
    }
}

/// Whether this replica led when its files were last written: it voted for itself in its term, and entries of that term
/// followed.
fn led_last(recovered: &Recovered) -> bool {
    let elected_itself = recovered.voted_for == Some(recovered.identity.id);
    elected_itself && recovered.log.last_term() == recovered.term
}

/// The random part of an election timeout: the first third is the preferred replica's.
fn election_jitter<P: Runtime>(platform: &P, config: &ReplicationConfig, preferred: bool) -> Duration {
    let third = config.election_jitter / 3;
    if preferred { platform.jitter(third) } else { third + platform.jitter(config.election_jitter - third) }
}
