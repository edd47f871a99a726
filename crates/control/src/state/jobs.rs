//! Batch jobs and their results.

use bitcode::{Decode, Encode};
use saddlerelay_types::job::{ItemId, ItemResult, JobId, JobItem, JobSubmission, ResultPage};
use std::collections::BTreeMap;

/// Most bytes of text in one page of results, unless a single result is larger.
const PAGE_BYTES: usize = 900_000;

/// One job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Job {
    /// What was handed in.
    pub submission: JobSubmission,
    /// The results at their positions.
    results: Vec<ItemResult>,
    /// For each item, whether it stands among the results.
    listed: Vec<bool>,
    /// Nothing of it runs any more.
    ended: bool,
    /// Readable until then, in the state's time.
    keep_until: u64,
    /// Counts jobs as they were taken.
    order: u64,
}

impl Job {
    /// The results at their positions.
    pub fn results(&self) -> &[ItemResult] {
        &self.results
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

    /// Items without a result.
    pub fn open_items(&self) -> impl Iterator<Item = (u32, &JobItem)> {
        let items = self.submission.items.iter().enumerate().map(|(index, item)| (index as u32, item));
        items.filter(|(index, _)| !self.is_listed(*index))
    }

    /// Results from position `after` on.
    pub fn page(&self, after: u64) -> ResultPage {
        let start = usize::try_from(after).unwrap_or(usize::MAX).min(self.results.len());
        let mut bytes = 0;
        let mut results = Vec::new();
        for result in &self.results[start..] {
            bytes += result.text.len();
            if !results.is_empty() && bytes > PAGE_BYTES {
                break;
            }
            results.push((self.submission.items[result.item as usize].id.clone(), result.clone()));
        }
        let next = after + results.len() as u64;
        ResultPage { total: self.submission.items.len() as u64, next, results }
    }
}

/// Every job.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    taken: u64,
}

impl JobTable {
    /// A job.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
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
            submission: submission.clone(),
            results: Vec::new(),
            ended: false,
            keep_until: now + keep_ms,
            order,
        };
        self.jobs.entry(submission.id.clone()).or_insert_with(new);
    }

    fn drop_expired(&mut self, now: u64) {
        self.jobs.retain(|_, job| !job.ended || job.keep_until > now);
    }

    /// Lists results at the next positions. An item is listed once, and nothing is listed after the end.
    pub fn list(&mut self, id: &JobId, results: Vec<ItemResult>) -> bool {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.ended) else {
            return false;
        };
        for result in results {
            if !job.is_listed(result.item) {
                job.listed[result.item as usize] = true;
                job.results.push(result);
            }
        }
        true
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
