//! Single faults on the product's real processes, each chosen for a failure that a soak once showed.

use anyhow::{Result, ensure};
use saddlerelay_soak_runner::builds::Builds;
use saddlerelay_soak_runner::case::{Case, PlanKind};
use saddlerelay_soak_runner::deployment::{Deployment, MemberKind, Size};
use saddlerelay_soak_runner::faults::Faults;
use saddlerelay_soak_runner::journal::Journal;
use saddlerelay_soak_runner::links::{Condition, Party};
use saddlerelay_soak_runner::operator::Operator;
use saddlerelay_soak_runner::plan::{Direction, Fault, Overlap, Round};
use saddlerelay_soak_runner::workload::Demands;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// For hangs only.
const PATIENCE: Duration = Duration::from_secs(60);

struct Soaked {
    deployment: Rc<Deployment>,
    faults: Faults,
    operator: Rc<Operator>,
    journal: Journal,
    folder: PathBuf,
}

impl Soaked {
    async fn start(name: &str) -> Result<Self> {
        Self::start_case(name, Case { seed: 0, kind: PlanKind::Single, size: Size::SMALL }).await
    }

    async fn start_case(name: &str, case: Case) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("saddlerelay-soak-{name}-{}", std::process::id()));
        let executable = PathBuf::from(env!("CARGO_BIN_EXE_saddlerelay-soak"));
        let journal = Journal::default();
        let deployment = Deployment::start(Builds::new(executable, None), &folder, journal.clone(), 0, case).await?;
        let operator = Rc::new(Operator::new(deployment.addresses.clone(), journal.clone(), Demands::All));
        let faults = Faults::new(deployment.clone(), Vec::new(), operator.clone(), journal.clone());
        let soaked = Self { deployment, faults, operator, journal, folder };
        soaked.accepts_a_change().await?;
        Ok(soaked)
    }

    async fn accepts_a_change(&self) -> Result<()> {
        let until = Instant::now() + PATIENCE;
        ensure!(self.operator.change(|| Instant::now() < until).await, "no document was accepted");
        Ok(())
    }

    fn violations(&self) -> Vec<String> {
        self.journal.read(|records| records.violations.iter().map(|violation| violation.seen.clone()).collect())
    }
}

impl Drop for Soaked {
    fn drop(&mut self) {
        if std::thread::panicking() || !self.violations().is_empty() {
            println!("its files are in {}", self.folder.display());
            return;
        }
        // What is left behind is the system's temporary folder's.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn block_on(future: impl Future<Output = Result<()>>) -> Result<()> {
    compio::runtime::Runtime::new()?.block_on(future)
}

#[test]
fn a_disk_that_takes_no_more_bytes_ends_no_process() -> Result<()> {
    block_on(async {
        let soaked = Soaked::start("refused-writes").await?;
        for number in 0..3 {
            let fault = Fault::RefuseWrites { number, time: Duration::from_millis(300) };
            let refused = soaked.faults.cause(fault);
            let changed = soaked.accepts_a_change();
            let (refused, changed) = futures::future::join(refused, changed).await;
            refused?;
            changed?;
            soaked.deployment.watch()?;
        }
        assert_eq!(soaked.violations(), Vec::<String>::new());
        soaked.accepts_a_change().await
    })
}

/// Signals at a gateway and at a coordinator that overlap, and what was found broken.
async fn violations_of_overlap(name: &str, overlap: Overlap) -> Result<Vec<String>> {
    let soaked = Soaked::start(name).await?;
    let round = Round { overlap, gap: Duration::from_millis(200), down: Duration::ZERO };
    for party in [Party::Gateway(0), Party::Coordinator(0)] {
        soaked.faults.cause(Fault::Series { party, rounds: vec![round; 2] }).await?;
    }
    soaked.deployment.watch()?;
    soaked.accepts_a_change().await?;
    Ok(soaked.violations())
}

#[test]
fn a_second_signal_to_stop_ends_no_drain() -> Result<()> {
    block_on(async {
        assert_eq!(violations_of_overlap("stop-twice", Overlap::StopTwice).await?, Vec::<String>::new());
        Ok(())
    })
}

#[test]
fn a_reload_ends_no_drain() -> Result<()> {
    block_on(async {
        assert_eq!(violations_of_overlap("reload", Overlap::ReloadWhileStopping).await?, Vec::<String>::new());
        Ok(())
    })
}

#[test]
fn a_stop_during_a_reload_ends_well() -> Result<()> {
    block_on(async {
        assert_eq!(violations_of_overlap("stop-in-reload", Overlap::StopDuringReload).await?, Vec::<String>::new());
        Ok(())
    })
}

#[test]
fn a_process_starts_again_while_its_old_connections_stand() -> Result<()> {
    block_on(async {
        let overlap = Overlap::RestartUnderOldConnections;
        assert_eq!(violations_of_overlap("old-connections", overlap).await?, Vec::<String>::new());
        Ok(())
    })
}

/// A voter is cut off until it has lost its place. Reached again, it hears from the leader that it is no member: from then on it
/// seeks no votes. Before, its log said `votes would not be given` twice a second behind `group announced`.
#[test]
fn a_voter_that_was_removed_while_it_was_cut_off_seeks_no_votes() -> Result<()> {
    const ANNOUNCED: &str = "group announced";
    const SEEKS_VOTES: &str = "votes would not be given";
    block_on(async {
        let case = Case { seed: 0, kind: PlanKind::Single, size: Size { coordinators: 7, gateways: 1 } };
        let soaked = Soaked::start_case("removed-voter", case).await?;
        let deployment = &soaked.deployment;
        let until = Instant::now() + PATIENCE;
        let is_follower = |number: &u8| {
            deployment.membership_of(*number) == MemberKind::Voter && deployment.leader() != Some(*number)
        };
        let voter = loop {
            if let Some(voter) = (0..7).find(is_follower) {
                break voter;
            }
            ensure!(Instant::now() < until, "nobody follows");
            compio::time::sleep(Duration::from_millis(50)).await;
        };
        let party = Party::Coordinator(voter);
        let cut = Fault::Cut {
            party,
            condition: Condition::Silent,
            direction: Direction::Both,
            time: Duration::from_secs(5),
            coordinators_only: true,
        };
        soaked.faults.cause(cut).await?;
        ensure!(deployment.membership_of(voter) == MemberKind::None, "it was not removed");
        let announced = loop {
            let lines = deployment.log_lines(party);
            if let Some(place) = lines.iter().rposition(|line| line.contains(ANNOUNCED)) {
                break place;
            }
            ensure!(Instant::now() < until, "it was told nothing");
            compio::time::sleep(Duration::from_millis(50)).await;
        };
        compio::time::sleep(Duration::from_secs(4)).await;
        let lines = deployment.log_lines(party);
        let sought = lines[announced..].iter().filter(|line| line.contains(SEEKS_VOTES)).count();
        // One round may have been under way.
        ensure!(sought <= 1, "it sought votes {sought} times");
        assert_eq!(soaked.violations(), Vec::<String>::new());
        Ok(())
    })
}

#[test]
fn a_soaks_process_that_ends_by_itself_is_found() -> Result<()> {
    block_on(async {
        let soaked = Soaked::start("ends").await?;
        let stopped = soaked.deployment.with_process(Party::Gateway(0), |child| child.signal_stop());
        ensure!(stopped.is_some(), "it runs");
        let until = Instant::now() + PATIENCE;
        while soaked.violations().is_empty() {
            ensure!(Instant::now() < until, "its end was not found");
            compio::time::sleep(Duration::from_millis(50)).await;
            soaked.deployment.watch()?;
        }
        assert_eq!(soaked.violations(), ["gateway-0"]);
        // It was meant to be found: its files need not be kept.
        soaked.journal.write(|records| records.violations.clear());
        Ok(())
    })
}
