//! Engines that start again under the name that they had, and reports that name no engine to use.

mod common;

use common::crashing::{BegunLog, CRASHES, CrashingEngine};
use common::engine::StandInEngine;
use common::{Deployment, block_on, call, document, eventually, notes, report, rollouts, route};
use hyper::{Method, StatusCode};
use saddlerelay_gateway::GatewayConfig;
use saddlerelay_types::routing::RouteKind;
use serde_json::{Value, json};
use std::time::Duration;

const ID: (&str, &str) = ("saddlerelay-request", "r-1");

/// When the first of two starts was, in Unix milliseconds.
const FIRST: u64 = 1_764_720_000_000;

/// When the second was.
const SECOND: u64 = FIRST + 4_000;

/// An engine's report as it comes over the wire.
fn started(engine: &StandInEngine, service: &str, started_at_ms: u64, sequence: u64) -> Value {
    let mut body = serde_json::to_value(report(engine.instance(), service, engine.address())).expect("JSON");
    body["started_at_ms"] = json!(started_at_ms);
    body["models"] = serde_json::to_value(engine.models()).expect("JSON");
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

async fn name_version(deployment: &Deployment, version: u64) {
    let body = serde_json::to_vec(&notes(version)).expect("JSON");
    assert_eq!(call(deployment.control, Method::POST, "/v1/versions", &[], body).await.status, StatusCode::OK);
}

#[test]
fn orders_to_an_engine_that_has_started_again_count_from_its_start() {
    block_on(async {
        let deployment = Deployment::start("orders").await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        let (before, after) = (StandInEngine::start("engine").await, StandInEngine::start("engine").await);
        before.set_started_at(FIRST);
        deployment.register(&before, "llm").await;
        deployment.await_engines("llm", 1).await;
        for version in [2, 3] {
            name_version(&deployment, version).await;
            eventually("the first start has it", async || before.models() == [notes(version)]).await;
        }
        // It has its weights again, and forgets its orders.
        after.set_started_at(SECOND);
        after.set_version(3);
        deployment.register(&after, "llm").await;
        name_version(&deployment, 4).await;
        eventually("the second start has it", async || after.models() == [notes(4)]).await;
        assert_eq!(after.orders().iter().map(|order| order.orders_taken).collect::<Vec<_>>(), [0]);
        assert_eq!(after.orders_refused(), 0, "an order counted from the start before");
        assert_eq!(before.orders().len(), 2);
        assert!(after.orders()[0].fence > before.orders()[1].fence);
    });
}

#[test]
fn a_report_of_another_start_says_nothing_about_the_one_that_was_asked() {
    block_on(async {
        let deployment = Deployment::start("another-start").await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        let engine = StandInEngine::start("engine").await;
        engine.set_started_at(SECOND);
        // The start before is all that the group has heard of.
        assert_eq!(put(&deployment, "engine", &started(&engine, "llm", FIRST, 1)).await, StatusCode::OK);
        deployment.await_engines("llm", 1).await;
        name_version(&deployment, 2).await;
        eventually("it was asked", async || engine.reports_told() >= 2).await;
        assert!(engine.orders().is_empty());
        deployment.register(&engine, "llm").await;
        eventually("the second start has it", async || engine.models() == [notes(2)]).await;
    });
}

#[test]
fn work_that_ends_one_engine_start_after_start_is_sent_to_it_no_more() {
    block_on(async {
        let config = GatewayConfig { last_trial_pause: Duration::ZERO, ..GatewayConfig::default() };
        let deployment = Deployment::start_with("crash-one-name", config).await;
        deployment.configure(&document(1, vec![route("/plans/", RouteKind::Idempotent, "web")])).await;
        let log = BegunLog::default();
        let engines = [CrashingEngine::start("engine", &log)];
        engines[0].keep_name();
        deployment.register_crashing(&engines[0], "web").await;
        for round in 0..6 {
            let engine = &engines[0];
            eventually("the gateway sends to the engine", async || deployment.gateway.sends_to(&engine.instance()))
                .await;
            let id = format!("try-{round}");
            let headers = [("saddlerelay-request", id.as_str())];
            deployment.request(Method::POST, "/plans/1", &headers, &format!("a plan that {CRASHES}")).await;
            deployment.revive(&engines, "web").await;
        }
        assert_eq!(log.borrow().iter().filter(|begun| begun.crashed).count(), 3);
    });
}

#[test]
fn a_report_that_cannot_be_read_is_refused_and_changes_nothing() {
    block_on(async {
        let deployment = serve_pages("unreadable").await;
        let engine = StandInEngine::start("engine").await;
        put(&deployment, "engine", &started(&engine, "web", FIRST, 1)).await;
        await_served_by(&deployment, &engine).await;
        for (field, value) in
            [("started_at_ms", json!(1.5)), ("started_at_ms", json!("7")), ("slots", json!(-1)), ("address", json!(7))]
        {
            let mut strange = started(&engine, "web", SECOND, 900);
            strange["leaving"] = json!(true);
            strange[field] = value;
            assert_eq!(put(&deployment, "engine", &strange).await, StatusCode::BAD_REQUEST, "{field}");
        }
        let mut large = started(&engine, "web", SECOND, 900);
        large["padding"] = json!("x".repeat(20_000));
        assert_eq!(put(&deployment, "engine", &large).await, StatusCode::PAYLOAD_TOO_LARGE);
        let seen = engine.seen().len();
        assert_eq!(deployment.request(Method::GET, "/plans/1", &[ID], "").await.status, StatusCode::OK);
        assert_eq!(engine.seen().len(), seen + 1);
    });
}
