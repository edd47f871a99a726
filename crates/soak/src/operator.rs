//! Operators, who change the routing and read it back, and the reports of engines.

use crate::calls::{control, control_until_done};
use crate::deployment::{Addresses, DRAIN_BOUND, REPORT_INTERVAL};
use crate::engine::Engine;
use crate::journal::{Journal, ReadDocument, SentDocument};
use crate::workload::{self, Demands, WEB_SERVICES};
use hyper::{Method, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Where routing documents are put and read.
const ROUTING_PATH: &str = "/admin/v1/routing";

/// Pause between changes, in milliseconds: shortest and longest.
const CHANGE_PAUSE_MS: std::ops::Range<u64> = 300..2_500;

/// Pause between reads.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Most routes that nobody asks for.
const MOST_IDLE_ROUTES: usize = 200;

/// Pause before a leaving engine that is no longer used ends, beyond the bound.
const LINGER: Duration = Duration::from_millis(1_200);

/// How long an engine that leaves waits for an acknowledgement.
const LEAVING_LIMIT: Duration = Duration::from_secs(8);

/// Pause before the next instance starts at the address of one that ended.
const REUSE_PAUSE: Duration = Duration::from_millis(500);

/// An operator's documents; their versions rise in uneven steps.
pub struct Operator {
    addresses: Addresses,
    journal: Journal,
    demands: Demands,
    version: Cell<u64>,
}

impl Operator {
    /// An operator.
    pub fn new(addresses: Addresses, journal: Journal, demands: Demands) -> Self {
        Self { addresses, journal, demands, version: Cell::new(0) }
    }

    /// Writes the next document down as about to be sent.
    fn next_document(&self) -> (u64, Vec<u8>) {
        let version = self.version.get() + fastrand::u64(1..4);
        self.version.set(version);
        let moving_to = WEB_SERVICES[fastrand::usize(..WEB_SERVICES.len())];
        let document = workload::document(self.demands, version, moving_to, fastrand::usize(..MOST_IDLE_ROUTES));
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let sent =
            SentDocument { version, moving_to, body: body.clone(), sent_at: self.journal.now(), acknowledged_at: None };
        self.journal.write(|records| records.documents.push(sent));
        (version, body)
    }

    /// Sends a new document until it is acknowledged; `false` when `wanted` ceases to hold.
    pub async fn change(&self, wanted: impl Fn() -> bool) -> bool {
        self.change_to_next(wanted).await.is_some()
    }

    /// As [`Self::change`]; returns the version that was acknowledged.
    async fn change_to_next(&self, wanted: impl Fn() -> bool) -> Option<u64> {
        let (version, body) = self.next_document();
        self.send(version, body, wanted).await.then_some(version)
    }

    /// Sends two documents at the same time, as two operators do.
    async fn change_twice_at_once(&self, wanted: &impl Fn() -> bool) {
        let (first_version, first) = self.next_document();
        let (second_version, second) = self.next_document();
        let first = self.send(first_version, first, wanted);
        let second = self.send(second_version, second, wanted);
        futures::future::join(first, second).await;
    }

    async fn send(&self, version: u64, body: Vec<u8>, wanted: impl Fn() -> bool) -> bool {
        let done = control_until_done(&self.addresses, Method::PUT, ROUTING_PATH, body, wanted).await;
        if done {
            let now = self.journal.now();
            self.journal.write(|records| {
                let sent = records.documents.iter_mut().filter(|sent| sent.version == version);
                sent.for_each(|sent| sent.acknowledged_at = sent.acknowledged_at.or(Some(now)));
            });
        }
        done
    }

    /// Sends other content under an acknowledged version: it must be acknowledged and change nothing.
    async fn send_other_content(&self, version: u64) {
        let document = workload::document(self.demands, version, "web-b", 1);
        let body = serde_json::to_vec(&document).unwrap_or_default();
        // The answer does not matter: what is read later does.
        control(&self.addresses, Method::PUT, ROUTING_PATH, body).await;
    }

    /// Changes the routing until told to stop: one change after the other, two at once, and old versions again.
    pub async fn run(self: Rc<Self>, stop: Rc<Cell<bool>>) {
        while !stop.get() {
            compio::time::sleep(Duration::from_millis(fastrand::u64(CHANGE_PAUSE_MS))).await;
            let wanted = || !stop.get();
            match fastrand::u32(..10) {
                0..2 => self.change_twice_at_once(&wanted).await,
                2 => {
                    if let Some(version) = self.change_to_next(wanted).await {
                        self.send_other_content(version).await;
                    }
                }
                _ => {
                    self.change(wanted).await;
                }
            }
        }
    }

    /// Reads the routing document from any coordinator; returns whether there was a sure answer.
    pub async fn read(&self) -> bool {
        let asked_at = self.journal.now();
        let answer = control(&self.addresses, Method::GET, ROUTING_PATH, Vec::new()).await;
        let body = match answer {
            Some(answer) if answer.status == StatusCode::OK => Some(answer.body.to_vec()),
            Some(answer) if answer.status == StatusCode::NOT_FOUND => None,
            _ => return false,
        };
        self.journal.write(|records| records.reads.push(ReadDocument { asked_at, body }));
        true
    }

    /// Reads until told to stop.
    pub async fn run_reads(self: Rc<Self>, stop: Rc<Cell<bool>>) {
        while !stop.get() {
            self.read().await;
            compio::time::sleep(READ_PAUSE).await;
        }
    }
}

/// Reports an engine until told to stop.
pub async fn report(engine: Engine, addresses: Addresses, journal: Journal, stop: Rc<Cell<bool>>) {
    while !stop.get() {
        if engine.is_silent() {
            compio::time::sleep(REPORT_INTERVAL / 5).await;
            continue;
        }
        let instance = engine.instance();
        let report = engine.report();
        let path = format!("/v1/instances/{}", report.id.name);
        let body = serde_json::to_vec(&report).unwrap_or_default();
        let answer = control(&addresses, Method::PUT, &path, body).await;
        let acknowledged = answer.is_some_and(|answer| answer.status.is_success());
        if acknowledged && report.leaving {
            let now = journal.now();
            journal.write(|records| {
                records.leaving.entry(instance).or_insert(now);
            });
        }
        let pause = if acknowledged { REPORT_INTERVAL } else { REPORT_INTERVAL / 5 };
        compio::time::sleep(pause).await;
    }
}

/// Has an engine leave in the planned way; a new instance follows at its address.
pub async fn replace(engine: Engine, addresses: Addresses, journal: Journal) {
    let instance = engine.instance();
    engine.leave();
    let asked_at = journal.now();
    let acknowledged = || journal.read(|records| records.leaving.contains_key(&instance));
    while !acknowledged() && journal.now() < asked_at + LEAVING_LIMIT {
        compio::time::sleep(REPORT_INTERVAL / 5).await;
    }
    compio::time::sleep(DRAIN_BOUND + LINGER).await;
    if engine.instance() != instance {
        return;
    }
    let path = format!("/v1/instances/{}", instance.name);
    control(&addresses, Method::DELETE, &path, Vec::new()).await;
    compio::time::sleep(REUSE_PAUSE).await;
    engine.start_anew();
}
