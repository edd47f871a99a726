//! Between layouts of level one and today's types. What comes from level one always has a meaning today; the other way round
//! `None` says that level one has no words for it.

use crate::level_one::gateway as one;
use crate::level_one::protocol as one_protocol;
use crate::level_one::routing as one_routing;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, GatewayReply, GatewayRequest, OrderSubject};
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceReport};
use saddlerelay_types::job::JobSubmission;
use saddlerelay_types::protocol::{Command, CommandOutcome, ControlReply, ControlRequest, RenewReply, RenewRequest};
use saddlerelay_types::routing::{Route, RoutingDocument, RoutingError, Service};
use saddlerelay_types::routing_update::{EncodedRoutingUpdate, RoutingUpdate, TenantUpdate};
use saddlerelay_types::tenancy::Caller;

impl From<one::InstanceId> for InstanceId {
    fn from(id: one::InstanceId) -> Self {
        Self::named(id.0)
    }
}

impl From<&InstanceId> for one::InstanceId {
    /// The start is left out.
    fn from(id: &InstanceId) -> Self {
        Self(id.name.clone())
    }
}

impl From<one::InstanceReport> for InstanceReport {
    fn from(report: one::InstanceReport) -> Self {
        Self {
            id: report.id.into(),
            service: report.service,
            address: report.address,
            zone: report.zone,
            slots: report.slots,
            leaving: report.leaving,
            models: report.models,
            sequence: report.sequence,
        }
    }
}

impl From<InstanceReport> for one::InstanceReport {
    fn from(report: InstanceReport) -> Self {
        Self {
            id: (&report.id).into(),
            service: report.service,
            address: report.address,
            zone: report.zone,
            slots: report.slots,
            leaving: report.leaving,
            models: report.models,
            sequence: report.sequence,
        }
    }
}

impl one::InstanceRecord {
    /// The record, with what level one says apart of its silence.
    pub fn with_silence(self, silent: bool) -> InstanceRecord {
        InstanceRecord { report: self.report.into(), state: self.state, silent, revision: self.revision }
    }
}

impl From<InstanceRecord> for one::InstanceRecord {
    fn from(record: InstanceRecord) -> Self {
        Self { report: record.report.into(), state: record.state, revision: record.revision }
    }
}

impl From<one::JobSubmission> for JobSubmission {
    fn from(job: one::JobSubmission) -> Self {
        Self {
            id: job.id,
            host: job.host,
            path: job.path,
            model: job.model,
            step: job.step,
            minimum_version: job.minimum_version,
            wanted_groups: job.wanted_groups,
            items: job.items,
            owner: None,
        }
    }
}

impl one::JobSubmission {
    /// The job, unless it has an owner.
    pub fn of(job: JobSubmission) -> Option<Self> {
        job.owner.is_none().then_some(Self {
            id: job.id,
            host: job.host,
            path: job.path,
            model: job.model,
            step: job.step,
            minimum_version: job.minimum_version,
            wanted_groups: job.wanted_groups,
            items: job.items,
        })
    }
}

impl From<one_routing::Route> for Route {
    fn from(route: one_routing::Route) -> Self {
        Self {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            priority: route.priority,
            targets: route.targets,
            max_attempts: route.max_attempts,
            resumable: route.resumable,
            public: false,
            batch: route.batch,
        }
    }
}

impl one_routing::Route {
    /// The route, unless it is public: where no keys are asked for, that says nothing and level one has no word for it.
    pub fn of(route: Route) -> Option<Self> {
        (!route.public).then_some(Self {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            priority: route.priority,
            targets: route.targets,
            max_attempts: route.max_attempts,
            resumable: route.resumable,
            batch: route.batch,
        })
    }
}

impl From<one_routing::Service> for Service {
    fn from(service: one_routing::Service) -> Self {
        Self {
            name: service.name,
            health_path: service.health_path,
            max_connections: service.max_connections,
            hosting: service.hosting,
            scaling: None,
        }
    }
}

impl one_routing::Service {
    /// The service, unless it has limits of scaling.
    pub fn of(service: Service) -> Option<Self> {
        service.scaling.is_none().then_some(Self {
            name: service.name,
            health_path: service.health_path,
            max_connections: service.max_connections,
            hosting: service.hosting,
        })
    }
}

impl From<one_routing::RoutingDocument> for RoutingDocument {
    fn from(document: one_routing::RoutingDocument) -> Self {
        Self {
            version: document.version,
            routes: document.routes.into_iter().map(Into::into).collect(),
            services: document.services.into_iter().map(Into::into).collect(),
            limits: document.limits,
            tenants: None,
            source: document.source,
        }
    }
}

impl one_routing::RoutingDocument {
    /// The document, unless it lists tenants or says of a route or service what level one has no words for: whoever took it
    /// for whole would serve callers that it shuts out.
    pub fn of(document: RoutingDocument) -> Option<Self> {
        if document.tenants.is_some() {
            return None;
        }
        Some(Self {
            version: document.version,
            routes: document.routes.into_iter().map(one_routing::Route::of).collect::<Option<_>>()?,
            services: document.services.into_iter().map(one_routing::Service::of).collect::<Option<_>>()?,
            limits: document.limits,
            source: document.source,
        })
    }
}

impl From<one_routing::RoutingError> for RoutingError {
    fn from(error: one_routing::RoutingError) -> Self {
        match error {
            one_routing::RoutingError::UnknownService(service) => Self::UnknownService(service),
            one_routing::RoutingError::SamePlace(route) => Self::SamePlace(route),
            one_routing::RoutingError::NoWeight(route) => Self::NoWeight(route),
            one_routing::RoutingError::NoTimeout(route) => Self::NoTimeout(route),
            one_routing::RoutingError::BadPrefix(route) => Self::BadPrefix(route),
        }
    }
}

impl one_routing::RoutingError {
    fn of(error: RoutingError) -> Option<Self> {
        match error {
            RoutingError::UnknownService(service) => Some(Self::UnknownService(service)),
            RoutingError::SamePlace(route) => Some(Self::SamePlace(route)),
            RoutingError::NoWeight(route) => Some(Self::NoWeight(route)),
            RoutingError::NoTimeout(route) => Some(Self::NoTimeout(route)),
            RoutingError::BadPrefix(route) => Some(Self::BadPrefix(route)),
            RoutingError::SameTenant(_) | RoutingError::SharedKey(..) => None,
        }
    }
}

/// An update of level one as today's; `None` if it cannot be read.
pub fn update_from_one(update: &EncodedRoutingUpdate) -> Option<EncodedRoutingUpdate> {
    let update: one_routing::RoutingUpdate = bitcode::decode(update.bytes()).ok()?;
    Some(EncodedRoutingUpdate::encode(&RoutingUpdate {
        base: update.base,
        version: update.version,
        changed: update.changed.into_iter().map(Into::into).collect(),
        removed: update.removed,
        services: update.services.into_iter().map(Into::into).collect(),
        limits: update.limits,
        tenants: TenantUpdate::Unlisted,
    }))
}

/// Today's update as one of level one; `None` if that has no words for it.
pub fn update_to_one(update: &EncodedRoutingUpdate) -> Option<EncodedRoutingUpdate> {
    let update = update.decode()?;
    if update.tenants != TenantUpdate::Unlisted {
        return None;
    }
    let update = one_routing::RoutingUpdate {
        base: update.base,
        version: update.version,
        changed: update.changed.into_iter().map(one_routing::Route::of).collect::<Option<_>>()?,
        removed: update.removed,
        services: update.services.into_iter().map(one_routing::Service::of).collect::<Option<_>>()?,
        limits: update.limits,
    };
    Some(EncodedRoutingUpdate::from_bytes(update.version, bitcode::encode(&update)))
}

/// A caller whom level one cannot name is nobody there.
fn is_anyone(caller: &Caller) -> bool {
    *caller == Caller::Anyone
}

/// Today's request; `None` for a relay's question, which is answered apart.
pub fn request_from_one(request: one::GatewayRequest) -> Option<GatewayRequest> {
    use one::GatewayRequest as One;
    let caller = Caller::Anyone;
    Some(match request {
        One::Follow(_) => return None,
        One::ReportInstance(report) => GatewayRequest::ReportInstance(report.into()),
        One::RemoveInstance(id) => GatewayRequest::RemoveInstance(id.into()),
        One::PutRouting(document) => GatewayRequest::PutRouting(document.into()),
        One::ReadRouting => GatewayRequest::ReadRouting,
        One::NameVersion(named) => GatewayRequest::NameVersion(named),
        One::SubmitJob(job) => GatewayRequest::SubmitJob(job.into()),
        One::ReadResults { job, after, wait_ms } => GatewayRequest::ReadResults { job, after, wait_ms, caller },
        One::ReadPosition => GatewayRequest::ReadPosition,
        One::ReadResultsAt { position, job, after, wait_ms } => {
            GatewayRequest::ReadResultsAt { position, job, after, wait_ms, caller }
        }
        One::ReadBody { job, item } => GatewayRequest::ReadBody { job, item, caller },
        One::EndJob(job) => GatewayRequest::EndJob { job, caller },
        One::RegisterStore(record) => GatewayRequest::RegisterStore(record),
        One::RetireStore(name) => GatewayRequest::RetireStore(name),
        One::ReadRetirement(name) => GatewayRequest::ReadRetirement(name),
    })
}

/// A request of level one; a relay's question is asked apart.
pub fn request_to_one(request: GatewayRequest) -> Option<one::GatewayRequest> {
    use one::GatewayRequest as One;
    Some(match request {
        GatewayRequest::ReportInstance(report) => One::ReportInstance(report.into()),
        GatewayRequest::RemoveInstance(id) => One::RemoveInstance((&id).into()),
        GatewayRequest::PutRouting(document) => One::PutRouting(one_routing::RoutingDocument::of(document)?),
        GatewayRequest::ReadRouting => One::ReadRouting,
        GatewayRequest::NameVersion(named) => One::NameVersion(named),
        GatewayRequest::SubmitJob(job) => One::SubmitJob(one::JobSubmission::of(job)?),
        GatewayRequest::ReadResults { job, after, wait_ms, caller } if is_anyone(&caller) => {
            One::ReadResults { job, after, wait_ms }
        }
        GatewayRequest::ReadPosition => One::ReadPosition,
        GatewayRequest::ReadResultsAt { position, job, after, wait_ms, caller } if is_anyone(&caller) => {
            One::ReadResultsAt { position, job, after, wait_ms }
        }
        GatewayRequest::ReadBody { job, item, caller } if is_anyone(&caller) => One::ReadBody { job, item },
        GatewayRequest::EndJob { job, caller } if is_anyone(&caller) => One::EndJob(job),
        GatewayRequest::RegisterStore(record) => One::RegisterStore(record),
        GatewayRequest::RetireStore(name) => One::RetireStore(name),
        GatewayRequest::ReadRetirement(name) => One::ReadRetirement(name),
        GatewayRequest::Follow(_)
        | GatewayRequest::ReportInstances(_)
        | GatewayRequest::Confirm(_)
        | GatewayRequest::ReadResults { .. }
        | GatewayRequest::ReadResultsAt { .. }
        | GatewayRequest::ReadBody { .. }
        | GatewayRequest::EndJob { .. }
        | GatewayRequest::ReadDuties
        | GatewayRequest::TakeEvidence(_)
        | GatewayRequest::BeginTrial(_)
        | GatewayRequest::RenewTrials(_)
        | GatewayRequest::EndTrial { .. }
        | GatewayRequest::ReadSuspicions
        | GatewayRequest::ReleaseWork(_) => return None,
    })
}

/// Today's answer; `None` for that to a relay's question.
pub fn reply_from_one(reply: one::GatewayReply) -> Option<GatewayReply> {
    use one::GatewayReply as One;
    Some(match reply {
        One::Followed(_) => return None,
        One::Done => GatewayReply::Done,
        One::InvalidRouting(error) => GatewayReply::InvalidRouting(error.into()),
        One::Routing(source) => GatewayReply::Routing(source),
        One::Position(position) => GatewayReply::Position(position),
        One::Results(page) => GatewayReply::Results(page),
        One::Body(body) => GatewayReply::Body(body),
        One::NotFound => GatewayReply::NotFound,
        One::TooFew => GatewayReply::TooFew,
        One::Retirement { completed } => GatewayReply::Retirement { completed },
        One::Unavailable => GatewayReply::Unavailable,
    })
}

/// An answer of level one.
pub fn reply_to_one(reply: GatewayReply) -> Option<one::GatewayReply> {
    use one::GatewayReply as One;
    Some(match reply {
        // Level one reports whole each time: none of those is missing.
        GatewayReply::Done | GatewayReply::ReportsMissing(_) => One::Done,
        GatewayReply::InvalidRouting(error) => One::InvalidRouting(one_routing::RoutingError::of(error)?),
        GatewayReply::Routing(source) => One::Routing(source),
        GatewayReply::Position(position) => One::Position(position),
        GatewayReply::Results(page) => One::Results(page),
        GatewayReply::Body(body) => One::Body(body),
        GatewayReply::NotFound => One::NotFound,
        GatewayReply::TooFew => One::TooFew,
        GatewayReply::Retirement { completed } => One::Retirement { completed },
        GatewayReply::Unavailable => One::Unavailable,
        GatewayReply::Followed(_)
        | GatewayReply::Confirmed { .. }
        | GatewayReply::Duties(_)
        | GatewayReply::Suspicions(_)
        | GatewayReply::Trial(_)
        | GatewayReply::TrialsLost(_) => return None,
    })
}

/// The commands of level one that do together what `command` does today.
pub fn commands_to_one(command: GatewayCommand) -> Option<Vec<one::GatewayCommand>> {
    use one::GatewayCommand as One;
    Some(match command {
        GatewayCommand::PutRouting(document) => vec![One::PutRouting(one_routing::RoutingDocument::of(document)?)],
        GatewayCommand::ReportInstances(reports) => {
            reports.into_iter().map(|report| One::ReportInstance(report.into())).collect()
        }
        GatewayCommand::RemoveInstance(id) => vec![One::RemoveInstance((&id).into())],
        GatewayCommand::NameVersion(named) => vec![One::NameVersion(named)],
        GatewayCommand::SubmitJob { job, keep_ms } => {
            vec![One::SubmitJob { job: one::JobSubmission::of(job)?, keep_ms }]
        }
        GatewayCommand::KeepTexts { job, parts } => vec![One::KeepTexts { job, parts }],
        GatewayCommand::ListResults { job, outcomes } => vec![One::ListResults { job, outcomes }],
        GatewayCommand::EndJob(job) => vec![One::EndJob(job)],
        GatewayCommand::RegisterStore(record) => vec![One::RegisterStore(record)],
        GatewayCommand::RetireStore(name) => vec![One::RetireStore(name)],
        GatewayCommand::StoreRetired(name) => vec![One::StoreRetired(name)],
        GatewayCommand::NoteOrders { holder, subjects } => {
            let engine = |subject| match subject {
                OrderSubject::Engine(name) => Some(one::InstanceId(name)),
                OrderSubject::UsageReports | OrderSubject::EngineCount(_) => None,
            };
            let instances = subjects.into_iter().map(engine).collect::<Option<_>>()?;
            vec![One::NoteOrders { holder, instances }, One::TakeOrders(holder)]
        }
        GatewayCommand::NoteSilence { .. }
        | GatewayCommand::AddUsage(_)
        | GatewayCommand::FixUsage(_)
        | GatewayCommand::UsageReported(_)
        | GatewayCommand::WantEngines(_)
        | GatewayCommand::TakeEvidence(_)
        | GatewayCommand::BeginTrial(_)
        | GatewayCommand::RenewTrials(_)
        | GatewayCommand::ExpireTrials(_)
        | GatewayCommand::EndTrial { .. }
        | GatewayCommand::ExpireSuspicions
        | GatewayCommand::ReleaseWork(_) => return None,
    })
}

/// The commands of level one that do together what `command` does today.
pub fn all_commands_to_one(command: Command) -> Option<Vec<one_protocol::Command>> {
    use one_protocol::Command as One;
    Some(match command {
        Command::Configuration(change) => vec![One::Configuration(change)],
        Command::Claim(command) => vec![One::Claim(command)],
        Command::Rollout(command) => vec![One::Rollout(command)],
        Command::Membership(command) => vec![One::Membership(command)],
        Command::Gateway(command) => commands_to_one(command)?.into_iter().map(One::Gateway).collect(),
    })
}

/// A command that a caller asks for. None asks so for what is about routing, instances or jobs.
fn executed_from_one(command: one_protocol::Command) -> Option<Command> {
    use one_protocol::Command as One;
    Some(match command {
        One::Configuration(change) => Command::Configuration(change),
        One::Claim(command) => Command::Claim(command),
        One::Rollout(command) => Command::Rollout(command),
        One::Membership(command) => Command::Membership(command),
        One::Gateway(_) => return None,
    })
}

fn executed_to_one(command: Command) -> Option<one_protocol::Command> {
    match all_commands_to_one(command)?.as_slice() {
        [command] => Some(command.clone()),
        _ => None,
    }
}

fn outcome_from_one(outcome: one_protocol::CommandOutcome) -> CommandOutcome {
    use one_protocol::CommandOutcome as One;
    match outcome {
        One::Configuration(outcome) => CommandOutcome::Configuration(outcome),
        One::Claim(outcome) => CommandOutcome::Claim(outcome),
        One::Trainer(state) => CommandOutcome::Trainer(state),
        One::Delivery(batch) => CommandOutcome::Delivery(batch),
        One::Refused(refusal) => CommandOutcome::Refused(refusal),
        One::Assigned(samples) => CommandOutcome::Assigned(samples),
        One::Fence(fence) => CommandOutcome::Fence(fence),
        One::Applied(changed) => CommandOutcome::Applied(changed),
        One::Gateway(outcome) => CommandOutcome::Gateway(gateway_outcome_from_one(outcome)),
    }
}

fn gateway_outcome_from_one(outcome: one::GatewayOutcome) -> GatewayOutcome {
    match outcome {
        one::GatewayOutcome::Done => GatewayOutcome::Done,
        one::GatewayOutcome::NotFound => GatewayOutcome::NotFound,
        one::GatewayOutcome::TextMissing(missing) => GatewayOutcome::TextMissing(missing),
        one::GatewayOutcome::Orders { fence, taken_over } => GatewayOutcome::Orders { fence, taken_over },
    }
}

fn outcome_to_one(outcome: CommandOutcome) -> Option<one_protocol::CommandOutcome> {
    use one_protocol::CommandOutcome as One;
    Some(match outcome {
        CommandOutcome::Configuration(outcome) => One::Configuration(outcome),
        CommandOutcome::Claim(outcome) => One::Claim(outcome),
        CommandOutcome::Trainer(state) => One::Trainer(state),
        CommandOutcome::Delivery(batch) => One::Delivery(batch),
        CommandOutcome::Refused(refusal) => One::Refused(refusal),
        CommandOutcome::Assigned(samples) => One::Assigned(samples),
        CommandOutcome::Fence(fence) => One::Fence(fence),
        CommandOutcome::Applied(changed) => One::Applied(changed),
        CommandOutcome::Gateway(_) => return None,
    })
}

/// Today's request; `None` for a relay's question, which is answered apart, and for what cannot be asked so.
pub fn control_request_from_one(request: one_protocol::ControlRequest) -> Option<ControlRequest> {
    use one_protocol::ControlRequest as One;
    Some(match request {
        One::Replication(bytes) => ControlRequest::Replication(bytes),
        One::Renew(renewal) => ControlRequest::Renew(RenewRequest {
            relay: renewal.relay,
            configuration: renewal.configuration,
            engines: renewal.engines,
            targets: renewal.targets,
            suspicion_revision: 0,
        }),
        One::Execute(command) => ControlRequest::Execute(executed_from_one(command)?),
        One::Query(query) => ControlRequest::Query(query),
        One::Initialize => ControlRequest::Initialize,
        One::Gateway(request) => ControlRequest::Gateway(request_from_one(request)?),
    })
}

/// A request of level one; a relay's question is asked apart.
pub fn control_request_to_one(request: ControlRequest) -> Option<one_protocol::ControlRequest> {
    use one_protocol::ControlRequest as One;
    Some(match request {
        ControlRequest::Replication(bytes) => One::Replication(bytes),
        ControlRequest::Renew(renewal) => One::Renew(one_protocol::RenewRequest {
            relay: renewal.relay,
            configuration: renewal.configuration,
            engines: renewal.engines,
            targets: renewal.targets,
        }),
        ControlRequest::Execute(command) => One::Execute(executed_to_one(command)?),
        ControlRequest::Query(query) => One::Query(query),
        ControlRequest::Initialize => One::Initialize,
        ControlRequest::Gateway(request) => One::Gateway(request_to_one(request)?),
    })
}

/// Today's answer; `None` for that to a relay's question.
pub fn control_reply_from_one(reply: one_protocol::ControlReply) -> Option<ControlReply> {
    use one_protocol::ControlReply as One;
    Some(match reply {
        One::Replication(bytes) => ControlReply::Replication(bytes),
        One::Renewed(reply) => ControlReply::Renewed(RenewReply {
            fenced: reply.fenced,
            lease_milliseconds: reply.lease_milliseconds,
            configuration: reply.configuration,
            engine_revision: reply.engine_revision,
            engines: reply.engines,
            targets: reply.targets,
            relay_count: reply.relay_count,
            suspicions: None,
        }),
        One::Executed(outcome) => ControlReply::Executed(outcome_from_one(outcome)),
        One::Answer(answer) => ControlReply::Answer(answer),
        One::NotLeader { leader } => ControlReply::NotLeader { leader, peers: Vec::new() },
        One::Undecided => ControlReply::Undecided,
        One::Refused(reason) => ControlReply::Refused(reason),
        One::Gateway(reply) => ControlReply::Gateway(reply_from_one(reply)?),
    })
}

/// An answer of level one.
pub fn control_reply_to_one(reply: ControlReply) -> Option<one_protocol::ControlReply> {
    use one_protocol::ControlReply as One;
    Some(match reply {
        ControlReply::Replication(bytes) => One::Replication(bytes),
        ControlReply::Renewed(reply) => One::Renewed(one_protocol::RenewReply {
            fenced: reply.fenced,
            lease_milliseconds: reply.lease_milliseconds,
            configuration: reply.configuration,
            engine_revision: reply.engine_revision,
            engines: reply.engines,
            targets: reply.targets,
            relay_count: reply.relay_count,
        }),
        ControlReply::Executed(outcome) => One::Executed(outcome_to_one(outcome)?),
        ControlReply::Answer(answer) => One::Answer(answer),
        ControlReply::NotLeader { leader, .. } => One::NotLeader { leader },
        ControlReply::Undecided => One::Undecided,
        ControlReply::Refused(reason) => One::Refused(reason),
        ControlReply::Gateway(reply) => One::Gateway(reply_to_one(reply)?),
    })
}
