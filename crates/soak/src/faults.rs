//! Injects planned faults and heals them.

use crate::convergence::ConvergenceCheck;
use crate::deployment::{Deployment, MembershipRole, SEED_COORDINATORS};
use crate::engine::{Engine, EngineBehavior, OrderBehavior};
use crate::journal::{Journal, Moment};
use crate::links::{Condition, Party};
use crate::operator::{self, Operator};
use crate::plan::{Direction, ENGINES, End, Fault, LeaderFault};
use anyhow::Result;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use saddlerelay_fleet_runner::process::RunningChild;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Time after a coordinator's fault until its group tolerates a disk loss again.
const REPAIR_TIME: Duration = Duration::from_secs(8);

/// Downtime of an engine that its work has crashed.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);

/// Time without contact after which the group removes a learner; a voter is replaced after 1.5 s.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(12);

/// Pause after a membership change, during which the group adds the next learner.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Downtime of processes that are killed together.
const KILL_ALL_DOWNTIME: Duration = Duration::from_millis(500);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A process that receives a stop signal ends with a successful exit status.
pub const STOP_SUCCEEDS: &str = "a process that receives a stop signal ends successfully";

/// File of a coordinator's write-ahead log.
const WAL_FILE: &str = "wal";

/// Size of a log record header and of the length field at its start, in bytes.
const RECORD_HEADER_BYTES: usize = 12;
const RECORD_LENGTH_BYTES: usize = 4;

/// File size limit that makes writes fail, in bytes.
const FILE_SIZE_LIMIT: u64 = 1;

/// Injects faults into a deployment and its engines.
pub struct FaultInjector {
    pub(crate) deployment: Rc<Deployment>,
    engines: Vec<Engine>,
    pub(crate) operator: Rc<Operator>,
    pub(crate) journal: Journal,
    /// Parties with a fault or planned work in progress.
    reserved: RefCell<BTreeSet<Party>>,
    /// End of the latest fault of a coordinator.
    coordinators_healed_at: Cell<Moment>,
}

/// Reservation of a party for one fault or planned operation; released on drop.
pub(crate) struct Reservation<'a> {
    faults: &'a FaultInjector,
    pub(crate) party: Party,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.faults.reserved.borrow_mut().remove(&self.party);
        self.faults.journal.end_faults(self.party);
        if matches!(self.party, Party::Coordinator(_)) {
            self.faults.coordinators_healed_at.set(self.faults.journal.now());
        }
    }
}

impl FaultInjector {
    /// Creates an injector for a deployment and its engines.
    pub fn new(deployment: Rc<Deployment>, engines: Vec<Engine>, operator: Rc<Operator>, journal: Journal) -> Self {
        let coordinators_healed_at = Cell::new(journal.now());
        Self { deployment, engines, operator, journal, reserved: RefCell::default(), coordinators_healed_at }
    }

    /// Reserves a party for a fault; `None` if it is reserved already.
    pub(crate) fn reserve(&self, party: Party) -> Option<Reservation<'_>> {
        let reservation = self.reserve_for_planned_work(party)?;
        self.journal.begin_fault(party);
        Some(reservation)
    }

    /// Reserves a party for planned work, which is not recorded as a fault.
    pub(crate) fn reserve_for_planned_work(&self, party: Party) -> Option<Reservation<'_>> {
        self.reserved.borrow_mut().insert(party).then(|| Reservation { faults: self, party })
    }

    /// Reserves every process, waiting for those with a fault in progress.
    pub(crate) async fn reserve_all(&self) -> Vec<Reservation<'_>> {
        let mut reservations = Vec::new();
        for party in self.deployment.processes() {
            loop {
                if let Some(reservation) = self.reserve(party) {
                    reservations.push(reservation);
                    break;
                }
                compio::time::sleep(POLL_INTERVAL).await;
            }
        }
        reservations
    }

    /// Whether the group tolerates the loss of a disk now: no coordinator has or recently had a fault.
    fn tolerates_disk_loss(&self) -> bool {
        let has_fault = self.reserved.borrow().iter().any(|party| matches!(party, Party::Coordinator(_)));
        !has_fault && self.journal.now() > self.coordinators_healed_at.get() + REPAIR_TIME
    }

    /// Injects a fault and heals it. A fault that is not applicable at this moment is skipped.
    pub async fn inject(&self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Restart { party, end, down } => self.restart(party, end, down).await,
            Fault::ReplaceBuild { party, build, end, down } => {
                self.deployment.choose_build(party, build);
                self.log_fault(&format!("{party:?}: {build:?} from its next start on"));
                self.restart_once_free(party, end, down).await
            }
            Fault::KillAll { down } => self.kill_all(down).await,
            Fault::Series { party, rounds } => self.series(party, &rounds).await,
            Fault::Suspend { parties, time } => {
                self.suspend(&parties, time).await;
                Ok(())
            }
            Fault::ReplaceMembers => self.replace_members().await,
            Fault::Freeze { party, time } => {
                self.freeze(party, time).await;
                Ok(())
            }
            Fault::Cut { party, condition, direction, time, coordinators_only } => {
                self.cut(party, condition, direction, time, coordinators_only).await;
                Ok(())
            }
            Fault::RefuseWrites { number, time } => {
                self.refuse_writes(Party::Coordinator(number), time).await;
                Ok(())
            }
            Fault::LossyZone(zone) => self.inject_packet_loss(zone).await,
            Fault::HarmLeader(leader_fault) => self.inject_leader_fault(leader_fault).await,
            engine_fault => {
                self.inject_engine_fault(engine_fault).await;
                Ok(())
            }
        }
    }

    pub(crate) fn log_fault(&self, fault: &str) {
        self.journal.record_fault(fault.to_string());
    }

    /// Waits for faults in progress at `party` to end before the restart.
    async fn restart_once_free(&self, party: Party, end: End, down: Duration) -> Result<()> {
        while self.reserved.borrow().contains(&party) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        self.restart(party, end, down).await
    }

    async fn restart(&self, party: Party, end: End, down: Duration) -> Result<()> {
        let end = if end == End::LoseDisk && !self.tolerates_disk_loss() { End::Kill } else { end };
        let reservation = if end == End::Stop { self.reserve_for_planned_work(party) } else { self.reserve(party) };
        let Some(_reservation) = reservation else {
            return Ok(());
        };
        self.log_fault(&format!("{party:?}: {end:?}, down {} ms", down.as_millis()));
        match end {
            End::Stop => {
                let planned = self.journal.begin_planned_work(party);
                if let Err(error) = self.deployment.stop(party).await {
                    self.journal.violation(STOP_SUCCEEDS, format!("{error:#}"));
                }
                self.journal.end_planned_work(planned);
            }
            End::Kill | End::LoseDisk | End::TearLog => {
                self.deployment.kill(party);
            }
        }
        let folder = self.deployment.data_folder(party);
        match end {
            End::LoseDisk => std::fs::remove_dir_all(&folder)?,
            End::TearLog => append_torn_record(&folder)?,
            End::Kill | End::Stop => {}
        }
        compio::time::sleep(down).await;
        self.restart_process(party)
    }

    /// Restarts a process that has ended.
    pub(crate) fn restart_process(&self, party: Party) -> Result<()> {
        self.deployment.write_settings(party, false)?;
        self.deployment.start_process(party)
    }

    async fn kill_all(&self, down: Duration) -> Result<()> {
        let coordinators = (0..self.deployment.addresses.size.coordinators).map(Party::Coordinator);
        let reservations: Vec<Reservation> = coordinators.filter_map(|party| self.reserve(party)).collect();
        self.log_fault(&format!("{} coordinators killed at once, down {} ms", reservations.len(), down.as_millis()));
        self.kill_together(reservations.iter().map(|reservation| reservation.party), down).await
    }

    /// Kills processes simultaneously and restarts them after `down`.
    pub(crate) async fn kill_together(
        &self,
        parties: impl Iterator<Item = Party> + Clone,
        down: Duration,
    ) -> Result<()> {
        for party in parties.clone() {
            self.deployment.kill(party);
        }
        compio::time::sleep(down).await;
        for party in parties {
            self.restart_process(party)?;
        }
        Ok(())
    }

    /// Kills the coordinators listed in the settings one after the other, each once the previous one is no longer a
    /// member, and restarts them. Then kills every process and restarts it with the same settings.
    async fn replace_members(&self) -> Result<()> {
        let reservations = self.reserve_all().await;
        let seed_coordinators = (0..SEED_COORDINATORS).map(Party::Coordinator);
        for number in 0..SEED_COORDINATORS {
            self.log_fault(&format!("coordinator {number} is killed, to be replaced"));
            self.deployment.kill(Party::Coordinator(number));
            self.wait_for_replacement(number).await;
            compio::time::sleep(SETTLE_TIME).await;
        }
        for party in seed_coordinators {
            self.restart_process(party)?;
        }
        compio::time::sleep(SETTLE_TIME).await;
        self.log_fault(&format!("all processes are killed; members: {}", self.deployment.newest_members()));
        self.kill_together(reservations.iter().map(|reservation| reservation.party), KILL_ALL_DOWNTIME).await
    }

    /// Checks that a killed voter loses its vote in time, and that it is removed from the group at the latest
    /// [`LEARNER_TIMEOUT`] after that.
    async fn wait_for_replacement(&self, number: u8) {
        const INVARIANT: &str = "a failed member is replaced";
        let membership = || self.deployment.membership_of(number);
        let is_not_voter = || async { membership() != MembershipRole::Voter };
        let replaced = ConvergenceCheck::begin(INVARIANT, &self.journal);
        replaced.wait_for(format!("coordinator {number} is no longer a voter"), is_not_voter).await;
        let is_not_member = || async { membership() == MembershipRole::None };
        let removed = ConvergenceCheck::begin_after(LEARNER_TIMEOUT, INVARIANT, &self.journal);
        removed.wait_for(format!("coordinator {number} is no longer a member"), is_not_member).await;
    }

    async fn suspend(&self, parties: &[Party], time: Duration) {
        let reservations: Vec<Reservation> = parties.iter().filter_map(|party| self.reserve(*party)).collect();
        let reserved: Vec<Party> = reservations.iter().map(|reservation| reservation.party).collect();
        self.log_fault(&format!("{reserved:?}: suspended for {} ms", time.as_millis()));
        for party in &reserved {
            self.deployment.with_process(*party, RunningChild::freeze);
        }
        compio::time::sleep(time).await;
        for party in &reserved {
            self.deployment.with_process(*party, RunningChild::thaw);
        }
        self.journal.record_resumption();
    }

    async fn freeze(&self, party: Party, time: Duration) {
        let Some(_reservation) = self.reserve(party) else {
            return;
        };
        self.log_fault(&format!("{party:?}: frozen for {} ms", time.as_millis()));
        self.deployment.with_process(party, RunningChild::freeze);
        compio::time::sleep(time).await;
        self.deployment.with_process(party, RunningChild::thaw);
        self.journal.record_resumption();
    }

    async fn cut(
        &self,
        party: Party,
        condition: Condition,
        direction: Direction,
        time: Duration,
        coordinators_only: bool,
    ) {
        let mut others = self.deployment.processes();
        if coordinators_only {
            others.retain(|other| matches!(other, Party::Coordinator(_)));
        } else {
            others.extend((0..ENGINES).map(Party::Engine));
        }
        self.cut_from(party, others, condition, direction, time).await;
    }

    async fn cut_from(
        &self,
        party: Party,
        mut others: Vec<Party>,
        condition: Condition,
        direction: Direction,
        time: Duration,
    ) {
        let Some(_reservation) = self.reserve(party) else {
            return;
        };
        others.retain(|other| *other != party);
        let (milliseconds, count) = (time.as_millis(), others.len());
        self.log_fault(&format!("{party:?}: {condition:?} {direction:?} for {milliseconds} ms, {count} others"));
        self.set_links(party, &others, direction, condition);
        compio::time::sleep(time).await;
        self.set_links(party, &others, direction, Condition::Open);
        self.journal.record_resumption();
    }

    /// Injects a fault into the current leader. Skipped if there is none or it is reserved already.
    async fn inject_leader_fault(&self, leader_fault: LeaderFault) -> Result<()> {
        let Some(number) = self.deployment.leader() else {
            return Ok(());
        };
        let party = Party::Coordinator(number);
        self.log_fault(&format!("{party:?} leads"));
        match leader_fault {
            LeaderFault::Kill(down) => self.restart(party, End::Kill, down).await?,
            LeaderFault::Freeze(time) => self.freeze(party, time).await,
            LeaderFault::CutFromProcesses(time) => {
                let processes = self.deployment.processes();
                self.cut_from(party, processes, Condition::Silent, Direction::Both, time).await;
            }
            LeaderFault::CutFromAll(time) => {
                self.cut(party, Condition::Silent, Direction::Both, time, false).await;
            }
            LeaderFault::RefuseWrites(time) => self.refuse_writes(party, time).await,
        }
        Ok(())
    }

    fn set_links(&self, party: Party, others: &[Party], direction: Direction, condition: Condition) {
        for other in others {
            if direction != Direction::In {
                self.deployment.links.set(party, *other, condition);
            }
            if direction != Direction::Out {
                self.deployment.links.set(*other, party, condition);
            }
        }
    }

    async fn refuse_writes(&self, party: Party, time: Duration) {
        let Some(_reservation) = self.reserve(party) else {
            return;
        };
        self.log_fault(&format!("{party:?}: writes refused for {} ms", time.as_millis()));
        let process = self.deployment.with_process(party, |child| child.id());
        let Some(process) = process.and_then(|process| Pid::from_raw(process as i32)) else {
            return;
        };
        let limit = Rlimit { current: Some(FILE_SIZE_LIMIT), maximum: None };
        let Ok(previous_limit) = prlimit(Some(process), Resource::Fsize, limit) else {
            return;
        };
        compio::time::sleep(time).await;
        if self.deployment.is_running(party) {
            // The process may have ended, and its limit with it.
            let _ = prlimit(Some(process), Resource::Fsize, previous_limit);
        }
    }

    async fn inject_engine_fault(&self, fault: Fault) {
        let number = match fault {
            Fault::CrashEngine { number, .. }
            | Fault::EndEngine { number, .. }
            | Fault::ReplaceEngine { number }
            | Fault::Misconduct { number, .. }
            | Fault::LateOrders { number, .. } => number,
            _ => return,
        };
        let Some(_reservation) = self.reserve(Party::Engine(number)) else {
            return;
        };
        let engine = &self.engines[usize::from(number)];
        self.log_fault(&format!("{fault:?}"));
        match fault {
            Fault::CrashEngine { down, .. } => self.crash(engine, down).await,
            Fault::EndEngine { down, .. } => {
                engine.set_silent(true);
                self.crash(engine, down).await;
                engine.set_silent(false);
            }
            Fault::ReplaceEngine { .. } => {
                operator::replace_engine(engine.clone(), self.deployment.addresses.clone(), self.journal.clone()).await;
            }
            Fault::Misconduct { conduct, time, .. } => {
                engine.set_behavior(conduct);
                compio::time::sleep(time).await;
                engine.set_behavior(EngineBehavior::Normal);
            }
            Fault::LateOrders { delay, time, .. } => {
                engine.set_order_behavior(OrderBehavior::Late(delay));
                compio::time::sleep(time).await;
                engine.set_order_behavior(OrderBehavior::Normal);
            }
            _ => {}
        }
    }

    /// Crashes an engine whenever it starts to execute crashing work.
    pub async fn run_crashes(self: Rc<Self>, engine: Engine) {
        loop {
            engine.crash_signal().changed(engine.crash_signal().count()).await;
            if !self.deployment.links.is_down(Party::Engine(engine.number())) {
                self.log_fault(&format!("engine {} crashes under its work", engine.number()));
                self.crash(&engine, CRASH_DOWNTIME).await;
            }
        }
    }

    async fn crash(&self, engine: &Engine, down: Duration) {
        let party = Party::Engine(engine.number());
        self.journal.begin_fault(party);
        self.deployment.links.set_down(party, true);
        let set_links = |condition| {
            for other in self.deployment.processes() {
                self.deployment.links.set_both(other, party, condition);
            }
        };
        set_links(Condition::Reset);
        engine.start_next_incarnation();
        compio::time::sleep(down).await;
        set_links(Condition::Open);
        self.deployment.links.set_down(party, false);
        self.journal.end_faults(party);
    }

    /// Opens all links and resets all engines to normal behavior; faults in progress end on their own.
    pub fn heal_all(&self) {
        self.deployment.links.heal_all();
        for engine in &self.engines {
            engine.set_behavior(EngineBehavior::Normal);
            engine.set_order_behavior(OrderBehavior::Normal);
        }
        self.journal.record_resumption();
    }
}

/// Appends the beginning of a record to the log, as a process does that is killed during a write.
fn append_torn_record(folder: &Path) -> Result<()> {
    let file = folder.join(WAL_FILE);
    let Ok(mut bytes) = std::fs::read(&file) else {
        return Ok(());
    };
    let Some(length) = bytes.get(..RECORD_LENGTH_BYTES).and_then(|length| length.try_into().ok()) else {
        return Ok(());
    };
    let record_bytes = RECORD_HEADER_BYTES + u32::from_le_bytes(length) as usize;
    let torn = bytes.get(..fastrand::usize(1..record_bytes).min(bytes.len())).unwrap_or_default().to_vec();
    bytes.extend_from_slice(&torn);
    Ok(std::fs::write(file, bytes)?)
}
