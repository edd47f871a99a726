//! The product's processes: three keepers and two relays, on loopback addresses and free ports.

use crate::engine::HEARTBEAT;
use crate::http;
use crate::journal::Journal;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["plateau", "almadies", "rufisque"];
const KEEPERS: usize = 3;
const RELAYS: usize = 2;

/// Last bytes of the addresses of the keepers, relays and engines.
const FIRST_KEEPER: u8 = 10;
const FIRST_RELAY: u8 = 30;
const FIRST_ENGINE: u8 = 50;

struct Process {
    name: String,
    child: Child,
    log: String,
}

/// The deployment.
pub struct Deployment {
    network: [u8; 2],
    /// Ports of control, of peers, of clients, of readiness and of engines.
    ports: [u16; 5],
    keepers: Vec<Process>,
    relays: Vec<Process>,
    journal: Journal,
    program: String,
    temporary: String,
}

impl Deployment {
    pub fn start(program: &str, temporary: &str, journal: &Journal) -> Result<Self, String> {
        let (network, ports) = free_network()?;
        let mut deployment = Self {
            network,
            ports,
            keepers: Vec::new(),
            relays: Vec::new(),
            journal: journal.clone(),
            program: program.to_string(),
            temporary: temporary.to_string(),
        };
        for number in 0..KEEPERS {
            let process = deployment.launch(&format!("store-{number}"), deployment.keeper(number, true))?;
            deployment.keepers.push(process);
        }
        for number in 0..RELAYS {
            let process = deployment.launch(&format!("front-{number}"), deployment.relay(number))?;
            deployment.relays.push(process);
        }
        Ok(deployment)
    }

    /// Kills all processes at once and starts them again after `down`.
    pub fn kill_all(&mut self, down: Duration) -> Result<(), String> {
        self.end();
        self.journal.note("all processes of the system are killed");
        thread::sleep(down);
        for number in 0..KEEPERS {
            self.keepers[number] = self.launch(&format!("store-{number}"), self.keeper(number, false))?;
        }
        for number in 0..RELAYS {
            self.relays[number] = self.launch(&format!("front-{number}"), self.relay(number))?;
        }
        Ok(())
    }

    fn address(&self, last: u8, port: usize) -> SocketAddr {
        (Ipv4Addr::new(127, self.network[0], self.network[1], last), self.ports[port]).into()
    }

    /// The control addresses of the keepers.
    pub fn control(&self) -> Vec<SocketAddr> {
        (0..KEEPERS).map(|number| self.address(FIRST_KEEPER + number as u8, 0)).collect()
    }

    /// The client address of a relay.
    pub fn front(&self, number: usize) -> SocketAddr {
        self.address(FIRST_RELAY + (number % RELAYS) as u8, 2)
    }

    pub fn engine(&self, number: usize) -> SocketAddr {
        self.address(FIRST_ENGINE + number as u8, 4)
    }

    /// The settings as `deploy/keeper.toml.in` gives them, with the bounds of cmpps-valeurs.
    fn keeper(&self, number: usize, first_start: bool) -> String {
        let last = FIRST_KEEPER + number as u8;
        format!(
            "role = \"coordinator\"\ncontrol_address = \"{}\"\npeer_address = \"{}\"\nfirst_start = {first_start}\nzone = \"{}\"\n",
            self.address(last, 0),
            self.address(last, 1),
            ZONES[number % ZONES.len()],
        )
    }

    /// The settings as `deploy/relay.toml.in` gives them.
    fn relay(&self, number: usize) -> String {
        let last = FIRST_RELAY + number as u8;
        format!(
            "role = \"gateway\"\nclient_address = \"{}\"\nreadiness_address = \"{}\"\nzone = \"{}\"\n",
            self.address(last, 2),
            self.address(last, 3),
            ZONES[number % ZONES.len()],
        )
    }

    fn launch(&self, name: &str, role: String) -> Result<Process, String> {
        let folder = format!("{}/{name}", self.temporary);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let seeds: Vec<String> = self.control().iter().map(|seed| format!("\"{seed}\"")).collect();
        let data =
            if role.contains("coordinator") { format!("data_folder = \"{folder}/data\"\n") } else { String::new() };
        let settings = format!(
            "{role}{data}interface = \"platform\"\nname = \"{name}\"\nseeds = [{}]\npeer_port = {}\n\
             shared_secret = \"processes of one deployment\"\n\n[bounds]\nreport_interval_ms = {}\ndrain_ms = 2000\n\
             configuration_ms = 2000\norder_lease_ms = 3000\ngrace_s = 8\njob_status_s = 120\ntolerated_losses = 1\n",
            seeds.join(", "),
            self.ports[1],
            HEARTBEAT.as_millis(),
        );
        let file = format!("{folder}/boot.toml");
        fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = format!("{folder}/log");
        let output = File::options().create(true).append(true).open(&log).map_err(|error| error.to_string())?;
        let errors = output.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(&self.program)
            .args(["member", "--config", &file])
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|error| error.to_string())?;
        fs::write(format!("{folder}/pid"), child.id().to_string()).map_err(|error| error.to_string())?;
        self.journal.note(&format!("{name} started"));
        Ok(Process { name: name.to_string(), child, log })
    }

    /// The keeper that took the lead last, by its log.
    pub fn leader(&self) -> Option<usize> {
        let led_since = |keeper: &Process| {
            let log = fs::read_to_string(&keeper.log).unwrap_or_default();
            let line = log.lines().filter(|line| line.contains("event=\"leading\"")).next_back()?;
            let time: f64 = line.split("time=").nth(1)?.split(' ').next()?.parse().ok()?;
            Some((time * 1_000.0) as u64)
        };
        let leaders = self.keepers.iter().enumerate().filter_map(|(index, keeper)| Some((led_since(keeper)?, index)));
        leaders.max().map(|(_, index)| index)
    }

    pub fn freeze(&self, keeper: usize) {
        self.signal(keeper, "-STOP", "is frozen");
    }

    pub fn thaw(&self, keeper: usize) {
        self.signal(keeper, "-CONT", "wakes");
    }

    fn signal(&self, keeper: usize, signal: &str, what: &str) {
        let process = &self.keepers[keeper];
        let _ = Command::new("kill").args([signal, &process.child.id().to_string()]).status();
        self.journal.note(&format!("{} {what}", process.name));
    }

    /// Sends a configuration until a node takes it.
    pub fn configure(&self, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for node in self.control() {
                let headers = [("Content-Type", "application/json")];
                let answer = http::call(node, "PUT", "/config", &headers, body.as_bytes(), Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    self.journal.note("the configuration is acknowledged");
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// The names of processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let all = self.keepers.iter_mut().chain(&mut self.relays);
        let ended = all.filter_map(|process| process.child.try_wait().ok().flatten().map(|_| process.name.clone()));
        ended.collect()
    }

    /// Ends all processes.
    pub fn end(&mut self) {
        for process in self.keepers.iter_mut().chain(&mut self.relays) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
    }
}

/// A network of loopback addresses on which the ports are free.
fn free_network() -> Result<([u8; 2], [u16; 5]), String> {
    let process = std::process::id();
    for attempt in 0..200_u32 {
        let draw = process.wrapping_mul(2_654_435_761).wrapping_add(attempt.wrapping_mul(40_503));
        let network = [16 + (draw >> 8) as u8 % 200, (draw >> 16) as u8];
        let first = 21_200 + (draw % 500) as u16 * 16;
        let ports = [first, first + 1, first + 2, first + 3, first + 4];
        let last_bytes = (FIRST_KEEPER..FIRST_KEEPER + 3).chain(FIRST_RELAY..FIRST_RELAY + 2).chain([FIRST_ENGINE]);
        let is_free = last_bytes
            .flat_map(|last| ports.map(|port| (last, port)))
            .all(|(last, port)| TcpListener::bind((Ipv4Addr::new(127, network[0], network[1], last), port)).is_ok());
        if is_free {
            return Ok((network, ports));
        }
    }
    Err("no free network of loopback addresses".to_string())
}
