//! Operators that change and read the routing document, and reports and replacement of engines.

use crate::calls::{call_coordinator, change_until_acknowledged};
use crate::deployment::{Addresses, DRAIN_BOUND, REPORT_INTERVAL};
use crate::engine::Engine;
use crate::journal::{Journal, ReadDocument, SentDocument};
use crate::workload::{self, Features, WEB_SERVICES};
use hyper::{Method, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Path of the routing document.
const ROUTING_PATH: &str = "/admin/v1/routing";

/// Range of the pause between changes, in milliseconds.
const CHANGE_PAUSE_MS: std::ops::Range<u64> = 300..2_500;

const READ_PAUSE: Duration = Duration::from_millis(150);

/// Maximum number of unused routes in a document.
const MAX_UNUSED_ROUTES: usize = 200;

/// Time after the drain bound until a drained engine ends.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(1_200);

/// Timeout for the acknowledgement of a drain.
const DRAIN_ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay before the next instance reuses the address.
const REUSE_PAUSE: Duration = Duration::from_millis(500);

/// An operator, whose document versions increase in uneven steps.
pub struct Operator {
    addresses: Addresses,
    journal: Journal,
    features: Features,
    version: Cell<u64>,
}

impl Operator {
    /// Creates an operator.
    pub fn new(addresses: Addresses, journal: Journal, features: Features) -> Self {
        Self { addresses, journal, features, version: Cell::new(0) }
    }

    /// Creates the next document and records it as sent.
    fn next_document(&self) -> (u64, Vec<u8>) {
        let version = self.version.get() + fastrand::u64(1..4);
        self.version.set(version);
        let rerouted_to = WEB_SERVICES[fastrand::usize(..WEB_SERVICES.len())];
        let document = workload::document(self.features, version, rerouted_to, fastrand::usize(..MAX_UNUSED_ROUTES));
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let sent = SentDocument {
            version,
            rerouted_to,
            body: body.clone(),
            sent_at: self.journal.now(),
            acknowledged_at: None,
        };
        self.journal.write(|records| records.documents.push(sent));
        (version, body)
    }

    /// Sends a new document until it is acknowledged; `false` once `keep_trying` returns false.
    pub async fn change(&self, keep_trying: impl Fn() -> bool) -> bool {
        self.change_to_next(keep_trying).await.is_some()
    }

    /// As [`Self::change`], but returns the acknowledged version.
    async fn change_to_next(&self, keep_trying: impl Fn() -> bool) -> Option<u64> {
        let (version, body) = self.next_document();
        self.send(version, body, keep_trying).await.then_some(version)
    }

    /// Sends two documents concurrently, as two operators would.
    async fn change_twice_concurrently(&self, keep_trying: &impl Fn() -> bool) {
        let (first_version, first) = self.next_document();
        let (second_version, second) = self.next_document();
        let first = self.send(first_version, first, keep_trying);
        let second = self.send(second_version, second, keep_trying);
        futures::future::join(first, second).await;
    }

    async fn send(&self, version: u64, body: Vec<u8>, keep_trying: impl Fn() -> bool) -> bool {
        let acknowledged =
            change_until_acknowledged(&self.addresses, Method::PUT, ROUTING_PATH, body, keep_trying).await;
        if acknowledged {
            let now = self.journal.now();
            self.journal.write(|records| {
                let sent = records.documents.iter_mut().filter(|sent| sent.version == version);
                sent.for_each(|sent| sent.acknowledged_at = sent.acknowledged_at.or(Some(now)));
            });
        }
        acknowledged
    }

    /// Sends other content with an acknowledged version; it must not replace the document.
    async fn send_other_content(&self, version: u64) {
        let document = workload::document(self.features, version, "web-b", 1);
        let body = serde_json::to_vec(&document).unwrap_or_default();
        // The response is ignored: later reads are checked.
        call_coordinator(&self.addresses, Method::PUT, ROUTING_PATH, body).await;
    }

    /// Changes the routing until stopped: sequential changes, concurrent changes and resent versions.
    pub async fn run(self: Rc<Self>, stop: Rc<Cell<bool>>) {
        while !stop.get() {
            compio::time::sleep(Duration::from_millis(fastrand::u64(CHANGE_PAUSE_MS))).await;
            let keep_trying = || !stop.get();
            match fastrand::u32(..10) {
                0..2 => self.change_twice_concurrently(&keep_trying).await,
                2 => {
                    if let Some(version) = self.change_to_next(keep_trying).await {
                        self.send_other_content(version).await;
                    }
                }
                _ => {
                    self.change(keep_trying).await;
                }
            }
        }
    }

    /// Reads the routing document from a random coordinator; returns whether the response was conclusive.
    pub async fn read(&self) -> bool {
        let requested_at = self.journal.now();
        let response = call_coordinator(&self.addresses, Method::GET, ROUTING_PATH, Vec::new()).await;
        let body = match response {
            Some(response) if response.status == StatusCode::OK => Some(response.body.to_vec()),
            Some(response) if response.status == StatusCode::NOT_FOUND => None,
            _ => return false,
        };
        self.journal.write(|records| records.reads.push(ReadDocument { requested_at, body }));
        true
    }

    /// Reads the document repeatedly until stopped.
    pub async fn run_reads(self: Rc<Self>, stop: Rc<Cell<bool>>) {
        while !stop.get() {
            self.read().await;
            compio::time::sleep(READ_PAUSE).await;
        }
    }
}

/// Sends the reports of an engine until stopped.
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
        let response = call_coordinator(&addresses, Method::PUT, &path, body).await;
        let acknowledged = response.is_some_and(|response| response.status.is_success());
        if acknowledged && report.leaving {
            let now = journal.now();
            journal.write(|records| {
                records.drains_acknowledged_at.entry(instance).or_insert(now);
            });
        }
        let pause = if acknowledged { REPORT_INTERVAL } else { REPORT_INTERVAL / 5 };
        compio::time::sleep(pause).await;
    }
}

/// Drains an engine and starts a new instance at its address.
pub async fn replace_engine(engine: Engine, addresses: Addresses, journal: Journal) {
    let instance = engine.instance();
    engine.leave();
    let requested_at = journal.now();
    let acknowledged = || journal.read(|records| records.drains_acknowledged_at.contains_key(&instance));
    while !acknowledged() && journal.now() < requested_at + DRAIN_ACKNOWLEDGEMENT_TIMEOUT {
        compio::time::sleep(REPORT_INTERVAL / 5).await;
    }
    compio::time::sleep(DRAIN_BOUND + SHUTDOWN_DELAY).await;
    if engine.instance() != instance {
        return;
    }
    let path = format!("/v1/instances/{}", instance.name);
    call_coordinator(&addresses, Method::DELETE, &path, Vec::new()).await;
    compio::time::sleep(REUSE_PAUSE).await;
    engine.start_next_incarnation();
}
