//! JSON forms: the OpenAI protocol's, with a few more fields, and the trainers'.

use saddlerelay_types::identity::{Incarnation, Position, WeightVersion};
use saddlerelay_types::request::{FinishReason, VersionSpan};
use serde::{Deserialize, Serialize};

/// Header with the caller's key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the Unix milliseconds from which the key is refused.
pub const KEY_EXPIRES_HEADER: &str = "idempotency-key-expires";
/// Header that marks a request which must run at most once.
pub const NOT_REPEATABLE_HEADER: &str = "saddlerelay-not-repeatable";
/// Header with the milliseconds left to answer.
pub const DEADLINE_HEADER: &str = "saddlerelay-deadline-ms";
/// Header that lowers the request's class to `batch`.
pub const CLASS_HEADER: &str = "saddlerelay-class";
/// Header of answers with the weight versions used, oldest first.
pub const VERSIONS_HEADER: &str = "saddlerelay-weight-versions";
/// Header of failed answers with what is known of the execution.
pub const OUTCOME_HEADER: &str = "saddlerelay-execution";

/// Tokens in an answer when the request names no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 256;
/// Milliseconds to answer when the request names no deadline.
pub const DEFAULT_DEADLINE_MILLISECONDS: u64 = 60_000;

/// A message's content: a text, or parts of which those of type `text` count.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum MessageContent {
    /// A text.
    Text(String),
    /// Parts.
    Parts(Vec<ContentPart>),
}

/// A part of a message.
#[derive(Clone, Debug, Deserialize)]
pub struct ContentPart {
    /// The text, if it is one.
    #[serde(default)]
    pub text: String,
}

/// A message.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What.
    pub content: MessageContent,
}

/// A request for a chat completion.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Most tokens, by its older name.
    pub max_tokens: Option<u32>,
    /// Most tokens.
    pub max_completion_tokens: Option<u32>,
    /// Sampling seed.
    pub seed: Option<u64>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// Choices; only one is supported.
    pub n: Option<u32>,
}

/// A request for a completion.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens.
    pub max_tokens: Option<u32>,
    /// Sampling seed.
    pub seed: Option<u64>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// Choices; only one is supported.
    pub n: Option<u32>,
}

/// The conversation as one prompt.
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

/// Which of the two forms an answer takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// Chat completion.
    Chat,
    /// Completion.
    Completion,
}

impl AnswerForm {
    /// The `object` of a whole answer.
    pub fn whole_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion",
            Self::Completion => "text_completion",
        }
    }

    /// The `object` of a streamed part.
    pub fn part_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion.chunk",
            Self::Completion => "text_completion",
        }
    }
}

/// A message or a part of one.
#[derive(Clone, Debug, Serialize)]
pub struct AnswerMessage {
    /// Always `assistant`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// The text.
    pub content: String,
}

/// One choice: `message` in a whole chat answer, `delta` in a streamed one, `text` in a completion.
#[derive(Clone, Debug, Serialize)]
pub struct AnswerChoice {
    /// Always zero.
    pub index: u32,
    /// Of a whole chat answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<AnswerMessage>,
    /// Of a streamed chat answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<AnswerMessage>,
    /// Of a completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Present at the end.
    pub finish_reason: Option<FinishReason>,
}

/// Token counts.
#[derive(Clone, Debug, Serialize)]
pub struct Usage {
    /// Words of the prompt: the relay does not tokenize.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u32,
}

/// An answer or a part of one.
#[derive(Clone, Debug, Serialize)]
pub struct AnswerBody {
    /// Unique for the answer.
    pub id: String,
    /// The form's name.
    pub object: &'static str,
    /// Unix seconds.
    pub created: u64,
    /// The model.
    pub model: String,
    /// One choice.
    pub choices: Vec<AnswerChoice>,
    /// Of a whole answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// The versions that made it.
    pub weight_versions: Vec<VersionSpan>,
}

/// One model.
#[derive(Clone, Debug, Serialize)]
pub struct ModelEntry {
    /// Its name.
    pub id: String,
    /// Always `model`.
    pub object: &'static str,
    /// Always zero.
    pub created: u64,
    /// Always `saddlerelay`.
    pub owned_by: &'static str,
}

/// The models.
#[derive(Clone, Debug, Serialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: &'static str,
    /// The models.
    pub data: Vec<ModelEntry>,
}

/// A trainer starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenTrainerBody {
    /// Rises with each start.
    pub incarnation: Incarnation,
}

/// A trainer publishes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PublishBody {
    /// The trainer's incarnation.
    pub incarnation: Incarnation,
    /// The version.
    pub version: WeightVersion,
    /// The last position received.
    pub cursor: Position,
}

/// A trainer opens a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenStepBody {
    /// The trainer's incarnation.
    pub incarnation: Incarnation,
    /// The step.
    #[serde(flatten)]
    pub request: saddlerelay_types::rollout::StepRequest,
}
