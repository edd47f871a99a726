//! Answers about routed requests, engine instances, named versions, duties and store machines; those about batch jobs are in
//! `job_calls`.

use crate::node::ControlNode;
use crate::state::ControlState;
use crate::state::stores::Retirement;
use saddlerelay_replication::ProposeError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{
    DutyOverview, EnginePlace, EngineStanding, FollowReply, FollowRequest, GatewayCommand, GatewayOutcome,
    GatewayReply, GatewayRequest, StoreRecord,
};
use saddlerelay_types::instance::{InstanceId, InstanceReport, LoadedModel};
use saddlerelay_types::protocol::{Command, CommandOutcome, ControlReply};
use saddlerelay_types::routing::RoutingDocument;
use saddlerelay_types::usage::RelayUsage;
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which a machine is not counted among those that are left when another is to be emptied.
const STORE_SILENCE_MS: u64 = 1_000;

/// Whether relays would act differently after `command`.
pub(crate) fn changes_what_relays_act_on(command: &GatewayCommand) -> bool {
    matches!(
        command,
        GatewayCommand::PutRouting(_)
            | GatewayCommand::ReportInstance(_)
            | GatewayCommand::RemoveInstance(_)
            | GatewayCommand::TakeEvidence(_)
            | GatewayCommand::ExpireSuspicions
            | GatewayCommand::ReleaseWork(_)
    )
}

/// Whether `command` changes what batch jobs are to do, and whether it changes what can be read of them.
pub(crate) fn effect_on_jobs(command: &GatewayCommand) -> (bool, bool) {
    match command {
        GatewayCommand::ListResults { .. } => (false, true),
        GatewayCommand::EndJob(_) => (true, true),
        GatewayCommand::SubmitJob { .. } | GatewayCommand::NameVersion(_) => (true, false),
        other => (changes_what_relays_act_on(other), false),
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    pub(crate) async fn answer_gateway(&self, request: GatewayRequest) -> ControlReply {
        match request {
            GatewayRequest::Follow(follow) => self.follow(follow).await,
            GatewayRequest::ReportInstance(report) => self.report_instance(report).await,
            GatewayRequest::RemoveInstance(id) => self.remove_instance(id).await,
            GatewayRequest::PutRouting(document) => self.put_routing(document).await,
            GatewayRequest::ReadRouting => self.read_routing(),
            GatewayRequest::NameVersion(named) => self.name_version(named).await,
            GatewayRequest::SubmitJob(job) => self.submit_job(job).await,
            GatewayRequest::ReadResults { job, after, wait_ms, caller } => {
                self.read_results(&job, after, wait_ms, &caller).await
            }
            GatewayRequest::ReadPosition => self.reply(self.inner.replica.read_position().map(GatewayReply::Position)),
            GatewayRequest::ReadResultsAt { position, job, after, wait_ms, caller } => {
                self.read_results_at(position, &job, after, wait_ms, &caller).await
            }
            GatewayRequest::ReadBody { job, item, caller } => self.read_body(&job, &item, &caller),
            GatewayRequest::EndJob { job, caller } => self.end_job(job, &caller).await,
            GatewayRequest::RegisterStore(record) => self.register_store(record).await,
            GatewayRequest::RetireStore(name) => self.retire_store(name).await,
            GatewayRequest::ReadRetirement(name) => self.read_retirement(&name),
            GatewayRequest::ReadDuties => self.read_duties(),
            GatewayRequest::TakeEvidence(evidence) => self.take_evidence(evidence).await,
            GatewayRequest::BeginTrial(trial) => self.execute_gateway(GatewayCommand::BeginTrial(trial)).await,
            GatewayRequest::EndTrial { work, id } => self.execute_gateway(GatewayCommand::EndTrial { work, id }).await,
            GatewayRequest::ReadSuspicions => self.read_suspicions(),
            GatewayRequest::ReleaseWork(work) => self.release_work(work).await,
        }
    }

    pub(crate) fn reply(&self, reply: Option<GatewayReply>) -> ControlReply {
        reply.map_or_else(|| self.not_leader(), ControlReply::Gateway)
    }

    /// Commits a gateway command.
    pub async fn commit_gateway(&self, command: GatewayCommand) -> Result<GatewayOutcome, ProposeError> {
        match self.commit(Command::Gateway(command)).await? {
            CommandOutcome::Gateway(outcome) => Ok(outcome),
            _ => unreachable!("a gateway command has a gateway outcome"),
        }
    }

    pub(crate) async fn execute_gateway(&self, command: GatewayCommand) -> ControlReply {
        match self.commit_gateway(command).await {
            Ok(GatewayOutcome::NotFound) => ControlReply::Gateway(GatewayReply::NotFound),
            Ok(GatewayOutcome::Trial(answer)) => ControlReply::Gateway(GatewayReply::Trial(answer)),
            Ok(GatewayOutcome::Done | GatewayOutcome::TextMissing(_) | GatewayOutcome::Orders { .. }) => {
                ControlReply::Gateway(GatewayReply::Done)
            }
            Err(ProposeError::NotLeader(leader)) => ControlReply::NotLeader { leader },
            Err(ProposeError::Overloaded) => ControlReply::Gateway(GatewayReply::Unavailable),
            Err(ProposeError::Undecided) => ControlReply::Undecided,
        }
    }

    /// Answers as soon as there is something new, or after a while.
    async fn follow(&self, mut follow: FollowRequest) -> ControlReply {
        let platform = &self.inner.platform;
        self.inner.group_clock.borrow_mut().hear(&follow.relay, follow.unix_ms, platform.monotonic());
        if let Some(difference) = follow.usage.take() {
            self.take_usage(RelayUsage { relay: follow.incarnation, difference });
        }
        let until = platform.monotonic() + self.inner.config.renewal_wait;
        loop {
            let seen = self.inner.news.count();
            let Some(reply) = self.read(|state| self.follow_reply(state, &follow)) else {
                return self.not_leader();
            };
            let left = until.saturating_sub(platform.monotonic());
            if left.is_zero() || brings_news(&reply, &follow) {
                return ControlReply::Gateway(GatewayReply::Followed(reply));
            }
            timeout(platform, left, self.inner.news.changed(seen)).await;
        }
    }

    /// Takes a relay's counts, unless they are committed or wait already.
    fn take_usage(&self, usage: RelayUsage) {
        let committed = self.read(|state| state.usage.taken_from(usage.relay) >= usage.difference.sequence);
        let mut inbox = self.inner.usage_inbox.borrow_mut();
        if committed == Some(false) && !inbox.contains(&usage) {
            inbox.push(usage);
        }
    }

    /// The time of day that most machines agree on, in Unix milliseconds; `None` until relays have been heard for a while.
    pub fn group_unix_ms(&self) -> Option<u64> {
        let platform = &self.inner.platform;
        self.inner.group_clock.borrow().unix_ms(platform.unix_milliseconds(), platform.monotonic())
    }

    fn follow_reply(&self, state: &ControlState, follow: &FollowRequest) -> FollowReply {
        let mut updates = self.inner.routing_updates.borrow_mut();
        let routing = state.routing.current().and_then(|current| updates.update(current, follow.routing_version));
        let replicas = self.inner.replica.member_addresses();
        let nearest_replica = nearest_replica(state, &replicas, follow);
        FollowReply {
            lease_ms: self.inner.config.follow_lease.as_millis() as u64,
            routing,
            instance_revision: state.instances.revision(),
            instances: state.instances.changed_after(follow.instance_revision),
            silent: self.silent_instances(state),
            replicas,
            nearest_replica,
            group_unix_ms: self.group_unix_ms(),
            usage_taken: state.usage.taken_from(follow.incarnation),
            suspicions: state.suspicions.newer_than(follow.suspicion_revision),
        }
    }

    /// Ready instances whose reports have ceased.
    pub fn silent_instances(&self, state: &ControlState) -> Vec<InstanceId> {
        let now = self.inner.platform.monotonic();
        self.follow_instance_term(now);
        self.inner.instance_watch.borrow().silent(&state.instances, now, self.inner.config.instance_silence)
    }

    /// Notified when batch jobs, engines or routes change.
    pub fn job_work(&self) -> &Signal {
        &self.inner.job_work
    }

    /// What an instance last told this leader that it has loaded, and when.
    pub fn reported_models(&self, id: &InstanceId) -> Option<(Duration, Vec<LoadedModel>)> {
        let watch = self.inner.instance_watch.borrow();
        watch.models(id).map(|(at, models)| (at, models.to_vec()))
    }

    fn follow_instance_term(&self, now: Duration) {
        if let Some(term) = self.inner.replica.leading_term() {
            self.inner.instance_watch.borrow_mut().follow_term(term, now);
        }
    }

    async fn report_instance(&self, report: InstanceReport) -> ControlReply {
        let now = self.inner.platform.monotonic();
        let Some(news) = self.read(|state| state.instances.is_news(&report)) else {
            return self.not_leader();
        };
        self.follow_instance_term(now);
        self.inner.instance_watch.borrow_mut().hear(&report, now);
        if !news {
            return ControlReply::Gateway(GatewayReply::Done);
        }
        self.execute_gateway(GatewayCommand::ReportInstance(report)).await
    }

    async fn remove_instance(&self, id: InstanceId) -> ControlReply {
        self.execute_gateway(GatewayCommand::RemoveInstance(id)).await
    }

    async fn put_routing(&self, document: RoutingDocument) -> ControlReply {
        if let Some(error) = document.error() {
            return ControlReply::Gateway(GatewayReply::InvalidRouting(error));
        }
        let overtaken = self.read(|state| state.routing.version().is_some_and(|held| document.version <= held));
        match overtaken {
            None => self.not_leader(),
            Some(true) => ControlReply::Gateway(GatewayReply::Done),
            Some(false) => self.execute_gateway(GatewayCommand::PutRouting(document)).await,
        }
    }

    fn read_routing(&self) -> ControlReply {
        let source = self.read(|state| state.routing.current().map(|document| document.source.clone()));
        self.reply(source.map(GatewayReply::Routing))
    }

    async fn name_version(&self, named: LoadedModel) -> ControlReply {
        let held =
            self.read(|state| state.weights.named().get(&named.model).is_some_and(|held| *held >= named.version));
        match held {
            None => self.not_leader(),
            Some(true) => ControlReply::Gateway(GatewayReply::Done),
            Some(false) => self.execute_gateway(GatewayCommand::NameVersion(named)).await,
        }
    }

    async fn register_store(&self, record: StoreRecord) -> ControlReply {
        match self.read(|state| state.stores.holds(&record)) {
            None => self.not_leader(),
            Some(true) => ControlReply::Gateway(GatewayReply::Done),
            Some(false) => self.execute_gateway(GatewayCommand::RegisterStore(record)).await,
        }
    }

    async fn retire_store(&self, name: String) -> ControlReply {
        let standing = self.read(|state| state.stores.get(&name).map(|store| (store.retirement, store.record.clone())));
        match standing {
            None => self.not_leader(),
            Some(None) => ControlReply::Gateway(GatewayReply::NotFound),
            Some(Some((Retirement::None, record))) if !self.enough_without(&record) => {
                ControlReply::Gateway(GatewayReply::TooFew)
            }
            Some(Some((Retirement::None, _))) => self.execute_gateway(GatewayCommand::RetireStore(name)).await,
            Some(Some(_)) => ControlReply::Gateway(GatewayReply::Done),
        }
    }

    /// Whether as many replicas as the group wants would be left without this machine.
    fn enough_without(&self, record: &StoreRecord) -> bool {
        let Some(view) = self.inner.replica.view() else {
            return false;
        };
        let unwanted: Vec<_> = self.read(|state| state.stores.unwanted_replicas().collect()).unwrap_or_default();
        let counts = |replica: &&saddlerelay_types::protocol::ReplicaView| {
            replica.heard_milliseconds_ago < STORE_SILENCE_MS
                && replica.id != record.replica
                && !unwanted.contains(&replica.id)
        };
        view.replicas.iter().filter(counts).count() >= self.inner.replica.target_voters()
    }

    fn read_duties(&self) -> ControlReply {
        let overview = self.read(|state| {
            let silent = self.silent_instances(state);
            let standing = |(place, wanted): (&EnginePlace, &u32)| EngineStanding {
                place: place.clone(),
                wanted: *wanted,
                present: state.instances.present(place, &silent),
            };
            DutyOverview {
                leader: self.inner.replica.id(),
                holder: state.orders.holder(),
                newest_reported: state.usage.newest_reported(),
                unreported: state.usage.unreported().map(|report| report.window).collect(),
                uncounted: state.usage.uncounted(),
                engines: state.engine_counts.wanted().iter().map(standing).collect(),
            }
        });
        self.reply(overview.map(GatewayReply::Duties))
    }

    fn read_retirement(&self, name: &str) -> ControlReply {
        let retirement = self.read(|state| state.stores.get(name).map(|store| store.retirement));
        let reply = retirement.map(|retirement| match retirement {
            None | Some(Retirement::None) => GatewayReply::NotFound,
            Some(Retirement::Running) => GatewayReply::Retirement { completed: false },
            Some(Retirement::Completed) => GatewayReply::Retirement { completed: true },
        });
        self.reply(reply)
    }
}

/// A member in the relay's zone; relays of one zone are shared out among several.
fn nearest_replica(state: &ControlState, members: &[SocketAddr], follow: &FollowRequest) -> Option<SocketAddr> {
    let near: Vec<SocketAddr> =
        state.stores.addresses_in(&follow.zone).filter(|address| members.contains(address)).collect();
    let hash = xxhash_rust::xxh3::xxh3_64(follow.relay.as_bytes());
    near.get(hash as usize % near.len().max(1)).copied()
}

fn brings_news(reply: &FollowReply, follow: &FollowRequest) -> bool {
    reply.routing.is_some()
        || reply.suspicions.is_some()
        || reply.instance_revision != follow.instance_revision
        || reply.silent != follow.silent
}
