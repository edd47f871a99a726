//! Training steps, samples and sample delivery.

use crate::identity::{Attempt, DeliveryEpoch, Incarnation, Position, StepNumber, TenantId, WeightVersion};
use crate::request::Generation;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Stable identifier of a sample, determined by tenant, step, prompt and group member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct SampleId {
    /// The tenant whose trainer requested it.
    pub tenant: TenantId,
    /// The step that requested it.
    pub step: StepNumber,
    /// Index of the prompt in the step.
    pub prompt: u32,
    /// Index of the sample in the prompt's group.
    pub member: u32,
}

impl fmt::Display for SampleId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}/{}", self.tenant, self.step, self.prompt, self.member)
    }
}

/// A trainer's request for the samples of a step.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct StepRequest {
    /// The step's number; a repeated number marks a resend.
    pub step: StepNumber,
    /// The prompt texts; `group_size` samples are generated for each.
    pub prompts: Vec<String>,
    /// Number of samples per prompt.
    pub group_size: u32,
    /// Maximum tokens per sample.
    pub max_tokens: u32,
}

/// Content of a finished sample: the response and its reward.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct SamplePayload {
    /// The generated response.
    pub generation: Generation,
    /// The scorer's reward, in thousandths.
    pub reward_milli: i64,
}

impl SamplePayload {
    /// The oldest weight version that generated any of the tokens.
    pub fn oldest_version(&self) -> WeightVersion {
        let versions = self.generation.versions.iter().map(|span| span.version);
        versions.min().unwrap_or_default()
    }
}

/// Assignment of a sample to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SampleAssignment {
    /// The sample.
    pub sample: SampleId,
    /// The attempt number; a completion with another number is discarded.
    pub attempt: Attempt,
    /// The prompt text.
    pub prompt: String,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// The oldest weight version that was within the staleness bound at assignment.
    pub oldest_useful_version: WeightVersion,
}

/// A sample and its position in the delivery order.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct DeliveredSample {
    /// Position in the trainer's delivery order.
    pub position: Position,
    /// Identifier of the sample.
    pub sample: SampleId,
    /// The sample's content.
    pub payload: SamplePayload,
}

/// Result of a fetch.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct DeliveryBatch {
    /// Delivery epoch; a trainer discards a batch with a lower epoch than the highest it has seen.
    pub epoch: DeliveryEpoch,
    /// The trainer's published version, against which staleness was computed.
    pub published: WeightVersion,
    /// The samples directly after the cursor, ordered by position.
    pub samples: Vec<DeliveredSample>,
}

/// A trainer's committed state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct TrainerState {
    /// The current incarnation; lower ones are fenced.
    pub incarnation: Incarnation,
    /// The current delivery epoch.
    pub epoch: DeliveryEpoch,
    /// The last position the trainer has acknowledged.
    pub cursor: Position,
    /// The newest published version.
    pub published: WeightVersion,
    /// The most recently opened step.
    pub last_step: StepNumber,
}
