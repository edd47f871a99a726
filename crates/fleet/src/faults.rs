//! Injects faults into a running fleet.

use crate::launch::{Fleet, leader_index};
use anyhow::Result;
use hyper::Method;
use saddlerelay_checker::record::Record;
use saddlerelay_http::client::call;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_scenarios::trace::{Fault, FaultKind, Target};
use saddlerelay_standins::http::access::HttpAccess;
use saddlerelay_standins::http::engine::{FAULTS_PATH, FaultBody, LEAVE_PATH};
use saddlerelay_standins::operators::Operator;
use saddlerelay_standins::recorder::Recorder;
use saddlerelay_types::configuration::{ParameterName, ParameterValue};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a planned stop.
const PLANNED_STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// A fleet shared by the run and its fault tasks.
pub type SharedFleet = Rc<RefCell<Fleet>>;

/// Fleet, clock, recorder and operator that the fault tasks use.
#[derive(Clone)]
pub struct FaultContext {
    /// The fleet.
    pub fleet: SharedFleet,
    /// Runtime that provides the clock and timers.
    pub platform: CompioRuntime,
    /// Recorder for the injected faults.
    pub recorder: Recorder,
    /// The operator that changes staleness bounds.
    pub operator: Operator<CompioRuntime, HttpAccess>,
}

/// Whether the fleet can inject this fault; only the simulator supports network partitions and full disks.
pub fn is_supported(kind: &FaultKind) -> bool {
    !matches!(kind, FaultKind::CutZone { .. } | FaultKind::DeafenZone { .. } | FaultKind::FullDisk { .. })
}

/// Waits for the time of the fault, injects it, and returns when it is over.
pub async fn inject(context: FaultContext, fault: Fault) -> Result<()> {
    context.platform.sleep(Duration::from_millis(fault.at_ms)).await;
    let planned = matches!(fault.kind, FaultKind::PlannedStop { .. });
    let at = context.platform.unix_milliseconds();
    context.recorder.record(Record::Fault { at, what: format!("{:?}", fault.kind), planned });
    match fault.kind {
        FaultKind::Crash { target, restart_after_ms } => crash(&context, &target, restart_after_ms, false).await,
        FaultKind::LoseDisk { target, restart_after_ms } => crash(&context, &target, restart_after_ms, true).await,
        FaultKind::Freeze { target, for_ms } => freeze(&context, &target, for_ms).await,
        FaultKind::PlannedStop { target, restart_after_ms } => stop(&context, &target, restart_after_ms).await,
        FaultKind::EngineLeaves { place } => post_to_engine(&context, place, LEAVE_PATH, None).await,
        FaultKind::MachineLeaves { place } => machine_leaves(&context, place).await,
        FaultKind::FailSwap { place } => {
            inject_engine_fault(&context, place, FaultBody { fail_next_swap: true, ..FaultBody::default() }).await
        }
        FaultKind::BreakStream { place } => {
            inject_engine_fault(&context, place, FaultBody { break_next_stream: true, ..FaultBody::default() }).await
        }
        FaultKind::LoseChunk { place } => {
            inject_engine_fault(&context, place, FaultBody { lose_chunk: true, ..FaultBody::default() }).await
        }
        FaultKind::DuplicateChunks { place } => {
            inject_engine_fault(&context, place, FaultBody { duplicate_chunks: true, ..FaultBody::default() }).await
        }
        FaultKind::SlowEngine { place, factor } => {
            inject_engine_fault(&context, place, FaultBody { slowness: factor, ..FaultBody::default() }).await
        }
        FaultKind::SetStaleness { tenant, bound } => set_staleness(&context, tenant, bound).await,
        FaultKind::CutZone { .. } | FaultKind::DeafenZone { .. } | FaultKind::FullDisk { .. } => Ok(()),
    }
}

/// The name of the process that the fault targets.
async fn process_name(context: &FaultContext, target: &Target) -> Option<String> {
    match target {
        Target::Leader => {
            // Copied, so that no borrow is held across the await.
            let (http, peers) = {
                let fleet = context.fleet.borrow();
                (fleet.plan.control_http.clone(), fleet.plan.control_peers.clone())
            };
            let index = leader_index(&http, &peers).await?;
            Some(format!("control-{index}"))
        }
        Target::Control { place } => Some(format!("control-{place}")),
        Target::Relay { place } => Some(format!("relay-{place}")),
        Target::Engine { place } => {
            let fleet = context.fleet.borrow();
            fleet.plan.engines.get(*place as usize).map(|engine| engine.id.to_string())
        }
        Target::Trainer { place } => {
            let fleet = context.fleet.borrow();
            let mut trainers = fleet.plan.deployment.tenants.iter().filter(|tenant| tenant.trainer.is_some());
            trainers.nth(*place as usize).map(|tenant| format!("trainer-{}", tenant.id))
        }
        Target::Scorer => Some("scorer".to_string()),
    }
}

async fn crash(context: &FaultContext, target: &Target, restart_after_ms: u64, lose_disk: bool) -> Result<()> {
    let Some(name) = process_name(context, target).await else {
        return Ok(());
    };
    let child = context.fleet.borrow_mut().children.remove(&name);
    let Some(mut child) = child else {
        return Ok(());
    };
    child.kill();
    if lose_disk {
        let folder = context.fleet.borrow().plan.data_folder(&name);
        std::fs::remove_dir_all(folder)?;
    }
    context.platform.sleep(Duration::from_millis(restart_after_ms)).await;
    context.fleet.borrow_mut().start_child(&child.spec)
}

async fn freeze(context: &FaultContext, target: &Target, for_ms: u64) -> Result<()> {
    let Some(name) = process_name(context, target).await else {
        return Ok(());
    };
    let signal = |action: fn(&crate::process::RunningChild)| {
        if let Some(child) = context.fleet.borrow().children.get(&name) {
            action(child);
        }
    };
    signal(crate::process::RunningChild::freeze);
    context.platform.sleep(Duration::from_millis(for_ms)).await;
    signal(crate::process::RunningChild::thaw);
    Ok(())
}

async fn stop(context: &FaultContext, target: &Target, restart_after_ms: u64) -> Result<()> {
    let Some(name) = process_name(context, target).await else {
        return Ok(());
    };
    let child = context.fleet.borrow_mut().children.remove(&name);
    let Some(mut child) = child else {
        return Ok(());
    };
    child.request_stop().await;
    let exit = child.wait(PLANNED_STOP_TIMEOUT).await;
    anyhow::ensure!(
        exit == Some(true),
        "{name}: planned stop did not exit cleanly within {PLANNED_STOP_TIMEOUT:?}: {exit:?}"
    );
    context.platform.sleep(Duration::from_millis(restart_after_ms)).await;
    context.fleet.borrow_mut().start_child(&child.spec)
}

async fn post_to_engine(context: &FaultContext, engine_index: u32, path: &str, body: Option<FaultBody>) -> Result<()> {
    let address = context.fleet.borrow().plan.engines[engine_index as usize].address;
    let body = serde_json::to_vec(&body.unwrap_or_default())?;
    // The engine may be down because of another fault.
    let _ = call(address, Method::POST, path, &[], body).await;
    Ok(())
}

async fn inject_engine_fault(context: &FaultContext, engine_index: u32, body: FaultBody) -> Result<()> {
    post_to_engine(context, engine_index, FAULTS_PATH, Some(body)).await
}

async fn machine_leaves(context: &FaultContext, engine_index: u32) -> Result<()> {
    let (engine, machines, platform) = {
        let mut fleet = context.fleet.borrow_mut();
        fleet.machines[engine_index as usize].leaving = true;
        (fleet.plan.engines[engine_index as usize].id.clone(), fleet.machines.clone(), fleet.plan.platform)
    };
    call(platform, Method::PUT, "/machines", &[], serde_json::to_vec(&machines)?).await?;
    // The platform lists the change only after its lag.
    context.platform.sleep(crate::deploy::PLATFORM_LAG).await;
    context.recorder.record(Record::Leaving { at: context.platform.unix_milliseconds(), engine });
    Ok(())
}

async fn set_staleness(context: &FaultContext, tenant_index: u32, bound: u64) -> Result<()> {
    let tenant = context.fleet.borrow().plan.deployment.tenants[tenant_index as usize].clone();
    let mut values = tenant.values();
    values.insert(ParameterName::StalenessBound, ParameterValue::Integer(bound as i64));
    context.operator.put_tenant(&tenant.id, values, None).await;
    Ok(())
}
