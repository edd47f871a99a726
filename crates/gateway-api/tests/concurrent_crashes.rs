//! Harmless work that ran on engines that crashed together, for a reason of their own, is run again.

mod common;

use common::crashing::{CrashingEngine, RequestLog};
use common::engine::StandInEngine;
use common::{Deployment, HOST, block_on, call, document, eventually, job, rollouts, route, scored};
use hyper::{Method, StatusCode};
use saddlerelay_control::state::ControlState;
use saddlerelay_types::routing::RouteKind;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::time::Duration;

const ENGINES: usize = 3;
const ITEMS: u32 = 6;

/// Interval between attempts of a caller.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Number of crashes of all engines; each item runs on one engine at each.
const CRASHES: usize = 3;

struct Fixture {
    deployment: Deployment,
    service: &'static str,
    log: RequestLog,
    engines: Vec<CrashingEngine>,
}

impl Fixture {
    async fn start(name: &str, deployment: Deployment, service: &'static str) -> Self {
        let log = RequestLog::default();
        let engines: Vec<_> =
            (0..ENGINES).map(|index| CrashingEngine::start(&format!("{name}-{index}"), &log)).collect();
        for engine in &engines {
            deployment.register_crashing(engine, service).await;
        }
        Self { deployment, service, log, engines }
    }

    /// Crashes all engines at once, `CRASHES` times, each time while all requests of each kind are running. Identifiers begin
    /// with the kind; those of one request differ only after a slash.
    async fn crash_all_engines_repeatedly(&self, kinds: &[&str]) {
        self.engines.iter().for_each(|engine| engine.hold_requests(true));
        let mut started_before = 0;
        for crash in 0..CRASHES {
            eventually(&format!("all requests run before crash {crash}"), async || {
                kinds.iter().all(|kind| self.running(kind, started_before) == ITEMS as usize)
            })
            .await;
            self.engines.iter().for_each(CrashingEngine::crash);
            started_before = self.log.borrow().len();
            self.deployment.restart(&self.engines, self.service).await;
        }
        self.engines.iter().for_each(|engine| engine.hold_requests(false));
    }

    /// Number of requests of this kind that have started after the first `started_before`.
    fn running(&self, kind: &str, started_before: usize) -> usize {
        let log = self.log.borrow();
        let names = log[started_before..].iter().filter_map(|started| started.request.split('/').next());
        names.filter(|name| name.starts_with(kind)).collect::<BTreeSet<_>>().len()
    }

    async fn await_results(&self) {
        eventually("all items are completed", async || {
            self.deployment.results("job").await.is_some_and(|page| page.results.len() == ITEMS as usize)
        })
        .await;
    }
}

async fn post_price(fixture: &Fixture, id: &str) -> StatusCode {
    let headers = [("saddlerelay-request", id), ("host", HOST)];
    call(fixture.deployment.client_address, Method::POST, "/prices/7", &headers, "a price").await.status
}

/// Guards against items that no engine runs for an hour because three engines crashed under them by chance.
#[test]
fn items_on_engines_that_crashed_together_are_run_again() {
    block_on(async {
        let deployment = Deployment::start("crash-items-together").await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        let fixture = Fixture::start("item-engine", deployment, "llm").await;
        assert_eq!(fixture.deployment.submit(&job("job", 0, 0, ITEMS, 1)).await, StatusCode::ACCEPTED);
        fixture.crash_all_engines_repeatedly(&["item-"]).await;
        fixture.await_results().await;
    });
}

/// Guards against complete texts that are never scored because three engines crashed under the score calls by chance.
#[test]
fn score_calls_on_engines_that_crashed_together_are_made_again() {
    block_on(async {
        let deployment = Deployment::start("crash-scores-together").await;
        deployment.configure(&document(1, vec![route("/scores/", RouteKind::Idempotent, "web"), rollouts()])).await;
        let model_engine = StandInEngine::start("model").await;
        deployment.register(&model_engine, "llm").await;
        let fixture = Fixture::start("score-engine", deployment, "web").await;
        let submission = scored(job("job", 0, 0, ITEMS, 1));
        assert_eq!(fixture.deployment.submit(&submission).await, StatusCode::ACCEPTED);
        fixture.crash_all_engines_repeatedly(&["score-"]).await;
        fixture.await_results().await;
    });
}

/// Guards against a frequent request that is rejected for an hour because all engines of its service crashed at once
/// while they ran it for several callers.
#[test]
fn a_request_on_all_engines_that_crashed_together_is_served_again() {
    block_on(async {
        let deployment = Deployment::start("crash-requests-together").await;
        deployment.configure(&document(1, vec![route("/prices/", RouteKind::Idempotent, "web")])).await;
        let fixture = Fixture::start("price-engine", deployment, "web").await;
        let deployment = &fixture.deployment;
        deployment.await_engines("web", ENGINES).await;
        fixture.engines.iter().for_each(|engine| engine.hold_requests(true));
        let callers = (0..2 * ENGINES).map(|caller| {
            let fixture = &fixture;
            async move { post_price(fixture, &format!("caller-{caller}")).await }
        });
        let crash = async {
            eventually("every engine runs the request", async || {
                let log = fixture.log.borrow();
                log.iter().map(|started| &started.instance).collect::<BTreeSet<_>>().len() == ENGINES
            })
            .await;
            fixture.engines.iter().for_each(CrashingEngine::crash);
            fixture.engines.iter().for_each(|engine| engine.hold_requests(false));
        };
        let (statuses, ()) = futures::join!(futures::future::join_all(callers), crash);
        assert!(statuses.iter().all(|status| *status != StatusCode::OK), "{statuses:?}");
        let is_quarantined = |state: &ControlState| state.suspicions.iter().any(|suspicion| suspicion.is_quarantined());
        eventually("the request is quarantined", async || deployment.node.read(is_quarantined) == Some(true)).await;
        deployment.restart(&fixture.engines, "web").await;
        let mut attempts = 0;
        eventually("the request is served again", async || {
            attempts += 1;
            post_price(&fixture, &format!("again-{attempts}")).await == StatusCode::OK
        })
        .await;
    });
}

/// Opens a stream again and again, each time with a new identifier, until it is served; counts it in `served` then.
async fn open_until_served(fixture: &Fixture, stream: u32, served: &Cell<u32>) {
    for attempt in 0.. {
        let id = format!("stream-{stream}/{attempt}");
        let headers = [("saddlerelay-request", id.as_str()), ("host", HOST), ("events", "1")];
        let path = format!("/prices/{stream}");
        let response = call(fixture.deployment.client_address, Method::POST, &path, &headers, "prices").await;
        if response.status == StatusCode::OK {
            served.set(served.get() + 1);
            return;
        }
        compio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Starts a deployment whose engines run streams and items.
async fn start_with_streams(name: &str) -> Fixture {
    let deployment = Deployment::start(name).await;
    let streams = route("/prices/", RouteKind::Streaming, "llm");
    deployment.configure(&document(1, vec![streams, rollouts()])).await;
    let fixture = Fixture::start(name, deployment, "llm").await;
    fixture.deployment.await_engines("llm", ENGINES).await;
    fixture
}

/// Opens streams while all engines crash repeatedly, each time while all requests of each kind are running, and waits until
/// every stream is served.
async fn crash_engines_under_streams(fixture: &Fixture, kinds: &[&str]) {
    let served = Cell::new(0);
    let callers = (0..ITEMS).map(|stream| open_until_served(fixture, stream, &served));
    let crashes = async {
        fixture.crash_all_engines_repeatedly(kinds).await;
        eventually("all streams are served", async || served.get() == ITEMS).await;
    };
    futures::join!(futures::future::join_all(callers), crashes);
}

/// Guards against streams that are rejected for an hour because three engines crashed under them by chance. Items run on
/// all of the engines.
#[test]
fn streams_on_engines_that_crashed_together_are_served_again() {
    block_on(async {
        let fixture = start_with_streams("crash-streams-together").await;
        assert_eq!(fixture.deployment.submit(&job("job", 0, 0, ITEMS, 1)).await, StatusCode::ACCEPTED);
        crash_engines_under_streams(&fixture, &["item-", "stream-"]).await;
        fixture.await_results().await;
    });
}

/// Guards against streams that are rejected for an hour because the engine that all of them ran on crashed three times.
/// The others are idle, so that nobody notices their crashes.
#[test]
fn streams_on_an_engine_that_crashed_repeatedly_are_served_again() {
    block_on(async {
        let fixture = start_with_streams("crash-streams-alone").await;
        crash_engines_under_streams(&fixture, &["stream-"]).await;
    });
}
