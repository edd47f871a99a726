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
use saddlerelay_rpc::server::Handler;
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

/// Number of seeds for events that occur with few of them.
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
    /// Padding bytes in each segment.
    static SEGMENT_PADDING: Cell<usize> = const { Cell::new(2_000) };
}

/// Numbers in a sealed segment.
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
    let (numbers, _): (Vec<u64>, Vec<u8>) = bitcode::decode(segment).expect("a segment can be read");
    numbers
}

impl StateMachine for Numbers {
    type Outcome = usize;

    fn apply(&mut self, command: &[u8]) -> usize {
        let number: u64 = bitcode::decode(command).expect("a number was proposed");
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
            bitcode::decode(bytes).expect("a snapshot can be read");
        self.unreleased.clear();
    }
}

type Node = Replica<SimRuntime, Numbers>;

struct RequestHandler(Node);

impl Handler for RequestHandler {
    async fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> Option<Vec<u8>> {
        let request = message_codec::decode_call(&body, level)?;
        let reply = self.0.handle(request, level).await;
        message_codec::encode_answer(reply, level)
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

fn address(place: u8) -> SocketAddr {
    ([10, 0, 0, place], 7_000).into()
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

    /// Starts the machine at `place`; with `founding`, as one of the three founders of the group.
    fn start(&mut self, place: u8, founding: bool) {
        let name = format!("machine-{place}");
        let process = self.world.start_process(&name, place.into(), 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let founders: Vec<SocketAddr> = (1..=3).map(address).collect();
        let options = ReplicaOptions {
            address: address(place),
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
            let replica =
                Replica::open(task_runtime.clone(), options, Numbers::default()).await.expect("the disk is sound");
            replica.start();
            *started.borrow_mut() = Some(replica.clone());
            let handler = Rc::new(RequestHandler(replica));
            saddlerelay_rpc::server::serve(task_runtime, listener, SECRET.to_string(), handler).await;
        });
        self.machines.insert(place, Machine { process, node });
    }

    fn kill(&mut self, place: u8, loses_disk: bool) {
        if let Some(machine) = self.machines.remove(&place) {
            machine.process.kill();
            let name = format!("machine-{place}");
            self.world.disks.crash(&name, || self.world.random());
            if loses_disk {
                self.world.disks.lose(&name);
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

    fn leader_place(&self) -> Option<u8> {
        let leads =
            |machine: &&Machine| machine.node.borrow().as_ref().is_some_and(|node| node.leading_term().is_some());
        self.machines.iter().find(|(_, machine)| leads(machine)).map(|(place, _)| *place)
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
            assert!(self.world.clock.now() < until, "no leader {what}");
            self.run_for(Duration::from_millis(10));
        }
    }

    fn voters(&self) -> BTreeSet<ReplicaId> {
        let view = self.leader().and_then(|leader| leader.view());
        let replicas = view.map(|view| view.replicas).unwrap_or_default();
        replicas.into_iter().filter(|replica| replica.voter).map(|replica| replica.id).collect()
    }

    fn id(&self, place: u8) -> Option<ReplicaId> {
        self.machines.get(&place)?.node.borrow().as_ref().map(Node::id)
    }

    /// Waits until exactly the machines at `places` are voters; fails the test after `limit`.
    fn await_voters(&mut self, places: &[u8], limit: Duration, what: &str) {
        let until = self.world.clock.now() + limit;
        loop {
            let wanted: BTreeSet<ReplicaId> = places.iter().filter_map(|place| self.id(*place)).collect();
            if wanted.len() == places.len() && self.voters() == wanted {
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
        let applied = applied.expect("a leader reads");
        let lost_numbers: Vec<u64> = self.acknowledged.borrow().difference(&applied).copied().collect();
        assert!(lost_numbers.is_empty(), "{what}: lost {lost_numbers:?}");
        assert!(!self.acknowledged.borrow().is_empty(), "{what}: nothing was acknowledged");
        for node in self.nodes() {
            let unread = self.numbers_not_in_segments(&node);
            assert!(unread.is_empty(), "{what}: {unread:?} cannot be read at replica {}", node.id().0);
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
        for number in read.take().expect("it was read") {
            missing.remove(&number);
        }
        missing
    }
}

fn formed(seed: u64) -> Group {
    formed_of(Group::new(seed))
}

fn formed_of(mut group: Group) -> Group {
    for place in 1..=3 {
        let pause = group.world.jitter(Duration::from_millis(300));
        group.run_for(pause);
        group.start(place, true);
    }
    group.await_leader(Duration::from_secs(4), "after the first start");
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
        for place in 1..=3 {
            let pause = group.world.jitter(Duration::from_millis(300));
            group.run_for(pause);
            group.start(place, true);
        }
        let pause = group.world.jitter(Duration::from_millis(900));
        group.propose_for(pause);
        let place = 1 + (group.world.random() % 3) as u8;
        group.kill(place, false);
        group.propose_for(Duration::from_millis(400));
        // It is started as a founder again.
        group.start(place, true);
        group.propose_for(Duration::from_secs(2));
        group.await_voters(&[1, 2, 3], Duration::from_secs(4), "founders");
        group.check("founders");
    });
}

#[test]
fn a_machine_with_an_empty_disk_votes_again_and_then_another_may_lose_its_disk() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(1));
        for place in [1, 2, 3] {
            group.kill(place, true);
            group.propose_for(Duration::from_millis(1_200));
            group.start(place, false);
            let started_at = group.world.clock.now();
            group.propose_for(Duration::from_millis(500));
            group.await_voters(&[1, 2, 3], Duration::from_millis(4_000), "after a lost disk");
            assert!(group.world.clock.now() < started_at + Duration::from_millis(4_500));
        }
        group.check("lost disks");
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
        let behind = (1..=3).find(|place| Some(*place) != group.leader_place()).unwrap_or(1);
        group.kill(behind, false);
        group.propose_for(Duration::from_millis(2_500));
        let read_before = RESTORED.with(|restored| restored.get());
        group.start(behind, false);
        group.propose_for(Duration::from_millis(1_500));
        group.await_voters(&[1, 2, 3], Duration::from_secs(2), "one that was far behind");
        // The replica has caught up, and can be elected when another one ends.
        let last = group.leader_place().filter(|place| *place != behind).unwrap_or(1 + behind % 3);
        group.kill(last, false);
        group.check("far behind");
        let read = RESTORED.with(|restored| restored.get()) - read_before;
        assert_eq!(read, 0, "no snapshot was needed");
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
        let leader_place = group.leader_place().expect("there is a leader");
        group.kill(leader_place, false);
        group.propose_for(Duration::from_secs(1));
        group.start(leader_place, false);
        group.propose_for(Duration::from_secs(2));
        group.check("segments");
        assert_eq!(group.nodes().len(), 4);
    }
    SEGMENT_PADDING.with(|padding| padding.set(2_000));
}

#[test]
fn a_replica_whose_disk_fills_up_while_it_receives_segments_votes_once_there_is_room() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(2));
        let place = 1 + (seed % 3) as u8;
        group.kill(place, true);
        group.start(place, false);
        let pause = group.world.jitter(Duration::from_millis(900));
        group.propose_for(pause);
        let name = format!("machine-{place}");
        group.world.disks.set_full(&name, true);
        group.propose_for(Duration::from_secs(1));
        group.world.disks.set_full(&name, false);
        group.await_voters(&[1, 2, 3], Duration::from_secs(5), "after there was room");
        group.check("full disk");
    });
}

/// A replica with a corrupt segment, and one that joins, fetch the segment from another replica.
#[test]
fn a_corrupt_segment_is_fetched_from_another_replica() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(2));
        let place = 1 + (seed % 3) as u8;
        group.world.disks.damage(&format!("machine-{place}"), "segment-1");
        let lost_place = 1 + ((seed + 1) % 3) as u8;
        group.kill(lost_place, true);
        group.start(lost_place, false);
        group.propose_for(Duration::from_secs(1));
        group.await_voters(&[1, 2, 3], Duration::from_secs(5), "beside a damaged segment");
        // Checks that every replica can read its segments.
        group.check("damaged segment");
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
    for place in 1..=3 {
        let files = group.world.disks.names(&format!("machine-{place}"));
        assert!(!files.contains(&"segment-0".to_string()) && !files.contains(&"segment-1".to_string()), "{files:?}");
        assert!(files.contains(&"segment-2".to_string()), "{files:?}");
    }
    EXPIRED_SEGMENTS.with(|expired| expired.set(0));
}

/// Two of five voters are lost and one is replaced: the group then tolerates the loss of another.
#[test]
fn a_replacement_makes_up_for_one_loss_while_another_is_still_open() {
    for_each_seed(|seed| {
        let mut group = Group::new(seed);
        group.config.target_voters = 5;
        let mut group = formed_of(group);
        (4..=5).for_each(|place| group.start(place, false));
        group.await_voters(&[1, 2, 3, 4, 5], Duration::from_secs(4), "five voters");
        group.propose_for(Duration::from_millis(500));
        let leader_place = group.leader_place().expect("there is a leader");
        let others: Vec<u8> = (1..=5).filter(|place| *place != leader_place).collect();
        group.kill(others[0], true);
        group.kill(others[1], true);
        group.start(7, false);
        group.propose_for(Duration::from_millis(3_500));
        group.kill(others[2], true);
        group.run_for(Duration::from_millis(1_000));
        group.propose_for(Duration::from_millis(500));
        group.check("another loss");
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
        for place in 1..=3 {
            group.world.disks.set_slow(&format!("machine-{place}"), Duration::from_millis(60));
        }
        (4..=24).for_each(|place| group.start(place, false));
        let first_number = group.next;
        group.propose_for(Duration::from_secs(1));
        group.run_for(Duration::from_millis(500));
        let numbers = group.next - first_number;
        let written = committed(&group).expect("there is a leader") - before - numbers;
        // The group adds one learner to its three voters.
        assert_eq!(written, 1, "entries that changed the members, seed {seed}");
    });
}

#[test]
fn a_machine_that_is_gone_for_good_is_replaced_by_one_at_another_address() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(1));
        let lost_leader = group.leader_place().unwrap_or(1);
        group.kill(lost_leader, true);
        group.propose_for(Duration::from_secs(1));
        group.start(7, false);
        group.propose_for(Duration::from_millis(300));
        let mut places: Vec<u8> = (1..=3).filter(|place| *place != lost_leader).collect();
        places.push(7);
        group.await_voters(&places, Duration::from_millis(4_300), "after a replacement");
        // Another voter is lost immediately.
        let next = places[0];
        group.kill(next, true);
        group.propose_for(Duration::from_secs(1));
        group.check("replaced");
    });
}

#[test]
fn a_removed_member_that_comes_back_joins_again() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.start(4, false);
        group.propose_for(Duration::from_secs(2));
        let away = (1..=3).find(|place| Some(*place) != group.leader_place()).unwrap_or(1);
        group.machines[&away].process.freeze();
        // The learner replaces it.
        group.propose_for(Duration::from_secs(4));
        let mut places: Vec<u8> = (1..=4).filter(|place| *place != away).collect();
        group.await_voters(&places, Duration::from_secs(3), "the spare");
        group.machines[&away].process.thaw();
        group.propose_for(Duration::from_secs(3));
        // It must be able to replace the next lost voter.
        let lost_place = places.iter().copied().find(|place| Some(*place) != group.leader_place()).unwrap_or(4);
        group.kill(lost_place, true);
        group.propose_for(Duration::from_secs(4));
        places.retain(|place| *place != lost_place);
        places.push(away);
        group.await_voters(&places, Duration::from_secs(4), "the one that came back");
        group.check("came back");
    });
}

#[test]
fn an_unwanted_replica_leaves_only_after_it_has_been_replaced() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_secs(1));
        let unwanted_place = 1 + (seed % 3) as u8;
        let unwanted = group.id(unwanted_place).expect("it runs");
        let mark_unwanted = |group: &Group| {
            for node in group.nodes() {
                node.set_excluded_replicas([unwanted].into());
            }
        };
        mark_unwanted(&group);
        group.propose_for(Duration::from_secs(1));
        assert!(group.voters().contains(&unwanted), "there is no replacement yet");
        group.start(5, false);
        for _ in 0..60 {
            mark_unwanted(&group);
            let leader = group.leader();
            if let Some(leader) = leader.filter(|leader| leader.id() == unwanted && leader.can_leave()) {
                let process = group.machines[&unwanted_place].process.clone();
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
        group.kill(unwanted_place, true);
        let other = (1..=3).find(|place| *place != unwanted_place).unwrap_or(1);
        group.kill(other, true);
        group.propose_for(Duration::from_secs(1));
        group.check("left");
    });
}

#[test]
fn acknowledged_entries_survive_a_power_loss_of_the_whole_group() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        for _ in 0..3 {
            let pause = group.world.jitter(Duration::from_millis(1_500));
            group.propose_for(pause);
            for place in 1..=3 {
                group.kill(place, false);
            }
            for place in 1..=3 {
                group.start(place, false);
            }
            group.await_leader(Duration::from_secs(4), "after the power was lost");
        }
        group.propose_for(Duration::from_millis(200));
        group.check("power");
    });
}

/// After a power loss the preferred replica is elected, unless the others start after its vote requests.
#[test]
fn the_preferred_replica_is_usually_elected_again() {
    let leads_again = |seed: u64| {
        PREFERRED.with(|preferred| preferred.set(None));
        let mut group = formed(seed);
        group.propose_for(Duration::from_millis(300));
        group.run_for(Duration::from_millis(500));
        let place = 1 + (seed % 3) as u8;
        let preferred = group.id(place);
        PREFERRED.with(|cell| cell.set(preferred));
        for place in 1..=3 {
            group.kill(place, false);
        }
        for place in 1..=3 {
            group.start(place, false);
        }
        group.await_leader(Duration::from_secs(4), "after the power was lost");
        PREFERRED.with(|cell| cell.set(None));
        group.leader().map(|leader| leader.id()) == preferred
    };
    let count = SEEDS.filter(|seed| leads_again(*seed)).count();
    assert!(count >= 30, "{count} of {} seeds", SEEDS.count());
}

/// After a power loss the previous leader is usually elected again.
#[test]
fn the_previous_leader_is_usually_elected_again() {
    let leads_again = |seed: u64| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_millis(300));
        let leader_id = group.leader().map(|leader| leader.id());
        for place in 1..=3 {
            group.kill(place, false);
        }
        for place in 1..=3 {
            group.start(place, false);
        }
        group.await_leader(Duration::from_secs(4), "after the power was lost");
        leader_id.is_some() && group.leader().map(|leader| leader.id()) == leader_id
    };
    let count = SEEDS.filter(|seed| leads_again(*seed)).count();
    assert!(count >= 34, "{count} of {} seeds", SEEDS.count());
}

/// Replicas that start simultaneously must not repeat split votes.
#[test]
fn two_machines_that_start_together_soon_have_a_leader() {
    for_each_seed(|seed| {
        let mut group = formed(seed);
        group.propose_for(Duration::from_millis(300));
        group.run_for(Duration::from_millis(300));
        for place in 1..=3 {
            group.kill(place, false);
        }
        group.start(1, false);
        group.start(2, false);
        group.await_leader(Duration::from_millis(1_550), &format!("of two, seed {seed}"));
    });
}

#[test]
fn a_frozen_leader_is_replaced_within_the_election_limit() {
    let mut waits = Vec::new();
    // Few seeds lead to split votes.
    for seed in 0..MANY_SEEDS {
        let mut group = formed(seed);
        group.propose_for(Duration::from_millis(200));
        let frozen = group.leader_place().expect("there is a leader");
        group.machines[&frozen].process.freeze();
        let frozen_at = group.world.clock.now();
        let mut others: Vec<Node> = Vec::new();
        for (place, machine) in &group.machines {
            if *place != frozen {
                others.extend(machine.node.borrow().clone());
            }
        }
        while !others.iter().any(|node| node.leading_term().is_some()) {
            group.run_for(Duration::from_millis(10));
        }
        waits.push(group.world.clock.now() - frozen_at);
    }
    let longest = waits.iter().max().expect("there are seeds");
    assert!(*longest < ELECTION_LIMIT, "the longest took {longest:?}");
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
            let result = Storage::open(runtime.disk(), ReplicaId(7), FileFormat::MultipleLevels).await;
            result.map(|(_, recovered)| recovered.identity.id).map_err(|error| error.to_string())
        };
        let first = open().await;
        let own_format = disk.read(FORMAT_FILE).await.expect("a sound disk").expect("a format");
        let unknown = wal::frame(&bitcode::encode(&2_u32));
        disk.replace(FORMAT_FILE, unknown.clone()).await.expect("a sound disk");
        let refused = open().await;
        assert_eq!(disk.read(FORMAT_FILE).await.expect("a sound disk"), Some(unknown), "rejected files are unchanged");
        disk.replace(FORMAT_FILE, own_format).await.expect("a sound disk");
        let again = open().await;
        results.borrow_mut().extend([first, refused, again]);
    });
    world.run(&mut pool, Duration::from_secs(1), || opened.borrow().len() == 3);
    let refused = "the files are in format 2, this build reads 4, 9 and 10; keep the data folder and start the build that wrote \
                   it, or one that reads it";
    let expected = [Ok(ReplicaId(7)), Err(refused.to_string()), Ok(ReplicaId(7))];
    assert_eq!(*opened.borrow(), expected);
}
