//! Requests about routing documents, engine instances, published weight versions, store machines and the duties of the
//! leader (usage reports and engine counts). Polls of relays are handled in `follow`, requests about batch jobs in
//! `job_requests`.

use crate::large_replies::Content;
use crate::node::ControlNode;
use crate::older_level::{filter_by_name, strip_start_times, unlogged_outcome};
use crate::state::ControlState;
use crate::state::stores::Retirement;
use saddlerelay_replication::ProposeError;
use saddlerelay_rpc::reply_memory::Reservation;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_types::gateway::{
    DutyOverview, EngineCountStatus, EnginePool, GatewayCommand, GatewayOutcome, GatewayReply, GatewayRequest,
    StoreRecord,
};
use saddlerelay_types::instance::{
    InstanceHeartbeat, InstanceId, InstanceReport, InstanceState, LoadedModel, ReportBatch,
};
use saddlerelay_types::protocol::{Command, CommandOutcome, ControlReply};
use saddlerelay_types::routing::RoutingDocument;
use std::collections::BTreeSet;
use std::time::Duration;

/// A replica whose last message to the leader is older than this does not count towards the replicas that remain when a
/// store machine is retired.
const REPLICA_SILENCE_LIMIT_MS: u64 = 1_000;

/// Maximum number of reports and heartbeats in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 4_096;

/// Whether `command` changes state that is sent to relays.
pub(crate) fn affects_relays(command: &GatewayCommand) -> bool {
    matches!(
        command,
        GatewayCommand::PutRouting(_)
            | GatewayCommand::ReportInstances(_)
            | GatewayCommand::RecordSilence { .. }
            | GatewayCommand::RemoveInstance(_)
            | GatewayCommand::RecordEvidence(_)
            | GatewayCommand::ExpireSuspicions
            | GatewayCommand::ReleaseWork(_)
    )
}

/// Whether `command` requires a notification of the runner of batch jobs, and of the readers of their results.
pub(crate) fn job_effects(command: &GatewayCommand) -> (bool, bool) {
    match command {
        GatewayCommand::ListResults { .. } => (false, true),
        GatewayCommand::EndJob(_) => (true, true),
        GatewayCommand::SubmitJob { .. } | GatewayCommand::PublishVersion(_) => (true, false),
        other => (affects_relays(other), false),
    }
}

/// Received reports by the action they need.
struct ClassifiedReports<'a> {
    /// Reports that change the state and must be committed.
    changed: Vec<InstanceReport>,
    /// Reports to record locally: of registered instances, and of those that are registered by the report. Others are
    /// left out, so that reports with arbitrary names use no memory.
    reports: Vec<&'a InstanceReport>,
    /// Heartbeats of registered instances, to record locally.
    heartbeats: Vec<&'a InstanceHeartbeat>,
    /// Instances without any record that sent only a heartbeat; a full report is requested from them.
    unknown: Vec<InstanceId>,
}

fn classify<'a>(state: &ControlState, reports: &'a ReportBatch) -> ClassifiedReports<'a> {
    let is_registered = |heartbeat: &&InstanceHeartbeat| {
        state.instances.get(&heartbeat.id).is_some_and(|record| record.state != InstanceState::Gone)
    };
    let without_record = reports.heartbeats.iter().filter(|heartbeat| !state.has_record_of(&heartbeat.id));
    ClassifiedReports {
        changed: reports.changed.iter().filter(|report| state.would_change(report)).cloned().collect(),
        reports: reports.changed.iter().filter(|report| state.proves_liveness(report)).collect(),
        heartbeats: reports.heartbeats.iter().filter(is_registered).collect(),
        unknown: without_record.map(|heartbeat| heartbeat.id.clone()).collect(),
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    pub(crate) async fn handle_gateway(
        &self,
        request: GatewayRequest,
        reservation: &mut Option<Reservation>,
    ) -> ControlReply {
        match request {
            GatewayRequest::Follow(follow) => self.follow(follow, reservation).await,
            GatewayRequest::ReportInstance(report) => {
                self.report_instances(ReportBatch { changed: vec![report], heartbeats: Vec::new() }).await
            }
            GatewayRequest::ReportInstances(reports) => self.report_instances(reports).await,
            GatewayRequest::Confirm(relay_data) => self.confirm(relay_data),
            GatewayRequest::RemoveInstance(id) => self.remove_instance(id).await,
            GatewayRequest::PutRouting(document) => self.put_routing(document).await,
            GatewayRequest::ReadRouting => self.read_routing(reservation).await,
            GatewayRequest::PublishVersion(published) => self.publish_version(published).await,
            GatewayRequest::SubmitJob(job) => self.submit_job(job).await,
            GatewayRequest::ReadResults { job, after, wait_ms, caller } => {
                self.read_results(&job, after, wait_ms, &caller, reservation).await
            }
            GatewayRequest::ReadIndex => self.reply(self.inner.replica.read_index().map(GatewayReply::Position)),
            GatewayRequest::ReadResultsAt { position, job, after, wait_ms, caller } => {
                self.read_results_at(position, &job, after, wait_ms, &caller, reservation).await
            }
            GatewayRequest::ReadBody { job, item, caller } => self.read_body(&job, &item, &caller),
            GatewayRequest::EndJob { job, caller } => self.end_job(job, &caller).await,
            GatewayRequest::RegisterStore(record) => self.register_store(record).await,
            GatewayRequest::RetireStore(name) => self.retire_store(name).await,
            GatewayRequest::ReadRetirement(name) => self.read_retirement(&name),
            GatewayRequest::ReadDuties => self.read_duties(),
            GatewayRequest::ReportEvidence(evidence) => self.handle_evidence(evidence).await,
            GatewayRequest::BeginTrial(trial) => self.handle_begin_trial(trial).await,
            GatewayRequest::RenewTrials(trials) => self.execute_gateway(GatewayCommand::RenewTrials(trials)).await,
            GatewayRequest::EndTrial { work, id } => self.execute_gateway(GatewayCommand::EndTrial { work, id }).await,
            GatewayRequest::ReadSuspicions => self.read_suspicions(),
            GatewayRequest::ReleaseWork(work) => self.release_work(work).await,
        }
    }

    pub(crate) fn reply(&self, reply: Option<GatewayReply>) -> ControlReply {
        reply.map_or_else(|| self.not_leader(), ControlReply::Gateway)
    }

    /// Commits a gateway command. At feature level one, commands that the log cannot express get a fixed outcome.
    pub async fn commit_gateway(&self, command: GatewayCommand) -> Result<GatewayOutcome, ProposeError> {
        if self.leads_at_level_one()
            && let Some(outcome) = unlogged_outcome(&command)
        {
            return Ok(outcome);
        }
        match self.commit(Command::Gateway(command)).await? {
            CommandOutcome::Gateway(outcome) => Ok(outcome),
            _ => unreachable!("a gateway command has a gateway outcome"),
        }
    }

    pub(crate) async fn execute_gateway(&self, command: GatewayCommand) -> ControlReply {
        match self.commit_gateway(command).await {
            Ok(GatewayOutcome::NotFound) => ControlReply::Gateway(GatewayReply::NotFound),
            Ok(GatewayOutcome::Trial(answer)) => ControlReply::Gateway(GatewayReply::Trial(answer)),
            Ok(GatewayOutcome::TrialsLost(lost)) => ControlReply::Gateway(GatewayReply::TrialsLost(lost)),
            Ok(GatewayOutcome::Done | GatewayOutcome::TextMissing(_) | GatewayOutcome::Orders { .. }) => {
                ControlReply::Gateway(GatewayReply::Done)
            }
            Err(error) => self.not_committed(&error),
        }
    }

    /// The reply to a command that was not committed, or whose outcome is unknown.
    pub(crate) fn not_committed(&self, error: &ProposeError) -> ControlReply {
        match error {
            ProposeError::NotLeader(_) => self.not_leader(),
            ProposeError::Overloaded | ProposeError::UnsupportedAtLevel => {
                ControlReply::Gateway(GatewayReply::Unavailable)
            }
            ProposeError::OutcomeUnknown => ControlReply::Undecided,
        }
    }

    /// Notified when batch jobs, engines or routes change.
    pub fn job_work(&self) -> &Signal {
        &self.inner.job_work
    }

    /// The models that an instance last reported as loaded, and when this leader last received a report or heartbeat.
    pub fn reported_models(&self, id: &InstanceId) -> Option<(Duration, Vec<LoadedModel>)> {
        let watch = self.inner.instance_watch.borrow();
        watch.models(id).map(|(at, models)| (at, models.to_vec()))
    }

    /// The instances whose loaded models were reported to this leader since the last call.
    pub fn take_unread_reports(&self) -> BTreeSet<InstanceId> {
        self.inner.instance_watch.borrow_mut().take_unread()
    }

    async fn report_instances(&self, reports: ReportBatch) -> ControlReply {
        let Some(term) = self.inner.replica.leading_term().filter(|_| self.leads_at_level_one()) else {
            return self.accept_reports(reports).await;
        };
        let heartbeat_ids: Vec<InstanceId> = reports.heartbeats.iter().map(|heartbeat| heartbeat.id.clone()).collect();
        let reports = {
            let mut watch = self.inner.instance_watch.borrow_mut();
            watch.reset_for_term(term);
            strip_start_times(reports, &mut watch)
        };
        match self.accept_reports(reports).await {
            ControlReply::Gateway(GatewayReply::ReportsMissing(missing)) => {
                ControlReply::Gateway(GatewayReply::ReportsMissing(filter_by_name(&missing, heartbeat_ids.into_iter())))
            }
            other => other,
        }
    }

    async fn accept_reports(&self, reports: ReportBatch) -> ControlReply {
        let count = reports.changed.len() + reports.heartbeats.len();
        if count > MAX_REPORTS_PER_MESSAGE {
            return ControlReply::Refused(format!("{count} reports in one message exceed the limit"));
        }
        let guard = self.inner.reply_lock.lock().await;
        let now = self.inner.platform.monotonic();
        let (Some(classified), Some(term)) =
            (self.read(|state| classify(state, &reports)), self.inner.replica.leading_term())
        else {
            return self.not_leader();
        };
        {
            let mut watch = self.inner.instance_watch.borrow_mut();
            watch.reset_for_term(term);
            classified.reports.iter().for_each(|report| watch.record_report(report, now));
            classified.heartbeats.iter().for_each(|heartbeat| watch.record_heartbeat(heartbeat, now));
        }
        drop(guard);
        let committed = match classified.changed.is_empty() {
            true => ControlReply::Gateway(GatewayReply::Done),
            false => self.execute_gateway(GatewayCommand::ReportInstances(classified.changed)).await,
        };
        match committed {
            ControlReply::Gateway(GatewayReply::Done) if !classified.unknown.is_empty() => {
                ControlReply::Gateway(GatewayReply::ReportsMissing(classified.unknown))
            }
            other => other,
        }
    }

    async fn remove_instance(&self, id: InstanceId) -> ControlReply {
        self.execute_gateway(GatewayCommand::RemoveInstance(id)).await
    }

    async fn put_routing(&self, document: RoutingDocument) -> ControlReply {
        if let Some(error) = document.error() {
            return ControlReply::Gateway(GatewayReply::InvalidRouting(error));
        }
        let is_superseded =
            self.read(|state| state.routing.version().is_some_and(|current| document.version <= current));
        match is_superseded {
            None => self.not_leader(),
            Some(true) => ControlReply::Gateway(GatewayReply::Done),
            Some(false) => self.execute_gateway(GatewayCommand::PutRouting(document)).await,
        }
    }

    async fn read_routing(&self, reservation: &mut Option<Reservation>) -> ControlReply {
        let bytes = self.read(|state| state.routing.current().map_or(0, |document| document.source.len()));
        let bytes = bytes.unwrap_or_default();
        if !self.reserve_reply(reservation, Content::Routing, bytes, 0).await {
            return ControlReply::Gateway(GatewayReply::Unavailable);
        }
        let source = self.read(|state| state.routing.current().map(|document| document.source.clone()));
        self.reply(source.map(GatewayReply::Routing))
    }

    async fn publish_version(&self, published: LoadedModel) -> ControlReply {
        let is_superseded = self.read(|state| {
            state.weights.published().get(&published.model).is_some_and(|current| *current >= published.version)
        });
        match is_superseded {
            None => self.not_leader(),
            Some(true) => ControlReply::Gateway(GatewayReply::Done),
            Some(false) => self.execute_gateway(GatewayCommand::PublishVersion(published)).await,
        }
    }

    async fn register_store(&self, record: StoreRecord) -> ControlReply {
        match self.read(|state| state.stores.is_registered(&record)) {
            None => self.not_leader(),
            Some(true) => ControlReply::Gateway(GatewayReply::Done),
            Some(false) => self.execute_gateway(GatewayCommand::RegisterStore(record)).await,
        }
    }

    async fn retire_store(&self, name: String) -> ControlReply {
        let store = self.read(|state| state.stores.get(&name).map(|store| (store.retirement, store.record.clone())));
        match store {
            None => self.not_leader(),
            Some(None) => ControlReply::Gateway(GatewayReply::NotFound),
            Some(Some((Retirement::None, record))) if !self.leaves_enough_replicas(&record) => {
                ControlReply::Gateway(GatewayReply::TooFew)
            }
            Some(Some((Retirement::None, _))) => self.execute_gateway(GatewayCommand::RetireStore(name)).await,
            Some(Some(_)) => ControlReply::Gateway(GatewayReply::Done),
        }
    }

    /// Whether enough live replicas remain for the target number of voters once this machine has left.
    fn leaves_enough_replicas(&self, record: &StoreRecord) -> bool {
        let Some(view) = self.inner.replica.view() else {
            return false;
        };
        let unwanted: Vec<_> = self.read(|state| state.stores.unwanted_replicas().collect()).unwrap_or_default();
        let remains = |replica: &&saddlerelay_types::protocol::ReplicaView| {
            replica.heard_milliseconds_ago < REPLICA_SILENCE_LIMIT_MS
                && replica.id != record.replica
                && !unwanted.contains(&replica.id)
        };
        view.replicas.iter().filter(remains).count() >= self.inner.replica.target_voters()
    }

    fn read_duties(&self) -> ControlReply {
        let overview = self.read(|state| {
            let engine_count_status = |(pool, wanted): (&EnginePool, &u32)| EngineCountStatus {
                place: pool.clone(),
                wanted: *wanted,
                present: state.instances.available(pool),
            };
            DutyOverview {
                leader: self.inner.replica.id(),
                holder: state.orders.holder(),
                newest_reported: state.usage.newest_reported(),
                unreported: state.usage.unreported().map(|report| report.window).collect(),
                uncounted: state.usage.late_requests(),
                engines: state.engine_counts.wanted().iter().map(engine_count_status).collect(),
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
