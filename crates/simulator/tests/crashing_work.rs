//! Prompts that end the engines which run them, through the product's own interface, in virtual time over many seeds.

use futures::executor::LocalPool;
use futures::future::join_all;
use saddlerelay_checker::record::Record;
use saddlerelay_policies::PolicyName;
use saddlerelay_runtime::Runtime;
use saddlerelay_scenarios::deployment::{andino, compact};
use saddlerelay_simulator::cluster::Cluster;
use saddlerelay_simulator::run::bring_up;
use saddlerelay_simulator::world::World;
use saddlerelay_standins::access::{Access, CallerAnswer};
use saddlerelay_types::identity::CallerId;
use saddlerelay_types::request::{CallerRequest, FailureCode, Priority, Repeatability};
use saddlerelay_types::suspicion::MOST_ENGINES_ENDED;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// A prompt that holds this ends the engine that begins to run it.
const CRASHES: &str = "crashes its engine";

/// From the start of such a prompt to the engine's end, and from there to its return.
const RUN_TIME: Duration = Duration::from_millis(30);
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Times that the work comes again, and the pause between.
const ROUNDS: usize = 10;
const ROUND_PAUSE: Duration = Duration::from_millis(1_500);

/// Virtual time for a test.
const LIMIT: Duration = Duration::from_secs(120);

struct Deployment {
    cluster: Rc<Cluster>,
    world: Rc<World>,
    pool: LocalPool,
    /// Engines that have ended under such prompts.
    ended: Rc<Cell<usize>>,
}

impl Deployment {
    fn start(seed: u64) -> Self {
        let (world, mut pool) = World::new(seed);
        let cluster = Cluster::new(world.clone(), compact(andino()), PolicyName::PrefixAffinity);
        bring_up(&cluster, &world, &mut pool).expect("it comes up");
        let ended = Rc::new(Cell::new(0));
        cluster.client_platform().spawn(crash_engines(cluster.clone(), ended.clone()));
        Self { cluster, world, pool, ended }
    }

    /// Runs a client's task to its end.
    fn run<T: 'static>(&mut self, task: impl Future<Output = T> + 'static) -> T {
        let result = Rc::new(RefCell::new(None));
        let place = result.clone();
        self.cluster.client_platform().spawn(async move {
            let value = task.await;
            *place.borrow_mut() = Some(value);
        });
        let limit = self.world.clock.now() + LIMIT;
        assert!(self.world.run(&mut self.pool, limit, || result.borrow().is_some()), "the task did not end");
        result.take().expect("it has ended")
    }
}

/// Ends each engine that begins to run such a prompt, and starts it again.
async fn crash_engines(cluster: Rc<Cluster>, ended: Rc<Cell<usize>>) {
    let platform = cluster.client_platform();
    let mut seen = 0;
    loop {
        platform.sleep(Duration::from_millis(1)).await;
        let begun: Vec<_> = {
            let records = cluster.records.borrow();
            let crashing = |record: &Record| match record {
                Record::Execution { engine, prompt, .. } if prompt.contains(CRASHES) => Some(engine.clone()),
                _ => None,
            };
            let begun = records[seen..].iter().filter_map(crashing).collect();
            seen = records.len();
            begun
        };
        for engine in begun {
            let place = cluster.engines.iter().position(|known| known.id == engine).expect("an engine of the cluster");
            platform.spawn(crash(cluster.clone(), place, ended.clone()));
        }
    }
}

async fn crash(cluster: Rc<Cluster>, place: usize, ended: Rc<Cell<usize>>) {
    let platform = cluster.client_platform();
    platform.sleep(RUN_TIME).await;
    let member = cluster.member(&format!("engine-{place}")).expect("it was started");
    if !member.process.is_alive() {
        return;
    }
    member.process.kill();
    ended.set(ended.get() + 1);
    platform.sleep(DOWN_TIME).await;
    cluster.start_engine(place);
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

/// Asks at several relays at once, round after round.
async fn ask_again_and_again(cluster: Rc<Cluster>, at_once: usize) -> Vec<CallerAnswer> {
    let platform = cluster.client_platform();
    let access = cluster.access(platform.clone());
    let request = request(&cluster, &format!("a prompt that {CRASHES}"));
    let mut answers = Vec::new();
    for round in 0..ROUNDS {
        let asked = (0..at_once).map(|place| access.ask((round + place) % access.relays(), &request));
        answers.extend(join_all(asked).await);
        platform.sleep(ROUND_PAUSE).await;
    }
    answers
}

async fn ask_innocently(cluster: Rc<Cluster>) -> Vec<CallerAnswer> {
    let platform = cluster.client_platform();
    let access = cluster.access(platform.clone());
    let request = request(&cluster, "an innocent prompt");
    join_all((0..access.relays()).map(|relay| access.ask(relay, &request))).await
}

fn is_quarantined(answer: &CallerAnswer) -> bool {
    matches!(answer, CallerAnswer::Failed(failure) if failure.code == FailureCode::EnginesEnded
        && failure.retry_after_milliseconds == 0)
}

#[test]
fn a_prompt_that_has_ended_three_engines_is_sent_to_no_more() {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let answers = deployment.run(ask_again_and_again(deployment.cluster.clone(), 1));
        assert_eq!(deployment.ended.get(), MOST_ENGINES_ENDED, "seed {seed}");
        assert!(answers.last().is_some_and(is_quarantined), "seed {seed}: {answers:?}");
        let innocent = deployment.run(ask_innocently(deployment.cluster.clone()));
        let served = innocent.iter().all(|answer| matches!(answer, CallerAnswer::Whole { .. }));
        assert!(served, "seed {seed}: {innocent:?}");
    }
}

/// Each of the relays may have sent it on before it knows of the others' losses.
#[test]
fn at_three_relays_at_once_it_ends_few_more() {
    const AT_ONCE: usize = 3;
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        deployment.run(ask_again_and_again(deployment.cluster.clone(), AT_ONCE));
        let most = MOST_ENGINES_ENDED - 1 + AT_ONCE;
        assert!(deployment.ended.get() <= most, "seed {seed}: {} ended", deployment.ended.get());
    }
}

#[test]
fn a_new_leader_and_relays_that_start_anew_remember_it() {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        deployment.run(ask_again_and_again(cluster.clone(), 1));
        let ended = deployment.ended.get();
        let leader = cluster.leader_place().expect("there is a leader");
        cluster.member(&format!("control-{leader}")).expect("it was started").process.kill();
        for place in 0..cluster.deployment.relays as usize {
            cluster.member(&format!("relay-{place}")).expect("it was started").process.kill();
            cluster.start_relay(place);
        }
        let answers = deployment.run(ask_again_and_again(cluster, 1));
        assert_eq!(deployment.ended.get(), ended, "seed {seed}: {answers:?}");
        assert!(answers.last().is_some_and(is_quarantined), "seed {seed}: {answers:?}");
    }
}
