//! Trainers' steps, their samples and the delivery of samples.

use crate::identity::{Attempt, DeliveryEpoch, Incarnation, Position, StepNumber, TenantId, WeightVersion};
use crate::request::Generation;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Names one sample for ever: the same prompt, group place and step give the same identifier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct SampleId {
    /// The tenant that trains.
    pub tenant: TenantId,
    /// The step it was asked for in.
    pub step: StepNumber,
    /// Which of the step's prompts.
    pub prompt: u32,
    /// Which of the prompt's group.
    pub member: u32,
}

impl fmt::Display for SampleId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}/{}", self.tenant, self.step, self.prompt, self.member)
    }
}

/// A trainer's request for a step's samples.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct StepRequest {
    /// The step's number; the same number again is a resend.
    pub step: StepNumber,
    /// The prompts.
    pub prompts: Vec<String>,
    /// Samples for each prompt.
    pub group_size: u32,
    /// The most tokens in each sample.
    pub max_tokens: u32,
}

/// A finished sample.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct SamplePayload {
    /// The generated answer with the versions that made it.
    pub generation: Generation,
    /// The scorer's reward, in thousandths.
    pub reward_milli: i64,
}

impl SamplePayload {
    /// The oldest version that made any of the sample.
    pub fn oldest_version(&self) -> WeightVersion {
        let versions = self.generation.versions.iter().map(|span| span.version);
        versions.min().unwrap_or_default()
    }
}

/// Work handed to a relay: run this sample under this attempt number.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SampleAssignment {
    /// The sample.
    pub sample: SampleId,
    /// The attempt; a completion with another number is dropped.
    pub attempt: Attempt,
    /// The prompt text.
    pub prompt: String,
    /// The most tokens.
    pub max_tokens: u32,
    /// The oldest weight version that could still be delivered at the time of assignment.
    pub oldest_useful_version: WeightVersion,
}

/// A sample with its place in the delivery order.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct DeliveredSample {
    /// Its place.
    pub position: Position,
    /// Its identifier.
    pub sample: SampleId,
    /// The sample itself.
    pub payload: SamplePayload,
}

/// What a fetch brings.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct DeliveryBatch {
    /// A trainer drops a batch whose epoch is below the newest it has seen.
    pub epoch: DeliveryEpoch,
    /// The trainer's published version that staleness was decided against.
    pub published: WeightVersion,
    /// The samples, in order of position, directly after the cursor.
    pub samples: Vec<DeliveredSample>,
}

/// Where a trainer stands, as recorded.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct TrainerState {
    /// The incarnation that may act.
    pub incarnation: Incarnation,
    /// The current delivery epoch.
    pub epoch: DeliveryEpoch,
    /// The last position the trainer has received.
    pub cursor: Position,
    /// The newest published version.
    pub published: WeightVersion,
    /// The newest step opened.
    pub last_step: StepNumber,
}
