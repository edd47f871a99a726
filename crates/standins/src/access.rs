//! The stand-ins' interface to the service: over HTTP in the fleet, by direct calls in the simulator.
#![allow(async_fn_in_trait)]

use saddlerelay_types::configuration::{ConfigurationChange, ConfigurationOutcome};
use saddlerelay_types::identity::{Incarnation, ModelName, Position, TenantId, WeightVersion};
use saddlerelay_types::protocol::TrainerRefusal;
use saddlerelay_types::request::{CallerRequest, Generation, RequestFailure};
use saddlerelay_types::rollout::{DeliveryBatch, StepRequest, TrainerState};
use std::time::Duration;

/// The response to a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerResponse {
    /// A response with an explicit end.
    Complete {
        /// The generation.
        generation: Generation,
        /// Time from the send to the first token.
        first_token_after: Option<Duration>,
    },
    /// A final rejection or failure.
    Failed(RequestFailure),
    /// The connection failed before the request was sent.
    NotSent,
    /// The connection was lost before a final response.
    Lost,
}

/// Why a call of a trainer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrainerCallError {
    /// Rejected; a retry cannot succeed.
    Refused(TrainerRefusal),
    /// No response or an inconclusive one; the call can be retried.
    Retry,
}

/// Client for relays and the administration API. `relay` is an index into the deployment's relays.
pub trait Access: Clone + 'static {
    /// Number of relays.
    fn relays(&self) -> usize;
    /// Sends a caller's request.
    async fn send_request(&self, relay: usize, request: &CallerRequest) -> CallerResponse;
    /// The models that a relay serves; `None` if it is fenced or does not respond.
    async fn models(&self, relay: usize) -> Option<Vec<ModelName>>;
    /// Registers a new incarnation of a trainer.
    async fn open_trainer(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
    ) -> Result<TrainerState, TrainerCallError>;
    /// Requests the samples of a training step.
    async fn open_step(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        request: &StepRequest,
    ) -> Result<TrainerState, TrainerCallError>;
    /// Fetches up to `limit` samples after `cursor`.
    async fn fetch(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        cursor: Position,
        limit: u32,
    ) -> Result<DeliveryBatch, TrainerCallError>;
    /// Publishes a weight version.
    async fn publish(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        version: WeightVersion,
        cursor: Position,
    ) -> Result<TrainerState, TrainerCallError>;
    /// Applies a configuration change; `None` if the outcome is unknown.
    async fn change_configuration(&self, change: &ConfigurationChange) -> Option<ConfigurationOutcome>;
}
