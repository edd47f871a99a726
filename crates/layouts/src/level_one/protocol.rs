//! Messages and commands of level one.

use crate::level_one::gateway::{GatewayCommand, GatewayOutcome, GatewayReply, GatewayRequest};
use bitcode::{Decode, Encode};
use saddlerelay_types::claim::ClaimOutcome;
use saddlerelay_types::configuration::{ConfigurationChange, ConfigurationOutcome, ConfigurationUpdate};
use saddlerelay_types::identity::{Fence, Revision};
use saddlerelay_types::membership::{EngineRecord, RelayDescription};
use saddlerelay_types::protocol::{
    ClaimCommand, MembershipCommand, ModelTarget, Query, QueryAnswer, RolloutCommand, TrainerRefusal,
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

/// A control replica's answer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum ControlReply {
    Replication(Vec<u8>),
    Renewed(RenewReply),
    Executed(CommandOutcome),
    Answer(QueryAnswer),
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
    /// The configuration revision that it acts on.
    pub configuration: Revision,
    /// The engine-list revision that it acts on.
    pub engines: u64,
    /// The targets that it acts on.
    pub targets: Vec<ModelTarget>,
}

/// The answer to a lease renewal.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RenewReply {
    /// Whether the relay must start anew.
    pub fenced: bool,
    /// Length of the lease.
    pub lease_milliseconds: u64,
    /// Configuration that the relay lacks.
    pub configuration: ConfigurationUpdate,
    /// The engine-list revision reached.
    pub engine_revision: u64,
    /// Engines that have changed.
    pub engines: Vec<EngineRecord>,
    /// The newest version that each model should serve.
    pub targets: Vec<ModelTarget>,
    /// Relays that hold leases.
    pub relay_count: u32,
}

/// A command with the leader's clock, as it stands on the log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LogCommand {
    /// Unix milliseconds at the leader.
    pub time: u64,
    /// What to do.
    pub command: Command,
}

/// What the group commits.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[allow(missing_docs)]
pub enum Command {
    Configuration(ConfigurationChange),
    Claim(ClaimCommand),
    Rollout(RolloutCommand),
    Membership(MembershipCommand),
    Gateway(GatewayCommand),
}

/// A command's outcome.
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
