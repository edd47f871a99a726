//! Grants to relays in the log (claims of keyed requests, and samples) when the relay is killed, restarted or frozen,
//! or cannot release them: they become available again within the group's detection time.

mod training_step;

use futures::executor::LocalPool;
use saddlerelay_checker::record::Record;
use saddlerelay_policies::PolicyName;
use saddlerelay_runtime::Runtime;
use saddlerelay_scenarios::deployment::{andino, compact};
use saddlerelay_simulator::cluster::{Cluster, Component};
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::run::bring_up;
use saddlerelay_simulator::world::{Process, World};
use saddlerelay_standins::access::{Access, CallerResponse};
use saddlerelay_types::identity::{CallerId, IdempotencyKey};
use saddlerelay_types::protocol::{Command, MembershipCommand};
use saddlerelay_types::request::{CallerRequest, FailureCode, Priority, Repeatability, RequestKey};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use training_step::OpenStep;

const SEEDS: std::ops::Range<u64> = 0..4;

/// Virtual time limit of a task.
const LIMIT: Duration = Duration::from_secs(300);

/// Time limit from a relay's last renewal until its grants are revoked and usable: the silence limit (4 s), an expiry
/// check, a commit and a waiting caller's next poll.
const DETECTION_LIMIT: Duration = Duration::from_millis(4_800);

/// As `DETECTION_LIMIT`, if the leader fails too: the new leader is elected first and restarts the silence limit of
/// every relay.
const DETECTION_LIMIT_WITH_ELECTION: Duration = Duration::from_millis(7_500);

/// Time limit from a relay's restart until the grants of its previous incarnation are revoked.
const REVOCATION_LIMIT: Duration = Duration::from_millis(2_000);

/// Time limit until a restarted group has a leader and every relay has a lease.
const RECOVERY_LIMIT: Duration = Duration::from_secs(8);

/// Outage of the group or the scorer that exceeds all retry periods of relays.
const LONG_OUTAGE: Duration = Duration::from_secs(80);

/// Time until a request's claim is granted, well below the time for which its relay waits for an engine.
const CLAIM_TIME: Duration = Duration::from_millis(300);

/// Time limit until samples of a relay that cannot reach the scorer are scored elsewhere: the relay's retry period, a
/// call timeout and another run.
const RESCORING_LIMIT: Duration = Duration::from_secs(60);

/// Zone of the scorer, control replicas 0 and 3, and relay 0.
const SCORER_ZONE: usize = 0;
const REPLICAS_IN_SCORER_ZONE: [&str; 2] = ["control-0", "control-3"];

/// Time limit from the kill of all engines until relays have been notified.
const ENGINE_LOSS_DETECTION_LIMIT: Duration = Duration::from_secs(5);

/// Duration of a relay's freeze.
const FROZEN_FOR: Duration = Duration::from_secs(20);

/// Time for a sample on an engine that runs several, with its scoring and delivery.
const SAMPLE_TIME: Duration = Duration::from_secs(4);

/// Number of concurrent proposals that fill the leader's proposal queue.
const FLOOD: usize = 17_000;
/// Time for which the queue is kept full by `TOP_UP` proposals every `FLOOD_PAUSE`.
const FLOOD_TIME: Duration = Duration::from_millis(120);
const TOP_UP: usize = 600;
const FLOOD_PAUSE: Duration = Duration::from_micros(100);

struct Deployment {
    cluster: Rc<Cluster>,
    world: Rc<World>,
    pool: LocalPool,
}

impl Deployment {
    fn start(seed: u64) -> Self {
        let (world, mut pool) = World::new(seed);
        let cluster = Cluster::new(world.clone(), compact(andino()), PolicyName::PrefixAffinity);
        bring_up(&cluster, &world, &mut pool).expect("the deployment starts");
        Self { cluster, world, pool }
    }

    /// Runs a client's task to completion.
    fn run<T: 'static>(&mut self, task: impl Future<Output = T> + 'static) -> T {
        let result = spawn_task(&self.cluster, task);
        let limit = self.world.clock.now() + LIMIT;
        assert!(
            self.world.run(&mut self.pool, limit, || result.borrow().is_some()),
            "the task did not complete in time"
        );
        result.take().expect("the task has completed")
    }
}

type Slot<T> = Rc<RefCell<Option<T>>>;

/// Starts a client's task; the returned cell receives its result.
fn spawn_task<T: 'static>(cluster: &Cluster, task: impl Future<Output = T> + 'static) -> Slot<T> {
    let slot: Slot<T> = Rc::default();
    let task_slot = slot.clone();
    cluster.client_platform().spawn(async move {
        let value = task.await;
        *task_slot.borrow_mut() = Some(value);
    });
    slot
}

fn process(cluster: &Cluster, name: &str) -> Rc<Process> {
    cluster.deployed_process(name).expect("the process was started").process
}

fn kill(cluster: &Cluster, name: &str) {
    process(cluster, name).kill();
    cluster.world.disks.crash(name, || cluster.world.random());
}

fn leader(cluster: &Cluster) -> usize {
    cluster.leader_index().expect("there is a leader")
}

/// A fault of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayFault {
    /// It is killed and not restarted.
    Killed,
    /// It is killed and restarted immediately.
    Restarted,
    /// It is frozen for `FROZEN_FOR`.
    Frozen,
    /// It is killed together with the group's leader.
    KilledWithLeader,
}

impl RelayFault {
    const ALL: [Self; 4] = [Self::Killed, Self::Restarted, Self::Frozen, Self::KilledWithLeader];

    /// Time limit until others may use the relay's grants.
    fn availability_limit(self) -> Duration {
        match self {
            Self::Killed | Self::Frozen => DETECTION_LIMIT,
            Self::Restarted => REVOCATION_LIMIT,
            Self::KilledWithLeader => DETECTION_LIMIT_WITH_ELECTION,
        }
    }

    fn inject(self, cluster: &Rc<Cluster>, index: usize) {
        let name = format!("relay-{index}");
        match self {
            Self::Killed => kill(cluster, &name),
            Self::Restarted => {
                kill(cluster, &name);
                cluster.start_relay(index);
            }
            Self::Frozen => {
                let (platform, frozen) = (cluster.client_platform(), process(cluster, &name));
                frozen.freeze();
                platform.clone().spawn(async move {
                    platform.sleep(FROZEN_FOR).await;
                    frozen.thaw();
                });
            }
            Self::KilledWithLeader => {
                kill(cluster, &name);
                kill(cluster, &format!("control-{}", leader(cluster)));
            }
        }
    }
}

/// A request with an idempotency key that takes about a second.
fn request(cluster: &Cluster, repeatability: Repeatability) -> CallerRequest {
    let tenant = &cluster.deployment.tenants[0];
    CallerRequest {
        tenant: tenant.id.clone(),
        caller: CallerId("clinic".to_string()),
        model: tenant.model.clone(),
        prompt: "a keyed prompt".to_string(),
        max_tokens: 400,
        seed: 1,
        key: Some(RequestKey {
            key: IdempotencyKey("one".to_string()),
            expires_at: cluster.client_platform().unix_milliseconds() + 1_800_000,
        }),
        repeatability,
        priority: Priority::Interactive,
        deadline_milliseconds: 15_000,
    }
}

/// Number of times that engines have started to run `request`.
fn executions(cluster: &Cluster, request: &CallerRequest) -> usize {
    let records = cluster.records.borrow();
    let of_request = |record: &&Record| matches!(record, Record::Execution { prompt, .. } if *prompt == request.prompt);
    records.iter().filter(of_request).count()
}

/// Sends the request to relay 0 and returns once an engine runs it.
async fn send_until_running(cluster: &Rc<Cluster>, request: &CallerRequest) -> Slot<CallerResponse> {
    let platform = cluster.client_platform();
    let (access, first) = (cluster.access(platform.clone()), request.clone());
    let answer = spawn_task(cluster, async move { access.send_request(0, &first).await });
    while executions(cluster, request) == 0 {
        platform.sleep(Duration::from_millis(1)).await;
    }
    answer
}

/// Sends the request to relay 1. Returns the response and the time to its first token or failure.
async fn send_again(cluster: &Rc<Cluster>, request: &CallerRequest) -> (CallerResponse, Duration) {
    let platform = cluster.client_platform();
    let sent_at = platform.monotonic();
    let answer = cluster.access(platform.clone()).send_request(1, request).await;
    let took = match &answer {
        CallerResponse::Complete { first_token_after: Some(after), .. } => *after,
        _ => platform.monotonic() - sent_at,
    };
    (answer, took)
}

fn is_complete(answer: &CallerResponse) -> bool {
    matches!(answer, CallerResponse::Complete { .. })
}

fn has_code(answer: &CallerResponse, code: FailureCode) -> bool {
    matches!(answer, CallerResponse::Failed(failure) if failure.code == code)
}

#[test]
fn the_claim_of_a_lost_relay_is_granted_again_after_detection() {
    for (seed, fault) in SEEDS.flat_map(|seed| RelayFault::ALL.map(|fault| (seed, fault))) {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let (answer, took) = deployment.run(async move {
            let request = request(&cluster, Repeatability::Repeatable);
            send_until_running(&cluster, &request).await;
            fault.inject(&cluster, 0);
            send_again(&cluster, &request).await
        });
        assert!(is_complete(&answer), "seed {seed}, {fault:?}: {answer:?}");
        assert!(took <= fault.availability_limit(), "seed {seed}, {fault:?}: waited {took:?}");
    }
}

#[test]
fn a_non_repeatable_request_of_a_lost_relay_is_rejected_and_runs_once() {
    for (seed, fault) in SEEDS.flat_map(|seed| RelayFault::ALL.map(|fault| (seed, fault))) {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let (answer, took, runs) = deployment.run(async move {
            let request = request(&cluster, Repeatability::NotRepeatable);
            send_until_running(&cluster, &request).await;
            fault.inject(&cluster, 0);
            let (answer, took) = send_again(&cluster, &request).await;
            // Lets a frozen relay resume.
            cluster.client_platform().sleep(FROZEN_FOR).await;
            (answer, took, executions(&cluster, &request))
        });
        assert!(has_code(&answer, FailureCode::EarlierAttemptLost), "seed {seed}, {fault:?}: {answer:?}");
        assert!(took <= fault.availability_limit(), "seed {seed}, {fault:?}: waited {took:?}");
        assert_eq!(runs, 1, "seed {seed}, {fault:?}");
    }
}

#[test]
fn a_response_survives_the_loss_of_the_leader_that_granted_its_claim() {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let (first, (again, took), runs) = deployment.run(async move {
            let request = request(&cluster, Repeatability::NotRepeatable);
            let first = send_until_running(&cluster, &request).await;
            kill(&cluster, &format!("control-{}", leader(&cluster)));
            let again = send_again(&cluster, &request).await;
            (first, again, executions(&cluster, &request))
        });
        assert!(is_complete(&again) && first.borrow().as_ref().is_some_and(is_complete), "seed {seed}: {again:?}");
        assert!(took <= RECOVERY_LIMIT, "seed {seed}: waited {took:?}");
        assert_eq!(runs, 1, "seed {seed}");
    }
}

/// Kills every control replica and restarts all of them after `down`.
async fn restart_group(cluster: &Rc<Cluster>, down: Duration) {
    let replicas = cluster.deployment.control as usize;
    (0..replicas).for_each(|index| kill(cluster, &format!("control-{index}")));
    cluster.client_platform().sleep(down).await;
    (0..replicas).for_each(|index| cluster.start_control(index));
}

#[test]
fn a_response_is_stored_after_a_long_outage_of_the_group() {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let (first, (again, took), runs) = deployment.run(async move {
            let request = request(&cluster, Repeatability::NotRepeatable);
            let first = send_until_running(&cluster, &request).await;
            restart_group(&cluster, LONG_OUTAGE).await;
            cluster.client_platform().sleep(RECOVERY_LIMIT).await;
            let again = send_again(&cluster, &request).await;
            (first, again, executions(&cluster, &request))
        });
        assert!(first.borrow().as_ref().is_some_and(is_complete), "seed {seed}: {first:?}");
        assert!(is_complete(&again), "seed {seed}: after {took:?} {again:?}");
        assert!(took <= REVOCATION_LIMIT, "seed {seed}: waited {took:?}");
        assert_eq!(runs, 1, "seed {seed}");
    }
}

#[test]
fn a_key_is_sealed_after_a_long_outage_of_the_group() {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let (first, (again, took), runs) = deployment.run(async move {
            let platform = cluster.client_platform();
            let engines = 0..cluster.engines.len();
            engines.clone().for_each(|index| kill(&cluster, &format!("engine-{index}")));
            platform.sleep(ENGINE_LOSS_DETECTION_LIMIT).await;
            let request = request(&cluster, Repeatability::NotRepeatable);
            let (access, sent_request) = (cluster.access(platform.clone()), request.clone());
            let first = spawn_task(&cluster, async move { access.send_request(0, &sent_request).await });
            platform.sleep(CLAIM_TIME).await;
            restart_group(&cluster, LONG_OUTAGE).await;
            engines.for_each(|index| cluster.start_engine(index));
            platform.sleep(RECOVERY_LIMIT).await;
            let again = send_again(&cluster, &request).await;
            (first, again, executions(&cluster, &request))
        });
        let undecided = first.borrow().as_ref().is_some_and(|answer| has_code(answer, FailureCode::Undecided));
        assert!(undecided, "seed {seed}: {first:?}");
        assert!(has_code(&again, FailureCode::KeySealed), "seed {seed}: after {took:?} {again:?}");
        assert!(took <= REVOCATION_LIMIT, "seed {seed}: waited {took:?}");
        assert_eq!(runs, 0, "seed {seed}");
    }
}

/// Keeps the leader's proposal queue full for `FLOOD_TIME`.
async fn flood(cluster: &Rc<Cluster>) {
    let deployed = cluster.deployed_process(&format!("control-{}", leader(cluster))).expect("the process was started");
    let Component::Control(node) = deployed.component else {
        panic!("the process does not run a control replica");
    };
    let node = node.borrow().clone().expect("the replica has opened its storage");
    let platform = SimRuntime { world: cluster.world.clone(), process: deployed.process.clone() };
    let until = platform.monotonic() + FLOOD_TIME;
    let mut proposed = FLOOD;
    while platform.monotonic() < until {
        for _ in 0..proposed {
            let node = node.clone();
            platform.spawn(async move {
                let _ = node.commit(Command::Membership(MembershipCommand::IssueFence)).await;
            });
        }
        proposed = TOP_UP;
        platform.sleep(FLOOD_PAUSE).await;
    }
}

#[test]
fn a_response_is_stored_after_the_proposal_queue_was_full() {
    let mut deployment = Deployment::start(SEEDS.start);
    let cluster = deployment.cluster.clone();
    let (first, (again, took), runs) = deployment.run(async move {
        let request = CallerRequest { max_tokens: 16, ..request(&cluster, Repeatability::NotRepeatable) };
        let first = send_until_running(&cluster, &request).await;
        flood(&cluster).await;
        cluster.client_platform().sleep(RECOVERY_LIMIT).await;
        let again = send_again(&cluster, &request).await;
        (first, again, executions(&cluster, &request))
    });
    assert!(first.borrow().as_ref().is_some_and(is_complete), "{first:?}");
    assert!(is_complete(&again), "after {took:?} {again:?}");
    assert!(took <= REVOCATION_LIMIT, "waited {took:?}");
    assert_eq!(runs, 1);
}

#[test]
fn samples_of_a_lost_relay_run_elsewhere_after_detection() {
    for (seed, fault) in SEEDS.flat_map(|seed| RelayFault::ALL.map(|fault| (seed, fault))) {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let took = deployment.run(async move {
            let step = OpenStep::open(cluster.clone(), 0).await;
            fault.inject(&cluster, 0);
            step.fetch_all().await
        });
        let limit = fault.availability_limit() + SAMPLE_TIME;
        assert!(took <= limit, "seed {seed}, {fault:?}: the step was complete after {took:?}");
    }
}

#[test]
fn samples_are_accepted_after_a_long_outage_of_the_group() {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let took = deployment.run(async move {
            let step = OpenStep::open(cluster.clone(), 0).await;
            restart_group(&cluster, LONG_OUTAGE).await;
            step.fetch_all().await
        });
        assert!(took <= RECOVERY_LIMIT, "seed {seed}: the step was complete after {took:?}");
    }
}

#[test]
fn samples_of_a_relay_that_cannot_reach_the_scorer_are_scored_elsewhere() {
    const HOLDER: usize = 1;
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let took = deployment.run(async move {
            // Keeps the leader out of the scorer's zone, so that the partitioned relay still reaches it.
            REPLICAS_IN_SCORER_ZONE.iter().for_each(|name| kill(&cluster, name));
            cluster.client_platform().sleep(RECOVERY_LIMIT).await;
            let step = OpenStep::open(cluster.clone(), HOLDER).await;
            cluster.world.network.partition_between(SCORER_ZONE, HOLDER);
            step.fetch_all().await
        });
        assert!(took <= RESCORING_LIMIT, "seed {seed}: the step was complete after {took:?}");
    }
}

/// Relays that released their samples must detect that the scorer is available again.
#[test]
fn samples_are_scored_soon_after_a_long_outage_of_the_scorer() {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let cluster = deployment.cluster.clone();
        let took = deployment.run(async move {
            let step = OpenStep::open(cluster.clone(), 0).await;
            kill(&cluster, "scorer");
            cluster.client_platform().sleep(LONG_OUTAGE).await;
            cluster.start_scorer();
            step.fetch_all().await
        });
        assert!(took <= SAMPLE_TIME * 3, "seed {seed}: the step was complete after {took:?}");
    }
}
