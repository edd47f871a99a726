//! Prompts that crash the engines that run them are quarantined; those that ran on engines that crashed for another reason
//! are run again.

mod training_step;

use futures::executor::LocalPool;
use futures::future::join_all;
use saddlerelay_checker::record::Record;
use saddlerelay_policies::PolicyName;
use saddlerelay_runtime::Runtime;
use saddlerelay_scenarios::deployment::{andino, compact};
use saddlerelay_simulator::cluster::Cluster;
use saddlerelay_simulator::run::bring_up;
use saddlerelay_simulator::world::World;
use saddlerelay_standins::access::{Access, CallerResponse};
use saddlerelay_types::identity::{CallerId, EngineId};
use saddlerelay_types::request::{CallerRequest, FailureCode, Priority, Repeatability};
use saddlerelay_types::suspicion::QUARANTINE_THRESHOLD;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use training_step::OpenStep;

const SEEDS: std::ops::Range<u64> = 0..24;

/// Marks a prompt that crashes its engine.
const CRASHES: &str = "crashes its engine";

/// Time from the start of such a prompt to the crash; `DOWN_TIME` is the time until the engine restarts.
const RUN_TIME: Duration = Duration::from_millis(30);
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Number of times that the prompt is sent, `ROUND_PAUSE` apart.
const ROUNDS: usize = 10;
const ROUND_PAUSE: Duration = Duration::from_millis(1_500);

/// Time within which samples are complete after their engines have crashed together: two retrials, after 5 s and 15 s, and
/// the time to run and score all samples.
const COMPLETION_LIMIT: Duration = Duration::from_secs(40);

/// Virtual time limit of a task.
const LIMIT: Duration = Duration::from_secs(120);

struct Deployment {
    cluster: Rc<Cluster>,
    world: Rc<World>,
    pool: LocalPool,
    /// Number of engine crashes.
    crashes: Rc<Cell<usize>>,
}

impl Deployment {
    fn start(seed: u64) -> Self {
        let (world, mut pool) = World::new(seed);
        let cluster = Cluster::new(world.clone(), compact(andino()), PolicyName::PrefixAffinity);
        bring_up(&cluster, &world, &mut pool).expect("the deployment starts");
        let crashes = Rc::new(Cell::new(0));
        cluster.client_platform().spawn(crash_engines(cluster.clone(), crashes.clone()));
        Self { cluster, world, pool, crashes }
    }

    /// Runs a client's task to completion.
    fn run<T: 'static>(&mut self, task: impl Future<Output = T> + 'static) -> T {
        let result = Rc::new(RefCell::new(None));
        let task_result = result.clone();
        self.cluster.client_platform().spawn(async move {
            let value = task.await;
            *task_result.borrow_mut() = Some(value);
        });
        let limit = self.world.clock.now() + LIMIT;
        assert!(
            self.world.run(&mut self.pool, limit, || result.borrow().is_some()),
            "the task did not complete in time"
        );
        result.take().expect("the task has completed")
    }
}

/// Crashes and restarts each engine that starts to run such a prompt.
async fn crash_engines(cluster: Rc<Cluster>, crashes: Rc<Cell<usize>>) {
    let platform = cluster.client_platform();
    let mut seen = 0;
    loop {
        platform.sleep(Duration::from_millis(1)).await;
        let started: Vec<_> = {
            let records = cluster.records.borrow();
            let crashing = |record: &Record| match record {
                Record::Execution { engine, prompt, .. } if prompt.contains(CRASHES) => Some(engine.clone()),
                _ => None,
            };
            let started = records[seen..].iter().filter_map(crashing).collect();
            seen = records.len();
            started
        };
        for engine in started {
            let index = cluster
                .engines
                .iter()
                .position(|description| description.id == engine)
                .expect("an engine of the cluster");
            platform.spawn(crash(cluster.clone(), index, crashes.clone()));
        }
    }
}

async fn crash(cluster: Rc<Cluster>, index: usize, crashes: Rc<Cell<usize>>) {
    let platform = cluster.client_platform();
    platform.sleep(RUN_TIME).await;
    let deployed = cluster.deployed_process(&format!("engine-{index}")).expect("the process was started");
    if !deployed.process.is_alive() {
        return;
    }
    deployed.process.kill();
    crashes.set(crashes.get() + 1);
    platform.sleep(DOWN_TIME).await;
    cluster.start_engine(index);
}

fn request(cluster: &Cluster, prompt: &str) -> CallerRequest {
    let tenant = &cluster.deployment.tenants[0];
    CallerRequest {
        tenant: tenant.id.clone(),
        caller: CallerId("clinic".to_string()),
        model: tenant.model.clone(),
        prompt: prompt.to_string(),
        max_tokens: 16,
        seed: 1,
        key: None,
        repeatability: Repeatability::Repeatable,
        priority: Priority::Interactive,
        deadline_milliseconds: 4_000,
    }
}

/// Sends the prompt to several relays concurrently, `ROUNDS` times.
async fn send_repeatedly(cluster: Rc<Cluster>, concurrency: usize) -> Vec<CallerResponse> {
    let platform = cluster.client_platform();
    let access = cluster.access(platform.clone());
    let request = request(&cluster, &format!("a prompt that {CRASHES}"));
    let mut answers = Vec::new();
    for round in 0..ROUNDS {
        let requests = (0..concurrency).map(|place| access.send_request((round + place) % access.relays(), &request));
        answers.extend(join_all(requests).await);
        platform.sleep(ROUND_PAUSE).await;
    }
    answers
}

/// Sends several such prompts concurrently, each at another relay, `ROUNDS` times.
async fn send_several_repeatedly(cluster: Rc<Cluster>, prompts: usize) -> Vec<CallerResponse> {
    let platform = cluster.client_platform();
    let access = cluster.access(platform.clone());
    let requests: Vec<_> =
        (0..prompts).map(|number| request(&cluster, &format!("{number}: a prompt that {CRASHES}"))).collect();
    let mut answers = Vec::new();
    for round in 0..ROUNDS {
        let sends = requests.iter().enumerate();
        let sends = sends.map(|(place, request)| access.send_request((round + place) % access.relays(), request));
        answers.extend(join_all(sends).await);
        platform.sleep(ROUND_PAUSE).await;
    }
    answers
}

async fn send_harmless_prompt(cluster: Rc<Cluster>) -> Vec<CallerResponse> {
    let platform = cluster.client_platform();
    let access = cluster.access(platform.clone());
    let request = request(&cluster, "an innocent prompt");
    join_all((0..access.relays()).map(|relay| access.send_request(relay, &request))).await
}

fn is_quarantined(answer: &CallerResponse) -> bool {
    matches!(answer, CallerResponse::Failed(failure) if failure.code == FailureCode::EnginesEnded
        && failure.retry_after_milliseconds == 0)
}

#[test]
fn a_prompt_that_crashed_three_engines_is_quarantined() {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let answers = deployment.run(send_repeatedly(deployment.cluster.clone(), 1));
        assert_eq!(deployment.crashes.get(), QUARANTINE_THRESHOLD, "seed {seed}");
        assert!(answers.last().is_some_and(is_quarantined), "seed {seed}: {answers:?}");
        let harmless = deployment.run(send_harmless_prompt(deployment.cluster.clone()));
        let served = harmless.iter().all(|answer| matches!(answer, CallerResponse::Complete { .. }));
        assert!(served, "seed {seed}: {harmless:?}");
    }
}

/// Each relay may forward the prompt before it is notified of the crashes at the others.
#[test]
fn concurrent_sends_at_three_relays_crash_few_more_engines() {
    const CONCURRENCY: usize = 3;
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        deployment.run(send_repeatedly(deployment.cluster.clone(), CONCURRENCY));
        let limit = QUARANTINE_THRESHOLD - 1 + CONCURRENCY;
        assert!(deployment.crashes.get() <= limit, "seed {seed}: {} engines crashed", deployment.crashes.get());
    }
}

/// Several prompts crash engines at the same time, so that the losses are inconclusive and retrials follow after 5 s and
/// 15 s. The leader is killed between rounds.
#[test]
fn retrials_are_bounded_over_changes_of_the_leader() {
    const PROMPTS: usize = 6;
    const MAX_RETRIALS: usize = 3;
    const LEADER_CHANGES: usize = 4;
    let mut most_executions = 0;
    for seed in SEEDS.take(8) {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        for _ in 0..LEADER_CHANGES {
            deployment.run(send_several_repeatedly(cluster.clone(), PROMPTS));
            let leader = cluster.leader_index().expect("there is a leader");
            cluster.deployed_process(&format!("control-{leader}")).expect("the process was started").process.kill();
            cluster.start_control(leader);
        }
        let answers = deployment.run(send_several_repeatedly(cluster.clone(), PROMPTS));
        let last = &answers[answers.len() - PROMPTS..];
        assert!(last.iter().all(is_quarantined), "seed {seed}: {last:?}");
        let executions = most_executions_of_one_prompt(&cluster);
        assert!(executions <= QUARANTINE_THRESHOLD + MAX_RETRIALS, "seed {seed}: one prompt ran {executions} times");
        most_executions = most_executions.max(executions);
    }
    assert!(most_executions > QUARANTINE_THRESHOLD, "no retrial has run");
}

fn most_executions_of_one_prompt(cluster: &Cluster) -> usize {
    let mut executions: BTreeMap<String, usize> = BTreeMap::new();
    for record in cluster.records.borrow().iter() {
        if let Record::Execution { prompt, .. } = record {
            *executions.entry(prompt.clone()).or_default() += 1;
        }
    }
    executions.into_values().max().unwrap_or_default()
}

#[test]
fn the_quarantine_survives_a_new_leader_and_restarted_relays() {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        deployment.run(send_repeatedly(cluster.clone(), 1));
        let crashes = deployment.crashes.get();
        let leader = cluster.leader_index().expect("there is a leader");
        cluster.deployed_process(&format!("control-{leader}")).expect("the process was started").process.kill();
        for index in 0..cluster.deployment.relays as usize {
            cluster.deployed_process(&format!("relay-{index}")).expect("the process was started").process.kill();
            cluster.start_relay(index);
        }
        let answers = deployment.run(send_repeatedly(cluster, 1));
        assert_eq!(deployment.crashes.get(), crashes, "seed {seed}: {answers:?}");
        assert!(answers.last().is_some_and(is_quarantined), "seed {seed}: {answers:?}");
    }
}

/// Guards against samples that no engine runs for an hour because three engines crashed under them by chance.
#[test]
fn samples_on_engines_that_crashed_together_are_run_again() {
    const CRASHES_OF_ALL_ENGINES: usize = 3;
    const HOLDER: usize = 0;
    for seed in SEEDS.take(8) {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let took = deployment.run(async move {
            let step = OpenStep::open(cluster.clone(), HOLDER).await;
            for _ in 0..CRASHES_OF_ALL_ENGINES {
                crash_all_engines(&cluster, &step, HOLDER).await;
            }
            step.fetch_all().await
        });
        assert!(took <= COMPLETION_LIMIT, "seed {seed}: the step was complete after {took:?}");
    }
}

/// Guards against samples that no engine runs for an hour because engines crashed under them one after the other.
#[test]
fn samples_are_run_again_however_many_engines_crashed_under_them() {
    const CRASHES_UNDER_PROMPT: usize = 7;
    for seed in SEEDS.take(8) {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let took = deployment.run(async move {
            let step = OpenStep::open(cluster.clone(), 0).await;
            crash_engines_under(&cluster, "prompt 0", CRASHES_UNDER_PROMPT).await;
            step.fetch_all().await
        });
        assert!(took <= COMPLETION_LIMIT, "seed {seed}: the step was complete after {took:?}");
    }
}

/// Crashes and restarts each engine that starts to run a prompt, until `count` have crashed.
async fn crash_engines_under(cluster: &Rc<Cluster>, prompt: &str, count: usize) {
    let platform = cluster.client_platform();
    let crashes = Rc::new(Cell::new(0));
    let mut seen = 0;
    while crashes.get() < count {
        platform.sleep(Duration::from_millis(1)).await;
        let records = cluster.records.borrow();
        let running = records[seen..].iter().filter_map(|record| match record {
            Record::Execution { engine, prompt: running, .. } if running == prompt => Some(engine.clone()),
            _ => None,
        });
        let is_engine = |engine: &EngineId| cluster.engines.iter().position(|description| description.id == *engine);
        for index in running.filter_map(|engine| is_engine(&engine)) {
            platform.spawn(crash(cluster.clone(), index, crashes.clone()));
        }
        seen = records.len();
    }
}

/// Crashes all engines at once while the relay runs samples, and starts them again.
async fn crash_all_engines(cluster: &Rc<Cluster>, step: &OpenStep, relay: usize) {
    let platform = cluster.client_platform();
    while step.running_at_relay(relay) == 0 {
        platform.sleep(Duration::from_millis(1)).await;
    }
    platform.sleep(RUN_TIME).await;
    for index in 0..cluster.engines.len() {
        let deployed = cluster.deployed_process(&format!("engine-{index}")).expect("the process was started");
        deployed.process.kill();
    }
    platform.sleep(DOWN_TIME).await;
    (0..cluster.engines.len()).for_each(|index| cluster.start_engine(index));
}
