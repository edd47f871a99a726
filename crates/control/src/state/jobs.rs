//! Batch jobs and their results.

use crate::state::text_archive::{LoadedTexts, TextArchive, TextPlace};
use bitcode::{Decode, Encode};
use saddlerelay_types::job::{
    ItemEnd, ItemId, ItemOutcome, ItemResult, JobId, JobItem, JobSubmission, PartialText, ResultPage, TextPart,
};
use std::collections::BTreeMap;

/// Most bytes of text in one page of results, unless a single result is larger.
const PAGE_BYTES: usize = 900_000;

/// Ended jobs in which a later one looks for texts of its items.
const PREDECESSORS_USED: usize = 3;

/// Jobs after which the partial texts of an ended one are forgotten.
const PARTIALS_KEPT: u64 = 16;

/// Tells whether an item of another job is the same request.
pub fn request_digest(item: &JobItem) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&item.body, xxhash_rust::xxh3::xxh3_64(item.path.as_bytes()))
}

/// An item's result, with the place of its text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ListedItem {
    /// The item's index in the job.
    pub item: u32,
    /// How it ended.
    pub end: ItemEnd,
    /// Where its text stands.
    pub text: TextPlace,
    /// Events of its text.
    pub events: u32,
    /// The weight versions that made an event of the text, ascending.
    pub versions: Vec<u64>,
    /// The stamp of its scorer's answer, where the item names a scorer.
    pub score: Option<String>,
}

/// The events of a text: line feeds part them.
fn events_of(text: &[u8]) -> u32 {
    if text.is_empty() { 0 } else { text.iter().filter(|byte| **byte == b'\n').count() as u32 + 1 }
}

/// One job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Job {
    /// What was handed in. Items that are listed have lost headers, bodies and scorers: nothing needs them any more.
    pub submission: JobSubmission,
    /// For each item, what tells whether another job's is the same request.
    pub(super) digests: Vec<u64>,
    /// The results at their positions.
    pub(super) results: Vec<ListedItem>,
    /// For each item, whether it stands among the results.
    pub(super) listed: Vec<bool>,
    /// Texts of items without a result.
    pub(super) partial: BTreeMap<u32, PartialText>,
    /// Nothing of it runs any more.
    pub(super) ended: bool,
    /// Readable until then, in the state's time.
    pub(super) keep_until: u64,
    /// Counts jobs as they were taken.
    pub(super) order: u64,
}

impl Job {
    /// The results at their positions.
    pub fn results(&self) -> &[ListedItem] {
        &self.results
    }

    /// What tells whether another job's item is the same request as the one at `index`.
    pub fn digest(&self, index: u32) -> Option<u64> {
        self.digests.get(index as usize).copied()
    }

    /// Its place among all jobs, as they were taken.
    pub fn order(&self) -> u64 {
        self.order
    }

    /// Whether nothing of it runs any more.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether the item at `index` has a result.
    pub fn is_listed(&self, index: u32) -> bool {
        self.listed.get(index as usize).copied().unwrap_or(true)
    }

    /// What is held of the text of an item without a result.
    pub fn partial_text(&self, index: u32) -> Option<&PartialText> {
        self.partial.get(&index)
    }

    /// The result of a completed item.
    pub fn completed(&self, index: u32) -> Option<&ListedItem> {
        self.results.iter().find(|result| result.item == index && result.end == ItemEnd::Completed)
    }

    /// Items without a result.
    pub fn open_items(&self) -> impl Iterator<Item = (u32, &JobItem)> {
        let items = self.submission.items.iter().enumerate().map(|(index, item)| (index as u32, item));
        items.filter(|(index, _)| !self.is_listed(*index))
    }

    /// The results of a page that begins at position `after`.
    fn page(&self, after: u64) -> &[ListedItem] {
        let start = usize::try_from(after).unwrap_or(usize::MAX).min(self.results.len());
        let mut bytes = 0;
        let fits = |result: &&ListedItem| {
            let is_first = bytes == 0;
            bytes += result.text.length().max(1);
            is_first || bytes <= PAGE_BYTES
        };
        let count = self.results[start..].iter().take_while(fits).count();
        &self.results[start..start + count]
    }
}

/// Every job.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct JobTable {
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) taken: u64,
    pub(super) texts: TextArchive,
}

impl JobTable {
    /// A job.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// The texts of all results.
    pub fn texts(&self) -> &TextArchive {
        &self.texts
    }

    /// The texts of all results, to release what is on disk.
    pub fn texts_mut(&mut self) -> &mut TextArchive {
        &mut self.texts
    }

    /// Results of a job from position `after` on, or the texts that have to be loaded for them first. `None` if there is no
    /// such job.
    pub fn page(&self, id: &JobId, after: u64, loaded: &LoadedTexts) -> Option<Result<ResultPage, Vec<TextPlace>>> {
        let job = self.jobs.get(id)?;
        let mut results = Vec::new();
        let mut missing = Vec::new();
        for listed in job.page(after) {
            match self.texts.text(&listed.text, loaded) {
                Some(text) => {
                    let id = job.submission.items[listed.item as usize].id.clone();
                    let result = ItemResult {
                        item: listed.item,
                        end: listed.end,
                        text: text.to_vec(),
                        versions: listed.versions.clone(),
                        score: listed.score.clone(),
                    };
                    results.push((id, result));
                }
                None => missing.push(listed.text),
            }
        }
        if !missing.is_empty() {
            return Some(Err(missing));
        }
        let next = after + results.len() as u64;
        Some(Ok(ResultPage { total: job.submission.items.len() as u64, next, results }))
    }

    /// The jobs that still run.
    pub fn open(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter().filter(|(_, job)| !job.ended)
    }

    /// Keeps a job; one that is known already stays as it is.
    pub fn submit(&mut self, submission: JobSubmission, now: u64, keep_ms: u64) {
        self.drop_expired(now);
        self.taken += 1;
        let order = self.taken;
        let new = || Job {
            listed: vec![false; submission.items.len()],
            digests: submission.items.iter().map(request_digest).collect(),
            submission: submission.clone(),
            results: Vec::new(),
            partial: BTreeMap::new(),
            ended: false,
            keep_until: now + keep_ms,
            order,
        };
        self.jobs.entry(submission.id.clone()).or_insert_with(new);
    }

    fn drop_expired(&mut self, now: u64) {
        let expired = |job: &Job| job.ended && job.keep_until <= now;
        for listed in self.jobs.values().filter(|job| expired(job)).flat_map(|job| &job.results) {
            self.texts.forget(&listed.text);
        }
        self.jobs.retain(|_, job| !expired(job));
        let oldest_used = self.taken.saturating_sub(PARTIALS_KEPT);
        for job in self.jobs.values_mut().filter(|job| job.ended && job.order < oldest_used) {
            job.partial.clear();
        }
    }

    /// Keeps parts of texts; those of listed items, and those that do not follow what is held, change nothing.
    pub fn keep_texts(&mut self, id: &JobId, parts: &[TextPart]) -> bool {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.ended) else {
            return false;
        };
        for part in parts {
            if !job.is_listed(part.item) {
                job.partial.entry(part.item).or_default().add(part);
            }
        }
        true
    }

    /// Lists results at the next positions. An item is listed once, and nothing is listed after the end. Returns the
    /// items whose texts cannot be made whole, or `None` if there is no such open job.
    pub fn list(&mut self, id: &JobId, outcomes: Vec<ItemOutcome>) -> Option<Vec<u32>> {
        let job = self.jobs.get_mut(id).filter(|job| !job.ended)?;
        let mut missing = Vec::new();
        for outcome in outcomes {
            let item = outcome.rest.item;
            if job.is_listed(item) {
                continue;
            }
            let mut text = job.partial.remove(&item).unwrap_or_default();
            if !text.add(&outcome.rest) {
                missing.push(item);
                continue;
            }
            job.listed[item as usize] = true;
            let kept = &mut job.submission.items[item as usize];
            kept.headers = Vec::new();
            kept.body = Vec::new();
            kept.scorer = None;
            job.results.push(ListedItem {
                item,
                end: outcome.end,
                text: self.texts.append(&text.data),
                events: events_of(&text.data),
                versions: text.versions,
                score: outcome.score,
            });
        }
        Some(missing)
    }

    /// The latest jobs before `id` that the same tenant has sent to the same place and that have ended, newest first.
    pub fn predecessors<'a>(&'a self, id: &JobId) -> impl Iterator<Item = &'a Job> + use<'a> {
        let job = self.jobs.get(id);
        let same_place = move |other: &&Job| {
            job.is_some_and(|job| {
                other.ended
                    && other.order < job.order
                    && other.submission.owner == job.submission.owner
                    && other.submission.host == job.submission.host
                    && other.submission.path.rsplit_once('/').map(|parts| parts.0)
                        == job.submission.path.rsplit_once('/').map(|parts| parts.0)
            })
        };
        let mut found: Vec<&Job> = self.jobs.values().filter(same_place).collect();
        found.sort_by_key(|job| std::cmp::Reverse(job.order));
        found.into_iter().take(PREDECESSORS_USED)
    }

    /// Ends a job; `false` if there is none.
    pub fn end(&mut self, id: &JobId) -> bool {
        let job = self.jobs.get_mut(id);
        job.map(|job| job.ended = true).is_some()
    }

    /// The body of an item that is not listed, while its job is open.
    pub fn body(&self, id: &JobId, item: &ItemId) -> Option<&[u8]> {
        let job = self.jobs.get(id).filter(|job| !job.ended)?;
        let mut open = job.open_items();
        open.find(|(_, open)| open.id == *item).map(|(_, open)| open.body.as_slice())
    }
}
