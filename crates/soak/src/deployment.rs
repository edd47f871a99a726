//! The deployment under test: addresses, settings files, child processes and their proxies.

pub use crate::addresses::{Addresses, SEED_COORDINATORS, Size};
use crate::addresses::{PEER_PORT, backend_address};
use crate::builds::{Build, Builds};
use crate::case::Case;
use crate::journal::Journal;
use crate::links::{Links, Party};
use crate::proxy::{self, CallerLookup, ProcessTable, ProxyEndpoint};
use anyhow::{Context, Result, ensure};
use saddlerelay_fleet_runner::process::{ChildSpec, RunningChild};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Report interval of engines.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the acknowledgement of a drain from which the engine receives no new work.
pub const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Time after the acknowledgement of a routing document from which it is in effect.
pub const CONFIGURATION_BOUND: Duration = Duration::from_millis(2_000);

/// Lease duration of the holder that orders weight loads.
pub const ORDER_LEASE: Duration = Duration::from_millis(3_000);

/// Graceful shutdown limit in the settings.
pub const SHUTDOWN_GRACE: Duration = Duration::from_secs(5);

/// Timeout for a process to end after a stop signal.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Shared secret in the settings.
pub const SECRET: &str = "soak-shared-secret-0123456789";

/// Duration of a usage window, and time from its end until its report is due.
const USAGE_WINDOW: Duration = Duration::from_secs(2);
const USAGE_DUE: Duration = Duration::from_secs(10);

/// Event that a leader logs when it proposes a membership change.
const MEMBERS_PROPOSED: &str = "members proposed";

/// Event that a coordinator logs when it becomes leader.
const BECAME_LEADER: &str = "event=\"leading\"";

/// Log key of the feature level of a coordinator's state.
const FEATURE_LEVEL: &str = " feature_level=";

/// The product's processes and the proxies in front of them.
pub struct Deployment {
    /// Listen addresses.
    pub addresses: Addresses,
    /// Conditions of the links.
    pub links: Links,
    journal: Journal,
    builds: Builds,
    folder: PathBuf,
    /// Number of simultaneous disk losses that the group tolerates.
    tolerated_losses: u8,
    children: RefCell<BTreeMap<Party, RunningChild>>,
    processes: ProcessTable,
    /// Coordinator listed first in the seeds of settings files. Each reload changes it, so that the content of the file
    /// changes.
    first_seed: Cell<u8>,
}

/// A coordinator's role in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipRole {
    /// Voting member.
    Voter,
    /// Non-voting member.
    Learner,
    /// Not a member.
    None,
}

/// The role of the coordinator at `peer` in a `members proposed` log line, which lists voters by address and learners
/// by `+` and address.
pub fn parse_membership(line: &str, peer: SocketAddr) -> MembershipRole {
    let members = line.split_once(" members=\"").map_or("", |(_, rest)| rest.trim_end_matches('"'));
    let (voter, learner) = (peer.to_string(), format!("+{peer}"));
    let role = members.split(' ').find_map(|member| match member {
        member if member == voter => Some(MembershipRole::Voter),
        member if member == learner => Some(MembershipRole::Learner),
        _ => None,
    });
    role.unwrap_or(MembershipRole::None)
}

/// A change of leader, read from the log of the new leader. Ordered by time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeadershipChange {
    /// The coordinator's log line, which begins with its timestamp.
    line: String,
    /// Number of the coordinator.
    pub number: u8,
}

/// A process that has received a stop signal.
pub struct StoppingProcess {
    party: Party,
    child: RunningChild,
}

impl StoppingProcess {
    /// Sends the stop signal again.
    pub fn signal_stop_again(&self) {
        self.child.signal_stop();
    }

    /// Sends the reload signal.
    pub fn signal_reload(&self) {
        self.child.signal_reload();
    }
}

fn process_name(party: Party) -> String {
    match party {
        Party::Gateway(number) => format!("gateway-{number}"),
        Party::Coordinator(number) => format!("coordinator-{number}"),
        Party::Engine(number) => format!("engine-{number}"),
        Party::Outside => "outside".to_string(),
    }
}

impl Deployment {
    /// Starts all processes, and the proxies in front of them and of `engines` engines.
    pub async fn start(builds: Builds, folder: &Path, journal: Journal, engines: u8, case: Case) -> Result<Rc<Self>> {
        std::fs::create_dir_all(folder)?;
        let deployment = Rc::new(Self {
            addresses: Addresses::allocate(case.size)?,
            links: Links::default(),
            journal,
            builds,
            folder: folder.to_path_buf(),
            tolerated_losses: case.kind.tolerated_losses(),
            children: RefCell::default(),
            processes: ProcessTable::default(),
            first_seed: Cell::new(0),
        });
        deployment.start_proxies(engines).await?;
        for party in case.size.processes() {
            deployment.write_settings(party, true)?;
            deployment.start_process(party)?;
        }
        Ok(deployment)
    }

    async fn start_proxies(&self, engines: u8) -> Result<()> {
        let outside = CallerLookup::Always(Party::Outside);
        let by_process = CallerLookup::ByProcess(self.processes.clone());
        let mut endpoints = Vec::new();
        for number in 0..self.addresses.size.coordinators {
            let party = Party::Coordinator(number);
            endpoints.push((self.addresses.control(number), party, outside.clone()));
            endpoints.push((self.addresses.peer(number), party, by_process.clone()));
        }
        for number in 0..self.addresses.size.gateways {
            endpoints.push((self.addresses.gateway(number), Party::Gateway(number), outside.clone()));
        }
        for number in 0..engines {
            endpoints.push((self.addresses.engine(number), Party::Engine(number), by_process.clone()));
        }
        for (address, party, caller_lookup) in endpoints {
            let endpoint = ProxyEndpoint { party, target: backend_address(address), caller_lookup };
            proxy::start(address, endpoint, self.links.clone()).await.with_context(|| format!("proxy at {address}"))?;
        }
        Ok(())
    }

    fn settings_file(&self, party: Party) -> PathBuf {
        self.folder.join(format!("{}.toml", process_name(party)))
    }

    /// A process's data folder.
    pub fn data_folder(&self, party: Party) -> PathBuf {
        self.folder.join(format!("data-{}", process_name(party)))
    }

    /// The latest `members proposed` line in the coordinators' logs; empty if there is none.
    pub fn newest_members(&self) -> String {
        let logs = (0..self.addresses.size.coordinators).map(|number| self.log_file(Party::Coordinator(number)));
        let proposals = logs.filter_map(|log| std::fs::read_to_string(log).ok()).flat_map(|text| {
            let lines = text.lines().filter(|line| line.contains(MEMBERS_PROPOSED)).map(str::to_string);
            lines.collect::<Vec<_>>()
        });
        // Lines begin with a timestamp.
        proposals.max().unwrap_or_default()
    }

    /// A coordinator's role in the latest proposed membership.
    pub fn membership_of(&self, number: u8) -> MembershipRole {
        parse_membership(&self.newest_members(), self.addresses.peer(number))
    }

    /// The feature level that a coordinator last logged; 0 if it logged none.
    pub fn feature_level(&self, number: u8) -> u32 {
        let text = std::fs::read_to_string(self.log_file(Party::Coordinator(number))).unwrap_or_default();
        let has_level = |line: &&str| line.contains(FEATURE_LEVEL) && !line.contains("feature level proposed");
        let newest = text.lines().rfind(has_level).and_then(|line| line.split_once(FEATURE_LEVEL));
        let number = newest.and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        number.unwrap_or_default()
    }

    /// The coordinator that last became leader, from the coordinators' logs.
    pub fn leader(&self) -> Option<u8> {
        self.latest_leadership_change().map(|change| change.number)
    }

    /// The latest change of leader, from the coordinators' logs.
    pub fn latest_leadership_change(&self) -> Option<LeadershipChange> {
        let changes = (0..self.addresses.size.coordinators).filter_map(|number| {
            let text = std::fs::read_to_string(self.log_file(Party::Coordinator(number))).ok()?;
            let line = text.lines().rfind(|line| line.contains(BECAME_LEADER)).map(str::to_string)?;
            Some(LeadershipChange { line, number })
        });
        changes.max()
    }

    /// The log lines of a process so far.
    pub fn log_lines(&self, party: Party) -> Vec<String> {
        let text = std::fs::read_to_string(self.log_file(party)).unwrap_or_default();
        text.lines().map(str::to_string).collect()
    }

    fn log_file(&self, party: Party) -> PathBuf {
        self.folder.join(format!("{}.log", process_name(party)))
    }

    /// Usage and platform settings; empty for the production build, which may not support them.
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

    /// Sets the build that `party` runs from its next start.
    pub fn choose_build(&self, party: Party, build: Build) {
        self.builds.set(party, build);
    }

    /// Writes a process's settings file; `first_start` is true only for the initial start of the deployment.
    pub fn write_settings(&self, party: Party, first_start: bool) -> Result<()> {
        let seed_numbers = (0..SEED_COORDINATORS).map(|offset| (self.first_seed.get() + offset) % SEED_COORDINATORS);
        let seeds: Vec<String> = seed_numbers.map(|number| format!("\"{}\"", self.addresses.control(number))).collect();
        let role_settings = match party {
            Party::Coordinator(number) => format!(
                "role = \"coordinator\"\ncontrol_address = \"{}\"\npeer_address = \"{}\"\npeer_listen_address = \"{}\"\n\
                 data_folder = \"{}\"\nfirst_start = {first_start}\n",
                backend_address(self.addresses.control(number)),
                self.addresses.peer(number),
                backend_address(self.addresses.peer(number)),
                self.data_folder(party).display(),
            ),
            Party::Gateway(number) => format!(
                "role = \"gateway\"\nclient_address = \"{}\"\nreadiness_address = \"{}\"\n",
                backend_address(self.addresses.gateway(number)),
                self.addresses.readiness(number),
            ),
            Party::Engine(_) | Party::Outside => anyhow::bail!("{} has no settings file", process_name(party)),
        };
        let text = format!(
            "name = \"{}\"\nzone = \"north\"\nseeds = [{}]\npeer_port = {PEER_PORT}\nshared_secret = \"{SECRET}\"\n{role_settings}\n\
             [bounds]\nreport_interval_ms = {}\ndrain_ms = {}\nconfiguration_ms = {}\norder_lease_ms = {}\ngrace_s = {}\n\
             job_status_s = 600\ntolerated_losses = {}\n\n{}",
            process_name(party),
            seeds.join(", "),
            REPORT_INTERVAL.as_millis(),
            DRAIN_BOUND.as_millis(),
            CONFIGURATION_BOUND.as_millis(),
            ORDER_LEASE.as_millis(),
            SHUTDOWN_GRACE.as_secs(),
            self.tolerated_losses,
            self.duties_settings(party),
        );
        // Replaces the file atomically: a process may be reading it.
        let file = self.settings_file(party);
        let new_file = file.with_extension("new");
        std::fs::write(&new_file, text)?;
        Ok(std::fs::rename(new_file, file)?)
    }

    /// Starts or restarts a process.
    pub fn start_process(&self, party: Party) -> Result<()> {
        let name = process_name(party);
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

    /// Removes a process from supervision. Its connections remain attributed to it until [`Self::remove_process`].
    fn remove_child(&self, party: Party) -> Option<RunningChild> {
        self.children.borrow_mut().remove(&party)
    }

    /// Stops attributing connections to the process id, which the system may reuse.
    fn remove_process(&self, process: u32) {
        self.processes.remove(process);
    }

    /// Kills a process; `false` if it is not running.
    pub fn kill(&self, party: Party) -> bool {
        let Some(mut child) = self.remove_child(party) else {
            return false;
        };
        child.kill();
        self.remove_process(child.id());
        true
    }

    /// Sends a stop signal. The caller completes the stop with [`Self::finish_stop`] or [`Self::abort_stop`]. `None`
    /// if the process is not running.
    pub async fn begin_stop(&self, party: Party) -> Option<StoppingProcess> {
        let mut child = self.remove_child(party)?;
        child.request_stop().await;
        Some(StoppingProcess { party, child })
    }

    /// Waits for a process to end after a stop signal; an error if it does not exit successfully in time.
    pub async fn finish_stop(&self, mut stopping: StoppingProcess) -> Result<()> {
        let ended = stopping.child.wait(STOP_TIMEOUT).await;
        self.remove_process(stopping.child.id());
        ensure!(
            ended == Some(true),
            "{}: the process did not end successfully after a stop signal: {ended:?}",
            process_name(stopping.party)
        );
        Ok(())
    }

    /// Kills a process that has received a stop signal.
    pub fn abort_stop(&self, mut stopping: StoppingProcess) {
        stopping.child.kill();
        self.remove_process(stopping.child.id());
    }

    /// Rewrites a process's settings with the same values in another order.
    pub fn change_settings(&self, party: Party) -> Result<()> {
        self.first_seed.set((self.first_seed.get() + 1) % SEED_COORDINATORS);
        self.write_settings(party, false)
    }

    /// Rewrites a process's settings and sends the reload signal.
    pub async fn reload(&self, party: Party) -> Result<()> {
        self.change_settings(party)?;
        let child = self.remove_child(party);
        if let Some(mut child) = child {
            child.request_reload().await;
            self.children.borrow_mut().insert(party, child);
        }
        Ok(())
    }

    /// Whether a process is running.
    pub fn is_running(&self, party: Party) -> bool {
        self.children.borrow().contains_key(&party)
    }

    /// Calls `act` with a running process; `None` if it is not running.
    pub fn with_process<T>(&self, party: Party, act: impl FnOnce(&RunningChild) -> T) -> Option<T> {
        self.children.borrow().get(&party).map(act)
    }

    /// Gracefully stops a process.
    pub async fn stop(&self, party: Party) -> Result<()> {
        match self.begin_stop(party).await {
            Some(stopping) => self.finish_stop(stopping).await,
            None => Ok(()),
        }
    }

    /// Records processes that ended unexpectedly as violations, and restarts them.
    pub fn restart_ended_processes(&self) -> Result<()> {
        let ended: Vec<Party> = {
            let mut children = self.children.borrow_mut();
            children.iter_mut().filter_map(|(party, child)| child.ended().map(|_| *party)).collect()
        };
        for party in ended {
            self.journal.violation("processes do not end by themselves", process_name(party));
            if let Some(child) = self.remove_child(party) {
                self.remove_process(child.id());
            }
            self.start_process(party)?;
        }
        Ok(())
    }

    /// Longest time for which a proxy delayed a new connection to look up its owner.
    pub fn slowest_owner_lookup(&self) -> Duration {
        self.processes.slowest_owner_lookup()
    }

    /// All processes of the product.
    pub fn processes(&self) -> Vec<Party> {
        self.addresses.size.processes()
    }

    /// Largest current resident memory of any one process, in bytes.
    pub fn largest_memory(&self) -> u64 {
        let children = self.children.borrow();
        children.values().filter_map(|child| child.usage()).map(|(resident, _)| resident).max().unwrap_or(0)
    }
}
