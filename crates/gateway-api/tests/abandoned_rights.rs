//! Accepted items of a step were at no engine for seconds, while engines had room, until the step was over.
//!
//! How it came about: an engine ended under the items. From then on their work ran at one engine at a time, and the leader
//! was granted the right to run each of them. Then the leader ended, within a second of the grant. The next leader asked for
//! the same rights three times a second and was refused each time.
//!
//! Cause: a right was granted for as long as the work might last at most, 40 s for an item, to a process that might end before,
//! and nobody but that process could give it back.
//!
//! What proved it: the refusals named a holder that had started before the leader that was refused; every item that waited
//! was one of those, and engines with the right weights had room.

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

/// A process that has been granted rights and has ended.
const ENDED_PROCESS: Incarnation = Incarnation(4_711);

/// How long an item may take, as it was when the right was granted.
const ITEM_LIMIT_MS: u64 = 20_000;

/// How long suspected work may wait for a process that has ended. Steps are due in 7 s or so; a lost leader takes up to 2 s.
const PATIENCE: Duration = Duration::from_secs(4);

/// An engine has ended under `work`.
async fn suspect(deployment: &Deployment, work: WorkDigest) {
    let loss = EngineLoss { work, instance: InstanceId::named("an engine that has ended") };
    let evidence = WorkEvidence { losses: vec![loss], served: Vec::new() };
    deployment.node.commit_evidence(evidence).await.expect("it leads");
}

/// The right to run `work` is granted to a process that does nothing about it any more.
async fn grant_to_ended_process(deployment: &Deployment, work: WorkDigest, number: u64) {
    let id = TrialId { holder: ENDED_PROCESS, number };
    let request = TrialRequest { work, id, limit_ms: ITEM_LIMIT_MS };
    deployment.node.commit_gateway(GatewayCommand::BeginTrial(request)).await.expect("it leads");
}

#[test]
fn items_that_a_leader_was_running_when_it_ended_run_again_soon() {
    block_on(async {
        let deployment = Deployment::start("abandoned-items").await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        let engine = StandInEngine::start("engine").await;
        deployment.register(&engine, "llm").await;
        let submission = job("job", 0, 0, 4, 1);
        let work = |item: &JobItem| item.work_digest(None, HOST);
        for (number, item) in submission.items.iter().take(2).enumerate() {
            suspect(&deployment, work(item)).await;
            grant_to_ended_process(&deployment, work(item), number as u64).await;
        }
        let since = Instant::now();
        assert_eq!(deployment.submit(&submission).await, StatusCode::ACCEPTED);
        deployment.await_results("job", 4).await;
        assert!(since.elapsed() < PATIENCE, "the items waited {:?} at no engine", since.elapsed());
    });
}

#[test]
fn a_request_that_a_gateway_was_running_when_it_ended_is_served_soon() {
    block_on(async {
        let deployment = Deployment::start("abandoned-request").await;
        deployment.configure(&document(1, vec![route("/plans/", RouteKind::NonIdempotent, "web")])).await;
        let engine = StandInEngine::start("engine").await;
        deployment.register(&engine, "web").await;
        deployment.await_engines("web", 1).await;
        let work = WorkDigest::of_posted(None, HOST, "/plans/1", b"a plan");
        suspect(&deployment, work).await;
        grant_to_ended_process(&deployment, work, 1).await;
        let since = Instant::now();
        let mut tries = 0;
        eventually("the request is served", async || {
            tries += 1;
            let id = format!("try-{tries}");
            let headers = [("saddlerelay-request", id.as_str()), ("host", HOST)];
            call(deployment.front, Method::POST, "/plans/1", &headers, "a plan").await.status == StatusCode::OK
        })
        .await;
        assert!(since.elapsed() < PATIENCE, "the caller was refused for {:?}", since.elapsed());
    });
}
