//! Choice of engines by the load that they report.

mod common;

use common::engine::{EngineBehavior, StandInEngine};
use common::{Deployment, block_on, document, route};
use hyper::{Method, StatusCode};
use saddlerelay_gateway::GatewayConfig;
use saddlerelay_scheduling::Activation;
use saddlerelay_types::routing::RouteKind;
use std::time::Duration;

const REQUEST_ID: (&str, &str) = ("saddlerelay-request", "r-1");

async fn with_engines(name: &str, admission: Activation, loads: [&'static str; 2]) -> (Deployment, [StandInEngine; 2]) {
    let config = GatewayConfig { admission, ..GatewayConfig::default() };
    let deployment = Deployment::start_with(name, config).await;
    deployment.configure(&document(1, vec![route("/plans/", RouteKind::Idempotent, "web")])).await;
    let engines = [StandInEngine::start("engine-0").await, StandInEngine::start("engine-1").await];
    for (engine, load) in engines.iter().zip(loads) {
        engine.set_load(load);
        deployment.register(engine, "web").await;
    }
    deployment.await_engines("web", 2).await;
    (deployment, engines)
}

/// Sends requests until both engines have reported once, then counts those of 20 that each engine receives.
async fn received(deployment: &Deployment, engines: &[StandInEngine; 2]) -> [usize; 2] {
    let counts = || [engines[0].received_requests().len(), engines[1].received_requests().len()];
    let request = async || deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await;
    // An engine that is slow once lets the other one be tried.
    for engine in engines {
        engine.set_behavior(EngineBehavior::RespondAfter(Duration::from_millis(30)));
    }
    for _ in 0..10 {
        assert_eq!(request().await.status, StatusCode::OK);
    }
    for engine in engines {
        engine.set_behavior(EngineBehavior::Respond);
    }
    let before = counts();
    assert!(before.iter().all(|count| *count > 0), "an engine received no request: {before:?}");
    for _ in 0..20 {
        assert_eq!(request().await.status, StatusCode::OK);
    }
    let after = counts();
    [after[0] - before[0], after[1] - before[1]]
}

/// Guards against reports that are received but not used: one engine answers as fast as the other, and reports a queue.
#[test]
fn engines_that_report_a_queue_get_fewer_requests() {
    block_on(async {
        let loads = ["6,18,6,100", "1,0,6,100"];
        let (deployment, engines) = with_engines("load-automatic", Activation::Automatic, loads).await;
        let counts = received(&deployment, &engines).await;
        assert!(counts[1] >= 15, "{counts:?}");
    });
}

/// Guards against the new choice where it is switched off, or where engines don't report their work time.
#[test]
fn reports_without_work_time_or_with_the_switch_off_are_not_used() {
    for (name, admission, loads) in [
        ("load-off", Activation::Off, ["6,18,6,100", "1,0,6,100"]),
        ("load-three", Activation::Automatic, ["6,18,6", "1,0,6"]),
    ] {
        block_on(async {
            let (deployment, engines) = with_engines(name, admission, loads).await;
            let counts = received(&deployment, &engines).await;
            assert!(counts.iter().all(|count| *count > 0), "{name}: {counts:?}");
        });
    }
}
