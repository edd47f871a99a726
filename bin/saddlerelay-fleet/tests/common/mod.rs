//! A small deployment of real processes, and plain calls to it.
#![allow(dead_code, reason = "each test program uses its own part of this module")]

use hyper::{Method, StatusCode};
use saddlerelay_fleet_runner::deploy::{OPERATOR_TOKEN, Plan};
use saddlerelay_fleet_runner::launch::{Fleet, wait_for};
use saddlerelay_fleet_runner::run::run_folder;
use saddlerelay_http::client::{WholeResponse, call};
use saddlerelay_scenarios::deployment::smallest;
use serde_json::{Value, json};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The tenant of the small deployment.
pub const TENANT: &str = "prices";
/// Its model.
pub const MODEL: &str = "guichet-prix";
/// A caller's credentials.
pub const CALLER: &str = "Bearer prices:tellers:";

/// The fleet's executable.
pub fn executable() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_saddlerelay-fleet"))
}

/// Runs a test's steps.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("a runtime").block_on(future)
}

/// A running deployment whose files are removed with it.
pub struct Deployment {
    pub fleet: Fleet,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fleet.children.clear();
        // What is left behind is only in the temporary folder.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// One control replica, two relays, two engines, and one tenant in force.
    pub async fn start() -> Self {
        let folder = run_folder();
        let plan = Plan::new(smallest(), &executable(), &folder, "").expect("a plan");
        let fleet = Fleet::start(plan).await.expect("the deployment came up");
        let deployment = Self { fleet, folder };
        let template = deployment.admin(Method::PUT, "templates/team", &[], json!({"parameters": {}})).await;
        assert_eq!(template.status, StatusCode::OK);
        deployment.put_tenant(json!({"model": MODEL})).await;
        for place in 0..2 {
            wait_for("the tenant on a relay", || async {
                let asked = deployment.chat(place, "is it in force?", &[]).await;
                asked.status == StatusCode::OK
            })
            .await
            .expect("the tenant came into force");
        }
        deployment
    }

    pub fn relay(&self, place: usize) -> SocketAddr {
        self.fleet.plan.relays[place]
    }

    pub fn control(&self) -> SocketAddr {
        self.fleet.plan.control_http[0]
    }

    pub async fn put_tenant(&self, values: Value) -> WholeResponse {
        let body = json!({"template": "team", "values": values});
        self.admin(Method::PUT, &format!("tenants/{TENANT}"), &[], body).await
    }

    /// An operator's call.
    pub async fn admin(&self, method: Method, path: &str, headers: &[(&str, &str)], body: Value) -> WholeResponse {
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let mut all = vec![("authorization", authorization.as_str())];
        all.extend_from_slice(headers);
        let path = format!("/admin/v1/{path}");
        call(self.control(), method, &path, &all, body.to_string()).await.expect("an answer")
    }

    /// A caller's chat request.
    pub async fn chat(&self, relay: usize, content: &str, headers: &[(&str, &str)]) -> WholeResponse {
        let body = json!({"model": MODEL, "max_tokens": 8, "messages": [{"role": "user", "content": content}]});
        self.post(relay, "/v1/chat/completions", headers, body).await
    }

    /// A caller's request with any body.
    pub async fn post(&self, relay: usize, path: &str, headers: &[(&str, &str)], body: Value) -> WholeResponse {
        let mut all = headers.to_vec();
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            all.push(("authorization", CALLER));
        }
        call(self.relay(relay), Method::POST, path, &all, body.to_string()).await.expect("an answer")
    }

    /// Waits until the process at `address` says whether it is ready.
    pub async fn wait_ready(&self, address: SocketAddr, wanted: bool) {
        wait_for("the wanted readiness", || async {
            let answer = call(address, Method::GET, "/readyz", &[], Vec::new()).await;
            answer.is_ok_and(|answer| answer.status.is_success() == wanted)
        })
        .await
        .expect("the wanted readiness");
    }

    /// How often the engines admitted `prompt`, by their own records.
    pub fn executions(&self, content: &str) -> usize {
        let engines = self.fleet.plan.engines.iter();
        let files = engines.map(|engine| self.fleet.plan.records_file(engine.id.as_str()));
        files.map(|file| occurrences(&file, content)).sum()
    }
}

fn occurrences(file: &Path, content: &str) -> usize {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    text.lines().filter(|line| line.contains("\"execution\"") && line.contains(content)).count()
}

/// A response's body as JSON.
pub fn json_of(response: &WholeResponse) -> Value {
    serde_json::from_slice(&response.body).expect("a JSON body")
}

/// A key's expiry this far ahead.
pub fn expiry(ahead: Duration) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
    (now + ahead).as_millis().to_string()
}
