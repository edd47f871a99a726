//! Messages between saddlerelay's own processes, and the commands that the control group commits.

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
    /// Commit a command.
    Execute(Command),
    /// Read the committed state.
    Query(Query),
    /// Form a new control group of this one replica.
    Initialize,
    /// About routed requests, instances, versions and batch jobs.
    Gateway(GatewayRequest),
}

/// A control replica's answer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControlReply {
    /// The replication protocol's answer.
    Replication(Vec<u8>),
    /// The lease is renewed.
    Renewed(RenewReply),
    /// The command was committed and this is its outcome.
    Executed(CommandOutcome),
    /// The state that was asked for.
    Answer(QueryAnswer),
    /// This replica does not lead; nothing was done.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
        /// If not, where other replicas listen as far as this one has heard, the likeliest to know the leader first.
        peers: Vec<SocketAddr>,
    },
    /// The command may or may not be committed later.
    Undecided,
    /// The request cannot be served; nothing was done.
    Refused(String),
    /// Of a request about routed requests, instances, versions or batch jobs.
    Gateway(GatewayReply),
}

/// A relay's lease renewal.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RenewRequest {
    /// The relay.
    pub relay: RelayDescription,
    /// The configuration revision it acts on.
    pub configuration: Revision,
    /// The engine-list revision it acts on.
    pub engines: u64,
    /// The targets it acts on.
    pub targets: Vec<ModelTarget>,
    /// The revision of the list of suspected work that it acts on.
    pub suspicion_revision: u64,
}

/// The answer to a lease renewal.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RenewReply {
    /// Whether the relay's incarnation was declared lost; it must start anew.
    pub fenced: bool,
    /// Lease length in milliseconds, counted by the relay from when it sent the renewal.
    pub lease_milliseconds: u64,
    /// Configuration the relay lacks.
    pub configuration: ConfigurationUpdate,
    /// The engine-list revision reached.
    pub engine_revision: u64,
    /// Engines that changed since the relay's revision.
    pub engines: Vec<EngineRecord>,
    /// The newest version each trained model should serve.
    pub targets: Vec<ModelTarget>,
    /// Relays that hold leases now; rollouts are shared among them.
    pub relay_count: u32,
    /// The list of suspected work, if it is newer than the relay's.
    pub suspicions: Option<SuspicionList>,
}

impl RenewReply {
    /// Whether the relay that sent `renewal` would act differently after this answer.
    pub fn brings_news(&self, renewal: &RenewRequest) -> bool {
        let configuration = self.configuration.whole || self.configuration.revision != renewal.configuration;
        self.fenced
            || configuration
            || self.suspicions.is_some()
            || self.engine_revision != renewal.engines
            || self.targets != renewal.targets
    }
}

/// The version a model's engines should run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ModelTarget {
    /// The model.
    pub model: ModelName,
    /// The newest version to run.
    pub version: WeightVersion,
}

/// A command with the leader's clock, as written to the log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LogCommand {
    /// Unix milliseconds at the leader; the state's time never goes back.
    pub time: u64,
    /// What to do.
    pub command: Command,
}

/// What the control group commits.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Command {
    /// Configuration.
    Configuration(ConfigurationChange),
    /// Claims of keyed requests.
    Claim(ClaimCommand),
    /// Trainers, steps and samples.
    Rollout(RolloutCommand),
    /// Relays and engines.
    Membership(MembershipCommand),
    /// Routed requests, instances, named versions and batch jobs.
    Gateway(GatewayCommand),
}

/// Commands on claims.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ClaimCommand {
    /// Take the right to run.
    Acquire(ClaimRequest),
    /// Make sure that the key never runs.
    Seal(ClaimRequest),
    /// The holder ends without an answer: a repeatable request may be granted again, another one is lost.
    Abandon {
        /// The claim.
        key: ClaimKey,
        /// The arrival that was granted.
        arrival: u64,
    },
    /// Store the answer.
    Finish {
        /// The claim.
        key: ClaimKey,
        /// The arrival that was granted.
        arrival: u64,
        /// How it ended.
        result: ClaimResult,
    },
}

/// Commands on trainers, steps and samples.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RolloutCommand {
    /// A trainer starts; fences lower incarnations.
    OpenTrainer {
        /// The tenant.
        tenant: TenantId,
        /// Rises with each start of the trainer.
        incarnation: Incarnation,
    },
    /// Ask for a step's samples.
    OpenStep {
        /// The tenant.
        tenant: TenantId,
        /// The trainer's incarnation.
        incarnation: Incarnation,
        /// The step.
        request: StepRequest,
    },
    /// Acknowledge up to a cursor and take the samples after it.
    Fetch {
        /// The tenant.
        tenant: TenantId,
        /// The trainer's incarnation.
        incarnation: Incarnation,
        /// The last position received.
        cursor: Position,
        /// The most samples to bring.
        limit: u32,
    },
    /// Publish a weight version.
    Publish {
        /// The tenant.
        tenant: TenantId,
        /// The trainer's incarnation.
        incarnation: Incarnation,
        /// The version, higher than any before.
        version: WeightVersion,
        /// The last position received.
        cursor: Position,
    },
    /// Hand pending samples to a relay.
    Assign {
        /// The relay's incarnation.
        relay: Incarnation,
        /// Rises with each new request of the relay; the same number again is a resend.
        sequence: u64,
        /// The most samples to hand out.
        limit: u32,
    },
    /// A sample is finished.
    Complete {
        /// The sample.
        sample: SampleId,
        /// The attempt that finished.
        attempt: Attempt,
        /// The sample's content.
        payload: SamplePayload,
    },
    /// A relay gives a sample back.
    Abandon {
        /// The sample.
        sample: SampleId,
        /// The attempt that ends.
        attempt: Attempt,
    },
}

/// Commands on relays and engines.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum MembershipCommand {
    /// A relay incarnation starts.
    RelayJoined(RelayDescription),
    /// A relay incarnation is declared lost; its work is taken back.
    RelayLost(Incarnation),
    /// An engine is listed by the platform or an operator.
    RegisterEngine(EngineDescription),
    /// Engines were seen to change.
    Observe(Vec<EngineObservation>),
    /// Draw the next fence for engine orders.
    DrawFence,
}

/// Why a trainer's call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrainerRefusal {
    /// A newer incarnation of the trainer acts.
    Fenced,
    /// The trainer never opened.
    NotOpen,
    /// The tenant is not configured.
    UnknownTenant,
    /// The cursor lies before what was acknowledged or after what was delivered.
    BadCursor,
    /// The step number does not follow the last.
    BadStep,
    /// The version is not higher than the last.
    BadVersion,
}

/// A command's outcome.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CommandOutcome {
    /// Of a configuration change.
    Configuration(ConfigurationOutcome),
    /// Of a claim command.
    Claim(ClaimOutcome),
    /// Of opening a trainer, a step or publishing.
    Trainer(TrainerState),
    /// Of a fetch.
    Delivery(DeliveryBatch),
    /// Of a refused trainer call.
    Refused(TrainerRefusal),
    /// Of an assignment.
    Assigned(Vec<SampleAssignment>),
    /// Of drawing a fence.
    Fence(Fence),
    /// Whether the command changed anything.
    Applied(bool),
    /// Of a gateway command.
    Gateway(GatewayOutcome),
}

/// Reads of the committed state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Query {
    /// One configuration object.
    Object(ObjectName),
    /// Every configuration object.
    Objects,
    /// Every engine.
    Engines,
    /// Relays and the revisions in force.
    Relays,
    /// The control group.
    Group,
    /// A trainer's state.
    Trainer(TenantId),
}

/// Answers to queries.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum QueryAnswer {
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

/// The control group as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct GroupView {
    /// The term.
    pub term: u64,
    /// The leader.
    pub leader: ReplicaId,
    /// The last committed log index.
    pub committed: u64,
    /// The replicas.
    pub replicas: Vec<ReplicaView>,
}

/// One replica of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Its identifier, made with its disk.
    pub id: ReplicaId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it votes.
    pub voter: bool,
    /// The last log index it is known to hold.
    pub matched: u64,
    /// Milliseconds since it last answered the leader.
    pub heard_milliseconds_ago: u64,
}
