//! Items of batch jobs and their score calls are owed until their deadline, however many engines terminate while running
//! them. Those that do crash their engines run on one engine at a time, with growing pauses.

mod common;

use common::crashing::{CRASH_MARKER, CrashingEngine, RequestLog};
use common::engine::StandInEngine;
use common::{Deployment, HOST, block_on, call, document, eventually, instance, job, rollouts, route};
use hyper::{Method, StatusCode};
use saddlerelay_types::gateway::{GatewayCommand, TrialRequest};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::job::{ItemEnd, JobSubmission, ScoringRequest};
use saddlerelay_types::routing::{Route, RouteKind};
use saddlerelay_types::suspicion::{
    EngineLoss, MAX_OWED_PAUSE, OWED_PAUSE, QUARANTINE_THRESHOLD, TrialId, TrialResult, WorkEvidence,
};
use std::time::{Duration, Instant};

const ENGINES: usize = 3;

/// Crashes under a harmless item; more than quarantine a caller's request for good.
const HARMLESS_CRASHES: usize = 6;

/// Crashes after which those under an item that crashes its engines are no longer observed.
const OBSERVED_CRASHES: usize = 6;

struct Fixture {
    deployment: Deployment,
    /// The service of the engines that crash.
    service: &'static str,
    engines: Vec<CrashingEngine>,
    log: RequestLog,
    /// Runs the items where only score calls crash their engines.
    _model_engine: Option<StandInEngine>,
}

impl Fixture {
    /// Engines that run items.
    async fn for_items(name: &str) -> Self {
        let deployment = Deployment::start(name).await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        Self::with_engines(name, deployment, "llm", None).await
    }

    /// Engines that run score calls, and a sound one that runs the items.
    async fn for_score_calls(name: &str) -> Self {
        let deployment = Deployment::start(name).await;
        deployment.configure(&document(1, vec![scores(), rollouts()])).await;
        let model_engine = StandInEngine::start("model").await;
        deployment.register(&model_engine, "llm").await;
        Self::with_engines(name, deployment, "web", Some(model_engine)).await
    }

    async fn with_engines(
        name: &str,
        deployment: Deployment,
        service: &'static str,
        model_engine: Option<StandInEngine>,
    ) -> Self {
        let log = RequestLog::default();
        let engines: Vec<_> =
            (0..ENGINES).map(|index| CrashingEngine::start(&format!("{name}-{index}"), &log)).collect();
        for engine in &engines {
            deployment.register_crashing(engine, service).await;
        }
        deployment.await_engines(service, ENGINES).await;
        Self { deployment, service, engines, log, _model_engine: model_engine }
    }

    async fn restart(&self) {
        self.deployment.restart(&self.engines, self.service).await;
    }

    fn started(&self, request: &str) -> usize {
        self.log.borrow().iter().filter(|started| started.request == request).count()
    }

    fn crashes(&self) -> usize {
        self.log.borrow().iter().filter(|started| started.crashed).count()
    }

    /// Crashes the engine that runs `request`, and only this one, again and again.
    async fn crash_engines_under(&self, request: &str) {
        self.engines.iter().for_each(|engine| engine.hold_requests(true));
        for crash in 0..HARMLESS_CRASHES {
            eventually(&format!("an engine runs the request before crash {crash}"), async || {
                self.started(request) > crash
            })
            .await;
            let instance = self.log.borrow().iter().rfind(|started| started.request == request).cloned();
            let instance = instance.expect("no engine runs the request").instance;
            let running = self.engines.iter().find(|engine| engine.instance() == instance);
            running.expect("the request runs on an unknown engine").crash();
            self.restart().await;
        }
        self.engines.iter().for_each(|engine| engine.hold_requests(false));
    }

    async fn await_completed(&self, job: &str, count: usize) {
        eventually(&format!("{count} items of {job} are completed"), async || {
            self.restart().await;
            let page = self.deployment.results(job).await;
            page.is_some_and(|page| {
                page.results.iter().filter(|(_, result)| result.end == ItemEnd::Completed).count() == count
            })
        })
        .await;
    }

    /// Times at which `OBSERVED_CRASHES` engines crashed, while the engines are restarted.
    async fn observe_crashes(&self) -> Vec<Instant> {
        let mut crashed_at = Vec::new();
        eventually("the work has crashed engines", async || {
            self.restart().await;
            while crashed_at.len() < self.crashes() {
                crashed_at.push(Instant::now());
            }
            crashed_at.len() >= OBSERVED_CRASHES
        })
        .await;
        crashed_at
    }
}

fn scores() -> Route {
    route("/scores/", RouteKind::Idempotent, "web")
}

/// A job of `count` items with a scorer each; the body of the item's score call with index `crashing` crashes its engine.
fn scored_job(id: &str, first: u32, count: u32, crashing: Option<usize>) -> JobSubmission {
    let mut submission = job(id, 0, first, count, 1);
    for (index, item) in submission.items.iter_mut().enumerate() {
        let body = if crashing == Some(index) { CRASH_MARKER } else { "a text" };
        item.scorer = Some(ScoringRequest {
            id: format!("{id}-score-{index}"),
            host: HOST.to_string(),
            path: format!("/scores/{id}/{index}"),
            body: body.as_bytes().to_vec(),
        });
    }
    submission
}

/// Checks that crashes are at least as far apart as the pauses: none before the second one, then doubled up to the maximum.
fn assert_paused(crashed_at: &[Instant]) {
    // The pause begins when the loss is observed; a crash is observed here up to one round of restarts late.
    let tolerance = Duration::from_millis(250);
    let mut pause = OWED_PAUSE;
    for (index, crashes) in crashed_at.windows(2).enumerate().skip(1) {
        let elapsed = crashes[1] - crashes[0];
        assert!(elapsed + tolerance >= pause, "crash {} came {elapsed:?} after the one before", index + 2);
        pause = (2 * pause).min(MAX_OWED_PAUSE);
    }
}

/// Guards against a sound item that no engine runs any more because engines crashed under it one after the other, for a
/// reason of their own (issue 82).
#[test]
fn an_item_is_run_again_however_many_engines_crashed_under_it() {
    block_on(async {
        let fixture = Fixture::for_items("owed-item").await;
        assert_eq!(fixture.deployment.submit(&job("job", 0, 0, 1, 1)).await, StatusCode::ACCEPTED);
        fixture.crash_engines_under("item-0").await;
        fixture.await_completed("job", 1).await;
        let metrics = fixture.deployment.coordinator.metrics().encode();
        assert!(!metrics.contains("retrials_requested_total 0"), "no retrial was requested");
    });
}

/// Guards against an item that stays quarantined for an hour because an earlier build had quarantined its work.
#[test]
fn an_item_that_an_earlier_build_quarantined_is_run() {
    block_on(async {
        let fixture = Fixture::for_items("owed-quarantined").await;
        let submission = job("job", 0, 0, 1, 1);
        let work = submission.items[0].work_digest(None, HOST);
        let node = &fixture.deployment.node;
        for number in 0..QUARANTINE_THRESHOLD as u64 {
            let id = TrialId { holder: Incarnation(7), number };
            let request = TrialRequest { work, id, limit_ms: 1_000 };
            assert_eq!(node.begin_trial(request).await.ok(), Some(TrialResult::Granted));
            let losses = vec![EngineLoss { work, instance: instance(&format!("gone-{number}")) }];
            let evidence = WorkEvidence { losses, served: Vec::new() };
            node.commit_evidence(evidence).await.expect("the evidence is committed");
            node.commit_gateway(GatewayCommand::EndTrial { work, id }).await.expect("the trial ends");
        }
        assert_eq!(node.read(|state| state.suspicions.is_quarantined(&work)), Some(true));
        assert_eq!(node.read(|state| state.suspicions.independent_losses(&work)), Some(QUARANTINE_THRESHOLD));
        assert_eq!(fixture.deployment.submit(&submission).await, StatusCode::ACCEPTED);
        let since = Instant::now();
        fixture.await_completed("job", 1).await;
        assert!(since.elapsed() < 2 * MAX_OWED_PAUSE, "completed after {:?}", since.elapsed());
    });
}

/// Guards against a complete text that is never scored because engines crashed under its score call one after the other.
#[test]
fn a_score_call_is_made_again_however_many_engines_crashed_under_it() {
    block_on(async {
        let fixture = Fixture::for_score_calls("owed-score").await;
        assert_eq!(fixture.deployment.submit(&scored_job("job", 0, 1, None)).await, StatusCode::ACCEPTED);
        fixture.crash_engines_under("job-score-0").await;
        fixture.await_completed("job", 1).await;
    });
}

/// Guards against an item that takes down all engines of its service at once, or one after the other without a pause. Other
/// items complete beside it, and it ends with its job.
#[test]
fn an_item_that_crashes_its_engines_runs_on_one_at_a_time_with_pauses() {
    block_on(async {
        let fixture = Fixture::for_items("owed-crashing-item").await;
        let mut submission = job("job", 0, 0, 6, 1);
        submission.items[2].body = format!("a prompt that {CRASH_MARKER}").into_bytes();
        assert_eq!(fixture.deployment.submit(&submission).await, StatusCode::ACCEPTED);
        let crashed_at = fixture.observe_crashes().await;
        assert_paused(&crashed_at);
        fixture.await_completed("job", 5).await;
        assert_eq!(fixture.deployment.submit(&job("later", 0, 6, 6, 1)).await, StatusCode::ACCEPTED);
        fixture.await_completed("later", 6).await;
        let page = fixture.deployment.results("job").await.expect("the response is not a result page");
        assert!(page.results.iter().all(|(id, _)| id.0 != "item-2"), "the item has no result");
        let ended = call(fixture.deployment.client_address, Method::DELETE, "/v1/jobs/job", &[], "").await;
        assert_eq!(ended.status, StatusCode::OK);
        fixture.restart().await;
        let crashes = fixture.crashes();
        compio::time::sleep(2 * MAX_OWED_PAUSE).await;
        assert_eq!(fixture.crashes(), crashes, "the item ran after its job had ended");
    });
}

/// Guards against a score call that takes down all engines of its service. Other items are scored beside it.
#[test]
fn a_score_call_that_crashes_its_engines_is_made_with_pauses() {
    block_on(async {
        let fixture = Fixture::for_score_calls("owed-crashing-score").await;
        assert_eq!(fixture.deployment.submit(&scored_job("job", 0, 3, Some(1))).await, StatusCode::ACCEPTED);
        let crashed_at = fixture.observe_crashes().await;
        assert_paused(&crashed_at);
        fixture.await_completed("job", 2).await;
        assert_eq!(fixture.deployment.submit(&scored_job("later", 3, 3, None)).await, StatusCode::ACCEPTED);
        fixture.await_completed("later", 3).await;
        assert_eq!(fixture.deployment.results("job").await.map(|page| page.results.len()), Some(2));
    });
}
