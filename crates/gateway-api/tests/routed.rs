//! Requests routed through a gateway to faulty stand-in engines.

mod common;

use common::engine::{EngineBehavior, RawServer, StandInEngine};
use common::{Deployment, HOST, block_on, call, document, eventually, report, route};
use hyper::{Method, StatusCode};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::routing::{Route, RouteKind, WeightedTarget};
use std::time::{Duration, Instant};

const REQUEST_ID: (&str, &str) = ("saddlerelay-request", "r-1");

async fn with_engines(name: &str, kind: RouteKind, count: usize) -> (Deployment, Vec<StandInEngine>) {
    let deployment = Deployment::start(name).await;
    deployment.configure(&document(1, vec![route("/plans/", kind, "web")])).await;
    let mut engines = Vec::new();
    for index in 0..count {
        let engine = StandInEngine::start(&format!("engine-{index}")).await;
        deployment.register(&engine, "web").await;
        engines.push(engine);
    }
    deployment.await_engines("web", count).await;
    (deployment, engines)
}

/// Registers an instance with this name at `address`.
async fn register_as(deployment: &Deployment, name: &str, address: std::net::SocketAddr) {
    let report = report(InstanceId::without_start_time(name), "web", address);
    let body = serde_json::to_vec(&report).expect("failed to serialize JSON");
    call(deployment.control, Method::PUT, &format!("/v1/instances/{name}"), &[], body).await;
}

fn executed_requests(engines: &[StandInEngine]) -> usize {
    engines.iter().map(|engine| engine.received_requests().len()).sum()
}

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    block_on(async {
        let (deployment, engines) = with_engines("unchanged", RouteKind::Idempotent, 1).await;
        let headers = [
            REQUEST_ID,
            ("saddlerelay-deadline-ms", "900"),
            ("x-own", "kept"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
        ];
        let answer = deployment.request(Method::PUT, "/plans/7?week=2", &headers, "the body").await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body, "engine-0 answers /plans/7?week=2");
        assert_eq!(answer.headers["saddlerelay-stamp"], "engine-0");
        let seen = engines[0].received_requests().remove(0);
        assert_eq!(
            (seen.method.as_str(), seen.path.as_str(), &seen.body[..]),
            ("PUT", "/plans/7?week=2", &b"the body"[..])
        );
        assert_eq!(seen.header("x-own"), Some("kept"));
        assert_eq!(seen.header("host"), Some(HOST));
        assert_eq!(seen.header("saddlerelay-for-instance"), Some("engine-0"));
        assert_eq!(seen.header("x-hop"), None, "hop-by-hop headers are not forwarded");
        let left: u64 = seen
            .header("saddlerelay-deadline-ms")
            .and_then(|left| left.parse().ok())
            .expect("the request has no valid deadline");
        assert!((1..=900).contains(&left), "{left}");
    });
}

#[test]
fn requests_get_503_without_routes_and_404_on_unknown_paths() {
    block_on(async {
        let deployment = Deployment::start("unknown").await;
        let early = deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await;
        assert_eq!(early.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(early.headers.contains_key("retry-after"));
        deployment.configure(&document(1, vec![route("/plans/", RouteKind::Idempotent, "web")])).await;
        assert_eq!(
            deployment.request(Method::GET, "/elsewhere/1", &[REQUEST_ID], "").await.status,
            StatusCode::NOT_FOUND
        );
        let no_engine = deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await;
        assert_eq!(no_engine.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(no_engine.headers["saddlerelay-request"], "r-1");
    });
}

/// For each fault of the first engine the client must get the response of the second.
#[test]
fn a_faulty_response_is_replaced_by_another_engines() {
    for (name, behavior) in [
        ("another", EngineBehavior::WrongRequestId),
        ("unsigned", EngineBehavior::MissingStamp),
        ("broken", EngineBehavior::Truncate),
        ("failed", EngineBehavior::Fail),
        ("shed", EngineBehavior::Reject),
        ("hanging", EngineBehavior::Hang),
    ] {
        block_on(async {
            let (deployment, engines) = with_engines(name, RouteKind::Idempotent, 2).await;
            engines[0].set_behavior(behavior);
            for _ in 0..6 {
                let answer = deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await;
                assert_eq!(
                    (answer.status, &answer.body[..]),
                    (StatusCode::OK, &b"engine-1 answers /plans/1"[..]),
                    "{name}"
                );
            }
            assert!(!engines[0].received_requests().is_empty(), "{name}: the faulty engine received no request");
        });
    }
}

#[test]
fn a_non_idempotent_request_runs_once_and_fails() {
    for (name, behavior, status) in [
        ("once-broken", EngineBehavior::Truncate, StatusCode::BAD_GATEWAY),
        ("once-another", EngineBehavior::WrongRequestId, StatusCode::BAD_GATEWAY),
        ("once-failed", EngineBehavior::Fail, StatusCode::INTERNAL_SERVER_ERROR),
    ] {
        block_on(async {
            let (deployment, engines) = with_engines(name, RouteKind::NonIdempotent, 2).await;
            engines.iter().for_each(|engine| engine.set_behavior(behavior));
            let answer = deployment.request(Method::POST, "/plans/1", &[REQUEST_ID], "").await;
            assert_eq!(answer.status, status, "{name}");
            assert_eq!(executed_requests(&engines), 1, "{name}");
        });
    }
}

#[test]
fn a_stream_without_response_times_out_instead_of_being_reported_as_not_executed() {
    block_on(async {
        let (deployment, engines) = with_engines("stream-kept", RouteKind::Streaming, 1).await;
        let short = Route { timeout_ms: 300, ..route("/plans/", RouteKind::Streaming, "web") };
        deployment.configure(&document(2, vec![short])).await;
        engines[0].set_behavior(EngineBehavior::Hang);
        let answer = deployment.request(Method::POST, "/plans/7", &[REQUEST_ID, ("events", "3")], "").await;
        assert_eq!((answer.status, executed_requests(&engines)), (StatusCode::GATEWAY_TIMEOUT, 1));
    });
}

#[test]
fn a_503_of_an_engine_that_ran_the_request_is_not_forwarded() {
    for (name, kind) in [("quoted-once", RouteKind::NonIdempotent), ("quoted-stream", RouteKind::Streaming)] {
        block_on(async {
            let (deployment, engines) = with_engines(name, kind, 1).await;
            engines[0].set_behavior(EngineBehavior::FailUnavailable);
            let answer = deployment.request(Method::POST, "/plans/7", &[REQUEST_ID, ("events", "3")], "").await;
            assert_eq!((answer.status, executed_requests(&engines)), (StatusCode::BAD_GATEWAY, 1), "{name}");
        });
    }
}

#[test]
fn a_request_that_an_engine_did_not_execute_goes_to_the_next() {
    block_on(async {
        let (deployment, engines) = with_engines("not-run", RouteKind::NonIdempotent, 2).await;
        engines[0].set_behavior(EngineBehavior::Reject);
        for _ in 0..4 {
            assert_eq!(deployment.request(Method::POST, "/plans/1", &[REQUEST_ID], "").await.status, StatusCode::OK);
        }
        engines[1].set_behavior(EngineBehavior::Reject);
        let rejected = deployment.request(Method::POST, "/plans/1", &[REQUEST_ID], "").await;
        assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(rejected.headers.contains_key("retry-after"));
        assert!(!rejected.headers.contains_key("saddlerelay-stamp"), "the response is the gateway's own");
    });
}

#[test]
fn the_route_timeout_ends_a_request() {
    block_on(async {
        let deployment = Deployment::start("timeout").await;
        let mut slow = route("/plans/", RouteKind::NonIdempotent, "web");
        slow.timeout_ms = 300;
        deployment.configure(&document(1, vec![slow])).await;
        let engine = StandInEngine::start("engine").await;
        engine.set_behavior(EngineBehavior::Hang);
        deployment.register(&engine, "web").await;
        deployment.await_engines("web", 1).await;
        let started_at = Instant::now();
        let answer = deployment.request(Method::POST, "/plans/1", &[REQUEST_ID], "").await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert!(started_at.elapsed() >= Duration::from_millis(290));
        eventually("the engine's request is cancelled", async || engine.cancelled() == 1).await;
    });
}

#[test]
fn a_client_disconnect_cancels_the_engines_request() {
    block_on(async {
        let (deployment, engines) = with_engines("gone", RouteKind::NonIdempotent, 1).await;
        engines[0].set_behavior(EngineBehavior::Hang);
        {
            let mut connection = saddlerelay_http::client::Connection::open(deployment.client_address)
                .await
                .expect("failed to connect to the gateway");
            let headers = [REQUEST_ID, ("host", HOST)];
            let request = connection.send(Method::POST, "/plans/1", &headers, "");
            let _ = compio::time::timeout(Duration::from_millis(200), request).await;
        }
        eventually("the engine's request is cancelled", async || engines[0].cancelled() == 1).await;
    });
}

#[test]
fn a_leaving_or_deregistered_engine_gets_no_new_requests() {
    block_on(async {
        let (deployment, engines) = with_engines("leaving", RouteKind::Idempotent, 2).await;
        deployment.report(&engines[0], "web", true, 2).await;
        deployment.await_engines("web", 1).await;
        // A late report from before the engine started to leave.
        deployment.report(&engines[0], "web", false, 1).await;
        let before = engines[0].received_requests().len();
        for _ in 0..5 {
            assert_eq!(deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await.status, StatusCode::OK);
        }
        assert_eq!(engines[0].received_requests().len(), before);
        let path = format!("/v1/instances/{}", engines[1].instance().name);
        assert_eq!(call(deployment.control, Method::DELETE, &path, &[], "").await.status, StatusCode::OK);
        deployment.await_engines("web", 0).await;
    });
}

#[test]
fn a_reused_address_of_another_instance_is_not_used() {
    block_on(async {
        let (deployment, engines) = with_engines("reused", RouteKind::NonIdempotent, 1).await;
        // The control group has another instance at the engine's address.
        register_as(&deployment, "former", engines[0].address()).await;
        eventually("the gateway expects the other instance", async || {
            deployment.request(Method::POST, "/plans/1", &[REQUEST_ID], "").await.status
                == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        assert_eq!(executed_requests(&engines), 0);
    });
}

#[test]
fn targets_get_requests_in_proportion_to_their_weights() {
    block_on(async {
        let deployment = Deployment::start("weights").await;
        let mut split = route("/plans/", RouteKind::Idempotent, "web");
        split.targets = vec![
            WeightedTarget { service: "web".to_string(), weight: 3 },
            WeightedTarget { service: "other".to_string(), weight: 1 },
        ];
        deployment.configure(&document(1, vec![split])).await;
        let (web, other) = (StandInEngine::start("web-1").await, StandInEngine::start("other-1").await);
        deployment.register(&web, "web").await;
        deployment.register(&other, "other").await;
        deployment.await_engines("web", 1).await;
        deployment.await_engines("other", 1).await;
        for _ in 0..40 {
            assert_eq!(deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await.status, StatusCode::OK);
        }
        assert_eq!((web.received_requests().len(), other.received_requests().len()), (30, 10));
    });
}

#[test]
fn a_newer_document_replaces_the_routes() {
    block_on(async {
        let (deployment, _engines) = with_engines("newer", RouteKind::Idempotent, 1).await;
        deployment.configure(&document(7, vec![route("/new/", RouteKind::Idempotent, "web")])).await;
        eventually("the new route serves", async || {
            deployment.request(Method::GET, "/new/1", &[REQUEST_ID], "").await.status == StatusCode::OK
        })
        .await;
        assert_eq!(deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await.status, StatusCode::NOT_FOUND);
    });
}

#[test]
fn a_body_beyond_the_limit_is_rejected() {
    block_on(async {
        let (deployment, engines) = with_engines("large", RouteKind::Idempotent, 1).await;
        let answer = deployment.request(Method::POST, "/plans/1", &[REQUEST_ID], &"x".repeat(100_001)).await;
        assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(executed_requests(&engines), 0);
    });
}

async fn with_raw(name: &str, answer: &'static str, closes: bool) -> (Deployment, RawServer, StandInEngine) {
    let (deployment, engines) = with_engines(name, RouteKind::Idempotent, 1).await;
    // The load balancer tries the raw server, which has no latency samples, before the slow engine.
    engines[0].set_behavior(EngineBehavior::RespondAfter(Duration::from_millis(40)));
    for _ in 0..6 {
        deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await;
    }
    let raw = RawServer::start(answer, closes).await;
    register_as(&deployment, "raw", raw.address).await;
    deployment.await_engines("web", 2).await;
    (deployment, raw, engines.into_iter().next().expect("there is no engine"))
}

#[test]
fn bytes_after_a_complete_response_are_discarded() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nsaddlerelay-request: {id}\r\nsaddlerelay-stamp: raw\r\ncontent-length: 3\r\n\r\nrawHTTP/1.1 200 OK\r\nsaddlerelay-request: stale\r\nsaddlerelay-stamp: raw\r\ncontent-length: 5\r\n\r\nstale";
    block_on(async {
        let (deployment, raw, engine) = with_raw("surplus", ANSWER, false).await;
        for number in 0..30 {
            let id = format!("r-{number}");
            let answer = deployment.request(Method::GET, "/plans/1", &[("saddlerelay-request", &id)], "").await;
            assert_eq!(answer.headers["saddlerelay-request"], id.as_str());
            assert!(answer.body == "raw" || answer.body == "engine-0 answers /plans/1", "{:?}", answer.body);
        }
        assert!(raw.requests.get() > 0, "the raw server received no request");
        assert!(!engine.received_requests().is_empty() || raw.requests.get() >= 30);
    });
}

#[test]
fn an_invalid_or_truncated_response_is_replaced_by_another_engines() {
    const NONSENSE: &str = "this is no answer\r\n\r\n";
    const SHORT: &str =
        "HTTP/1.1 200 OK\r\nsaddlerelay-request: {id}\r\nsaddlerelay-stamp: raw\r\ncontent-length: 30\r\n\r\nshort";
    for (name, answer) in [("nonsense", NONSENSE), ("short", SHORT)] {
        block_on(async {
            let (deployment, raw, _engine) = with_raw(name, answer, true).await;
            for _ in 0..6 {
                let answer = deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await;
                assert_eq!(answer.body, "engine-0 answers /plans/1", "{name}");
            }
            assert!(raw.requests.get() > 0, "{name}: the raw server received no request");
        });
    }
}

#[test]
fn a_stream_resumes_at_another_engine_without_gap_or_duplicate() {
    block_on(async {
        let deployment = Deployment::start("stream").await;
        let mut streams = route("/plans/", RouteKind::Streaming, "web");
        streams.resumable = true;
        deployment.configure(&document(1, vec![streams])).await;
        let engines = [StandInEngine::start("a").await, StandInEngine::start("b").await];
        for engine in &engines {
            engine.set_behavior(EngineBehavior::TruncateAfter(3));
            deployment.register(engine, "web").await;
        }
        deployment.await_engines("web", 2).await;
        let answer = deployment.request(Method::GET, "/plans/1", &[REQUEST_ID, ("events", "6")], "").await;
        let text = String::from_utf8(answer.body.to_vec()).expect("the response is not UTF-8");
        let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(ids, ["1", "2", "3", "4", "5", "6"]);
        let resumed = engines
            .iter()
            .flat_map(StandInEngine::received_requests)
            .find(|seen| seen.header("last-event-id").is_some());
        assert_eq!(resumed.and_then(|seen| seen.header("last-event-id").map(str::to_string)), Some("3".to_string()));
    });
}
