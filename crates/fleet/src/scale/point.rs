//! Measures one size of a scale run: real control replicas and relays together with hollow relays and engines.

use crate::deploy::{OPERATOR_TOKEN, Plan, SHARED_SECRET};
use crate::launch::{Fleet, leader_index, wait_for};
use crate::process::{ChildSpec, Program, RunningChild};
use crate::scale::hollow::{HollowPlan, Statistics};
use anyhow::{Context, Result, ensure};
use hyper::Method;
use saddlerelay_http::client::call;
use saddlerelay_scenarios::deployment::Deployment;
use saddlerelay_types::identity::Zone;
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Duration of the measurement of processor time and traffic.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Warm-up time before the measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Number of timed configuration changes.
const CHANGES: u64 = 5;
/// Polling interval while a change or a weight version is rolled out.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The tenant whose trainer publishes weights.
const TENANT: &str = "training";

/// The size of one measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Size {
    /// Number of hollow relays.
    pub relays: usize,
    /// Number of hollow engines.
    pub engines: usize,
    /// Claims per second.
    pub claims_per_second: u64,
    /// Tokens in the response stored with each claim.
    pub answer_tokens: u32,
    /// Whether a weight version is rolled out.
    pub weights: bool,
}

/// The measurements. Processor use is in percent of one core; traffic is that between the service's own processes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Processor use of the control leader.
    pub leader_core: f64,
    /// Mean processor use of a control follower.
    pub follower_core: f64,
    /// Mean processor use of a hollow relay.
    pub hollow_relay_core: f64,
    /// Processor use of a real idle relay.
    pub relay_core: f64,
    /// The control leader's resident memory in MB.
    pub leader_memory: f64,
    /// A real idle relay's resident memory in MB.
    pub relay_memory: f64,
    /// Traffic of the control leader, sent and received, in KB/s.
    pub leader_traffic: f64,
    /// Traffic of a real idle relay, sent and received, in KB/s.
    pub relay_traffic: f64,
    /// Frames per second that a real idle relay sends and receives.
    pub relay_frames: f64,
    /// Median milliseconds until every relay had applied a change.
    pub in_force_median: u64,
    /// Maximum milliseconds until every relay had applied a change.
    pub in_force_max: u64,
    /// Milliseconds from the publication of a weight version until every engine had confirmed it.
    pub weights_everywhere: Option<u64>,
    /// Claims finished per second.
    pub claims: f64,
    /// Claims that were rejected or timed out.
    pub claims_failed: u64,
    /// Median time of a grant, in microseconds.
    pub grant_p50: u64,
    /// 99th percentile of the time of a grant, in microseconds.
    pub grant_p99: u64,
}

/// Starts a deployment of the given size in `folder` and measures it.
pub async fn measure(deployment: Deployment, size: Size, executable: &Path, folder: &Path) -> Result<Measured> {
    let mut plan = Plan::new(deployment, executable, folder, "")?;
    plan.hollow_engines = true;
    let mut fleet = Fleet::start(plan).await?;
    let hollow = start_hollow_relays(&mut fleet, size)?;
    let run = PointRun { fleet, hollow, size };
    run.wait_until_ready().await?;
    run.measure().await
}

fn start_hollow_relays(fleet: &mut Fleet, size: Size) -> Result<HollowPlan> {
    let plan = &fleet.plan;
    let hollow = HollowPlan {
        relays: size.relays,
        zones: plan.deployment.zones.iter().map(Zone::new).collect(),
        control: plan.control_peers.clone(),
        secret: SHARED_SECRET.to_string(),
        claims_per_second: size.claims_per_second,
        answer_tokens: size.answer_tokens,
        data_folder: plan.data_folder("hollow-relays"),
        statistics: plan.folder.join("hollow-relays.statistics"),
        ..HollowPlan::default()
    };
    let spec = hollow_spec(plan, "hollow-relays", &hollow)?;
    fleet.start_child(&spec)?;
    Ok(hollow)
}

/// Writes a hollow process's plan file and returns its command line.
pub fn hollow_spec(plan: &Plan, name: &str, hollow: &HollowPlan) -> Result<ChildSpec> {
    let file = plan.folder.join(format!("{name}.json"));
    std::fs::write(&file, serde_json::to_vec(hollow)?)?;
    Ok(ChildSpec {
        name: name.to_string(),
        executable: plan.executable.clone(),
        program: Program::Hollow,
        arguments: vec![file.display().to_string()],
        output: plan.folder.join(format!("{name}.output")),
    })
}

struct PointRun {
    fleet: Fleet,
    hollow: HollowPlan,
    size: Size,
}

/// Cumulative counters of all processes at one time.
struct CounterSnapshot {
    at: Instant,
    processor: Vec<(String, u64)>,
    leader_bytes: u64,
    relay_bytes: u64,
    relay_frames: u64,
    statistics: Statistics,
}

impl PointRun {
    async fn admin(&self, method: Method, path: &str, body: Value) -> Result<Value> {
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", authorization.as_str())];
        let path = format!("/admin/v1/{path}");
        let response = call(self.fleet.plan.control_http[0], method, &path, &headers, body.to_string()).await?;
        Ok(serde_json::from_slice(&response.body)?)
    }

    async fn trainer(&self, path: &str, body: Value) -> Result<Value> {
        let authorization = format!("Bearer {TENANT}:trainer:");
        let headers = [("authorization", authorization.as_str())];
        let path = format!("/v1/trainers/{TENANT}/{path}");
        let response = call(self.fleet.plan.relays[0], Method::POST, &path, &headers, body.to_string()).await?;
        ensure!(response.status.is_success(), "{path}: {}", String::from_utf8_lossy(&response.body));
        Ok(serde_json::from_slice(&response.body)?)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let model = self.fleet.plan.deployment.engines[0].model.to_string();
        self.admin(Method::PUT, "templates/team", json!({"parameters": {}})).await?;
        let tenant = json!({"template": "team", "values": {"model": model}});
        self.admin(Method::PUT, &format!("tenants/{TENANT}"), tenant).await?;
        let relays = self.size.relays + self.fleet.plan.relays.len();
        wait_for("every hollow relay's lease", || async {
            let response = self.admin(Method::GET, "relays", Value::Null).await.unwrap_or_default();
            response["relays"].as_array().is_some_and(|listed| listed.len() >= relays)
        })
        .await?;
        wait_for("every hollow engine's report", || self.engines_confirm(0)).await?;
        Ok(())
    }

    /// Whether every engine has confirmed `version` and is available.
    async fn engines_confirm(&self, version: u64) -> bool {
        let response = self.admin(Method::GET, "engines", Value::Null).await.unwrap_or_default();
        let expected = json!({"state": "confirmed", "version": version});
        let is_confirmed = |engine: &&Value| engine["weights"] == expected && engine["availability"] == "available";
        response.as_array().is_some_and(|engines| engines.iter().filter(is_confirmed).count() == self.size.engines)
    }

    async fn leader_name(&self) -> Result<String> {
        let plan = &self.fleet.plan;
        let index =
            leader_index(&plan.control_http, &plan.control_peers).await.context("the control group has no leader")?;
        Ok(format!("control-{index}"))
    }

    async fn measure(&self) -> Result<Measured> {
        compio::time::sleep(WARM_UP_TIME).await;
        let leader = self.leader_name().await?;
        let before = self.snapshot(&leader).await?;
        compio::time::sleep(MEASURE_TIME).await;
        let after = self.snapshot(&leader).await?;
        ensure!(self.leader_name().await? == leader, "the control leader changed during the measurement");
        let mut measured = self.rates(&leader, &before, &after);
        measured.leader_memory = self.resident_megabytes(&leader);
        measured.relay_memory = self.resident_megabytes("relay-0");
        let mut times = Vec::new();
        for change in 0..CHANGES {
            times.push(self.time_change(change).await?);
        }
        times.sort_unstable();
        measured.in_force_median = times[times.len() / 2];
        measured.in_force_max = times[times.len() - 1];
        if self.size.weights {
            measured.weights_everywhere = Some(self.time_weight_rollout().await?);
        }
        Ok(measured)
    }

    fn resident_megabytes(&self, name: &str) -> f64 {
        let usage = self.fleet.children.get(name).and_then(RunningChild::usage);
        usage.map_or(0.0, |(bytes, _)| bytes as f64 / 1e6)
    }

    async fn snapshot(&self, leader: &str) -> Result<CounterSnapshot> {
        let plan = &self.fleet.plan;
        let index: usize = leader.trim_start_matches("control-").parse()?;
        let leader_traffic = traffic(plan.control_http[index]).await?;
        let relay_traffic = traffic(plan.relays[0]).await?;
        let children = self.fleet.children.iter();
        let processor = children.filter_map(|(name, child)| Some((name.clone(), child.usage()?.1))).collect();
        let statistics = std::fs::read(&self.hollow.statistics).unwrap_or_default();
        Ok(CounterSnapshot {
            at: Instant::now(),
            processor,
            leader_bytes: leader_traffic.0,
            relay_bytes: relay_traffic.0,
            relay_frames: relay_traffic.1,
            statistics: serde_json::from_slice(&statistics).unwrap_or_default(),
        })
    }

    fn rates(&self, leader: &str, before: &CounterSnapshot, after: &CounterSnapshot) -> Measured {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let core_percent = |name: &str| {
            let milliseconds_used = |snapshot: &CounterSnapshot| {
                let found = snapshot.processor.iter().find(|(child, _)| child == name);
                found.map_or(0, |(_, milliseconds)| *milliseconds)
            };
            milliseconds_used(after).saturating_sub(milliseconds_used(before)) as f64 / (seconds * 10.0)
        };
        let controls = (0..self.fleet.plan.control_peers.len()).map(|index| format!("control-{index}"));
        let followers: Vec<f64> = controls.filter(|name| name != leader).map(|name| core_percent(&name)).collect();
        let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        Measured {
            leader_core: core_percent(leader),
            follower_core: followers.iter().sum::<f64>() / followers.len().max(1) as f64,
            hollow_relay_core: core_percent("hollow-relays") / self.size.relays.max(1) as f64,
            relay_core: core_percent("relay-0"),
            leader_traffic: rate(before.leader_bytes, after.leader_bytes) / 1e3,
            relay_traffic: rate(before.relay_bytes, after.relay_bytes) / 1e3,
            relay_frames: rate(before.relay_frames, after.relay_frames),
            claims: rate(before.statistics.claims, after.statistics.claims),
            claims_failed: after.statistics.claims_failed,
            grant_p50: after.statistics.grant_p50,
            grant_p99: after.statistics.grant_p99,
            ..Measured::default()
        }
    }

    /// Milliseconds from the acceptance of a change until every relay has applied it.
    async fn time_change(&self, number: u64) -> Result<u64> {
        let model = self.fleet.plan.deployment.engines[0].model.to_string();
        let values = json!({"model": model, "max_queued": 100 + number});
        let change = json!({"template": "team", "values": values});
        let accepted = self.admin(Method::PUT, &format!("tenants/{TENANT}"), change).await?;
        let revision = accepted["revision"].as_u64().context("the change was not accepted")?;
        let started_at = Instant::now();
        loop {
            let response = self.admin(Method::GET, "relays", Value::Null).await?;
            if response["revision_in_force"].as_u64().is_some_and(|in_force| in_force >= revision) {
                return Ok(started_at.elapsed().as_millis() as u64);
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Milliseconds from the publication of a weight version until every engine has confirmed it.
    async fn time_weight_rollout(&self) -> Result<u64> {
        self.trainer("open", json!({"incarnation": 1})).await?;
        let started_at = Instant::now();
        self.trainer("versions", json!({"incarnation": 1, "version": 1, "cursor": 0})).await?;
        while !self.engines_confirm(1).await {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(started_at.elapsed().as_millis() as u64)
    }
}

/// Bytes and frames that a process has exchanged with the service's other processes.
async fn traffic(address: SocketAddr) -> Result<(u64, u64)> {
    let response = call(address, Method::GET, "/metrics", &[], Vec::new()).await?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let value = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("saddlerelay_{name}_total ")));
        line.and_then(|value| value.trim().parse::<u64>().ok()).unwrap_or(0)
    };
    let bytes = value("peer_sent_bytes") + value("peer_received_bytes");
    Ok((bytes, value("peer_sent_frames") + value("peer_received_frames")))
}
