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
use saddlerelay_types::instance::{GatheredReports, InstanceHeartbeat, InstanceId, InstanceReport, LoadedModel};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Maximum delay of a batch without urgent reports.
const BATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum pause between batches, also with urgent reports. Engines wait one second for a reply.
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

/// Maximum number of reports in one batch, about 60 KB.
const MAX_BATCH_SIZE: usize = 512;

/// Maximum number of pending reports; further ones are rejected.
const MAX_PENDING: usize = 4_096;

/// Maximum number of instances in the cache of delivered reports. The cache is cleared when it is full; the next report
/// of each instance is then sent in full.
const MAX_DELIVERED: usize = 16_384;

type Answer = Result<GatewayReply, GatewayError>;

#[derive(Default)]
struct PendingReports {
    /// Newest pending report of each instance.
    reports: BTreeMap<InstanceId, InstanceReport>,
    /// Callers that wait for the delivery of an instance's report.
    waiters: BTreeMap<InstanceId, Vec<oneshot::Sender<Answer>>>,
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
        let gatherer = Rc::new(Self {
            platform: platform.clone(),
            control,
            pending: RefCell::default(),
            delivered: RefCell::default(),
            leader_reached_at: Cell::new(platform.monotonic()),
            leader_contact_window: LEADER_CONTACT_WINDOW.max(report_interval),
            urgent: Signal::default(),
        });
        platform.spawn(send_batches(gatherer.clone()));
        gatherer
    }

    /// Accepts a report; returns the answer for the engine.
    pub async fn report(&self, report: InstanceReport) -> Answer {
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
        let (sender, answer) = oneshot::channel();
        self.pending.borrow_mut().waiters.entry(id).or_default().push(sender);
        self.urgent.notify();
        let limit = if leaving { BATCH_TIMEOUT } else { MAX_COMMIT_WAIT };
        let answer = match timeout(&self.platform, limit, answer).await {
            Some(Ok(answer)) => answer,
            Some(Err(_)) | None => Err(GatewayError::Undecided),
        };
        // The report is sent with the next batch.
        let may_wait = answer.is_err() && !leaving && self.has_reached_leader_recently();
        if may_wait { Ok(GatewayReply::Done) } else { answer }
    }

    fn is_committed(&self, report: &InstanceReport) -> bool {
        self.delivered.borrow().get(&report.id).is_some_and(|delivered| delivered.is_committed(report))
    }

    fn has_reached_leader_recently(&self) -> bool {
        let now = self.platform.monotonic();
        now < self.leader_reached_at.get() + self.leader_contact_window
    }

    /// Removes the reports of one batch and the callers that wait for them. Further reports stay pending.
    fn take_batch(&self) -> (Vec<InstanceReport>, Vec<oneshot::Sender<Answer>>) {
        let mut pending = self.pending.borrow_mut();
        let mut reports = std::mem::take(&mut pending.reports);
        if let Some(first_remaining) = reports.keys().nth(MAX_BATCH_SIZE).cloned() {
            pending.reports = reports.split_off(&first_remaining);
        }
        let waiters = reports.keys().filter_map(|id| pending.waiters.remove(id)).flatten().collect();
        (reports.into_values().collect(), waiters)
    }

    /// Returns undelivered reports to the pending ones. Their callers are not kept and receive the error.
    fn put_back(&self, reports: Vec<InstanceReport>) {
        let mut pending = self.pending.borrow_mut();
        for report in reports {
            if pending.reports.len() < MAX_PENDING {
                pending.add(report);
            }
        }
    }

    /// Splits reports into changed ones and heartbeats.
    fn classify(&self, reports: &[InstanceReport]) -> GatheredReports {
        let delivered = self.delivered.borrow();
        let mut gathered = GatheredReports::default();
        for report in reports {
            if delivered.get(&report.id) == Some(&DeliveredReport::of(report)) {
                gathered.heartbeats.push(InstanceHeartbeat { id: report.id.clone(), sequence: report.sequence });
            } else {
                gathered.changed.push(report.clone());
            }
        }
        gathered
    }

    fn record_delivered(&self, reports: &[InstanceReport]) {
        let mut delivered = self.delivered.borrow_mut();
        if delivered.len() + reports.len() > MAX_DELIVERED {
            delivered.clear();
        }
        delivered.extend(reports.iter().map(|report| (report.id.clone(), DeliveredReport::of(report))));
    }

    /// Sends each report in its own message, for a leader of an older build that doesn't support batches.
    async fn send_singly(&self, reports: &[InstanceReport]) -> Answer {
        let send = |report: &InstanceReport| {
            let request = GatewayRequest::ReportInstance(report.clone());
            self.control.gateway(request, BATCH_TIMEOUT, ATTEMPT_TIMEOUT)
        };
        let answers = join_all(reports.iter().map(send)).await;
        answers.into_iter().find(|answer| *answer != Ok(GatewayReply::Done)).unwrap_or(Ok(GatewayReply::Done))
    }

    /// Removes instances that the group has no record of, so that their next reports are sent in full.
    fn forget(&self, missing: &[InstanceId]) {
        let mut delivered = self.delivered.borrow_mut();
        missing.iter().for_each(|id| drop(delivered.remove(id)));
    }
}

async fn send_batches<P: Runtime>(gatherer: Rc<ReportBatcher<P>>) {
    loop {
        gatherer.platform.sleep(MIN_BATCH_PAUSE).await;
        let notified_count = gatherer.urgent.count();
        if gatherer.pending.borrow().waiters.is_empty() {
            let pause = pin!(gatherer.platform.sleep(BATCH_INTERVAL));
            select(pin!(gatherer.urgent.changed(notified_count)), pause).await;
        }
        let (reports, waiters) = gatherer.take_batch();
        if reports.is_empty() {
            continue;
        }
        let gathered = gatherer.classify(&reports);
        let (news, heartbeats) = (gathered.changed.len(), gathered.heartbeats.len());
        let request = GatewayRequest::ReportInstances(gathered);
        let mut answer = gatherer.control.gateway(request, BATCH_TIMEOUT, ATTEMPT_TIMEOUT).await;
        if answer == Err(GatewayError::NotUnderstood) {
            answer = gatherer.send_singly(&reports).await;
        }
        let mut missing = Vec::new();
        if let Ok(GatewayReply::ReportsMissing(instances)) = &mut answer {
            missing = std::mem::take(instances);
            answer = Ok(GatewayReply::Done);
        }
        if answer == Ok(GatewayReply::Done) {
            gatherer.leader_reached_at.set(gatherer.platform.monotonic());
            gatherer.record_delivered(&reports);
            gatherer.forget(&missing);
        } else {
            gatherer.put_back(reports);
            spdlog::warn!("engine reports not delivered, will retry", kv: {
                news = news, heartbeats = heartbeats, answer = format!("{answer:?}").as_str()
            });
        }
        for waiter in waiters {
            // Fails if the caller has timed out.
            drop(waiter.send(answer.clone()));
        }
    }
}
