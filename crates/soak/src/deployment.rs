//! The deployment: addresses, settings files, child processes and the proxies before them.

pub use crate::addresses::{Addresses, NAMED_COORDINATORS, Size};
use crate::addresses::{PEER_PORT, behind};
use crate::builds::{Build, Builds};
use crate::case::Case;
use crate::journal::Journal;
use crate::links::{Links, Party};
use crate::proxy::{self, Identify, ProcessTable, ProxyPlace};
use anyhow::{Context, Result, ensure};
use saddlerelay_fleet_runner::process::{ChildSpec, RunningChild};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// How often engines report themselves.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A leaving engine gets no new work so long after its leaving was acknowledged.
pub const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// A configuration is in force so long after it was acknowledged.
pub const CONFIGURATION_BOUND: Duration = Duration::from_millis(2_000);

/// Holders of orders do not take turns within this time.
pub const ORDER_LEASE: Duration = Duration::from_millis(3_000);

/// A planned stop may take so long.
pub const GRACE: Duration = Duration::from_secs(5);

/// How long a planned stop is waited for.
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// Secret of the processes.
const SECRET: &str = "soak-shared-secret-0123456789";

/// The length of a window of usage, and how long after its end it is due.
const USAGE_WINDOW: Duration = Duration::from_secs(2);
const USAGE_DUE: Duration = Duration::from_secs(10);

/// What a leader's line about new members says.
const MEMBERS_PROPOSED: &str = "members proposed";

/// What a coordinator's line says when it begins to lead.
const BEGINS_TO_LEAD: &str = "event=\"leading\"";

/// How a coordinator's log tells the feature level of its state.
const FEATURE_LEVEL: &str = " feature_level=";

/// The processes of the product.
pub struct Deployment {
    /// Where everything listens.
    pub addresses: Addresses,
    /// The state of the links.
    pub links: Links,
    journal: Journal,
    builds: Builds,
    folder: PathBuf,
    /// Disks that the group bears to lose at once.
    tolerated_losses: u8,
    children: RefCell<BTreeMap<Party, RunningChild>>,
    processes: ProcessTable,
    /// The coordinator that settings files name first; it changes with each reload, so that the content does.
    first_named: Cell<u8>,
}

/// What a coordinator is to its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberKind {
    /// It votes.
    Voter,
    /// It learns.
    Learner,
    /// Neither.
    None,
}

/// What the coordinator at `peer` is in a leader's line about new members: voters by address, learners behind a plus sign.
pub fn membership_in(line: &str, peer: SocketAddr) -> MemberKind {
    let members = line.split_once(" members=\"").map_or("", |(_, rest)| rest.trim_end_matches('"'));
    let (voter, learner) = (peer.to_string(), format!("+{peer}"));
    let kind = members.split(' ').find_map(|member| match member {
        member if member == voter => Some(MemberKind::Voter),
        member if member == learner => Some(MemberKind::Learner),
        _ => None,
    });
    kind.unwrap_or(MemberKind::None)
}

/// A coordinator's word that it begins to lead; a later one is greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lead {
    /// The line of its log, which begins with its moment.
    line: String,
    /// The coordinator.
    pub number: u8,
}

/// A process that has been asked to stop.
pub struct Stopping {
    party: Party,
    child: RunningChild,
}

impl Stopping {
    /// Asks once more.
    pub fn ask_again(&self) {
        self.child.signal_stop();
    }

    /// Signals that its settings have changed.
    pub fn signal_reload(&self) {
        self.child.signal_reload();
    }
}

fn name_of(party: Party) -> String {
    match party {
        Party::Gateway(number) => format!("gateway-{number}"),
        Party::Coordinator(number) => format!("coordinator-{number}"),
        Party::Engine(number) => format!("engine-{number}"),
        Party::Outside => "outside".to_string(),
    }
}

impl Deployment {
    /// Starts every process, and the proxies before them and before `engines` engines.
    pub async fn start(builds: Builds, folder: &Path, journal: Journal, engines: u8, case: Case) -> Result<Rc<Self>> {
        std::fs::create_dir_all(folder)?;
        let deployment = Rc::new(Self {
            addresses: Addresses::take(case.size)?,
            links: Links::default(),
            journal,
            builds,
            folder: folder.to_path_buf(),
            tolerated_losses: case.kind.tolerated_losses(),
            children: RefCell::default(),
            processes: ProcessTable::default(),
            first_named: Cell::new(0),
        });
        deployment.start_proxies(engines).await?;
        for party in case.size.processes() {
            deployment.write_settings(party, true)?;
            deployment.start_process(party)?;
        }
        Ok(deployment)
    }

    async fn start_proxies(&self, engines: u8) -> Result<()> {
        let outside = Identify::Always(Party::Outside);
        let by_process = Identify::ByProcess(self.processes.clone());
        let mut places = Vec::new();
        for number in 0..self.addresses.size.coordinators {
            let party = Party::Coordinator(number);
            places.push((self.addresses.control(number), party, outside.clone()));
            places.push((self.addresses.peer(number), party, by_process.clone()));
        }
        for number in 0..self.addresses.size.gateways {
            places.push((self.addresses.front(number), Party::Gateway(number), outside.clone()));
        }
        for number in 0..engines {
            places.push((self.addresses.engine(number), Party::Engine(number), by_process.clone()));
        }
        for (address, party, identify) in places {
            let place = ProxyPlace { party, target: behind(address), identify };
            proxy::start(address, place, self.links.clone()).await.with_context(|| format!("proxy at {address}"))?;
        }
        Ok(())
    }

    fn settings_file(&self, party: Party) -> PathBuf {
        self.folder.join(format!("{}.toml", name_of(party)))
    }

    /// A process's data folder.
    pub fn data_folder(&self, party: Party) -> PathBuf {
        self.folder.join(format!("data-{}", name_of(party)))
    }

    /// The members that the group's leader proposed last, as the logs of the coordinators tell; empty if none did.
    pub fn newest_members(&self) -> String {
        let logs = (0..self.addresses.size.coordinators).map(|number| self.log_file(Party::Coordinator(number)));
        let proposals = logs.filter_map(|log| std::fs::read_to_string(log).ok()).flat_map(|text| {
            let lines = text.lines().filter(|line| line.contains(MEMBERS_PROPOSED)).map(str::to_string);
            lines.collect::<Vec<_>>()
        });
        // Each line begins with its moment.
        proposals.max().unwrap_or_default()
    }

    /// What a coordinator is to the group's newest members.
    pub fn membership_of(&self, number: u8) -> MemberKind {
        membership_in(&self.newest_members(), self.addresses.peer(number))
    }

    /// The feature level that a coordinator told last of its state; 0 if it told none.
    pub fn feature_level(&self, number: u8) -> u32 {
        let text = std::fs::read_to_string(self.log_file(Party::Coordinator(number))).unwrap_or_default();
        let is_told = |line: &&str| line.contains(FEATURE_LEVEL) && !line.contains("feature level proposed");
        let newest = text.lines().rfind(is_told).and_then(|line| line.split_once(FEATURE_LEVEL));
        let number = newest.and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        number.unwrap_or_default()
    }

    /// The coordinator that began to lead last, as the logs of the coordinators tell.
    pub fn leader(&self) -> Option<u8> {
        self.newest_lead().map(|lead| lead.number)
    }

    /// The newest lead, as the logs of the coordinators tell.
    pub fn newest_lead(&self) -> Option<Lead> {
        let leads = (0..self.addresses.size.coordinators).filter_map(|number| {
            let text = std::fs::read_to_string(self.log_file(Party::Coordinator(number))).ok()?;
            let line = text.lines().rfind(|line| line.contains(BEGINS_TO_LEAD)).map(str::to_string)?;
            Some(Lead { line, number })
        });
        leads.max()
    }

    /// What a process has written so far.
    pub fn log_lines(&self, party: Party) -> Vec<String> {
        let text = std::fs::read_to_string(self.log_file(party)).unwrap_or_default();
        text.lines().map(str::to_string).collect()
    }

    fn log_file(&self, party: Party) -> PathBuf {
        self.folder.join(format!("{}.log", name_of(party)))
    }

    /// The settings of duties towards the platform; a build in production may not know them.
    fn duties_settings(&self, party: Party) -> String {
        match self.builds.of(party) {
            Build::Newest => format!(
                "[usage]\nwindow_s = {}\ndue_after_s = {}\n\n[platform]\naddress = \"{}\"\nduties = [\"usage_report\"]\n",
                USAGE_WINDOW.as_secs(),
                USAGE_DUE.as_secs(),
                self.addresses.platform(),
            ),
            Build::Production => String::new(),
        }
    }

    /// From its next start on, `party` runs `build`.
    pub fn choose_build(&self, party: Party, build: Build) {
        self.builds.choose(party, build);
    }

    /// Writes a process's settings; `first_start` is true only while the deployment starts for the first time.
    pub fn write_settings(&self, party: Party, first_start: bool) -> Result<()> {
        let named = (0..NAMED_COORDINATORS).map(|place| (self.first_named.get() + place) % NAMED_COORDINATORS);
        let seeds: Vec<String> = named.map(|number| format!("\"{}\"", self.addresses.control(number))).collect();
        let own = match party {
            Party::Coordinator(number) => format!(
                "role = \"coordinator\"\ncontrol_address = \"{}\"\npeer_address = \"{}\"\npeer_listen_address = \"{}\"\n\
                 data_folder = \"{}\"\nfirst_start = {first_start}\n",
                behind(self.addresses.control(number)),
                self.addresses.peer(number),
                behind(self.addresses.peer(number)),
                self.data_folder(party).display(),
            ),
            Party::Gateway(number) => format!(
                "role = \"gateway\"\nclient_address = \"{}\"\nreadiness_address = \"{}\"\n",
                behind(self.addresses.front(number)),
                self.addresses.readiness(number),
            ),
            Party::Engine(_) | Party::Outside => anyhow::bail!("{} has no settings", name_of(party)),
        };
        let text = format!(
            "name = \"{}\"\nzone = \"north\"\nseeds = [{}]\npeer_port = {PEER_PORT}\nshared_secret = \"{SECRET}\"\n{own}\n\
             [bounds]\nreport_interval_ms = {}\ndrain_ms = {}\nconfiguration_ms = {}\norder_lease_ms = {}\ngrace_s = {}\n\
             job_status_s = 600\ntolerated_losses = {}\n\n{}",
            name_of(party),
            seeds.join(", "),
            REPORT_INTERVAL.as_millis(),
            DRAIN_BOUND.as_millis(),
            CONFIGURATION_BOUND.as_millis(),
            ORDER_LEASE.as_millis(),
            GRACE.as_secs(),
            self.tolerated_losses,
            self.duties_settings(party),
        );
        // In one step: a process that starts or follows its settings meanwhile would read half of them.
        let file = self.settings_file(party);
        let written = file.with_extension("new");
        std::fs::write(&written, text)?;
        Ok(std::fs::rename(written, file)?)
    }

    /// Starts a process, or starts it again.
    pub fn start_process(&self, party: Party) -> Result<()> {
        let name = name_of(party);
        let (executable, program) = self.builds.program(party)?;
        let spec = ChildSpec {
            executable,
            program,
            arguments: vec![
                "member".to_string(),
                "--config".to_string(),
                self.settings_file(party).display().to_string(),
            ],
            output: self.log_file(party),
            name,
        };
        let child = RunningChild::start(&spec)?;
        self.processes.insert(child.id(), party);
        self.children.borrow_mut().insert(party, child);
        Ok(())
    }

    /// Takes a process out of the watch over those that end by themselves. Its connections stay its own until
    /// [`Self::forget_connections`].
    fn take(&self, party: Party) -> Option<RunningChild> {
        self.children.borrow_mut().remove(&party)
    }

    /// A process has ended: what its number owns from now on is another's.
    fn forget_connections(&self, process: u32) {
        self.processes.remove(process);
    }

    /// Kills a process at once; `false` if it does not run.
    pub fn kill(&self, party: Party) -> bool {
        let Some(mut child) = self.take(party) else {
            return false;
        };
        child.kill();
        self.forget_connections(child.id());
        true
    }

    /// Begins a planned stop: what follows is up to the caller, who ends it with [`Self::finish_stop`] or
    /// [`Self::break_off_stop`]. `None` if the process does not run.
    pub async fn begin_stop(&self, party: Party) -> Option<Stopping> {
        let mut child = self.take(party)?;
        child.ask_to_stop().await;
        Some(Stopping { party, child })
    }

    /// Waits until a process that was asked to stop has ended, and says whether it ended well.
    pub async fn finish_stop(&self, mut stopping: Stopping) -> Result<()> {
        let ended = stopping.child.wait(STOP_LIMIT).await;
        self.forget_connections(stopping.child.id());
        ensure!(ended == Some(true), "{}: the planned stop ended with {ended:?}", name_of(stopping.party));
        Ok(())
    }

    /// Kills a process that was asked to stop.
    pub fn break_off_stop(&self, mut stopping: Stopping) {
        stopping.child.kill();
        self.forget_connections(stopping.child.id());
    }

    /// Rewrites a process's settings: the same content, in another order.
    pub fn change_settings(&self, party: Party) -> Result<()> {
        self.first_named.set((self.first_named.get() + 1) % NAMED_COORDINATORS);
        self.write_settings(party, false)
    }

    /// Changes a process's settings, and signals it.
    pub async fn reload(&self, party: Party) -> Result<()> {
        self.change_settings(party)?;
        let child = self.take(party);
        if let Some(mut child) = child {
            child.ask_to_reload().await;
            self.children.borrow_mut().insert(party, child);
        }
        Ok(())
    }

    /// Whether a process runs.
    pub fn is_running(&self, party: Party) -> bool {
        self.children.borrow().contains_key(&party)
    }

    /// Does something to a running process.
    pub fn with_process<T>(&self, party: Party, act: impl FnOnce(&RunningChild) -> T) -> Option<T> {
        self.children.borrow().get(&party).map(act)
    }

    /// Stops a process in the planned way.
    pub async fn stop(&self, party: Party) -> Result<()> {
        match self.begin_stop(party).await {
            Some(stopping) => self.finish_stop(stopping).await,
            None => Ok(()),
        }
    }

    /// Notes processes that have ended by themselves, and starts them again.
    pub fn watch(&self) -> Result<()> {
        let ended: Vec<Party> = {
            let mut children = self.children.borrow_mut();
            children.iter_mut().filter_map(|(party, child)| child.ended().map(|_| *party)).collect()
        };
        for party in ended {
            self.journal.violation("processes do not end by themselves", name_of(party));
            if let Some(child) = self.take(party) {
                self.forget_connections(child.id());
            }
            self.start_process(party)?;
        }
        Ok(())
    }

    /// The longest time for which the proxies kept a new connection waiting.
    pub fn slowest_look_up(&self) -> Duration {
        self.processes.slowest_look_up()
    }

    /// Every process of the product.
    pub fn processes(&self) -> Vec<Party> {
        self.addresses.size.processes()
    }

    /// Most resident memory of one process now, in bytes.
    pub fn largest_memory(&self) -> u64 {
        let children = self.children.borrow();
        children.values().filter_map(|child| child.usage()).map(|(resident, _)| resident).max().unwrap_or(0)
    }
}
