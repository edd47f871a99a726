//! Gathers the reports of engines that come to one machine, so that the group's leader gets one message for many.
//!
//! An engine reports itself every few seconds, and hardly ever says anything new. That it leaves goes to the leader at once,
//! with all that waits, and is answered when it is committed: from then on it counts. That it is there is answered at once
//! if this machine has handed it over before; a new one is answered when it is committed, but not kept waiting for long. One
//! that is lost with this machine is made good by the next. Engines whose reports are not answered come again elsewhere:
//! after a loss of all machines 10,000 of them would make 10,000 calls a second, and the group would find no time to choose
//! a leader. While no message has reached the leader for long, nothing is answered.

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

/// How long reports without news are gathered. The engines of the largest deployment make 2,000 of them a second, at 30
/// machines: 75 messages a second reach the leader.
const GATHER_TIME: Duration = Duration::from_millis(400);

/// Shortest pause between two messages, whatever they carry: thirty machines send 600 a second at most when all engines
/// come with news. An engine waits a second for its answer.
const LEAST_PAUSE: Duration = Duration::from_millis(50);

/// Reports that may wait are answered at once if a message has reached the leader within this time, or within the engines'
/// own pause between reports if that is longer: some times as long as they are gathered. An election must not have all
/// engines come again elsewhere: 10,000 that are refused for a second make 7,000 calls a second.
const REACHED_LATELY: Duration = Duration::from_millis(1_500);

/// Longest time for one message, and longest wait for one control replica.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(900);
const ATTEMPT_LIMIT: Duration = Duration::from_millis(600);

/// Longest wait of an engine that is there and new for its commit. It calls another machine after a second.
const COMMIT_WAIT: Duration = Duration::from_millis(600);

/// Most reports in one message: about 60 KB.
const MOST_AT_ONCE: usize = 512;

/// Reports that wait; engines that come beyond are told to go elsewhere.
const MOST_WAITING: usize = 4_096;

/// Instances that are remembered as committed. All are forgotten when there are more: their next report is news then.
const KNOWN_KEPT: usize = 16_384;

type Answer = Result<GatewayReply, GatewayError>;

#[derive(Default)]
struct Waiting {
    /// The newest report of each instance.
    reports: BTreeMap<InstanceId, InstanceReport>,
    /// Who waits for the message that carries an instance's.
    askers: BTreeMap<InstanceId, Vec<oneshot::Sender<Answer>>>,
}

impl Waiting {
    /// Adds a report, unless a newer one of the instance waits.
    fn add(&mut self, report: InstanceReport) {
        let newer = self.reports.get(&report.id).is_some_and(|held| held.sequence > report.sequence);
        if !newer {
            self.reports.insert(report.id.clone(), report);
        }
    }
}

/// What makes a report news of an instance that has been handed over. Service and address stay the same for one start;
/// what tells another comes from another writer, and is no heartbeat of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HandedOver {
    service: String,
    address: SocketAddr,
    leaving: bool,
    models: Vec<LoadedModel>,
}

impl HandedOver {
    fn of(report: &InstanceReport) -> Self {
        Self {
            service: report.service.clone(),
            address: report.address,
            leaving: report.leaving,
            models: report.models.clone(),
        }
    }

    /// Whether a report has to wait until it is committed; weights need not.
    fn is_committed(&self, report: &InstanceReport) -> bool {
        self.service == report.service && self.address == report.address && self.leaving == report.leaving
    }
}

/// The gathering.
pub struct ReportGatherer<P: Runtime> {
    platform: P,
    control: ControlClient<P>,
    waiting: RefCell<Waiting>,
    known: RefCell<BTreeMap<InstanceId, HandedOver>>,
    /// When a message last reached the leader; before the first, when the process started.
    reached_at: Cell<Duration>,
    reached_lately: Duration,
    /// Something that waits must not be kept waiting.
    urgent: Signal,
}

impl<P: Runtime> ReportGatherer<P> {
    /// Hands reports over to the group behind `control` until the process ends. Engines report each `report_interval`.
    pub fn start(platform: P, control: ControlClient<P>, report_interval: Duration) -> Rc<Self> {
        let gatherer = Rc::new(Self {
            platform: platform.clone(),
            control,
            waiting: RefCell::default(),
            known: RefCell::default(),
            reached_at: Cell::new(platform.monotonic()),
            reached_lately: REACHED_LATELY.max(report_interval),
            urgent: Signal::default(),
        });
        platform.spawn(hand_over(gatherer.clone()));
        gatherer
    }

    /// Takes a report; returns the answer for the engine.
    pub async fn report(&self, report: InstanceReport) -> Answer {
        if self.waiting.borrow().reports.len() >= MOST_WAITING {
            return Err(GatewayError::NotDone);
        }
        let id = report.id.clone();
        let is_committed = self.is_committed(&report);
        let leaving = report.leaving;
        self.waiting.borrow_mut().add(report);
        if is_committed && self.has_reached_lately() {
            return Ok(GatewayReply::Done);
        }
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().askers.entry(id).or_default().push(sender);
        self.urgent.notify();
        let limit = if leaving { HAND_OVER_LIMIT } else { COMMIT_WAIT };
        let answer = match timeout(&self.platform, limit, answer).await {
            Some(Ok(answer)) => answer,
            Some(Err(_)) | None => Err(GatewayError::Undecided),
        };
        // It goes with the next message.
        let may_wait = answer.is_err() && !leaving && self.has_reached_lately();
        if may_wait { Ok(GatewayReply::Done) } else { answer }
    }

    fn is_committed(&self, report: &InstanceReport) -> bool {
        self.known.borrow().get(&report.id).is_some_and(|known| known.is_committed(report))
    }

    fn has_reached_lately(&self) -> bool {
        let now = self.platform.monotonic();
        now < self.reached_at.get() + self.reached_lately
    }

    /// What one message carries, and everyone who waits for it. Those whose reports do not fit wait for the next one.
    fn take(&self) -> (Vec<InstanceReport>, Vec<oneshot::Sender<Answer>>) {
        let mut waiting = self.waiting.borrow_mut();
        let mut reports = std::mem::take(&mut waiting.reports);
        if let Some(first_left) = reports.keys().nth(MOST_AT_ONCE).cloned() {
            waiting.reports = reports.split_off(&first_left);
        }
        let askers = reports.keys().filter_map(|id| waiting.askers.remove(id)).flatten().collect();
        (reports.into_values().collect(), askers)
    }

    /// Keeps reports that have not been handed over for the next message. Whoever waited for them is told all the same.
    fn keep(&self, reports: Vec<InstanceReport>) {
        let mut waiting = self.waiting.borrow_mut();
        for report in reports {
            if waiting.reports.len() < MOST_WAITING {
                waiting.add(report);
            }
        }
    }

    /// Tells reports that say something new from those that do not.
    fn sort(&self, reports: &[InstanceReport]) -> GatheredReports {
        let known = self.known.borrow();
        let mut gathered = GatheredReports::default();
        for report in reports {
            if known.get(&report.id) == Some(&HandedOver::of(report)) {
                gathered.heartbeats.push(InstanceHeartbeat { id: report.id.clone(), sequence: report.sequence });
            } else {
                gathered.news.push(report.clone());
            }
        }
        gathered
    }

    fn remember(&self, reports: &[InstanceReport]) {
        let mut known = self.known.borrow_mut();
        if known.len() + reports.len() > KNOWN_KEPT {
            known.clear();
        }
        known.extend(reports.iter().map(|report| (report.id.clone(), HandedOver::of(report))));
    }

    /// To a leader of an older build, which takes one whole report in a message.
    async fn hand_over_singly(&self, reports: &[InstanceReport]) -> Answer {
        let hand_over = |report: &InstanceReport| {
            let request = GatewayRequest::ReportInstance(report.clone());
            self.control.gateway(request, HAND_OVER_LIMIT, ATTEMPT_LIMIT)
        };
        let answers = join_all(reports.iter().map(hand_over)).await;
        answers.into_iter().find(|answer| *answer != Ok(GatewayReply::Done)).unwrap_or(Ok(GatewayReply::Done))
    }

    /// The group holds nothing of these instances: their next reports are news.
    fn forget(&self, missing: &[InstanceId]) {
        let mut known = self.known.borrow_mut();
        missing.iter().for_each(|id| drop(known.remove(id)));
    }
}

async fn hand_over<P: Runtime>(gatherer: Rc<ReportGatherer<P>>) {
    loop {
        gatherer.platform.sleep(LEAST_PAUSE).await;
        let seen = gatherer.urgent.count();
        if gatherer.waiting.borrow().askers.is_empty() {
            let pause = pin!(gatherer.platform.sleep(GATHER_TIME));
            select(pin!(gatherer.urgent.changed(seen)), pause).await;
        }
        let (reports, askers) = gatherer.take();
        if reports.is_empty() {
            continue;
        }
        let gathered = gatherer.sort(&reports);
        let (news, heartbeats) = (gathered.news.len(), gathered.heartbeats.len());
        let request = GatewayRequest::ReportInstances(gathered);
        let mut answer = gatherer.control.gateway(request, HAND_OVER_LIMIT, ATTEMPT_LIMIT).await;
        if answer == Err(GatewayError::NotUnderstood) {
            answer = gatherer.hand_over_singly(&reports).await;
        }
        let mut missing = Vec::new();
        if let Ok(GatewayReply::ReportsMissing(instances)) = &mut answer {
            missing = std::mem::take(instances);
            answer = Ok(GatewayReply::Done);
        }
        if answer == Ok(GatewayReply::Done) {
            gatherer.reached_at.set(gatherer.platform.monotonic());
            gatherer.remember(&reports);
            gatherer.forget(&missing);
        } else {
            gatherer.keep(reports);
            spdlog::warn!("reports not handed over", kv: {
                news = news, heartbeats = heartbeats, answer = format!("{answer:?}").as_str()
            });
        }
        for asker in askers {
            // One that has given up is gone.
            drop(asker.send(answer.clone()));
        }
    }
}
