//! Requests from callers and what became of them.

use crate::identity::{CallerId, IdempotencyKey, ModelName, TenantId, WeightVersion};
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Caller classes, most urgent first. Engines and relays serve a lower number first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits for the answer.
    Interactive,
    /// An application's background work.
    Batch,
    /// A trainer's sample.
    Rollout,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// May be run again after a failure.
    Repeatable,
    /// Must run at most once.
    NotRepeatable,
}

/// A caller's key with the time from which it is no longer accepted.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RequestKey {
    /// The key itself, unique in a tenant and caller.
    pub key: IdempotencyKey,
    /// Unix time in milliseconds, fixed when the key is made and the same on each resend.
    pub expires_at: u64,
}

/// One generation asked for by a caller, as the relay understands it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CallerRequest {
    /// The tenant whose settings apply.
    pub tenant: TenantId,
    /// The application that asks.
    pub caller: CallerId,
    /// The model asked for.
    pub model: ModelName,
    /// The prompt text.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// The key under which resends are recognised.
    pub key: Option<RequestKey>,
    /// Whether the request may run again.
    pub repeatability: Repeatability,
    /// The caller's class.
    pub priority: Priority,
    /// Time left to answer, in milliseconds from arrival.
    pub deadline_milliseconds: u64,
}

/// What is known of a failed request's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// The request did not run and, where it has a key, cannot run later under that key.
    NotExecuted,
    /// The request may or may not have run, or may still run.
    Unknown,
    /// The request began to run and did not end.
    FailedWhileExecuting,
}

/// Why a request failed, for machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCode {
    /// The relay holds no configuration lease.
    NotReady,
    /// The relay is stopping.
    Stopping,
    /// The tenant's limits or the queue are full.
    Overloaded,
    /// No engine can take the request.
    NoEngine,
    /// The deadline passed.
    DeadlineExceeded,
    /// The tenant is not configured.
    UnknownTenant,
    /// The tenant does not serve this model.
    UnknownModel,
    /// The key was used with another body.
    KeyReused,
    /// The key's expiry has passed.
    KeyExpired,
    /// The key was sealed by an earlier `not_executed` answer.
    KeySealed,
    /// The engine failed while the request ran.
    EngineFailed,
    /// Engines have ended under the same work; it is not sent to another one, for a while or at all.
    EnginesEnded,
    /// Control could not decide in time; resend with the same key.
    Undecided,
    /// An earlier copy of the request was lost while it may have run.
    EarlierAttemptLost,
    /// The request is malformed.
    InvalidRequest,
}

/// A failed request's final answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RequestFailure {
    /// What is known of the execution.
    pub outcome: ExecutionOutcome,
    /// Why, for machines.
    pub code: FailureCode,
    /// Why, for people.
    pub message: String,
    /// When to come back, in milliseconds; zero when a resend cannot help.
    pub retry_after_milliseconds: u64,
}

impl RequestFailure {
    /// A failure with the given parts.
    pub fn new(
        outcome: ExecutionOutcome,
        code: FailureCode,
        message: impl Into<String>,
        retry_after_milliseconds: u64,
    ) -> Self {
        Self { outcome, code, message: message.into(), retry_after_milliseconds }
    }
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// A run of tokens made by one weight version.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct VersionSpan {
    /// The version the engine reported for these tokens.
    pub version: WeightVersion,
    /// How many tokens in a row it made.
    pub tokens: u32,
}

/// A whole generated answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Generation {
    /// The generated tokens, in order.
    pub tokens: Vec<u32>,
    /// The tokens as text.
    pub text: String,
    /// The versions that made them, in order.
    pub versions: Vec<VersionSpan>,
    /// Why it ended.
    pub finish: FinishReason,
}

impl Generation {
    /// An answer to which nothing has been added yet.
    pub fn empty() -> Self {
        Self { tokens: Vec::new(), text: String::new(), versions: Vec::new(), finish: FinishReason::Stop }
    }

    /// Adds tokens made by `version`.
    pub fn extend(&mut self, tokens: &[u32], text: &str, version: WeightVersion) {
        self.tokens.extend_from_slice(tokens);
        self.text.push_str(text);
        extend_spans(&mut self.versions, version, tokens.len() as u32);
    }
}

/// Adds `tokens` made by `version` to `spans`.
pub fn extend_spans(spans: &mut Vec<VersionSpan>, version: WeightVersion, tokens: u32) {
    if tokens == 0 {
        return;
    }
    match spans.last_mut() {
        Some(last) if last.version == version => last.tokens += tokens,
        _ => spans.push(VersionSpan { version, tokens }),
    }
}

/// One piece of an answer on its way to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AnswerPart {
    /// Further tokens and the version that made them.
    Tokens {
        /// The tokens.
        tokens: Vec<u32>,
        /// The tokens as text.
        text: String,
        /// The version the engine reported.
        version: WeightVersion,
    },
    /// The explicit end: the answer is whole.
    End(FinishReason),
    /// The answer will not be completed.
    Failed(RequestFailure),
}
