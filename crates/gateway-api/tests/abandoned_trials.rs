//! Suspected work runs on one engine at a time, under a trial lease granted to a process. If that process terminates, the
//! work must not wait until the lease expires.

mod common;

use common::engine::StandInEngine;
use common::{Deployment, HOST, block_on, call, document, eventually, job, rollouts, route};
use hyper::{Method, StatusCode};
use saddlerelay_types::gateway::{GatewayCommand, TrialRequest};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::JobItem;
use saddlerelay_types::routing::RouteKind;
use saddlerelay_types::suspicion::{EngineLoss, TrialId, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use std::time::{Duration, Instant};

/// Incarnation of a terminated process that still holds trial leases.
const TERMINATED_PROCESS: Incarnation = Incarnation(4_711);

/// Duration of the trial leases.
const TRIAL_LEASE_MS: u64 = 20_000;

/// Maximum time for which suspected work may be delayed by a terminated process.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Records that an engine crashed while it ran `work`.
async fn record_crash(deployment: &Deployment, work: WorkDigest) {
    let loss = EngineLoss { work, instance: InstanceId::without_start_time("an engine that has ended") };
    let evidence = WorkEvidence { losses: vec![loss], served: Vec::new() };
    deployment.node.commit_evidence(evidence).await.expect("the command was not committed");
}

/// Grants a trial lease for `work` to the terminated process.
async fn grant_to_terminated_process(deployment: &Deployment, work: WorkDigest, number: u64) {
    let id = TrialId { holder: TERMINATED_PROCESS, number };
    let request = TrialRequest { work, id, limit_ms: TRIAL_LEASE_MS };
    deployment.node.commit_gateway(GatewayCommand::BeginTrial(request)).await.expect("the command was not committed");
}

#[test]
fn items_with_a_trial_of_a_terminated_leader_run_soon() {
    block_on(async {
        let deployment = Deployment::start("abandoned-items").await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        let engine = StandInEngine::start("engine").await;
        deployment.register(&engine, "llm").await;
        let submission = job("job", 0, 0, 4, 1);
        let work = |item: &JobItem| item.work_digest(None, HOST);
        for (number, item) in submission.items.iter().take(2).enumerate() {
            record_crash(&deployment, work(item)).await;
            grant_to_terminated_process(&deployment, work(item), number as u64).await;
        }
        let started_at = Instant::now();
        assert_eq!(deployment.submit(&submission).await, StatusCode::ACCEPTED);
        deployment.await_results("job", 4).await;
        assert!(started_at.elapsed() < MAX_DELAY, "the items were delayed for {:?}", started_at.elapsed());
    });
}

#[test]
fn a_request_with_a_trial_of_a_terminated_gateway_is_served_soon() {
    block_on(async {
        let deployment = Deployment::start("abandoned-request").await;
        deployment.configure(&document(1, vec![route("/plans/", RouteKind::NonIdempotent, "web")])).await;
        let engine = StandInEngine::start("engine").await;
        deployment.register(&engine, "web").await;
        deployment.await_engines("web", 1).await;
        let work = WorkDigest::of_post_request(None, HOST, "/plans/1", b"a plan");
        record_crash(&deployment, work).await;
        grant_to_terminated_process(&deployment, work, 1).await;
        let started_at = Instant::now();
        let mut attempts = 0;
        eventually("the request is served", async || {
            attempts += 1;
            let id = format!("try-{attempts}");
            let headers = [("saddlerelay-request", id.as_str()), ("host", HOST)];
            call(deployment.client_address, Method::POST, "/plans/1", &headers, "a plan").await.status == StatusCode::OK
        })
        .await;
        assert!(started_at.elapsed() < MAX_DELAY, "the request was rejected for {:?}", started_at.elapsed());
    });
}
