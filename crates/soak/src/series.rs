//! Series of overlapping signals, restarts and reloads of one process.

use crate::faults::{FaultInjector, STOP_SUCCEEDS};
use crate::links::{Condition, Party};
use crate::plan::{ENGINES, Overlap, Round};
use anyhow::Result;
use std::time::Duration;

/// Time limit for the routing change that overlaps with the signals.
const CHANGE_LIMIT: Duration = Duration::from_secs(5);

impl FaultInjector {
    /// Injects a series; skipped if the process is reserved already.
    pub(crate) async fn series(&self, party: Party, rounds: &[Round]) -> Result<()> {
        let Some(_reservation) = self.reserve_for_planned_work(party) else {
            return Ok(());
        };
        for round in rounds {
            let (gap, down) = (round.gap.as_millis(), round.down.as_millis());
            self.log_fault(&format!("{party:?}: {:?}, {gap} ms between, down {down} ms", round.overlap));
            self.overlap(party, round).await?;
        }
        Ok(())
    }

    async fn overlap(&self, party: Party, round: &Round) -> Result<()> {
        if round.overlap == Overlap::RestartUnderOldConnections {
            return self.restart_under_old_connections(party, round).await;
        }
        let planned = self.journal.begin_planned_work(party);
        let ended = self.stop_overlapping(party, round).await;
        self.journal.end_planned_work(planned);
        if let Err(error) = ended {
            self.journal.violation(STOP_SUCCEEDS, format!("{:?}: {error:#}", round.overlap));
        }
        compio::time::sleep(round.down).await;
        self.restart_process(party)
    }

    /// Performs a graceful stop with the additional signals of a round.
    async fn stop_overlapping(&self, party: Party, round: &Round) -> Result<()> {
        if round.overlap == Overlap::StopDuringReload {
            let (operator, until) = (self.operator.clone(), self.journal.now() + CHANGE_LIMIT);
            let journal = self.journal.clone();
            let change = async move { operator.change(|| journal.now() < until).await };
            compio::runtime::spawn(change).detach();
            self.deployment.reload(party).await?;
            compio::time::sleep(round.gap).await;
        }
        let Some(stopping) = self.deployment.begin_stop(party).await else {
            return Ok(());
        };
        if round.overlap != Overlap::StopDuringReload {
            compio::time::sleep(round.gap).await;
        }
        match round.overlap {
            Overlap::StopTwice => stopping.signal_stop_again(),
            Overlap::ReloadWhileStopping => {
                self.deployment.change_settings(party)?;
                stopping.signal_reload();
            }
            Overlap::KillWhileStopping => {
                self.journal.begin_fault(party);
                self.deployment.abort_stop(stopping);
                return Ok(());
            }
            Overlap::StopDuringReload | Overlap::RestartUnderOldConnections => {}
        }
        self.deployment.finish_stop(stopping).await
    }

    /// Kills and restarts a process while its outgoing traffic, including connection closes, is blocked.
    async fn restart_under_old_connections(&self, party: Party, round: &Round) -> Result<()> {
        self.journal.begin_fault(party);
        let mut others = self.deployment.processes();
        others.extend((0..ENGINES).map(Party::Engine));
        others.push(Party::Outside);
        let set = |condition| others.iter().for_each(|other| self.deployment.links.set(party, *other, condition));
        set(Condition::Silent);
        self.deployment.kill(party);
        self.restart_process(party)?;
        compio::time::sleep(round.gap + round.down).await;
        set(Condition::Open);
        self.journal.record_resumption();
        Ok(())
    }
}
