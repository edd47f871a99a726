//! A small deployment: three zones with a store machine and a front machine each, and engines. Every process is started
//! with the command of the deploy file; its settings come from the templates beside that file.

use crate::http::{Message, call};
use crate::record::{Line, Record};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["miraflores", "san-isidro", "surco"];
pub const SERVICE: &str = "kinetia";
pub const MODEL: &str = "m0";
pub const HOST: &str = "plans.example";
pub const HEARTBEAT_MS: u64 = 1_200;

const CONTROL_PORT: u16 = 8_166;
const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const PEER_PORT: u16 = 7_720;
const ENGINE_PORT: u16 = 8_080;

/// Bounds as in the site file of andino-relay, for the gaps of the templates.
const BOUNDS: [(&str, &str); 7] = [
    ("heartbeat_ms", "1200"),
    ("bounds.drain_ms", "2000"),
    ("bounds.config_apply_ms", "2000"),
    ("bounds.lease_ms", "3000"),
    ("bounds.grace_s", "8"),
    ("bounds.status_s", "120"),
    ("fault_tolerance.machines", "1"),
];

/// A started process. Its output goes to a file of the run's folder.
pub struct Process {
    child: Child,
}

impl Process {
    /// Kills it (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to end (SIGTERM), with the shell's own `kill`.
    pub fn terminate(&mut self) {
        let command = format!("kill -TERM {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Asks an engine for its planned end.
    pub fn ask_to_leave(&mut self) {
        if let Some(input) = &mut self.child.stdin {
            let _ = input.write_all(b"leave\n").and_then(|()| input.flush());
        }
    }

    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Deployment {
    pub record: Record,
    folder: PathBuf,
    /// The models that every engine hosts.
    models: Vec<String>,
    network: [u8; 2],
    pub processes: BTreeMap<String, Process>,
    /// Name of the store that last wrote that it leads.
    leader: Arc<Mutex<String>>,
    /// Whether a store is started for the first time with an empty disk.
    bootstrap: bool,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn quoted(text: &str) -> String {
    format!("\"{text}\"")
}

/// Fills the gaps of a template; a section whose name is not given is left out.
fn fill(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut text = template.to_string();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("a section's name ends");
        let name = text[start + 3..name_end].to_string();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).expect("a section ends");
        let inner = text[name_end + 2..end].to_string();
        let kept = if values.contains_key(&name) { inner } else { String::new() };
        text.replace_range(start..end + close.len(), &kept);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
        text = text.replace(&format!("{{{{{name}}}}}"), value.trim_matches('"'));
    }
    assert!(!text.contains("{{"), "a gap of the template has no value: {text}");
    text
}

/// The program and arguments of a role in the deploy file, with `settings` as the settings file.
fn command_of_role(role: &str, settings: &Path) -> Vec<String> {
    let deploy = fs::read_to_string("deploy/system.toml").expect("run from the repository's root");
    let section = deploy.split(&format!("[roles.{role}]")).nth(1).expect("the deploy file has the role");
    let run = section.lines().find_map(|line| line.strip_prefix("run = ")).expect("the role has a command");
    let word = |word: &str| match word {
        "/etc/saddlerelay/boot.yaml" => settings.display().to_string(),
        other => other.to_string(),
    };
    run.trim().trim_matches('"').split(' ').map(word).collect()
}

impl Deployment {
    /// Prepares a folder and picks loopback addresses whose ports are free.
    pub fn new(record: Record, models: &[&str]) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("saddlerelay-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let is_free = |network: &[u8; 2]| {
            let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, PEER_PORT, 9_464, ENGINE_PORT];
            ports.iter().all(|port| TcpListener::bind((Ipv4Addr::new(127, network[0], network[1], 11), *port)).is_ok())
        };
        let networks = (0..200).map(|step| [60 + (id / 200 % 150) as u8, ((id + step) % 200) as u8 + 1]);
        let network = networks.into_iter().find(is_free).expect("a free loopback network");
        Self {
            record,
            folder,
            models: models.iter().map(|model| model.to_string()).collect(),
            network,
            processes: BTreeMap::new(),
            leader: Arc::default(),
            bootstrap: true,
        }
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.network[0], self.network[1], last), port).into()
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        self.address(11 + index as u8, CONTROL_PORT)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..ZONES.len()).map(|index| self.control(index)).collect()
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        self.address(21 + index as u8, FRONT_PORT)
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        self.address(21 + index as u8, READY_PORT)
    }

    pub fn engine_address(&self, index: usize) -> SocketAddr {
        self.address(101 + index as u8, ENGINE_PORT)
    }

    /// From now on, stores are not told to form a group.
    pub fn end_first_start(&mut self) {
        self.bootstrap = false;
    }

    fn start_member(&mut self, role: &str, template: &str, name: &str, zone: &str, ip: u8) {
        let ip_text = self.address(ip, 0).ip().to_string();
        let seeds: Vec<String> = self.controls().iter().map(|address| quoted(&address.to_string())).collect();
        let data = self.folder.join(format!("{name}-data"));
        let _ = fs::create_dir_all(&data);
        let mut values: BTreeMap<String, String> =
            BOUNDS.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect();
        let more = [
            ("node_id", quoted(name)),
            ("zone", quoted(zone)),
            ("ip", ip_text),
            ("listen.control", quoted(&self.address(ip, CONTROL_PORT).to_string())),
            ("listen.front", quoted(&self.address(ip, FRONT_PORT).to_string())),
            ("listen.ready", quoted(&self.address(ip, READY_PORT).to_string())),
            ("port_range.0", PEER_PORT.to_string()),
            ("data_dir", quoted(&data.display().to_string())),
            ("bootstrap", self.bootstrap.to_string()),
            ("seeds", format!("[{}]", seeds.join(", "))),
        ];
        values.extend(more.map(|(name, value)| (name.to_string(), value)));
        let settings = self.folder.join(format!("{name}.toml"));
        let template = fs::read_to_string(template).expect("the template is there");
        fs::write(&settings, fill(&template, &values)).expect("settings are written");
        let command = command_of_role(role, &settings);
        let mut child = Command::new(&command[0])
            .args(&command[1..])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the product is built");
        self.note_pid(&child);
        let output = child.stdout.take().expect("a pipe");
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let mut log = log.expect("a log file");
        let (leader, record, name_of_log) = (self.leader.clone(), self.record.clone(), name.to_string());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = writeln!(log, "{line}");
                if line.contains("event=\"leading\"") || line.contains("event=leading ") {
                    *leader.lock().unwrap() = name_of_log.clone();
                    record.note(&name_of_log, "leads", &[]);
                }
            }
        });
        self.record.note(name, "start", &[]);
        self.processes.insert(name.to_string(), Process { child });
    }

    /// Lets `run.sh` end what is left if this program is killed.
    fn note_pid(&self, child: &Child) {
        if let Some(file) = std::env::var_os("PIDS")
            && let Ok(mut file) = fs::OpenOptions::new().create(true).append(true).open(file)
        {
            let _ = writeln!(file, "{}", child.id());
        }
    }

    pub fn start_store(&mut self, index: usize) {
        let name = format!("store-{index}");
        self.start_member("keeper", "deploy/keeper.toml.in", &name, ZONES[index], 11 + index as u8);
    }

    pub fn start_front(&mut self, index: usize) {
        let name = format!("front-{index}");
        self.start_member("relay", "deploy/relay.toml.in", &name, ZONES[index], 21 + index as u8);
    }

    pub fn start_engine(&mut self, index: usize, slots: u32, event_ms: u64) {
        let name = format!("engine-{index}");
        let program = std::env::current_exe().expect("the path of this program");
        let controls: Vec<String> = self.controls().iter().map(SocketAddr::to_string).collect();
        let mut child = Command::new(program)
            .args(["engine", &name, &self.engine_address(index).to_string(), SERVICE, ZONES[index % ZONES.len()]])
            .args([
                &controls.join(","),
                &self.models.join(","),
                &slots.to_string(),
                &event_ms.to_string(),
                &HEARTBEAT_MS.to_string(),
            ])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the engine starts");
        self.note_pid(&child);
        let output = child.stdout.take().expect("a pipe");
        let record = self.record.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(line) = Line::parse(&line) {
                    record.push(line);
                }
            }
        });
        self.processes.insert(name, Process { child });
    }

    /// Starts stores, fronts and engines, puts the configuration and waits until all of it is in force.
    pub fn start(&mut self, engines: usize, slots: u32, event_ms: u64, config: &str) -> Result<(), String> {
        (0..ZONES.len()).for_each(|index| self.start_store(index));
        (0..ZONES.len()).for_each(|index| self.start_front(index));
        (0..engines).for_each(|index| self.start_engine(index, slots, event_ms));
        self.end_first_start();
        let answer = self.operator("PUT", "/config", config.as_bytes(), Duration::from_secs(15))?;
        if answer.status() != 200 {
            return Err(format!("the configuration was answered {}", answer.status()));
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        let is_ready = |address| call(address, "GET", "/readiness", &[], b"", Duration::from_secs(1));
        while (0..ZONES.len()).any(|index| is_ready(self.ready(index)).is_ok_and(|answer| answer.status() != 200)) {
            if Instant::now() > deadline {
                return Err("the front machines are not ready".to_string());
            }
            thread::sleep(Duration::from_millis(50));
        }
        // Two heartbeats of every engine.
        thread::sleep(Duration::from_millis(2 * HEARTBEAT_MS + 200));
        Ok(())
    }

    /// A call of an operator or a trainer to control; it goes on to the next machine after a failure, a 5xx, or a second
    /// without an answer.
    pub fn operator(&self, method: &str, path: &str, body: &[u8], limit: Duration) -> Result<Message, String> {
        let deadline = Instant::now() + limit;
        let mut last = String::new();
        let mut index = 0;
        while Instant::now() < deadline {
            let address = self.control(index % ZONES.len());
            let headers = [("Content-Type", "application/json")];
            match call(address, method, path, &headers, body, Duration::from_secs(1)) {
                Ok(answer) if answer.status() / 100 != 5 => {
                    let fields = [("to", address.to_string()), ("answer", answer.status().to_string())];
                    self.record.note("operator", &format!("{method}:{path}"), &fields);
                    return Ok(answer);
                }
                Ok(answer) => last = answer.status().to_string(),
                Err(error) => last = error.to_string(),
            }
            index += 1;
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{method} {path} was not acknowledged: {last}"))
    }

    /// The store that leads at present, by what the stores write.
    pub fn leader(&self) -> String {
        self.leader.lock().unwrap().clone()
    }
}
