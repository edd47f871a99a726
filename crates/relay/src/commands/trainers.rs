//! Trainer calls, which any relay forwards to the control group.

use crate::relay::Relay;
use saddlerelay_control_client::ControlError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::{Incarnation, Position, TenantId, WeightVersion};
use saddlerelay_types::protocol::{Command, CommandOutcome, RolloutCommand, TrainerRefusal};
use saddlerelay_types::rollout::{DeliveryBatch, StepRequest, TrainerState};
use std::time::Duration;

/// Timeout of a call to the control group.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a trainer's call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrainerError {
    /// Rejected by the control group; a retry has the same result.
    Refused(TrainerRefusal),
    /// Not decided before the timeout; retry the same call.
    Unavailable,
}

impl From<ControlError> for TrainerError {
    fn from(_: ControlError) -> Self {
        Self::Unavailable
    }
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Registers a trainer incarnation.
    pub async fn open_trainer(&self, tenant: TenantId, incarnation: Incarnation) -> Result<TrainerState, TrainerError> {
        self.trainer_command(RolloutCommand::OpenTrainer { tenant, incarnation }).await
    }

    /// Requests the samples of a training step.
    pub async fn open_step(
        &self,
        tenant: TenantId,
        incarnation: Incarnation,
        request: StepRequest,
    ) -> Result<TrainerState, TrainerError> {
        self.trainer_command(RolloutCommand::OpenStep { tenant, incarnation, request }).await
    }

    /// Publishes a weight version and acknowledges the samples up to `cursor`.
    pub async fn publish(
        &self,
        tenant: TenantId,
        incarnation: Incarnation,
        version: WeightVersion,
        cursor: Position,
    ) -> Result<TrainerState, TrainerError> {
        self.trainer_command(RolloutCommand::Publish { tenant, incarnation, version, cursor }).await
    }

    async fn trainer_command(&self, command: RolloutCommand) -> Result<TrainerState, TrainerError> {
        match self.inner.control.execute(Command::Rollout(command), CALL_TIMEOUT).await? {
            CommandOutcome::Trainer(state) => Ok(state),
            CommandOutcome::Refused(refusal) => Err(TrainerError::Refused(refusal)),
            _ => Err(TrainerError::Unavailable),
        }
    }

    /// Fetches samples after `cursor`; long-polls for up to `max_fetch_wait` if there are none.
    pub async fn fetch(
        &self,
        tenant: TenantId,
        incarnation: Incarnation,
        cursor: Position,
        limit: u32,
    ) -> Result<DeliveryBatch, TrainerError> {
        let wait_until = self.inner.runtime.monotonic() + self.inner.options.config.max_fetch_wait;
        loop {
            let command = RolloutCommand::Fetch { tenant: tenant.clone(), incarnation, cursor, limit };
            let outcome = self.inner.control.execute(Command::Rollout(command), CALL_TIMEOUT).await?;
            let batch = match outcome {
                CommandOutcome::Delivery(batch) => batch,
                CommandOutcome::Refused(refusal) => return Err(TrainerError::Refused(refusal)),
                _ => return Err(TrainerError::Unavailable),
            };
            let stop_waiting = self.inner.draining.get() || self.inner.runtime.monotonic() >= wait_until;
            if !batch.samples.is_empty() || stop_waiting {
                return Ok(batch);
            }
        }
    }
}
