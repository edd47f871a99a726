//! What engines are asked and what they report.

use crate::identity::{EngineId, Fence, ModelName, WeightVersion, Zone};
use crate::request::{FinishReason, Priority};
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where an engine is and what it can do, as registered.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineDescription {
    /// The engine's identifier.
    pub id: EngineId,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// The model it holds.
    pub model: ModelName,
    /// How many sequences it runs at once.
    pub slots: u32,
}

/// Load as an engine reports it; may lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting.
    pub waiting: u32,
}

/// What an engine says of its weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state", content = "version")]
pub enum WeightState {
    /// The engine confirms that it runs this version.
    Confirmed(WeightVersion),
    /// A load of this version is under way.
    Loading(WeightVersion),
    /// A load failed partway; the engine runs no known version.
    Broken,
}

/// An engine's own report.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine's identifier.
    pub id: EngineId,
    /// Drawn when the engine process started.
    pub incarnation: u64,
    /// Its weights.
    pub weights: WeightState,
    /// The version being fetched while the present one still serves.
    pub pending: Option<WeightVersion>,
    /// Whether the engine is leaving and wants no new work.
    pub leaving: bool,
    /// Its load; may lag.
    pub load: EngineLoad,
    /// The highest fence it has accepted.
    pub fence: Fence,
}

/// A fenced order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Orders below the highest fence an engine has seen are refused.
    pub fence: Fence,
    /// What to do.
    pub action: EngineAction,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Load this weight version.
    LoadWeights(WeightVersion),
    /// Take no new work from now on.
    Leave,
}

/// A generation as sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineRequest {
    /// Unique for each attempt, so that late answers of another attempt are told apart.
    pub attempt_id: u64,
    /// The prompt text.
    pub prompt: String,
    /// Tokens already made by an earlier attempt; generation goes on after them.
    pub resume_tokens: Vec<u32>,
    /// The most tokens in the whole answer, the resumed ones included.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// The caller's class.
    pub priority: Priority,
}

/// One piece of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineChunk {
    /// The attempt it answers.
    pub attempt_id: u64,
    /// Place in the stream, from zero without gaps.
    pub sequence: u32,
    /// The tokens.
    pub tokens: Vec<u32>,
    /// The tokens as text.
    pub text: String,
    /// The version that made them.
    pub version: WeightVersion,
    /// Present on the last chunk.
    pub finish: Option<FinishReason>,
    /// The engine's load when the chunk was made.
    pub load: EngineLoad,
}
