//! How stand-ins reach the product: over HTTP in the fleet, directly in the simulator.
#![allow(async_fn_in_trait)]

use saddlerelay_types::configuration::{ConfigurationChange, ConfigurationOutcome};
use saddlerelay_types::identity::{Incarnation, ModelName, Position, TenantId, WeightVersion};
use saddlerelay_types::protocol::TrainerRefusal;
use saddlerelay_types::request::{CallerRequest, Generation, RequestFailure};
use saddlerelay_types::rollout::{DeliveryBatch, StepRequest, TrainerState};
use std::time::Duration;

/// A caller's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAnswer {
    /// With an explicit end.
    Whole {
        /// The answer.
        generation: Generation,
        /// Time from the send to the first token.
        first_token_after: Option<Duration>,
    },
    /// A final refusal or failure.
    Failed(RequestFailure),
    /// The connection was refused: nothing was sent.
    NotSent,
    /// The connection was lost before a final answer.
    Lost,
}

/// Why a trainer's call brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrainerCallError {
    /// Refused for good.
    Refused(TrainerRefusal),
    /// No answer, or none that decides; send the call again.
    Again,
}

/// Reaches relays and the administration API. `relay` is a place in the deployment's list of relays.
pub trait Access: Clone + 'static {
    /// How many relays there are.
    fn relays(&self) -> usize;
    /// Sends a caller's request.
    async fn ask(&self, relay: usize, request: &CallerRequest) -> CallerAnswer;
    /// The models a relay serves; `None` when it may not act or does not answer.
    async fn models(&self, relay: usize) -> Option<Vec<ModelName>>;
    /// A trainer starts.
    async fn open_trainer(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
    ) -> Result<TrainerState, TrainerCallError>;
    /// A trainer asks for a step's samples.
    async fn open_step(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        request: &StepRequest,
    ) -> Result<TrainerState, TrainerCallError>;
    /// A trainer fetches the samples after its cursor.
    async fn fetch(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        cursor: Position,
        limit: u32,
    ) -> Result<DeliveryBatch, TrainerCallError>;
    /// A trainer publishes a version.
    async fn publish(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        version: WeightVersion,
        cursor: Position,
    ) -> Result<TrainerState, TrainerCallError>;
    /// An operator's change; `None` when the answer was lost.
    async fn change(&self, change: &ConfigurationChange) -> Option<ConfigurationOutcome>;
}
