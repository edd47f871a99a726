//! Batch jobs: many generation requests submitted together, run asynchronously, with results read by position.

use crate::identity::TenantId;
use crate::work::WorkDigest;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Identifier of a batch job, chosen by the submitter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct JobId(pub String);

/// Identifier of an item of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct ItemId(pub String);

/// A batch job as submitted.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The job.
    pub id: JobId,
    /// The `Host` of the submission, also used for the items' requests.
    pub host: String,
    /// The path of the submission, which selects the route.
    pub path: String,
    /// The tenant whose key the submission carried; only this tenant may access the job.
    #[serde(skip)]
    pub owner: Option<TenantId>,
    /// The model that the items request.
    pub model: Option<String>,
    /// The trainer's step, from 0.
    pub step: u64,
    /// The oldest weight version that may generate its items.
    pub minimum_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub wanted_groups: u32,
    /// Its generation requests.
    pub items: Vec<JobItem>,
}

/// One request of a job, answered by an engine with a stream of events.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct JobItem {
    /// The item's identifier; a later job may contain the same item.
    pub id: ItemId,
    /// The request path at the engine.
    pub path: String,
    /// The headers as submitted.
    pub headers: Vec<(String, String)>,
    /// The request body; base64 in JSON.
    #[serde(with = "crate::base64_bytes")]
    pub body: Vec<u8>,
    /// Prompt tokens plus the maximum of generated tokens.
    pub tokens: u64,
    /// The item's group; items of a group share a prompt and are needed together.
    pub group: String,
    /// The request that scores the completed text; without one the item's result is listed once the text is
    /// complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scorer: Option<ScoringRequest>,
}

/// A request to score an item's completed text. It is routed by its own host and path and may be retried.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ScoringRequest {
    /// The request's own identifier.
    pub id: String,
    /// The request's `Host`.
    pub host: String,
    /// The request path at the scoring engine.
    pub path: String,
    /// The request body; base64 in JSON.
    #[serde(with = "crate::base64_bytes")]
    pub body: Vec<u8>,
}

impl JobItem {
    /// Digest of the item's request, in a job that `owner` submitted for `host`.
    pub fn work_digest(&self, owner: Option<&TenantId>, host: &str) -> WorkDigest {
        WorkDigest::of_post_request(owner, host, &self.path, &self.body)
    }
}

/// Why a job is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobError {
    /// The identifier of an item's scorer is empty or not printable ASCII without spaces.
    ScorerWithoutId(ItemId),
    /// The host of an item's scorer is empty or not printable ASCII without spaces.
    ScorerWithoutHost(ItemId),
    /// The path of an item's scorer does not begin with a slash, or is not printable ASCII without spaces.
    ScorerPath(ItemId),
}

impl std::fmt::Display for JobError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::ScorerWithoutId(item) => write!(formatter, "the scorer of item `{}` has no id", item.0),
            Self::ScorerWithoutHost(item) => write!(formatter, "the scorer of item `{}` has no host", item.0),
            Self::ScorerPath(item) => {
                write!(formatter, "the path of the scorer of item `{}` must begin with a slash and be one word", item.0)
            }
        }
    }
}

impl JobSubmission {
    /// The first validation error, or `None` if the job is valid.
    pub fn error(&self) -> Option<JobError> {
        self.items.iter().find_map(|item| item.scorer.as_ref()?.error(&item.id))
    }
}

impl ScoringRequest {
    /// Digest of the scoring request, sent on behalf of the job's owner.
    pub fn work_digest(&self, owner: Option<&TenantId>) -> WorkDigest {
        WorkDigest::of_post_request(owner, &self.host, &self.path, &self.body)
    }

    fn error(&self, item: &ItemId) -> Option<JobError> {
        let is_visible_ascii = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_visible_ascii(&self.id) {
            return Some(JobError::ScorerWithoutId(item.clone()));
        }
        if !is_visible_ascii(&self.host) {
            return Some(JobError::ScorerWithoutHost(item.clone()));
        }
        let is_valid_path = self.path.starts_with('/') && is_visible_ascii(&self.path);
        (!is_valid_path).then(|| JobError::ScorerPath(item.clone()))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemEnd {
    /// The text is complete.
    Completed,
    /// The item was aborted.
    Aborted,
}

/// An item's result. Its position in the result list never changes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's index in the job.
    pub item: u32,
    /// How it ended.
    pub end: ItemEnd,
    /// Event data separated by line feeds; base64 in JSON.
    #[serde(with = "crate::base64_bytes")]
    pub text: Vec<u8>,
    /// Weight versions that generated events of the text, ascending.
    pub versions: Vec<u64>,
    /// Value of the stamp header in the scorer's response, if the item has a scorer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
}

/// A chunk of an item's text, appended to the stored text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct TextPart {
    /// The item's index in the job.
    pub item: u32,
    /// Byte offset of the chunk; stored text beyond it is replaced.
    pub offset: u64,
    /// Event data of the chunk.
    pub data: Vec<u8>,
    /// Number of events in the text including this chunk.
    pub events: u32,
    /// Identifier of the last event.
    pub last_event: Option<u64>,
    /// Weight versions that generated these events, ascending.
    pub versions: Vec<u64>,
    /// Whether the text is complete with this chunk.
    pub whole: bool,
}

/// How an item ended, with the rest of its text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// How it ended.
    pub end: ItemEnd,
    /// The rest of its text.
    pub remaining_text: TextPart,
    /// Value of the stamp header in the scorer's response, if the item has a scorer.
    pub score: Option<String>,
}

/// The text of an item that has not ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct PartialText {
    /// Event data separated by line feeds.
    pub data: Vec<u8>,
    /// Number of events.
    pub events: u32,
    /// Identifier of the last event.
    pub last_event: Option<u64>,
    /// Weight versions that generated the events, ascending.
    pub versions: Vec<u64>,
    /// Whether the text is complete and only its score is missing.
    pub whole: bool,
}

impl PartialText {
    /// Appends a chunk; returns `false`, changing nothing, if it starts beyond the end of the stored text.
    pub fn add(&mut self, part: &TextPart) -> bool {
        let Ok(offset) = usize::try_from(part.offset) else {
            return false;
        };
        if offset > self.data.len() {
            return false;
        }
        if offset == 0 {
            // Gives back the memory of a longer text.
            self.data = part.data.clone();
        } else {
            self.data.truncate(offset);
            self.data.extend_from_slice(&part.data);
        }
        self.events = part.events;
        self.last_event = part.last_event;
        self.versions.clone_from(&part.versions);
        self.whole = part.whole;
        true
    }
}

/// A page of a job's results.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ResultPage {
    /// Number of items in the job.
    pub total: u64,
    /// The position after the last result in this page.
    pub next: u64,
    /// Results with their items' identifiers.
    pub results: Vec<(ItemId, ItemResult)>,
}
