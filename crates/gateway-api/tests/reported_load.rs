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

/// Starts a gateway with two engines that report little load; the first one answers sooner.
async fn with_engines(name: &str, admission: Activation, load: &'static str) -> (Deployment, [StandInEngine; 2]) {
    let config = GatewayConfig { admission, ..GatewayConfig::default() };
    let deployment = Deployment::start_with(name, config).await;
    deployment.configure(&document(1, vec![route("/plans/", RouteKind::Idempotent, "web")])).await;
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
