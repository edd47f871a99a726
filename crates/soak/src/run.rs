//! Runs one soak: startup, load, fault injection, recovery checks, shutdown and invariant checks.

use crate::builds::Builds;
use crate::callers;
use crate::case::{Case, PlanKind};
use crate::checks;
use crate::convergence::{ConvergenceCheck, RECOVERY_LIMIT};
use crate::deployment::{Deployment, MembershipRole, REPORT_INTERVAL};
use crate::engine::Engine;
use crate::faults::{FaultInjector, STOP_SUCCEEDS};
use crate::journal::Journal;
use crate::keep_alive;
use crate::links::Party;
use crate::operator::{self, Operator};
use crate::plan::{self, ENGINES, MODEL_ENGINES, WEB_ENGINES};
use crate::platform::Platform;
use crate::report::{LAG_LIMIT, Report};
use crate::trainer::Trainer;
use crate::waits;
use crate::workload::{Features, IDEMPOTENT, MODEL_SERVICE, NON_IDEMPOTENT, REROUTED, STREAMS, WEB_SERVICES};
use anyhow::{Result, bail};
use compio::runtime::JoinHandle;
use futures::future;
use hyper::{Method, StatusCode};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout for the deployment to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for the load tasks to end after they were signalled to stop.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Scheduling lag of the soak's own tasks above which a line is printed.
const REPORTED_LAG: Duration = Duration::from_millis(100);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Options of one soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed, plan kind and deployment size.
    pub case: Case,
    /// Duration of fault injection.
    pub length: Duration,
    /// The soak's own executable, which also contains the product under test.
    pub executable: PathBuf,
    /// Executable of an older build that all processes run initially, if any.
    pub production: Option<PathBuf>,
    /// Directory for settings, logs and data of the deployment's processes.
    pub folder: PathBuf,
}

/// Runs one soak and returns its report.
pub async fn run(options: &SoakOptions) -> Result<Report> {
    fastrand::seed(options.case.seed);
    let journal = Journal::default();
    let _lag_task = compio::runtime::spawn(measure_own_lag(journal.clone()));
    let features = options.case.kind.features();
    let builds = Builds::new(options.executable.clone(), options.production.clone());
    let deployment = Deployment::start(builds, &options.folder, journal.clone(), ENGINES, options.case).await?;
    let platform = Platform::start(deployment.addresses.platform(), journal.clone()).await?;
    let newest_version = Rc::new(Cell::new(1));
    let engines = start_engines(&deployment, &journal, &newest_version, features).await?;
    let stop = Rc::new(Cell::new(false));
    let reports_stop = Rc::new(Cell::new(false));
    let addresses = deployment.addresses.clone();
    for engine in &engines {
        let report = operator::report(engine.clone(), addresses.clone(), journal.clone(), reports_stop.clone());
        compio::runtime::spawn(report).detach();
    }
    let operator = Rc::new(Operator::new(addresses.clone(), journal.clone(), features));
    let trainer =
        Rc::new(Trainer::new(addresses.clone(), journal.clone(), newest_version, options.case.kind.step_shape()));
    wait_until_ready(&deployment, &operator).await?;
    compio::runtime::spawn(waits::watch_engines(engines.clone(), deployment.links.clone(), journal.clone())).detach();
    let mut tasks = vec![
        compio::runtime::spawn(operator.clone().run(stop.clone())),
        compio::runtime::spawn(operator.clone().run_reads(stop.clone())),
        compio::runtime::spawn(trainer.clone().run(stop.clone())),
    ];
    for client in 0..callers::CLIENTS {
        let run = callers::run(client, addresses.clone(), journal.clone(), features, stop.clone());
        tasks.push(compio::runtime::spawn(run));
    }
    let keep_alive_stop = Rc::new(Cell::new(false));
    let keep_alive = keep_alive::clients(&addresses, &journal, &keep_alive_stop);
    let keep_alive: Vec<_> = keep_alive.into_iter().map(|client| compio::runtime::spawn(client.run())).collect();
    let faults = Rc::new(FaultInjector::new(deployment.clone(), engines.clone(), operator.clone(), journal.clone()));
    for engine in &engines {
        compio::runtime::spawn(faults.clone().run_crashes(engine.clone())).detach();
    }
    let crashing_stop = Rc::new(Cell::new(false));
    if features != Features::Common {
        let crashing = callers::run_crashing(addresses.clone(), journal.clone(), crashing_stop.clone());
        tasks.push(compio::runtime::spawn(crashing));
    }
    let memory = inject_faults(&deployment, &faults, &trainer, &journal, options).await?;
    crashing_stop.set(true);
    check_recovery(&deployment, &operator, &trainer, &journal).await;
    if options.case.kind == PlanKind::Upgrade {
        check_newest_level(&deployment, &journal).await;
    }
    stop.set(true);
    await_load_tasks(tasks, &journal).await;
    read_back(&operator, &trainer, &journal).await;
    if features != Features::Common && platform.windows() == 0 {
        journal.violation("usage is reported to the platform", "no usage window was reported".to_string());
    }
    reports_stop.set(true);
    stop_processes(&deployment, &journal).await;
    keep_alive_stop.set(true);
    await_load_tasks(keep_alive, &journal).await;
    report_slow_owner_lookups(&deployment, &journal);
    for violation in journal.read(checks::check) {
        journal.record_violation(violation);
    }
    Ok(Report::new(options.case, memory, &journal))
}

async fn start_engines(
    deployment: &Rc<Deployment>,
    journal: &Journal,
    newest_version: &Rc<Cell<u64>>,
    features: Features,
) -> Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let service = match number {
            number if number < WEB_ENGINES => WEB_SERVICES[0],
            number if number < ENGINES - MODEL_ENGINES => WEB_SERVICES[1],
            _ => MODEL_SERVICE,
        };
        let addresses = deployment.addresses.clone();
        engines
            .push(Engine::start(number, service, addresses, journal.clone(), newest_version.clone(), features).await?);
    }
    Ok(engines)
}

async fn is_ready(deployment: &Deployment, gateway: u8) -> bool {
    let address = deployment.addresses.readiness(gateway);
    let response = crate::calls::send_request(address, Method::GET, "/", &[], Vec::new(), REPORT_INTERVAL).await;
    response.is_some_and(|response| response.status == StatusCode::OK)
}

async fn wait_until_ready(deployment: &Rc<Deployment>, operator: &Operator) -> Result<()> {
    let until = Instant::now() + START_TIMEOUT;
    if !operator.change(|| Instant::now() < until).await {
        bail!("the first routing document was not accepted within {START_TIMEOUT:?}");
    }
    for gateway in 0..deployment.addresses.size.gateways {
        while !is_ready(deployment, gateway).await {
            if Instant::now() > until {
                bail!("gateway {gateway} was not ready within {START_TIMEOUT:?}");
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Injects the planned faults and waits until all have healed. Returns the largest resident memory of any one
/// process, in bytes.
async fn inject_faults(
    deployment: &Rc<Deployment>,
    faults: &Rc<FaultInjector>,
    trainer: &Trainer,
    journal: &Journal,
    options: &SoakOptions,
) -> Result<u64> {
    let started = journal.now();
    let mut planned = plan::draw(options.case, options.length).into_iter().peekable();
    let mut running = Vec::new();
    let mut memory = 0;
    while planned.peek().is_some() || journal.now() < started + options.length {
        while let Some(next) = planned.next_if(|next| journal.now() >= started + next.at) {
            let faults = faults.clone();
            running.push(compio::runtime::spawn(async move { faults.inject(next.fault).await }));
        }
        if planned.peek().is_none() {
            trainer.stop_crashing();
        }
        deployment.restart_ended_processes()?;
        memory = memory.max(deployment.largest_memory());
        compio::time::sleep(POLL_INTERVAL).await;
    }
    for fault in running {
        fault.await.map_err(|_| anyhow::anyhow!("a fault injection task panicked"))??;
    }
    faults.heal_all();
    deployment.restart_ended_processes()?;
    Ok(memory)
}

/// Checks that all gateways serve requests, a routing document is accepted and a training step completes in time.
async fn check_recovery(deployment: &Rc<Deployment>, operator: &Operator, trainer: &Trainer, journal: &Journal) {
    const INVARIANT: &str = "the deployment recovers in time after the last fault";
    let serving = ConvergenceCheck::begin(INVARIANT, journal);
    let gateways = 0..deployment.addresses.size.gateways;
    let probes =
        gateways.flat_map(|gateway| [IDEMPOTENT, NON_IDEMPOTENT, REROUTED, STREAMS].map(|prefix| (gateway, prefix)));
    let serving_checks = probes.map(|(gateway, prefix)| {
        let probe = move || callers::probe(prefix, gateway, &deployment.addresses, journal);
        serving.wait_for(format!("gateway {gateway} serves {prefix}"), probe)
    });
    let change = || operator.change(|| !serving.is_over());
    let changed = serving.wait_for("a routing document is accepted".to_string(), change);
    future::join(future::join_all(serving_checks), changed).await;
    let training = ConvergenceCheck::begin(INVARIANT, journal);
    training.wait_for("a training step completes".to_string(), || run_probe_step(trainer, journal)).await;
}

/// Checks that the group raises its feature level to the newest once all processes run the newest build.
async fn check_newest_level(deployment: &Rc<Deployment>, journal: &Journal) {
    let upgraded =
        ConvergenceCheck::begin("the group raises its feature level once every process supports the newest", journal);
    for number in 0..deployment.addresses.size.coordinators {
        // A coordinator outside the group has no replicated state.
        let is_member = || deployment.membership_of(number) != MembershipRole::None;
        let is_at_newest_level =
            || async { !is_member() || deployment.feature_level(number) == FeatureLevel::NEWEST.number() };
        upgraded.wait_for(format!("coordinator {number}"), is_at_newest_level).await;
    }
}

async fn run_probe_step(trainer: &Trainer, journal: &Journal) -> bool {
    let missing = trainer.run_probe_step(RECOVERY_LIMIT).await;
    if let Some(missing) = &missing {
        println!("{:>8.3} s  training step incomplete: {missing}", journal.now().as_secs_f64());
    }
    missing.is_none()
}

/// Waits for load tasks to end after they were signalled to stop.
async fn await_load_tasks<T>(tasks: Vec<JoinHandle<T>>, journal: &Journal) {
    if compio::time::timeout(END_TIMEOUT, future::join_all(tasks)).await.is_err() {
        journal.violation("every call completes or times out", "a load task did not end".to_string());
    }
}

/// Reads back the acknowledged routing document and the results of every acknowledged job.
async fn read_back(operator: &Operator, trainer: &Trainer, journal: &Journal) {
    let read_back_check = ConvergenceCheck::begin("acknowledged documents and results can be read", journal);
    read_back_check.wait_for("the routing document".to_string(), || operator.read()).await;
    let acknowledged: Vec<_> = journal.read(|records| {
        let acknowledged_jobs = records.jobs.iter().filter(|(_, record)| record.acknowledged_at.is_some());
        acknowledged_jobs.map(|(job, _)| job.clone()).collect()
    });
    for job in acknowledged {
        read_back_check.wait_for(format!("job {}", job.0), || trainer.read_page(&job, 0)).await;
    }
}

/// Gracefully stops all gateways concurrently, then the coordinators one by one.
async fn stop_processes(deployment: &Rc<Deployment>, journal: &Journal) {
    let size = deployment.addresses.size;
    let gateways = (0..size.gateways).map(|number| stop_process(deployment, Party::Gateway(number), journal));
    future::join_all(gateways).await;
    for number in (0..size.coordinators).rev() {
        stop_process(deployment, Party::Coordinator(number), journal).await;
    }
}

async fn stop_process(deployment: &Rc<Deployment>, party: Party, journal: &Journal) {
    let planned = journal.begin_planned_work(party);
    if let Err(error) = deployment.stop(party).await {
        journal.violation(STOP_SUCCEEDS, format!("{error:#}"));
    }
    journal.end_planned_work(planned);
}

/// Counts the slowest lookup of a connection's owner as lag of the soak: the proxy delays the connection meanwhile.
fn report_slow_owner_lookups(deployment: &Deployment, journal: &Journal) {
    let slowest = deployment.slowest_owner_lookup();
    println!(
        "{:>8.3} s  slowest owner lookup of a new connection: {} ms",
        journal.now().as_secs_f64(),
        slowest.as_millis()
    );
    journal.write(|records| records.own_lag = records.own_lag.max(slowest));
}

/// Measures the scheduling lag of this process's tasks. All connections pass through this process, so its lag delays
/// every party.
async fn measure_own_lag(journal: Journal) {
    loop {
        let began = Instant::now();
        compio::time::sleep(POLL_INTERVAL).await;
        let lag = began.elapsed().saturating_sub(POLL_INTERVAL);
        journal.write(|records| records.own_lag = records.own_lag.max(lag));
        if lag > LAG_LIMIT {
            journal.record_excessive_lag();
        }
        if lag > REPORTED_LAG {
            println!("{:>8.3} s  the soak's own tasks lagged by {} ms", journal.now().as_secs_f64(), lag.as_millis());
        }
    }
}

/// The directory of a soak's files under `base`, named by process id and seed.
pub fn folder_of(seed: u64, base: &Path) -> PathBuf {
    base.join(format!("saddlerelay-soak-{}-{seed}", std::process::id()))
}
