//! Batch jobs: many streams that are handed in at once, run later, and read by position.

use crate::identity::TenantId;
use crate::work::WorkDigest;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A batch job, named by whoever hands it in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct JobId(pub String);

/// An item of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct ItemId(pub String);

/// A batch job as it is handed in.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The job.
    pub id: JobId,
    /// The host that it was sent to; its items are sent with it.
    pub host: String,
    /// The path that it was sent to; chooses the route.
    pub path: String,
    /// The tenant by whose key it was handed in; only that one may use it.
    #[serde(skip)]
    pub owner: Option<TenantId>,
    /// The model that its items ask for.
    pub model: Option<String>,
    /// The trainer's step, from 0.
    pub step: u64,
    /// The oldest weight version that may make its text.
    pub minimum_version: u64,
    /// Whole groups that the trainer waits for.
    pub wanted_groups: u32,
    /// The items.
    pub items: Vec<JobItem>,
}

/// One item: a request that an engine answers with a stream of events.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct JobItem {
    /// The item; the same one may come again in a later job.
    pub id: ItemId,
    /// The path at the engine.
    pub path: String,
    /// Its headers, as handed in.
    pub headers: Vec<(String, String)>,
    /// Its body; base64 in JSON.
    #[serde(with = "crate::base64_bytes")]
    pub body: Vec<u8>,
    /// Tokens of the prompt and at most generated, together.
    pub tokens: u64,
    /// Items of a group share their prompt and are wanted together.
    pub group: String,
    /// Who is asked to score its whole text; without one it is listed as soon as the text is whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scorer: Option<ScoringRequest>,
}

/// The request that has an item's whole text scored. It goes by the route of its own host and path, and may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ScoringRequest {
    /// The request's own identifier.
    pub id: String,
    /// The host that it is sent with.
    pub host: String,
    /// The path at the scoring engine.
    pub path: String,
    /// Its body; base64 in JSON.
    #[serde(with = "crate::base64_bytes")]
    pub body: Vec<u8>,
}

impl JobItem {
    /// What the item asks for, as a part of a job that `owner` handed in for `host`.
    pub fn work_digest(&self, owner: Option<&TenantId>, host: &str) -> WorkDigest {
        WorkDigest::of_posted(owner, host, &self.path, &self.body)
    }
}

/// Why a job cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobError {
    /// An item's scorer has no identifier.
    ScorerWithoutId(ItemId),
    /// An item's scorer has no host.
    ScorerWithoutHost(ItemId),
    /// The path of an item's scorer does not begin with a slash, or cannot stand in a request.
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
    /// What is wrong with the job, or `None`.
    pub fn error(&self) -> Option<JobError> {
        self.items.iter().find_map(|item| item.scorer.as_ref()?.error(&item.id))
    }
}

impl ScoringRequest {
    /// What the request asks for, on behalf of the owner of a job.
    pub fn work_digest(&self, owner: Option<&TenantId>) -> WorkDigest {
        WorkDigest::of_posted(owner, &self.host, &self.path, &self.body)
    }

    fn error(&self, item: &ItemId) -> Option<JobError> {
        let fits_a_header = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        if !fits_a_header(&self.id) {
            return Some(JobError::ScorerWithoutId(item.clone()));
        }
        if !fits_a_header(&self.host) {
            return Some(JobError::ScorerWithoutHost(item.clone()));
        }
        let path_fits = self.path.starts_with('/') && fits_a_header(&self.path);
        (!path_fits).then(|| JobError::ScorerPath(item.clone()))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemEnd {
    /// Its text is whole.
    Completed,
    /// It was given up.
    Aborted,
}

/// An item's result; it keeps its position.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's index in the job.
    pub item: u32,
    /// How it ended.
    pub end: ItemEnd,
    /// The data of its events, parted by line feeds; base64 in JSON.
    #[serde(with = "crate::base64_bytes")]
    pub text: Vec<u8>,
    /// The weight versions that made an event of the text, ascending.
    pub versions: Vec<u64>,
    /// The stamp of its scorer's answer, where the item names a scorer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
}

/// A piece of an item's text, which goes after what is held already.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct TextPart {
    /// The item's index in the job.
    pub item: u32,
    /// How many bytes of the text go before it; anything held beyond them is replaced.
    pub offset: u64,
    /// The bytes.
    pub data: Vec<u8>,
    /// Events that the text holds with them.
    pub events: u32,
    /// The last of those events.
    pub last_event: Option<u64>,
    /// The weight versions that made them all, ascending.
    pub versions: Vec<u64>,
    /// The text is whole with them.
    pub whole: bool,
}

/// How an item has ended, with the rest of its text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// How it ended.
    pub end: ItemEnd,
    /// The rest of its text.
    pub rest: TextPart,
    /// The stamp of its scorer's answer, where the item names a scorer.
    pub score: Option<String>,
}

/// The text of an item that has not ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct PartialText {
    /// The data of its events, parted by line feeds.
    pub data: Vec<u8>,
    /// Its events.
    pub events: u32,
    /// The last of them.
    pub last_event: Option<u64>,
    /// The weight versions that made them, ascending.
    pub versions: Vec<u64>,
    /// Nothing is missing; only its score is.
    pub whole: bool,
}

impl PartialText {
    /// Adds a part; `false` if it does not follow what is held.
    pub fn add(&mut self, part: &TextPart) -> bool {
        let Ok(offset) = usize::try_from(part.offset) else {
            return false;
        };
        if offset > self.data.len() {
            return false;
        }
        self.data.truncate(offset);
        self.data.extend_from_slice(&part.data);
        self.events = part.events;
        self.last_event = part.last_event;
        self.versions.clone_from(&part.versions);
        self.whole = part.whole;
        true
    }
}

/// A part of a job's results.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct ResultPage {
    /// Items of the job.
    pub total: u64,
    /// The position after the last result given.
    pub next: u64,
    /// Results with their items' identifiers.
    pub results: Vec<(ItemId, ItemResult)>,
}
