//! Runs a scenario with a seed and checks its records.

use crate::cluster::{Cluster, Component};
use crate::faults;
use crate::world::World;
use anyhow::{Context, Result};
use fastrand::Rng;
use futures::executor::LocalPool;
use saddlerelay_checker::check::check;
use saddlerelay_checker::record::Record;
use saddlerelay_checker::report::{Invariant, Report, Violation};
use saddlerelay_policies::PolicyName;
use saddlerelay_runtime::Runtime;
use saddlerelay_scenarios::deployment::{self, CallerLoad, Deployment, TenantLoad};
use saddlerelay_scenarios::recording;
use saddlerelay_scenarios::trace::{Arrival, Fault, Scenario};
use saddlerelay_standins::callers::{self, CallerOptions};
use saddlerelay_standins::operators::{probe_relays, race_changes};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Virtual time limit for starting a deployment.
const START_LIMIT: Duration = Duration::from_secs(60);
/// Virtual time limit for the faults to end after the load, and then for requests and trainers to finish.
const END_LIMIT: Duration = Duration::from_secs(180);
const CHANGE_INTERVAL: Duration = Duration::from_millis(900);
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Separates the random numbers of fault generation from those of the world.
const FAULT_SEED: u64 = 0x5EED_FA17;

/// Result of a run.
pub struct RunOutcome {
    /// The report.
    pub report: Report,
    /// Hash of all records; equal for runs with the same seed.
    pub trace_hash: u64,
    /// Number of events executed.
    pub events: u64,
    /// Virtual time at the end of the run.
    pub virtual_time: Duration,
    /// Records of all simulated clients and engines.
    pub records: Vec<Record>,
    /// The scenario with the faults and arrivals of this run, for replay.
    pub recorded: Scenario,
    /// All injected faults, including the random ones.
    pub faults: Vec<Fault>,
}

/// Runs `scenario` with `seed`.
pub fn run(scenario: &Scenario, seed: u64, policy: PolicyName) -> Result<RunOutcome> {
    let deployment = deployment::by_name(&scenario.deployment).context("the scenario's deployment does not exist")?;
    run_on(scenario, deployment::compact(deployment), seed, policy)
}

/// Runs `scenario` with `seed` on another deployment.
pub fn run_on(scenario: &Scenario, deployment: Deployment, seed: u64, policy: PolicyName) -> Result<RunOutcome> {
    let (world, mut pool) = World::new(seed);
    let cluster = Cluster::new(world.clone(), deployment, policy);
    bring_up(&cluster, &world, &mut pool)?;
    world.network.handshake_loss_per_mille.set(scenario.lost_handshakes);
    let duration = Duration::from_millis(scenario.duration_ms);
    let started_at = cluster.client_platform().unix_milliseconds();
    let operators_ended = start_load(&cluster, scenario);
    let mut random = Rng::with_seed(seed ^ FAULT_SEED);
    let mut all_faults = scenario.faults.clone();
    all_faults.extend(faults::random_faults(&mut random, &cluster, scenario.random_faults, scenario.duration_ms));
    let unfinished_faults = start_faults(&cluster, &all_faults);
    let load_ends = world.clock.now() + duration;
    let observe_leaders = |done: bool| {
        cluster.record_concurrent_leaders();
        done
    };
    world.run(&mut pool, load_ends, || observe_leaders(false));
    let limit = world.clock.now() + END_LIMIT;
    let faults_ended = world.run(&mut pool, limit, || observe_leaders(unfinished_faults.get() == 0));
    cluster.stop.set(true);
    let trainers = cluster.training_tenants().len();
    let all_ended =
        || cluster.trainers_ended.get() >= trainers && cluster.in_flight.get() == 0 && operators_ended.get();
    let limit = world.clock.now() + END_LIMIT;
    let ended = faults_ended && world.run(&mut pool, limit, all_ended);
    let records = cluster.records.borrow().clone();
    let mut report = check(&records, &scenario.limits());
    scenario.check_outcome(&mut report);
    if let Some(at) = cluster.two_leaders_at.get() {
        let detail = format!("two control replicas could both serve reads at {at:?}");
        report.violations.push(Violation { promise: Invariant::Configuration, detail });
    }
    if !ended {
        let detail = format!(
            "load did not finish: {} of {trainers} trainers ended, {} requests in flight, concurrent changes ended: {}",
            cluster.trainers_ended.get(),
            cluster.in_flight.get(),
            operators_ended.get()
        );
        report.violations.push(Violation { promise: Invariant::StatedOutcome, detail });
    }
    let trace_hash = xxhash_rust::xxh3::xxh3_64(format!("{records:?}").as_bytes());
    let with_faults = Scenario { faults: all_faults.clone(), random_faults: 0, ..scenario.clone() };
    let recorded = recording::record_trace(&with_faults, &cluster.deployment, &records, started_at);
    Ok(RunOutcome {
        report,
        recorded,
        trace_hash,
        events: world.events(),
        virtual_time: world.clock.now(),
        records,
        faults: all_faults,
    })
}

/// Starts and configures a deployment, and waits until every relay has applied the configuration.
pub fn bring_up(cluster: &Rc<Cluster>, world: &Rc<World>, pool: &mut LocalPool) -> Result<()> {
    cluster.start_all();
    let initialized = Rc::new(Cell::new(false));
    initialize(cluster, initialized.clone());
    let replicas = cluster.deployment.control as usize;
    let up =
        world.run(pool, START_LIMIT, || initialized.get() && cluster.voters() == replicas && cluster.relays_ready());
    anyhow::ensure!(up, "the deployment did not start in time: {} voters", cluster.voters());
    let configured = Rc::new(Cell::new(false));
    configure(cluster, configured.clone());
    let limit = world.clock.now() + START_LIMIT;
    let configured_everywhere = world.run(pool, limit, || configured.get() && is_configuration_applied(cluster));
    anyhow::ensure!(configured_everywhere, "the relays did not apply the configuration in time");
    Ok(())
}

fn initialize(cluster: &Rc<Cluster>, done: Rc<Cell<bool>>) {
    let cluster = cluster.clone();
    let platform = cluster.client_platform();
    platform.clone().spawn(async move {
        while !done.get() {
            platform.sleep(Duration::from_millis(50)).await;
            let Some(Component::Control(node)) =
                cluster.deployed_process("control-0").map(|deployed| deployed.component)
            else {
                continue;
            };
            let node = node.borrow().clone();
            if let Some(node) = node {
                done.set(node.replica().initialize().await.unwrap_or(false));
            }
        }
    });
}

fn configure(cluster: &Rc<Cluster>, done: Rc<Cell<bool>>) {
    let operator = cluster.operator("setup");
    let tenants = cluster.deployment.tenants.clone();
    cluster.client_platform().spawn(async move {
        for tenant in &tenants {
            operator.set_up(&tenant.id, tenant.values()).await;
        }
        done.set(true);
    });
}

fn is_configuration_applied(cluster: &Cluster) -> bool {
    (0..cluster.deployment.relays).all(|index| {
        let deployed = cluster.deployed_process(&format!("relay-{index}"));
        match deployed.map(|deployed| deployed.component) {
            Some(Component::Relay(relay, _)) => relay.borrow().as_ref().is_some_and(|relay| {
                cluster.deployment.tenants.iter().all(|tenant| relay.tenant(&tenant.id).is_some())
            }),
            _ => false,
        }
    })
}

/// Starts trainers, callers, relay probes and two operators that make concurrent changes. The returned flag is set when
/// the operators have ended.
fn start_load(cluster: &Rc<Cluster>, scenario: &Scenario) -> Rc<Cell<bool>> {
    let platform = cluster.client_platform();
    (0..cluster.training_tenants().len()).for_each(|index| cluster.start_trainer(index));
    if scenario.arrivals.is_empty() {
        start_callers(cluster);
    } else {
        start_arrivals(cluster, &scenario.arrivals);
    }
    let probes = probe_relays(
        platform.clone(),
        cluster.access(platform.clone()),
        cluster.recorder(),
        PROBE_INTERVAL,
        cluster.stop.clone(),
    );
    platform.spawn(probes);
    let ended = Rc::new(Cell::new(false));
    let concurrent_changes =
        race_changes(cluster.operator("first"), cluster.operator("second"), CHANGE_INTERVAL, cluster.stop.clone());
    let flag = ended.clone();
    platform.spawn(async move {
        concurrent_changes.await;
        flag.set(true);
    });
    ended
}

fn caller_options(tenant: &TenantLoad, load: &CallerLoad) -> CallerOptions {
    CallerOptions {
        tenant: tenant.id.clone(),
        name: load.name.clone(),
        model: tenant.model.clone(),
        class: load.class,
        interval: load.interval,
        max_tokens: load.max_tokens,
        deadline: load.deadline,
        not_repeatable_percent: load.not_repeatable_percent,
        prefixes: load.prefixes,
    }
}

/// Starts callers with the request rates of the deployment.
fn start_callers(cluster: &Rc<Cluster>) {
    let platform = cluster.client_platform();
    for tenant in &cluster.deployment.tenants {
        for load in &tenant.callers {
            let access = cluster.access(platform.clone());
            let (stop, in_flight) = (cluster.stop.clone(), cluster.in_flight.clone());
            let options = caller_options(tenant, load);
            let callers = callers::run_callers(platform.clone(), access, cluster.recorder(), options, stop, in_flight);
            platform.spawn(callers);
        }
    }
}

/// Replays recorded requests at their recorded times. Skips requests of tenants or callers that the deployment lacks.
fn start_arrivals(cluster: &Rc<Cluster>, arrivals: &[Arrival]) {
    let platform = cluster.client_platform();
    for (number, arrival) in arrivals.iter().cloned().enumerate() {
        let tenant = cluster.deployment.tenants.get(arrival.tenant as usize);
        let Some((tenant, load)) =
            tenant.and_then(|tenant| Some((tenant, tenant.callers.get(arrival.caller as usize)?)))
        else {
            continue;
        };
        let options = caller_options(tenant, load);
        let (cluster, runtime) = (cluster.clone(), platform.clone());
        platform.spawn(async move {
            runtime.sleep(Duration::from_millis(arrival.at_ms)).await;
            let in_flight = cluster.in_flight.clone();
            in_flight.set(in_flight.get() + 1);
            let access = cluster.access(runtime.clone());
            callers::run_arrival(runtime, access, cluster.recorder(), options, number as u64, &arrival).await;
            in_flight.set(in_flight.get() - 1);
        });
    }
}

/// Schedules every fault at its time. Returns a counter of the faults that have not ended.
fn start_faults(cluster: &Rc<Cluster>, faults: &[Fault]) -> Rc<Cell<usize>> {
    let unfinished = Rc::new(Cell::new(faults.len()));
    let platform = cluster.client_platform();
    for fault in faults.iter().cloned() {
        let (cluster, runtime, unfinished) = (cluster.clone(), platform.clone(), unfinished.clone());
        platform.spawn(async move {
            runtime.sleep(Duration::from_millis(fault.at_ms)).await;
            faults::inject(cluster, fault.kind).await;
            unfinished.set(unfinished.get() - 1);
        });
    }
    unfinished
}
