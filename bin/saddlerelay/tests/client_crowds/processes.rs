//! A coordinator and a gateway as processes of the product, and a stand-in engine behind them.

use super::crowd::call;
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, setrlimit};
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use saddlerelay_types::routing::{
    BatchSettings, RequestLimits, Route, RouteKind, RoutingDocument, Service, WeightedTarget,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Limit for conditions that hold at once on any machine; only a hang reaches it.
const HANG_LIMIT: Duration = Duration::from_secs(30);

/// Ports of every process, each on an address of its own.
const CONTROL_PORT: u16 = 22_001;
const PEER_PORT: u16 = 22_002;
const CLIENT_PORT: u16 = 22_003;
const READINESS_PORT: u16 = 22_004;
const METRICS_PORT: u16 = 22_005;

/// Secret of the deployment's processes.
pub const SHARED_SECRET: &str = "crowd-shared-secret-0123456789";

/// Limits of the routing document: a body of 2 MiB, a head of 8 KiB.
pub const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
const MAX_HEADER_BYTES: u64 = 8 * 1024;
const HEADER_TIMEOUT_MS: u64 = 1_000;
const IDLE_TIMEOUT_MS: u64 = 2_000;

/// Size of the engine's response to a request under [`LARGE_PATH`], in bytes.
const LARGE_RESPONSE_BYTES: usize = 1024 * 1024;

/// Path of requests with large responses.
pub const LARGE_PATH: &str = "/requests/large";

/// Path of the items of batch jobs.
pub const ITEM_PATH: &str = "/rollouts/items/";

/// Size of the text of an item, in bytes.
pub const ITEM_TEXT_BYTES: usize = 48 * 1024;

/// Path of requests that may not be repeated and that the engine works on for [`SLOW_TIME`].
pub const SLOW_PATH: &str = "/orders/slow";

/// Path of requests that may not be repeated and that the engine never completes.
pub const ENDLESS_PATH: &str = "/orders/endless";

/// How long the engine works on a request under [`SLOW_PATH`].
pub const SLOW_TIME: Duration = Duration::from_secs(2);

/// Time limit of a graceful shutdown in the settings.
pub const GRACE: Duration = Duration::from_secs(8);

/// Number of unused routes in the routing document, which make it about 1 MiB long.
const UNUSED_ROUTES: usize = 4_000;

/// Waits until `condition` holds.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < HANG_LIMIT, "not reached: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A process of the product; killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(settings: &std::path::Path, max_descriptors: Option<u64>) -> Self {
        let own_limits = getrlimit(Resource::Nofile);
        if let Some(limit) = max_descriptors {
            set_descriptor_limit(Rlimit { current: Some(limit), ..own_limits });
        }
        let log = std::fs::File::create(settings.with_extension("log")).expect("failed to create the log file");
        let child = Command::new(env!("CARGO_BIN_EXE_saddlerelay"))
            .args(["member", "--config"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("failed to share the log file"))
            .stderr(log)
            .spawn()
            .expect("failed to start the process");
        set_descriptor_limit(own_limits);
        Self { child }
    }

    /// Whether it is running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("failed to query the process").is_none()
    }

    /// Asks the process to reload its settings.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Asks the process to stop.
    pub fn begin_stop(&self) {
        self.signal(Signal::TERM);
    }

    fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(self.child.id() as i32).expect("a process id is positive");
        kill_process(id, signal).expect("failed to signal the process");
    }

    /// Asks the process to stop and waits until it has; returns whether it reported success.
    pub fn stop(&mut self) -> bool {
        self.begin_stop();
        self.wait()
    }

    /// Waits until the process has ended; returns whether it reported success.
    pub fn wait(&mut self) -> bool {
        eventually("the process has stopped", || !self.is_running());
        self.child.wait().expect("failed to query the process").success()
    }

    /// Most memory resident at any time, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or_default();
        let kilobytes = peak.split_whitespace().next().and_then(|count| count.parse::<usize>().ok());
        kilobytes.expect("the process has ended") * 1024
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the process has ended").count()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn set_descriptor_limit(limit: Rlimit) {
    setrlimit(Resource::Nofile, limit).expect("failed to set the descriptor limit");
}

/// The deployment under test.
pub struct Deployment {
    pub coordinator: Process,
    pub gateway: Process,
    pub control: SocketAddr,
    pub peers: SocketAddr,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub gateway_metrics: SocketAddr,
    pub coordinator_metrics: SocketAddr,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // Files of a test that failed are kept.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Deployment {
    /// Starts the deployment; `max_descriptors` is the limit of open files of both processes.
    pub fn start(max_descriptors: Option<u64>) -> Self {
        let network = free_network();
        let address =
            |last: u8, port| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], last)), port);
        let (store, front) = (10, 20);
        let folder = std::env::temp_dir().join(format!("saddlerelay-crowd-{}-{}", network[0], network[1]));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("failed to create the test folder");
        let control = address(store, CONTROL_PORT);
        let shared = format!(
            "zone = \"north\"\nseeds = [\"{control}\"]\npeer_port = {PEER_PORT}\n\
             shared_secret = \"{SHARED_SECRET}\"\n"
        );
        let grace_s = GRACE.as_secs();
        let bounds = format!("\n[bounds]\nreport_interval_ms = 60000\ntolerated_losses = 0\ngrace_s = {grace_s}\n");
        let coordinator_settings = format!(
            "role = \"coordinator\"\nname = \"store\"\ncontrol_address = \"{control}\"\npeer_address = \"{}\"\n\
             metrics_address = \"{}\"\ndata_folder = \"{}\"\nfirst_start = true\n{shared}{bounds}",
            address(store, PEER_PORT),
            address(store, METRICS_PORT),
            folder.join("data").display(),
        );
        let gateway_settings = format!(
            "role = \"gateway\"\nname = \"front\"\nclient_address = \"{}\"\nreadiness_address = \"{}\"\n\
             metrics_address = \"{}\"\n{shared}{bounds}",
            address(front, CLIENT_PORT),
            address(front, READINESS_PORT),
            address(front, METRICS_PORT),
        );
        let start = |name: &str, settings: &str| {
            let file = folder.join(format!("{name}.toml"));
            std::fs::write(&file, settings).expect("failed to write the settings");
            Process::start(&file, max_descriptors)
        };
        let deployment = Self {
            coordinator: start("store", &coordinator_settings),
            gateway: start("front", &gateway_settings),
            control,
            peers: address(store, PEER_PORT),
            clients: address(front, CLIENT_PORT),
            readiness: address(front, READINESS_PORT),
            gateway_metrics: address(front, METRICS_PORT),
            coordinator_metrics: address(store, METRICS_PORT),
            folder,
        };
        deployment.configure();
        deployment
    }

    fn configure(&self) {
        let document = serde_json::to_vec(&document(1, IDLE_TIMEOUT_MS)).expect("failed to serialize JSON");
        let report = InstanceReport {
            id: InstanceId::without_start_time("engine-1"),
            service: "web".to_string(),
            address: start_engine(),
            zone: "north".to_string(),
            slots: 4,
            leaving: false,
            models: Vec::new(),
            sequence: 1,
        };
        let report = serde_json::to_vec(&report).expect("failed to serialize JSON");
        let is_ok = |result: std::io::Result<(u16, Vec<u8>)>| result.is_ok_and(|(status, _)| status == 200);
        eventually("the document is accepted", || is_ok(call(self.control, "PUT /admin/v1/routing", &document)));
        eventually("the engine is registered", || is_ok(call(self.control, "PUT /v1/instances/engine-1", &report)));
        self.assert_served();
    }

    /// Puts a document with another idle timeout into force.
    pub fn set_idle_timeout(&self, version: u64, idle_timeout_ms: u64) {
        let document = serde_json::to_vec(&document(version, idle_timeout_ms)).expect("failed to serialize JSON");
        let put = || call(self.control, "PUT /admin/v1/routing", &document).is_ok_and(|(status, _)| status == 200);
        eventually("the document is accepted", put);
    }

    /// Checks that an ordinary client's request is answered by the engine.
    pub fn assert_served(&self) {
        let body = b"ordinary".as_slice();
        eventually("an ordinary request is answered", || {
            call(self.clients, "POST /requests/small", body).is_ok_and(|response| response == (200, body.to_vec()))
        });
    }

    /// Checks that the coordinator answers an operator.
    pub fn assert_controlled(&self) {
        eventually("an operator's call is answered", || {
            call(self.control, "GET /admin/v1/suspicions", b"").is_ok_and(|(status, _)| status == 200)
        });
    }
}

/// Bytes 2 and 3 of a loopback network that no other test uses.
fn free_network() -> [u8; 2] {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    for _ in 0..200 {
        let network = [100 + (std::process::id() % 100) as u8, NEXT.fetch_add(1, Ordering::Relaxed)];
        let control = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], 10)), CONTROL_PORT);
        if TcpListener::bind(control).is_ok() {
            return network;
        }
    }
    panic!("no loopback network is free");
}

fn document(version: u64, idle_timeout_ms: u64) -> RoutingDocument {
    let route = |prefix: &str, kind| Route {
        name: prefix.to_string(),
        host: "clients.example".to_string(),
        path_prefix: prefix.to_string(),
        kind,
        timeout_ms: 30_000,
        objective_ms: 200,
        priority: 1,
        targets: vec![WeightedTarget { service: "web".to_string(), weight: 1 }],
        max_attempts: 2,
        resumable: false,
        public: false,
        batch: BatchSettings::default(),
    };
    let batch = BatchSettings { give_up_after_ms: 60_000, due_after_ms: 30_000, single_version: false };
    let mut routes = vec![
        route("/requests/", RouteKind::Idempotent),
        Route { batch, ..route("/rollouts/", RouteKind::Rollout) },
        route("/orders/", RouteKind::NonIdempotent),
    ];
    routes.extend((0..UNUSED_ROUTES).map(|number| route(&format!("/unused-{number}/"), RouteKind::Idempotent)));
    let service = Service {
        name: "web".to_string(),
        health_path: "/health".to_string(),
        max_connections: 100,
        hosting: None,
        scaling: None,
    };
    let limits = RequestLimits {
        max_header_bytes: MAX_HEADER_BYTES,
        max_body_bytes: MAX_BODY_BYTES as u64,
        header_timeout_ms: HEADER_TIMEOUT_MS,
        idle_timeout_ms,
    };
    RoutingDocument { version, routes, services: vec![service], limits, tenants: None, source: Vec::new() }
}

/// Starts an engine that returns the body of each request, and returns its address.
fn start_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A connection that fails ends alone.
            std::thread::spawn(move || while serve_request(&stream).is_ok() {});
        }
    });
    address
}

fn serve_request(mut stream: &TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    let (mut id, mut length, mut first_line) = (String::new(), 0, String::new());
    reader.read_line(&mut first_line)?;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        match line.split_once(": ") {
            Some(("saddlerelay-request", value)) => id = value.to_string(),
            Some(("content-length", value)) => length = value.parse().unwrap_or(0),
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    if first_line.contains(LARGE_PATH) {
        body = vec![b'y'; LARGE_RESPONSE_BYTES];
    } else if first_line.contains(ITEM_PATH) {
        body = format!("id: 1\ndata: {}\n\n", incompressible_text(ITEM_TEXT_BYTES)).into_bytes();
    }
    if first_line.contains(SLOW_PATH) {
        std::thread::sleep(SLOW_TIME);
    }
    if first_line.contains(ENDLESS_PATH) {
        std::thread::sleep(HANG_LIMIT);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nsaddlerelay-request: {id}\r\nsaddlerelay-stamp: engine-1\r\n\
         saddlerelay-version: 1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), &body].concat())
}

/// Text of `bytes` bytes that encodings between processes cannot make shorter.
fn incompressible_text(bytes: usize) -> String {
    let mut state = 1_u64;
    let mut next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        char::from(b' ' + (state >> 33) as u8 % 95)
    };
    (0..bytes).map(|_| next()).collect()
}
