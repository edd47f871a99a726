//! The deployment: addresses, settings files, child processes and the proxies before them.

use crate::journal::Journal;
use crate::links::{Links, Party};
use crate::proxy::{self, Identify, ProcessTable, ProxyPlace};
use anyhow::{Context, Result, ensure};
use saddlerelay_fleet_runner::process::{ChildSpec, Program, RunningChild};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Coordinators: one may be lost.
pub const COORDINATORS: u8 = 3;

/// Gateways.
pub const GATEWAYS: u8 = 3;

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

/// Where processes listen. Ports lie below the range that systems use for outgoing connections.
const CONTROL_PORT: u16 = 21_001;
const PEER_PORT: u16 = 21_002;
const FRONT_PORT: u16 = 21_003;
const READINESS_PORT: u16 = 21_004;
const ENGINE_PORT: u16 = 21_005;
const PLATFORM_PORT: u16 = 21_006;

/// What is added to a port for the listener behind the proxy.
const BEHIND_PROXY: u16 = 100;

/// Last bytes of the first address of each kind of process.
const FIRST_COORDINATOR: u8 = 10;
const FIRST_GATEWAY: u8 = 30;
const FIRST_ENGINE: u8 = 50;
const PLATFORM: u8 = 5;

/// The length of a window of usage, and how long after its end it is due.
const USAGE_WINDOW: Duration = Duration::from_secs(2);
const USAGE_DUE: Duration = Duration::from_secs(10);

/// Networks tried before giving up.
const NETWORK_ATTEMPTS: u32 = 100;

/// A network of loopback addresses that no other soak uses: each process has an address of its own in it.
#[derive(Clone)]
pub struct Addresses {
    network: [u8; 2],
    _lock: Rc<TcpListener>,
}

impl Addresses {
    /// Takes a network that is free.
    pub fn take() -> Result<Self> {
        for _ in 0..NETWORK_ATTEMPTS {
            let network = [fastrand::u8(16..240), fastrand::u8(..)];
            let lock = SocketAddr::new(ip(network, 1), CONTROL_PORT);
            if let Ok(lock) = TcpListener::bind(lock) {
                return Ok(Self { network, _lock: Rc::new(lock) });
            }
        }
        anyhow::bail!("no free network of loopback addresses was found")
    }

    fn at(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.network, last), port)
    }

    /// Where engines, trainers and operators reach a coordinator.
    pub fn control(&self, number: u8) -> SocketAddr {
        self.at(FIRST_COORDINATOR + number, CONTROL_PORT)
    }

    /// Where clients reach a gateway.
    pub fn front(&self, number: u8) -> SocketAddr {
        self.at(FIRST_GATEWAY + number, FRONT_PORT)
    }

    /// Where a gateway is asked whether it takes connections; no proxy stands before it.
    pub fn readiness(&self, number: u8) -> SocketAddr {
        self.at(FIRST_GATEWAY + number, READINESS_PORT)
    }

    /// Where an engine is reached.
    pub fn engine(&self, number: u8) -> SocketAddr {
        self.at(FIRST_ENGINE + number, ENGINE_PORT)
    }

    /// Where an engine listens behind its proxy.
    pub fn engine_behind(&self, number: u8) -> SocketAddr {
        behind(self.engine(number))
    }

    /// Where the platform listens; no proxy stands before it.
    pub fn platform(&self) -> SocketAddr {
        self.at(PLATFORM, PLATFORM_PORT)
    }

    fn peer(&self, number: u8) -> SocketAddr {
        self.at(FIRST_COORDINATOR + number, PEER_PORT)
    }
}

fn ip(network: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], last))
}

fn behind(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port() + BEHIND_PROXY)
}

/// The processes of the product.
pub struct Deployment {
    /// Where everything listens.
    pub addresses: Addresses,
    /// The state of the links.
    pub links: Links,
    journal: Journal,
    executable: PathBuf,
    folder: PathBuf,
    children: RefCell<BTreeMap<Party, RunningChild>>,
    processes: ProcessTable,
}

fn name_of(party: Party) -> String {
    match party {
        Party::Gateway(number) => format!("gateway-{number}"),
        Party::Coordinator(number) => format!("coordinator-{number}"),
        Party::Engine(number) => format!("engine-{number}"),
        Party::Outside => "outside".to_string(),
    }
}

/// Every process of the product.
pub fn all_processes() -> Vec<Party> {
    let coordinators = (0..COORDINATORS).map(Party::Coordinator);
    coordinators.chain((0..GATEWAYS).map(Party::Gateway)).collect()
}

impl Deployment {
    /// Starts every process, and the proxies before them and before `engines` engines.
    pub async fn start(executable: PathBuf, folder: &Path, journal: Journal, engines: u8) -> Result<Rc<Self>> {
        std::fs::create_dir_all(folder)?;
        let deployment = Rc::new(Self {
            addresses: Addresses::take()?,
            links: Links::default(),
            journal,
            executable,
            folder: folder.to_path_buf(),
            children: RefCell::default(),
            processes: ProcessTable::default(),
        });
        deployment.start_proxies(engines).await?;
        for party in all_processes() {
            deployment.write_settings(party, true)?;
            deployment.start_process(party)?;
        }
        Ok(deployment)
    }

    async fn start_proxies(&self, engines: u8) -> Result<()> {
        let outside = Identify::Always(Party::Outside);
        let by_process = Identify::ByProcess(self.processes.clone());
        let mut places = Vec::new();
        for number in 0..COORDINATORS {
            let party = Party::Coordinator(number);
            places.push((self.addresses.control(number), party, outside.clone()));
            places.push((self.addresses.peer(number), party, by_process.clone()));
        }
        for number in 0..GATEWAYS {
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

    /// Writes a process's settings; `first_start` is true only while the deployment starts for the first time.
    pub fn write_settings(&self, party: Party, first_start: bool) -> Result<()> {
        let seeds: Vec<String> =
            (0..COORDINATORS).map(|number| format!("\"{}\"", self.addresses.control(number))).collect();
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
             job_status_s = 600\ntolerated_losses = 1\n\n\
             [usage]\nwindow_s = {}\ndue_after_s = {}\n\n\
             [platform]\naddress = \"{}\"\nduties = [\"usage_report\"]\n",
            name_of(party),
            seeds.join(", "),
            REPORT_INTERVAL.as_millis(),
            DRAIN_BOUND.as_millis(),
            CONFIGURATION_BOUND.as_millis(),
            ORDER_LEASE.as_millis(),
            GRACE.as_secs(),
            USAGE_WINDOW.as_secs(),
            USAGE_DUE.as_secs(),
            self.addresses.platform(),
        );
        Ok(std::fs::write(self.settings_file(party), text)?)
    }

    /// Starts a process, or starts it again.
    pub fn start_process(&self, party: Party) -> Result<()> {
        let name = name_of(party);
        let spec = ChildSpec {
            executable: self.executable.clone(),
            program: Program::Product,
            arguments: vec![
                "member".to_string(),
                "--config".to_string(),
                self.settings_file(party).display().to_string(),
            ],
            output: self.folder.join(format!("{name}.log")),
            name,
        };
        let child = RunningChild::start(&spec)?;
        self.processes.borrow_mut().push((child.id(), party));
        self.children.borrow_mut().insert(party, child);
        Ok(())
    }

    fn forget(&self, party: Party) -> Option<RunningChild> {
        self.processes.borrow_mut().retain(|(_, owner)| *owner != party);
        self.children.borrow_mut().remove(&party)
    }

    /// Kills a process at once; `false` if it does not run.
    pub fn kill(&self, party: Party) -> bool {
        self.forget(party).map(|mut child| child.kill()).is_some()
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
        let Some(mut child) = self.forget(party) else {
            return Ok(());
        };
        child.ask_to_stop().await;
        let ended = child.wait(STOP_LIMIT).await;
        ensure!(ended == Some(true), "{}: the planned stop ended with {ended:?}", name_of(party));
        Ok(())
    }

    /// Notes processes that have ended by themselves, and starts them again.
    pub fn watch(&self) -> Result<()> {
        let ended: Vec<Party> = {
            let mut children = self.children.borrow_mut();
            children.iter_mut().filter_map(|(party, child)| child.ended().map(|_| *party)).collect()
        };
        for party in ended {
            self.journal.violation("processes do not end by themselves", name_of(party));
            self.forget(party);
            self.start_process(party)?;
        }
        Ok(())
    }

    /// Most resident memory of one process now, in bytes.
    pub fn largest_memory(&self) -> u64 {
        let children = self.children.borrow();
        children.values().filter_map(|child| child.usage()).map(|(resident, _)| resident).max().unwrap_or(0)
    }
}
