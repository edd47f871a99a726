//! Starts a deployment.

use crate::deploy::{OPERATOR_TOKEN, Plan};
use crate::process::{ChildSpec, RunningChild};
use crate::scale::hollow::HollowPlan;
use crate::scale::point::hollow_spec;
use anyhow::{Context, Result, bail};
use hyper::Method;
use saddlerelay_http::client::call;
use saddlerelay_standins::http::access::HttpAccess;
use saddlerelay_types::membership::PlatformMachine;
use saddlerelay_types::protocol::GroupView;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout of each condition that the start waits for.
const START_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout of one request for the state of the control group.
const GROUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Polling interval during the start.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running deployment. Its processes are killed when it is dropped.
pub struct Fleet {
    /// Addresses and files of the processes.
    pub plan: Plan,
    /// Running child processes, by name.
    pub children: BTreeMap<String, RunningChild>,
    /// The machine list last sent to the platform.
    pub machines: Vec<PlatformMachine>,
}

impl Fleet {
    /// Starts all processes but the load, and waits until every control replica is a voter and every relay is ready.
    pub async fn start(plan: Plan) -> Result<Self> {
        let machines = plan.engines.iter().map(|engine| PlatformMachine { engine: engine.clone(), leaving: false });
        let mut fleet = Self { machines: machines.collect(), children: BTreeMap::new(), plan };
        fleet.start_all(fleet.plan.services())?;
        fleet.start_all(fleet.engine_specs()?)?;
        fleet.start_all((0..fleet.plan.control_peers.len()).map(|index| fleet.plan.control(index)).collect())?;
        fleet.send_machine_list().await?;
        fleet.initialize().await?;
        fleet.start_all((0..fleet.plan.relays.len()).map(|index| fleet.plan.relay(index)).collect())?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn engine_specs(&self) -> Result<Vec<ChildSpec>> {
        let plan = &self.plan;
        if !plan.hollow_engines {
            return Ok((0..plan.engines.len()).map(|index| plan.engine(index)).collect());
        }
        let hollow =
            HollowPlan { engines: plan.engines.clone(), data_folder: plan.folder.clone(), ..HollowPlan::default() };
        Ok(vec![hollow_spec(plan, "hollow-engines", &hollow)?])
    }

    fn start_all(&mut self, specs: Vec<ChildSpec>) -> Result<()> {
        specs.iter().try_for_each(|spec| self.start_child(spec))
    }

    /// Starts or restarts a child process.
    pub fn start_child(&mut self, spec: &ChildSpec) -> Result<()> {
        let child = RunningChild::start(spec)?;
        self.children.insert(spec.name.clone(), child);
        Ok(())
    }

    /// Sends the machine list to the platform.
    pub async fn send_machine_list(&self) -> Result<()> {
        let body = serde_json::to_vec(&self.machines)?;
        let platform = self.plan.platform;
        wait_for("the platform", || async { call(platform, Method::PUT, "/machines", &[], body.clone()).await.is_ok() })
            .await
    }

    async fn initialize(&self) -> Result<()> {
        let first_replica = self.plan.control_http[0];
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        wait_for("the first control replica", || async {
            let headers = [("authorization", authorization.as_str())];
            let response = call(first_replica, Method::POST, "/admin/v1/initialize", &headers, Vec::new()).await;
            response.is_ok_and(|response| response.status.is_success())
        })
        .await
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let replicas = self.plan.control_peers.len();
        wait_for("every control replica's vote", || async {
            let group = control_group(&self.plan.control_http).await;
            group.is_some_and(|group| group.replicas.iter().filter(|replica| replica.voter).count() == replicas)
        })
        .await?;
        for relay in &self.plan.relays {
            wait_for("a relay", || is_ready(*relay)).await?;
        }
        Ok(())
    }

    /// A client for the deployment's HTTP interfaces.
    pub fn access(&self) -> HttpAccess {
        HttpAccess::new(self.plan.relays.clone(), self.plan.control_http.clone(), OPERATOR_TOKEN.to_string())
    }
}

/// The state of the control group; `None` if no replica returned it.
pub async fn control_group(control_http: &[SocketAddr]) -> Option<GroupView> {
    let authorization = format!("Bearer {OPERATOR_TOKEN}");
    for control in control_http {
        let headers = [("authorization", authorization.as_str())];
        let request = call(*control, Method::GET, "/admin/v1/group", &headers, Vec::new());
        let Ok(Ok(response)) = compio::time::timeout(GROUP_TIMEOUT, request).await else {
            continue;
        };
        if let Ok(view) = serde_json::from_slice(&response.body) {
            return Some(view);
        }
    }
    None
}

/// The leader's index in `control_peers`.
pub async fn leader_index(control_http: &[SocketAddr], control_peers: &[SocketAddr]) -> Option<usize> {
    let group = control_group(control_http).await?;
    let leader = group.replicas.iter().find(|replica| replica.id == group.leader)?;
    control_peers.iter().position(|address| *address == leader.address)
}

/// Whether the process at `address` is ready for new work.
pub async fn is_ready(address: SocketAddr) -> bool {
    let response = call(address, Method::GET, "/readyz", &[], Vec::new()).await;
    response.is_ok_and(|response| response.status.is_success())
}

/// Polls `condition` until it is true, for at most `START_TIMEOUT`. `what` names the condition in the error.
pub async fn wait_for<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) -> Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        if compio::time::timeout(START_TIMEOUT, condition()).await.context("timed out during a readiness check")? {
            return Ok(());
        }
        compio::time::sleep(START_POLL_INTERVAL).await;
    }
    bail!("{what} was not ready within {START_TIMEOUT:?}")
}
