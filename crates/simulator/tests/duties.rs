//! The leader's calls to the platform: usage reports and engine orders. Leaders are killed, frozen and resumed, a third
//! of the wall clocks are wrong, and the platform loses responses, executes calls late, or is down. The usage that the
//! platform received is compared with the usage that relays counted.

use futures::executor::LocalPool;
use hyper::StatusCode;
use saddlerelay_control::config::ControlConfig;
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_duties::client::PlatformClient;
use saddlerelay_duties::format::{CallGrant, EngineCountOrder, PlatformCall, PlatformFormat};
use saddlerelay_duties::policies::KeepInitial;
use saddlerelay_duties::{Duties, EngineCountConfig, PlatformMetrics, UsageReportConfig};
use saddlerelay_gateway::follower::AssignedReplica;
use saddlerelay_gateway::usage::{GroupClockSamples, UsageLedger};
use saddlerelay_replication::ReplicaOptions;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::backends::SimBackends;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, START_UNIX_MILLISECONDS, Sleep, World};
use saddlerelay_types::gateway::{EnginePool, FollowRequest, GatewayCommand, GatewayReply, GatewayRequest};
use saddlerelay_types::identity::{Incarnation, TenantId};
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use saddlerelay_types::routing::{RequestLimits, RoutingDocument, ScalingLimits, Service};
use saddlerelay_types::usage::{TenantCounts, UsageReport, UsageWindow};
use saddlerelay_upstream::Failure;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..40;
const SECRET: &str = "a secret of sixteen signs";
const REPLICAS: u8 = 3;
const RELAYS: u8 = 9;

/// Wall clock offset of a third of the machines, in milliseconds, ahead or behind.
const WRONG_CLOCK_MS: i64 = 2_000;

/// Duration of the lease for sending orders. `ORDER_SEPARATION` adds a margin, as the settings derive it.
const ORDER_LEASE: Duration = Duration::from_millis(3_000);
const ORDER_SEPARATION: Duration = Duration::from_millis(4_000);

const USAGE_REPORT_CONFIG: UsageReportConfig =
    UsageReportConfig { window: Duration::from_secs(2), due_after: Duration::from_secs(10) };
const ENGINE_COUNT_CONFIG: EngineCountConfig =
    EngineCountConfig { discovery_time: Duration::from_secs(2), replacement_delay: Duration::from_secs(1) };

type Node = ControlNode<SimRuntime, SimBackends>;

/// A call as the platform received it.
#[derive(Clone, Debug)]
enum Received {
    Usage(UsageReport),
    EngineCount(EngineCountOrder),
}

/// A call that the platform has executed or rejected.
#[derive(Clone, Debug)]
struct Record {
    at: Duration,
    /// The machine that sent it.
    machine: String,
    fence: u64,
    call: Received,
    accepted: bool,
    /// Whether it was executed long after it was sent.
    delayed: bool,
}

/// The simulated platform and its faults.
struct Platform {
    world: Rc<World>,
    process: Rc<Process>,
    records: RefCell<Vec<Record>>,
    highest_fence: RefCell<BTreeMap<String, u64>>,
    /// Percentage of calls without a response; half of these are executed late.
    unanswered_percent: Cell<u64>,
    /// Upper bound of the time to connect to it.
    connect_time: Cell<Duration>,
    /// Whether it executes no calls and sends no responses.
    is_down: Cell<bool>,
}

impl Platform {
    fn new(world: &Rc<World>) -> Rc<Self> {
        Rc::new(Self {
            world: world.clone(),
            process: world.start_process("platform", 0, 0),
            records: RefCell::default(),
            highest_fence: RefCell::default(),
            unanswered_percent: Cell::new(0),
            connect_time: Cell::new(Duration::from_millis(4)),
            is_down: Cell::new(false),
        })
    }

    fn subject(call: &Received) -> String {
        match call {
            Received::Usage(_) => "usage".to_string(),
            Received::EngineCount(order) => format!("{}/{}", order.place.service, order.place.zone),
        }
    }

    fn execute(&self, machine: &str, fence: u64, call: Received, delayed: bool) -> StatusCode {
        let mut highest = self.highest_fence.borrow_mut();
        let highest_fence = highest.entry(Self::subject(&call)).or_default();
        let accepted = fence >= *highest_fence;
        *highest_fence = (*highest_fence).max(fence);
        let at = self.world.clock.now();
        self.records.borrow_mut().push(Record { at, machine: machine.to_string(), fence, call, accepted, delayed });
        if accepted { StatusCode::OK } else { StatusCode::CONFLICT }
    }
}

/// One machine's client of the platform. Calls are passed by index without being encoded.
struct PlatformLink {
    platform: Rc<Platform>,
    machine: String,
    calls: Rc<RefCell<Vec<(u64, Received)>>>,
}

impl PlatformClient for PlatformLink {
    async fn call(
        &self,
        call: PlatformCall,
        limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<StatusCode, Failure> {
        let (fence, received) =
            self.calls.borrow()[call.path.parse::<usize>().expect("the path is the index of a call")].clone();
        let platform = self.platform.clone();
        let world = platform.world.clone();
        let pause = |limit: Duration| Sleep::new(world.clock.clone(), world.clock.now() + world.jitter(limit));
        pause(platform.connect_time.get()).await;
        if !may_send() {
            return Err(Failure::NotSent("the grant to call the platform has expired".to_string()));
        }
        let unanswered = world.random() % 100 < platform.unanswered_percent.get();
        if platform.is_down.get() || unanswered {
            if unanswered && world.random().is_multiple_of(2) {
                let delayed = pause(Duration::from_secs(6));
                let (platform, machine) = (platform.clone(), self.machine.clone());
                let process = platform.process.clone();
                world.spawn(&process, async move {
                    delayed.await;
                    platform.execute(&machine, fence, received, true);
                });
            }
            Sleep::new(world.clock.clone(), world.clock.now() + limit).await;
            return Err(Failure::PossiblyExecuted("the platform did not respond in time".to_string()));
        }
        let status = platform.execute(&self.machine, fence, received, false);
        pause(Duration::from_millis(4)).await;
        Ok(status)
    }
}

/// Stores calls and refers to them by index instead of encoding them.
struct IndexedPlatformFormat(Rc<RefCell<Vec<(u64, Received)>>>);

impl IndexedPlatformFormat {
    fn store(&self, grant: &CallGrant, call: Received) -> PlatformCall {
        let mut calls = self.0.borrow_mut();
        calls.push((grant.fence.0, call));
        PlatformCall {
            method: hyper::Method::POST,
            path: (calls.len() - 1).to_string(),
            headers: Default::default(),
            body: Default::default(),
        }
    }
}

impl PlatformFormat for IndexedPlatformFormat {
    fn usage_report(&self, grant: &CallGrant, report: &UsageReport) -> PlatformCall {
        self.store(grant, Received::Usage(report.clone()))
    }

    fn engine_count(&self, grant: &CallGrant, order: &EngineCountOrder) -> PlatformCall {
        self.store(grant, Received::EngineCount(order.clone()))
    }
}

struct Machine {
    process: Rc<Process>,
    node: Rc<RefCell<Option<Node>>>,
}

struct Deployment {
    world: Rc<World>,
    pool: LocalPool,
    platform: Rc<Platform>,
    machines: BTreeMap<u8, Machine>,
    /// Requests that relays counted, by true time.
    true_counts: Rc<RefCell<BTreeMap<UsageWindow, TenantCounts>>>,
}

fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_000).into()
}

fn tenant(number: u64) -> TenantId {
    TenantId(format!("tenant-{number}"))
}

/// Wall clock offset of a machine: ahead for every sixth, behind for every sixth.
fn clock_error(index: u8, seed: u64) -> i64 {
    let remainder = (u64::from(index) + seed) % 6;
    match remainder {
        0 => WRONG_CLOCK_MS,
        3 => -WRONG_CLOCK_MS,
        _ => 0,
    }
}

fn document() -> RoutingDocument {
    let scaling =
        ScalingLimits { fewest: 1, most: 9, start_ms: 1_000, withdrawable_price: 0.2, prices_by_zone: BTreeMap::new() };
    let service = Service {
        name: "llm".to_string(),
        health_path: "/health".to_string(),
        max_connections: 10,
        hosting: None,
        scaling: Some(scaling),
    };
    RoutingDocument {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits: RequestLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
        tenants: Some(Vec::new()),
        source: Vec::new(),
    }
}

impl Deployment {
    /// Starts the replicas, commits the routing document and starts the relays.
    fn start(seed: u64) -> Self {
        let (world, pool) = World::new(seed);
        world.network.set_delays(9, Duration::from_millis(1), Duration::from_millis(3));
        let platform = Platform::new(&world);
        let mut deployment = Self { world, pool, platform, machines: BTreeMap::new(), true_counts: Rc::default() };
        for index in 1..=REPLICAS {
            deployment.start_replica(index, seed, true);
        }
        deployment.await_leader();
        deployment.commit(GatewayCommand::PutRouting(document()));
        for index in 1..=RELAYS {
            deployment.start_relay(index, seed);
        }
        deployment.run_for(Duration::from_secs(2));
        deployment
    }

    fn start_replica(&mut self, index: u8, seed: u64, founding: bool) {
        let name = format!("replica-{index}");
        let process = self.world.start_process(&name, index.into(), clock_error(index, seed));
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let founders: Vec<SocketAddr> = (1..=REPLICAS).map(address).collect();
        let options = ReplicaOptions {
            address: address(index),
            peers: founders.clone(),
            founders: if founding { founders } else { Vec::new() },
            secret: SECRET.to_string(),
            config: ReplicationConfig { target_voters: 3, ..ReplicationConfig::default() },
        };
        let unused_address: SocketAddr = ([10, 0, 9, 9], 1).into();
        let backends = SimBackends { platform: runtime.clone(), scorer: unused_address, machine_list: unused_address };
        // Engines in these tests report only once.
        let instance_silence_timeout = Duration::from_secs(600);
        // With even seeds relays are redirected to followers.
        let leader_relays = if seed.is_multiple_of(2) { 0 } else { ControlConfig::default().leader_relays };
        let order_separation = ORDER_SEPARATION;
        let config =
            ControlConfig { order_separation, instance_silence_timeout, leader_relays, ..ControlConfig::default() };
        let node = Rc::new(RefCell::new(None));
        let started = node.clone();
        let platform = self.platform.clone();
        self.world.spawn(&process, async move {
            let listener = runtime.listen(options.address).await.expect("the address is free");
            let node = ControlNode::start(runtime.clone(), backends, config, options)
                .await
                .expect("the storage can be opened");
            *started.borrow_mut() = Some(node.clone());
            start_duties(&runtime, &node, platform, name);
            let handler = Rc::new(node);
            saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), handler).await;
        });
        self.machines.insert(index, Machine { process, node });
    }

    /// Starts a relay that counts requests at random times.
    fn start_relay(&self, index: u8, seed: u64) {
        let process = self.world.start_process(&format!("relay-{index}"), 0, clock_error(index, seed + 1));
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let clock = Rc::new(RefCell::new(GroupClockSamples::default()));
        let ledger = Rc::new(RefCell::new(UsageLedger::default()));
        let follower = follow(runtime.clone(), clock.clone(), ledger.clone(), index);
        self.world.spawn(&process, follower);
        self.world.spawn(&process, count(runtime, clock, ledger, self.true_counts.clone()));
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        let timer = self.world.start_process("timer", 0, 0);
        self.world.spawn(&timer, Sleep::new(clock.clone(), until));
        self.world.run(&mut self.pool, until + Duration::from_secs(1), move || clock.now() >= until);
    }

    fn leader(&self) -> Option<(u8, Node)> {
        let running = self.machines.iter().filter(|(_, machine)| !machine.process.is_frozen());
        let nodes = running.filter_map(|(index, machine)| Some((*index, machine.node.borrow().clone()?)));
        nodes.into_iter().find(|(_, node)| node.replica().leading_term().is_some())
    }

    fn await_leader(&mut self) {
        let until = self.world.clock.now() + Duration::from_secs(10);
        while self.leader().is_none() {
            assert!(self.world.clock.now() < until, "no leader was elected in time");
            self.run_for(Duration::from_millis(20));
        }
    }

    fn commit(&mut self, command: GatewayCommand) {
        let (_, node) = self.leader().expect("there is a leader");
        let done = Rc::new(Cell::new(false));
        let committed = done.clone();
        let process = self.world.start_process("operator", 0, 0);
        self.world.spawn(&process, async move {
            committed.set(node.commit_gateway(command).await.is_ok());
        });
        self.run_for(Duration::from_millis(300));
        assert!(done.get(), "the command was not committed");
    }

    fn kill(&mut self, index: u8) {
        if let Some(machine) = self.machines.remove(&index) {
            machine.process.kill();
            self.world.disks.crash(&machine.process.name, || self.world.random());
        }
    }

    /// The counts that the platform accepted for each window, and when it accepted the first report.
    fn reported(&self) -> BTreeMap<UsageWindow, (TenantCounts, Duration)> {
        let mut reported = BTreeMap::new();
        for record in self.platform.records.borrow().iter().filter(|record| record.accepted) {
            let Received::Usage(report) = &record.call else {
                continue;
            };
            let accepted_report = reported.entry(report.window).or_insert((report.counts.clone(), record.at));
            assert_eq!(accepted_report.0, report.counts, "window {} was reported with other counts", report.window.0);
        }
        reported
    }

    /// Checks for each subject that no two machines use the same fencing token, that no call is sent with a lower token
    /// than an earlier one, and that two holders do not alternate within the lease of orders.
    fn check_holders(&self) {
        let mut by_subject: BTreeMap<String, Vec<Record>> = BTreeMap::new();
        for record in self.platform.records.borrow().iter() {
            by_subject.entry(Platform::subject(&record.call)).or_default().push(record.clone());
        }
        for (subject, records) in by_subject {
            let mut holders: BTreeMap<u64, String> = BTreeMap::new();
            for record in &records {
                let holder = holders.entry(record.fence).or_insert_with(|| record.machine.clone());
                assert_eq!(*holder, record.machine, "{subject}: two machines used fencing token {}", record.fence);
            }
            let stale_call = records.iter().find(|record| !record.accepted && !record.delayed);
            assert!(stale_call.is_none(), "{subject}: sent after a higher fencing token: {stale_call:?}");
            let accepted: Vec<&Record> = records.iter().filter(|record| record.accepted && !record.delayed).collect();
            for (index, first) in accepted.iter().enumerate() {
                let within_lease = accepted[index..].iter().take_while(|record| record.at < first.at + ORDER_LEASE);
                let machines: Vec<&str> = within_lease.map(|record| record.machine.as_str()).collect();
                let last_own_call = machines.iter().rposition(|machine| *machine == first.machine).unwrap_or(0);
                let alternates = machines[..last_own_call].iter().any(|machine| *machine != first.machine);
                assert!(!alternates, "{subject}: holders alternated: {machines:?}");
            }
        }
    }

    /// Checks that every window between `from` and `until` was reported in time with the counts of the relays.
    fn check_usage(&self, from: Duration, until: Duration) {
        let reported = self.reported();
        let window_of = |at: Duration| {
            let unix_ms = START_UNIX_MILLISECONDS + at.as_millis() as u64;
            UsageWindow::containing(unix_ms, USAGE_REPORT_CONFIG.window.as_millis() as u64)
        };
        let true_counts = self.true_counts.borrow();
        let windows = true_counts.range(window_of(from).next()..window_of(until));
        let mut compared = 0;
        for (window, counts) in windows {
            let (reported_counts, at) =
                reported.get(window).unwrap_or_else(|| panic!("window {} is not reported", window.0));
            let due_at_ms = window.ends_at_ms(USAGE_REPORT_CONFIG.window.as_millis() as u64)
                + USAGE_REPORT_CONFIG.due_after.as_millis() as u64;
            let at_ms = START_UNIX_MILLISECONDS + at.as_millis() as u64;
            assert!(at_ms <= due_at_ms, "window {} was reported {} ms late", window.0, at_ms - due_at_ms);
            compare(window, reported_counts, counts);
            compared += 1;
        }
        assert!(compared > 3, "only {compared} windows were compared");
    }
}

/// Compares the reported counts with the true ones. Requests near a window's boundary may be counted in the adjacent
/// window.
fn compare(window: &UsageWindow, reported_counts: &TenantCounts, true_counts: &TenantCounts) {
    let total = |counts: &TenantCounts| counts.values().sum::<u64>();
    let (reported_sum, true_sum) = (total(reported_counts), total(true_counts));
    let difference = reported_sum.abs_diff(true_sum);
    let allowed = true_sum / 20;
    assert!(difference <= allowed, "window {}: {reported_sum} reported, {true_sum} expected", window.0);
    assert!(
        reported_counts.keys().all(|tenant| true_counts.contains_key(tenant)),
        "a tenant without requests was reported"
    );
}

fn start_duties(runtime: &SimRuntime, node: &Node, platform: Rc<Platform>, name: String) {
    let calls = Rc::new(RefCell::new(Vec::new()));
    let client = PlatformLink { platform, machine: name.clone(), calls: calls.clone() };
    let duties = Rc::new(Duties {
        runtime: runtime.clone(),
        node: node.clone(),
        client,
        platform_format: Box::new(IndexedPlatformFormat(calls)),
        name,
        metrics: Rc::new(PlatformMetrics::default()),
    });
    runtime.spawn(saddlerelay_duties::usage_reports::run(duties.clone(), USAGE_REPORT_CONFIG));
    runtime.spawn(saddlerelay_duties::engine_counts::run(duties, ENGINE_COUNT_CONFIG, KeepInitial));
}

async fn follow(
    runtime: SimRuntime,
    clock: Rc<RefCell<GroupClockSamples>>,
    ledger: Rc<RefCell<UsageLedger>>,
    index: u8,
) {
    let replicas: Vec<SocketAddr> = (1..=REPLICAS).map(address).collect();
    let control = ControlClient::new(runtime.clone(), &replicas, SECRET);
    let incarnation = Incarnation(runtime.random());
    let limit = Duration::from_millis(650);
    let follower = AssignedReplica::default();
    loop {
        let assigned_address = follower.address(runtime.monotonic());
        let follow_request = GatewayRequest::Follow(FollowRequest {
            suspicion_revision: 0,
            relay: format!("relay-{index}"),
            zone: "north".to_string(),
            routing_version: Some(1),
            instance_revision: 0,
            at_follower: assigned_address.is_some(),
            incarnation,
            unix_ms: runtime.unix_milliseconds(),
            usage: ledger.borrow_mut().next_delta(),
        });
        let follow_result = match assigned_address {
            Some(address) => control.call_replica(address, follow_request, limit).await,
            None => control.gateway(follow_request, limit, limit).await.ok(),
        };
        match follow_result {
            Some(GatewayReply::Followed(reply)) => {
                follower.assign(reply.follower);
                if let Some(unix_ms) = reply.group_unix_ms {
                    clock.borrow_mut().add_sample(unix_ms, runtime.monotonic());
                }
                ledger.borrow_mut().acknowledge(reply.committed_usage_sequence);
                // The leader responds immediately to a request with instance revision 0.
                runtime.sleep(Duration::from_millis(200)).await;
            }
            _ => {
                if let Some(address) = assigned_address {
                    follower.skip_until(address, runtime.monotonic() + Duration::from_millis(500));
                }
                runtime.sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn count(
    runtime: SimRuntime,
    clock: Rc<RefCell<GroupClockSamples>>,
    ledger: Rc<RefCell<UsageLedger>>,
    true_counts: Rc<RefCell<BTreeMap<UsageWindow, TenantCounts>>>,
) {
    let length_ms = USAGE_REPORT_CONFIG.window.as_millis() as u64;
    loop {
        runtime.sleep(runtime.jitter(Duration::from_millis(60))).await;
        let now = runtime.monotonic();
        let Some(unix_ms) = clock.borrow().unix_ms(now) else {
            continue;
        };
        let tenant = tenant(runtime.random() % 5);
        ledger.borrow_mut().count(&tenant, UsageWindow::containing(unix_ms, length_ms));
        let true_ms = START_UNIX_MILLISECONDS + now.as_millis() as u64;
        let mut true_counts = true_counts.borrow_mut();
        *true_counts.entry(UsageWindow::containing(true_ms, length_ms)).or_default().entry(tenant).or_default() += 1;
    }
}

fn for_each_seed(test: impl Fn(u64)) {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    for seed in SEEDS {
        test(seed);
    }
}

#[test]
fn usage_is_reported_correctly_and_in_time_with_wrong_wall_clocks() {
    for_each_seed(|seed| {
        let mut deployment = Deployment::start(seed);
        let from = deployment.world.clock.now();
        deployment.run_for(Duration::from_secs(20));
        let until = deployment.world.clock.now() - USAGE_REPORT_CONFIG.due_after;
        deployment.check_usage(from, until);
        deployment.check_holders();
    });
}

#[test]
fn a_report_with_a_lost_response_is_resent_with_the_same_counts() {
    for_each_seed(|seed| {
        let mut deployment = Deployment::start(seed);
        deployment.platform.unanswered_percent.set(40);
        let from = deployment.world.clock.now();
        for _ in 0..3 {
            let pause = deployment.world.jitter(Duration::from_secs(6));
            deployment.run_for(Duration::from_secs(6) + pause);
            if let Some((index, _)) = deployment.leader() {
                deployment.kill(index);
                deployment.run_for(Duration::from_millis(300));
                deployment.start_replica(index, seed, false);
            }
            deployment.await_leader();
        }
        deployment.platform.unanswered_percent.set(0);
        deployment.run_for(Duration::from_secs(20));
        deployment.check_holders();
        let reported = deployment.reported();
        let first = reported.first_key_value().expect("something is reported").0.0;
        let last = reported.last_key_value().expect("something is reported").0.0;
        assert_eq!(reported.len() as u64, last - first + 1, "a window is missing");
        let true_counts = deployment.true_counts.borrow();
        let inner = from + Duration::from_secs(4);
        let inner = UsageWindow::containing(START_UNIX_MILLISECONDS + inner.as_millis() as u64, 2_000);
        for (window, counts) in true_counts.range(inner..UsageWindow(last)) {
            compare(window, &reported[window].0, counts);
        }
    });
}

/// How a machine is paused.
#[derive(Clone, Copy)]
enum PauseKind {
    /// Its timer clock keeps running.
    Frozen,
    /// Its timer clock stops too, so that its timers fire late.
    Suspended,
}

#[test]
fn a_leader_frozen_during_a_call_does_not_continue_it() {
    check_pause_during_call(PauseKind::Frozen);
}

#[test]
fn a_leader_suspended_during_a_call_does_not_continue_it() {
    check_pause_during_call(PauseKind::Suspended);
}

fn check_pause_during_call(pause_kind: PauseKind) {
    for_each_seed(|seed| {
        let mut deployment = Deployment::start(seed);
        for _ in 0..4 {
            // Connecting may take most of the validity of the grant.
            deployment.platform.connect_time.set(Duration::from_millis(390));
            let pause = deployment.world.jitter(Duration::from_secs(2));
            deployment.run_for(pause);
            deployment.platform.connect_time.set(Duration::from_millis(4));
            let Some((index, _)) = deployment.leader() else {
                continue;
            };
            let process = deployment.machines[&index].process.clone();
            match pause_kind {
                PauseKind::Frozen => process.freeze(),
                PauseKind::Suspended => process.suspend(deployment.world.clock.now()),
            }
            let pause = Duration::from_secs(2) + deployment.world.jitter(Duration::from_secs(3));
            deployment.run_for(pause);
            match pause_kind {
                PauseKind::Frozen => process.thaw(),
                PauseKind::Suspended => process.resume(deployment.world.clock.now()),
            }
        }
        deployment.run_for(Duration::from_secs(16));
        deployment.check_holders();
        let reported = deployment.reported();
        assert!(reported.len() > 5, "{} windows are reported", reported.len());
    });
}

#[test]
fn frequent_leader_changes_do_not_alternate_holders() {
    let seeds_with_two_holders = Cell::new(0);
    for_each_seed(|seed| {
        let mut deployment = Deployment::start(seed);
        deployment.platform.unanswered_percent.set(50);
        for round in 0..24 {
            if let Some((index, _)) = deployment.leader() {
                deployment.kill(index);
                deployment.run_for(Duration::from_millis(100));
                deployment.start_replica(index, seed, false);
            }
            // Every fourth leader may lead for long enough to become the holder.
            let longest = Duration::from_millis(if round % 4 == 0 { 7_000 } else { 800 });
            let pause = Duration::from_millis(400) + deployment.world.jitter(longest);
            deployment.run_for(pause);
        }
        deployment.platform.unanswered_percent.set(0);
        deployment.run_for(Duration::from_secs(20));
        deployment.check_holders();
        let leaders: BTreeSet<String> =
            deployment.platform.records.borrow().iter().map(|record| record.machine.clone()).collect();
        if leaders.len() > 1 {
            seeds_with_two_holders.set(seeds_with_two_holders.get() + 1);
        }
    });
    let seeds = seeds_with_two_holders.get();
    assert!(seeds > 20, "a second machine sent calls with only {seeds} seeds");
}

#[test]
fn all_windows_are_reported_after_an_outage_of_the_platform() {
    for_each_seed(|seed| {
        let mut deployment = Deployment::start(seed);
        deployment.platform.is_down.set(true);
        deployment.run_for(Duration::from_secs(14));
        deployment.platform.is_down.set(false);
        deployment.run_for(Duration::from_secs(20));
        deployment.check_holders();
        let reported = deployment.reported();
        let first = reported.first_key_value().expect("something is reported").0.0;
        let last = reported.last_key_value().expect("something is reported").0.0;
        assert_eq!(reported.len() as u64, last - first + 1, "a window is missing");
        assert!(reported.len() >= 12, "{} windows are reported", reported.len());
    });
}

fn engine(number: u16) -> InstanceReport {
    InstanceReport {
        id: InstanceId::without_start_time(format!("engine-{number}")),
        service: "llm".to_string(),
        address: ([10, 0, 5, number as u8], 8_000).into(),
        zone: "north".to_string(),
        slots: 4,
        leaving: false,
        models: Vec::new(),
        sequence: 1,
    }
}

#[test]
fn lost_engines_are_ordered_again_with_increasing_fencing_tokens() {
    for_each_seed(|seed| {
        let mut deployment = Deployment::start(seed);
        for number in 0..3 {
            deployment.commit(GatewayCommand::ReportInstances(vec![engine(number)]));
        }
        deployment.run_for(Duration::from_secs(4));
        let pool = EnginePool { service: "llm".to_string(), zone: "north".to_string() };
        let (_, node) = deployment.leader().expect("there is a leader");
        let wanted = node.read_applied(|state| state.engine_counts.wanted().get(&pool).copied());
        assert_eq!(wanted, Some(3));
        let ordered = |deployment: &Deployment| {
            let records = deployment.platform.records.borrow();
            let orders = records.iter().filter(|record| matches!(record.call, Received::EngineCount(_)));
            orders.cloned().collect::<Vec<Record>>()
        };
        assert!(ordered(&deployment).is_empty(), "nothing is missing");
        deployment.platform.unanswered_percent.set(40);
        deployment.commit(GatewayCommand::RemoveInstance(InstanceId::without_start_time("engine-1")));
        deployment.run_for(Duration::from_secs(5));
        if let Some((index, _)) = deployment.leader() {
            deployment.kill(index);
        }
        deployment.await_leader();
        deployment.platform.unanswered_percent.set(0);
        deployment.run_for(Duration::from_secs(16));
        let orders = ordered(&deployment);
        assert!(orders.iter().any(|record| record.accepted), "nothing was ordered");
        for record in &orders {
            let Received::EngineCount(order) = &record.call else { continue };
            assert_eq!((&order.place, order.count, order.withdrawable), (&pool, 3, false));
        }
        let mut fences: Vec<u64> = orders.iter().map(|record| record.fence).collect();
        fences.sort_unstable();
        fences.dedup();
        assert_eq!(fences.len(), orders.len(), "two orders have the same fencing token");
        deployment.check_holders();
    });
}
