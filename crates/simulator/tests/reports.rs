//! Batching of engine reports from one machine to the leader: many engines need few messages, an engine's departure is
//! acknowledged only after its commit, and reports are not acknowledged for long while the leader is unreachable.

use futures::executor::LocalPool;
use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::reports::ReportBatcher;
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, Sleep, World};
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "a secret of sixteen signs";
const SEEDS: std::ops::Range<u64> = 0..10;
/// Number of engines that report to the machine, each once per `REPORT_INTERVAL`.
const ENGINES: usize = 500;
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Time that the leader takes to commit a message.
const COMMIT_TIME: Duration = Duration::from_millis(8);

/// Whether a report was acknowledged, and when it completed; `None` while it is pending.
type ReportResult = Option<(bool, Duration)>;

/// A simulated leader that stores committed reports.
struct Leader {
    runtime: SimRuntime,
    committed: RefCell<BTreeMap<InstanceId, InstanceReport>>,
    /// Engines that have been reported in full.
    reported_in_full: RefCell<BTreeSet<InstanceId>>,
    messages: Cell<usize>,
    /// Number of full reports received.
    full_reports: Cell<usize>,
    /// Whether it replies to messages; if not, it stalls them.
    responds: Cell<bool>,
}

impl Handler for Leader {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, body: Vec<u8>) -> Option<Response> {
        let Ok(ControlRequest::Gateway(GatewayRequest::ReportInstances(reports))) = bitcode::decode(&body) else {
            return None;
        };
        self.messages.set(self.messages.get() + 1);
        if !self.responds.get() {
            self.runtime.sleep(Duration::from_secs(60)).await;
        }
        self.runtime.sleep(COMMIT_TIME).await;
        let mut committed = self.committed.borrow_mut();
        let mut missing = Vec::new();
        for heartbeat in reports.heartbeats {
            match committed.get_mut(&heartbeat.id) {
                Some(stored) => stored.sequence = heartbeat.sequence,
                None => missing.push(heartbeat.id),
            }
        }
        assert!(
            missing.iter().all(|id| self.reported_in_full.borrow().contains(id)),
            "received a heartbeat of an engine that was never reported in full"
        );
        self.reported_in_full.borrow_mut().extend(reports.changed.iter().map(|report| report.id.clone()));
        self.full_reports.set(self.full_reports.get() + reports.changed.len());
        committed.extend(reports.changed.into_iter().map(|report| (report.id.clone(), report)));
        drop(committed);
        let reply = if missing.is_empty() { GatewayReply::Done } else { GatewayReply::ReportsMissing(missing) };
        Some(bitcode::encode(&ControlReply::Gateway(reply)).into())
    }
}

struct Fixture {
    world: Rc<World>,
    pool: LocalPool,
    leader: Rc<Leader>,
    machine: Rc<Process>,
    batcher: Rc<ReportBatcher<SimRuntime>>,
}

fn report(number: usize, sequence: u64) -> InstanceReport {
    InstanceReport {
        id: InstanceId::without_start_time(format!("engine-{number}")),
        service: "models".to_string(),
        address: ([10, 1, (number >> 8) as u8, number as u8], 8_000).into(),
        zone: "north".to_string(),
        slots: 6,
        leaving: false,
        models: Vec::new(),
        sequence,
    }
}

impl Fixture {
    fn start(seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let (world, pool) = World::new(seed);
        world.network.set_delays(9, Duration::from_millis(1), Duration::from_millis(3));
        let address: SocketAddr = ([10, 0, 0, 1], 7_000).into();
        let process = world.start_process("leader", 1, 0);
        let runtime = SimRuntime { world: world.clone(), process: process.clone() };
        let leader = Rc::new(Leader {
            runtime: runtime.clone(),
            committed: RefCell::default(),
            reported_in_full: RefCell::default(),
            messages: Cell::new(0),
            full_reports: Cell::new(0),
            responds: Cell::new(true),
        });
        let handler = leader.clone();
        world.spawn(&process, async move {
            let listener = runtime.listen(address).await.expect("the address is free");
            saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), handler).await;
        });
        let machine = world.start_process("machine", 2, 0);
        let runtime = SimRuntime { world: world.clone(), process: machine.clone() };
        let control = ControlClient::new(runtime.clone(), &[address], SECRET);
        let batcher = ReportBatcher::start(runtime, control, REPORT_INTERVAL);
        Self { world, pool, leader, machine, batcher }
    }

    /// Sends an engine's report; the returned cell receives the result.
    fn report(&self, report: InstanceReport) -> Rc<Cell<ReportResult>> {
        let result = Rc::new(Cell::new(None));
        let task_result = result.clone();
        let (batcher, clock, leader) = (self.batcher.clone(), self.world.clock.clone(), self.leader.clone());
        let leaving = report.leaving;
        let id = report.id.clone();
        let is_first = leader.committed.borrow().get(&id).is_none_or(|stored| stored.leaving != leaving);
        self.world.spawn(&self.machine, async move {
            let acknowledged = batcher.report(report).await == Ok(GatewayReply::Done);
            if acknowledged && leaving && is_first {
                let committed = leader.committed.borrow().get(&id).is_some_and(|stored| stored.leaving == leaving);
                assert!(committed, "{id:?} was acknowledged before it was committed");
            }
            task_result.set(Some((acknowledged, clock.now())));
        });
        result
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        let timer = self.world.start_process("timer", 0, 0);
        self.world.spawn(&timer, Sleep::new(clock.clone(), until));
        self.world.run(&mut self.pool, until + Duration::from_secs(1), move || clock.now() >= until);
    }

    /// Sends a report of every engine, spread over the interval; returns the number not acknowledged within a second.
    fn round(&mut self, sequence: u64) -> usize {
        let mut results = Vec::new();
        for number in 0..ENGINES {
            results.push((self.world.clock.now(), self.report(report(number, sequence))));
            self.run_for(REPORT_INTERVAL / ENGINES as u32);
        }
        self.run_for(Duration::from_secs(1));
        let in_time = |(at, result): &&(Duration, Rc<Cell<ReportResult>>)| {
            result
                .get()
                .is_some_and(|(acknowledged, replied_at)| acknowledged && replied_at < *at + Duration::from_secs(1))
        };
        ENGINES - results.iter().filter(in_time).count()
    }
}

#[test]
fn heartbeats_are_batched_into_few_messages() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        assert_eq!(fixture.round(1), 0, "seed {seed}");
        assert_eq!(fixture.leader.committed.borrow().len(), ENGINES);
        let before = fixture.leader.messages.get();
        assert_eq!(fixture.leader.full_reports.get(), ENGINES);
        assert_eq!(fixture.round(2), 0, "seed {seed}");
        let messages = fixture.leader.messages.get() - before;
        assert!(messages <= 18, "seed {seed}: {messages} messages for {ENGINES} reports in 6 s");
        let updated = fixture.leader.committed.borrow().values().filter(|stored| stored.sequence == 2).count();
        assert_eq!(updated, ENGINES, "seed {seed}: a report did not reach the leader");
        assert_eq!(
            fixture.leader.full_reports.get(),
            ENGINES,
            "seed {seed}: a known engine was reported in full again"
        );
    }
}

/// Concurrent registrations without a responding leader are acknowledged in time, so that engines do not retry at
/// another machine, and are batched into few messages.
#[test]
fn concurrent_registrations_are_acknowledged_in_time_and_batched() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        fixture.leader.responds.set(false);
        let results: Vec<_> = (0..3 * ENGINES).map(|number| fixture.report(report(number, 1))).collect();
        fixture.run_for(Duration::from_millis(900));
        let acknowledged = results.iter().filter(|result| result.get().is_some_and(|(done, _)| done)).count();
        assert_eq!(acknowledged, 3 * ENGINES, "seed {seed}: an engine was not acknowledged within a second");
        fixture.leader.responds.set(true);
        fixture.run_for(Duration::from_millis(2_500));
        assert_eq!(fixture.leader.committed.borrow().len(), 3 * ENGINES, "seed {seed}: a report was lost");
        assert!(fixture.leader.messages.get() <= 8, "seed {seed}: {} messages", fixture.leader.messages.get());
    }
}

#[test]
fn a_leaving_engine_is_acknowledged_after_the_commit() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        fixture.report(report(1, 1));
        fixture.run_for(Duration::from_millis(100));
        let leaving = fixture.report(InstanceReport { leaving: true, ..report(1, 2) });
        fixture.run_for(Duration::from_millis(100));
        assert!(leaving.get().is_some_and(|(done, _)| done), "seed {seed}");
        let stored = fixture.leader.committed.borrow().get(&report(1, 1).id).cloned();
        assert!(stored.is_some_and(|stored| stored.leaving), "seed {seed}");
    }
}

/// A machine without a connection to the leader acknowledges reports during an election, but stops after a report
/// interval, so that its engines move to another machine.
#[test]
fn a_machine_without_a_leader_stops_acknowledging_reports() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        assert_eq!(fixture.round(1), 0);
        fixture.leader.responds.set(false);
        let during = fixture.report(report(1, 2));
        fixture.run_for(Duration::from_millis(1_600));
        assert!(
            during.get().is_some_and(|(acknowledged, _)| acknowledged),
            "seed {seed}: not acknowledged during an election"
        );
        fixture.run_for(REPORT_INTERVAL);
        assert_eq!(fixture.round(2), ENGINES, "seed {seed}");
        fixture.leader.responds.set(true);
        fixture.run_for(Duration::from_millis(1_500));
        assert_eq!(fixture.round(3), 0, "seed {seed}");
    }
}

/// A leader that receives heartbeats of an unknown engine requests a full report, which follows with the next
/// heartbeat.
#[test]
fn an_engine_unknown_to_the_leader_is_reported_in_full_again() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        let lost = report(1, 1).id;
        for number in 1..=2 {
            fixture.report(report(number, 1));
        }
        fixture.run_for(Duration::from_secs(1));
        assert_eq!(fixture.leader.full_reports.get(), 2, "seed {seed}");
        fixture.leader.committed.borrow_mut().remove(&lost);
        for sequence in 2..=3 {
            for number in 1..=2 {
                let result = fixture.report(report(number, sequence));
                fixture.run_for(Duration::from_secs(1));
                assert!(result.get().is_some_and(|(acknowledged, _)| acknowledged), "seed {seed}");
            }
        }
        assert!(fixture.leader.committed.borrow().contains_key(&lost), "seed {seed}");
        assert_eq!(fixture.leader.full_reports.get(), 3, "seed {seed}: the known engine was reported in full again");
    }
}

/// Two incarnations of an engine have separate sequence numbers.
#[test]
fn a_new_incarnation_is_reported_regardless_of_its_sequence_number() {
    for seed in SEEDS {
        let mut fixture = Fixture::start(seed);
        let start =
            |at_ms, sequence| InstanceReport { id: InstanceId::started("engine", at_ms), ..report(1, sequence) };
        fixture.report(start(1_000, 40));
        fixture.run_for(Duration::from_secs(1));
        fixture.report(start(1_000, 41));
        fixture.report(start(2_000, 1));
        fixture.run_for(Duration::from_secs(1));
        let committed = fixture.leader.committed.borrow();
        let committed_sequence =
            |at_ms| committed.get(&InstanceId::started("engine", at_ms)).map(|stored| stored.sequence);
        assert_eq!((committed_sequence(1_000), committed_sequence(2_000)), (Some(41), Some(1)), "seed {seed}");
    }
}
