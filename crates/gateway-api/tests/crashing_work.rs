//! Requests that crash their engines are quarantined, even if clients retry them with new identifiers at any gateway.

mod common;

use common::crashing::{CRASH_MARKER, CRASH_MID_STREAM_MARKER, CrashingEngine, RequestLog};
use common::engine::{EngineBehavior, StandInEngine};
use common::{Deployment, HOST, block_on, call, document, eventually, route};
use hyper::{Method, StatusCode};
use saddlerelay_control::state::ControlState;
use saddlerelay_gateway::{Gateway, GatewayConfig};
use saddlerelay_http::client::Connection;
use saddlerelay_types::routing::{Route, RouteKind};
use saddlerelay_types::suspicion::SuspicionList;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of engine crashes after which work is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Number of retries of the work.
const ROUNDS: usize = 8;

/// Two gateways and three engines.
struct Fixture {
    deployment: Deployment,
    south: (Gateway, SocketAddr),
    engines: Vec<CrashingEngine>,
    log: RequestLog,
}

impl Fixture {
    /// Starts with no pause before the last trial, the one whose crash would quarantine the work.
    async fn start(name: &str, route: Route) -> Self {
        Self::start_with_pause(name, route, Duration::ZERO).await
    }

    async fn start_with_pause(name: &str, route: Route, last_trial_pause: Duration) -> Self {
        let config = GatewayConfig { last_trial_pause, ..GatewayConfig::default() };
        let deployment = Deployment::start_with(name, config).await;
        deployment.configure(&document(1, vec![route])).await;
        let (_, gateway, client_address) = deployment.start_south_zone().await;
        let log = RequestLog::default();
        let engines = start_engines(&deployment, "web", &log).await;
        let fixture = Self { deployment, south: (gateway, client_address), engines, log };
        fixture.await_engines().await;
        fixture
    }

    /// Waits until the group has recorded all crashes. A gateway also waits for that before it responds, but only for a
    /// limited time, which may be too short on an overloaded machine.
    async fn await_evidence(&self) {
        let recorded_crashes = |state: &ControlState| {
            let list = state.suspicions.list();
            list.suspicions.iter().map(|suspicion| suspicion.engines.len()).max().unwrap_or_default()
        };
        eventually("the group has recorded the crashes", async || {
            self.deployment.node.read(recorded_crashes) >= Some(self.crashes().min(QUARANTINE_CRASHES))
        })
        .await;
    }

    /// Restarts the crashed engines, and waits until both gateways use them.
    async fn restart(&self) {
        self.deployment.restart(&self.engines, "web").await;
        self.await_engines().await;
    }

    async fn await_engines(&self) {
        let gateways = [&self.deployment.gateway, &self.south.0];
        eventually("the gateways use the running engines", async || {
            gateways.iter().all(|gateway| self.engines.iter().all(|engine| gateway.is_engine_ready(&engine.instance())))
        })
        .await;
    }

    fn client_addresses(&self) -> [SocketAddr; 2] {
        [self.deployment.client_address, self.south.1]
    }

    fn crashes(&self) -> usize {
        crashes(&self.log)
    }
}

/// Number of crashes caused by requests.
fn crashes(log: &RequestLog) -> usize {
    log.borrow().iter().filter(|started| started.crashed).count()
}

/// Starts three engines of a service.
async fn start_engines(deployment: &Deployment, service: &str, log: &RequestLog) -> Vec<CrashingEngine> {
    let engines: Vec<_> = (0..3).map(|index| CrashingEngine::start(&format!("engine-{index}"), log)).collect();
    for engine in &engines {
        deployment.register_crashing(engine, service).await;
    }
    engines
}

async fn post_plan(client_address: SocketAddr, id: &str, body: &str) -> StatusCode {
    let headers = [("saddlerelay-request", id), ("host", HOST), ("events", "1")];
    call(client_address, Method::POST, "/plans/7", &headers, body.to_string()).await.status
}

/// Sends work that crashes its engines until it has crashed `count` and the group has recorded it. The number of crashes
/// per attempt varies, because a gateway rejects the work if the group does not respond in time.
async fn crash_engines(fixture: &Fixture, body: &str, count: usize) {
    let mut attempts = 0;
    eventually("the work has crashed its engines", async || {
        post_plan(fixture.client_addresses()[attempts % 2], &format!("try-{attempts}"), body).await;
        attempts += 1;
        fixture.crashes() == count
    })
    .await;
    fixture.await_evidence().await;
}

/// Sends work until a gateway does not reject it. A gateway rejects suspected work if the group does not grant a trial in
/// time; it must not have run then.
async fn post_until_accepted(fixture: &Fixture, client_address: SocketAddr, id: &str, body: &str) -> StatusCode {
    let mut status = StatusCode::SERVICE_UNAVAILABLE;
    eventually("a gateway accepts the work", async || {
        let earlier_crashes = fixture.crashes();
        status = post_plan(client_address, id, body).await;
        let is_rejected = status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!is_rejected || fixture.crashes() == earlier_crashes, "rejected work has run: {id}");
        !is_rejected
    })
    .await;
    status
}

/// Sends the same work to alternating gateways, and restarts the engines after each round.
async fn send_in_rounds(fixture: &Fixture, body: &str) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for round in 0..ROUNDS {
        let client_address = fixture.client_addresses()[round % 2];
        statuses.push(post_until_accepted(fixture, client_address, &format!("try-{round}"), body).await);
        fixture.await_evidence().await;
        fixture.restart().await;
    }
    statuses
}

#[test]
fn work_is_quarantined_after_three_engine_crashes() {
    for (name, kind) in [
        ("crash-idempotent", RouteKind::Idempotent),
        ("crash-once", RouteKind::NonIdempotent),
        ("crash-stream", RouteKind::Streaming),
    ] {
        block_on(async {
            let fixture = Fixture::start(name, route("/plans/", kind, "web")).await;
            let statuses = send_in_rounds(&fixture, &format!("a plan that {CRASH_MARKER}")).await;
            assert_eq!(fixture.crashes(), QUARANTINE_CRASHES, "{name}: {statuses:?}");
            assert!(statuses.iter().all(|status| *status == StatusCode::BAD_GATEWAY), "{name}: {statuses:?}");
            for client_address in fixture.client_addresses() {
                assert_eq!(post_plan(client_address, "another", "a plan").await, StatusCode::OK, "{name}");
            }
        });
    }
}

/// Each resumption of the stream crashes another engine.
#[test]
fn a_stream_that_crashes_its_engines_midway_is_quarantined() {
    block_on(async {
        let route = Route { resumable: true, max_attempts: 3, ..route("/plans/", RouteKind::Streaming, "web") };
        let fixture = Fixture::start("crash-midway", route).await;
        let mut statuses = Vec::new();
        for round in 0..ROUNDS {
            let id = format!("try-{round}");
            let headers = [("saddlerelay-request", id.as_str()), ("host", HOST), ("events", "2")];
            let mut connection = Connection::open(fixture.client_addresses()[round % 2])
                .await
                .expect("failed to connect to the gateway");
            let answer = connection
                .send(Method::POST, "/plans/7", &headers, CRASH_MID_STREAM_MARKER)
                .await
                .expect("the server sent no response");
            statuses.push(answer.status());
            // The stream ends early.
            let _ = saddlerelay_http::body::read_body(answer.into_body()).await;
            fixture.await_evidence().await;
            fixture.restart().await;
        }
        assert_eq!(fixture.crashes(), QUARANTINE_CRASHES, "{statuses:?}");
        assert_eq!(statuses.last(), Some(&StatusCode::BAD_GATEWAY));
    });
}

/// After two crashes the third engine must stay available to other work until the two may have restarted.
#[test]
fn the_last_trial_waits_for_engine_restarts() {
    block_on(async {
        let pause = Duration::from_secs(600);
        let route = route("/plans/", RouteKind::Idempotent, "web");
        let fixture = Fixture::start_with_pause("crash-pause", route, pause).await;
        let body = format!("a plan that {CRASH_MARKER}");
        crash_engines(&fixture, &body, 2).await;
        for (index, client_address) in fixture.client_addresses().into_iter().enumerate() {
            let headers = [("saddlerelay-request", "again"), ("host", HOST)];
            let rejected = call(client_address, Method::POST, "/plans/7", &headers, body.clone()).await;
            assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE, "gateway {index}: not executed");
            let seconds = rejected.headers["retry-after"].to_str().ok().and_then(|value| value.parse::<f64>().ok());
            assert!(seconds.is_some_and(|seconds| seconds > 500.0 && seconds <= 600.0), "{seconds:?}");
            assert_eq!(post_plan(client_address, &format!("other-{index}"), "a plan").await, StatusCode::OK);
        }
        assert_eq!(fixture.crashes(), 2);
    });
}

#[test]
fn crashes_are_visible_to_other_gateways_before_the_client_gets_a_response() {
    block_on(async {
        let fixture = Fixture::start("crash-next", route("/plans/", RouteKind::Idempotent, "web")).await;
        let body = format!("a plan that {CRASH_MARKER}");
        let [north, south] = fixture.client_addresses();
        assert_eq!(post_plan(north, "try-0", &body).await, StatusCode::BAD_GATEWAY);
        assert_eq!(fixture.crashes(), 2, "two attempts");
        // The work is sent once to the third engine, by whichever gateway receives it.
        assert_eq!(post_plan(south, "try-1", &body).await, StatusCode::BAD_GATEWAY);
        assert_eq!(fixture.crashes(), 3);
        for engine in &fixture.engines {
            engine.restart();
        }
        for (index, client_address) in [north, south, north, south].into_iter().enumerate() {
            assert_eq!(post_plan(client_address, &format!("again-{index}"), &body).await, StatusCode::BAD_GATEWAY);
        }
        assert_eq!(fixture.crashes(), 3);
    });
}

#[test]
fn successful_work_is_not_quarantined_for_unrelated_crashes() {
    block_on(async {
        let fixture = Fixture::start("crash-chance", route("/plans/", RouteKind::Idempotent, "web")).await;
        for round in 0..6 {
            // Crashes the engine that runs the harmless request.
            let crash_runner = async {
                let started =
                    || fixture.log.borrow().iter().rfind(|started| started.request == format!("r-{round}")).cloned();
                eventually("the request has started", async || started().is_some()).await;
                let instance = started().expect("the request has not started").instance;
                let engine = fixture.engines.iter().find(|engine| engine.instance() == instance);
                engine.expect("the request ran on an unknown engine").crash();
            };
            let client_address = fixture.client_addresses()[round % 2];
            let id = format!("r-{round}");
            let (status, ()) = futures::join!(post_plan(client_address, &id, "an innocent plan"), crash_runner);
            assert_eq!(status, StatusCode::OK, "round {round}: another engine serves it");
            fixture.restart().await;
        }
    });
}

#[test]
fn a_lost_response_of_a_live_engine_is_not_evidence_of_a_crash() {
    block_on(async {
        let deployment = Deployment::start("crash-lost-answers").await;
        deployment.configure(&document(1, vec![route("/plans/", RouteKind::NonIdempotent, "web")])).await;
        let engines = [StandInEngine::start("engine-0").await, StandInEngine::start("engine-1").await];
        for engine in &engines {
            engine.set_behavior(EngineBehavior::Truncate);
            deployment.register(engine, "web").await;
        }
        deployment.await_engines("web", 2).await;
        for round in 0..12 {
            let _ = post_plan(deployment.client_address, &format!("r-{round}"), "a plan").await;
        }
        engines.iter().for_each(|engine| engine.set_behavior(EngineBehavior::Respond));
        assert_eq!(post_plan(deployment.client_address, "last", "a plan").await, StatusCode::OK);
        assert_eq!(deployment.node.read(|state| state.suspicions.is_empty()), Some(true));
    });
}

#[test]
fn a_new_gateway_does_not_send_quarantined_work() {
    block_on(async {
        let fixture = Fixture::start("crash-later", route("/plans/", RouteKind::Idempotent, "web")).await;
        let body = format!("a plan that {CRASH_MARKER}");
        crash_engines(&fixture, &body, QUARANTINE_CRASHES).await;
        assert_eq!(fixture.crashes(), QUARANTINE_CRASHES);
        fixture.restart().await;
        let later = fixture.deployment.start_north_gateway("later").await;
        assert_eq!(post_plan(later, "try-later", &body).await, StatusCode::BAD_GATEWAY);
        assert_eq!(post_plan(later, "another", "a plan").await, StatusCode::OK);
        assert_eq!(fixture.crashes(), QUARANTINE_CRASHES);
    });
}

#[test]
fn work_released_by_an_operator_is_sent_again() {
    block_on(async {
        let fixture = Fixture::start("crash-release", route("/plans/", RouteKind::Idempotent, "web")).await;
        let body = format!("a plan that {CRASH_MARKER}");
        crash_engines(&fixture, &body, QUARANTINE_CRASHES).await;
        fixture.restart().await;
        let control = fixture.deployment.control;
        let listed = call(control, Method::GET, "/admin/v1/suspicions", &[], "").await;
        let list: SuspicionList = serde_json::from_slice(&listed.body).expect("the response is not a suspicion list");
        assert!(list.suspicions[0].is_quarantined(), "{list:?}");
        let path = format!("/admin/v1/suspicions/{}", list.suspicions[0].work.to_hexadecimal());
        assert_eq!(call(control, Method::DELETE, &path, &[], "").await.status, StatusCode::OK);
        assert_eq!(call(control, Method::DELETE, &path, &[], "").await.status, StatusCode::NOT_FOUND);
        eventually("the gateway has the release", async || fixture.deployment.gateway.suspected_work_count() == 0)
            .await;
        crash_engines(&fixture, &body, 2 * QUARANTINE_CRASHES).await;
        fixture.restart().await;
        post_plan(fixture.deployment.client_address, "try-again", &body).await;
        assert_eq!(fixture.crashes(), 2 * QUARANTINE_CRASHES, "the work is quarantined again");
    });
}
