//! Runs one scenario on a fleet: applies load and faults, drains, and checks the records.

use crate::deploy::Plan;
use crate::faults::{self, FaultContext, SharedFleet};
use crate::launch::{Fleet, wait_for};
use anyhow::{Context, Result};
use saddlerelay_checker::check::{Limits, check};
use saddlerelay_checker::record::Record;
use saddlerelay_checker::report::Report;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_scenarios::deployment::{self, Deployment};
use saddlerelay_scenarios::recording;
use saddlerelay_scenarios::trace::Scenario;
use saddlerelay_standins::access::Access;
use saddlerelay_standins::http::access::HttpAccess;
use saddlerelay_standins::http::records::read_records;
use saddlerelay_standins::operators::{Operator, probe_relays, race_changes};
use saddlerelay_standins::recorder::Recorder;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Mean time between pairs of concurrent configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Time between probes of each relay.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for trainers and callers to drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(90);
/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Options of a run.
pub struct RunOptions {
    /// The scenario.
    pub scenario: Scenario,
    /// The executable that the child processes run.
    pub executable: PathBuf,
    /// Limits for the checks.
    pub limits: Limits,
    /// Overrides the scenario's deployment.
    pub deployment: Option<Deployment>,
    /// Overrides the scenario's duration.
    pub duration: Option<Duration>,
    /// Additional lines for the `[relay]` section of the settings.
    pub relay_settings: String,
    /// Whether to print a progress line.
    pub progress: bool,
    /// Whether to keep the run's folder even without violations.
    pub keep: bool,
    /// File for a trace of the run's faults and arrivals.
    pub record: Option<PathBuf>,
}

/// Resource usage of one process.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Usage {
    /// Resident memory in bytes at the end of the load.
    pub resident_bytes: u64,
    /// Processor time during the load, in milliseconds.
    pub processor_milliseconds: u64,
}

/// The result of a run.
pub struct RunResult {
    /// Violations, counts and measures.
    pub report: Report,
    /// Resource usage by process name.
    pub usage: BTreeMap<String, Usage>,
    /// Duration of the load in seconds.
    pub seconds: f64,
}

/// A unique path for the folder of a run.
pub fn run_folder() -> PathBuf {
    let unique = fastrand::u64(..);
    std::env::temp_dir().join(format!("saddlerelay-fleet-{}-{unique:08x}", std::process::id()))
}

/// Runs a scenario. The folder is kept if there are violations or the run fails.
pub async fn run(options: RunOptions) -> Result<RunResult> {
    let folder = run_folder();
    let result = run_in_folder(&options, &folder).await;
    let has_no_violations = result.as_ref().is_ok_and(|result| result.report.violations.is_empty());
    if has_no_violations && !options.keep {
        std::fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("the run's files are in {}", folder.display());
    }
    result
}

async fn run_in_folder(options: &RunOptions, folder: &Path) -> Result<RunResult> {
    let scenario = &options.scenario;
    let scenario_deployment = deployment::by_name(&scenario.deployment);
    let deployment =
        options.deployment.clone().or(scenario_deployment).context("unknown deployment in the scenario")?;
    let duration = options.duration.unwrap_or(Duration::from_millis(scenario.duration_ms));
    let platform = CompioRuntime::new(folder.to_path_buf());
    let fleet = Fleet::start(Plan::new(deployment, &options.executable, folder, &options.relay_settings)?).await?;
    let own_records: Rc<RefCell<Vec<Record>>> = Rc::default();
    let sink = own_records.clone();
    let recorder = Recorder::new(move |record| sink.borrow_mut().push(record));
    let operator = |name| new_operator(&fleet, &platform, &recorder, name);
    let (first, second) = (operator("first"), operator("second"));
    configure(&fleet, &first).await?;
    let stop = Rc::new(Cell::new(false));
    let access = fleet.access();
    let probes = probe_relays(platform.clone(), access, recorder.clone(), PROBE_INTERVAL, stop.clone());
    platform.spawn(probes);
    let races = compio::runtime::spawn(race_changes(first.clone(), second, CHANGE_INTERVAL, stop.clone()));
    let fleet: SharedFleet = Rc::new(RefCell::new(fleet));
    let started_at = platform.unix_milliseconds();
    start_load(&fleet)?;
    let context = FaultContext { fleet: fleet.clone(), platform: platform.clone(), recorder, operator: first };
    let fault_tasks: Vec<_> = scenario
        .faults
        .iter()
        .filter(|fault| faults::is_supported(&fault.kind))
        .map(|fault| compio::runtime::spawn(faults::inject(context.clone(), fault.clone())))
        .collect();
    let usage_before = usage(&fleet);
    wait_with_progress(&platform, duration, options.progress, &scenario.name).await;
    for fault in fault_tasks {
        fault.await.map_err(|_| anyhow::anyhow!("a fault task panicked"))??;
    }
    let usage = usage_since(&usage(&fleet), &usage_before);
    stop_load(&fleet).await;
    stop.set(true);
    let _ = races.await;
    let mut records = own_records.borrow().clone();
    records.extend(collect_records(folder)?);
    if let Some(file) = &options.record {
        let faults = scenario.faults.iter().filter(|fault| faults::is_supported(&fault.kind)).cloned().collect();
        let recorded_scenario = Scenario { faults, duration_ms: duration.as_millis() as u64, ..scenario.clone() };
        let trace = recording::record_trace(&recorded_scenario, &fleet.borrow().plan.deployment, &records, started_at);
        std::fs::write(file, trace.write()?)?;
    }
    let mut report = check(&records, &options.limits);
    scenario.check_outcome(&mut report);
    Ok(RunResult { report, usage, seconds: duration.as_secs_f64() })
}

/// Creates an operator for the fleet.
pub fn new_operator(
    fleet: &Fleet,
    platform: &CompioRuntime,
    recorder: &Recorder,
    name: &str,
) -> Operator<CompioRuntime, HttpAccess> {
    let (platform, access, recorder) = (platform.clone(), fleet.access(), recorder.clone());
    Operator { platform, access, recorder, name: name.to_string() }
}

/// Writes the deployment's tenants, and waits until every relay applies them.
pub async fn configure(fleet: &Fleet, operator: &Operator<CompioRuntime, HttpAccess>) -> Result<()> {
    for tenant in &fleet.plan.deployment.tenants {
        operator.set_up(&tenant.id, tenant.values()).await;
    }
    wait_until_applied(fleet).await
}

/// Waits until every relay lists every tenant's model.
async fn wait_until_applied(fleet: &Fleet) -> Result<()> {
    let access = fleet.access();
    let expected: Vec<_> = fleet.plan.deployment.tenants.iter().map(|tenant| tenant.model.clone()).collect();
    for relay in 0..access.relays() {
        wait_for("the configuration of a relay", || async {
            let models = access.models(relay).await.unwrap_or_default();
            expected.iter().all(|model| models.contains(model))
        })
        .await?;
    }
    Ok(())
}

fn start_load(fleet: &SharedFleet) -> Result<()> {
    let mut fleet = fleet.borrow_mut();
    let mut specs = Vec::new();
    for tenant in &fleet.plan.deployment.tenants {
        if let Some(load) = &tenant.trainer {
            specs.push(fleet.plan.trainer(tenant, load)?);
        }
        specs.extend(tenant.callers.iter().map(|load| fleet.plan.callers(tenant, load)));
    }
    specs.iter().try_for_each(|spec| fleet.start_child(spec))
}

fn is_load_process(name: &str) -> bool {
    name.starts_with("trainer-") || name.starts_with("callers-")
}

async fn stop_load(fleet: &SharedFleet) {
    let mut load = Vec::new();
    {
        let mut fleet = fleet.borrow_mut();
        let names: Vec<String> = fleet.children.keys().filter(|name| is_load_process(name)).cloned().collect();
        for name in names {
            load.extend(fleet.children.remove(&name));
        }
    }
    for child in &mut load {
        child.request_stop().await;
    }
    for child in &mut load {
        if child.wait(DRAIN_TIMEOUT).await.is_none() {
            eprintln!("{} did not exit within the time limit", child.spec.name);
        }
    }
}

async fn wait_with_progress(platform: &CompioRuntime, duration: Duration, progress: bool, name: &str) {
    let started = platform.monotonic();
    loop {
        let elapsed = platform.monotonic().saturating_sub(started);
        if elapsed >= duration {
            break;
        }
        if progress {
            eprint!("\r{name}: {:>3} of {} s under load", elapsed.as_secs(), duration.as_secs());
        }
        platform.sleep(PROGRESS_INTERVAL.min(duration - elapsed)).await;
    }
    if progress {
        eprintln!("\r{name}: {} s under load done; waiting for requests in flight", duration.as_secs());
    }
}

fn usage(fleet: &SharedFleet) -> BTreeMap<String, Usage> {
    let fleet = fleet.borrow();
    let process_usage = |(name, child): (&String, &crate::process::RunningChild)| {
        let (resident_bytes, processor_milliseconds) = child.usage()?;
        Some((name.clone(), Usage { resident_bytes, processor_milliseconds }))
    };
    fleet.children.iter().filter_map(process_usage).collect()
}

fn usage_since(now: &BTreeMap<String, Usage>, before: &BTreeMap<String, Usage>) -> BTreeMap<String, Usage> {
    let difference = |(name, usage): (&String, &Usage)| {
        let earlier = before.get(name).map_or(0, |before| before.processor_milliseconds);
        let processor_milliseconds = usage.processor_milliseconds.saturating_sub(earlier);
        (name.clone(), Usage { processor_milliseconds, ..usage.clone() })
    };
    now.iter().map(difference).collect()
}

fn collect_records(folder: &Path) -> Result<Vec<Record>> {
    let mut records = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "records") {
            records.extend(read_records(&path)?);
        }
    }
    Ok(records)
}
