//! A control process: one replica of the control group, which serves requests from peers, relays and operators.

use crate::commands::rollouts;
use crate::config::ControlConfig;
use crate::follow::FollowerReads;
use crate::gateway;
use crate::group_clock::GroupClock;
use crate::instance_watch::InstanceWatch;
use crate::large_replies::LargeReplies;
use crate::machine::ControlMachine;
use crate::order_watch::OrderWatch;
use crate::queries;
use crate::routing_updates::RoutingUpdates;
use crate::state::ControlState;
use crate::suspicion_watch::SuspicionWatch;
use crate::tasks::relays::RenewalTable;
use crate::tasks::{
    confirmation, engines, job_expiry, levels, machines, relays, retirement, retrials, silence, suspicions, trials,
    usage,
};
use crate::trial_watch::TrialWatch;
use futures::lock::Mutex;
use saddlerelay_replication::storage::StorageError;
use saddlerelay_replication::{ProposeError, Replica, ReplicaOptions};
use saddlerelay_rpc::reply_memory::Reservation;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::repeated_event::RepeatedEvent;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::protocol::{
    Command, CommandOutcome, ControlReply, ControlRequest, MembershipCommand, Query, QueryResult, RenewReply,
    RenewRequest, RolloutCommand,
};
use saddlerelay_types::usage::RelayUsage;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Maximum random delay between a wake-up for samples and the next read of the state.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(10);

/// A control process. Clones share one state.
pub struct ControlNode<P: Runtime, B: Backends> {
    pub(crate) inner: Rc<Inner<P, B>>,
}

pub(crate) struct Inner<P: Runtime, B: Backends> {
    pub platform: P,
    pub backends: B,
    pub config: ControlConfig,
    pub replica: Replica<P, ControlMachine>,
    pub renewals: RefCell<RenewalTable>,
    /// Notified when state that is sent to relays has changed.
    pub relay_updates: Signal,
    /// Notified when a trainer has published weights.
    pub weights_published: Signal,
    /// Notified when samples can be assigned to a relay.
    pub samples_pending: Signal,
    /// Notified when completed samples can be fetched by their trainer.
    pub samples_ready: Signal,
    /// Serializes the computation of replies to relays and of engine reports, so that replication messages wait for at
    /// most one of them.
    pub reply_lock: Mutex<()>,
    /// Follower reads for relays that poll this replica while another one leads.
    pub follower_reads: RefCell<FollowerReads>,
    /// Notified when the leader has confirmed this replica's state.
    pub confirmed: Signal,
    /// Rate limit for the log line about requests rejected while the leader is unknown.
    pub leaderless_rejections: RefCell<RepeatedEvent>,
    /// Rate limit for the log line about rejected trials of suspected work.
    pub rejected_trials: RefCell<RepeatedEvent>,
    /// Reports and heartbeats of instances received in the current term.
    pub instance_watch: RefCell<InstanceWatch>,
    /// Encoded routing updates for relays.
    pub routing_updates: RefCell<RoutingUpdates>,
    /// When each order intent was first observed.
    pub order_watch: RefCell<OrderWatch>,
    /// When each trial lease was last observed to be renewed.
    pub trial_watch: RefCell<TrialWatch>,
    /// Age of each suspicion by this process's monotonic clock.
    pub suspicion_watch: RefCell<SuspicionWatch>,
    /// Median wall clock of the machines.
    pub group_clock: RefCell<GroupClock>,
    /// Usage counts received from relays and not committed yet.
    pub usage_inbox: RefCell<Vec<RelayUsage>>,
    /// Notified when a batch job has new results or has ended.
    pub job_results: Signal,
    /// Notified when a batch job was added or has ended, or when engines or routes have changed.
    pub job_work: Signal,
    /// Memory of replies to other processes.
    pub large_replies: LargeReplies,
    /// When this replica last received a request from an older build.
    pub older_build_request_at: Cell<Option<Duration>>,
}

impl<P: Runtime, B: Backends> Clone for ControlNode<P, B> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Opens the replica and starts the background tasks. The caller has to serve the node as RPC handler on a
    /// listener.
    pub async fn start(
        platform: P,
        backends: B,
        config: ControlConfig,
        options: ReplicaOptions,
    ) -> Result<Self, StorageError> {
        let replica = Replica::open(platform.clone(), options, ControlMachine::default()).await?;
        replica.start();
        let renewals = RefCell::default();
        let large_replies = LargeReplies::new(config.reply_memory);
        let inner = Rc::new(Inner {
            platform: platform.clone(),
            backends,
            config,
            replica,
            renewals,
            relay_updates: Signal::default(),
            weights_published: Signal::default(),
            samples_pending: Signal::default(),
            samples_ready: Signal::default(),
            reply_lock: Mutex::default(),
            follower_reads: RefCell::default(),
            confirmed: Signal::default(),
            leaderless_rejections: RefCell::default(),
            rejected_trials: RefCell::default(),
            instance_watch: RefCell::default(),
            routing_updates: RefCell::default(),
            order_watch: RefCell::default(),
            trial_watch: RefCell::default(),
            suspicion_watch: RefCell::default(),
            group_clock: RefCell::default(),
            usage_inbox: RefCell::default(),
            job_results: Signal::default(),
            job_work: Signal::default(),
            large_replies,
            older_build_request_at: Cell::default(),
        });
        let node = Self { inner };
        platform.spawn(relays::watch(node.clone()));
        platform.spawn(engines::manage(node.clone()));
        platform.spawn(machines::poll(node.clone()));
        platform.spawn(retirement::watch(node.clone()));
        platform.spawn(silence::watch(node.clone()));
        platform.spawn(confirmation::confirm(node.clone()));
        platform.spawn(usage::commit(node.clone()));
        platform.spawn(suspicions::expire(node.clone()));
        platform.spawn(retrials::allow(node.clone()));
        platform.spawn(trials::watch(node.clone()));
        platform.spawn(levels::raise(node.clone()));
        platform.spawn(job_expiry::advance(node.clone()));
        Ok(node)
    }

    /// This process's replica of the log.
    pub fn replica(&self) -> &Replica<P, ControlMachine> {
        &self.inner.replica
    }

    /// Transfers leadership to another replica, for example before a planned stop.
    pub async fn transfer_leadership(&self) -> bool {
        self.inner.replica.transfer_leadership().await
    }

    /// Reads the locally applied state, which may be stale.
    pub fn read_applied<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        self.inner.replica.read_local(|machine| read(machine.state()))
    }

    /// Reads the committed state; `None` unless this replica leads.
    pub fn read<T>(&self, read: impl FnOnce(&ControlState) -> T) -> Option<T> {
        self.inner.replica.read(|machine| read(machine.state()))
    }

    /// Commits a command with this machine's wall clock as its time, and notifies the waiters that it may concern.
    pub async fn commit(&self, command: Command) -> Result<CommandOutcome, ProposeError> {
        let time = self.inner.platform.unix_milliseconds();
        let effects = Effects::of(&command);
        let encode = |level| saddlerelay_layouts::commands::encode(time, command, level);
        let outcome = self.inner.replica.propose_as(encode).await;
        self.notify_waiters(effects);
        outcome
    }

    fn notify_waiters(&self, effects: Effects) {
        if effects.relay_updates {
            self.inner.relay_updates.notify();
        }
        if effects.publication {
            self.inner.weights_published.notify();
        }
        if effects.job_work {
            self.inner.job_work.notify();
        }
        if effects.job_results {
            self.inner.job_results.notify();
        }
        if effects.samples && self.read(rollouts::samples_are_pending) == Some(true) {
            self.inner.samples_pending.notify();
        }
        if effects.samples && self.read(rollouts::samples_are_ready) == Some(true) {
            self.inner.samples_ready.notify();
        }
    }

    /// Handles a request. Memory for a large reply is reserved in `reservation`.
    pub(crate) async fn answer(&self, request: ControlRequest, reservation: &mut Option<Reservation>) -> ControlReply {
        match request {
            ControlRequest::Replication(bytes) => {
                self.handle_replication(&bytes, FeatureLevel::NEWEST, reservation).await
            }
            ControlRequest::Renew(renewal) => self.renew(renewal).await,
            ControlRequest::Execute(command) => self.execute(command).await,
            ControlRequest::Query(query) => self.query(&query),
            ControlRequest::Initialize => self.initialize().await,
            ControlRequest::Gateway(request) => self.handle_gateway(request, reservation).await,
        }
    }

    async fn initialize(&self) -> ControlReply {
        match self.inner.replica.initialize().await {
            Ok(true) => ControlReply::Executed(CommandOutcome::Applied(true)),
            Ok(false) => ControlReply::Refused("this replica already belongs to a group".to_string()),
            Err(error) => ControlReply::Refused(error.to_string()),
        }
    }

    /// The reply to a request that only the leader can serve.
    pub(crate) fn not_leader(&self) -> ControlReply {
        let leader = self.inner.replica.leader_address();
        let peers = match leader {
            Some(_) => Vec::new(),
            None => self.inner.replica.redirect_addresses(),
        };
        if leader.is_none() {
            self.log_leader_unknown();
        }
        ControlReply::NotLeader { leader, peers }
    }

    /// Logs that requests were rejected while the leader is unknown. Rate limited.
    fn log_leader_unknown(&self) {
        let now = self.inner.platform.monotonic();
        let Some(rejected) = self.inner.leaderless_rejections.borrow_mut().count(now) else {
            return;
        };
        let replica = &self.inner.replica;
        spdlog::warn!("request rejected, leader unknown", kv: {
            dependency = "leader",
            requests = rejected,
            replica = replica.id().0,
            is_member = replica.is_member(),
            members_known = replica.member_addresses().len(),
            peers_known = replica.known_peers().len(),
            applied = replica.applied_index()
        });
    }

    /// Commits a command. One that would change nothing adds no log entry: it is held open until it would have an
    /// effect, for at most `sample_long_poll_timeout` (long poll).
    async fn execute(&self, command: Command) -> ControlReply {
        let deadline = self.inner.platform.monotonic() + self.inner.config.sample_long_poll_timeout;
        loop {
            let signal = self.signal_for(&command);
            let notified_count = signal.count();
            let outcome = match self.read(|state| idle_outcome(state, &command)) {
                None => return self.not_leader(),
                Some(None) => return self.execute_by_commit(command).await,
                Some(Some(outcome)) => outcome,
            };
            let remaining = deadline.saturating_sub(self.inner.platform.monotonic());
            if remaining.is_zero() {
                return ControlReply::Executed(outcome);
            }
            timeout(&self.inner.platform, remaining, signal.changed(notified_count)).await;
            // Staggers the waiters, so that most find no samples left and propose nothing.
            let delay = self.inner.platform.jitter(MAX_WAKE_DELAY);
            self.inner.platform.sleep(delay).await;
        }
    }

    /// The signal that a command without effect waits for.
    fn signal_for(&self, command: &Command) -> &Signal {
        match command {
            Command::Rollout(RolloutCommand::Fetch { .. }) => &self.inner.samples_ready,
            _ => &self.inner.samples_pending,
        }
    }

    async fn execute_by_commit(&self, command: Command) -> ControlReply {
        match self.commit(command).await {
            Ok(outcome) => ControlReply::Executed(outcome),
            Err(ProposeError::NotLeader(_)) => self.not_leader(),
            Err(ProposeError::Overloaded) => ControlReply::Refused("too many proposals wait".to_string()),
            Err(ProposeError::OutcomeUnknown) => ControlReply::Undecided,
            Err(ProposeError::UnsupportedAtLevel) => {
                ControlReply::Refused("older builds are still being replaced".to_string())
            }
        }
    }

    fn query(&self, query: &Query) -> ControlReply {
        let answer = self.read(|state| {
            queries::answer(state, query).or_else(|| match query {
                Query::Relays => {
                    let now = self.inner.platform.monotonic();
                    let views = self.inner.renewals.borrow().views(state, now);
                    Some(QueryResult::Relays(state.configuration.revision(), views))
                }
                _ => self.inner.replica.view().map(QueryResult::Group),
            })
        });
        match answer.flatten() {
            Some(answer) => ControlReply::Answer(answer),
            None => self.not_leader(),
        }
    }

    async fn renew(&self, renewal: RenewRequest) -> ControlReply {
        let relay = renewal.relay.incarnation;
        let membership = self.read(|state| (state.members.is_live(relay), state.members.is_lost(relay)));
        let Some((live, lost)) = membership else {
            return self.not_leader();
        };
        let joined = live || !lost && self.admit_relay(&renewal).await;
        if joined {
            let now = self.inner.platform.monotonic();
            self.inner.renewals.borrow_mut().record(relay, now, renewal.configuration);
        } else if !lost && self.inner.replica.leading_term().is_none() {
            return self.not_leader();
        }
        self.wait_for_renewal_reply(&renewal).await
    }

    /// Replies to a renewal when there is an update for the relay, or after `long_poll_timeout`. Changes within
    /// `update_batch_delay` go into one reply.
    async fn wait_for_renewal_reply(&self, renewal: &RenewRequest) -> ControlReply {
        let deadline = self.inner.platform.monotonic() + self.inner.config.long_poll_timeout;
        loop {
            let notified_count = self.inner.relay_updates.count();
            let Some(reply) = self.read(|state| self.renewal_reply(state, renewal)) else {
                return self.not_leader();
            };
            let remaining = deadline.saturating_sub(self.inner.platform.monotonic());
            if remaining.is_zero() || reply.has_updates(renewal) {
                return ControlReply::Renewed(reply);
            }
            if timeout(&self.inner.platform, remaining, self.inner.relay_updates.changed(notified_count))
                .await
                .is_some()
            {
                self.inner.platform.sleep(self.inner.config.update_batch_delay).await;
            }
        }
    }

    async fn admit_relay(&self, renewal: &RenewRequest) -> bool {
        let command = Command::Membership(MembershipCommand::RelayJoined(renewal.relay.clone()));
        matches!(self.commit(command).await, Ok(CommandOutcome::Applied(true)))
    }

    fn renewal_reply(&self, state: &ControlState, renewal: &RenewRequest) -> RenewReply {
        RenewReply {
            fenced: !state.members.is_live(renewal.relay.incarnation),
            lease_milliseconds: self.inner.config.relay_lease.as_millis() as u64,
            configuration: queries::configuration::update_after(&state.configuration, renewal.configuration),
            engine_revision: state.members.engine_revision(),
            engines: state.members.engines_changed_after(renewal.engines),
            targets: queries::weights::targets(state),
            relay_count: state.members.relays().len() as u32,
            suspicions: state.suspicions.newer_than(renewal.suspicion_revision),
        }
    }
}

/// Which waiters a command may concern.
#[derive(Clone, Copy, Debug)]
struct Effects {
    /// Relays, which act on the changed state.
    relay_updates: bool,
    /// The task that rolls out weights: the target version has changed.
    publication: bool,
    /// Relays and trainers that wait for samples.
    samples: bool,
    /// The runner of batch jobs.
    job_work: bool,
    /// Readers of batch job results.
    job_results: bool,
}

impl Effects {
    fn of(command: &Command) -> Self {
        let publication = matches!(command, Command::Rollout(RolloutCommand::Publish { .. }));
        let (relay_updates, samples) = match command {
            Command::Configuration(_) => (true, false),
            Command::Membership(MembershipCommand::IssueFence) => (false, false),
            Command::Membership(MembershipCommand::RelayLost(_) | MembershipCommand::RelayJoined(_)) => (true, true),
            Command::Membership(_) => (true, false),
            Command::Rollout(_) => (publication, true),
            Command::Claim(_) => (false, false),
            Command::Gateway(command) => (gateway::affects_relays(command), false),
        };
        let (job_work, job_results) = match command {
            Command::Gateway(command) => gateway::job_effects(command),
            _ => (false, false),
        };
        Self { relay_updates, publication, samples, job_work, job_results }
    }
}

/// The outcome of a command that would change nothing, so that polls add no log entries.
fn idle_outcome(state: &ControlState, command: &Command) -> Option<CommandOutcome> {
    match command {
        Command::Rollout(RolloutCommand::Fetch { tenant, incarnation, cursor, .. }) => {
            let idle = rollouts::fetch_is_idle(state, tenant, *incarnation, *cursor);
            idle.then(|| rollouts::empty_delivery(state, tenant)).flatten()
        }
        Command::Rollout(RolloutCommand::Assign { relay, sequence, .. }) => {
            rollouts::assign_is_idle(state, *relay, *sequence).then(|| CommandOutcome::Assigned(Vec::new()))
        }
        _ => None,
    }
}
