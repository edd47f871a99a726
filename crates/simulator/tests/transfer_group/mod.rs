//! A replication group whose state has segments of several hundred kilobytes, for tests of state transfer.

// Each test file uses a part of this module.
#![allow(dead_code)]

use futures::executor::LocalPool;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::message_codec;
use saddlerelay_replication::segments::Segment;
use saddlerelay_replication::{Replica, ReplicaOptions, StateMachine};
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, Sleep, World};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "a secret of sixteen signs";

/// Interval between proposals.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(10);

/// Size of the payload of a command.
const PAYLOAD_BYTES: usize = 8 * 1024;

/// Number of commands in a sealed segment.
const COMMANDS_PER_SEGMENT: usize = 32;

/// A set of numbers with payloads, which are sealed into segments of `COMMANDS_PER_SEGMENT`.
#[derive(Default)]
pub struct Payloads {
    pub applied: BTreeSet<u64>,
    unsealed: Vec<Vec<u8>>,
    sealed: Vec<Segment>,
    unreleased: BTreeMap<u64, Rc<Vec<u8>>>,
}

impl StateMachine for Payloads {
    type Outcome = ();

    fn apply(&mut self, command: &[u8]) {
        let (number, payload): (u64, Vec<u8>) = bitcode::decode(command).expect("the command can be decoded");
        self.applied.insert(number);
        self.unsealed.push(payload);
        if self.unsealed.len() >= COMMANDS_PER_SEGMENT {
            let segment = self.sealed.len() as u64;
            let bytes = std::mem::take(&mut self.unsealed).concat();
            self.sealed.push(Segment::of(segment, &bytes));
            self.unreleased.insert(segment, Rc::new(bytes));
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        bitcode::encode(&(self.applied.clone(), self.unsealed.clone(), self.sealed.clone()))
    }

    fn segments(&self) -> Vec<Segment> {
        self.sealed.clone()
    }

    fn segment_bytes(&self, number: u64) -> Option<Rc<Vec<u8>>> {
        self.unreleased.get(&number).cloned()
    }

    fn unreleased_segment(&self) -> Option<Segment> {
        let (number, _) = self.unreleased.first_key_value()?;
        self.sealed.get(*number as usize).copied()
    }

    fn release_segment(&mut self, number: u64) {
        self.unreleased.remove(&number);
    }

    fn restore(&mut self, bytes: &[u8], _level: FeatureLevel) {
        (self.applied, self.unsealed, self.sealed) = bitcode::decode(bytes).expect("the snapshot can be decoded");
        self.unreleased.clear();
    }
}

pub type Node = Replica<SimRuntime, Payloads>;

struct RequestHandler(Node);

impl Handler for RequestHandler {
    async fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> Option<Response> {
        let request = message_codec::decode_call(&body, level)?;
        let reply = self.0.handle(request, level).await;
        message_codec::encode_call_reply(reply, level).map(Response::from)
    }
}

struct Machine {
    process: Rc<Process>,
    node: Rc<RefCell<Option<Node>>>,
}

/// Machines with indexes from 1, each in the zone of its index unless `zones` says otherwise.
pub struct TransferGroup {
    pub world: Rc<World>,
    pool: LocalPool,
    machines: BTreeMap<u8, Machine>,
    config: ReplicationConfig,
    founders: Vec<SocketAddr>,
    pub zones: BTreeMap<u8, usize>,
    /// Numbers whose commit was acknowledged to the client.
    pub acknowledged: Rc<RefCell<BTreeSet<u64>>>,
    next: u64,
}

pub fn name(index: u8) -> String {
    format!("machine-{index}")
}

pub fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_000).into()
}

impl TransferGroup {
    /// Forms a group of `voters` voters that takes snapshots often; they are also its founders.
    pub fn formed(seed: u64, voters: u8, zones: BTreeMap<u8, usize>) -> Self {
        let (world, pool) = World::new(seed);
        world.network.set_delays(12, Duration::from_millis(1), Duration::from_millis(3));
        let config = ReplicationConfig {
            heartbeat_interval: Duration::from_millis(70),
            election_timeout: Duration::from_millis(500),
            election_jitter: Duration::from_millis(200),
            lease: Duration::from_millis(400),
            call_timeout: Duration::from_millis(700),
            snapshot_entries: 40,
            trailing_entries: 5,
            memory_bytes: 64 * 1024,
            memory_bytes_behind: 256 * 1024,
            target_voters: voters.into(),
            ..ReplicationConfig::default()
        };
        let mut group = Self {
            world,
            pool,
            machines: BTreeMap::new(),
            config,
            founders: (1..=voters).map(address).collect(),
            zones,
            acknowledged: Rc::default(),
            next: 0,
        };
        (1..=voters).for_each(|index| group.start(index, true));
        group.await_leader(Duration::from_secs(4), "after the first start");
        group.propose_for(Duration::from_secs(1));
        group
    }

    /// Starts the machine at `index`; with `founding`, as a founder of the group.
    pub fn start(&mut self, index: u8, founding: bool) {
        let zone = self.zones.get(&index).copied().unwrap_or(index.into());
        let process = self.world.start_process(&name(index), zone, 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let options = ReplicaOptions {
            address: address(index),
            peers: self.founders.clone(),
            founders: if founding { self.founders.clone() } else { Vec::new() },
            secret: SECRET.to_string(),
            config: self.config.clone(),
        };
        let node = Rc::new(RefCell::new(None));
        let started = node.clone();
        self.world.spawn(&process, async move {
            let listener = runtime.listen(options.address).await.expect("the address is free");
            let replica = Replica::open(runtime.clone(), options, Payloads::default()).await;
            let replica = replica.expect("the files can be read");
            replica.start();
            *started.borrow_mut() = Some(replica.clone());
            let handler = Rc::new(RequestHandler(replica));
            saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), handler).await;
        });
        self.machines.insert(index, Machine { process, node });
    }

    /// Kills the process and drops a random part of the unsynced writes.
    pub fn power_off(&mut self, index: u8) {
        if let Some(machine) = self.machines.remove(&index) {
            machine.process.kill();
        }
        self.world.disks.crash(&name(index), || self.world.random());
    }

    /// Stops the process from running, as a machine that hangs.
    pub fn freeze(&mut self, index: u8) {
        self.machines[&index].process.freeze();
    }

    /// Runs until `done` returns true; returns whether it did within `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn() -> bool) -> bool {
        let until = self.world.clock.now() + limit;
        let timer = self.world.start_process("timer", 0, 0);
        self.world.spawn(&timer, Sleep::new(self.world.clock.clone(), until));
        self.world.run(&mut self.pool, until, done)
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        self.run_until(time, move || clock.now() >= until);
    }

    pub fn node(&self, index: u8) -> Option<Node> {
        self.machines.get(&index)?.node.borrow().clone()
    }

    pub fn leader_index(&self) -> Option<u8> {
        let leads = |index: &u8| self.node(*index).is_some_and(|node| node.leading_term().is_some());
        self.machines.keys().copied().find(leads)
    }

    /// Indexes of the running machines except the leader.
    pub fn followers(&self) -> Vec<u8> {
        let leader = self.leader_index();
        self.machines.keys().copied().filter(|index| Some(*index) != leader).collect()
    }

    /// Proposes the next number to the leader, if there is one, with a payload.
    pub fn propose(&mut self) {
        self.propose_with(PAYLOAD_BYTES);
    }

    /// Proposes the next number with a payload of this size, or none.
    pub fn propose_with(&mut self, payload_bytes: usize) {
        let Some(leader) = self.leader_index().and_then(|index| self.node(index)) else {
            return;
        };
        let number = self.next;
        self.next += 1;
        let mut random = fastrand::Rng::with_seed(number);
        let payload: Vec<u8> = (0..payload_bytes).map(|_| random.u8(..)).collect();
        let acknowledged = self.acknowledged.clone();
        let process = self.world.start_process("client", 0, 0);
        self.world.spawn(&process, async move {
            if leader.propose(bitcode::encode(&(number, payload))).await.is_ok() {
                acknowledged.borrow_mut().insert(number);
            }
        });
    }

    pub fn propose_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        while self.world.clock.now() < until {
            self.propose();
            self.run_for(PROPOSAL_INTERVAL);
        }
    }

    /// Waits until the group has a leader; fails the test after `limit`.
    pub fn await_leader(&mut self, limit: Duration, what: &str) {
        let until = self.world.clock.now() + limit;
        while self.leader_index().is_none() {
            assert!(self.world.clock.now() < until, "{what}: no leader");
            self.run_for(Duration::from_millis(10));
        }
    }

    /// Checks that the leader has applied all acknowledged numbers.
    pub fn check(&mut self, what: &str) {
        self.await_leader(Duration::from_secs(5), what);
        let leader = self.leader_index().and_then(|index| self.node(index)).expect("there is a leader");
        let applied = leader.read_local(|payloads| payloads.applied.clone());
        let missing: Vec<u64> = self.acknowledged.borrow().difference(&applied).copied().collect();
        assert!(missing.is_empty(), "{what}: the leader has not applied {missing:?}");
    }
}

/// Runs a test for all seeds on several threads; the results are in the order of the seeds.
pub fn for_each_seed<T: Send>(seeds: std::ops::Range<u64>, run: impl Fn(u64) -> T + Sync) -> Vec<(u64, T)> {
    const THREADS: usize = 3;
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let seeds: Vec<u64> = seeds.collect();
    let chunk_size = seeds.len().div_ceil(THREADS);
    std::thread::scope(|scope| {
        let run_chunk = |seeds: &[u64]| seeds.iter().map(|seed| (*seed, run(*seed))).collect::<Vec<_>>();
        let threads: Vec<_> = seeds.chunks(chunk_size).map(|chunk| scope.spawn(move || run_chunk(chunk))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("the thread did not panic")).collect()
    })
}
