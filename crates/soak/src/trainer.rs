//! A trainer: submits batch jobs, reads their results by position, cancels them and publishes model versions.

use crate::calls::{call_gateway, change_until_acknowledged, random_gateway};
use crate::deployment::Addresses;
use crate::journal::{JobRecord, Journal, ResultRecord};
use crate::workload::{
    CRASH_BODY_PREFIX, FIRST_CRASHING_ITEM, HOST, MODEL, ROLLOUTS, SCORES, crashing_kind, score_request,
};
use hyper::{Method, StatusCode};
use saddlerelay_types::instance::LoadedModel;
use saddlerelay_types::job::{ItemId, JobId, JobItem, JobSubmission, ResultPage, ScoringRequest};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Number of groups per job, and of items per group.
const GROUPS: u32 = 6;
const GROUP_SIZE: u32 = 4;

/// Parameters of a trainer's steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepShape {
    /// Minimum text length, in events.
    pub min_events: u32,
    /// Maximum text length, in events.
    pub max_events: u32,
    /// Time limit for a step's results.
    pub limit: Duration,
    /// One step out of this many has an item that crashes its engine; `None` for no step.
    pub crashing_every: Option<u64>,
}

impl StepShape {
    /// Items of at most 1 s, for many steps.
    pub const SHORT: Self =
        Self { min_events: 1, max_events: 60, limit: Duration::from_secs(12), crashing_every: None };

    /// Items of 1 to 3 s, so that faults a few seconds apart affect the same items. Steps outlast a fault of a
    /// process that holds state (at most 5 s), the quiet period (3 s) and the bound of an item wait (5 s).
    pub const LONG: Self =
        Self { min_events: 80, max_events: 250, limit: Duration::from_secs(20), crashing_every: Some(3) };

    /// Whether a step has an item that crashes its engine.
    pub fn has_crashing_item(&self, step: u64) -> bool {
        self.crashing_every.is_some_and(|every| step % every == every - 1)
    }
}

const ITEM_BODY_BYTES: usize = 300;

/// Timeout of a call, in addition to the long-poll time of a read.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Long-poll time of a read.
const LONG_POLL_TIME: Duration = Duration::from_millis(400);

const READ_PAUSE: Duration = Duration::from_millis(100);

/// Time after the acknowledgement of a job from which every process must find it.
const JOB_VISIBILITY_BOUND: Duration = Duration::from_secs(1);

fn random_body() -> Vec<u8> {
    (0..ITEM_BODY_BYTES).map(|_| fastrand::u8(..)).collect()
}

/// Body of an item that crashes its engine; each step has its own kind.
fn crashing_body(step: u64) -> Vec<u8> {
    format!("{CRASH_BODY_PREFIX}{}", u64::from(FIRST_CRASHING_ITEM) + step).into_bytes()
}

/// Trains in steps until stopped.
pub struct Trainer {
    addresses: Addresses,
    journal: Journal,
    /// Newest published model version.
    newest_version: Rc<Cell<u64>>,
    shape: StepShape,
    /// Whether crashing items may still be submitted.
    sends_crashing: Cell<bool>,
    step: Cell<u64>,
}

impl Trainer {
    /// Creates a trainer; `newest_version` is shared with the engines.
    pub fn new(addresses: Addresses, journal: Journal, newest_version: Rc<Cell<u64>>, shape: StepShape) -> Self {
        Self { addresses, journal, newest_version, shape, sends_crashing: Cell::new(true), step: Cell::new(0) }
    }

    /// Runs steps until stopped.
    pub async fn run(self: Rc<Self>, stop: Rc<Cell<bool>>) {
        while !stop.get() {
            self.train_step(&stop).await;
        }
    }

    /// Submits no crashing items from the next step on: they count as faults, which must end before the recovery
    /// check.
    pub fn stop_crashing(&self) {
        self.sends_crashing.set(false);
    }

    async fn train_step(&self, stop: &Cell<bool>) {
        let keep_trying = || !stop.get();
        let crashes = self.sends_crashing.get() && self.shape.has_crashing_item(self.step.get());
        let job = self.next_job(crashes);
        if self.submit(&job, keep_trying).await {
            self.read_results(&job.id, self.shape.limit, keep_trying).await;
            self.cancel(&job.id, keep_trying).await;
        }
        if fastrand::u32(..3) > 0 {
            self.publish_version(keep_trying).await;
        }
    }

    /// Publishes a version, submits a job and waits for all its results. Returns what is missing, or `None`.
    pub async fn run_probe_step(&self, limit: Duration) -> Option<String> {
        let until = self.journal.now() + limit;
        let keep_trying = || self.journal.now() < until;
        if !self.publish_version(keep_trying).await {
            return Some("the version was not published".to_string());
        }
        let job = self.next_job(false);
        if !self.submit(&job, keep_trying).await {
            return Some("the job was not accepted".to_string());
        }
        let listed = self.read_results(&job.id, limit, keep_trying).await;
        (listed < job.items.len())
            .then(|| format!("only {listed} of {} items of job {} are listed", job.items.len(), job.id.0))
    }

    fn next_job(&self, crashes: bool) -> JobSubmission {
        let step = self.step.get();
        self.step.set(step + 1);
        let id = JobId(format!("job-{step}-{:04x}", fastrand::u16(..)));
        let minimum_version = self.newest_version.get().saturating_sub(fastrand::u64(..2)).max(1);
        let events = self.shape.min_events..=self.shape.max_events;
        let item = |number: u32| JobItem {
            id: ItemId(format!("{}-item-{number}", id.0)),
            path: format!("{ROLLOUTS}{}/{number}", id.0),
            headers: vec![("events".to_string(), fastrand::u32(events.clone()).to_string())],
            body: if crashes && number == 0 { crashing_body(step) } else { random_body() },
            tokens: 500,
            group: format!("group-{}", number / GROUP_SIZE),
            scorer: Some(ScoringRequest {
                id: score_request(&format!("{}-item-{number}", id.0)),
                host: HOST.to_string(),
                path: format!("{SCORES}{}/{number}", id.0),
                body: number.to_be_bytes().to_vec(),
            }),
        };
        let items: Vec<JobItem> = (0..GROUPS * GROUP_SIZE).map(item).collect();
        let events_of = |item: &JobItem| item.headers[0].1.parse().unwrap_or_default();
        let record = JobRecord {
            items: items.iter().map(|item| (item.id.clone(), events_of(item))).collect(),
            minimum_version,
            crashing: items.iter().filter(|item| crashing_kind(&item.body).is_some()).count(),
            ..JobRecord::default()
        };
        self.journal.write(|records| records.jobs.insert(id.clone(), record));
        JobSubmission {
            path: format!("{ROLLOUTS}{}", id.0),
            host: HOST.to_string(),
            owner: None,
            model: Some(MODEL.to_string()),
            step,
            minimum_version,
            wanted_groups: GROUPS,
            items,
            id,
        }
    }

    fn update_job(&self, job: &JobId, change: impl FnOnce(&mut JobRecord)) {
        self.journal.write(|records| {
            if let Some(record) = records.jobs.get_mut(job) {
                change(record);
            }
        });
    }

    /// Submits a job until it is acknowledged. If every response so far guarantees non-execution, it sometimes stops
    /// retrying and records the job as rejected.
    async fn submit(&self, job: &JobSubmission, keep_trying: impl Fn() -> bool) -> bool {
        let body = serde_json::to_vec(job).unwrap_or_default();
        let headers = [("saddlerelay-request", job.id.0.as_str())];
        let mut only_rejected = true;
        while keep_trying() {
            let gateway = random_gateway(&self.addresses);
            let sent =
                call_gateway(&self.addresses, gateway, Method::POST, &job.path, &headers, body.clone(), CALL_TIMEOUT);
            match sent.await.map(|response| response.status) {
                Some(StatusCode::ACCEPTED) => {
                    let now = self.journal.now();
                    self.update_job(&job.id, |record| record.acknowledged_at = Some(now));
                    return true;
                }
                Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
                    if only_rejected && fastrand::u32(..4) == 0 {
                        self.update_job(&job.id, |record| record.rejected = true);
                        return false;
                    }
                }
                _ => only_rejected = false,
            }
            compio::time::sleep(READ_PAUSE).await;
        }
        false
    }

    /// Reads a job's results until all items but the crashing ones are listed; returns the number of listed results.
    async fn read_results(&self, job: &JobId, limit: Duration, keep_trying: impl Fn() -> bool) -> usize {
        let until = self.journal.now() + limit;
        let counts = |record: &JobRecord| (record.results.len(), record.items.len() - record.crashing);
        let listed = || self.journal.read(|records| records.jobs.get(job).map_or((0, 0), counts));
        while keep_trying() && self.journal.now() < until {
            let (count, total) = listed();
            if count >= total {
                break;
            }
            let after = if fastrand::u32(..5) == 0 { 0 } else { count as u64 };
            self.read_page(job, after).await;
            compio::time::sleep(READ_PAUSE).await;
        }
        listed().0
    }

    /// Reads and records a page of results; returns whether the response was conclusive.
    pub async fn read_page(&self, job: &JobId, after: u64) -> bool {
        let requested_at = self.journal.now();
        let path = format!("/v1/jobs/{}/results?after={after}&wait_ms={}", job.0, LONG_POLL_TIME.as_millis());
        let timeout = CALL_TIMEOUT + LONG_POLL_TIME;
        let response = call_gateway(
            &self.addresses,
            random_gateway(&self.addresses),
            Method::GET,
            &path,
            &[],
            Vec::new(),
            timeout,
        )
        .await;
        let Some(response) = response else {
            return false;
        };
        if response.status == StatusCode::NOT_FOUND {
            let must_be_visible = self.journal.read(|records| {
                let acknowledged = records.jobs.get(job).and_then(|record| record.acknowledged_at);
                acknowledged.is_some_and(|at| requested_at > at + JOB_VISIBILITY_BOUND)
            });
            if must_be_visible {
                self.journal.timeout(
                    "an accepted job is found until it is cancelled",
                    format!("{} was reported as not found", job.0),
                );
            }
            return false;
        }
        let page = serde_json::from_slice::<ResultPage>(&response.body).ok();
        match page.filter(|_| response.status == StatusCode::OK) {
            Some(page) => {
                self.record_page(job, after, page);
                true
            }
            None => false,
        }
    }

    fn record_page(&self, job: &JobId, after: u64, page: ResultPage) {
        let mut violations = Vec::new();
        self.update_job(job, |record| {
            if page.total != record.items.len() as u64 {
                violations.push(format!("{} is listed with {} items", job.0, page.total));
            }
            for (position, (item, result)) in (after..).zip(page.results) {
                let received = ResultRecord {
                    item,
                    end: result.end,
                    text: result.text,
                    versions: result.versions,
                    score: result.score,
                };
                let recorded = record.results.entry(position).or_insert_with(|| received.clone());
                if *recorded != received {
                    violations.push(format!("the result at position {position} of {} changed", job.0));
                }
            }
        });
        for observed in violations {
            self.journal.violation("a result keeps its position and content", observed);
        }
    }

    async fn cancel(&self, job: &JobId, keep_trying: impl Fn() -> bool) {
        let path = format!("/v1/jobs/{}", job.0);
        let requested_at = self.journal.now();
        self.update_job(job, |record| record.end_requested_at = Some(requested_at));
        while keep_trying() {
            let ended = call_gateway(
                &self.addresses,
                random_gateway(&self.addresses),
                Method::DELETE,
                &path,
                &[],
                Vec::new(),
                CALL_TIMEOUT,
            )
            .await;
            if ended.is_some_and(|response| response.status.is_success()) {
                let now = self.journal.now();
                self.update_job(job, |record| record.ended_at = Some(now));
                return;
            }
            compio::time::sleep(READ_PAUSE).await;
        }
    }

    fn record_published_version(&self) {
        let now = self.journal.now();
        self.journal.write(|records| records.versions_published.push(now));
    }

    async fn publish_version(&self, keep_trying: impl Fn() -> bool) -> bool {
        let version = self.newest_version.get() + 1;
        let model = LoadedModel { model: MODEL.to_string(), version };
        let body = serde_json::to_vec(&model).unwrap_or_default();
        // Engines may receive orders for it from the first send on.
        self.newest_version.set(version);
        self.record_published_version();
        let acknowledged =
            change_until_acknowledged(&self.addresses, Method::POST, "/v1/versions", body, keep_trying).await;
        self.record_published_version();
        acknowledged
    }
}
