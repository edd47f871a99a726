//! A control process: one replica of the group, answering peers, relays and operators.

use crate::commands::rollouts;
use crate::config::ControlConfig;
use crate::follow::Following;
use crate::gateway;
use crate::group_clock::GroupClock;
use crate::instance_watch::InstanceWatch;
use crate::machine::ControlMachine;
use crate::order_watch::OrderWatch;
use crate::queries;
use crate::routing_updates::RoutingUpdates;
use crate::state::ControlState;
use crate::suspicion_watch::SuspicionWatch;
use crate::tasks::relays::RenewalTable;
use crate::tasks::{confirmation, engines, levels, machines, relays, retirement, silence, suspicions, trials, usage};
use crate::trial_watch::TrialWatch;
use futures::lock::Mutex;
use saddlerelay_replication::storage::StorageError;
use saddlerelay_replication::{ProposeError, Replica, ReplicaOptions};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::repeated_event::RepeatedEvent;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::protocol::{
    Command, CommandOutcome, ControlReply, ControlRequest, MembershipCommand, Query, QueryAnswer, RenewReply,
    RenewRequest, RolloutCommand,
};
use saddlerelay_types::usage::RelayUsage;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Longest pause between the end of a wait for samples and the look for them.
const WAKE_SPREAD: Duration = Duration::from_millis(10);

/// A control process. Clones are the same process.
pub struct ControlNode<P: Runtime, B: Backends> {
    pub(crate) inner: Rc<Inner<P, B>>,
}

pub(crate) struct Inner<P: Runtime, B: Backends> {
    pub platform: P,
    pub backends: B,
    pub config: ControlConfig,
    pub replica: Replica<P, ControlMachine>,
    pub renewals: RefCell<RenewalTable>,
    /// Relays would act differently if they were told the newest state.
    pub news: Signal,
    /// A trainer has published.
    pub published: Signal,
    /// Samples wait for a relay.
    pub samples_pending: Signal,
    /// Samples wait for their trainer.
    pub samples_ready: Signal,
    /// Held while an answer to a relay, or what engines report, is worked out: one at a time, so that the group's own messages
    /// never wait for more than one of them, however many come at once.
    pub answer_turn: Mutex<()>,
    /// The relays that ask this replica while another one leads.
    pub following: RefCell<Following>,
    /// The leader has confirmed this replica's state.
    pub confirmed: Signal,
    /// Questions that only a leader could answer.
    pub sent_away: RefCell<RepeatedEvent>,
    /// Tries of suspected work that were refused the right to run.
    pub refused_trials: RefCell<RepeatedEvent>,
    /// What instances have told this leader since it leads.
    pub instance_watch: RefCell<InstanceWatch>,
    /// Routing documents on their way to relays.
    pub routing_updates: RefCell<RoutingUpdates>,
    /// Orders that other replicas may have given.
    pub order_watch: RefCell<OrderWatch>,
    /// Rights to run suspected work, and when they were renewed.
    pub trial_watch: RefCell<TrialWatch>,
    /// How old suspicions are by this process's steady clock.
    pub suspicion_watch: RefCell<SuspicionWatch>,
    /// The time of day that most machines agree on.
    pub group_clock: RefCell<GroupClock>,
    /// What relays have counted and what is not committed yet.
    pub usage_inbox: RefCell<Vec<RelayUsage>>,
    /// A batch job has new results or has ended.
    pub job_results: Signal,
    /// There is a new batch job, one has ended, or engines or routes have changed.
    pub job_work: Signal,
    /// When an older build last asked this replica anything.
    pub older_asked_at: Cell<Option<Duration>>,
}

impl<P: Runtime, B: Backends> Clone for ControlNode<P, B> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Opens the replica and starts every task. The caller serves the node's handler on a listener.
    pub async fn start(
        platform: P,
        backends: B,
        config: ControlConfig,
        options: ReplicaOptions,
    ) -> Result<Self, StorageError> {
        let replica = Replica::open(platform.clone(), options, ControlMachine::default()).await?;
        replica.start();
        let renewals = RefCell::default();
        let inner = Rc::new(Inner {
            platform: platform.clone(),
            backends,
            config,
            replica,
            renewals,
            news: Signal::default(),
            published: Signal::default(),
            samples_pending: Signal::default(),
            samples_ready: Signal::default(),
            answer_turn: Mutex::default(),
            following: RefCell::default(),
            confirmed: Signal::default(),
            sent_away: RefCell::default(),
            refused_trials: RefCell::default(),
            instance_watch: RefCell::default(),
            routing_updates: RefCell::default(),
            order_watch: RefCell::default(),
            trial_watch: RefCell::default(),
            suspicion_watch: RefCell::default(),
            group_clock: RefCell::default(),
            usage_inbox: RefCell::default(),
            job_results: Signal::default(),
            job_work: Signal::default(),
            older_asked_at: Cell::default(),
        });
        let node = Self { inner };
        platform.spawn(relays::watch(node.clone()));
        platform.spawn(engines::manage(node.clone()));
        platform.spawn(machines::follow(node.clone()));
        platform.spawn(retirement::watch(node.clone()));
        platform.spawn(silence::watch(node.clone()));
        platform.spawn(confirmation::confirm(node.clone()));
        platform.spawn(usage::commit(node.clone()));
        platform.spawn(suspicions::expire(node.clone()));
        platform.spawn(trials::watch(node.clone()));
        platform.spawn(levels::raise(node.clone()));
        Ok(node)
    }

    /// The replica.
    pub fn replica(&self) -> &Replica<P, ControlMachine> {
        &self.inner.replica
    }

    /// Hands leadership over, as before a planned stop.
    pub async fn hand_over(&self) -> bool {
        self.inner.replica.hand_over().await
    }

    /// Reads this process's copy of the state, however old it is.
    pub fn read_applied<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        self.inner.replica.peek(|machine| read(machine.state()))
    }

    /// Reads the committed state, if this replica leads.
    pub fn read<T>(&self, read: impl FnOnce(&ControlState) -> T) -> Option<T> {
        self.inner.replica.read(|machine| read(machine.state()))
    }

    /// Commits a command with this machine's clock, and wakes whoever waits for what it may have changed.
    pub async fn commit(&self, command: Command) -> Result<CommandOutcome, ProposeError> {
        let time = self.inner.platform.unix_milliseconds();
        let effects = Effects::of(&command);
        let encode = |level| saddlerelay_layouts::commands::encode(time, command, level);
        let outcome = self.inner.replica.propose_as(encode).await;
        self.wake_waiting(effects);
        outcome
    }

    fn wake_waiting(&self, effects: Effects) {
        if effects.news {
            self.inner.news.notify();
        }
        if effects.publication {
            self.inner.published.notify();
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

    /// Answers a request.
    pub async fn answer(&self, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Replication(bytes) => self.answer_replica(&bytes, FeatureLevel::NEWEST).await,
            ControlRequest::Renew(renewal) => self.renew(renewal).await,
            ControlRequest::Execute(command) => self.execute(command).await,
            ControlRequest::Query(query) => self.query(&query),
            ControlRequest::Initialize => self.initialize().await,
            ControlRequest::Gateway(request) => self.answer_gateway(request).await,
        }
    }

    async fn initialize(&self) -> ControlReply {
        match self.inner.replica.initialize().await {
            Ok(true) => ControlReply::Executed(CommandOutcome::Applied(true)),
            Ok(false) => ControlReply::Refused("this replica already belongs to a group".to_string()),
            Err(error) => ControlReply::Refused(error.to_string()),
        }
    }

    /// The answer to whoever has to ask the leader.
    pub(crate) fn not_leader(&self) -> ControlReply {
        let leader = self.inner.replica.leader_address();
        let peers = match leader {
            Some(_) => Vec::new(),
            None => self.inner.replica.peers_by_likelihood(),
        };
        if leader.is_none() {
            self.tell_sent_away();
        }
        ControlReply::NotLeader { leader, peers }
    }

    /// Says that callers were sent away without a leader's name, and what this replica knows of the group.
    fn tell_sent_away(&self) {
        let now = self.inner.platform.monotonic();
        let Some(questions) = self.inner.sent_away.borrow_mut().count(now) else {
            return;
        };
        let replica = &self.inner.replica;
        spdlog::warn!("no leader to name", kv: {
            dependency = "leader",
            questions = questions,
            replica = replica.id().0,
            is_member = replica.is_member(),
            members_known = replica.member_addresses().len(),
            peers_known = replica.known_peers().len(),
            applied = replica.applied_index()
        });
    }

    /// Commits a command. One that would change nothing is kept open for a while, so that relays and trainers need not
    /// ask again and again, and costs no log entry.
    async fn execute(&self, command: Command) -> ControlReply {
        let until = self.inner.platform.monotonic() + self.inner.config.idle_wait;
        loop {
            let awaited = self.awaited(&command);
            let seen = awaited.count();
            let outcome = match self.read(|state| idle_outcome(state, &command)) {
                None => return self.not_leader(),
                Some(None) => return self.execute_by_commit(command).await,
                Some(Some(outcome)) => outcome,
            };
            let left = until.saturating_sub(self.inner.platform.monotonic());
            if left.is_zero() {
                return ControlReply::Executed(outcome);
            }
            timeout(&self.inner.platform, left, awaited.changed(seen)).await;
            // Those woken together do not all ask for the same samples: most find them taken when they look again.
            let spread = self.inner.platform.jitter(WAKE_SPREAD);
            self.inner.platform.sleep(spread).await;
        }
    }

    /// What a command that would change nothing waits for.
    fn awaited(&self, command: &Command) -> &Signal {
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
            Err(ProposeError::Undecided) => ControlReply::Undecided,
            Err(ProposeError::NotAtThisLevel) => {
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
                    Some(QueryAnswer::Relays(state.configuration.revision(), views))
                }
                _ => self.inner.replica.view().map(QueryAnswer::Group),
            })
        });
        match answer.flatten() {
            Some(answer) => ControlReply::Answer(answer),
            None => self.not_leader(),
        }
    }

    async fn renew(&self, renewal: RenewRequest) -> ControlReply {
        let relay = renewal.relay.incarnation;
        let standing = self.read(|state| (state.members.is_live(relay), state.members.is_lost(relay)));
        let Some((live, lost)) = standing else {
            return self.not_leader();
        };
        let joined = live || !lost && self.admit_relay(&renewal).await;
        if joined {
            let now = self.inner.platform.monotonic();
            self.inner.renewals.borrow_mut().record(relay, now, renewal.configuration);
        } else if !lost && self.inner.replica.leading_term().is_none() {
            return self.not_leader();
        }
        self.renewal_answer(&renewal).await
    }

    /// Answers a renewal as soon as there is something new, or after a while. Changes that come close together are told
    /// together.
    async fn renewal_answer(&self, renewal: &RenewRequest) -> ControlReply {
        let until = self.inner.platform.monotonic() + self.inner.config.renewal_wait;
        loop {
            let seen = self.inner.news.count();
            let Some(reply) = self.read(|state| self.renewal_reply(state, renewal)) else {
                return self.not_leader();
            };
            let left = until.saturating_sub(self.inner.platform.monotonic());
            if left.is_zero() || reply.brings_news(renewal) {
                return ControlReply::Renewed(reply);
            }
            if timeout(&self.inner.platform, left, self.inner.news.changed(seen)).await.is_some() {
                self.inner.platform.sleep(self.inner.config.news_interval).await;
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

/// What a command may change that somebody waits for.
#[derive(Clone, Copy, Debug)]
struct Effects {
    /// What relays act on.
    news: bool,
    /// The version that engines should run.
    publication: bool,
    /// Which samples wait for a relay or for their trainer.
    samples: bool,
    /// What batch jobs are to do.
    job_work: bool,
    /// What batch jobs have brought.
    job_results: bool,
}

impl Effects {
    fn of(command: &Command) -> Self {
        let publication = matches!(command, Command::Rollout(RolloutCommand::Publish { .. }));
        let (news, samples) = match command {
            Command::Configuration(_) => (true, false),
            Command::Membership(MembershipCommand::DrawFence) => (false, false),
            Command::Membership(MembershipCommand::RelayLost(_) | MembershipCommand::RelayJoined(_)) => (true, true),
            Command::Membership(_) => (true, false),
            Command::Rollout(_) => (publication, true),
            Command::Claim(_) => (false, false),
            Command::Gateway(command) => (gateway::changes_what_relays_act_on(command), false),
        };
        let (job_work, job_results) = match command {
            Command::Gateway(command) => gateway::effect_on_jobs(command),
            _ => (false, false),
        };
        Self { news, publication, samples, job_work, job_results }
    }
}

/// The outcome of a command that would change nothing, so that polling costs no log entries.
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
