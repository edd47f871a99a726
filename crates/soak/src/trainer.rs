//! A trainer: hands batch jobs in, reads their results by position, ends them, and names new versions.

use crate::calls::{any_gateway, control_until_done, front};
use crate::deployment::Addresses;
use crate::journal::{JobSeen, Journal, SeenResult};
use crate::workload::{CRASHES, HOST, MODEL, ROLLOUTS, SCORES, crashing_kind, score_request};
use hyper::{Method, StatusCode};
use saddlerelay_types::instance::LoadedModel;
use saddlerelay_types::job::{ItemId, JobId, JobItem, JobSubmission, ResultPage, ScoringRequest};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Groups of a job, and items of a group.
const GROUPS: u32 = 6;
const GROUP_SIZE: u32 = 4;

/// How the steps of a trainer look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepShape {
    /// Shortest text, in events.
    pub least_events: u32,
    /// Longest text, in events.
    pub most_events: u32,
    /// How long a step's results are waited for.
    pub limit: Duration,
    /// In one step of so many, an item ends the engine that begins to run it; `None` for never.
    pub crashing_every: Option<u64>,
}

impl StepShape {
    /// Items of a second at most: many steps.
    pub const SHORT: Self =
        Self { least_events: 1, most_events: 60, limit: Duration::from_secs(12), crashing_every: None };

    /// Items of 1 to 3 s, so that faults some seconds apart meet the same items, and steps that outlive a fault of those who
    /// hold state (5 s at most), the time until nothing counts as disturbed (3 s) and the bound of a wait (5 s).
    pub const LONG: Self =
        Self { least_events: 80, most_events: 250, limit: Duration::from_secs(20), crashing_every: Some(3) };

    /// Whether an item of a step ends its engines.
    pub fn crashes_in(&self, step: u64) -> bool {
        self.crashing_every.is_some_and(|every| step % every == every - 1)
    }
}

/// The first kind of crashing work among items: those of clients count from 0.
const FIRST_CRASHING_ITEM: u64 = 1_000_000;

/// Bytes of an item's body.
const BODY_BYTES: usize = 300;

/// Patience of one call, beside the time that a read is held open.
const CALL_PATIENCE: Duration = Duration::from_millis(2_600);

/// How long a read may be held open.
const HELD: Duration = Duration::from_millis(400);

/// Pause between reads.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// After an acknowledgement, everyone must know the job so much later.
const SETTLE: Duration = Duration::from_secs(1);

/// An item's body.
fn any_body() -> Vec<u8> {
    (0..BODY_BYTES).map(|_| fastrand::u8(..)).collect()
}

/// The body of an item that ends its engines, of a kind of its own.
fn crashing_body(step: u64) -> Vec<u8> {
    format!("{CRASHES}{}", FIRST_CRASHING_ITEM + step).into_bytes()
}

/// The trainer.
pub struct Trainer {
    addresses: Addresses,
    journal: Journal,
    /// The newest version that was named.
    newest: Rc<Cell<u64>>,
    shape: StepShape,
    /// Whether items may end their engines still.
    sends_crashing: Cell<bool>,
    step: Cell<u64>,
}

impl Trainer {
    /// A trainer whose engines begin with version 1.
    pub fn new(addresses: Addresses, journal: Journal, newest: Rc<Cell<u64>>, shape: StepShape) -> Self {
        Self { addresses, journal, newest, shape, sends_crashing: Cell::new(true), step: Cell::new(0) }
    }

    /// Trains step after step until told to stop.
    pub async fn run(self: Rc<Self>, stop: Rc<Cell<bool>>) {
        while !stop.get() {
            self.train_step(&stop).await;
        }
    }

    /// From the next step on, no item ends its engines: they are faults too, and end before recovery is judged.
    pub fn stop_crashing(&self) {
        self.sends_crashing.set(false);
    }

    async fn train_step(&self, stop: &Cell<bool>) {
        let wanted = || !stop.get();
        let crashes = self.sends_crashing.get() && self.shape.crashes_in(self.step.get());
        let job = self.next_job(crashes);
        if self.submit(&job, wanted).await {
            self.read_until(&job.id, self.shape.limit, wanted).await;
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
        let job = self.next_job(false);
        if !self.submit(&job, wanted).await {
            return Some("a job was not accepted".to_string());
        }
        let listed = self.read_until(&job.id, limit, wanted).await;
        (listed < job.items.len()).then(|| format!("{listed} of {} items of job {}", job.items.len(), job.id.0))
    }

    fn next_job(&self, crashes: bool) -> JobSubmission {
        let step = self.step.get();
        self.step.set(step + 1);
        let id = JobId(format!("job-{step}-{:04x}", fastrand::u16(..)));
        let minimum_version = self.newest.get().saturating_sub(fastrand::u64(..2)).max(1);
        let events = self.shape.least_events..=self.shape.most_events;
        let item = |number: u32| JobItem {
            id: ItemId(format!("{}-item-{number}", id.0)),
            path: format!("{ROLLOUTS}{}/{number}", id.0),
            headers: vec![("events".to_string(), fastrand::u32(events.clone()).to_string())],
            body: if crashes && number == 0 { crashing_body(step) } else { any_body() },
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
            crashing: items.iter().filter(|item| crashing_kind(&item.body).is_some()).count(),
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

    /// Reads a job's results until all are listed but those that end their engines; returns how many are.
    async fn read_until(&self, job: &JobId, limit: Duration, wanted: impl Fn() -> bool) -> usize {
        let until = self.journal.now() + limit;
        let counts = |seen: &JobSeen| (seen.results.len(), seen.items.len() - seen.crashing);
        let listed = || self.journal.read(|records| records.jobs.get(job).map_or((0, 0), counts));
        while wanted() && self.journal.now() < until {
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

    fn note_named_version(&self) {
        let now = self.journal.now();
        self.journal.write(|records| records.versions_named.push(now));
    }

    async fn name_version(&self, wanted: impl Fn() -> bool) -> bool {
        let version = self.newest.get() + 1;
        let model = LoadedModel { model: MODEL.to_string(), version };
        let body = serde_json::to_vec(&model).unwrap_or_default();
        // Engines may be ordered to it from the first send on.
        self.newest.set(version);
        self.note_named_version();
        let done = control_until_done(&self.addresses, Method::POST, "/v1/versions", body, wanted).await;
        self.note_named_version();
        done
    }
}
