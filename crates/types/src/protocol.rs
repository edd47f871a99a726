//! Messages between saddlerelay processes, and the commands in the control group's log.

use crate::claim::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimResult};
use crate::configuration::{ConfigurationChange, ConfigurationOutcome, ConfigurationUpdate, ObjectName, ObjectState};
use crate::engine::EngineDescription;
use crate::gateway::{GatewayCommand, GatewayOutcome, GatewayReply, GatewayRequest};
use crate::identity::{Attempt, Fence, Incarnation, ModelName, Position, ReplicaId, Revision, TenantId, WeightVersion};
use crate::membership::{EngineObservation, EngineRecord, RelayDescription, RelayView};
use crate::rollout::{DeliveryBatch, SampleAssignment, SampleId, SamplePayload, StepRequest, TrainerState};
use crate::suspicion::SuspicionList;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A request to a control replica.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControlRequest {
    /// A message of the replication protocol, encoded by the replication crate.
    Replication(Vec<u8>),
    /// A relay renews its configuration lease.
    Renew(RenewRequest),
    /// Commits a command.
    Execute(Command),
    /// Reads the committed state.
    Query(Query),
    /// Forms a new control group with this replica as its only member.
    Initialize,
    /// A request about routing, instances, weight versions or batch jobs.
    Gateway(GatewayRequest),
}

/// A control replica's reply.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControlReply {
    /// A reply of the replication protocol, encoded by the replication crate.
    Replication(Vec<u8>),
    /// The lease is renewed.
    Renewed(RenewReply),
    /// The command was committed and this is its outcome.
    Executed(CommandOutcome),
    /// The result of a query.
    Answer(QueryResult),
    /// This replica is not the leader; the request was not carried out.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
        /// If the leader is unknown, addresses of other replicas, in the order in which to try them.
        peers: Vec<SocketAddr>,
    },
    /// The outcome is unknown: the command may still be committed.
    Undecided,
    /// The request was rejected and not carried out; the text gives the reason.
    Refused(String),
    /// The reply to a [`GatewayRequest`].
    Gateway(GatewayReply),
}

/// A relay's lease renewal.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RenewRequest {
    /// The relay.
    pub relay: RelayDescription,
    /// The configuration revision in use.
    pub configuration: Revision,
    /// The engine-list revision in use.
    pub engines: u64,
    /// The weight version targets in use.
    pub targets: Vec<ModelTarget>,
    /// The revision in use of the list of suspected work.
    pub suspicion_revision: u64,
}

/// The reply to a lease renewal.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RenewReply {
    /// Whether the relay's incarnation was declared lost; the relay must restart under a new one.
    pub fenced: bool,
    /// Lease length in milliseconds, counted by the relay from when it sent the renewal.
    pub lease_milliseconds: u64,
    /// Configuration newer than the relay's.
    pub configuration: ConfigurationUpdate,
    /// The current engine-list revision.
    pub engine_revision: u64,
    /// Engines changed since the relay's engine-list revision.
    pub engines: Vec<EngineRecord>,
    /// The newest version each trained model should serve.
    pub targets: Vec<ModelTarget>,
    /// Number of relays with a valid lease; rollouts are shared among them.
    pub relay_count: u32,
    /// The list of suspected work, if newer than the relay's.
    pub suspicions: Option<SuspicionList>,
}

impl RenewReply {
    /// Whether the reply contains state that differs from what `renewal` reported.
    pub fn has_updates(&self, renewal: &RenewRequest) -> bool {
        let configuration = self.configuration.whole || self.configuration.revision != renewal.configuration;
        self.fenced
            || configuration
            || self.suspicions.is_some()
            || self.engine_revision != renewal.engines
            || self.targets != renewal.targets
    }
}

/// The weight version that a model's engines should run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ModelTarget {
    /// The model.
    pub model: ModelName,
    /// The newest version to run.
    pub version: WeightVersion,
}

/// A log entry: a command with the leader's wall clock.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LogCommand {
    /// Unix milliseconds at the leader. The state machine's time is monotonic even if this value decreases.
    pub time: u64,
    /// The command.
    pub command: Command,
}

/// A command that the control group commits to its log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Command {
    /// Changes a configuration object.
    Configuration(ConfigurationChange),
    /// Claims of keyed requests.
    Claim(ClaimCommand),
    /// Trainers, steps and samples.
    Rollout(RolloutCommand),
    /// Relays and engines.
    Membership(MembershipCommand),
    /// Request routing, instances, published weight versions and batch jobs.
    Gateway(GatewayCommand),
}

/// Commands on claims.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ClaimCommand {
    /// Acquires the right to run a request.
    Acquire(ClaimRequest),
    /// Seals the key so that no request can run under it.
    Seal(ClaimRequest),
    /// The holder gives up without a result: a repeatable request may be granted again, a non-repeatable one is
    /// lost.
    Abandon {
        /// The claim.
        key: ClaimKey,
        /// The arrival that holds the claim.
        arrival: u64,
    },
    /// Stores the result of a request.
    Finish {
        /// The claim.
        key: ClaimKey,
        /// The arrival that holds the claim.
        arrival: u64,
        /// How it ended.
        result: ClaimResult,
    },
}

/// Commands on trainers, steps and samples.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RolloutCommand {
    /// Registers a trainer incarnation and fences all lower ones.
    OpenTrainer {
        /// The tenant.
        tenant: TenantId,
        /// Increases with each start of the trainer.
        incarnation: Incarnation,
    },
    /// Requests the samples of a step.
    OpenStep {
        /// The tenant.
        tenant: TenantId,
        /// The trainer's incarnation.
        incarnation: Incarnation,
        /// The step's number, prompts and group size.
        request: StepRequest,
    },
    /// Acknowledges samples up to the cursor and fetches the samples after it.
    Fetch {
        /// The tenant.
        tenant: TenantId,
        /// The trainer's incarnation.
        incarnation: Incarnation,
        /// Position of the last sample that the trainer has received.
        cursor: Position,
        /// Maximum number of samples to return.
        limit: u32,
    },
    /// Publishes a weight version.
    Publish {
        /// The tenant.
        tenant: TenantId,
        /// The trainer's incarnation.
        incarnation: Incarnation,
        /// The version, higher than any before.
        version: WeightVersion,
        /// Position of the last sample that the trainer has received.
        cursor: Position,
    },
    /// Assigns pending samples to a relay.
    Assign {
        /// The relay's incarnation.
        relay: Incarnation,
        /// Increases with each new request of the relay; a repeated number marks a resend.
        sequence: u64,
        /// Maximum number of samples to assign.
        limit: u32,
    },
    /// Completes a sample; discarded unless `attempt` is the sample's current attempt.
    Complete {
        /// The sample.
        sample: SampleId,
        /// The attempt that finished.
        attempt: Attempt,
        /// The sample's content.
        payload: SamplePayload,
    },
    /// Returns an unfinished sample to the pending ones.
    Abandon {
        /// The sample.
        sample: SampleId,
        /// The attempt that is abandoned.
        attempt: Attempt,
    },
}

/// Commands on relays and engines.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum MembershipCommand {
    /// A relay incarnation starts.
    RelayJoined(RelayDescription),
    /// A relay incarnation is declared lost; its work is reassigned.
    RelayLost(Incarnation),
    /// An engine is listed by the platform or an operator.
    RegisterEngine(EngineDescription),
    /// Records observed changes of engines.
    Observe(Vec<EngineObservation>),
    /// Issues the next fencing token for engine orders.
    IssueFence,
}

/// Why a trainer's request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrainerRefusal {
    /// A newer incarnation of the trainer has registered.
    Fenced,
    /// The trainer has not registered.
    NotOpen,
    /// The tenant is not configured.
    UnknownTenant,
    /// The cursor is below the acknowledged position or above the last delivered one.
    BadCursor,
    /// The step number does not follow the last.
    BadStep,
    /// The version is not higher than the last.
    BadVersion,
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CommandOutcome {
    /// Result of a configuration change.
    Configuration(ConfigurationOutcome),
    /// Result of a claim command.
    Claim(ClaimOutcome),
    /// Result of registering a trainer, opening a step or publishing a version.
    Trainer(TrainerState),
    /// Result of a fetch.
    Delivery(DeliveryBatch),
    /// A trainer's request was rejected.
    Refused(TrainerRefusal),
    /// Samples assigned to the relay.
    Assigned(Vec<SampleAssignment>),
    /// The fencing token issued.
    Fence(Fence),
    /// Whether the command changed anything.
    Applied(bool),
    /// Result of a gateway command.
    Gateway(GatewayOutcome),
}

/// Queries of the committed state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Query {
    /// One configuration object.
    Object(ObjectName),
    /// Every configuration object.
    Objects,
    /// Every engine.
    Engines,
    /// Every relay and the configuration revision.
    Relays,
    /// The control group.
    Group,
    /// A trainer's state.
    Trainer(TenantId),
}

/// Results of queries.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum QueryResult {
    /// One object, if it ever existed.
    Object(Option<ObjectState>),
    /// Every object and the configuration's revision.
    Objects(Revision, Vec<ObjectState>),
    /// Every engine.
    Engines(Vec<EngineRecord>),
    /// Every relay with a lease and the configuration's revision.
    Relays(Revision, Vec<RelayView>),
    /// The control group.
    Group(GroupView),
    /// A trainer's state.
    Trainer(Option<TrainerState>),
}

/// The leader's view of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct GroupView {
    /// The leader's term.
    pub term: u64,
    /// The leader.
    pub leader: ReplicaId,
    /// The commit index.
    pub committed: u64,
    /// The replicas.
    pub replicas: Vec<ReplicaView>,
}

/// One replica of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ReplicaView {
    /// The replica's identifier, generated when its disk was initialized.
    pub id: ReplicaId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is a voter; otherwise it is a learner.
    pub voter: bool,
    /// The match index: the last log index known to be replicated to it.
    pub matched: u64,
    /// Milliseconds since its last reply to the leader.
    pub heard_milliseconds_ago: u64,
}
