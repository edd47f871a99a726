//! Injects faults into a simulated deployment and generates random faults.

use crate::cluster::{Cluster, Component, DeployedProcess};
use crate::platform::SimRuntime;
use fastrand::Rng;
use saddlerelay_checker::record::Record;
use saddlerelay_runtime::Runtime;
use saddlerelay_scenarios::trace::{Fault, FaultKind, Target};
use saddlerelay_standins::engine::EngineFaults;
use saddlerelay_types::configuration::{ParameterName, ParameterValue};
use std::rc::Rc;
use std::time::Duration;

/// Delay until the platform's machine list reports a machine as leaving.
const PLATFORM_LAG: Duration = Duration::from_millis(800);
/// Upper bound of a random fault's duration, in milliseconds.
const MAX_FAULT_MILLISECONDS: u64 = 6_000;

/// Injects one fault immediately and waits until it has ended.
pub async fn inject(cluster: Rc<Cluster>, kind: FaultKind) {
    let platform = cluster.client_platform();
    let planned = matches!(kind, FaultKind::PlannedStop { .. });
    let what = format!("{kind:?}");
    cluster.recorder().record(Record::Fault { at: platform.unix_milliseconds(), what, planned });
    let sleep = |milliseconds| platform.sleep(Duration::from_millis(milliseconds));
    match kind {
        FaultKind::Crash { target, restart_after_ms } => {
            if let Some(name) = kill(&cluster, &target) {
                sleep(restart_after_ms).await;
                restart(&cluster, &name);
            }
        }
        FaultKind::LoseDisk { target, restart_after_ms } => {
            if let Some(name) = kill(&cluster, &target) {
                cluster.world.disks.wipe(&name);
                sleep(restart_after_ms).await;
                restart(&cluster, &name);
            }
        }
        FaultKind::Freeze { target, for_ms } => {
            if let Some((_, deployed)) = find_process(&cluster, &target) {
                deployed.process.freeze();
                sleep(for_ms).await;
                deployed.process.thaw();
                // Must run before any task of the process resumes.
                cluster.record_concurrent_leaders();
            }
        }
        FaultKind::CutZone { zone, for_ms, one_way } => {
            cluster.world.network.partition(zone as usize, one_way);
            sleep(for_ms).await;
            cluster.world.network.heal(zone as usize);
        }
        FaultKind::DeafenZone { zone, for_ms } => {
            cluster.world.network.block_inbound(zone as usize);
            sleep(for_ms).await;
            cluster.world.network.heal(zone as usize);
        }
        FaultKind::FullDisk { target, for_ms } => {
            if let Some((name, _)) = find_process(&cluster, &target) {
                cluster.world.disks.set_full(&name, true);
                sleep(for_ms).await;
                cluster.world.disks.set_full(&name, false);
            }
        }
        FaultKind::PlannedStop { target, restart_after_ms } => {
            if let Some(name) = stop_gracefully(&cluster, &target).await {
                sleep(restart_after_ms).await;
                restart(&cluster, &name);
            }
        }
        FaultKind::EngineLeaves { place } => {
            if let Some(Component::Engine(engine)) = engine(&cluster, place) {
                engine.leave();
            }
        }
        FaultKind::MachineLeaves { place } => {
            sleep(PLATFORM_LAG.as_millis() as u64).await;
            cluster.services.machines.borrow_mut()[place as usize].leaving = true;
            let engine = cluster.engines[place as usize].id.clone();
            cluster.recorder().record(Record::Leaving { at: platform.unix_milliseconds(), engine });
        }
        FaultKind::FailSwap { place } => {
            set_engine_faults(&cluster, place, EngineFaults { fail_next_swap: true, ..EngineFaults::default() });
        }
        FaultKind::BreakStream { place } => {
            set_engine_faults(&cluster, place, EngineFaults { break_next_stream: true, ..EngineFaults::default() });
        }
        FaultKind::LoseChunk { place } => {
            set_engine_faults(&cluster, place, EngineFaults { lose_chunk: true, ..EngineFaults::default() });
        }
        FaultKind::DuplicateChunks { place } => {
            set_engine_faults(&cluster, place, EngineFaults { duplicate_chunks: true, ..EngineFaults::default() });
        }
        FaultKind::SlowEngine { place, factor } => {
            set_engine_faults(&cluster, place, EngineFaults { slowness: factor, ..EngineFaults::default() });
        }
        FaultKind::SetStaleness { tenant, bound } => {
            let tenant = cluster.deployment.tenants[tenant as usize].clone();
            let mut values = tenant.values();
            values.insert(ParameterName::StalenessBound, ParameterValue::Integer(bound as i64));
            cluster.operator("staleness").put_tenant(&tenant.id, values, None).await;
        }
    }
}

fn name_of(cluster: &Cluster, target: &Target) -> Option<String> {
    match target {
        Target::Leader => cluster.leader_index().map(|index| format!("control-{index}")),
        Target::Control { place } => Some(format!("control-{place}")),
        Target::Relay { place } => Some(format!("relay-{place}")),
        Target::Engine { place } => Some(format!("engine-{place}")),
        Target::Trainer { place } => Some(format!("trainer-{place}")),
        Target::Scorer => Some("scorer".to_string()),
    }
}

fn find_process(cluster: &Cluster, target: &Target) -> Option<(String, DeployedProcess)> {
    let name = name_of(cluster, target)?;
    let deployed = cluster.deployed_process(&name)?;
    Some((name, deployed))
}

fn engine(cluster: &Cluster, index: u32) -> Option<Component> {
    cluster.deployed_process(&format!("engine-{index}")).map(|deployed| deployed.component)
}

fn set_engine_faults(cluster: &Cluster, index: u32, faults: EngineFaults) {
    if let Some(Component::Engine(engine)) = engine(cluster, index) {
        engine.set_faults(faults);
    }
}

/// Kills a process together with a power loss of its disk. Returns its name, or `None` if it was not running.
fn kill(cluster: &Cluster, target: &Target) -> Option<String> {
    let (name, deployed) = find_process(cluster, target)?;
    if !deployed.process.is_alive() {
        return None;
    }
    deployed.process.kill();
    cluster.world.disks.crash(&name, || cluster.world.random());
    Some(name)
}

fn restart(cluster: &Cluster, name: &str) {
    if cluster.deployed_process(name).is_some_and(|deployed| deployed.process.is_alive()) {
        return;
    }
    let (role, index) = name.rsplit_once('-').unwrap_or((name, "0"));
    let index: usize = index.parse().unwrap_or(0);
    match role {
        "control" => cluster.start_control(index),
        "relay" => cluster.start_relay(index),
        "engine" => cluster.start_engine(index),
        "trainer" => cluster.start_trainer(index),
        "scorer" => cluster.start_scorer(),
        _ => {}
    }
}

/// Stops a process gracefully. Returns its name, because `Target::Leader` resolves to another process afterwards.
async fn stop_gracefully(cluster: &Rc<Cluster>, target: &Target) -> Option<String> {
    let (name, deployed) = find_process(cluster, target)?;
    let (done, ended) = futures::channel::oneshot::channel();
    let component = deployed.component.clone();
    let platform = SimRuntime { world: cluster.world.clone(), process: deployed.process.clone() };
    // Runs in the process itself, so that freezing the process also freezes the shutdown.
    cluster.world.spawn(&deployed.process, async move {
        match component {
            Component::Control(node) => {
                let node = node.borrow().clone();
                if let Some(node) = node {
                    node.transfer_leadership().await;
                }
            }
            Component::Relay(relay, shutdown) => {
                let relay = relay.borrow().clone();
                if let Some(relay) = relay {
                    relay.drain().await;
                    shutdown.close(&platform).await;
                }
            }
            Component::Engine(_) | Component::Other => {}
        }
        let _ = done.send(());
    });
    let _ = ended.await;
    // Leaves time to deliver responses that were already sent.
    cluster.client_platform().sleep(Duration::from_millis(200)).await;
    deployed.process.kill();
    cluster.world.disks.crash(&name, || cluster.world.random());
    Some(name)
}

/// Generates random faults: isolated, concurrent, and immediately after the previous fault has ended. At most one
/// control replica loses its disk.
pub fn random_faults(random: &mut Rng, cluster: &Cluster, count: u32, duration_ms: u64) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut disks_lost = 0;
    let mut at_ms = 1_000;
    for _ in 0..count {
        let longest = MAX_FAULT_MILLISECONDS.min(duration_ms / 3);
        let fault_duration = 200 + random.u64(..longest);
        let kind = random_kind(random, cluster, fault_duration, &mut disks_lost);
        faults.push(Fault { at_ms, kind });
        at_ms += match random.u32(..3) {
            0 => 0,
            1 => fault_duration + 50,
            _ => random.u64(..duration_ms / u64::from(count.max(1))),
        };
        at_ms = at_ms.min(duration_ms);
    }
    faults
}

fn random_kind(random: &mut Rng, cluster: &Cluster, fault_duration: u64, disks_lost: &mut u32) -> FaultKind {
    let deployment = &cluster.deployment;
    let control = Target::Control { place: random.u32(..deployment.control) };
    let relay = Target::Relay { place: random.u32(..deployment.relays) };
    let engine_index = random.u32(..cluster.engines.len() as u32);
    let engine = Target::Engine { place: engine_index };
    match random.u32(..19) {
        0 => FaultKind::Crash { target: Target::Leader, restart_after_ms: fault_duration },
        1 => FaultKind::Crash { target: control, restart_after_ms: fault_duration },
        2 => FaultKind::Crash { target: relay, restart_after_ms: fault_duration },
        3 => FaultKind::Crash { target: engine, restart_after_ms: fault_duration },
        4 => FaultKind::Crash { target: Target::Trainer { place: 0 }, restart_after_ms: fault_duration },
        5 => FaultKind::Crash { target: Target::Scorer, restart_after_ms: fault_duration },
        6 => FaultKind::Freeze { target: Target::Leader, for_ms: fault_duration },
        7 => FaultKind::Freeze { target: relay, for_ms: fault_duration },
        8 => FaultKind::Freeze { target: engine, for_ms: fault_duration },
        9 => FaultKind::CutZone {
            zone: random.u32(..deployment.zones.len() as u32),
            for_ms: fault_duration,
            one_way: false,
        },
        10 => FaultKind::CutZone {
            zone: random.u32(..deployment.zones.len() as u32),
            for_ms: fault_duration,
            one_way: true,
        },
        11 if *disks_lost == 0 => {
            *disks_lost += 1;
            FaultKind::LoseDisk { target: control, restart_after_ms: fault_duration }
        }
        12 => FaultKind::FailSwap { place: engine_index },
        13 => FaultKind::BreakStream { place: engine_index },
        14 => FaultKind::DuplicateChunks { place: engine_index },
        15 => FaultKind::SlowEngine { place: engine_index, factor: 4 },
        17 => FaultKind::DeafenZone { zone: random.u32(..deployment.zones.len() as u32), for_ms: fault_duration },
        16 => FaultKind::FullDisk { target: control, for_ms: fault_duration },
        _ => FaultKind::PlannedStop { target: relay, restart_after_ms: fault_duration },
    }
}
