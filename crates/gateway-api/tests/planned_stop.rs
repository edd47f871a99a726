//! A gateway that is stopped passes on only requests that can still be completed, and answers all others.

mod common;

use common::engine::{EngineBehavior, StandInEngine};
use common::{Deployment, HOST, block_on, eventually, job, rollouts, route};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use hyper::header::{CONNECTION, RETRY_AFTER};
use hyper::{Method, StatusCode};
use saddlerelay_http::client::{BufferedResponse, Connection};
use saddlerelay_types::routing::{Route, RouteKind};
use std::time::{Duration, Instant};

const REQUEST_ID: (&str, &str) = ("saddlerelay-request", "r-1");

/// Time for the response to a request that the stop ends.
const RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Longer than the time that any test leaves a gateway.
const ROUTE_TIMEOUT_MS: u64 = 8_000;

async fn start(name: &str, kind: RouteKind) -> (Deployment, StandInEngine) {
    let plans = Route { timeout_ms: ROUTE_TIMEOUT_MS, ..route("/plans/", kind, "web") };
    let (deployment, _) = Deployment::start_with_engines(name, plans, 0).await;
    let engine = StandInEngine::start("engine-0").await;
    deployment.register(&engine, "web").await;
    deployment.await_engines("web", 1).await;
    (deployment, engine)
}

async fn post(deployment: &Deployment, headers: &[(&str, &str)]) -> BufferedResponse {
    deployment.request(Method::POST, "/plans/1", &[&[REQUEST_ID], headers].concat(), "body").await
}

fn assert_not_executed(response: &BufferedResponse) {
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key(RETRY_AFTER), "{:?}", response.headers);
    assert_eq!(response.headers.get(CONNECTION).map(|value| value.as_bytes()), Some(&b"close"[..]));
}

/// Guards against requests that are read whole late in the grace period, passed on, and cut at its end.
#[test]
fn a_request_that_cannot_complete_before_the_stop_is_refused_as_not_executed() {
    block_on(async {
        let (deployment, engine) = start("stop-late", RouteKind::NonIdempotent).await;
        engine.set_behavior(EngineBehavior::RespondAfter(Duration::from_millis(600)));
        assert_eq!(post(&deployment, &[]).await.status, StatusCode::OK);
        deployment.gateway.drain(Duration::from_millis(1_000));
        assert_eq!(post(&deployment, &[]).await.status, StatusCode::OK, "the time left was enough");
        assert_not_executed(&post(&deployment, &[]).await);
        assert_eq!(engine.received_requests().len(), 2, "the refused request reached the engine");
    });
}

/// Guards against refusing requests whose own deadline ends them before the stop.
#[test]
fn a_request_with_a_deadline_before_the_stop_is_still_passed_on() {
    block_on(async {
        let (deployment, engine) = start("stop-deadline", RouteKind::NonIdempotent).await;
        engine.set_behavior(EngineBehavior::RespondAfter(Duration::from_millis(600)));
        assert_eq!(post(&deployment, &[]).await.status, StatusCode::OK);
        deployment.gateway.drain(Duration::from_millis(500));
        let response = post(&deployment, &[("saddlerelay-deadline-ms", "100")]).await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(engine.received_requests().len(), 2);
    });
}

/// Guards against requests that engines still run at the end of the grace period being cut without a response.
#[test]
fn a_request_at_an_engine_is_answered_as_possibly_executed_when_the_time_is_over() {
    for kind in [RouteKind::NonIdempotent, RouteKind::Idempotent, RouteKind::Streaming] {
        block_on(async {
            let (deployment, engine) = start(&format!("stop-hang-{kind:?}"), kind).await;
            engine.set_behavior(EngineBehavior::Hang);
            let stopped_at = Instant::now() + Duration::from_millis(400);
            deployment.gateway.drain(Duration::from_millis(400));
            let response = post(&deployment, &[]).await;
            assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT, "{kind:?}");
            assert!(!response.headers.contains_key(RETRY_AFTER), "{kind:?}: the request may have run");
            assert!(stopped_at.elapsed() < RESPONSE_TIME, "{kind:?}: {:?} late", stopped_at.elapsed());
            assert!(!engine.received_requests().is_empty(), "{kind:?}");
        });
    }
}

/// Guards against requests with an incomplete body being cut without a response at the end of the grace period.
#[test]
fn a_request_with_an_incomplete_body_is_refused_as_not_executed_when_the_time_is_over() {
    block_on(async {
        let (deployment, engine) = start("stop-body", RouteKind::NonIdempotent).await;
        let mut stream = TcpStream::connect(deployment.client_address).await.expect("failed to connect");
        let head = format!("POST /plans/1 HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 4\r\n\r\nbo");
        stream.write_all(head.into_bytes()).await.0.expect("failed to send");
        deployment.gateway.drain(Duration::from_millis(300));
        let reading = compio::time::timeout(Duration::from_secs(2), stream.read(Vec::with_capacity(4_096)));
        let BufResult(count, received) = reading.await.expect("no response");
        count.expect("the connection broke off");
        let received = String::from_utf8_lossy(&received).into_owned();
        assert!(received.starts_with("HTTP/1.1 503") && received.contains("retry-after: "), "{received}");
        assert!(engine.received_requests().is_empty());
    });
}

/// Guards against streams that end like complete ones, or not at all, when the time is over.
#[test]
fn a_stream_ends_incomplete_when_the_time_is_over() {
    block_on(async {
        let (deployment, engine) = start("stop-stream", RouteKind::Streaming).await;
        engine.set_event_interval(Duration::from_millis(20));
        let mut connection = Connection::open(deployment.client_address).await.expect("failed to connect");
        let headers = [REQUEST_ID, ("host", HOST), ("events", "1000")];
        let response = connection.send(Method::GET, "/plans/1", &headers, "").await.expect("no response");
        assert_eq!(response.status(), StatusCode::OK);
        let stopped_at = Instant::now() + Duration::from_millis(300);
        deployment.gateway.drain(Duration::from_millis(300));
        let (_, body) = response.into_parts();
        assert!(saddlerelay_http::body::read_body(body).await.is_err(), "the stream ended like a complete one");
        assert!(stopped_at.elapsed() < RESPONSE_TIME, "{:?} late", stopped_at.elapsed());
        eventually("the engine's stream is cancelled", async || engine.cancelled() == 1).await;
    });
}

/// Guards against streams that are begun although such streams last longer than the time left.
#[test]
fn a_stream_that_cannot_complete_before_the_stop_is_refused_as_not_executed() {
    block_on(async {
        let (deployment, engine) = start("stop-late-stream", RouteKind::Streaming).await;
        engine.set_event_interval(Duration::from_millis(20));
        let events = [("events", "30")];
        assert_eq!(post(&deployment, &events).await.status, StatusCode::OK);
        deployment.gateway.drain(Duration::from_millis(400));
        assert_not_executed(&post(&deployment, &events).await);
        assert_eq!(engine.received_requests().len(), 1, "the refused request reached the engine");
    });
}

/// Guards against calls about batch jobs that wait beyond the grace period being cut without a response.
#[test]
fn a_waiting_read_of_results_is_answered_when_the_time_is_over() {
    block_on(async {
        let (deployment, _engines) = Deployment::start_with_engines("stop-read", rollouts(), 0).await;
        assert_eq!(deployment.submit(&job("waiting", 0, 0, 1, 1)).await, StatusCode::ACCEPTED);
        let stopped_at = Instant::now() + Duration::from_millis(300);
        deployment.gateway.drain(Duration::from_millis(300));
        let path = "/v1/jobs/waiting/results?after=0&wait_ms=5000";
        let response = deployment.request(Method::GET, path, &[], "").await;
        assert_not_executed(&response);
        assert!(stopped_at.elapsed() < RESPONSE_TIME, "{:?} late", stopped_at.elapsed());
    });
}
