//! Engines that restart under the same name, and reports of instances that must not be used.

mod common;

use common::crashing::{CRASH_MARKER, CrashingEngine, RequestLog};
use common::engine::StandInEngine;
use common::{Deployment, block_on, call, document, eventually, notes, report, rollouts, route};
use hyper::{Method, StatusCode};
use saddlerelay_gateway::GatewayConfig;
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use saddlerelay_types::routing::RouteKind;
use serde_json::{Value, json};
use std::time::Duration;

const REQUEST_ID: (&str, &str) = ("saddlerelay-request", "r-1");

/// Start time of the first instance, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_764_720_000_000;

/// Start time of the second instance, in Unix milliseconds.
const SECOND_START_MS: u64 = FIRST_START_MS + 4_000;

/// The JSON report of an engine with a start time.
fn report_with_start(engine: &StandInEngine, service: &str, started_at_ms: u64, sequence: u64) -> Value {
    let mut body =
        serde_json::to_value(report(engine.instance(), service, engine.address())).expect("failed to serialize JSON");
    body["started_at_ms"] = json!(started_at_ms);
    body["models"] = serde_json::to_value(engine.models()).expect("failed to serialize JSON");
    body["sequence"] = json!(sequence);
    body
}

async fn put_report(deployment: &Deployment, name: &str, body: &Value) -> StatusCode {
    let path = format!("/v1/instances/{name}");
    call(deployment.control, Method::PUT, &path, &[], body.to_string()).await.status
}

async fn deregister(deployment: &Deployment, name: &str) {
    let path = format!("/v1/instances/{name}");
    assert_eq!(call(deployment.control, Method::DELETE, &path, &[], "").await.status, StatusCode::OK);
}

async fn start_with_route(name: &str) -> Deployment {
    let deployment = Deployment::start(name).await;
    deployment.configure(&document(1, vec![route("/plans/", RouteKind::Idempotent, "web")])).await;
    deployment
}

/// Waits until requests reach `engine`.
async fn await_served_by(deployment: &Deployment, engine: &StandInEngine) {
    eventually("the engine serves", async || {
        let answer = deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await;
        answer.status == StatusCode::OK && !engine.received_requests().is_empty()
    })
    .await;
}

#[test]
fn a_restarted_engine_replaces_its_earlier_instance() {
    block_on(async {
        let deployment = start_with_route("restart").await;
        let (before, after) = (StandInEngine::start("engine").await, StandInEngine::start("engine").await);
        assert_eq!(
            put_report(&deployment, "engine", &report_with_start(&before, "web", FIRST_START_MS, 40)).await,
            StatusCode::OK
        );
        await_served_by(&deployment, &before).await;
        // The sequence number restarts.
        assert_eq!(
            put_report(&deployment, "engine", &report_with_start(&after, "web", SECOND_START_MS, 1)).await,
            StatusCode::OK
        );
        await_served_by(&deployment, &after).await;
        // A late report of the terminated instance.
        assert_eq!(
            put_report(&deployment, "engine", &report_with_start(&before, "web", FIRST_START_MS, 41)).await,
            StatusCode::OK
        );
        let received_before = before.received_requests().len();
        for _ in 0..4 {
            assert_eq!(deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await.status, StatusCode::OK);
        }
        assert_eq!(before.received_requests().len(), received_before, "a request was sent to the terminated instance");
    });
}

#[test]
fn after_a_deregistration_only_a_later_start_is_accepted() {
    block_on(async {
        let deployment = start_with_route("goodbye").await;
        let (before, after) = (StandInEngine::start("engine").await, StandInEngine::start("engine").await);
        put_report(&deployment, "engine", &report_with_start(&before, "web", FIRST_START_MS, 1)).await;
        await_served_by(&deployment, &before).await;
        deregister(&deployment, "engine").await;
        put_report(&deployment, "engine", &report_with_start(&before, "web", FIRST_START_MS, 2)).await;
        deployment.await_engines("web", 0).await;
        put_report(&deployment, "engine", &report_with_start(&after, "web", SECOND_START_MS, 1)).await;
        await_served_by(&deployment, &after).await;
    });
}

#[test]
fn a_report_of_an_unknown_service_does_not_replace_an_instance() {
    block_on(async {
        let deployment = start_with_route("unnamed").await;
        let engine = StandInEngine::start("engine").await;
        deployment.register(&engine, "web").await;
        await_served_by(&deployment, &engine).await;
        let mut other = report_with_start(&engine, "nowhere", SECOND_START_MS, 1);
        other["id"] = json!("stranger");
        put_report(&deployment, "stranger", &other).await;
        // Same name and address, higher sequence number, leaving: first with a later start time, then without one.
        let mut forged = report_with_start(&engine, "nowhere", SECOND_START_MS, 900);
        forged["leaving"] = json!(true);
        put_report(&deployment, "engine", &forged).await;
        forged.as_object_mut().expect("the report is not a JSON object").remove("started_at_ms");
        put_report(&deployment, "engine", &forged).await;
        let received_before = engine.received_requests().len();
        for _ in 0..4 {
            assert_eq!(deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await.status, StatusCode::OK);
        }
        assert_eq!(engine.received_requests().len(), received_before + 4);
        // The forged sequence number does not make the engine's own reports stale, and the other name is not stored.
        let own_report = report(engine.instance(), "web", engine.address());
        let own_report = InstanceReport { sequence: 2, models: vec![notes(5)], ..own_report };
        put_report(&deployment, "engine", &serde_json::to_value(&own_report).expect("failed to serialize JSON")).await;
        let models = |id| deployment.node.reported_models(&id).map(|(_, models)| models);
        eventually("the report is applied", async || models(engine.instance()) == Some(vec![notes(5)])).await;
        assert_eq!(models(InstanceId::without_start_time("stranger")), None);
    });
}

#[test]
fn an_engine_that_reports_before_its_service_is_configured_serves_later() {
    block_on(async {
        let deployment = Deployment::start("early").await;
        let engine = StandInEngine::start("engine").await;
        assert_eq!(
            put_report(&deployment, "engine", &report_with_start(&engine, "web", FIRST_START_MS, 1)).await,
            StatusCode::OK
        );
        deployment.configure(&document(1, vec![route("/plans/", RouteKind::Idempotent, "web")])).await;
        await_served_by(&deployment, &engine).await;
    });
}

async fn publish_version(deployment: &Deployment, version: u64) {
    let body = serde_json::to_vec(&notes(version)).expect("failed to serialize JSON");
    assert_eq!(call(deployment.control, Method::POST, "/v1/versions", &[], body).await.status, StatusCode::OK);
}

#[test]
fn order_counts_restart_with_the_engine() {
    block_on(async {
        let deployment = Deployment::start("orders").await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        let (before, after) = (StandInEngine::start("engine").await, StandInEngine::start("engine").await);
        before.set_started_at(FIRST_START_MS);
        deployment.register(&before, "llm").await;
        deployment.await_engines("llm", 1).await;
        for version in [2, 3] {
            publish_version(&deployment, version).await;
            eventually("the first instance has the version", async || before.models() == [notes(version)]).await;
        }
        // The restarted engine has loaded its weights again but lost its order count.
        after.set_started_at(SECOND_START_MS);
        after.set_version(3);
        deployment.register(&after, "llm").await;
        publish_version(&deployment, 4).await;
        eventually("the second instance has the version", async || after.models() == [notes(4)]).await;
        assert_eq!(after.orders().iter().map(|order| order.orders_taken).collect::<Vec<_>>(), [0]);
        assert_eq!(after.orders_rejected(), 0, "an order used the count of the earlier instance");
        assert_eq!(before.orders().len(), 2);
        assert!(after.orders()[0].fence > before.orders()[1].fence);
    });
}

#[test]
fn a_status_response_of_another_instance_is_ignored() {
    block_on(async {
        let deployment = Deployment::start("another-start").await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        let engine = StandInEngine::start("engine").await;
        engine.set_started_at(SECOND_START_MS);
        // The group only has the report of the earlier instance.
        assert_eq!(
            put_report(&deployment, "engine", &report_with_start(&engine, "llm", FIRST_START_MS, 1)).await,
            StatusCode::OK
        );
        deployment.await_engines("llm", 1).await;
        publish_version(&deployment, 2).await;
        eventually("the engine was polled", async || engine.polls_answered() >= 2).await;
        assert!(engine.orders().is_empty());
        deployment.register(&engine, "llm").await;
        eventually("the second instance has the version", async || engine.models() == [notes(2)]).await;
    });
}

#[test]
fn work_that_crashes_an_engine_at_each_restart_is_quarantined() {
    block_on(async {
        let config = GatewayConfig { last_trial_pause: Duration::ZERO, ..GatewayConfig::default() };
        let deployment = Deployment::start_with("crash-one-name", config).await;
        deployment.configure(&document(1, vec![route("/plans/", RouteKind::Idempotent, "web")])).await;
        let log = RequestLog::default();
        let engines = [CrashingEngine::start("engine", &log)];
        engines[0].keep_name();
        deployment.register_crashing(&engines[0], "web").await;
        for round in 0..6 {
            let engine = &engines[0];
            eventually("the gateway sends to the engine", async || {
                deployment.gateway.is_engine_ready(&engine.instance())
            })
            .await;
            let id = format!("try-{round}");
            let headers = [("saddlerelay-request", id.as_str())];
            deployment.request(Method::POST, "/plans/1", &headers, &format!("a plan that {CRASH_MARKER}")).await;
            deployment.restart(&engines, "web").await;
        }
        assert_eq!(log.borrow().iter().filter(|request| request.crashed).count(), 3);
    });
}

#[test]
fn an_invalid_report_is_rejected_and_changes_nothing() {
    block_on(async {
        let deployment = start_with_route("unreadable").await;
        let engine = StandInEngine::start("engine").await;
        put_report(&deployment, "engine", &report_with_start(&engine, "web", FIRST_START_MS, 1)).await;
        await_served_by(&deployment, &engine).await;
        for (field, value) in
            [("started_at_ms", json!(1.5)), ("started_at_ms", json!("7")), ("slots", json!(-1)), ("address", json!(7))]
        {
            let mut invalid = report_with_start(&engine, "web", SECOND_START_MS, 900);
            invalid["leaving"] = json!(true);
            invalid[field] = value;
            assert_eq!(put_report(&deployment, "engine", &invalid).await, StatusCode::BAD_REQUEST, "{field}");
        }
        let mut large = report_with_start(&engine, "web", SECOND_START_MS, 900);
        large["padding"] = json!("x".repeat(20_000));
        assert_eq!(put_report(&deployment, "engine", &large).await, StatusCode::PAYLOAD_TOO_LARGE);
        let received_before = engine.received_requests().len();
        assert_eq!(deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await.status, StatusCode::OK);
        assert_eq!(engine.received_requests().len(), received_before + 1);
    });
}
