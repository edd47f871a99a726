//! Membership changes: members join, leave, lose their disks and are replaced. Acknowledged entries survive, and the
//! group has a leader again within a time limit after each change.

use futures::executor::LocalPool;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::file_format::FileFormat;
use saddlerelay_replication::message_codec;
use saddlerelay_replication::segments::Segment;
use saddlerelay_replication::storage::Storage;
use saddlerelay_replication::wal;
use saddlerelay_replication::{Replica, ReplicaOptions, StateMachine};
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::Disk as _;
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, World};
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..40;

/// Number of seeds for events that occur with few seeds.
const MANY_SEEDS: u64 = 400;
/// Time limit for a new leader after the old one is frozen: an election timeout with its jitter, and a second round.
const ELECTION_LIMIT: Duration = Duration::from_millis(1_500);

const SECRET: &str = "a secret of sixteen signs";

thread_local! {
    /// The replica that the state machine prefers as leader.
    static PREFERRED: Cell<Option<ReplicaId>> = const { Cell::new(None) };
    /// Number of snapshots restored.
    static RESTORED: Cell<u32> = const { Cell::new(0) };
    /// Number of oldest segments that the state no longer refers to.
    static EXPIRED_SEGMENTS: Cell<usize> = const { Cell::new(0) };
    /// Number of padding bytes in each segment.
    static SEGMENT_PADDING: Cell<usize> = const { Cell::new(2_000) };
}

/// Number of numbers in a sealed segment.
const NUMBERS_PER_SEGMENT: usize = 16;

/// A set of numbers, which are also sealed into segments of `NUMBERS_PER_SEGMENT`.
#[derive(Default)]
struct Numbers {
    applied: BTreeSet<u64>,
    /// Makes a snapshot larger than one transfer chunk.
    padding_bytes: Vec<u8>,
    /// Numbers that are not in a segment.
    unsealed: Vec<u64>,
    sealed: Vec<Segment>,
    /// Contents of the segments that memory still holds.
    unreleased: BTreeMap<u64, Rc<Vec<u8>>>,
}

impl Numbers {
    fn seal(&mut self) {
        let number = self.sealed.len() as u64;
        let padding = vec![number as u8; SEGMENT_PADDING.with(|padding| padding.get())];
        let bytes = bitcode::encode(&(std::mem::take(&mut self.unsealed), padding));
        self.sealed.push(Segment::of(number, &bytes));
        self.unreleased.insert(number, Rc::new(bytes));
    }
}

/// Decodes the numbers in a segment.
fn numbers_in(segment: &[u8]) -> Vec<u64> {
    let (numbers, _): (Vec<u64>, Vec<u8>) = bitcode::decode(segment).expect("the segment can be decoded");
    numbers
}

impl StateMachine for Numbers {
    type Outcome = usize;

    fn apply(&mut self, command: &[u8]) -> usize {
        let number: u64 = bitcode::decode(command).expect("the command is a number");
        self.applied.insert(number);
        self.unsealed.push(number);
        if self.unsealed.len() >= NUMBERS_PER_SEGMENT {
            self.seal();
        }
        self.padding_bytes.resize(self.applied.len() * 4_096, 7);
        self.applied.len()
    }

    fn snapshot(&self) -> Vec<u8> {
        bitcode::encode(&(self.applied.clone(), self.padding_bytes.clone(), self.unsealed.clone(), self.sealed.clone()))
    }

    fn segments(&self) -> Vec<Segment> {
        let expired = EXPIRED_SEGMENTS.with(|expired| expired.get());
        self.sealed[expired.min(self.sealed.len())..].to_vec()
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

    fn prefers(&self, replica: ReplicaId) -> bool {
        PREFERRED.with(|preferred| preferred.get()) == Some(replica)
    }

    fn restore(&mut self, bytes: &[u8], _level: FeatureLevel) {
        RESTORED.with(|restored| restored.set(restored.get() + 1));
        (self.applied, self.padding_bytes, self.unsealed, self.sealed) =
            bitcode::decode(bytes).expect("the snapshot can be decoded");
        self.unreleased.clear();
    }
}

type Node = Replica<SimRuntime, Numbers>;

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

struct Group {
    world: Rc<World>,
    pool: LocalPool,
    machines: BTreeMap<u8, Machine>,
    config: ReplicationConfig,
    acknowledged: Rc<RefCell<BTreeSet<u64>>>,
    next: u64,
}

fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_000).into()
}

fn config() -> ReplicationConfig {
    ReplicationConfig {
        heartbeat_interval: Duration::from_millis(70),
        election_timeout: Duration::from_millis(500),
        election_jitter: Duration::from_millis(200),
        lease: Duration::from_millis(400),
        snapshot_entries: 60,
        trailing_entries: 10,
        memory_bytes: 1_000,
        memory_bytes_behind: 20_000,
        target_voters: 3,
        ..ReplicationConfig::default()
    }
}

impl Group {
    fn new(seed: u64) -> Self {
        let (world, pool) = World::new(seed);
        world.network.set_delays(9, Duration::from_millis(1), Duration::from_millis(3));
        Self { world, pool, machines: BTreeMap::new(), config: config(), acknowledged: Rc::default(), next: 0 }
    }

    /// Starts the machine at `index`; with `founding`, as one of the three founders of the group.
    fn start(&mut self, index: u8, founding: bool) {
        let name = format!("machine-{index}");
        let process = self.world.start_process(&name, index.into(), 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let founders: Vec<SocketAddr> = (1..=3).map(address).collect();
        let options = ReplicaOptions {
            address: address(index),
            peers: founders.clone(),
            founders: if founding { founders } else { Vec::new() },
            secret: SECRET.to_string(),
            config: self.config.clone(),
        };
        let node = Rc::new(RefCell::new(None));
        let started = node.clone();
        let task_runtime = runtime.clone();
        self.world.spawn(&process, async move {
            let listener = task_runtime.listen(options.address).await.expect("the address is free");
            let replica = Replica::open(task_runtime.clone(), options, Numbers::default())
                .await
                .expect("the storage can be opened");
            replica.start();
            *started.borrow_mut() = Some(replica.clone());
            let handler = Rc::new(RequestHandler(replica));
            saddlerelay_rpc::server::serve(task_runtime, listener, SECRET.to_string(), handler).await;
        });
        self.machines.insert(index, Machine { process, node });
    }

    fn kill(&mut self, index: u8, loses_disk: bool) {
        if let Some(machine) = self.machines.remove(&index) {
            machine.process.kill();
            let name = format!("machine-{index}");
            self.world.disks.crash(&name, || self.world.random());
            if loses_disk {
                self.world.disks.wipe(&name);
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        let _timer = self.world.start_process("timer", 0, 0);
        let sleep = saddlerelay_simulator::world::Sleep::new(clock.clone(), until);
        self.world.spawn(&_timer, sleep);
        self.world.run(&mut self.pool, until + Duration::from_secs(1), move || clock.now() >= until);
    }

    fn nodes(&self) -> Vec<Node> {
        self.machines.values().filter_map(|machine| machine.node.borrow().clone()).collect()
    }

    fn leader(&self) -> Option<Node> {
        self.nodes().into_iter().find(|node| node.leading_term().is_some())
    }

    fn leader_index(&self) -> Option<u8> {
        let is_leader =
            |machine: &&Machine| machine.node.borrow().as_ref().is_some_and(|node| node.leading_term().is_some());
        self.machines.iter().find(|(_, machine)| is_leader(machine)).map(|(index, _)| *index)
    }

    /// Proposes a number to the leader every 20 ms for `time`.
    fn propose_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        while self.world.clock.now() < until {
            if let Some(leader) = self.leader() {
                let number = self.next;
                self.next += 1;
                let acknowledged = self.acknowledged.clone();
                let process = self.world.start_process("client", 0, 0);
                self.world.spawn(&process, async move {
                    if leader.propose(bitcode::encode(&number)).await.is_ok() {
                        acknowledged.borrow_mut().insert(number);
                    }
                });
            }
            self.run_for(Duration::from_millis(20));
        }
    }

    /// Waits until the group has a leader; fails the test after `limit`.
    fn await_leader(&mut self, limit: Duration, what: &str) {
        let until = self.world.clock.now() + limit;
        while self.leader().is_none() {
            assert!(self.world.clock.now() < until, "{what}: no leader");
            self.run_for(Duration::from_millis(10));
        }
    }

    fn voters(&self) -> BTreeSet<ReplicaId> {
        let view = self.leader().and_then(|leader| leader.view());
        let replicas = view.map(|view| view.replicas).unwrap_or_default();
        replicas.into_iter().filter(|replica| replica.voter).map(|replica| replica.id).collect()
    }

    fn id(&self, index: u8) -> Option<ReplicaId> {
        self.machines.get(&index)?.node.borrow().as_ref().map(Node::id)
    }

    /// Waits until exactly the machines at `indexes` are voters; fails the test after `limit`.
    fn await_voters(&mut self, indexes: &[u8], limit: Duration, what: &str) {
        let until = self.world.clock.now() + limit;
        loop {
            let wanted: BTreeSet<ReplicaId> = indexes.iter().filter_map(|index| self.id(*index)).collect();
            if wanted.len() == indexes.len() && self.voters() == wanted {
                return;
            }
            assert!(self.world.clock.now() < until, "{what}: voters {:?}, wanted {wanted:?}", self.voters());
            self.run_for(Duration::from_millis(10));
        }
    }

    /// Checks that the leader has applied every acknowledged number and that every replica can read its segments.
    fn check(&mut self, what: &str) {
        self.await_leader(Duration::from_secs(5), what);
        let applied = self.leader().and_then(|leader| leader.read(|numbers| numbers.applied.clone()));
        let applied = applied.expect("the leader can serve reads");
        let lost_numbers: Vec<u64> = self.acknowledged.borrow().difference(&applied).copied().collect();
        assert!(lost_numbers.is_empty(), "{what}: the leader has not applied {lost_numbers:?}");
        assert!(!self.acknowledged.borrow().is_empty(), "{what}: nothing was acknowledged");
        for node in self.nodes() {
            let unreadable = self.numbers_not_in_segments(&node);
            assert!(unreadable.is_empty(), "{what}: {unreadable:?} cannot be read at replica {}", node.id().0);
        }
    }

    /// Sealed numbers of a replica that cannot be read from its segments.
    fn numbers_not_in_segments(&mut self, node: &Node) -> BTreeSet<u64> {
        let (mut missing, segments) = node.read_local(|numbers| {
            let unsealed: BTreeSet<u64> = numbers.unsealed.iter().copied().collect();
            let sealed: BTreeSet<u64> = numbers.applied.difference(&unsealed).copied().collect();
            (sealed, numbers.segments())
        });
        let read = Rc::new(RefCell::new(None));
        let result = read.clone();
        let reader = node.clone();
        let process = self.world.start_process("reader", 0, 0);
        self.world.spawn(&process, async move {
            let mut found = Vec::new();
            for segment in segments {
                if let Ok(bytes) = reader.read_segment(segment.number).await {
                    found.extend(numbers_in(&bytes));
                }
            }
            *result.borrow_mut() = Some(found);
        });
        while read.borrow().is_none() {
            self.run_for(Duration::from_millis(5));
        }
        for number in read.take().expect("the segments were read") {
            missing.remove(&number);
        }
        missing
    }
}

fn formed(seed: u64) -> Group {
    formed_of(Group::new(seed))
}

fn formed_of(mut group: Group) -> Group {
    for index in 1..=3 {
        let pause = group.world.jitter(Duration::from_millis(300));
        group.run_for(pause);
        group.start(index, true);
    }
    group.await_leader(Duration::from_secs(4), "first start");
    group
}

fn for_each_seed(test: impl Fn(u64)) {
    for seed in SEEDS {
        test(seed);
    }
}

#[test]
fn founders_form_one_group_with_any_start_order_and_an_early_restart() {
    for_each_seed(|seed| {
        let mut group = Group::new(seed);
        for index in 1..=3 {
            let pause = group.world.jitter(Duration::from_millis(300));
            group.run_for(pause);
            group.start(index, true);
        }
        let pause = group.world.jitter(Duration::from_millis(900));
        group.propose_for(pause);
        let index = 1 + (group.world.random() % 3) as u8;
        group.kill(index, false);
        group.propose_for(Duration::from_millis(400));
        // The machine is started as a founder again.
        group.start(index, true);
        group.propose_for(Duration::from_secs(2));
        group.await_voters(&[1, 2, 3], Duration::from_secs(4), "founders");
        group.check("founders");
    });
}

#[test]
fn machines_that_lose_their_disks_in_turn_become_voters_again() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(1));
        for index in [1, 2, 3] {
            group.kill(index, true);
            group.propose_for(Duration::from_millis(1_200));
            group.start(index, false);
            let started_at = group.world.clock.now();
            group.propose_for(Duration::from_millis(500));
            group.await_voters(&[1, 2, 3], Duration::from_millis(4_000), "after a lost disk");
            assert!(group.world.clock.now() < started_at + Duration::from_millis(4_500));
        }
        group.check("after lost disks");
    });
}

#[test]
fn a_lagging_replica_catches_up_from_the_leaders_log_file() {
    for_each_seed(|seed| {
        let mut group = Group::new(seed);
        // Memory holds few entries, and no snapshots are taken.
        group.config =
            ReplicationConfig { snapshot_entries: 100_000, memory_bytes: 200, memory_bytes_behind: 400, ..config() };
        let mut group = formed_of(group);
        group.propose_for(Duration::from_millis(500));
        let lagging_index = (1..=3).find(|index| Some(*index) != group.leader_index()).unwrap_or(1);
        group.kill(lagging_index, false);
        group.propose_for(Duration::from_millis(2_500));
        let restored_before = RESTORED.with(|restored| restored.get());
        group.start(lagging_index, false);
        group.propose_for(Duration::from_millis(1_500));
        group.await_voters(&[1, 2, 3], Duration::from_secs(2), "after a replica caught up");
        // The replica has caught up, and can be elected when another one stops.
        let stopped_index =
            group.leader_index().filter(|index| *index != lagging_index).unwrap_or(1 + lagging_index % 3);
        group.kill(stopped_index, false);
        group.check("after a replica caught up");
        let restored = RESTORED.with(|restored| restored.get()) - restored_before;
        assert_eq!(restored, 0, "a snapshot was restored");
    });
}

/// Large segments are transferred in chunks; after a change of leader a transfer resumes.
#[test]
fn segment_transfer_to_an_empty_replica_survives_a_change_of_leader() {
    SEGMENT_PADDING.with(|padding| padding.set(700_000));
    for seed in SEEDS.step_by(4) {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(3));
        group.start(4, false);
        let pause = group.world.jitter(Duration::from_millis(400));
        group.propose_for(pause);
        let leader_index = group.leader_index().expect("there is a leader");
        group.kill(leader_index, false);
        group.propose_for(Duration::from_secs(1));
        group.start(leader_index, false);
        group.propose_for(Duration::from_secs(2));
        group.check("after a segment transfer");
        assert_eq!(group.nodes().len(), 4);
    }
    SEGMENT_PADDING.with(|padding| padding.set(2_000));
}

#[test]
fn a_replica_whose_disk_fills_up_while_it_receives_segments_becomes_a_voter() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(2));
        let index = 1 + (seed % 3) as u8;
        group.kill(index, true);
        group.start(index, false);
        let pause = group.world.jitter(Duration::from_millis(900));
        group.propose_for(pause);
        let name = format!("machine-{index}");
        group.world.disks.set_full(&name, true);
        group.propose_for(Duration::from_secs(1));
        group.world.disks.set_full(&name, false);
        group.await_voters(&[1, 2, 3], Duration::from_secs(5), "after the disk had free space again");
        group.check("after a full disk");
    });
}

/// A replica with a corrupt segment, and one that joins, fetch the segment from another replica.
#[test]
fn a_corrupt_segment_is_fetched_from_another_replica() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(2));
        let index = 1 + (seed % 3) as u8;
        group.world.disks.corrupt(&format!("machine-{index}"), "segment-1");
        let lost_index = 1 + ((seed + 1) % 3) as u8;
        group.kill(lost_index, true);
        group.start(lost_index, false);
        group.propose_for(Duration::from_secs(1));
        group.await_voters(&[1, 2, 3], Duration::from_secs(5), "with a corrupt segment");
        // Checks that every replica can read its segments.
        group.check("with a corrupt segment");
    });
}

#[test]
fn files_of_segments_that_the_state_no_longer_refers_to_are_removed() {
    let mut group = formed(1);
    group.propose_for(Duration::from_secs(2));
    for node in group.nodes() {
        let segments = node.read_local(|numbers| numbers.segments());
        assert!(segments.len() > 3 && group.numbers_not_in_segments(&node).is_empty());
    }
    // The first two segments expire while new ones are sealed.
    EXPIRED_SEGMENTS.with(|expired| expired.set(2));
    group.propose_for(Duration::from_secs(4));
    for index in 1..=3 {
        let files = group.world.disks.names(&format!("machine-{index}"));
        assert!(!files.contains(&"segment-0".to_string()) && !files.contains(&"segment-1".to_string()), "{files:?}");
        assert!(files.contains(&"segment-2".to_string()), "{files:?}");
    }
    EXPIRED_SEGMENTS.with(|expired| expired.set(0));
}

/// Two of five voters are lost and one is replaced: the group then tolerates the loss of another.
#[test]
fn the_replacement_of_one_of_two_lost_voters_restores_fault_tolerance() {
    for_each_seed(|seed| {
        let mut group = Group::new(seed);
        group.config.target_voters = 5;
        let mut group = formed_of(group);
        (4..=5).for_each(|index| group.start(index, false));
        group.await_voters(&[1, 2, 3, 4, 5], Duration::from_secs(4), "five voters");
        group.propose_for(Duration::from_millis(500));
        let leader_index = group.leader_index().expect("there is a leader");
        let others: Vec<u8> = (1..=5).filter(|index| *index != leader_index).collect();
        group.kill(others[0], true);
        group.kill(others[1], true);
        group.start(7, false);
        group.propose_for(Duration::from_millis(3_500));
        group.kill(others[2], true);
        group.run_for(Duration::from_millis(1_000));
        group.propose_for(Duration::from_millis(500));
        group.check("after another loss");
    });
}

/// Many concurrent requests to join while disks are slow must not cause more membership changes than needed.
#[test]
fn concurrent_join_requests_cause_one_membership_change() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.run_for(Duration::from_secs(1));
        let committed = |group: &Group| group.leader().and_then(|leader| leader.view()).map(|view| view.committed);
        let before = committed(&group).expect("there is a leader");
        for index in 1..=3 {
            group.world.disks.set_slow(&format!("machine-{index}"), Duration::from_millis(60));
        }
        (4..=24).for_each(|index| group.start(index, false));
        let first_number = group.next;
        group.propose_for(Duration::from_secs(1));
        group.run_for(Duration::from_millis(500));
        let numbers = group.next - first_number;
        let added_entries = committed(&group).expect("there is a leader") - before - numbers;
        // The group adds one learner to its three voters.
        assert_eq!(added_entries, 1, "seed {seed}: log entries that changed the members");
    });
}

#[test]
fn a_permanently_lost_machine_is_replaced_by_one_at_another_address() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(1));
        let lost_leader = group.leader_index().unwrap_or(1);
        group.kill(lost_leader, true);
        group.propose_for(Duration::from_secs(1));
        group.start(7, false);
        group.propose_for(Duration::from_millis(300));
        let mut indexes: Vec<u8> = (1..=3).filter(|index| *index != lost_leader).collect();
        indexes.push(7);
        group.await_voters(&indexes, Duration::from_millis(4_300), "after a replacement");
        // Another voter is lost immediately.
        let next = indexes[0];
        group.kill(next, true);
        group.propose_for(Duration::from_secs(1));
        group.check("after a replacement");
    });
}

#[test]
fn a_removed_member_joins_again_after_it_resumes() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.start(4, false);
        group.propose_for(Duration::from_secs(2));
        let removed_index = (1..=3).find(|index| Some(*index) != group.leader_index()).unwrap_or(1);
        group.machines[&removed_index].process.freeze();
        // The learner replaces the frozen voter.
        group.propose_for(Duration::from_secs(4));
        let mut indexes: Vec<u8> = (1..=4).filter(|index| *index != removed_index).collect();
        group.await_voters(&indexes, Duration::from_secs(3), "after the learner replaced the frozen voter");
        group.machines[&removed_index].process.thaw();
        group.propose_for(Duration::from_secs(3));
        // The returned machine must be able to replace the next lost voter.
        let lost_index = indexes.iter().copied().find(|index| Some(*index) != group.leader_index()).unwrap_or(4);
        group.kill(lost_index, true);
        group.propose_for(Duration::from_secs(4));
        indexes.retain(|index| *index != lost_index);
        indexes.push(removed_index);
        group.await_voters(&indexes, Duration::from_secs(4), "after the removed member joined again");
        group.check("after the removed member joined again");
    });
}

#[test]
fn an_unwanted_replica_leaves_only_after_it_has_been_replaced() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(1));
        let unwanted_index = 1 + (seed % 3) as u8;
        let unwanted = group.id(unwanted_index).expect("the replica is running");
        let mark_unwanted = |group: &Group| {
            for node in group.nodes() {
                node.set_excluded_replicas([unwanted].into());
            }
        };
        mark_unwanted(&group);
        group.propose_for(Duration::from_secs(1));
        assert!(group.voters().contains(&unwanted), "the unwanted replica was removed before it was replaced");
        group.start(5, false);
        for _ in 0..60 {
            mark_unwanted(&group);
            let leader = group.leader();
            if let Some(leader) = leader.filter(|leader| leader.id() == unwanted && leader.can_leave()) {
                let process = group.machines[&unwanted_index].process.clone();
                group.world.spawn(&process, async move {
                    leader.transfer_leadership().await;
                });
            }
            group.propose_for(Duration::from_millis(100));
            if group.leader().is_some_and(|leader| leader.is_replicated_without(unwanted)) {
                break;
            }
        }
        assert!(
            group.leader().is_some_and(|leader| leader.is_replicated_without(unwanted)),
            "the unwanted replica was not replaced"
        );
        // The machine is removed, and another loses its disk immediately.
        group.kill(unwanted_index, true);
        let other = (1..=3).find(|index| *index != unwanted_index).unwrap_or(1);
        group.kill(other, true);
        group.propose_for(Duration::from_secs(1));
        group.check("after the unwanted replica left");
    });
}

#[test]
fn acknowledged_entries_survive_a_power_loss_of_the_whole_group() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        for _ in 0..3 {
            let pause = group.world.jitter(Duration::from_millis(1_500));
            group.propose_for(pause);
            for index in 1..=3 {
                group.kill(index, false);
            }
            for index in 1..=3 {
                group.start(index, false);
            }
            group.await_leader(Duration::from_secs(4), "after a power loss");
        }
        group.propose_for(Duration::from_millis(200));
        group.check("after power losses");
    });
}

/// After a power loss the preferred replica is elected, unless the others start after its vote requests.
#[test]
fn the_preferred_replica_is_usually_elected_again() {
    let is_reelected = |seed: u64| {
        PREFERRED.with(|preferred| preferred.set(None));
        let mut group = formed(seed);
        group.propose_for(Duration::from_millis(300));
        group.run_for(Duration::from_millis(500));
        let index = 1 + (seed % 3) as u8;
        let preferred = group.id(index);
        PREFERRED.with(|cell| cell.set(preferred));
        for index in 1..=3 {
            group.kill(index, false);
        }
        for index in 1..=3 {
            group.start(index, false);
        }
        group.await_leader(Duration::from_secs(4), "after a power loss");
        PREFERRED.with(|cell| cell.set(None));
        group.leader().map(|leader| leader.id()) == preferred
    };
    let count = SEEDS.filter(|seed| is_reelected(*seed)).count();
    assert!(count >= 30, "the replica was elected with {count} of {} seeds", SEEDS.count());
}

/// After a power loss the previous leader is usually elected again.
#[test]
fn the_previous_leader_is_usually_elected_again() {
    let is_reelected = |seed: u64| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_millis(300));
        let leader_id = group.leader().map(|leader| leader.id());
        for index in 1..=3 {
            group.kill(index, false);
        }
        for index in 1..=3 {
            group.start(index, false);
        }
        group.await_leader(Duration::from_secs(4), "after a power loss");
        leader_id.is_some() && group.leader().map(|leader| leader.id()) == leader_id
    };
    let count = SEEDS.filter(|seed| is_reelected(*seed)).count();
    assert!(count >= 34, "the replica was elected with {count} of {} seeds", SEEDS.count());
}

/// Replicas that start simultaneously must not repeat split votes.
#[test]
fn two_machines_that_start_simultaneously_elect_a_leader_in_time() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_millis(300));
        group.run_for(Duration::from_millis(300));
        for index in 1..=3 {
            group.kill(index, false);
        }
        group.start(1, false);
        group.start(2, false);
        group.await_leader(Duration::from_millis(1_550), &format!("seed {seed}, two of three machines"));
    });
}

#[test]
fn a_frozen_leader_is_replaced_within_the_election_limit() {
    let mut waits = Vec::new();
    // Few seeds lead to split votes.
    for seed in 0..MANY_SEEDS {
        let mut group = formed(seed);
        group.propose_for(Duration::from_millis(200));
        let frozen = group.leader_index().expect("there is a leader");
        group.machines[&frozen].process.freeze();
        let frozen_at = group.world.clock.now();
        let mut others: Vec<Node> = Vec::new();
        for (index, machine) in &group.machines {
            if *index != frozen {
                others.extend(machine.node.borrow().clone());
            }
        }
        while !others.iter().any(|node| node.leading_term().is_some()) {
            group.run_for(Duration::from_millis(10));
        }
        waits.push(group.world.clock.now() - frozen_at);
    }
    let longest = waits.iter().max().expect("there are results");
    assert!(*longest < ELECTION_LIMIT, "the longest election took {longest:?}");
}

#[test]
fn files_of_an_unknown_format_are_rejected_unchanged() {
    const FORMAT_FILE: &str = "format";
    let (world, mut pool) = World::new(1);
    let process = world.start_process("machine-1", 1, 0);
    let runtime = SimRuntime { world: world.clone(), process: process.clone() };
    let opened = Rc::new(RefCell::new(Vec::new()));
    let results = opened.clone();
    world.spawn(&process, async move {
        let disk = runtime.disk();
        let open = async || {
            let result = Storage::open(runtime.disk(), ReplicaId(7), FileFormat::ANY_LEVEL).await;
            result.map(|(_, recovered)| recovered.identity.id).map_err(|error| error.to_string())
        };
        let first = open().await;
        let own_format =
            disk.read(FORMAT_FILE).await.expect("the disk can be accessed").expect("there is a format file");
        let unknown = wal::frame(&bitcode::encode(&2_u32));
        disk.replace(FORMAT_FILE, unknown.clone()).await.expect("the disk can be accessed");
        let rejected = open().await;
        assert_eq!(
            disk.read(FORMAT_FILE).await.expect("the disk can be accessed"),
            Some(unknown),
            "the rejected file was changed"
        );
        disk.replace(FORMAT_FILE, own_format).await.expect("the disk can be accessed");
        let again = open().await;
        results.borrow_mut().extend([first, rejected, again]);
    });
    world.run(&mut pool, Duration::from_secs(1), || opened.borrow().len() == 3);
    let error = "the files are in format 2, this build reads 4, 9, 10, 11, 12, 13, 14, 15, 16 and 17; keep the data folder and start the build that wrote \
                   it, or one that reads it";
    let expected = [Ok(ReplicaId(7)), Err(error.to_string()), Ok(ReplicaId(7))];
    assert_eq!(*opened.borrow(), expected);
}
