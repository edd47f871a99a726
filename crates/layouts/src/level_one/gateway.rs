//! Messages and commands about routing, engine instances, jobs and orders, of level one.

use crate::level_one::routing::{RoutingDocument, RoutingError};
use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::StoreRecord;
use saddlerelay_types::identity::{Fence, ReplicaId};
use saddlerelay_types::instance::{InstanceState, LoadedModel};
use saddlerelay_types::job::{ItemId, ItemOutcome, JobId, JobItem, ResultPage, TextPart};
use saddlerelay_types::routing_update::EncodedRoutingUpdate;
use std::net::SocketAddr;

/// An engine instance's name: it tells no start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct InstanceId(pub String);

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceReport {
    /// The instance.
    pub id: InstanceId,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Streams that it runs at a time.
    pub slots: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// What it has loaded.
    pub models: Vec<LoadedModel>,
    /// Rises with each report.
    pub sequence: u64,
}

/// An instance as the group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceRecord {
    /// What it said.
    pub report: InstanceReport,
    /// Its state.
    pub state: InstanceState,
    /// The revision of its last change.
    pub revision: u64,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct JobSubmission {
    /// Its identifier.
    pub id: JobId,
    /// Host of its items.
    pub host: String,
    /// Path of its route.
    pub path: String,
    /// The model.
    pub model: Option<String>,
    /// The step.
    pub step: u64,
    /// Lowest version that may make its items.
    pub minimum_version: u64,
    /// Groups that are enough.
    pub wanted_groups: u32,
    /// Its items.
    pub items: Vec<JobItem>,
}

/// A request about these matters.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum GatewayRequest {
    Follow(FollowRequest),
    ReportInstance(InstanceReport),
    RemoveInstance(InstanceId),
    PutRouting(RoutingDocument),
    ReadRouting,
    NameVersion(LoadedModel),
    SubmitJob(JobSubmission),
    ReadResults { job: JobId, after: u64, wait_ms: u64 },
    ReadPosition,
    ReadResultsAt { position: u64, job: JobId, after: u64, wait_ms: u64 },
    ReadBody { job: JobId, item: ItemId },
    EndJob(JobId),
    RegisterStore(StoreRecord),
    RetireStore(String),
    ReadRetirement(String),
}

/// A relay's question for what it lacks; only the leader answers it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FollowRequest {
    /// The relay.
    pub relay: String,
    /// Its zone.
    pub zone: String,
    /// The document that it holds.
    pub routing_version: Option<u64>,
    /// The instances' revision that it holds.
    pub instance_revision: u64,
    /// The instances that it takes for silent.
    pub silent: Vec<InstanceId>,
}

/// What the relay lacks.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FollowReply {
    /// How long the relay may act on it, from its question on.
    pub lease_ms: u64,
    /// What leads to the newest document.
    pub routing: Option<EncodedRoutingUpdate>,
    /// The instances' revision.
    pub instance_revision: u64,
    /// Instances that have changed.
    pub instances: Vec<InstanceRecord>,
    /// Every instance that is silent.
    pub silent: Vec<InstanceId>,
    /// Where the group's replicas listen.
    pub replicas: Vec<SocketAddr>,
    /// The one for the relay's reads.
    pub nearest_replica: Option<SocketAddr>,
}

/// An answer about these matters.
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

/// A command about these matters.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum GatewayCommand {
    PutRouting(RoutingDocument),
    ReportInstance(InstanceReport),
    RemoveInstance(InstanceId),
    NameVersion(LoadedModel),
    SubmitJob {
        job: JobSubmission,
        keep_ms: u64,
    },
    KeepTexts {
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
    /// A replica becomes the holder of orders and draws a fence.
    TakeOrders(ReplicaId),
    /// A holder is about to give orders to these instances.
    NoteOrders {
        holder: ReplicaId,
        instances: Vec<InstanceId>,
    },
}

/// A command's outcome.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[allow(missing_docs)]
pub enum GatewayOutcome {
    Done,
    NotFound,
    TextMissing(Vec<u32>),
    Orders { fence: Fence, taken_over: bool },
}
