//! Batch jobs and their results.

use crate::state::text_archive::{LoadedTexts, TextArchive, TextLocation};
use crate::state::uptime_expiry::UptimeExpiry;
use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::UptimeAdvance;
use saddlerelay_types::job::{
    ItemEnd, ItemId, ItemOutcome, ItemResult, JobId, JobItem, JobSubmission, PartialText, ResultPage, TextPart,
};
use std::collections::BTreeMap;

/// Maximum bytes of one page of results, unless a single result is larger.
const MAX_PAGE_BYTES: usize = 900_000;

/// Counted for each result in a page beside its text: identifier, versions and score, in bytes.
const RESULT_OVERHEAD_BYTES: usize = 128;

/// Maximum number of ended jobs whose texts one later job may reuse.
const MAX_PREDECESSORS: usize = 3;

/// Number of later submissions after which the partial texts of an ended job are dropped.
const PARTIAL_TEXT_RETENTION_JOBS: u64 = 16;

/// Digest of an item's path and body, to find the same request in other jobs.
pub fn request_digest(item: &JobItem) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&item.body, xxhash_rust::xxh3::xxh3_64(item.path.as_bytes()))
}

/// A published result of an item. Its text is stored in the text archive.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ListedItem {
    /// The item's index in the job.
    pub item: u32,
    /// How it ended.
    pub end: ItemEnd,
    /// Location of its text in the archive.
    pub text: TextLocation,
    /// Number of events in its text.
    pub events: u32,
    /// The weight versions that generated the text's events, ascending.
    pub versions: Vec<u64>,
    /// The score, from the stamp header of the scorer's response; `None` if the item names no scorer.
    pub score: Option<String>,
}

impl ListedItem {
    /// Size in bytes in a page of results.
    fn page_bytes(&self) -> usize {
        self.text.length() + RESULT_OVERHEAD_BYTES
    }
}

/// Counts the events of a text, which are separated by line feeds.
fn count_events(text: &[u8]) -> u32 {
    if text.is_empty() { 0 } else { text.iter().filter(|byte| **byte == b'\n').count() as u32 + 1 }
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Job {
    /// The submission. Headers, body and scorer of an item are cleared when its result is listed.
    pub submission: JobSubmission,
    /// The request digest of each item, by index.
    pub(super) digests: Vec<u64>,
    /// Listed results, in the order of their positions.
    pub(super) results: Vec<ListedItem>,
    /// Whether each item, by index, has a listed result.
    pub(super) listed: Vec<bool>,
    /// Partial texts of items without a result, by item index.
    pub(super) partial: BTreeMap<u32, PartialText>,
    /// Set by [`JobTable::end`]; no further results or texts are accepted.
    pub(super) ended: bool,
    /// Unix milliseconds, by the state's time, from which the job is dropped if it has ended. Only below feature level
    /// three.
    pub(super) keep_until: u64,
    /// Ascending over all jobs.
    pub(super) submission_number: u64,
}

impl Job {
    /// Listed results, in the order of their positions.
    pub fn results(&self) -> &[ListedItem] {
        &self.results
    }

    /// The request digest of the item at `index`.
    pub fn digest(&self, index: u32) -> Option<u64> {
        self.digests.get(index as usize).copied()
    }

    /// Submission number; a later job has a higher one.
    pub fn submission_number(&self) -> u64 {
        self.submission_number
    }

    /// Whether the job has ended.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether the item at `index` has a listed result; `true` if there is no such item.
    pub fn is_listed(&self, index: u32) -> bool {
        self.listed.get(index as usize).copied().unwrap_or(true)
    }

    /// The partial text of an item without a result.
    pub fn partial_text(&self, index: u32) -> Option<&PartialText> {
        self.partial.get(&index)
    }

    /// The listed result of an item that completed successfully.
    pub fn completed(&self, index: u32) -> Option<&ListedItem> {
        self.results.iter().find(|result| result.item == index && result.end == ItemEnd::Completed)
    }

    /// Items without a result.
    pub fn open_items(&self) -> impl Iterator<Item = (u32, &JobItem)> {
        let items = self.submission.items.iter().enumerate().map(|(index, item)| (index as u32, item));
        items.filter(|(index, _)| !self.is_listed(*index))
    }

    /// The results of the page that starts at position `after`.
    fn page(&self, after: u64) -> &[ListedItem] {
        let start = usize::try_from(after).unwrap_or(usize::MAX).min(self.results.len());
        let mut bytes = 0;
        let fits = |result: &&ListedItem| {
            let is_first = bytes == 0;
            bytes += result.page_bytes();
            is_first || bytes <= MAX_PAGE_BYTES
        };
        let count = self.results[start..].iter().take_while(fits).count();
        &self.results[start..start + count]
    }
}

/// All batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct JobTable {
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) submission_count: u64,
    pub(super) texts: TextArchive,
    /// Expiry of ended jobs since feature level three; `None` at older levels, whose layout lacks it.
    #[bitcode(skip)]
    pub(super) uptime_expiry: Option<UptimeExpiry>,
}

impl JobTable {
    /// The expiry of ended jobs by the group's uptime; `None` below feature level three.
    pub fn uptime_expiry(&self) -> Option<&UptimeExpiry> {
        self.uptime_expiry.as_ref()
    }

    /// Replaces the expiry by the one of a snapshot.
    pub fn restore_uptime_expiry(&mut self, expiry: UptimeExpiry) {
        self.uptime_expiry = Some(expiry);
    }

    /// Switches between expiry by the group's uptime and by the log's time. Jobs that exist at the switch to uptime are
    /// kept as if they were submitted then.
    pub fn set_expiry_by_uptime(&mut self, by_uptime: bool) {
        if !by_uptime {
            self.uptime_expiry = None;
        } else if self.uptime_expiry.is_none() {
            self.uptime_expiry = Some(UptimeExpiry::of(self.jobs.keys().cloned()));
        }
    }

    /// Advances the group's uptime and drops the ended jobs that have expired by it.
    pub fn advance_uptime(&mut self, advance: UptimeAdvance) {
        let Some(expiry) = &mut self.uptime_expiry else {
            return;
        };
        let is_ended = |id: &JobId| self.jobs.get(id).is_none_or(|job| job.ended);
        let expired = expiry.advance(advance, is_ended);
        self.drop_jobs(&expired);
    }

    /// Looks up a job.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// The texts of all results.
    pub fn texts(&self) -> &TextArchive {
        &self.texts
    }

    /// The texts of all results, to release segments that are on disk.
    pub fn texts_mut(&mut self) -> &mut TextArchive {
        &mut self.texts
    }

    /// The page of results that starts at position `after`, or the locations of texts that must first be read from
    /// disk. `None` if there is no such job.
    pub fn page(&self, id: &JobId, after: u64, loaded: &LoadedTexts) -> Option<Result<ResultPage, Vec<TextLocation>>> {
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

    /// Size in bytes of the page of results that starts at position `after`; `None` if there is no such job.
    pub fn page_bytes(&self, id: &JobId, after: u64) -> Option<usize> {
        let job = self.jobs.get(id)?;
        Some(job.page(after).iter().map(ListedItem::page_bytes).sum())
    }

    /// Jobs that have not ended.
    pub fn open(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter().filter(|(_, job)| !job.ended)
    }

    /// Adds a job; a job with the same id is left unchanged. `now` is in Unix milliseconds.
    pub fn submit(&mut self, submission: JobSubmission, now: u64, keep_ms: u64) {
        match &mut self.uptime_expiry {
            Some(expiry) => expiry.add(submission.id.clone()),
            None => self.drop_expired(now),
        }
        self.drop_old_partial_texts();
        self.submission_count += 1;
        let submission_number = self.submission_count;
        let new = || Job {
            listed: vec![false; submission.items.len()],
            digests: submission.items.iter().map(request_digest).collect(),
            submission: submission.clone(),
            results: Vec::new(),
            partial: BTreeMap::new(),
            ended: false,
            keep_until: now + keep_ms,
            submission_number,
        };
        self.jobs.entry(submission.id.clone()).or_insert_with(new);
    }

    fn drop_expired(&mut self, now: u64) {
        let has_expired = |job: &Job| job.ended && job.keep_until <= now;
        let expired = self.jobs.iter().filter(|(_, job)| has_expired(job)).map(|(id, _)| id.clone());
        self.drop_jobs(&expired.collect::<Vec<JobId>>());
    }

    fn drop_jobs(&mut self, ids: &[JobId]) {
        for job in ids.iter().filter_map(|id| self.jobs.remove(id)) {
            job.results.iter().for_each(|listed| self.texts.remove_reference(&listed.text));
        }
    }

    fn drop_old_partial_texts(&mut self) {
        let oldest_retained = self.submission_count.saturating_sub(PARTIAL_TEXT_RETENTION_JOBS);
        for job in self.jobs.values_mut().filter(|job| job.ended && job.submission_number < oldest_retained) {
            job.partial.clear();
        }
    }

    /// Appends parts to partial texts. Parts of listed items, and parts that do not continue the recorded text, are
    /// ignored. `false` if there is no such open job.
    pub fn append_partial_texts(&mut self, id: &JobId, parts: &[TextPart]) -> bool {
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

    /// Lists results at the next positions; outcomes of items that are already listed are ignored. Returns the items
    /// whose text is missing an earlier part, or `None` if there is no such open job.
    pub fn list(&mut self, id: &JobId, outcomes: Vec<ItemOutcome>) -> Option<Vec<u32>> {
        let job = self.jobs.get_mut(id).filter(|job| !job.ended)?;
        let mut missing = Vec::new();
        for outcome in outcomes {
            let item = outcome.remaining_text.item;
            if job.is_listed(item) {
                continue;
            }
            let mut text = job.partial.remove(&item).unwrap_or_default();
            if !text.add(&outcome.remaining_text) {
                missing.push(item);
                continue;
            }
            job.listed[item as usize] = true;
            let listed_item = &mut job.submission.items[item as usize];
            listed_item.headers = Vec::new();
            listed_item.body = Vec::new();
            listed_item.scorer = None;
            job.results.push(ListedItem {
                item,
                end: outcome.end,
                text: self.texts.append(&text.data),
                events: count_events(&text.data),
                versions: text.versions,
                score: outcome.score,
            });
        }
        Some(missing)
    }

    /// The newest ended jobs submitted before `id` with the same owner, host and parent path, newest first.
    pub fn predecessors<'a>(&'a self, id: &JobId) -> impl Iterator<Item = &'a Job> + use<'a> {
        let job = self.jobs.get(id);
        let same_target = move |other: &&Job| {
            job.is_some_and(|job| {
                other.ended
                    && other.submission_number < job.submission_number
                    && other.submission.owner == job.submission.owner
                    && other.submission.host == job.submission.host
                    && other.submission.path.rsplit_once('/').map(|parts| parts.0)
                        == job.submission.path.rsplit_once('/').map(|parts| parts.0)
            })
        };
        let mut found: Vec<&Job> = self.jobs.values().filter(same_target).collect();
        found.sort_by_key(|job| std::cmp::Reverse(job.submission_number));
        found.into_iter().take(MAX_PREDECESSORS)
    }

    /// Ends a job; `false` if there is no such job.
    pub fn end(&mut self, id: &JobId) -> bool {
        let job = self.jobs.get_mut(id);
        job.map(|job| job.ended = true).is_some()
    }

    /// The request body of an item without a listed result, if its job has not ended.
    pub fn body(&self, id: &JobId, item: &ItemId) -> Option<&[u8]> {
        let job = self.jobs.get(id).filter(|job| !job.ended)?;
        let mut open = job.open_items();
        open.find(|(_, open)| open.id == *item).map(|(_, open)| open.body.as_slice())
    }
}
