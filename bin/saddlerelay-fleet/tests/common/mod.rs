//! A small deployment of real processes, with helpers to call it.
#![allow(dead_code, reason = "each test program uses its own part of this module")]

use hyper::{Method, StatusCode};
use saddlerelay_fleet_runner::deploy::{OPERATOR_TOKEN, Plan};
use saddlerelay_fleet_runner::launch::{Fleet, wait_for};
use saddlerelay_fleet_runner::run::run_folder;
use saddlerelay_http::client::{BufferedResponse, call};
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
/// Authorization header of a caller.
pub const CALLER: &str = "Bearer prices:tellers:";

/// The fleet's executable.
pub fn executable() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_saddlerelay-fleet"))
}

/// Runs a future on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("failed to create a runtime").block_on(future)
}

/// A running deployment; its files are removed on drop.
pub struct Deployment {
    pub fleet: Fleet,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fleet.children.clear();
        // Leftovers are in the temporary folder only.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts one control replica, two relays and two engines, and configures one tenant.
    pub async fn start() -> Self {
        let folder = run_folder();
        let plan = Plan::new(smallest(), &executable(), &folder, "").expect("failed to create the deployment plan");
        let fleet = Fleet::start(plan).await.expect("failed to start the deployment");
        let deployment = Self { fleet, folder };
        let template = deployment.admin(Method::PUT, "templates/team", &[], json!({"parameters": {}})).await;
        assert_eq!(template.status, StatusCode::OK);
        deployment.put_tenant(json!({"model": MODEL})).await;
        for index in 0..2 {
            wait_for("the tenant on a relay", || async {
                let response = deployment.chat(index, "is it in force?", &[]).await;
                response.status == StatusCode::OK
            })
            .await
            .expect("the relay did not apply the tenant");
        }
        deployment
    }

    pub fn relay(&self, index: usize) -> SocketAddr {
        self.fleet.plan.relays[index]
    }

    pub fn control(&self) -> SocketAddr {
        self.fleet.plan.control_http[0]
    }

    pub async fn put_tenant(&self, values: Value) -> BufferedResponse {
        let body = json!({"template": "team", "values": values});
        self.admin(Method::PUT, &format!("tenants/{TENANT}"), &[], body).await
    }

    /// Sends a request to the administration API.
    pub async fn admin(&self, method: Method, path: &str, headers: &[(&str, &str)], body: Value) -> BufferedResponse {
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let mut all = vec![("authorization", authorization.as_str())];
        all.extend_from_slice(headers);
        let path = format!("/admin/v1/{path}");
        call(self.control(), method, &path, &all, body.to_string()).await.expect("the server sent no response")
    }

    /// Sends a chat request as a caller.
    pub async fn chat(&self, relay: usize, content: &str, headers: &[(&str, &str)]) -> BufferedResponse {
        let body = json!({"model": MODEL, "max_tokens": 8, "messages": [{"role": "user", "content": content}]});
        self.post(relay, "/v1/chat/completions", headers, body).await
    }

    /// Sends a request with any body as a caller.
    pub async fn post(&self, relay: usize, path: &str, headers: &[(&str, &str)], body: Value) -> BufferedResponse {
        let mut all = headers.to_vec();
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            all.push(("authorization", CALLER));
        }
        call(self.relay(relay), Method::POST, path, &all, body.to_string()).await.expect("the server sent no response")
    }

    /// Waits until the readiness of the process at `address` is `expected`.
    pub async fn wait_ready(&self, address: SocketAddr, expected: bool) {
        wait_for("the expected readiness", || async {
            let response = call(address, Method::GET, "/readyz", &[], Vec::new()).await;
            response.is_ok_and(|response| response.status.is_success() == expected)
        })
        .await
        .expect("the readiness did not change in time");
    }

    /// Number of executions of `content` in the engines' records.
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
pub fn json_of(response: &BufferedResponse) -> Value {
    serde_json::from_slice(&response.body).expect("the body is not JSON")
}

/// The expiry of an idempotency key, `ahead` from now, in Unix milliseconds.
pub fn expiry(ahead: Duration) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set before 1970");
    (now + ahead).as_millis().to_string()
}
