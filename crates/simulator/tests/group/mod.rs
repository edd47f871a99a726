//! A replication group with a small state machine, with machines that can be killed, lose power or lose their disks.

// Each test file uses a part of this module.
#![allow(dead_code)]

use futures::executor::LocalPool;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::message::{ReplicaReply, ReplicaRequest};
use saddlerelay_replication::message_codec;
use saddlerelay_replication::segments::Segment;
use saddlerelay_replication::{Replica, ReplicaOptions, StateMachine};
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, Sleep, World};
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "a secret of sixteen signs";

/// Interval between proposals.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(10);

/// One in this many proposals has a payload of several sectors.
const LARGE_PAYLOAD_EVERY: u64 = 5;

/// Size of such a payload.
const LARGE_PAYLOAD_BYTES: usize = 1_700;

/// Number of numbers in a sealed segment.
const NUMBERS_PER_SEGMENT: usize = 8;

/// Number of newest segments that the state refers to; older ones expire.
const SEGMENTS_KEPT: usize = 4;

/// Encodes a command; the layout depends on the feature level.
fn encode(number: u64, payload: Vec<u8>, level: FeatureLevel) -> Vec<u8> {
    match level {
        FeatureLevel::One => bitcode::encode(&(payload, number)),
        FeatureLevel::Two => bitcode::encode(&(number, payload)),
        FeatureLevel::Three => bitcode::encode(&(number, number, payload)),
        FeatureLevel::Four => bitcode::encode(&(number, payload, number)),
    }
}

fn decode(command: &[u8], level: FeatureLevel) -> u64 {
    let number = match level {
        FeatureLevel::One => bitcode::decode::<(Vec<u8>, u64)>(command).map(|(_, number)| number),
        FeatureLevel::Two => bitcode::decode::<(u64, Vec<u8>)>(command).map(|(number, _)| number),
        FeatureLevel::Three => bitcode::decode::<(u64, u64, Vec<u8>)>(command).map(|(number, _, _)| number),
        FeatureLevel::Four => bitcode::decode::<(u64, Vec<u8>, u64)>(command).map(|(number, _, _)| number),
    };
    number.expect("the command is a number")
}

/// A set of numbers, which are also sealed into segments of `NUMBERS_PER_SEGMENT`.
pub struct Numbers {
    level: FeatureLevel,
    pub applied: BTreeSet<u64>,
    unsealed: Vec<u64>,
    sealed: Vec<Segment>,
    unreleased: BTreeMap<u64, Rc<Vec<u8>>>,
}

impl Default for Numbers {
    fn default() -> Self {
        Self {
            level: FeatureLevel::NEWEST,
            applied: BTreeSet::new(),
            unsealed: Vec::new(),
            sealed: Vec::new(),
            unreleased: BTreeMap::new(),
        }
    }
}

impl Numbers {
    /// The newest segment that has been released from memory.
    pub fn newest_released(&self) -> Option<u64> {
        let released = self.segments().into_iter().filter(|segment| !self.unreleased.contains_key(&segment.number));
        released.map(|segment| segment.number).next_back()
    }
}

impl StateMachine for Numbers {
    type Outcome = ();

    fn enter_level(&mut self, level: FeatureLevel) {
        self.level = level;
    }

    fn apply(&mut self, command: &[u8]) {
        let number = decode(command, self.level);
        self.applied.insert(number);
        self.unsealed.push(number);
        if self.unsealed.len() >= NUMBERS_PER_SEGMENT {
            let segment = self.sealed.len() as u64;
            let bytes = bitcode::encode(&std::mem::take(&mut self.unsealed));
            self.sealed.push(Segment::of(segment, &bytes));
            self.unreleased.insert(segment, Rc::new(bytes));
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let (applied, unsealed, sealed) = (self.applied.clone(), self.unsealed.clone(), self.sealed.clone());
        match self.level {
            FeatureLevel::One => bitcode::encode(&(sealed, unsealed, applied)),
            FeatureLevel::Two => bitcode::encode(&(applied, unsealed, sealed)),
            FeatureLevel::Three => bitcode::encode(&(unsealed, sealed, applied)),
            FeatureLevel::Four => bitcode::encode(&(sealed, applied, unsealed)),
        }
    }

    fn segments(&self) -> Vec<Segment> {
        self.sealed[self.sealed.len().saturating_sub(SEGMENTS_KEPT)..].to_vec()
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

    fn restore(&mut self, bytes: &[u8], level: FeatureLevel) {
        self.level = level;
        match level {
            FeatureLevel::One => {
                (self.sealed, self.unsealed, self.applied) =
                    bitcode::decode(bytes).expect("the snapshot can be decoded");
            }
            FeatureLevel::Two => {
                (self.applied, self.unsealed, self.sealed) =
                    bitcode::decode(bytes).expect("the snapshot can be decoded");
            }
            FeatureLevel::Three => {
                (self.unsealed, self.sealed, self.applied) =
                    bitcode::decode(bytes).expect("the snapshot can be decoded");
            }
            FeatureLevel::Four => {
                (self.sealed, self.applied, self.unsealed) =
                    bitcode::decode(bytes).expect("the snapshot can be decoded");
            }
        }
        self.unreleased.clear();
    }
}

pub type Node = Replica<SimRuntime, Numbers>;

struct RequestHandler {
    node: Node,
    drops_timeout_now: Rc<Cell<bool>>,
}

impl Handler for RequestHandler {
    async fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> Option<Response> {
        let request = message_codec::decode_call(&body, level)?;
        if matches!(request, ReplicaRequest::TimeoutNow { .. }) && self.drops_timeout_now.get() {
            return None;
        }
        let reply = self.node.handle(request, level).await;
        message_codec::encode_call_reply(reply, level).map(Response::from)
    }
}

struct Machine {
    process: Rc<Process>,
    node: Rc<RefCell<Option<Node>>>,
}

/// Machines with indexes from 1.
pub struct Group {
    pub world: Rc<World>,
    pool: LocalPool,
    machines: BTreeMap<u8, Machine>,
    pub config: ReplicationConfig,
    founders: Vec<SocketAddr>,
    /// Zones of machines that share one; any other machine has the zone of its own index.
    pub zones: BTreeMap<u8, usize>,
    /// Numbers whose commit was acknowledged to the client.
    pub acknowledged: Rc<RefCell<BTreeSet<u64>>>,
    /// Errors of replicas that failed to open their storage.
    pub open_errors: Rc<RefCell<Vec<String>>>,
    /// Whether replicas drop `TimeoutNow` requests, which transfer leadership.
    pub drops_timeout_now: Rc<Cell<bool>>,
    next: u64,
}

/// Random bytes, which the encoding cannot compress.
fn random_payload(number: u64) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(number);
    (0..LARGE_PAYLOAD_BYTES).map(|_| random.u8(1..)).collect()
}

pub fn name(index: u8) -> String {
    format!("machine-{index}")
}

pub fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_000).into()
}

impl Group {
    /// Configures a group of five voters that takes snapshots often.
    pub fn new(seed: u64) -> Self {
        let (world, pool) = World::new(seed);
        world.network.set_delays(12, Duration::from_millis(1), Duration::from_millis(3));
        let config = ReplicationConfig {
            heartbeat_interval: Duration::from_millis(70),
            election_timeout: Duration::from_millis(500),
            election_jitter: Duration::from_millis(200),
            lease: Duration::from_millis(400),
            snapshot_entries: 20,
            trailing_entries: 5,
            memory_bytes: 500,
            memory_bytes_behind: 1_000,
            target_voters: 5,
            ..ReplicationConfig::default()
        };
        Self {
            world,
            pool,
            machines: BTreeMap::new(),
            config,
            founders: (1..=3).map(address).collect(),
            zones: BTreeMap::new(),
            acknowledged: Rc::default(),
            open_errors: Rc::default(),
            drops_timeout_now: Rc::default(),
            next: 0,
        }
    }

    /// Creates a group and waits until its five machines are voters.
    pub fn formed(seed: u64) -> Self {
        Self::new(seed).form()
    }

    /// Starts five machines and waits until they are voters.
    pub fn form(self) -> Self {
        let mut group = self;
        (1..=3).for_each(|index| group.start(index, true));
        group.await_leader(Duration::from_secs(4), "after the first start");
        (4..=5).for_each(|index| group.start(index, false));
        group.await_voters(5, Duration::from_secs(4), "five voters");
        group
    }

    /// Starts the machine at `index`; with `founding`, as one of the three founders of the group.
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
        let open_errors = self.open_errors.clone();
        let drops_timeout_now = self.drops_timeout_now.clone();
        self.world.spawn(&process, async move {
            let listener = runtime.listen(options.address).await.expect("the address is free");
            let replica = match Replica::open(runtime.clone(), options, Numbers::default()).await {
                Ok(replica) => replica,
                Err(error) => {
                    open_errors.borrow_mut().push(format!("{}: {error}", name(index)));
                    return;
                }
            };
            replica.start();
            *started.borrow_mut() = Some(replica.clone());
            let handler = Rc::new(RequestHandler { node: replica, drops_timeout_now });
            saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), handler).await;
        });
        self.machines.insert(index, Machine { process, node });
    }

    /// Kills the process and keeps its files, including unsynced writes.
    pub fn kill(&mut self, index: u8) {
        if let Some(machine) = self.machines.remove(&index) {
            machine.process.kill();
        }
        self.world.disks.resume(&name(index));
    }

    /// Kills the process and drops a random part of the unsynced writes.
    pub fn power_off(&mut self, index: u8) {
        self.kill(index);
        self.world.disks.crash(&name(index), || self.world.random());
    }

    /// Kills the process and deletes its disk.
    pub fn lose_disk(&mut self, index: u8) {
        self.kill(index);
        self.world.disks.wipe(&name(index));
    }

    pub fn freeze(&mut self, index: u8) {
        self.machines[&index].process.freeze();
    }

    pub fn thaw(&mut self, index: u8) {
        self.machines[&index].process.thaw();
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

    pub fn nodes(&self) -> Vec<Node> {
        self.machines.values().filter_map(|machine| machine.node.borrow().clone()).collect()
    }

    pub fn node(&self, index: u8) -> Option<Node> {
        self.machines.get(&index)?.node.borrow().clone()
    }

    /// Sends a request to the replica at `index` and returns its reply.
    pub fn send_request(&mut self, index: u8, request: ReplicaRequest) -> Option<ReplicaReply> {
        let node = self.node(index)?;
        let received = Rc::new(RefCell::new(None));
        let result = received.clone();
        let process = self.machines[&index].process.clone();
        self.world.spawn(&process, async move {
            let reply = node.handle(request, FeatureLevel::NEWEST).await;
            *result.borrow_mut() = Some(reply);
        });
        let completed = received.clone();
        self.run_until(Duration::from_secs(1), move || completed.borrow().is_some());
        received.take()
    }

    /// Reads a segment concurrently at a replica; returns the number of successful reads.
    pub fn read_concurrently(&mut self, node: &Node, segment: u64, readers: usize) -> usize {
        let reads = Rc::new(RefCell::new(Vec::new()));
        let process = self.world.start_process("reader", 0, 0);
        for _ in 0..readers {
            let (node, result) = (node.clone(), reads.clone());
            self.world.spawn(&process, async move {
                let read = node.read_segment(segment).await.is_ok();
                result.borrow_mut().push(read);
            });
        }
        let completed = reads.clone();
        self.run_until(Duration::from_secs(2), move || completed.borrow().len() == readers);
        let reads = reads.borrow();
        reads.iter().filter(|read| **read).count()
    }

    /// Starts a leadership transfer at the machine at `index`, which keeps running.
    pub fn transfer_leadership(&mut self, index: u8) {
        let (Some(node), Some(machine)) = (self.node(index), self.machines.get(&index)) else {
            return;
        };
        self.world.spawn(&machine.process, async move {
            node.transfer_leadership().await;
        });
    }

    pub fn leader(&self) -> Option<Node> {
        self.nodes().into_iter().find(|node| node.leading_term().is_some())
    }

    pub fn leader_index(&self) -> Option<u8> {
        let is_leader =
            |machine: &&Machine| machine.node.borrow().as_ref().is_some_and(|node| node.leading_term().is_some());
        self.machines.iter().find(|(_, machine)| is_leader(machine)).map(|(index, _)| *index)
    }

    /// Indexes of the running machines except the leader.
    pub fn followers(&self) -> Vec<u8> {
        let leader = self.leader_index();
        self.machines.keys().copied().filter(|index| Some(*index) != leader).collect()
    }

    /// Proposes the next number to the leader, if there is one.
    pub fn propose(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let number = self.next;
        self.next += 1;
        let acknowledged = self.acknowledged.clone();
        let payload = if number.is_multiple_of(LARGE_PAYLOAD_EVERY) { random_payload(number) } else { Vec::new() };
        let process = self.world.start_process("client", 0, 0);
        self.world.spawn(&process, async move {
            // Only acknowledged proposals must survive.
            if leader.propose_as(|level| Some(vec![encode(number, payload, level)])).await.is_ok() {
                acknowledged.borrow_mut().insert(number);
            }
        });
    }

    /// Proposes numbers until `done` returns true; returns whether it did within `limit`.
    pub fn propose_until(&mut self, limit: Duration, done: impl Fn() -> bool) -> bool {
        let until = self.world.clock.now() + limit;
        while self.world.clock.now() < until {
            self.propose();
            if self.run_until(PROPOSAL_INTERVAL, &done) {
                return true;
            }
        }
        false
    }

    pub fn propose_for(&mut self, time: Duration) {
        self.propose_until(time, || false);
    }

    /// Waits until the group has a leader; fails the test after `limit`.
    pub fn await_leader(&mut self, limit: Duration, what: &str) {
        let until = self.world.clock.now() + limit;
        while self.leader().is_none() {
            assert!(
                self.world.clock.now() < until,
                "{what}: no leader; storage errors {:?}",
                self.open_errors.borrow()
            );
            self.run_for(Duration::from_millis(10));
        }
    }

    pub fn voters(&self) -> usize {
        let view = self.leader().and_then(|leader| leader.view());
        view.map_or(0, |view| view.replicas.iter().filter(|replica| replica.voter).count())
    }

    /// The members in the leader's view, each with whether it is a voter.
    pub fn members(&self) -> Vec<(ReplicaId, bool)> {
        let view = self.leader().and_then(|leader| leader.view());
        view.into_iter().flat_map(|view| view.replicas).map(|replica| (replica.id, replica.voter)).collect()
    }

    /// Runs until the leader's view has changed its members `changes` times, or `limit` has passed.
    pub fn await_member_changes(&mut self, changes: usize, limit: Duration) {
        let Some(leader) = self.leader() else {
            return;
        };
        let members = move || {
            let view = leader.view();
            view.map(|view| view.replicas.iter().map(|replica| (replica.id, replica.voter)).collect::<Vec<_>>())
        };
        let until = self.world.clock.now() + limit;
        for _ in 0..changes {
            let before = members();
            let remaining = until.saturating_sub(self.world.clock.now());
            let current_members = &members;
            self.run_until(remaining, || current_members() != before);
        }
    }

    /// Waits until there are `count` voters, all of them running; fails the test after `limit`.
    pub fn await_voters(&mut self, count: usize, limit: Duration, what: &str) {
        let until = self.world.clock.now() + limit;
        loop {
            let running: BTreeSet<_> = self.nodes().iter().map(Node::id).collect();
            let view = self.leader().and_then(|leader| leader.view());
            let voters: Vec<_> =
                view.into_iter().flat_map(|view| view.replicas).filter(|replica| replica.voter).collect();
            if voters.len() == count && voters.iter().all(|voter| running.contains(&voter.id)) {
                return;
            }
            assert!(
                self.world.clock.now() < until,
                "{what}: voters {voters:?}; running {running:?}; storage errors {:?}",
                self.open_errors.borrow()
            );
            self.run_for(Duration::from_millis(10));
        }
    }

    /// Checks that every replica opened its storage and that the leader has applied all acknowledged numbers.
    pub fn check(&mut self, what: &str) {
        self.await_leader(Duration::from_secs(5), what);
        assert!(self.open_errors.borrow().is_empty(), "{what}: storage errors {:?}", self.open_errors.borrow());
        let applied = self.leader().and_then(|leader| leader.read(|numbers| numbers.applied.clone()));
        let applied = applied.expect("the leader can serve reads");
        let missing: Vec<u64> = self.acknowledged.borrow().difference(&applied).copied().collect();
        assert!(missing.is_empty(), "{what}: the leader has not applied {missing:?}");
    }
}
