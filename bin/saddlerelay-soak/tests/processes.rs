//! Single faults on the product's processes, each a regression test for a failure found by a soak.

mod fixture;

use anyhow::{Result, ensure};
use fixture::{TEST_TIMEOUT, run_case, run_test};
use saddlerelay_soak_runner::case::{Case, PlanKind};
use saddlerelay_soak_runner::deployment::{MembershipRole, Size};
use saddlerelay_soak_runner::links::{Condition, Party};
use saddlerelay_soak_runner::plan::{Direction, Fault, Overlap, Round};
use std::time::{Duration, Instant};

#[test]
fn a_process_survives_failing_writes() -> Result<()> {
    run_test("refused-writes", async |fixture| {
        for number in 0..3 {
            let fault = Fault::RefuseWrites { number, time: Duration::from_millis(300) };
            let injected = fixture.faults.inject(fault);
            let changed = fixture.accept_change();
            let (injected, changed) = futures::future::join(injected, changed).await;
            injected?;
            changed?;
            fixture.deployment.restart_ended_processes()?;
        }
        assert_eq!(fixture.violations(), Vec::<String>::new());
        fixture.accept_change().await
    })
}

/// Sends overlapping signals to a gateway and a coordinator, which must violate no check.
fn test_overlap(name: &str, overlap: Overlap) -> Result<()> {
    run_test(name, async |fixture| {
        let round = Round { overlap, gap: Duration::from_millis(200), down: Duration::ZERO };
        for party in [Party::Gateway(0), Party::Coordinator(0)] {
            fixture.faults.inject(Fault::Series { party, rounds: vec![round; 2] }).await?;
        }
        fixture.deployment.restart_ended_processes()?;
        fixture.accept_change().await?;
        assert_eq!(fixture.violations(), Vec::<String>::new());
        Ok(())
    })
}

#[test]
fn a_second_stop_signal_does_not_abort_a_drain() -> Result<()> {
    test_overlap("stop-twice", Overlap::StopTwice)
}

#[test]
fn a_reload_signal_does_not_abort_a_drain() -> Result<()> {
    test_overlap("reload", Overlap::ReloadWhileStopping)
}

#[test]
fn a_stop_during_a_reload_succeeds() -> Result<()> {
    test_overlap("stop-in-reload", Overlap::StopDuringReload)
}

#[test]
fn a_process_restarts_while_its_old_connections_are_open() -> Result<()> {
    test_overlap("old-connections", Overlap::RestartUnderOldConnections)
}

/// A voter that is partitioned until it is removed must, once it receives its removal from the leader (`group
/// announced`), start no more pre-votes (`votes would not be given`).
#[test]
fn a_voter_removed_while_partitioned_requests_no_votes() -> Result<()> {
    const REMOVAL_RECEIVED: &str = "group announced";
    const PRE_VOTE_FAILED: &str = "votes would not be given";
    let case = Case { seed: 0, kind: PlanKind::Single, size: Size { coordinators: 7, gateways: 1 } };
    run_case("removed-voter", case, async |fixture| {
        let deployment = &fixture.deployment;
        let deadline = Instant::now() + TEST_TIMEOUT;
        let is_follower = |number: &u8| {
            deployment.membership_of(*number) == MembershipRole::Voter && deployment.leader() != Some(*number)
        };
        let voter = loop {
            if let Some(voter) = (0..7).find(is_follower) {
                break voter;
            }
            ensure!(Instant::now() < deadline, "there is no follower");
            compio::time::sleep(Duration::from_millis(50)).await;
        };
        let party = Party::Coordinator(voter);
        let partition = Fault::Cut {
            party,
            condition: Condition::Silent,
            direction: Direction::Both,
            time: Duration::from_secs(5),
            coordinators_only: true,
        };
        fixture.faults.inject(partition).await?;
        ensure!(deployment.membership_of(voter) == MembershipRole::None, "the voter was not removed");
        let removal_index = loop {
            let lines = deployment.log_lines(party);
            if let Some(index) = lines.iter().rposition(|line| line.contains(REMOVAL_RECEIVED)) {
                break index;
            }
            ensure!(Instant::now() < deadline, "the voter did not receive its removal");
            compio::time::sleep(Duration::from_millis(50)).await;
        };
        compio::time::sleep(Duration::from_secs(4)).await;
        let lines = deployment.log_lines(party);
        let election_attempts = lines[removal_index..].iter().filter(|line| line.contains(PRE_VOTE_FAILED)).count();
        // One election attempt may have been in progress.
        ensure!(election_attempts <= 1, "{election_attempts} election attempts after its removal");
        assert_eq!(fixture.violations(), Vec::<String>::new());
        Ok(())
    })
}

#[test]
fn an_unexpected_process_exit_is_a_violation() -> Result<()> {
    run_test("ends", async |fixture| {
        let stopped = fixture.deployment.with_process(Party::Gateway(0), |child| child.signal_stop());
        ensure!(stopped.is_some(), "the gateway is not running");
        let deadline = Instant::now() + TEST_TIMEOUT;
        while fixture.violations().is_empty() {
            ensure!(Instant::now() < deadline, "the exit of the gateway was not recorded");
            compio::time::sleep(Duration::from_millis(50)).await;
            fixture.deployment.restart_ended_processes()?;
        }
        assert_eq!(fixture.violations(), ["gateway-0"]);
        // The violation is expected, so the files need not be kept.
        fixture.journal.write(|records| records.violations.clear());
        Ok(())
    })
}
