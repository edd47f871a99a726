//! Test deployment in one process over loopback: a control replica with a coordinator, a gateway, and stand-in engines.
#![allow(dead_code)]

pub mod crashing;
pub mod endless;
pub mod engine;

use crashing::CrashingEngine;
use engine::StandInEngine;
use hyper::{Method, StatusCode};
use saddlerelay_control::config::ControlConfig;
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_coordinator::{Coordinator, CoordinatorConfig, CoordinatorIdentity};
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_gateway::{Gateway, GatewayConfig, GatewayOptions};
use saddlerelay_gateway_api::{ClientApi, ControlApi, NativeEngines, NativeFormats};
use saddlerelay_http::client::{BufferedResponse, Connection};
use saddlerelay_http::limits::ListenerLimits;
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_http::server::{Shutdown, serve_until};
use saddlerelay_replication::ReplicaOptions;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_scheduling::Activation;
use saddlerelay_types::gateway::{GatewayCommand, StoreRecord};
use saddlerelay_types::instance::{InstanceId, InstanceReport, LoadedModel};
use saddlerelay_types::job::{ItemId, JobId, JobItem, JobSubmission, ResultPage, ScoringRequest};
use saddlerelay_types::routing::{
    BatchSettings, ModelHosting, RequestLimits, Route, RouteKind, RoutingDocument, Service, WeightedTarget,
};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const SECRET: &str = "a secret of sixteen signs";

/// Length of a usage window.
pub const USAGE_WINDOW: Duration = Duration::from_secs(1);

/// Timeout of [`eventually`].
pub const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(20);

/// The host of every route in these tests.
pub const HOST: &str = "clinic.example";

/// Runs a test on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    compio::runtime::Runtime::new().expect("failed to create a runtime").block_on(future)
}

/// Waits until `condition` returns `true`; panics after [`EVENTUALLY_TIMEOUT`].
pub async fn eventually(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + EVENTUALLY_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {description}");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A running deployment.
pub struct Deployment {
    pub node: ControlNode<CompioRuntime, HttpBackends>,
    pub coordinator: Coordinator<HttpBackends>,
    pub gateway: Gateway,
    pub client_address: SocketAddr,
    pub control: SocketAddr,
    peer_address: SocketAddr,
    name: String,
    /// Configuration of all gateways.
    gateway_config: GatewayConfig,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(folder(&self.name));
    }
}

async fn bind() -> (compio::net::TcpListener, SocketAddr) {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("listener has no local address");
    (listener, address)
}

fn folder(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("saddlerelay-{name}-{}", std::process::id()))
}

fn empty_folder(name: &str) -> std::path::PathBuf {
    let folder = folder(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("failed to create the test folder");
    folder
}

/// Starts a replica of the group that the replica at `founder` bootstraps.
async fn start_replica(
    runtime: &CompioRuntime,
    listener: compio::net::TcpListener,
    address: SocketAddr,
    founder: SocketAddr,
    target_voters: usize,
) -> ControlNode<CompioRuntime, HttpBackends> {
    let options = ReplicaOptions {
        address,
        peers: vec![founder],
        founders: vec![founder],
        secret: SECRET.to_string(),
        config: ReplicationConfig {
            election_timeout: Duration::from_millis(300),
            election_jitter: Duration::from_millis(20),
            lease: Duration::from_millis(250),
            heartbeat_interval: Duration::from_millis(50),
            target_voters,
            ..ReplicationConfig::default()
        },
    };
    let config = ControlConfig { order_separation: Duration::ZERO, ..ControlConfig::default() };
    let backends = HttpBackends::new(BackendAddresses { scorer: None, platform: None });
    let node = ControlNode::start(runtime.clone(), backends, config, options).await;
    let node = node.expect("failed to start the control replica");
    let listener = saddlerelay_runtime_compio::connection::TcpFrameListener::new(listener, Default::default());
    let handler = Rc::new(node.clone());
    runtime.spawn(saddlerelay_rpc::server::serve(runtime.clone(), listener, SECRET.to_string(), handler));
    node
}

/// Starts a gateway in a zone; returns it with its client address.
async fn start_gateway(
    runtime: &CompioRuntime,
    peer_address: SocketAddr,
    name: &str,
    zone: &str,
    config: GatewayConfig,
) -> (Gateway, SocketAddr) {
    let options = GatewayOptions {
        name: name.to_string(),
        zone: zone.to_string(),
        seeds: Rc::new(RefCell::new(vec![peer_address])),
        names: Default::default(),
        config,
        clients: OverloadManager::default(),
        usage_window: Some(USAGE_WINDOW),
    };
    let gateway =
        Gateway::start(runtime.clone(), ControlClient::new(runtime.clone(), &[peer_address], SECRET), options);
    let (listener, client_address) = bind().await;
    let api = Rc::new(ClientApi::new(gateway.clone(), NativeFormats));
    runtime.spawn(serve_until(
        listener,
        api,
        ListenerLimits::default(),
        OverloadManager::default(),
        Shutdown::default(),
    ));
    (gateway, client_address)
}

/// Coordinator configuration with short intervals.
fn coordinator_config() -> CoordinatorConfig {
    CoordinatorConfig {
        expected_load_time: Duration::from_millis(20),
        load_poll_interval: Duration::from_millis(10),
        engine_backoff: Duration::from_millis(30),
        event_timeout: Duration::from_millis(400),
        save_interval: Duration::from_millis(20),
        ..CoordinatorConfig::default()
    }
}

impl Deployment {
    /// Starts a deployment and waits until it has a leader.
    pub async fn start(name: &str) -> Self {
        Self::start_with(name, GatewayConfig::default()).await
    }

    /// Like [`Self::start`], with a gateway configuration.
    pub async fn start_with(name: &str, gateway_config: GatewayConfig) -> Self {
        Self::start_configured(name, gateway_config, coordinator_config(), 1).await
    }

    /// Like [`Self::start`], with the setting of the order of waiting items, in a group of up to `voters` voters.
    pub async fn start_with_batch_order(name: &str, batch_order: Activation, voters: usize) -> Self {
        let coordinator = CoordinatorConfig { batch_order, ..coordinator_config() };
        Self::start_configured(name, GatewayConfig::default(), coordinator, voters).await
    }

    /// Like [`Self::start`], with the coordinator's timeout for the next event of an item.
    pub async fn start_with_event_timeout(name: &str, event_timeout: Duration) -> Self {
        let coordinator = CoordinatorConfig { event_timeout, ..coordinator_config() };
        Self::start_configured(name, GatewayConfig::default(), coordinator, 1).await
    }

    /// Like [`Self::start`], with the setting of placement by expected completion.
    pub async fn start_with_placement(name: &str, placement: Activation) -> Self {
        let coordinator = CoordinatorConfig { placement, ..coordinator_config() };
        Self::start_configured(name, GatewayConfig::default(), coordinator, 1).await
    }

    async fn start_configured(
        name: &str,
        gateway_config: GatewayConfig,
        coordinator: CoordinatorConfig,
        target_voters: usize,
    ) -> Self {
        let runtime = CompioRuntime::new(empty_folder(name));
        let (peer_listener, peer_address) = bind().await;
        let node = start_replica(&runtime, peer_listener, peer_address, peer_address, target_voters).await;
        let coordinator = Coordinator::start(
            runtime.clone(),
            node.clone(),
            CoordinatorIdentity { name: "coordinator".to_string(), zone: "north".to_string() },
            Default::default(),
            Box::new(NativeEngines),
            coordinator,
        );
        let (gateway, client_address) =
            start_gateway(&runtime, peer_address, "gateway", "north", gateway_config.clone()).await;
        let (control_listener, control) = bind().await;
        let control_api = {
            let client = ControlClient::new(runtime.clone(), &[peer_address], SECRET);
            ControlApi::start(runtime.clone(), client, Duration::from_secs(1), Box::new(|_| None), NativeFormats)
        };
        runtime.spawn(serve_until(
            control_listener,
            control_api,
            ListenerLimits::default(),
            OverloadManager::default(),
            Shutdown::default(),
        ));
        let name = name.to_string();
        let deployment =
            Self { node, coordinator, gateway, client_address, control, peer_address, name, gateway_config };
        eventually("the group has a leader", async || deployment.node.replica().leading_term().is_some()).await;
        deployment
    }

    /// Starts a second replica, which follows the first, and a gateway, both in zone `south`; returns them with the gateway's
    /// client address.
    pub async fn start_south_zone(&self) -> (ControlNode<CompioRuntime, HttpBackends>, Gateway, SocketAddr) {
        let runtime = CompioRuntime::new(empty_folder(&format!("{}-south", self.name)));
        let (listener, address) = bind().await;
        let replica = start_replica(&runtime, listener, address, self.peer_address, 1).await;
        let record = StoreRecord {
            name: "south".to_string(),
            replica: replica.replica().id(),
            address,
            zone: "south".to_string(),
        };
        self.node.commit_gateway(GatewayCommand::RegisterStore(record)).await.expect("the command was not committed");
        eventually("the second replica is a member", async || {
            self.node.replica().member_addresses().contains(&address)
        })
        .await;
        let (gateway, client_address) =
            start_gateway(&runtime, self.peer_address, "gateway-south", "south", self.gateway_config.clone()).await;
        eventually("the gateway in zone `south` is ready", async || gateway.is_ready()).await;
        (replica, gateway, client_address)
    }

    /// Starts a second replica with a coordinator and waits until it is a voter.
    pub async fn start_second_coordinator(
        &self,
        batch_order: Activation,
    ) -> (ControlNode<CompioRuntime, HttpBackends>, Coordinator<HttpBackends>) {
        let runtime = CompioRuntime::new(empty_folder(&format!("{}-second", self.name)));
        let (listener, address) = bind().await;
        let node = start_replica(&runtime, listener, address, self.peer_address, 2).await;
        let coordinator = Coordinator::start(
            runtime.clone(),
            node.clone(),
            CoordinatorIdentity { name: "second".to_string(), zone: "north".to_string() },
            Default::default(),
            Box::new(NativeEngines),
            CoordinatorConfig { batch_order, ..coordinator_config() },
        );
        let voters = || {
            self.node.replica().view().map_or(0, |view| view.replicas.iter().filter(|replica| replica.voter).count())
        };
        eventually("the second replica is a voter", async || voters() == 2).await;
        (node, coordinator)
    }

    /// Starts another gateway in zone `north` and waits until it is ready; returns its client address.
    pub async fn start_north_gateway(&self, name: &str) -> SocketAddr {
        let runtime = CompioRuntime::new(empty_folder(&format!("{}-{name}", self.name)));
        let (gateway, client_address) =
            start_gateway(&runtime, self.peer_address, name, "north", self.gateway_config.clone()).await;
        eventually("the additional gateway is ready", async || gateway.is_ready()).await;
        client_address
    }

    /// Commits a routing document and waits until the gateway uses it.
    pub async fn configure(&self, document: &RoutingDocument) {
        let body = serde_json::to_vec(document).expect("failed to serialize JSON");
        let response = call(self.control, Method::PUT, "/admin/v1/routing", &[], body).await;
        assert_eq!(response.status, StatusCode::OK);
        eventually("the document is in force", async || {
            let probe = self.gateway.choose_route(HOST, "/absent/");
            self.gateway.is_ready() && probe.is_err() && self.routing_version() == Some(document.version)
        })
        .await;
    }

    fn routing_version(&self) -> Option<u64> {
        self.node.read(|state| state.routing.version()).flatten()
    }

    /// Starts a deployment with one route and engines of service `llm`.
    pub async fn start_with_engines(name: &str, route: Route, count: usize) -> (Self, Vec<StandInEngine>) {
        let deployment = Self::start(name).await;
        deployment.configure(&document(1, vec![route])).await;
        let mut engines = Vec::new();
        for index in 0..count {
            let engine = StandInEngine::start(&format!("engine-{index}")).await;
            deployment.register(&engine, "llm").await;
            engines.push(engine);
        }
        deployment.await_engines("llm", count).await;
        (deployment, engines)
    }

    /// Registers an engine with its first report.
    pub async fn register(&self, engine: &StandInEngine, service: &str) {
        self.report(engine, service, false, 1).await;
    }

    /// Sends a report of an engine.
    pub async fn report(&self, engine: &StandInEngine, service: &str, leaving: bool, sequence: u64) {
        let models = engine.models();
        let report =
            InstanceReport { leaving, sequence, models, ..report(engine.instance(), service, engine.address()) };
        self.send_report(&report).await;
    }

    /// Registers a crashing engine with the model of these tests.
    pub async fn register_crashing(&self, engine: &CrashingEngine, service: &str) {
        let report = report(engine.instance(), service, engine.address());
        self.send_report(&InstanceReport { models: vec![notes(1)], ..report }).await;
    }

    /// Restarts the engines that have crashed, and registers their new instances.
    pub async fn restart(&self, engines: &[CrashingEngine], service: &str) {
        for engine in engines {
            engine.await_down_time().await;
            if engine.restart() {
                self.register_crashing(engine, service).await;
            }
        }
    }

    /// Sends a report.
    pub async fn send_report(&self, report: &InstanceReport) {
        let path = format!("/v1/instances/{}", report.id.name);
        let body = serde_json::to_vec(report).expect("failed to serialize JSON");
        let response = call(self.control, Method::PUT, &path, &[], body).await;
        assert_eq!(response.status, StatusCode::OK);
    }

    /// Waits until the gateway sees `count` ready engines of a service.
    pub async fn await_engines(&self, service: &str, count: usize) {
        eventually("the gateway uses the engines", async || self.gateway.ready_engines(service) == count).await;
    }

    /// Sends a client's request to the gateway.
    pub async fn request(&self, method: Method, path: &str, headers: &[(&str, &str)], body: &str) -> BufferedResponse {
        call(self.client_address, method, path, &[headers, &[("host", HOST)]].concat(), body.to_string()).await
    }

    /// Submits a job.
    pub async fn submit(&self, job: &JobSubmission) -> StatusCode {
        let body = serde_json::to_vec(job).expect("failed to serialize JSON");
        let path = format!("/rollouts/{}", job.id.0);
        let headers = [("host", HOST), ("saddlerelay-request", job.id.0.as_str())];
        call(self.client_address, Method::POST, &path, &headers, body).await.status
    }

    /// Reads a job's results from the start.
    pub async fn results(&self, job: &str) -> Option<ResultPage> {
        self.results_at(self.client_address, job).await
    }

    /// Reads a job's results from the start at a given gateway.
    pub async fn results_at(&self, client_address: SocketAddr, job: &str) -> Option<ResultPage> {
        let path = format!("/v1/jobs/{job}/results?after=0&wait_ms=50");
        let response = call(client_address, Method::GET, &path, &[], "").await;
        (response.status == StatusCode::OK)
            .then(|| serde_json::from_slice(&response.body).expect("the response is not a result page"))
    }

    /// Waits until a job has `count` results, and returns them.
    pub async fn await_results(&self, job: &str, count: usize) -> ResultPage {
        let mut page = None;
        eventually("the job has its results", async || {
            page = self.results(job).await;
            page.as_ref().is_some_and(|page| page.results.len() >= count)
        })
        .await;
        page.expect("no result page was read")
    }
}

/// The first report of an instance that is ready and has no model.
pub fn report(id: InstanceId, service: &str, address: SocketAddr) -> InstanceReport {
    InstanceReport {
        id,
        service: service.to_string(),
        address,
        zone: "north".to_string(),
        slots: 4,
        leaving: false,
        models: Vec::new(),
        sequence: 1,
    }
}

/// Sends a request and reads the entire response. `headers` may contain `host`.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<bytes::Bytes>,
) -> BufferedResponse {
    let mut connection = Connection::open(address).await.expect("failed to connect to the server");
    let response = connection.send(method, path, headers, body).await.expect("the server sent no response");
    let (head, body) = response.into_parts();
    let body = saddlerelay_http::body::read_body(body).await.expect("failed to read the entire body");
    BufferedResponse { status: head.status, headers: head.headers, body }
}

/// A route of `kind` to `service`.
pub fn route(prefix: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: prefix.to_string(),
        host: HOST.to_string(),
        path_prefix: prefix.to_string(),
        kind,
        timeout_ms: 2_000,
        objective_ms: 200,
        priority: 1,
        targets: vec![WeightedTarget { service: service.to_string(), weight: 1 }],
        max_attempts: 2,
        resumable: false,
        public: false,
        batch: BatchSettings::default(),
    }
}

/// The rollout route, for batch jobs.
pub fn rollouts() -> Route {
    let batch = BatchSettings { give_up_after_ms: 20_000, due_after_ms: 5_000, single_version: false };
    Route { resumable: true, max_attempts: 3, batch, ..route("/rollouts/", RouteKind::Rollout, "llm") }
}

/// A routing document with services `web`, `llm` and `other`.
pub fn document(version: u64, routes: Vec<Route>) -> RoutingDocument {
    let service = |name: &str, hosting| Service {
        name: name.to_string(),
        health_path: "/health".to_string(),
        max_connections: 100,
        hosting,
        scaling: None,
    };
    let hosting =
        ModelHosting { slots: 4, token_capacity: 10_000, tokens_per_event: 1, models: vec!["notes".to_string()] };
    RoutingDocument {
        version,
        routes,
        services: vec![service("web", None), service("llm", Some(hosting)), service("other", None)],
        limits: RequestLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 100_000,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: None,
        source: Vec::new(),
    }
}

/// A job of `count` items, numbered from `first`, with `events` events each.
pub fn job(id: &str, minimum_version: u64, first: u32, count: u32, events: u32) -> JobSubmission {
    let item = |index: u32| JobItem {
        id: ItemId(format!("item-{index}")),
        path: format!("/rollouts/{index}"),
        headers: vec![("events".to_string(), events.to_string())],
        body: format!("prompt {index}").into_bytes(),
        tokens: u64::from(events),
        group: format!("group-{}", index / 2),
        scorer: None,
    };
    JobSubmission {
        id: JobId(id.to_string()),
        host: HOST.to_string(),
        path: format!("/rollouts/{id}"),
        owner: None,
        model: Some("notes".to_string()),
        step: 0,
        minimum_version,
        wanted_groups: 1,
        items: (first..first + count).map(item).collect(),
    }
}

/// Gives each item of a job a scorer, whose calls go to the route `/scores/`.
pub fn scored(mut submission: JobSubmission) -> JobSubmission {
    for (index, item) in submission.items.iter_mut().enumerate() {
        item.scorer = Some(ScoringRequest {
            id: format!("score-{index}"),
            host: HOST.to_string(),
            path: format!("/scores/{index}"),
            body: b"a text".to_vec(),
        });
    }
    submission
}

/// The identifier of an instance without a start time.
pub fn instance(name: &str) -> InstanceId {
    InstanceId::without_start_time(name)
}

/// The model of these tests, loaded at `version`.
pub fn notes(version: u64) -> LoadedModel {
    LoadedModel { model: "notes".to_string(), version }
}
