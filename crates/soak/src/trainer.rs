//! A trainer: hands batch jobs in, reads their results by position, ends them, and names new versions.

use crate::calls::{any_gateway, control_until_done, front};
use crate::deployment::Addresses;
use crate::journal::{JobSeen, Journal, SeenResult};
use crate::workload::{HOST, MODEL, ROLLOUTS, SCORES, score_request};
use hyper::{Method, StatusCode};
use saddlerelay_types::instance::LoadedModel;
use saddlerelay_types::job::{ItemId, JobId, JobItem, JobSubmission, ResultPage, ScoringRequest};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Groups of a job, and items of a group.
const GROUPS: u32 = 6;
const GROUP_SIZE: u32 = 4;

/// Longest text, in events.
const MOST_EVENTS: u32 = 60;

/// Bytes of an item's body.
const BODY_BYTES: usize = 300;

/// Patience of one call, beside the time that a read is held open.
const CALL_PATIENCE: Duration = Duration::from_millis(2_600);

/// How long a read may be held open.
const HELD: Duration = Duration::from_millis(400);

/// How long a step's results are waited for.
const STEP_LIMIT: Duration = Duration::from_secs(12);

/// Pause between reads.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// After an acknowledgement, everyone must know the job so much later.
const SETTLE: Duration = Duration::from_secs(1);

/// The trainer.
pub struct Trainer {
    addresses: Addresses,
    journal: Journal,
    /// The newest version that was named.
    newest: Rc<Cell<u64>>,
    step: Cell<u64>,
}

impl Trainer {
    /// A trainer whose engines begin with version 1.
    pub fn new(addresses: Addresses, journal: Journal, newest: Rc<Cell<u64>>) -> Self {
        Self { addresses, journal, newest, step: Cell::new(0) }
    }

    /// Trains step after step until told to stop.
    pub async fn run(self: Rc<Self>, stop: Rc<Cell<bool>>) {
        while !stop.get() {
            self.train_step(&stop).await;
        }
    }

    async fn train_step(&self, stop: &Cell<bool>) {
        let wanted = || !stop.get();
        let job = self.next_job();
        if self.submit(&job, wanted).await {
            self.read_until(&job.id, STEP_LIMIT, wanted).await;
            self.end(&job.id, wanted).await;
        }
        if fastrand::u32(..3) > 0 {
            self.name_version(wanted).await;
        }
    }

    /// Hands a job in, waits for every item and ends it: whether the deployment works again. Returns what is missing.
    pub async fn prove_step(&self, limit: Duration) -> Option<String> {
        let until = self.journal.now() + limit;
        let wanted = || self.journal.now() < until;
        if !self.name_version(wanted).await {
            return Some("a version could not be named".to_string());
        }
        let job = self.next_job();
        if !self.submit(&job, wanted).await {
            return Some("a job was not accepted".to_string());
        }
        let listed = self.read_until(&job.id, limit, wanted).await;
        (listed < job.items.len()).then(|| format!("{listed} of {} items of job {}", job.items.len(), job.id.0))
    }

    fn next_job(&self) -> JobSubmission {
        let step = self.step.get();
        self.step.set(step + 1);
        let id = JobId(format!("job-{step}-{:04x}", fastrand::u16(..)));
        let minimum_version = self.newest.get().saturating_sub(fastrand::u64(..2)).max(1);
        let item = |number: u32| JobItem {
            id: ItemId(format!("{}-item-{number}", id.0)),
            path: format!("{ROLLOUTS}{}/{number}", id.0),
            headers: vec![("events".to_string(), fastrand::u32(1..=MOST_EVENTS).to_string())],
            body: (0..BODY_BYTES).map(|_| fastrand::u8(..)).collect(),
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
        let seen = JobSeen {
            items: items.iter().map(|item| (item.id.clone(), events_of(item))).collect(),
            minimum_version,
            ..JobSeen::default()
        };
        self.journal.write(|records| records.jobs.insert(id.clone(), seen));
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

    fn note(&self, job: &JobId, change: impl FnOnce(&mut JobSeen)) {
        self.journal.write(|records| {
            if let Some(seen) = records.jobs.get_mut(job) {
                change(seen);
            }
        });
    }

    /// Hands a job in until it is acknowledged. Now and then a trainer gives up after a promise that nothing of it runs.
    async fn submit(&self, job: &JobSubmission, wanted: impl Fn() -> bool) -> bool {
        let body = serde_json::to_vec(job).unwrap_or_default();
        let headers = [("saddlerelay-request", job.id.0.as_str())];
        let mut only_refused = true;
        while wanted() {
            let gateway = any_gateway(&self.addresses);
            let sent = front(&self.addresses, gateway, Method::POST, &job.path, &headers, body.clone(), CALL_PATIENCE);
            match sent.await.map(|answer| answer.status) {
                Some(StatusCode::ACCEPTED) => {
                    let now = self.journal.now();
                    self.note(&job.id, |seen| seen.acknowledged_at = Some(now));
                    return true;
                }
                Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
                    if only_refused && fastrand::u32(..4) == 0 {
                        self.note(&job.id, |seen| seen.refused = true);
                        return false;
                    }
                }
                _ => only_refused = false,
            }
            compio::time::sleep(READ_PAUSE).await;
        }
        false
    }

    /// Reads a job's results until all are listed; returns how many are.
    async fn read_until(&self, job: &JobId, limit: Duration, wanted: impl Fn() -> bool) -> usize {
        let until = self.journal.now() + limit;
        let listed =
            || self.journal.read(|records| records.jobs.get(job).map_or((0, 0), |s| (s.results.len(), s.items.len())));
        while wanted() && self.journal.now() < until {
            let (count, total) = listed();
            if count == total {
                break;
            }
            let after = if fastrand::u32(..5) == 0 { 0 } else { count as u64 };
            self.read_page(job, after).await;
            compio::time::sleep(READ_PAUSE).await;
        }
        listed().0
    }

    /// Reads a page of results, and notes them; returns whether there was a sure answer.
    pub async fn read_page(&self, job: &JobId, after: u64) -> bool {
        let asked_at = self.journal.now();
        let path = format!("/v1/jobs/{}/results?after={after}&wait_ms={}", job.0, HELD.as_millis());
        let patience = CALL_PATIENCE + HELD;
        let answer =
            front(&self.addresses, any_gateway(&self.addresses), Method::GET, &path, &[], Vec::new(), patience).await;
        let Some(answer) = answer else {
            return false;
        };
        if answer.status == StatusCode::NOT_FOUND {
            let settled = self.journal.read(|records| {
                let acknowledged = records.jobs.get(job).and_then(|seen| seen.acknowledged_at);
                acknowledged.is_some_and(|at| asked_at > at + SETTLE)
            });
            if settled {
                self.journal.late("an accepted job lasts", format!("{} was said not to exist", job.0));
            }
            return false;
        }
        let page = serde_json::from_slice::<ResultPage>(&answer.body).ok();
        match page.filter(|_| answer.status == StatusCode::OK) {
            Some(page) => {
                self.take_page(job, after, page);
                true
            }
            None => false,
        }
    }

    fn take_page(&self, job: &JobId, after: u64, page: ResultPage) {
        let mut faults = Vec::new();
        self.note(job, |seen| {
            if page.total != seen.items.len() as u64 {
                faults.push(format!("{} has {} items", job.0, page.total));
            }
            for (position, (item, result)) in (after..).zip(page.results) {
                let found = SeenResult {
                    item,
                    end: result.end,
                    text: result.text,
                    versions: result.versions,
                    score: result.score,
                };
                let held = seen.results.entry(position).or_insert_with(|| found.clone());
                if *held != found {
                    faults.push(format!("position {position} of {} has changed", job.0));
                }
            }
        });
        for fault in faults {
            self.journal.violation("a result keeps its position and content", fault);
        }
    }

    async fn end(&self, job: &JobId, wanted: impl Fn() -> bool) {
        let path = format!("/v1/jobs/{}", job.0);
        let asked_at = self.journal.now();
        self.note(job, |seen| seen.end_asked_at = Some(asked_at));
        while wanted() {
            let ended = front(
                &self.addresses,
                any_gateway(&self.addresses),
                Method::DELETE,
                &path,
                &[],
                Vec::new(),
                CALL_PATIENCE,
            )
            .await;
            if ended.is_some_and(|answer| answer.status.is_success()) {
                let now = self.journal.now();
                self.note(job, |seen| seen.ended_at = Some(now));
                return;
            }
            compio::time::sleep(READ_PAUSE).await;
        }
    }

    async fn name_version(&self, wanted: impl Fn() -> bool) -> bool {
        let version = self.newest.get() + 1;
        let model = LoadedModel { model: MODEL.to_string(), version };
        let body = serde_json::to_vec(&model).unwrap_or_default();
        // Engines may be ordered to it from the first send on.
        self.newest.set(version);
        control_until_done(&self.addresses, Method::POST, "/v1/versions", body, wanted).await
    }
}
