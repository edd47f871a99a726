//! Trainers' calls: decided by the control group, passed on by any relay.

use crate::relay::Relay;
use saddlerelay_control_client::ControlError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::{Incarnation, Position, TenantId, WeightVersion};
use saddlerelay_types::protocol::{Command, CommandOutcome, RolloutCommand, TrainerRefusal};
use saddlerelay_types::rollout::{DeliveryBatch, StepRequest, TrainerState};
use std::time::Duration;

/// Time limit of a trainer's call to the control group.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Why a trainer's call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrainerError {
    /// Refused; a resend brings the same.
    Refused(TrainerRefusal),
    /// No decision in time; resend the same call.
    Unavailable,
}

impl From<ControlError> for TrainerError {
    fn from(_: ControlError) -> Self {
        Self::Unavailable
    }
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// A trainer starts.
    pub async fn open_trainer(&self, tenant: TenantId, incarnation: Incarnation) -> Result<TrainerState, TrainerError> {
        self.trainer_command(RolloutCommand::OpenTrainer { tenant, incarnation }).await
    }

    /// A trainer asks for a step's samples.
    pub async fn open_step(
        &self,
        tenant: TenantId,
        incarnation: Incarnation,
        request: StepRequest,
    ) -> Result<TrainerState, TrainerError> {
        self.trainer_command(RolloutCommand::OpenStep { tenant, incarnation, request }).await
    }

    /// A trainer publishes a version and says what it has received.
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
        match self.inner.control.execute(Command::Rollout(command), CALL_LIMIT).await? {
            CommandOutcome::Trainer(state) => Ok(state),
            CommandOutcome::Refused(refusal) => Err(TrainerError::Refused(refusal)),
            _ => Err(TrainerError::Unavailable),
        }
    }

    /// A trainer fetches the samples after its cursor, waiting a little when there are none.
    pub async fn fetch(
        &self,
        tenant: TenantId,
        incarnation: Incarnation,
        cursor: Position,
        limit: u32,
    ) -> Result<DeliveryBatch, TrainerError> {
        let until = self.inner.platform.monotonic() + self.inner.options.config.fetch_wait;
        loop {
            let command = RolloutCommand::Fetch { tenant: tenant.clone(), incarnation, cursor, limit };
            let outcome = self.inner.control.execute(Command::Rollout(command), CALL_LIMIT).await?;
            let batch = match outcome {
                CommandOutcome::Delivery(batch) => batch,
                CommandOutcome::Refused(refusal) => return Err(TrainerError::Refused(refusal)),
                _ => return Err(TrainerError::Unavailable),
            };
            let give_up = self.inner.stopping.get() || self.inner.platform.monotonic() >= until;
            if !batch.samples.is_empty() || give_up {
                return Ok(batch);
            }
        }
    }
}
