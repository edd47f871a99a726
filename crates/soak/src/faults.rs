//! Brings planned faults about, and heals them.

use crate::deployment::{Deployment, MemberKind, NAMED_COORDINATORS};
use crate::engine::{Conduct, Engine, OrderConduct};
use crate::journal::{Journal, Moment};
use crate::links::{Condition, Party};
use crate::operator::{self, Operator};
use crate::plan::{Direction, ENGINES, End, Fault, LeaderHarm};
use crate::proof::Proof;
use anyhow::Result;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use saddlerelay_fleet_runner::process::RunningChild;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// After a fault of a coordinator, its group may need so long until it bears the loss of a disk again.
const REPAIR_TIME: Duration = Duration::from_secs(8);

/// How long an engine is down that has ended under its work.
const DOWN_AFTER_WORK: Duration = Duration::from_millis(1_500);

/// How long a learner may be silent before it is dropped: eight times the 1.5 s of a voter.
const LEARNER_SILENCE: Duration = Duration::from_secs(12);

/// Pause after a change of members, in which the next learner is taken in.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// How long all processes are down that were killed together.
const DOWN_TOGETHER: Duration = Duration::from_millis(500);

/// Pause between looks at something.
const POLL: Duration = Duration::from_millis(50);

/// A process that is asked to stop ends, and says that it ended well.
pub const STOP_ENDS_WELL: &str = "a planned stop ends well";

/// The file to which a coordinator appends.
const LOG_FILE: &str = "wal";

/// Bytes of a record's head, and of its length in it.
const RECORD_HEAD: usize = 12;
const RECORD_LENGTH: usize = 4;

/// Largest file while writes are refused, in bytes.
const REFUSED_FROM: u64 = 1;

/// What faults act on.
pub struct Faults {
    pub(crate) deployment: Rc<Deployment>,
    engines: Vec<Engine>,
    pub(crate) operator: Rc<Operator>,
    pub(crate) journal: Journal,
    /// Processes that a fault holds at this moment.
    held: RefCell<BTreeSet<Party>>,
    /// When a fault of any coordinator last ended.
    coordinators_healed_at: Cell<Moment>,
}

/// Holds a party for one fault; lets it go when dropped.
pub(crate) struct Hold<'a> {
    faults: &'a Faults,
    pub(crate) party: Party,
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        self.faults.held.borrow_mut().remove(&self.party);
        self.faults.journal.end_disruption(self.party);
        if matches!(self.party, Party::Coordinator(_)) {
            self.faults.coordinators_healed_at.set(self.faults.journal.now());
        }
    }
}

impl Faults {
    /// Faults of this deployment and these engines.
    pub fn new(deployment: Rc<Deployment>, engines: Vec<Engine>, operator: Rc<Operator>, journal: Journal) -> Self {
        let coordinators_healed_at = Cell::new(journal.now());
        Self { deployment, engines, operator, journal, held: RefCell::default(), coordinators_healed_at }
    }

    /// Holds a party for a fault; `None` while another one does.
    pub(crate) fn hold(&self, party: Party) -> Option<Hold<'_>> {
        let hold = self.hold_for_planned_work(party)?;
        self.journal.begin_disruption(party);
        Some(hold)
    }

    /// Holds a party for planned work, which is no fault.
    pub(crate) fn hold_for_planned_work(&self, party: Party) -> Option<Hold<'_>> {
        self.held.borrow_mut().insert(party).then(|| Hold { faults: self, party })
    }

    /// Holds every process, once the faults under way have let go of them.
    pub(crate) async fn hold_all(&self) -> Vec<Hold<'_>> {
        let mut holds = Vec::new();
        for party in self.deployment.processes() {
            loop {
                if let Some(hold) = self.hold(party) {
                    holds.push(hold);
                    break;
                }
                compio::time::sleep(POLL).await;
            }
        }
        holds
    }

    /// Whether the group can bear the loss of a disk now: no coordinator is harmed, nor was one lately.
    fn bears_disk_loss(&self) -> bool {
        let harmed = self.held.borrow().iter().any(|party| matches!(party, Party::Coordinator(_)));
        !harmed && self.journal.now() > self.coordinators_healed_at.get() + REPAIR_TIME
    }

    /// Brings a fault about and heals it; one that does not fit at this moment is left out.
    pub async fn cause(&self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Restart { party, end, down } => self.restart(party, end, down).await,
            Fault::ReplaceBuild { party, build, end, down } => {
                self.deployment.choose_build(party, build);
                self.tell(&format!("{party:?}: {build:?} from its next start on"));
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
            Fault::LossyZone(zone) => self.lose_packets(zone).await,
            Fault::HarmLeader(harm) => self.harm_leader(harm).await,
            engine_fault => {
                self.harm_engine(engine_fault).await;
                Ok(())
            }
        }
    }

    pub(crate) fn tell(&self, fault: &str) {
        self.journal.fault(fault.to_string());
    }

    /// Waits for the end of what is under way at `party` first.
    async fn restart_once_free(&self, party: Party, end: End, down: Duration) -> Result<()> {
        while self.held.borrow().contains(&party) {
            compio::time::sleep(POLL).await;
        }
        self.restart(party, end, down).await
    }

    async fn restart(&self, party: Party, end: End, down: Duration) -> Result<()> {
        let end = if end == End::LoseDisk && !self.bears_disk_loss() { End::Kill } else { end };
        let hold = if end == End::Stop { self.hold_for_planned_work(party) } else { self.hold(party) };
        let Some(_hold) = hold else {
            return Ok(());
        };
        self.tell(&format!("{party:?}: {end:?}, down {} ms", down.as_millis()));
        match end {
            End::Stop => {
                let planned = self.journal.begin_planned(party);
                if let Err(error) = self.deployment.stop(party).await {
                    self.journal.violation(STOP_ENDS_WELL, format!("{error:#}"));
                }
                self.journal.end_planned(planned);
            }
            End::Kill | End::LoseDisk | End::TearLog => {
                self.deployment.kill(party);
            }
        }
        let folder = self.deployment.data_folder(party);
        match end {
            End::LoseDisk => std::fs::remove_dir_all(&folder)?,
            End::TearLog => tear(&folder)?,
            End::Kill | End::Stop => {}
        }
        compio::time::sleep(down).await;
        self.start_again(party)
    }

    /// Starts a process again that has ended.
    pub(crate) fn start_again(&self, party: Party) -> Result<()> {
        self.deployment.write_settings(party, false)?;
        self.deployment.start_process(party)
    }

    async fn kill_all(&self, down: Duration) -> Result<()> {
        let coordinators = (0..self.deployment.addresses.size.coordinators).map(Party::Coordinator);
        let holds: Vec<Hold> = coordinators.filter_map(|party| self.hold(party)).collect();
        self.tell(&format!("{} coordinators killed at once, down {} ms", holds.len(), down.as_millis()));
        self.kill_together(holds.iter().map(|hold| hold.party), down).await
    }

    /// Kills processes at the same moment, and starts them again.
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
            self.start_again(party)?;
        }
        Ok(())
    }

    /// Has the group replace the coordinators that the settings name, one after the other: each is ended for good once
    /// the one before is no member any more. Then every process is killed and comes back with the same settings.
    async fn replace_members(&self) -> Result<()> {
        let holds = self.hold_all().await;
        let named = (0..NAMED_COORDINATORS).map(Party::Coordinator);
        for number in 0..NAMED_COORDINATORS {
            self.tell(&format!("coordinator {number} is ended, to be replaced"));
            self.deployment.kill(Party::Coordinator(number));
            self.await_replacement(number).await;
            compio::time::sleep(SETTLE_TIME).await;
        }
        for party in named {
            self.start_again(party)?;
        }
        compio::time::sleep(SETTLE_TIME).await;
        self.tell(&format!("all processes are killed; members: {}", self.deployment.newest_members()));
        self.kill_together(holds.iter().map(|hold| hold.party), DOWN_TOGETHER).await
    }

    /// A voter that has ended is replaced soon. A learner may be silent for 12 s before it is dropped.
    async fn await_replacement(&self, number: u8) {
        const PROMISE: &str = "a lost member is replaced";
        let membership = || self.deployment.membership_of(number);
        let votes_no_more = || async { membership() != MemberKind::Voter };
        let replaced = Proof::begin(PROMISE, &self.journal);
        replaced.prove(format!("coordinator {number} votes no more"), votes_no_more).await;
        let is_dropped = || async { membership() == MemberKind::None };
        let dropped = Proof::begin_after(LEARNER_SILENCE, PROMISE, &self.journal);
        dropped.prove(format!("coordinator {number} is no member any more"), is_dropped).await;
    }

    async fn suspend(&self, parties: &[Party], time: Duration) {
        let holds: Vec<Hold> = parties.iter().filter_map(|party| self.hold(*party)).collect();
        let held: Vec<Party> = holds.iter().map(|hold| hold.party).collect();
        self.tell(&format!("{held:?}: suspended for {} ms", time.as_millis()));
        for party in &held {
            self.deployment.with_process(*party, RunningChild::freeze);
        }
        compio::time::sleep(time).await;
        for party in &held {
            self.deployment.with_process(*party, RunningChild::thaw);
        }
        self.journal.woke();
    }

    async fn freeze(&self, party: Party, time: Duration) {
        let Some(_hold) = self.hold(party) else {
            return;
        };
        self.tell(&format!("{party:?}: frozen for {} ms", time.as_millis()));
        self.deployment.with_process(party, RunningChild::freeze);
        compio::time::sleep(time).await;
        self.deployment.with_process(party, RunningChild::thaw);
        self.journal.woke();
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
        let Some(_hold) = self.hold(party) else {
            return;
        };
        others.retain(|other| *other != party);
        let (milliseconds, count) = (time.as_millis(), others.len());
        self.tell(&format!("{party:?}: {condition:?} {direction:?} for {milliseconds} ms, {count} others"));
        self.set_links(party, &others, direction, condition);
        compio::time::sleep(time).await;
        self.set_links(party, &others, direction, Condition::Open);
        self.journal.woke();
    }

    /// Harms the coordinator that leads now; left out if none has led yet or another fault holds it.
    async fn harm_leader(&self, harm: LeaderHarm) -> Result<()> {
        let Some(number) = self.deployment.leader() else {
            return Ok(());
        };
        let party = Party::Coordinator(number);
        self.tell(&format!("{party:?} leads"));
        match harm {
            LeaderHarm::Kill(down) => self.restart(party, End::Kill, down).await?,
            LeaderHarm::Freeze(time) => self.freeze(party, time).await,
            LeaderHarm::CutFromProcesses(time) => {
                let processes = self.deployment.processes();
                self.cut_from(party, processes, Condition::Silent, Direction::Both, time).await;
            }
            LeaderHarm::CutFromAll(time) => {
                self.cut(party, Condition::Silent, Direction::Both, time, false).await;
            }
            LeaderHarm::RefuseWrites(time) => self.refuse_writes(party, time).await,
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
        let Some(_hold) = self.hold(party) else {
            return;
        };
        self.tell(&format!("{party:?}: writes refused for {} ms", time.as_millis()));
        let process = self.deployment.with_process(party, |child| child.id());
        let Some(process) = process.and_then(|process| Pid::from_raw(process as i32)) else {
            return;
        };
        let refused = Rlimit { current: Some(REFUSED_FROM), maximum: None };
        let Ok(before) = prlimit(Some(process), Resource::Fsize, refused) else {
            return;
        };
        compio::time::sleep(time).await;
        if self.deployment.is_running(party) {
            // A process that has ended meanwhile needs no limit.
            let _ = prlimit(Some(process), Resource::Fsize, before);
        }
    }

    async fn harm_engine(&self, fault: Fault) {
        let number = match fault {
            Fault::CrashEngine { number, .. }
            | Fault::EndEngine { number, .. }
            | Fault::ReplaceEngine { number }
            | Fault::Misconduct { number, .. }
            | Fault::LateOrders { number, .. } => number,
            _ => return,
        };
        let Some(_hold) = self.hold(Party::Engine(number)) else {
            return;
        };
        let engine = &self.engines[usize::from(number)];
        self.tell(&format!("{fault:?}"));
        match fault {
            Fault::CrashEngine { down, .. } => self.crash(engine, down).await,
            Fault::EndEngine { down, .. } => {
                engine.set_silent(true);
                self.crash(engine, down).await;
                engine.set_silent(false);
            }
            Fault::ReplaceEngine { .. } => {
                operator::replace(engine.clone(), self.deployment.addresses.clone(), self.journal.clone()).await;
            }
            Fault::Misconduct { conduct, time, .. } => {
                engine.set_conduct(conduct);
                compio::time::sleep(time).await;
                engine.set_conduct(Conduct::Normal);
            }
            Fault::LateOrders { delay, time, .. } => {
                engine.set_order_conduct(OrderConduct::Late(delay));
                compio::time::sleep(time).await;
                engine.set_order_conduct(OrderConduct::Normal);
            }
            _ => {}
        }
    }

    /// Ends an engine each time that work begins there which does so.
    pub async fn crash_by_work(self: Rc<Self>, engine: Engine) {
        loop {
            engine.ends().changed(engine.ends().count()).await;
            if !self.deployment.links.is_down(Party::Engine(engine.number())) {
                self.tell(&format!("engine {} ends under its work", engine.number()));
                self.crash(&engine, DOWN_AFTER_WORK).await;
            }
        }
    }

    async fn crash(&self, engine: &Engine, down: Duration) {
        let party = Party::Engine(engine.number());
        self.journal.begin_disruption(party);
        self.deployment.links.set_down(party, true);
        let set = |condition| {
            for other in self.deployment.processes() {
                self.deployment.links.set_both(other, party, condition);
            }
        };
        set(Condition::Reset);
        engine.start_anew();
        compio::time::sleep(down).await;
        set(Condition::Open);
        self.deployment.links.set_down(party, false);
        self.journal.end_disruption(party);
    }

    /// Lets everything go on that stands still or is cut off; faults under way end by themselves.
    pub fn heal_all(&self) {
        self.deployment.links.heal_all();
        for engine in &self.engines {
            engine.set_conduct(Conduct::Normal);
            engine.set_order_conduct(OrderConduct::Normal);
        }
        self.journal.woke();
    }
}

/// Leaves the beginning of a record behind the last whole one, as a process does that is killed while it writes.
fn tear(folder: &Path) -> Result<()> {
    let file = folder.join(LOG_FILE);
    let Ok(mut bytes) = std::fs::read(&file) else {
        return Ok(());
    };
    let Some(length) = bytes.get(..RECORD_LENGTH).and_then(|length| length.try_into().ok()) else {
        return Ok(());
    };
    let whole = RECORD_HEAD + u32::from_le_bytes(length) as usize;
    let torn = bytes.get(..fastrand::usize(1..whole).min(bytes.len())).unwrap_or_default().to_vec();
    bytes.extend_from_slice(&torn);
    Ok(std::fs::write(file, bytes)?)
}
