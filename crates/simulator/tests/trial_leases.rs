//! Trial leases: at most one process at a time may run suspected work, and its lease expires soon after the process
//! ends. Two processes request the same lease while the holder is killed, frozen or partitioned, or the leader is lost.

mod control_group;

use control_group::{Deployment, REPLICAS, SECRET, address, configured_addresses};
use futures::future::{self, Either};
use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::trials::TrialLeases;
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::Process;
use saddlerelay_types::gateway::GatewayRequest;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, TRIAL_LEASE, TRIAL_RETRY_AFTER, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// Seeds that spread the time of a fault over several renewals, so that it meets each phase of their interval.
const SPREAD_SEEDS: std::ops::Range<u64> = 0..200;

/// Time for which a lease is requested.
const LIMIT: Duration = Duration::from_secs(40);

/// Time limit from the end of a holder to the grant to the next: a lease, an expiry check, a retry interval and a
/// commit.
const GRANT_LIMIT: Duration = Duration::from_millis(2_600);

/// As `GRANT_LIMIT`, with an election before the grant.
const GRANT_LIMIT_AFTER_ELECTION: Duration = Duration::from_secs(5);

/// Zone of the first holder and of replica 8.
const FIRST_ZONE: usize = 8;

/// Zone of the second holder and of replica 9.
const SECOND_ZONE: usize = 9;

fn work() -> WorkDigest {
    WorkDigest::of_post_request(None, "host", "/rollouts", b"an item")
}

/// State of a holder.
#[derive(Default)]
struct HolderState {
    /// When it was granted the lease and started the work; `None` while it does not hold the lease.
    running_since: Cell<Option<Duration>>,
    /// Whether it was notified of the loss of its lease.
    lost: Cell<bool>,
    /// Set by the test to release the lease and stop.
    stop_requested: Cell<bool>,
    /// Whether its lease permits it to start an attempt.
    may_start_attempt: Cell<bool>,
}

struct Holder {
    process: Rc<Process>,
    state: Rc<HolderState>,
}

impl Holder {
    fn start(deployment: &Deployment, name: &str, zone: usize) -> Self {
        let process = deployment.world.start_process(name, zone, 0);
        let runtime = SimRuntime { world: deployment.world.clone(), process: process.clone() };
        let state = Rc::new(HolderState::default());
        deployment.world.spawn(&process, run_work(runtime, state.clone()));
        Self { process, state }
    }

    /// Whether an engine runs the work for it; killing the process ends the work.
    fn runs(&self) -> bool {
        self.process.is_alive() && self.state.running_since.get().is_some()
    }
}

/// Requests the lease repeatedly and runs the work while holding it.
async fn run_work(runtime: SimRuntime, state: Rc<HolderState>) {
    let control = ControlClient::new(runtime.clone(), &(1..=REPLICAS).map(address).collect::<Vec<_>>(), SECRET);
    let trial_leases = TrialLeases::start(runtime.clone(), control);
    while !state.stop_requested.get() {
        if let Some(guard) = trial_leases.begin(work(), LIMIT).await {
            state.running_since.set(Some(runtime.monotonic()));
            let stops = async {
                while !state.stop_requested.get() {
                    state.may_start_attempt.set(guard.is_held());
                    runtime.sleep(Duration::from_millis(10)).await;
                }
            };
            if let Either::Left(_) = future::select(pin!(guard.lost()), pin!(stops)).await {
                state.lost.set(true);
            }
            state.may_start_attempt.set(false);
            state.running_since.set(None);
        }
        runtime.sleep(TRIAL_RETRY_AFTER).await;
    }
}

/// A group that suspects the work, the holder of its trial lease, and a second process that requests it.
struct Fixture {
    deployment: Deployment,
    first: Holder,
    second: Holder,
    seed: u64,
}

impl Fixture {
    fn start(seed: u64) -> Self {
        Self::start_in(Deployment::start(seed), seed)
    }

    fn start_in(mut deployment: Deployment, seed: u64) -> Self {
        let process = deployment.world.start_process("witness", 0, 0);
        let runtime = SimRuntime { world: deployment.world.clone(), process: process.clone() };
        deployment.world.spawn(&process, async move {
            let control = ControlClient::new(runtime, &configured_addresses(), SECRET);
            let loss = EngineLoss { work: work(), instance: InstanceId::without_start_time("engine") };
            let evidence = GatewayRequest::ReportEvidence(WorkEvidence { losses: vec![loss], served: Vec::new() });
            let limit = Duration::from_secs(5);
            control.gateway(evidence, limit, limit).await.expect("the group commits the evidence");
        });
        deployment.run_for(Duration::from_millis(500));
        let first = Holder::start(&deployment, "first", FIRST_ZONE);
        deployment.run_for(Duration::from_millis(500));
        assert!(first.runs(), "seed {seed}: the lease was not granted without contention");
        let second = Holder::start(&deployment, "second", SECOND_ZONE);
        // The lease has been renewed by now; the phase of the renewals depends on the seed.
        deployment.run_for(Duration::from_millis(1_000 + seed * 40));
        Self { deployment, first, second, seed }
    }

    /// Waits until the second process is granted the lease; returns how long that took.
    fn await_second_grant(&mut self, within: Duration) -> Duration {
        let since = self.now();
        while !self.second.runs() {
            assert!(
                self.now() < since + within,
                "seed {}: the lease was not granted to the second process within {within:?}",
                self.seed
            );
            self.deployment.run_for(Duration::from_millis(20));
        }
        self.now().saturating_sub(since)
    }

    /// Checks that the first holder keeps the lease for `time`.
    fn check_first_keeps_lease(&mut self, time: Duration) {
        let until = self.now() + time;
        while self.now() < until {
            self.deployment.run_for(Duration::from_millis(20));
            assert!(
                self.first.runs() && !self.second.runs(),
                "seed {}: the first holder is not the only one that runs the work",
                self.seed
            );
        }
        assert!(!self.first.state.lost.get(), "seed {}", self.seed);
    }

    fn now(&self) -> Duration {
        self.deployment.world.clock.now()
    }

    fn leader_index(&self) -> u8 {
        self.deployment.leader_index().expect("there is a leader")
    }

    fn kill_leader(&mut self) {
        let index = self.leader_index();
        self.deployment.replicas[&index].process.kill();
        self.deployment.replicas.remove(&index);
    }
}

#[test]
fn the_lease_of_a_killed_holder_is_granted_to_another() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        fixture.check_first_keeps_lease(Duration::from_secs(3));
        fixture.first.process.kill();
        fixture.await_second_grant(GRANT_LIMIT);
    }
}

#[test]
fn the_lease_of_a_holder_killed_with_the_leader_is_granted_to_another() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        fixture.first.process.kill();
        fixture.kill_leader();
        fixture.await_second_grant(GRANT_LIMIT_AFTER_ELECTION);
    }
}

#[test]
fn the_lease_of_a_holder_killed_with_the_group_is_granted_to_another() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        fixture.first.process.kill();
        for index in 1..=REPLICAS {
            if let Some(replica) = fixture.deployment.replicas.remove(&index) {
                replica.process.kill();
            }
        }
        fixture.deployment.run_for(Duration::from_secs(1));
        (1..=REPLICAS).for_each(|index| fixture.deployment.start_replica(index, false));
        fixture.await_second_grant(GRANT_LIMIT_AFTER_ELECTION);
    }
}

/// A running holder keeps its lease also while there is no leader.
#[test]
fn a_running_holder_keeps_its_lease_across_the_loss_of_the_leader() {
    for seed in SPREAD_SEEDS {
        let mut fixture = Fixture::start(seed);
        fixture.kill_leader();
        fixture.check_first_keeps_lease(Duration::from_secs(8));
        fixture.first.state.stop_requested.set(true);
        let took = fixture.await_second_grant(GRANT_LIMIT);
        assert!(took < TRIAL_LEASE, "seed {seed}: the lease was released, but the next grant took {took:?}");
    }
}

/// The work of a frozen holder keeps running at its engine. The lease is granted to another only after it has expired,
/// and the holder stops its work when it resumes.
#[test]
fn a_frozen_holder_loses_its_lease_and_stops_its_work_on_resuming() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        let renewed_before = fixture.now();
        fixture.first.process.freeze();
        let took = fixture.await_second_grant(GRANT_LIMIT);
        let running_time = fixture
            .now()
            .saturating_sub(fixture.first.state.running_since.get().expect("the first holder runs the work"));
        assert!(running_time > TRIAL_LEASE, "seed {seed}");
        assert!(took + Duration::from_secs(1) > TRIAL_LEASE, "seed {seed}: {took:?} after {renewed_before:?}");
        fixture.deployment.run_for(Duration::from_secs(3));
        fixture.first.process.thaw();
        fixture.deployment.run_for(Duration::from_millis(700));
        assert!(fixture.first.state.lost.get(), "seed {seed}: the holder was not notified of the loss of its lease");
        assert!(fixture.second.runs() && !fixture.first.runs(), "seed {seed}");
    }
}

/// The partition drops the request that releases the lease.
#[test]
fn a_lease_that_cannot_be_released_is_granted_to_another() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        fixture.deployment.world.network.partition(FIRST_ZONE, false);
        fixture.first.state.stop_requested.set(true);
        fixture.await_second_grant(GRANT_LIMIT);
    }
}

/// The time in the log never decreases: after a leader whose wall clock is an hour ahead it does not advance for an
/// hour.
#[test]
fn wall_clocks_that_differ_by_an_hour_do_not_extend_a_lease() {
    const HOUR_MS: i64 = 3_600_000;
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        for index in 1..=REPLICAS {
            deployment.replicas.remove(&index).expect("the process is running").process.kill();
            deployment.clock_errors.insert(index, ((seed as i64 + i64::from(index)) % 3 - 1) * HOUR_MS);
        }
        deployment.run_for(Duration::from_secs(1));
        (1..=REPLICAS).for_each(|index| deployment.start_replica(index, false));
        deployment.run_for(Duration::from_secs(3));
        let mut fixture = Fixture::start_in(deployment, seed);
        fixture.first.process.kill();
        fixture.kill_leader();
        fixture.await_second_grant(GRANT_LIMIT_AFTER_ELECTION);
    }
}

/// Calls to a frozen leader time out, whereas calls to a killed one are refused.
#[test]
fn a_running_holder_keeps_its_lease_when_the_leader_is_frozen() {
    for seed in SPREAD_SEEDS {
        let mut fixture = Fixture::start(seed);
        let index = fixture.leader_index();
        fixture.deployment.replicas[&index].process.freeze();
        fixture.check_first_keeps_lease(Duration::from_secs(8));
    }
}

#[test]
fn a_running_holder_keeps_its_lease_when_the_leader_is_partitioned() {
    for seed in SPREAD_SEEDS {
        let mut fixture = Fixture::start(seed);
        let index = fixture.leader_index();
        fixture.deployment.world.network.partition(index.into(), false);
        fixture.check_first_keeps_lease(Duration::from_secs(8));
    }
}

/// A leader that resumes has unprocessed renewals in its queue.
#[test]
fn a_running_holder_keeps_its_lease_when_the_leader_is_frozen_briefly() {
    for (number, frozen_ms) in (0..).zip([900, 1_300, 1_700, 2_500]) {
        let spread_seeds = SPREAD_SEEDS.skip(24).filter(|seed| seed % 4 == number);
        for seed in SEEDS.chain(spread_seeds) {
            let mut fixture = Fixture::start(seed);
            let index = fixture.leader_index();
            fixture.deployment.replicas[&index].process.freeze();
            fixture.check_first_keeps_lease(Duration::from_millis(frozen_ms));
            fixture.deployment.replicas[&index].process.thaw();
            fixture.check_first_keeps_lease(Duration::from_secs(4));
        }
    }
}

/// The timers of a suspended machine fire late, and must not let it use an expired lease.
#[test]
fn a_suspended_holder_starts_nothing_with_an_expired_lease() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        let now = fixture.now();
        fixture.first.process.suspend(now);
        fixture.await_second_grant(GRANT_LIMIT);
        fixture.deployment.run_for(Duration::from_secs(3));
        let now = fixture.now();
        fixture.first.process.resume(now);
        let mut both = Duration::ZERO;
        for _ in 0..150 {
            fixture.deployment.run_for(Duration::from_millis(10));
            let (first, second) = (&fixture.first, &fixture.second);
            both += Duration::from_millis(10) * u32::from(first.state.may_start_attempt.get() && second.runs());
        }
        assert!(fixture.first.state.lost.get(), "seed {seed}: the holder was not notified of the loss of its lease");
        assert!(both < Duration::from_millis(20), "seed {seed}: two holders could start attempts for {both:?}");
    }
}

/// The new leader's wall clock is an hour ahead of the old one's.
#[test]
fn a_running_holder_keeps_its_lease_when_the_next_leaders_clock_is_an_hour_ahead() {
    const HOUR_MS: i64 = 3_600_000;
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        let clock_error = |index: u8| if (u64::from(index) + seed) % 3 == 0 { 0 } else { HOUR_MS };
        for index in 1..=REPLICAS {
            deployment.replicas.remove(&index).expect("the process is running").process.kill();
            deployment.clock_errors.insert(index, clock_error(index));
        }
        deployment.run_for(Duration::from_secs(1));
        (1..=REPLICAS).for_each(|index| deployment.start_replica(index, false));
        deployment.run_for(Duration::from_secs(3));
        let mut fixture = Fixture::start_in(deployment, seed);
        fixture.kill_leader();
        fixture.check_first_keeps_lease(Duration::from_secs(8));
    }
}

/// Guards against a stalled request that holds its lease for as long as its connection stays open.
#[test]
fn a_lease_is_not_renewed_beyond_its_requested_time() {
    for seed in SEEDS.take(4) {
        let mut fixture = Fixture::start(seed);
        fixture.await_second_grant(LIMIT + GRANT_LIMIT);
    }
}

/// A holder that is partitioned from the group must start its last attempt long enough before the lease is granted to
/// another that a crash caused by the attempt is observed first.
#[test]
fn a_partitioned_holder_stops_starting_work_before_the_next_grant() {
    const CRASH_DETECTION_TIME: Duration = Duration::from_millis(200);
    for seed in SPREAD_SEEDS {
        let mut fixture = Fixture::start(seed);
        fixture.deployment.world.network.partition(FIRST_ZONE, false);
        let mut last_possible_start = fixture.now();
        while !fixture.second.runs() {
            fixture.deployment.run_for(Duration::from_millis(5));
            if fixture.first.state.may_start_attempt.get() {
                last_possible_start = fixture.now();
            }
        }
        let margin = fixture.now().saturating_sub(last_possible_start);
        assert!(
            margin > CRASH_DETECTION_TIME,
            "seed {seed}: the lease was granted to the second process only {margin:?} after the first holder's last possible start"
        );
    }
}
