//! Level one messages and commands for routing, engine instances, jobs and orders.

use crate::level_one::routing::{RoutingDocument, RoutingError};
use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::StoreRecord;
use saddlerelay_types::identity::{Fence, ReplicaId};
use saddlerelay_types::instance::{InstanceState, LoadedModel};
use saddlerelay_types::job::{ItemId, ItemOutcome, JobId, JobItem, ResultPage, TextPart};
use saddlerelay_types::routing_update::EncodedRoutingUpdate;
use std::net::SocketAddr;

/// An engine instance's name, without a start time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct InstanceId(pub String);

/// Status reported by an engine instance.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceReport {
    /// The instance.
    pub id: InstanceId,
    /// Its service.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Whether it is draining.
    pub leaving: bool,
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Increases with each report.
    pub sequence: u64,
}

/// An instance as recorded by the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceRecord {
    /// The newest report.
    pub report: InstanceReport,
    /// Its state.
    pub state: InstanceState,
    /// Revision of the instance table at the record's last change.
    pub revision: u64,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct JobSubmission {
    /// Its identifier.
    pub id: JobId,
    /// `Host` of its items' requests.
    pub host: String,
    /// Path of its route.
    pub path: String,
    /// The model.
    pub model: Option<String>,
    /// The trainer's step.
    pub step: u64,
    /// The oldest weight version that may generate its items.
    pub minimum_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub wanted_groups: u32,
    /// Its items.
    pub items: Vec<JobItem>,
}

/// A request to the control group's leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum GatewayRequest {
    Follow(FollowRequest),
    ReportInstance(InstanceReport),
    RemoveInstance(InstanceId),
    PutRouting(RoutingDocument),
    ReadRouting,
    PublishVersion(LoadedModel),
    SubmitJob(JobSubmission),
    ReadResults { job: JobId, after: u64, wait_ms: u64 },
    ReadIndex,
    ReadResultsAt { position: u64, job: JobId, after: u64, wait_ms: u64 },
    ReadBody { job: JobId, item: ItemId },
    EndJob(JobId),
    RegisterStore(StoreRecord),
    RetireStore(String),
    ReadRetirement(String),
}

/// A relay's poll for newer state; only the leader replies to it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FollowRequest {
    /// The relay.
    pub relay: String,
    /// Its zone.
    pub zone: String,
    /// Version of the routing document in use; `None` before the first.
    pub routing_version: Option<u64>,
    /// Revision of the instance table in use.
    pub instance_revision: u64,
    /// Instances that the relay has marked as silent.
    pub silent: Vec<InstanceId>,
}

/// State that is newer than the relay's.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FollowReply {
    /// Lease length in milliseconds, counted by the relay from when it sent the request.
    pub lease_ms: u64,
    /// Update to the newest routing document; `None` if the relay's is current.
    pub routing: Option<EncodedRoutingUpdate>,
    /// Revision of the instance table.
    pub instance_revision: u64,
    /// Changed instances.
    pub instances: Vec<InstanceRecord>,
    /// All instances whose reports have stopped.
    pub silent: Vec<InstanceId>,
    /// Addresses of the control group's replicas.
    pub replicas: Vec<SocketAddr>,
    /// A replica in the relay's zone, for its reads.
    pub nearest_replica: Option<SocketAddr>,
}

/// A reply to a [`GatewayRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum GatewayReply {
    Followed(FollowReply),
    Done,
    InvalidRouting(RoutingError),
    Routing(Option<Vec<u8>>),
    Position(u64),
    Results(ResultPage),
    Body(Vec<u8>),
    NotFound,
    TooFew,
    Retirement { completed: bool },
    Unavailable,
}

/// A command on the control group's log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum GatewayCommand {
    PutRouting(RoutingDocument),
    ReportInstance(InstanceReport),
    RemoveInstance(InstanceId),
    PublishVersion(LoadedModel),
    SubmitJob {
        job: JobSubmission,
        keep_ms: u64,
    },
    SaveTexts {
        job: JobId,
        parts: Vec<TextPart>,
    },
    ListResults {
        job: JobId,
        outcomes: Vec<ItemOutcome>,
    },
    EndJob(JobId),
    RegisterStore(StoreRecord),
    RetireStore(String),
    StoreRetired(String),
    /// Makes a replica the holder of the right to issue orders and issues a fencing token.
    TakeOrders(ReplicaId),
    /// Records that the holder is about to issue orders to these instances.
    RecordOrderIntents {
        holder: ReplicaId,
        instances: Vec<InstanceId>,
    },
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[allow(missing_docs)]
pub enum GatewayOutcome {
    Done,
    NotFound,
    TextMissing(Vec<u32>),
    Orders { fence: Fence, holder_changed: bool },
}
