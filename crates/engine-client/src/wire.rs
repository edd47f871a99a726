//! What goes over HTTP to and from engines: the OpenAI completions protocol with a few more fields, and the engine's
//! control endpoints.

use saddlerelay_types::engine::{EngineChunk, EngineLoad, EngineRequest};
use saddlerelay_types::identity::WeightVersion;
use saddlerelay_types::request::{FinishReason, Priority};
use serde::{Deserialize, Serialize};

/// Generations.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// The engine's own report.
pub const STATUS_PATH: &str = "/server_info";
/// Fenced orders.
pub const ORDER_PATH: &str = "/orders";
/// Scores.
pub const SCORE_PATH: &str = "/score";
/// The platform's machine list.
pub const MACHINES_PATH: &str = "/machines";

/// A generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Always true.
    pub stream: bool,
    /// Lower is more urgent.
    pub priority: u32,
    /// Unique for each attempt.
    pub attempt_id: u64,
    /// Tokens made by an earlier attempt.
    #[serde(default)]
    pub resume_token_ids: Vec<u32>,
}

impl CompletionRequest {
    /// The wire form of `request`.
    pub fn new(model: String, request: EngineRequest) -> Self {
        let priority = match request.priority {
            Priority::Interactive => 0,
            Priority::Batch => 1,
            Priority::Rollout => 2,
        };
        Self {
            model,
            prompt: request.prompt,
            max_tokens: request.max_tokens,
            seed: request.seed,
            stream: true,
            priority,
            attempt_id: request.attempt_id,
            resume_token_ids: request.resume_tokens,
        }
    }
}

impl From<CompletionRequest> for EngineRequest {
    fn from(request: CompletionRequest) -> Self {
        let priority = match request.priority {
            0 => Priority::Interactive,
            1 => Priority::Batch,
            _ => Priority::Rollout,
        };
        Self {
            attempt_id: request.attempt_id,
            prompt: request.prompt,
            resume_tokens: request.resume_token_ids,
            max_tokens: request.max_tokens,
            seed: request.seed,
            priority,
        }
    }
}

/// One choice of a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always zero.
    pub index: u32,
    /// The tokens as text.
    pub text: String,
    /// The tokens.
    pub token_ids: Vec<u32>,
    /// Present on the last chunk.
    pub finish_reason: Option<FinishReason>,
}

/// One event of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// The attempt it answers.
    pub attempt_id: u64,
    /// Place in the stream.
    pub sequence: u32,
    /// The version that made the tokens.
    pub weight_version: WeightVersion,
    /// The engine's load.
    pub load: EngineLoad,
    /// One choice.
    pub choices: Vec<CompletionChoice>,
}

impl From<EngineChunk> for CompletionChunk {
    fn from(chunk: EngineChunk) -> Self {
        let choice =
            CompletionChoice { index: 0, text: chunk.text, token_ids: chunk.tokens, finish_reason: chunk.finish };
        Self {
            attempt_id: chunk.attempt_id,
            sequence: chunk.sequence,
            weight_version: chunk.version,
            load: chunk.load,
            choices: vec![choice],
        }
    }
}

impl From<CompletionChunk> for EngineChunk {
    fn from(chunk: CompletionChunk) -> Self {
        let choice = chunk.choices.into_iter().next();
        let (tokens, text, finish) = match choice {
            Some(choice) => (choice.token_ids, choice.text, choice.finish_reason),
            None => (Vec::new(), String::new(), None),
        };
        Self {
            attempt_id: chunk.attempt_id,
            sequence: chunk.sequence,
            tokens,
            text,
            version: chunk.weight_version,
            finish,
            load: chunk.load,
        }
    }
}

/// An error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorReply {
    /// The error.
    pub error: ErrorDetail,
}

/// An error's parts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// For people.
    pub message: String,
    /// `false` when the engine says that it did not admit the request.
    pub admitted: Option<bool>,
}

/// Asks for a score.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScoreRequest {
    /// The prompt.
    pub prompt: String,
    /// The generated text.
    pub text: String,
}

/// A score.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScoreReply {
    /// Thousandths.
    pub reward_milli: i64,
}
