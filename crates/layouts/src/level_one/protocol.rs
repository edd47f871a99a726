//! Level one messages and commands.

use crate::level_one::gateway::{GatewayCommand, GatewayOutcome, GatewayReply, GatewayRequest};
use bitcode::{Decode, Encode};
use saddlerelay_types::claim::ClaimOutcome;
use saddlerelay_types::configuration::{ConfigurationChange, ConfigurationOutcome, ConfigurationUpdate};
use saddlerelay_types::identity::{Fence, Revision};
use saddlerelay_types::membership::{EngineRecord, RelayDescription};
use saddlerelay_types::protocol::{
    ClaimCommand, MembershipCommand, ModelTarget, Query, QueryResult, RolloutCommand, TrainerRefusal,
};
use saddlerelay_types::rollout::{DeliveryBatch, SampleAssignment, TrainerState};
use std::net::SocketAddr;

/// A request to a control replica.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum ControlRequest {
    Replication(Vec<u8>),
    Renew(RenewRequest),
    Execute(Command),
    Query(Query),
    Initialize,
    Gateway(GatewayRequest),
}

/// A control replica's reply.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum ControlReply {
    Replication(Vec<u8>),
    Renewed(RenewReply),
    Executed(CommandOutcome),
    Answer(QueryResult),
    NotLeader { leader: Option<SocketAddr> },
    Undecided,
    Refused(String),
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
}

/// The reply to a lease renewal.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RenewReply {
    /// Whether the relay's incarnation was declared lost; the relay must restart under a new one.
    pub fenced: bool,
    /// Lease length in milliseconds.
    pub lease_milliseconds: u64,
    /// Configuration newer than the relay's.
    pub configuration: ConfigurationUpdate,
    /// The current engine-list revision.
    pub engine_revision: u64,
    /// Engines changed since the relay's engine-list revision.
    pub engines: Vec<EngineRecord>,
    /// The newest version that each model should serve.
    pub targets: Vec<ModelTarget>,
    /// Number of relays with a valid lease.
    pub relay_count: u32,
}

/// A log entry: a command with the leader's wall clock.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LogCommand {
    /// Unix milliseconds at the leader.
    pub time: u64,
    /// The command.
    pub command: Command,
}

/// A command that the control group commits to its log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum Command {
    Configuration(ConfigurationChange),
    Claim(ClaimCommand),
    Rollout(RolloutCommand),
    Membership(MembershipCommand),
    Gateway(GatewayCommand),
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum CommandOutcome {
    Configuration(ConfigurationOutcome),
    Claim(ClaimOutcome),
    Trainer(TrainerState),
    Delivery(DeliveryBatch),
    Refused(TrainerRefusal),
    Assigned(Vec<SampleAssignment>),
    Fence(Fence),
    Applied(bool),
    Gateway(GatewayOutcome),
}
