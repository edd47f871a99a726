//! Choice of engines by the load that they report.

mod common;

use common::engine::{EngineBehavior, StandInEngine};
use common::{Deployment, block_on, document, route};
use hyper::{Method, StatusCode};
use saddlerelay_gateway::GatewayConfig;
use saddlerelay_http::client::BufferedResponse;
use saddlerelay_scheduling::Activation;
use saddlerelay_types::routing::{Route, RouteKind, RoutingDocument};
use std::time::Duration;

const REQUEST_ID: (&str, &str) = ("saddlerelay-request", "r-1");

/// Starts a gateway with two engines that report little load; the first one answers sooner.
async fn with_engines(name: &str, admission: Activation, load: &'static str) -> (Deployment, [StandInEngine; 2]) {
    let routes = document(1, vec![route("/plans/", RouteKind::Idempotent, "web")]);
    with_document(name, admission, load, &routes).await
}

async fn with_document(
    name: &str,
    admission: Activation,
    load: &'static str,
    routes: &RoutingDocument,
) -> (Deployment, [StandInEngine; 2]) {
    let config = GatewayConfig { admission, ..GatewayConfig::default() };
    let deployment = Deployment::start_with(name, config).await;
    deployment.configure(routes).await;
    let engines = [StandInEngine::start("engine-0").await, StandInEngine::start("engine-1").await];
    for (engine, delay_ms) in engines.iter().zip([5, 15]) {
        engine.set_behavior(EngineBehavior::RespondAfter(Duration::from_millis(delay_ms)));
        engine.set_load(load);
        deployment.register(engine, "web").await;
    }
    deployment.await_engines("web", 2).await;
    (deployment, engines)
}

/// Sends requests and returns how many each engine received.
async fn send(deployment: &Deployment, engines: &[StandInEngine; 2], requests: u32) -> [usize; 2] {
    let counts = || [0, 1].map(|index: usize| engines[index].received_requests().len());
    let before = counts();
    for _ in 0..requests {
        let answer = deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    let after = counts();
    [after[0] - before[0], after[1] - before[1]]
}

/// Guards against reports that are received but not used: the engine that usually answers sooner reports a queue.
#[test]
fn an_engine_that_reports_a_queue_gets_few_requests() {
    block_on(async {
        let (deployment, engines) = with_engines("load-automatic", Activation::Automatic, "1,0,6,100").await;
        let counts = send(&deployment, &engines, 40).await;
        assert!(counts[0] > counts[1] && counts[1] > 0, "{counts:?}");
        engines[0].set_load("6,60,6,100");
        let counts = send(&deployment, &engines, 8).await;
        assert!(counts[0] <= 3, "{counts:?}");
    });
}

/// Guards against reports without the work time that are not used where tenants compete.
#[test]
fn reports_without_work_time_are_used_where_tenants_are_listed() {
    block_on(async {
        let public = Route { public: true, ..route("/plans/", RouteKind::Idempotent, "web") };
        let tenants = RoutingDocument { tenants: Some(Vec::new()), ..document(1, vec![public]) };
        let (deployment, engines) = with_document("load-tenants", Activation::Automatic, "1,0,6", &tenants).await;
        send(&deployment, &engines, 40).await;
        engines[0].set_load("6,60,6");
        let counts = send(&deployment, &engines, 8).await;
        assert!(counts[0] <= 3, "{counts:?}");
    });
}

/// Guards against the new choice where it is switched off, or where engines don't report their work time: engines are
/// chosen by observed latency there.
#[test]
fn reports_without_work_time_or_with_the_switch_off_are_not_used() {
    for (name, admission, usual, queued) in [
        ("load-off", Activation::Off, "1,0,6,100", "6,60,6,100"),
        ("load-three", Activation::Automatic, "1,0,6", "6,60,6"),
    ] {
        block_on(async {
            let (deployment, engines) = with_engines(name, admission, usual).await;
            send(&deployment, &engines, 40).await;
            engines[0].set_load(queued);
            assert_eq!(send(&deployment, &engines, 8).await, [8, 0], "{name}");
        });
    }
}

/// Sends requests one after the other; returns the answers.
async fn answers(deployment: &Deployment, requests: usize) -> Vec<BufferedResponse> {
    let mut answers = Vec::new();
    for _ in 0..requests {
        answers.push(deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await);
    }
    answers
}

fn retry_after(answer: &BufferedResponse) -> f64 {
    let seconds = answer.headers["retry-after"].to_str().expect("the header is no text");
    seconds.parse().expect("the header is no number")
}

/// Guards against requests that try engines known to be full, and against callers that are all sent away for as long.
#[test]
fn requests_are_rejected_at_once_while_all_engines_are_full() {
    block_on(async {
        let (deployment, engines) = with_engines("load-full", Activation::Automatic, "6,24,6,100").await;
        engines.iter().for_each(|engine| engine.set_behavior(EngineBehavior::Reject));
        let received = || engines.iter().map(|engine| engine.received_requests().len()).sum::<usize>();
        answers(&deployment, 3).await;
        let before = received();
        let rejections = answers(&deployment, 20).await;
        assert!(rejections.iter().all(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE));
        assert!(received() - before <= 10, "{} requests were sent", received() - before);
        let times: Vec<f64> = rejections.iter().map(retry_after).collect();
        assert!(times.iter().all(|seconds| (0.001..0.667).contains(seconds)), "{times:?}");
        assert!(times.iter().any(|seconds| (seconds - times[0]).abs() > 0.000_5), "{times:?}");
        assert!(deployment.gateway.metrics().rejected_full.get() >= 20);
        // Free slots end the rejections as soon as an engine is asked again.
        for engine in &engines {
            engine.set_behavior(EngineBehavior::Respond);
            engine.set_load("1,0,6,100");
        }
        common::eventually("requests are admitted again", async || {
            answers(&deployment, 1).await[0].status == StatusCode::OK
        })
        .await;
        assert!(answers(&deployment, 20).await.iter().all(|answer| answer.status == StatusCode::OK));
    });
}

/// Guards against another `Retry-After` or fewer attempts where the decisions are switched off.
#[test]
fn with_the_switch_off_all_engines_are_tried_and_the_time_is_fixed() {
    block_on(async {
        let (deployment, engines) = with_engines("load-full-off", Activation::Off, "6,24,6,100").await;
        engines.iter().for_each(|engine| engine.set_behavior(EngineBehavior::Reject));
        for answer in answers(&deployment, 5).await {
            assert_eq!((answer.status, retry_after(&answer)), (StatusCode::SERVICE_UNAVAILABLE, 0.2));
        }
        assert_eq!(engines[0].received_requests().len() + engines[1].received_requests().len(), 10);
    });
}

/// Guards against 503 for a request that ran: its engine reports a full queue, and so does every other one.
#[test]
fn a_request_that_may_have_run_is_not_rejected() {
    block_on(async {
        let (deployment, engines) = with_engines("load-ran", Activation::Automatic, "6,24,6,100").await;
        send(&deployment, &engines, 5).await;
        engines[0].set_behavior(EngineBehavior::FailUnavailable);
        engines[1].set_behavior(EngineBehavior::FailUnavailable);
        let before = engines[0].received_requests().len() + engines[1].received_requests().len();
        let answer = answers(&deployment, 1).await.remove(0);
        let after = engines[0].received_requests().len() + engines[1].received_requests().len();
        assert!(after > before, "the request was not sent");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    });
}

/// Guards against hedges while engines report waiting requests, and against none where the decisions are switched off.
#[test]
fn hedges_are_withheld_while_requests_wait() {
    for (name, admission, hedged) in
        [("load-hedge", Activation::Automatic, false), ("load-hedge-off", Activation::Off, true)]
    {
        block_on(async {
            let (deployment, engines) = with_engines(name, admission, "6,1,6,100").await;
            send(&deployment, &engines, 2).await;
            for engine in &engines {
                engine.set_behavior(EngineBehavior::RespondAfter(Duration::from_millis(150)));
            }
            send(&deployment, &engines, 1).await;
            assert_eq!(deployment.gateway.metrics().hedges.get() > 0, hedged, "{name}");
        });
    }
}
