//! Headers and JSON bodies: the OpenAI API with additional fields, and the trainer API.

use saddlerelay_types::identity::{Incarnation, Position, WeightVersion};
use saddlerelay_types::request::{FinishReason, VersionSpan};
use serde::{Deserialize, Serialize};

/// Request header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Request header with the expiry of the idempotency key, in Unix milliseconds.
pub const KEY_EXPIRES_HEADER: &str = "idempotency-key-expires";
/// Request header that marks a request which must run at most once.
pub const NOT_REPEATABLE_HEADER: &str = "saddlerelay-not-repeatable";
/// Request header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "saddlerelay-deadline-ms";
/// Request header with the priority class; can only lower the tenant's class.
pub const CLASS_HEADER: &str = "saddlerelay-class";
/// Response header with the weight versions used, in order of use.
pub const VERSIONS_HEADER: &str = "saddlerelay-weight-versions";
/// Response header of failures with the execution outcome.
pub const OUTCOME_HEADER: &str = "saddlerelay-execution";

/// Maximum number of generated tokens if the request sets none.
pub const DEFAULT_MAX_TOKENS: u32 = 256;
/// Deadline in milliseconds if the request sets none.
pub const DEFAULT_DEADLINE_MILLISECONDS: u64 = 60_000;

/// Content of a message.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum MessageContent {
    /// A plain string.
    Text(String),
    /// A list of parts, of which only text parts are used.
    Parts(Vec<ContentPart>),
}

/// A part of a message's content.
#[derive(Clone, Debug, Deserialize)]
pub struct ContentPart {
    /// The text; empty for parts of another type.
    #[serde(default)]
    pub text: String,
}

/// A chat message of a request.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Content.
    pub content: MessageContent,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation, oldest message first.
    pub messages: Vec<ChatMessage>,
    /// Deprecated name of `max_completion_tokens`.
    pub max_tokens: Option<u32>,
    /// Maximum number of tokens to generate.
    pub max_completion_tokens: Option<u32>,
    /// Sampling seed.
    pub seed: Option<u64>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Number of choices; only 1 is supported.
    pub n: Option<u32>,
}

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: Option<u32>,
    /// Sampling seed.
    pub seed: Option<u64>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Number of choices; only 1 is supported.
    pub n: Option<u32>,
}

/// Formats a conversation as a single prompt.
pub fn chat_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let content = match &message.content {
            MessageContent::Text(text) => text.clone(),
            MessageContent::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        };
        prompt.push_str(&format!("{}: {content}\n", message.role));
    }
    prompt.push_str("assistant:");
    prompt
}

/// Response format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyFormat {
    /// Chat completion.
    Chat,
    /// Completion.
    Completion,
}

impl ReplyFormat {
    /// Value of `object` in a complete response.
    pub fn complete_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion",
            Self::Completion => "text_completion",
        }
    }

    /// Value of `object` in a streamed chunk.
    pub fn chunk_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion.chunk",
            Self::Completion => "text_completion",
        }
    }
}

/// A message of a response, or the delta of a streamed one.
#[derive(Clone, Debug, Serialize)]
pub struct ReplyMessage {
    /// Always `assistant`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// The text.
    pub content: String,
}

/// A choice of a response.
#[derive(Clone, Debug, Serialize)]
pub struct ReplyChoice {
    /// Always zero.
    pub index: u32,
    /// Set in a complete chat response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<ReplyMessage>,
    /// Set in a chunk of a streamed chat response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<ReplyMessage>,
    /// Set in a completion, complete or streamed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Set in a complete response and in the last chunk of a stream.
    pub finish_reason: Option<FinishReason>,
}

/// Token counts.
#[derive(Clone, Debug, Serialize)]
pub struct Usage {
    /// Number of words in the prompt, as the relay does not tokenize.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// A complete response or a streamed chunk.
#[derive(Clone, Debug, Serialize)]
pub struct ReplyJson {
    /// Response identifier, the same in all chunks.
    pub id: String,
    /// Object type, which depends on the format.
    pub object: &'static str,
    /// Creation time in Unix seconds.
    pub created: u64,
    /// The model.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<ReplyChoice>,
    /// Set in a complete response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Weight versions that generated the tokens, with the token count of each.
    pub weight_versions: Vec<VersionSpan>,
}

/// An entry of the model list.
#[derive(Clone, Debug, Serialize)]
pub struct ModelEntry {
    /// Model name.
    pub id: String,
    /// Always `model`.
    pub object: &'static str,
    /// Always zero; the creation time is unknown.
    pub created: u64,
    /// Always `saddlerelay`.
    pub owned_by: &'static str,
}

/// Body of the response to `GET /v1/models`.
#[derive(Clone, Debug, Serialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: &'static str,
    /// The models of all tenants, sorted by name.
    pub data: Vec<ModelEntry>,
}

/// Body of `POST /v1/trainers/TENANT/open`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenTrainerBody {
    /// The trainer's incarnation, which increases with each start.
    pub incarnation: Incarnation,
}

/// Body of `POST /v1/trainers/TENANT/versions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PublishBody {
    /// The trainer's incarnation.
    pub incarnation: Incarnation,
    /// The published weight version.
    pub version: WeightVersion,
    /// Position of the last sample that the trainer received.
    pub cursor: Position,
}

/// Body of `POST /v1/trainers/TENANT/steps`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenStepBody {
    /// The trainer's incarnation.
    pub incarnation: Incarnation,
    /// The step to open.
    #[serde(flatten)]
    pub request: saddlerelay_types::rollout::StepRequest,
}
