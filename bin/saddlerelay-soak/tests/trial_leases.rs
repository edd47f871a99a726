//! Trial leases with real coordinators: a running holder keeps its lease while the leader is paused.

mod fixture;

use anyhow::{Result, ensure};
use fixture::{TEST_TIMEOUT, run_case};
use futures::future::{self, Either};
use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::trials::TrialLeases;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_soak_runner::case::{Case, PlanKind};
use saddlerelay_soak_runner::deployment::{Deployment, MembershipRole, SECRET, Size};
use saddlerelay_soak_runner::links::Party;
use saddlerelay_soak_runner::plan::Fault;
use saddlerelay_types::gateway::GatewayRequest;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, TRIAL_RETRY_AFTER, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Three voters, a learner, and six coordinators outside the group, which redirect callers to the announced leader.
const SIZE: Size = Size { coordinators: 10, gateways: 1 };

/// Number of times that the leader is paused.
const PAUSES: u32 = 6;

/// Longer than an election, after which another coordinator leads.
const PAUSE: Duration = Duration::from_secs(4);

/// Time for the paused leader to rejoin the group.
const REJOIN_TIME: Duration = Duration::from_secs(2);

/// Difference between the moments of two pauses, to meet different phases of the renewals.
const PHASE_STEP: Duration = Duration::from_millis(90);

/// Time for which a lease is requested.
const LIMIT: Duration = Duration::from_secs(120);

fn work() -> WorkDigest {
    WorkDigest::of_post_request(None, "host", "/rollouts", b"an item")
}

#[derive(Default)]
struct HolderState {
    runs: Cell<bool>,
    stopped: Cell<bool>,
}

/// Requests the lease repeatedly, and runs the work while holding it.
async fn run_work(control: ControlClient<CompioRuntime>, state: Rc<HolderState>) {
    let trial_leases = TrialLeases::start(CompioRuntime::without_files(), control);
    while !state.stopped.get() {
        if let Some(guard) = trial_leases.begin(work(), LIMIT).await {
            state.runs.set(true);
            let stopped = async {
                while !state.stopped.get() {
                    compio::time::sleep(Duration::from_millis(10)).await;
                }
            };
            future::select(pin!(guard.lost()), pin!(stopped)).await;
            state.runs.set(false);
        }
        compio::time::sleep(TRIAL_RETRY_AFTER).await;
    }
}

fn client(deployment: &Deployment) -> ControlClient<CompioRuntime> {
    let addresses: Vec<_> = (0..SIZE.coordinators).rev().map(|number| deployment.addresses.peer(number)).collect();
    ControlClient::new(CompioRuntime::without_files(), &addresses, SECRET)
}

async fn suspect_work(deployment: &Deployment) -> Result<()> {
    let loss = EngineLoss { work: work(), instance: InstanceId::without_start_time("engine") };
    let evidence = GatewayRequest::ReportEvidence(WorkEvidence { losses: vec![loss], served: Vec::new() });
    let reply = client(deployment).gateway(evidence, TEST_TIMEOUT, Duration::from_secs(1)).await;
    ensure!(reply.is_ok(), "the evidence was not committed: {reply:?}");
    Ok(())
}

async fn wait_until(condition: impl Fn() -> bool, what: &str) -> Result<()> {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        ensure!(Instant::now() < deadline, "not in time: {what}");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Returns once the first holder does not run the work alone.
async fn watch_holders(first: &HolderState, second: &HolderState) -> String {
    while first.runs.get() && !second.runs.get() {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    format!("first runs: {}, second runs: {}", first.runs.get(), second.runs.get())
}

/// Guards against a second holder: coordinators outside the group redirected the holder's renewals to the paused leader
/// until the lease had expired.
#[test]
fn a_running_holder_keeps_its_lease_when_the_leader_is_paused() -> Result<()> {
    run_case("trial-leases", Case { seed: 0, kind: PlanKind::Single, size: SIZE }, async |fixture| {
        let deployment = &fixture.deployment;
        let voters = || {
            let is_voter = |number: &u8| deployment.membership_of(*number) == MembershipRole::Voter;
            (0..SIZE.coordinators).filter(is_voter).count()
        };
        wait_until(|| deployment.leader().is_some() && voters() == 3, "a group of three voters").await?;
        suspect_work(deployment).await?;

        let (first, second) = (Rc::<HolderState>::default(), Rc::<HolderState>::default());
        compio::runtime::spawn(run_work(client(deployment), first.clone())).detach();
        wait_until(|| first.runs.get(), "the first holder runs the work").await?;
        compio::runtime::spawn(run_work(client(deployment), second.clone())).detach();

        let pauses = async {
            for number in 0..PAUSES {
                compio::time::sleep(REJOIN_TIME + PHASE_STEP * number).await;
                let leader = deployment.leader().expect("a coordinator has led");
                fixture.faults.inject(Fault::Freeze { party: Party::Coordinator(leader), time: PAUSE }).await?;
            }
            anyhow::Ok(())
        };
        let result = match future::select(pin!(pauses), pin!(watch_holders(&first, &second))).await {
            Either::Left((paused, _)) => paused,
            Either::Right((observed, _)) => panic!("the first holder is not the only one: {observed}"),
        };
        first.stopped.set(true);
        second.stopped.set(true);
        assert_eq!(fixture.violations(), Vec::<String>::new());
        result
    })
}
