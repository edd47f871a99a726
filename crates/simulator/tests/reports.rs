//! Engines' reports on their way through one machine to the leader, in virtual time: many engines, few messages; that one
//! leaves is not acknowledged before it is committed, and nothing for long while the leader is not reached.

use futures::executor::LocalPool;
use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::reports::ReportGatherer;
use saddlerelay_rpc::server::Handler;
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
/// Engines that report at one of twenty machines, of 10,000, and the pause between two reports of one.
const ENGINES: usize = 500;
const REPORT_PAUSE: Duration = Duration::from_secs(5);
/// How long the leader takes to commit a message.
const COMMIT_TIME: Duration = Duration::from_millis(8);

/// Whether a report was acknowledged and when, once that is known.
type Answer = Option<(bool, Duration)>;

/// A leader that keeps what it has committed.
struct Leader {
    runtime: SimRuntime,
    committed: RefCell<BTreeMap<InstanceId, InstanceReport>>,
    /// All that have ever been reported whole.
    heard: RefCell<BTreeSet<InstanceId>>,
    messages: Cell<usize>,
    /// Reports that were sent whole.
    news: Cell<usize>,
    answers: Cell<bool>,
}

impl Handler for Leader {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, body: Vec<u8>) -> Option<Vec<u8>> {
        let Ok(ControlRequest::Gateway(GatewayRequest::ReportInstances(reports))) = bitcode::decode(&body) else {
            return None;
        };
        self.messages.set(self.messages.get() + 1);
        if !self.answers.get() {
            self.runtime.sleep(Duration::from_secs(60)).await;
        }
        self.runtime.sleep(COMMIT_TIME).await;
        let mut committed = self.committed.borrow_mut();
        let mut missing = Vec::new();
        for heartbeat in reports.heartbeats {
            match committed.get_mut(&heartbeat.id) {
                Some(held) => held.sequence = heartbeat.sequence,
                None => missing.push(heartbeat.id),
            }
        }
        assert!(missing.iter().all(|id| self.heard.borrow().contains(id)), "what only says that it is there is known");
        self.heard.borrow_mut().extend(reports.news.iter().map(|report| report.id.clone()));
        self.news.set(self.news.get() + reports.news.len());
        committed.extend(reports.news.into_iter().map(|report| (report.id.clone(), report)));
        drop(committed);
        let reply = if missing.is_empty() { GatewayReply::Done } else { GatewayReply::ReportsMissing(missing) };
        Some(bitcode::encode(&ControlReply::Gateway(reply)))
    }
}

struct Setting {
    world: Rc<World>,
    pool: LocalPool,
    leader: Rc<Leader>,
    machine: Rc<Process>,
    gatherer: Rc<ReportGatherer<SimRuntime>>,
}

fn report(number: usize, sequence: u64) -> InstanceReport {
    InstanceReport {
        id: InstanceId::named(format!("engine-{number}")),
        service: "models".to_string(),
        address: ([10, 1, (number >> 8) as u8, number as u8], 8_000).into(),
        zone: "north".to_string(),
        slots: 6,
        leaving: false,
        models: Vec::new(),
        sequence,
    }
}

impl Setting {
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
            heard: RefCell::default(),
            messages: Cell::new(0),
            news: Cell::new(0),
            answers: Cell::new(true),
        });
        let handler = leader.clone();
        world.spawn(&process, async move {
            let listener = runtime.listen(address).await.expect("the address is free");
            saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), handler).await;
        });
        let machine = world.start_process("machine", 2, 0);
        let runtime = SimRuntime { world: world.clone(), process: machine.clone() };
        let control = ControlClient::new(runtime.clone(), &[address], SECRET);
        let gatherer = ReportGatherer::start(runtime, control, REPORT_PAUSE);
        Self { world, pool, leader, machine, gatherer }
    }

    /// An engine reports; returns whether that was acknowledged, and when, once it is known.
    fn report(&self, report: InstanceReport) -> Rc<Cell<Answer>> {
        let answer = Rc::new(Cell::new(None));
        let told = answer.clone();
        let (gatherer, clock, leader) = (self.gatherer.clone(), self.world.clock.clone(), self.leader.clone());
        let leaving = report.leaving;
        let id = report.id.clone();
        let first = leader.committed.borrow().get(&id).is_none_or(|held| held.leaving != leaving);
        self.world.spawn(&self.machine, async move {
            let acknowledged = gatherer.report(report).await == Ok(GatewayReply::Done);
            if acknowledged && leaving && first {
                let committed = leader.committed.borrow().get(&id).is_some_and(|held| held.leaving == leaving);
                assert!(committed, "{id:?} was acknowledged before it was committed");
            }
            told.set(Some((acknowledged, clock.now())));
        });
        answer
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        let timer = self.world.start_process("timer", 0, 0);
        self.world.spawn(&timer, Sleep::new(clock.clone(), until));
        self.world.run(&mut self.pool, until + Duration::from_secs(1), move || clock.now() >= until);
    }

    /// Every engine reports once, spread over the pause; returns how many were not acknowledged within a second.
    fn round(&mut self, sequence: u64) -> usize {
        let mut answers = Vec::new();
        for number in 0..ENGINES {
            answers.push((self.world.clock.now(), self.report(report(number, sequence))));
            self.run_for(REPORT_PAUSE / ENGINES as u32);
        }
        self.run_for(Duration::from_secs(1));
        let in_time = |(at, answer): &&(Duration, Rc<Cell<Answer>>)| {
            answer.get().is_some_and(|(acknowledged, told_at)| acknowledged && told_at < *at + Duration::from_secs(1))
        };
        ENGINES - answers.iter().filter(in_time).count()
    }
}

#[test]
fn reports_without_news_reach_the_leader_some_times_a_second_whatever_their_number() {
    for seed in SEEDS {
        let mut setting = Setting::start(seed);
        assert_eq!(setting.round(1), 0, "seed {seed}");
        assert_eq!(setting.leader.committed.borrow().len(), ENGINES);
        let before = setting.leader.messages.get();
        assert_eq!(setting.leader.news.get(), ENGINES);
        assert_eq!(setting.round(2), 0, "seed {seed}");
        let messages = setting.leader.messages.get() - before;
        assert!(messages <= 18, "seed {seed}: {messages} messages for {ENGINES} reports in 6 s");
        let heard = setting.leader.committed.borrow().values().filter(|held| held.sequence == 2).count();
        assert_eq!(heard, ENGINES, "seed {seed}: every report is handed over");
        assert_eq!(setting.leader.news.get(), ENGINES, "seed {seed}: what is known is not sent whole again");
    }
}

/// All engines of a machine at once, as after a start, and before there is a leader: they are answered in time, so that they
/// do not come again elsewhere; one message is under way at a time, and carries what has come.
#[test]
fn a_herd_of_registrations_is_answered_at_once_and_takes_few_messages() {
    for seed in SEEDS {
        let mut setting = Setting::start(seed);
        setting.leader.answers.set(false);
        let answers: Vec<_> = (0..3 * ENGINES).map(|number| setting.report(report(number, 1))).collect();
        setting.run_for(Duration::from_millis(900));
        let acknowledged = answers.iter().filter(|answer| answer.get().is_some_and(|(done, _)| done)).count();
        assert_eq!(acknowledged, 3 * ENGINES, "seed {seed}: an engine waits a second for its answer");
        setting.leader.answers.set(true);
        setting.run_for(Duration::from_millis(2_500));
        assert_eq!(setting.leader.committed.borrow().len(), 3 * ENGINES, "seed {seed}: none is forgotten");
        assert!(setting.leader.messages.get() <= 8, "seed {seed}: {} messages", setting.leader.messages.get());
    }
}

#[test]
fn a_leaving_engine_is_acknowledged_when_that_is_committed() {
    for seed in SEEDS {
        let mut setting = Setting::start(seed);
        setting.report(report(1, 1));
        setting.run_for(Duration::from_millis(100));
        let leaving = setting.report(InstanceReport { leaving: true, ..report(1, 2) });
        setting.run_for(Duration::from_millis(100));
        assert!(leaving.get().is_some_and(|(done, _)| done), "seed {seed}");
        let held = setting.leader.committed.borrow().get(&report(1, 1).id).cloned();
        assert!(held.is_some_and(|held| held.leaving), "seed {seed}");
    }
}

/// An engine whose machine does not reach the leader goes to another one, after as long as engines pause between reports:
/// an election does not have all of them come again elsewhere, and none is kept where nobody hears of it.
#[test]
fn a_machine_that_does_not_reach_the_leader_acknowledges_nothing_for_long() {
    for seed in SEEDS {
        let mut setting = Setting::start(seed);
        assert_eq!(setting.round(1), 0);
        setting.leader.answers.set(false);
        let during = setting.report(report(1, 2));
        setting.run_for(Duration::from_millis(1_600));
        assert!(during.get().is_some_and(|(acknowledged, _)| acknowledged), "seed {seed}: an election is sat out");
        setting.run_for(REPORT_PAUSE);
        assert_eq!(setting.round(2), ENGINES, "seed {seed}");
        setting.leader.answers.set(true);
        setting.run_for(Duration::from_millis(1_500));
        assert_eq!(setting.round(3), 0, "seed {seed}");
    }
}

/// A leader that holds nothing of an engine of which only heartbeats come asks for its report, and gets it with the engine's
/// next one.
#[test]
fn an_engine_that_the_leader_has_lost_is_reported_whole_again() {
    for seed in SEEDS {
        let mut setting = Setting::start(seed);
        let lost = report(1, 1).id;
        for number in 1..=2 {
            setting.report(report(number, 1));
        }
        setting.run_for(Duration::from_secs(1));
        assert_eq!(setting.leader.news.get(), 2, "seed {seed}");
        setting.leader.committed.borrow_mut().remove(&lost);
        for sequence in 2..=3 {
            for number in 1..=2 {
                let answer = setting.report(report(number, sequence));
                setting.run_for(Duration::from_secs(1));
                assert!(answer.get().is_some_and(|(acknowledged, _)| acknowledged), "seed {seed}");
            }
        }
        assert!(setting.leader.committed.borrow().contains_key(&lost), "seed {seed}");
        assert_eq!(setting.leader.news.get(), 3, "seed {seed}: the other one's heartbeats are enough");
    }
}

/// Two starts under one name are two engines on their way: the counts of neither hide the other's reports.
#[test]
fn an_engine_that_starts_again_is_news_whatever_its_count() {
    for seed in SEEDS {
        let mut setting = Setting::start(seed);
        let start =
            |at_ms, sequence| InstanceReport { id: InstanceId::started("engine", at_ms), ..report(1, sequence) };
        setting.report(start(1_000, 40));
        setting.run_for(Duration::from_secs(1));
        setting.report(start(1_000, 41));
        setting.report(start(2_000, 1));
        setting.run_for(Duration::from_secs(1));
        let committed = setting.leader.committed.borrow();
        let held = |at_ms| committed.get(&InstanceId::started("engine", at_ms)).map(|held| held.sequence);
        assert_eq!((held(1_000), held(2_000)), (Some(41), Some(1)), "seed {seed}");
    }
}
