//! Work that ends the engines which run it comes again and again, with a new identifier each time, at any gateway.

mod common;

use common::crashing::{BegunLog, CRASHES, CrashingEngine};
use common::{Deployment, HOST, block_on, call, document, eventually, route};
use hyper::{Method, StatusCode};
use saddlerelay_gateway::Gateway;
use saddlerelay_types::routing::{Route, RouteKind};
use std::net::SocketAddr;

/// Engines that may end under one kind of work before it is no longer sent on.
const MOST_ENDED: usize = 3;

/// Times that the work comes again.
const ROUNDS: usize = 8;

/// Two gateways before three engines.
struct Setting {
    deployment: Deployment,
    south: (Gateway, SocketAddr),
    engines: Vec<CrashingEngine>,
    log: BegunLog,
}

impl Setting {
    async fn start(name: &str, route: Route) -> Self {
        let deployment = Deployment::start(name).await;
        deployment.configure(&document(1, vec![route])).await;
        let (_, gateway, front) = deployment.start_in_the_south().await;
        let log = BegunLog::default();
        let engines: Vec<_> = (0..3).map(|index| CrashingEngine::start(&format!("engine-{index}"), &log)).collect();
        for engine in &engines {
            deployment.register_crashing(engine, "web").await;
        }
        let setting = Self { deployment, south: (gateway, front), engines, log };
        setting.await_engines().await;
        setting
    }

    /// Starts the engines that have ended, and waits until both gateways send to them.
    async fn revive(&self) {
        for engine in &self.engines {
            if engine.revive() {
                self.deployment.register_crashing(engine, "web").await;
            }
        }
        self.await_engines().await;
    }

    async fn await_engines(&self) {
        let gateways = [&self.deployment.gateway, &self.south.0];
        eventually("the gateways know the engines that are up", async || {
            gateways.iter().all(|gateway| self.engines.iter().all(|engine| gateway.sends_to(&engine.instance())))
        })
        .await;
    }

    fn fronts(&self) -> [SocketAddr; 2] {
        [self.deployment.front, self.south.1]
    }

    fn ended(&self) -> usize {
        self.log.borrow().iter().filter(|begun| begun.crashed).count()
    }
}

async fn ask(front: SocketAddr, id: &str, body: &str) -> StatusCode {
    let headers = [("saddlerelay-request", id), ("host", HOST), ("events", "1")];
    call(front, Method::POST, "/plans/7", &headers, body.to_string()).await.status
}

/// Sends the same work round after round, to one gateway after the other; engines come back between the rounds.
async fn send_again_and_again(setting: &Setting, body: &str) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for round in 0..ROUNDS {
        let front = setting.fronts()[round % 2];
        statuses.push(ask(front, &format!("try-{round}"), body).await);
        setting.revive().await;
    }
    statuses
}

#[test]
fn work_that_has_ended_three_engines_is_sent_to_no_more() {
    for (name, kind) in [
        ("crash-idempotent", RouteKind::Idempotent),
        ("crash-once", RouteKind::NonIdempotent),
        ("crash-stream", RouteKind::Streaming),
    ] {
        block_on(async {
            let setting = Setting::start(name, route("/plans/", kind, "web")).await;
            let statuses = send_again_and_again(&setting, &format!("a plan that {CRASHES}")).await;
            assert_eq!(setting.ended(), MOST_ENDED, "{name}: {statuses:?}");
            assert!(statuses.iter().all(|status| *status == StatusCode::BAD_GATEWAY), "{name}: {statuses:?}");
            for front in setting.fronts() {
                assert_eq!(ask(front, "another", "a plan").await, StatusCode::OK, "{name}");
            }
        });
    }
}
