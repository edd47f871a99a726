//! One soak: start, load, faults, proof that the deployment works again, orderly end, checks.

use crate::builds::Builds;
use crate::callers;
use crate::case::{Case, PlanKind};
use crate::checks;
use crate::deployment::{Deployment, MemberKind, REPORT_INTERVAL};
use crate::engine::Engine;
use crate::faults::{Faults, STOP_ENDS_WELL};
use crate::journal::Journal;
use crate::kept;
use crate::links::Party;
use crate::operator::{self, Operator};
use crate::plan::{self, ENGINES, MODEL_ENGINES, WEB_ENGINES};
use crate::platform::Platform;
use crate::proof::{Proof, RECOVERY_LIMIT};
use crate::report::{LATENESS_LIMIT, Report};
use crate::trainer::Trainer;
use crate::waits;
use crate::workload::{Demands, MODEL_SERVICE, MOVING, ONCE, REPEATABLE, STREAMS, WEB_SERVICES};
use anyhow::{Result, bail};
use compio::runtime::JoinHandle;
use futures::future;
use hyper::{Method, StatusCode};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a deployment may take to come up.
const START_LIMIT: Duration = Duration::from_secs(20);

/// How long the last tasks may take to end.
const END_LIMIT: Duration = Duration::from_secs(20);

/// A lateness of the soak's own tasks that is worth telling.
const TELLING_LAG: Duration = Duration::from_millis(100);

/// Pause between looks at something.
const POLL: Duration = Duration::from_millis(50);

/// How a soak is made.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// What its faults are drawn from, and how many processes it has.
    pub case: Case,
    /// How long faults are caused.
    pub length: Duration,
    /// The soak's own executable, which holds the product too.
    pub executable: PathBuf,
    /// The executable of the build that runs at first, if it is another one.
    pub production: Option<PathBuf>,
    /// Where its files go.
    pub folder: PathBuf,
}

/// Runs a soak.
pub async fn run(options: &SoakOptions) -> Result<Report> {
    fastrand::seed(options.case.seed);
    let journal = Journal::default();
    let _lag = compio::runtime::spawn(watch_own_lag(journal.clone()));
    let demands = options.case.kind.demands();
    let builds = Builds::new(options.executable.clone(), options.production.clone());
    let deployment = Deployment::start(builds, &options.folder, journal.clone(), ENGINES, options.case).await?;
    let platform = Platform::start(deployment.addresses.platform(), journal.clone()).await?;
    let newest = Rc::new(Cell::new(1));
    let engines = start_engines(&deployment, &journal, &newest, demands).await?;
    let stop = Rc::new(Cell::new(false));
    let reports_stop = Rc::new(Cell::new(false));
    let addresses = deployment.addresses.clone();
    for engine in &engines {
        let report = operator::report(engine.clone(), addresses.clone(), journal.clone(), reports_stop.clone());
        compio::runtime::spawn(report).detach();
    }
    let operator = Rc::new(Operator::new(addresses.clone(), journal.clone(), demands));
    let trainer = Rc::new(Trainer::new(addresses.clone(), journal.clone(), newest, options.case.kind.steps()));
    wait_until_up(&deployment, &operator).await?;
    compio::runtime::spawn(waits::watch_engines(engines.clone(), deployment.links.clone(), journal.clone())).detach();
    let mut tasks = vec![
        compio::runtime::spawn(operator.clone().run(stop.clone())),
        compio::runtime::spawn(operator.clone().run_reads(stop.clone())),
        compio::runtime::spawn(trainer.clone().run(stop.clone())),
    ];
    for client in 0..callers::CLIENTS {
        let run = callers::run(client, addresses.clone(), journal.clone(), demands, stop.clone());
        tasks.push(compio::runtime::spawn(run));
    }
    let kept_stop = Rc::new(Cell::new(false));
    let kept = kept::clients(&addresses, &journal, &kept_stop);
    let kept: Vec<_> = kept.into_iter().map(|client| compio::runtime::spawn(client.run())).collect();
    let faults = Rc::new(Faults::new(deployment.clone(), engines.clone(), operator.clone(), journal.clone()));
    for engine in &engines {
        compio::runtime::spawn(faults.clone().crash_by_work(engine.clone())).detach();
    }
    let crashing_stop = Rc::new(Cell::new(false));
    if demands == Demands::All {
        let crashing = callers::run_crashing(addresses.clone(), journal.clone(), crashing_stop.clone());
        tasks.push(compio::runtime::spawn(crashing));
    }
    let memory = cause_faults(&deployment, &faults, &trainer, &journal, options).await?;
    crashing_stop.set(true);
    prove_recovery(&deployment, &operator, &trainer, &journal).await;
    if options.case.kind == PlanKind::Upgrade {
        prove_newest_level(&deployment, &journal).await;
    }
    stop.set(true);
    end_load(tasks, &journal).await;
    read_back(&operator, &trainer, &journal).await;
    if demands == Demands::All && platform.windows() == 0 {
        journal.violation("the platform is told the usage", "no window was reported".to_string());
    }
    reports_stop.set(true);
    stop_processes(&deployment, &journal).await;
    kept_stop.set(true);
    end_load(kept, &journal).await;
    note_slow_look_ups(&deployment, &journal);
    for violation in journal.read(checks::check) {
        journal.take_violation(violation);
    }
    Ok(Report::new(options.case, memory, &journal))
}

async fn start_engines(
    deployment: &Rc<Deployment>,
    journal: &Journal,
    newest: &Rc<Cell<u64>>,
    demands: Demands,
) -> Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let service = match number {
            number if number < WEB_ENGINES => WEB_SERVICES[0],
            number if number < ENGINES - MODEL_ENGINES => WEB_SERVICES[1],
            _ => MODEL_SERVICE,
        };
        let addresses = deployment.addresses.clone();
        engines.push(Engine::start(number, service, addresses, journal.clone(), newest.clone(), demands).await?);
    }
    Ok(engines)
}

async fn is_ready(deployment: &Deployment, gateway: u8) -> bool {
    let address = deployment.addresses.readiness(gateway);
    let answer = crate::calls::ask(address, Method::GET, "/", &[], Vec::new(), REPORT_INTERVAL).await;
    answer.is_some_and(|answer| answer.status == StatusCode::OK)
}

async fn wait_until_up(deployment: &Rc<Deployment>, operator: &Operator) -> Result<()> {
    let until = Instant::now() + START_LIMIT;
    if !operator.change(|| Instant::now() < until).await {
        bail!("the first routing document was not accepted within {START_LIMIT:?}");
    }
    for gateway in 0..deployment.addresses.size.gateways {
        while !is_ready(deployment, gateway).await {
            if Instant::now() > until {
                bail!("gateway {gateway} was not ready within {START_LIMIT:?}");
            }
            compio::time::sleep(POLL).await;
        }
    }
    Ok(())
}

/// Causes the planned faults and waits until each has healed; returns the most memory that one process held.
async fn cause_faults(
    deployment: &Rc<Deployment>,
    faults: &Rc<Faults>,
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
            running.push(compio::runtime::spawn(async move { faults.cause(next.fault).await }));
        }
        if planned.peek().is_none() {
            trainer.stop_crashing();
        }
        deployment.watch()?;
        memory = memory.max(deployment.largest_memory());
        compio::time::sleep(POLL).await;
    }
    for fault in running {
        fault.await.map_err(|_| anyhow::anyhow!("a fault's task failed"))??;
    }
    faults.heal_all();
    deployment.watch()?;
    Ok(memory)
}

/// Everything works again soon after the last fault.
async fn prove_recovery(deployment: &Rc<Deployment>, operator: &Operator, trainer: &Trainer, journal: &Journal) {
    const PROMISE: &str = "everything works again soon after the last fault";
    let serving = Proof::begin(PROMISE, journal);
    let gateways = 0..deployment.addresses.size.gateways;
    let probes = gateways.flat_map(|gateway| [REPEATABLE, ONCE, MOVING, STREAMS].map(|prefix| (gateway, prefix)));
    let proofs = probes.map(|(gateway, prefix)| {
        let probe = move || callers::probe(prefix, gateway, &deployment.addresses, journal);
        serving.prove(format!("gateway {gateway} serves {prefix}"), probe)
    });
    let change = || operator.change(|| !serving.is_over());
    let changed = serving.prove("a routing document is accepted".to_string(), change);
    future::join(future::join_all(proofs), changed).await;
    let training = Proof::begin(PROMISE, journal);
    training.prove("a training step is whole".to_string(), || prove_step(trainer, journal)).await;
}

/// All processes run the newest build: what it can do more must come into use by itself.
async fn prove_newest_level(deployment: &Rc<Deployment>, journal: &Journal) {
    let raised = Proof::begin("the group goes to the newest level once every process knows it", journal);
    for number in 0..deployment.addresses.size.coordinators {
        // One that is no member has no state of the group's.
        let is_member = || deployment.membership_of(number) != MemberKind::None;
        let is_there = || async { !is_member() || deployment.feature_level(number) == FeatureLevel::NEWEST.number() };
        raised.prove(format!("coordinator {number}"), is_there).await;
    }
}

async fn prove_step(trainer: &Trainer, journal: &Journal) -> bool {
    let missing = trainer.prove_step(RECOVERY_LIMIT).await;
    if let Some(missing) = &missing {
        println!("{:>8.3} s  a training step is not whole yet: {missing}", journal.now().as_secs_f64());
    }
    missing.is_none()
}

/// Waits until tasks of the load that were told to stop have ended.
async fn end_load<T>(tasks: Vec<JoinHandle<T>>, journal: &Journal) {
    if compio::time::timeout(END_LIMIT, future::join_all(tasks)).await.is_err() {
        journal.violation("every caller gets an answer", "a task of the load did not end".to_string());
    }
}

/// Reads back what was acknowledged: the configuration, and every job from its start.
async fn read_back(operator: &Operator, trainer: &Trainer, journal: &Journal) {
    let reading = Proof::begin("what was acknowledged can be read back", journal);
    reading.prove("the routing document".to_string(), || operator.read()).await;
    let acknowledged: Vec<_> = journal.read(|records| {
        let jobs = records.jobs.iter().filter(|(_, seen)| seen.acknowledged_at.is_some());
        jobs.map(|(job, _)| job.clone()).collect()
    });
    for job in acknowledged {
        reading.prove(format!("job {}", job.0), || trainer.read_page(&job, 0)).await;
    }
}

/// Stops every gateway at once, and then the coordinators one by one, in the planned way.
async fn stop_processes(deployment: &Rc<Deployment>, journal: &Journal) {
    let size = deployment.addresses.size;
    let gateways = (0..size.gateways).map(|number| stop_process(deployment, Party::Gateway(number), journal));
    future::join_all(gateways).await;
    for number in (0..size.coordinators).rev() {
        stop_process(deployment, Party::Coordinator(number), journal).await;
    }
}

async fn stop_process(deployment: &Rc<Deployment>, party: Party, journal: &Journal) {
    let planned = journal.begin_planned(party);
    if let Err(error) = deployment.stop(party).await {
        journal.violation(STOP_ENDS_WELL, format!("{error:#}"));
    }
    journal.end_planned(planned);
}

/// A connection that the proxy kept waiting is a lateness of the soak too.
fn note_slow_look_ups(deployment: &Deployment, journal: &Journal) {
    let slowest = deployment.slowest_look_up();
    println!("{:>8.3} s  a new connection waited for {} ms at most", journal.now().as_secs_f64(), slowest.as_millis());
    journal.write(|records| records.own_lag = records.own_lag.max(slowest));
}

/// Watches how late this process's own tasks run: all connections pass through it, and what it delays, everyone sees late.
async fn watch_own_lag(journal: Journal) {
    loop {
        let began = Instant::now();
        compio::time::sleep(POLL).await;
        let lag = began.elapsed().saturating_sub(POLL);
        journal.write(|records| records.own_lag = records.own_lag.max(lag));
        if lag > LATENESS_LIMIT {
            journal.note_lateness();
        }
        if lag > TELLING_LAG {
            println!("{:>8.3} s  the soak itself was late by {} ms", journal.now().as_secs_f64(), lag.as_millis());
        }
    }
}

/// Where a soak's files go: a folder of the system's temporary one, by its seed.
pub fn folder_of(seed: u64, base: &Path) -> PathBuf {
    base.join(format!("saddlerelay-soak-{}-{seed}", std::process::id()))
}
