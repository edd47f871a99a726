//! Batches the reports that engines send to this machine into one message to the group's leader.
//!
//! A report that differs from the last delivered one in the loaded models at most is acknowledged at once and sent with
//! the next batch, as a heartbeat if it is unchanged. If the machine fails first, the engine's next report replaces it.
//! A report that an engine is leaving triggers a batch and is acknowledged once committed. A report of a new engine
//! also triggers a batch, but is acknowledged after a short wait even without a commit: an engine without a response
//! retries at another machine, and thousands of retries at once would delay an election. When no batch has reached the
//! leader for a while, reports are no longer acknowledged without a commit.

use crate::{ControlClient, GatewayError};
use futures::channel::oneshot;
use futures::future::{join_all, select};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::instance::{InstanceHeartbeat, InstanceId, InstanceReport, LoadedModel, ReportBatch};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Maximum delay of a batch without urgent reports.
const BATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum pause between batches, also with urgent reports. Short compared with the engines' timeout of one second.
const MIN_BATCH_PAUSE: Duration = Duration::from_millis(50);

/// Reports may be acknowledged without a commit if a batch has reached the leader within this time, or within the
/// engines' report interval if that is longer. Longer than an election, so that engines don't all retry at other
/// machines during one.
const LEADER_CONTACT_WINDOW: Duration = Duration::from_millis(1_500);

/// Timeout of one batch with all attempts.
const BATCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of a request to one replica.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time that a new engine waits for the commit of its report; shorter than the engines' timeout of one second.
const MAX_COMMIT_WAIT: Duration = Duration::from_millis(600);

/// Maximum number of reports in one batch, which limits a message to about 60 KB.
const MAX_BATCH_SIZE: usize = 512;

/// Maximum number of pending reports; further ones are rejected.
const MAX_PENDING: usize = 4_096;

/// Maximum number of instances in the cache of delivered reports. The cache is cleared when it is full; the next report
/// of each instance is then sent in full.
const MAX_DELIVERED: usize = 16_384;

type ReportResult = Result<GatewayReply, GatewayError>;

#[derive(Default)]
struct PendingReports {
    /// Newest pending report of each instance.
    reports: BTreeMap<InstanceId, InstanceReport>,
    /// Callers that wait for the delivery of an instance's report.
    waiters: BTreeMap<InstanceId, Vec<oneshot::Sender<ReportResult>>>,
}

impl PendingReports {
    /// Adds a report, unless a newer one of the instance is pending.
    fn add(&mut self, report: InstanceReport) {
        let newer = self.reports.get(&report.id).is_some_and(|pending| pending.sequence > report.sequence);
        if !newer {
            self.reports.insert(report.id.clone(), report);
        }
    }
}

/// The content of an instance's last delivered report. A report with the same content is sent as a heartbeat. Service
/// and address don't change during one start of an engine; a report with others has another sender and is never a
/// heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DeliveredReport {
    service: String,
    address: SocketAddr,
    leaving: bool,
    models: Vec<LoadedModel>,
}

impl DeliveredReport {
    fn of(report: &InstanceReport) -> Self {
        Self {
            service: report.service.clone(),
            address: report.address,
            leaving: report.leaving,
            models: report.models.clone(),
        }
    }

    /// Whether a report can be acknowledged without a commit. A change of the loaded models alone needs none.
    fn is_committed(&self, report: &InstanceReport) -> bool {
        self.service == report.service && self.address == report.address && self.leaving == report.leaving
    }
}

/// Batches reports and sends them to the leader.
pub struct ReportBatcher<P: Runtime> {
    platform: P,
    control: ControlClient<P>,
    pending: RefCell<PendingReports>,
    delivered: RefCell<BTreeMap<InstanceId, DeliveredReport>>,
    /// When a batch last reached the leader; before the first one, when the process started.
    leader_reached_at: Cell<Duration>,
    leader_contact_window: Duration,
    /// Notified when a pending report must be sent without delay.
    urgent: Signal,
}

impl<P: Runtime> ReportBatcher<P> {
    /// Starts sending batches to the group behind `control` until the process ends. Engines report every
    /// `report_interval`.
    pub fn start(platform: P, control: ControlClient<P>, report_interval: Duration) -> Rc<Self> {
        let batcher = Rc::new(Self {
            platform: platform.clone(),
            control,
            pending: RefCell::default(),
            delivered: RefCell::default(),
            leader_reached_at: Cell::new(platform.monotonic()),
            leader_contact_window: LEADER_CONTACT_WINDOW.max(report_interval),
            urgent: Signal::default(),
        });
        platform.spawn(send_batches(batcher.clone()));
        batcher
    }

    /// Accepts a report; returns the result to send to the engine.
    pub async fn report(&self, report: InstanceReport) -> ReportResult {
        if self.pending.borrow().reports.len() >= MAX_PENDING {
            return Err(GatewayError::NotDone);
        }
        let id = report.id.clone();
        let is_committed = self.is_committed(&report);
        let leaving = report.leaving;
        self.pending.borrow_mut().add(report);
        if is_committed && self.has_reached_leader_recently() {
            return Ok(GatewayReply::Done);
        }
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().waiters.entry(id).or_default().push(sender);
        self.urgent.notify();
        let limit = if leaving { BATCH_TIMEOUT } else { MAX_COMMIT_WAIT };
        let result = match timeout(&self.platform, limit, receiver).await {
            Some(Ok(result)) => result,
            Some(Err(_)) | None => Err(GatewayError::Undecided),
        };
        // The report of a new engine is acknowledged although it is not committed, as it is sent with a later batch.
        let can_acknowledge = result.is_err() && !leaving && self.has_reached_leader_recently();
        if can_acknowledge { Ok(GatewayReply::Done) } else { result }
    }

    fn is_committed(&self, report: &InstanceReport) -> bool {
        self.delivered.borrow().get(&report.id).is_some_and(|delivered| delivered.is_committed(report))
    }

    fn has_reached_leader_recently(&self) -> bool {
        let now = self.platform.monotonic();
        now < self.leader_reached_at.get() + self.leader_contact_window
    }

    /// Removes the reports of one batch and the callers that wait for them. Further reports stay pending.
    fn take_batch(&self) -> (Vec<InstanceReport>, Vec<oneshot::Sender<ReportResult>>) {
        let mut pending = self.pending.borrow_mut();
        let mut reports = std::mem::take(&mut pending.reports);
        if let Some(first_remaining) = reports.keys().nth(MAX_BATCH_SIZE).cloned() {
            pending.reports = reports.split_off(&first_remaining);
        }
        let waiters = reports.keys().filter_map(|id| pending.waiters.remove(id)).flatten().collect();
        (reports.into_values().collect(), waiters)
    }

    /// Adds undelivered reports to the pending ones again. The callers that wait for them receive the error.
    fn requeue(&self, reports: Vec<InstanceReport>) {
        let mut pending = self.pending.borrow_mut();
        for report in reports {
            if pending.reports.len() < MAX_PENDING {
                pending.add(report);
            }
        }
    }

    /// Splits reports into changed ones and heartbeats.
    fn classify(&self, reports: &[InstanceReport]) -> ReportBatch {
        let delivered = self.delivered.borrow();
        let mut batch = ReportBatch::default();
        for report in reports {
            if delivered.get(&report.id) == Some(&DeliveredReport::of(report)) {
                batch.heartbeats.push(InstanceHeartbeat { id: report.id.clone(), sequence: report.sequence });
            } else {
                batch.changed.push(report.clone());
            }
        }
        batch
    }

    fn record_delivered(&self, reports: &[InstanceReport]) {
        let mut delivered = self.delivered.borrow_mut();
        if delivered.len() + reports.len() > MAX_DELIVERED {
            delivered.clear();
        }
        delivered.extend(reports.iter().map(|report| (report.id.clone(), DeliveredReport::of(report))));
    }

    /// Sends each report in its own message, for a leader of an older build that doesn't support batches.
    async fn send_singly(&self, reports: &[InstanceReport]) -> ReportResult {
        let send = |report: &InstanceReport| {
            let request = GatewayRequest::ReportInstance(report.clone());
            self.control.gateway(request, BATCH_TIMEOUT, ATTEMPT_TIMEOUT)
        };
        let results = join_all(reports.iter().map(send)).await;
        results.into_iter().find(|result| *result != Ok(GatewayReply::Done)).unwrap_or(Ok(GatewayReply::Done))
    }

    /// Removes instances that the group has no record of from the cache, so that their next reports are sent in full.
    fn remove_delivered(&self, missing: &[InstanceId]) {
        let mut delivered = self.delivered.borrow_mut();
        missing.iter().for_each(|id| drop(delivered.remove(id)));
    }
}

async fn send_batches<P: Runtime>(batcher: Rc<ReportBatcher<P>>) {
    loop {
        batcher.platform.sleep(MIN_BATCH_PAUSE).await;
        let notified_count = batcher.urgent.count();
        if batcher.pending.borrow().waiters.is_empty() {
            let pause = pin!(batcher.platform.sleep(BATCH_INTERVAL));
            select(pin!(batcher.urgent.changed(notified_count)), pause).await;
        }
        let (reports, waiters) = batcher.take_batch();
        if reports.is_empty() {
            continue;
        }
        let batch = batcher.classify(&reports);
        let (changed, heartbeats) = (batch.changed.len(), batch.heartbeats.len());
        let request = GatewayRequest::ReportInstances(batch);
        let mut result = batcher.control.gateway(request, BATCH_TIMEOUT, ATTEMPT_TIMEOUT).await;
        if result == Err(GatewayError::NotUnderstood) {
            result = batcher.send_singly(&reports).await;
        }
        let mut missing = Vec::new();
        if let Ok(GatewayReply::ReportsMissing(instances)) = &mut result {
            missing = std::mem::take(instances);
            result = Ok(GatewayReply::Done);
        }
        if result == Ok(GatewayReply::Done) {
            batcher.leader_reached_at.set(batcher.platform.monotonic());
            batcher.record_delivered(&reports);
            batcher.remove_delivered(&missing);
        } else {
            batcher.requeue(reports);
            spdlog::warn!("engine reports not delivered, will retry", kv: {
                news = changed, heartbeats = heartbeats, answer = format!("{result:?}").as_str()
            });
        }
        for waiter in waiters {
            // Fails if the caller has timed out.
            drop(waiter.send(result.clone()));
        }
    }
}
