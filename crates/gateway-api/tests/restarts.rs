//! Engines that start again under the name that they had, and reports that name no engine to use.

mod common;

use common::engine::StandInEngine;
use common::{Deployment, block_on, call, document, eventually, report, route};
use hyper::{Method, StatusCode};
use saddlerelay_types::routing::RouteKind;
use serde_json::{Value, json};

const ID: (&str, &str) = ("saddlerelay-request", "r-1");

/// When the first of two starts was, in Unix milliseconds.
const FIRST: u64 = 1_764_720_000_000;

/// When the second was.
const SECOND: u64 = FIRST + 4_000;

/// An engine's report as it comes over the wire.
fn started(engine: &StandInEngine, service: &str, started_at_ms: u64, sequence: u64) -> Value {
    let mut body = serde_json::to_value(report(engine.instance(), service, engine.address())).expect("JSON");
    body["started_at_ms"] = json!(started_at_ms);
    body["sequence"] = json!(sequence);
    body
}

async fn put(deployment: &Deployment, name: &str, body: &Value) -> StatusCode {
    let path = format!("/v1/instances/{name}");
    call(deployment.control, Method::PUT, &path, &[], body.to_string()).await.status
}

async fn say_goodbye(deployment: &Deployment, name: &str) {
    let path = format!("/v1/instances/{name}");
    assert_eq!(call(deployment.control, Method::DELETE, &path, &[], "").await.status, StatusCode::OK);
}

async fn serve_pages(name: &str) -> Deployment {
    let deployment = Deployment::start(name).await;
    deployment.configure(&document(1, vec![route("/plans/", RouteKind::Idempotent, "web")])).await;
    deployment
}

/// Waits until requests reach `engine`.
async fn await_served_by(deployment: &Deployment, engine: &StandInEngine) {
    eventually("the engine serves", async || {
        let answer = deployment.request(Method::GET, "/plans/1", &[ID], "").await;
        answer.status == StatusCode::OK && !engine.seen().is_empty()
    })
    .await;
}

#[test]
fn an_engine_that_starts_again_under_its_name_replaces_its_earlier_start() {
    block_on(async {
        let deployment = serve_pages("restart").await;
        let (before, after) = (StandInEngine::start("engine").await, StandInEngine::start("engine").await);
        assert_eq!(put(&deployment, "engine", &started(&before, "web", FIRST, 40)).await, StatusCode::OK);
        await_served_by(&deployment, &before).await;
        // Its count of reports starts anew.
        assert_eq!(put(&deployment, "engine", &started(&after, "web", SECOND, 1)).await, StatusCode::OK);
        await_served_by(&deployment, &after).await;
        // A late report of the start that has ended.
        assert_eq!(put(&deployment, "engine", &started(&before, "web", FIRST, 41)).await, StatusCode::OK);
        let seen = before.seen().len();
        for _ in 0..4 {
            assert_eq!(deployment.request(Method::GET, "/plans/1", &[ID], "").await.status, StatusCode::OK);
        }
        assert_eq!(before.seen().len(), seen, "a request went to the start that has ended");
    });
}

#[test]
fn a_start_after_a_goodbye_is_taken_and_the_start_that_said_it_is_not() {
    block_on(async {
        let deployment = serve_pages("goodbye").await;
        let (before, after) = (StandInEngine::start("engine").await, StandInEngine::start("engine").await);
        put(&deployment, "engine", &started(&before, "web", FIRST, 1)).await;
        await_served_by(&deployment, &before).await;
        say_goodbye(&deployment, "engine").await;
        put(&deployment, "engine", &started(&before, "web", FIRST, 2)).await;
        deployment.await_engines("web", 0).await;
        put(&deployment, "engine", &started(&after, "web", SECOND, 1)).await;
        await_served_by(&deployment, &after).await;
    });
}

#[test]
fn a_report_of_a_service_that_no_document_names_takes_no_address() {
    block_on(async {
        let deployment = serve_pages("unnamed").await;
        let engine = StandInEngine::start("engine").await;
        deployment.register(&engine, "web").await;
        await_served_by(&deployment, &engine).await;
        let mut stranger = started(&engine, "nowhere", SECOND, 1);
        stranger["id"] = json!("stranger");
        put(&deployment, "stranger", &stranger).await;
        // The same name, address and a higher count, and it leaves.
        let mut imitation = started(&engine, "nowhere", SECOND, 900);
        imitation["leaving"] = json!(true);
        put(&deployment, "engine", &imitation).await;
        let seen = engine.seen().len();
        for _ in 0..4 {
            assert_eq!(deployment.request(Method::GET, "/plans/1", &[ID], "").await.status, StatusCode::OK);
        }
        assert_eq!(engine.seen().len(), seen + 4);
    });
}

#[test]
fn an_engine_that_reports_before_its_service_is_named_serves_once_it_is() {
    block_on(async {
        let deployment = Deployment::start("early").await;
        let engine = StandInEngine::start("engine").await;
        assert_eq!(put(&deployment, "engine", &started(&engine, "web", FIRST, 1)).await, StatusCode::OK);
        deployment.configure(&document(1, vec![route("/plans/", RouteKind::Idempotent, "web")])).await;
        await_served_by(&deployment, &engine).await;
    });
}
