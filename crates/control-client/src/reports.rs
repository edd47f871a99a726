//! Gathers the reports of engines that come to one machine, so that the group's leader gets one message for many.
//!
//! An engine reports itself every few seconds, and hardly ever says anything new. What is new (an instance that this
//! machine has not seen committed, one that leaves) goes to the leader at once, with all that waits, and is answered when it
//! is committed; while one message is under way, the next one gathers. A report that only says that the engine is still
//! there is answered at once, as long as messages reach the leader: one that is lost with this machine is made good by the
//! next, long before the engine is called silent.

use crate::{ControlClient, GatewayError};
use futures::channel::oneshot;
use futures::future::select;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// How long reports without news are gathered. The engines of the largest deployment make 2,000 of them a second, at 20
/// machines: 50 messages a second reach the leader.
const GATHER_TIME: Duration = Duration::from_millis(400);

/// Reports without news are answered at once if a message has reached the leader within this time: some times as long as
/// they are gathered.
const REACHED_LATELY: Duration = Duration::from_millis(1_500);

/// Longest time for one message, and longest wait for one control replica.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(900);
const ATTEMPT_LIMIT: Duration = Duration::from_millis(600);

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

/// What makes a report news, but for what follows from the instance's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Committed {
    address: std::net::SocketAddr,
    leaving: bool,
}

impl Committed {
    fn of(report: &InstanceReport) -> Self {
        Self { address: report.address, leaving: report.leaving }
    }
}

/// The gathering. Clones share it.
pub struct ReportGatherer<P: Runtime> {
    platform: P,
    control: ControlClient<P>,
    waiting: RefCell<Waiting>,
    known: RefCell<BTreeMap<InstanceId, Committed>>,
    reached_at: Cell<Option<Duration>>,
    /// Something that waits must not be kept waiting.
    urgent: Signal,
}

impl<P: Runtime> ReportGatherer<P> {
    /// Hands reports over to the group behind `control` until the process ends.
    pub fn start(platform: P, control: ControlClient<P>) -> Rc<Self> {
        let gatherer = Rc::new(Self {
            platform: platform.clone(),
            control,
            waiting: RefCell::default(),
            known: RefCell::default(),
            reached_at: Cell::new(None),
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
        let says_nothing_new = self.says_nothing_new(&report);
        self.waiting.borrow_mut().add(report);
        if says_nothing_new && self.has_reached_lately() {
            return Ok(GatewayReply::Done);
        }
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().askers.entry(id).or_default().push(sender);
        self.urgent.notify();
        match timeout(&self.platform, HAND_OVER_LIMIT, answer).await {
            Some(Ok(answer)) => answer,
            Some(Err(_)) | None => Err(GatewayError::Undecided),
        }
    }

    fn says_nothing_new(&self, report: &InstanceReport) -> bool {
        self.known.borrow().get(&report.id) == Some(&Committed::of(report))
    }

    fn has_reached_lately(&self) -> bool {
        let now = self.platform.monotonic();
        self.reached_at.get().is_some_and(|at| now < at + REACHED_LATELY)
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

    fn remember(&self, reports: &[InstanceReport]) {
        let mut known = self.known.borrow_mut();
        if known.len() + reports.len() > KNOWN_KEPT {
            known.clear();
        }
        known.extend(reports.iter().map(|report| (report.id.clone(), Committed::of(report))));
    }
}

async fn hand_over<P: Runtime>(gatherer: Rc<ReportGatherer<P>>) {
    loop {
        let seen = gatherer.urgent.count();
        if gatherer.waiting.borrow().askers.is_empty() {
            let pause = pin!(gatherer.platform.sleep(GATHER_TIME));
            select(pin!(gatherer.urgent.changed(seen)), pause).await;
        }
        let (reports, askers) = gatherer.take();
        if reports.is_empty() {
            continue;
        }
        let request = GatewayRequest::ReportInstances(reports.clone());
        let answer = gatherer.control.gateway(request, HAND_OVER_LIMIT, ATTEMPT_LIMIT).await;
        if answer == Ok(GatewayReply::Done) {
            gatherer.reached_at.set(Some(gatherer.platform.monotonic()));
            gatherer.remember(&reports);
        } else {
            spdlog::warn!("reports not handed over", kv: {
                reports = reports.len(), answer = format!("{answer:?}").as_str()
            });
        }
        for asker in askers {
            // One that has given up is gone.
            drop(asker.send(answer.clone()));
        }
    }
}
