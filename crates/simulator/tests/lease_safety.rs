//! What a leader's lease rests on: a replica that has acknowledged a leader votes for nobody else within an election timeout,
//! and one that votes acknowledges no older leader. One real replica; its two peers are played by the test.

use futures::executor::LocalPool;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::file_format::FileFormat;
use saddlerelay_replication::message::{Header, ReplicaReply, ReplicaRequest};
use saddlerelay_replication::storage::Storage;
use saddlerelay_replication::{Replica, ReplicaOptions, StateMachine};
use saddlerelay_rpc::server::Handler;
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, Sleep, World};
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "a secret of sixteen signs";

/// How long a played peer takes to answer a candidate.
const VOTE_DELAY: Duration = Duration::from_millis(100);

const STEP: Duration = Duration::from_millis(5);

struct Nothing;

impl StateMachine for Nothing {
    type Outcome = ();

    fn apply(&mut self, _command: &[u8]) {}

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _bytes: &[u8], _level: FeatureLevel) {}
}

type Node = Replica<SimRuntime, Nothing>;

/// A request for a vote.
#[derive(Clone, Copy, Debug)]
struct AskedVote {
    pre_vote: bool,
}

/// Gives every vote after a while, and notes what it was asked.
struct PlayedPeer {
    world: Rc<World>,
    asked: Rc<RefCell<Vec<AskedVote>>>,
}

impl Handler for PlayedPeer {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, body: Vec<u8>) -> Option<Vec<u8>> {
        let ControlRequest::Replication(bytes) = bitcode::decode(&body).ok()? else {
            return None;
        };
        let reply = match bitcode::decode(&bytes).ok()? {
            ReplicaRequest::Vote { header, pre_vote, .. } => {
                let at = self.world.clock.now();
                self.asked.borrow_mut().push(AskedVote { pre_vote });
                Sleep::new(self.world.clock.clone(), at + VOTE_DELAY).await;
                ReplicaReply::Vote { term: header.term, granted: pre_vote }
            }
            _ => ReplicaReply::Refused,
        };
        Some(bitcode::encode(&ControlReply::Replication(bitcode::encode(&reply))))
    }
}

struct Bench {
    world: Rc<World>,
    pool: LocalPool,
    _process: Rc<Process>,
    node: Node,
    group: u64,
    asked: Rc<RefCell<Vec<AskedVote>>>,
    peer_ids: [ReplicaId; 2],
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
        ..ReplicationConfig::default()
    }
}

fn options(place: u8) -> ReplicaOptions {
    let founders: Vec<SocketAddr> = (1..=3).map(address).collect();
    ReplicaOptions {
        address: address(place),
        peers: founders.clone(),
        founders,
        secret: SECRET.to_string(),
        config: config(),
    }
}

/// Opens the replica at `place` and reads the group's number back from its files.
async fn open(runtime: SimRuntime, place: u8) -> (Node, u64) {
    let replica = Replica::open(runtime.clone(), options(place), Nothing).await.expect("the disk is sound");
    let (_, recovered) =
        Storage::open(runtime.disk(), ReplicaId(1), FileFormat::Raised).await.expect("the disk is sound");
    (replica, recovered.identity.group.expect("it founds a group"))
}

impl Bench {
    fn new(seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let (world, mut pool) = World::new(seed);
        world.network.set_delays(4, Duration::from_millis(1), Duration::from_millis(3));
        let asked: Rc<RefCell<Vec<AskedVote>>> = Rc::default();
        let opened: Rc<RefCell<Vec<(Node, u64)>>> = Rc::default();
        let mut processes = Vec::new();
        for place in 1..=3_u8 {
            let process = world.start_process(&format!("machine-{place}"), place.into(), 0);
            let runtime = SimRuntime { world: world.clone(), process: process.clone() };
            let (told, peer) = (opened.clone(), PlayedPeer { world: world.clone(), asked: asked.clone() });
            world.spawn(&process, async move {
                // The played peers' replicas are opened for their identifiers only.
                let node = open(runtime.clone(), place).await;
                if place == 1 {
                    node.0.start();
                    told.borrow_mut().insert(0, node);
                    return;
                }
                told.borrow_mut().push(node);
                let listener = runtime.listen(address(place)).await.expect("the address is free");
                saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), Rc::new(peer)).await;
            });
            processes.push(process);
            let limit = world.clock.now() + Duration::from_secs(1);
            world.run(&mut pool, limit, || opened.borrow().len() == usize::from(place));
        }
        let opened = opened.borrow();
        let (node, group) = opened[0].clone();
        let peer_ids = [opened[1].0.id(), opened[2].0.id()];
        Self { world, pool, _process: processes.remove(0), node, group, asked, peer_ids }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        let timer = self.world.start_process("timer", 0, 0);
        self.world.spawn(&timer, Sleep::new(clock.clone(), until));
        self.world.run(&mut self.pool, until + Duration::from_secs(1), move || clock.now() >= until);
    }

    fn header(&self, peer: usize, term: u64) -> Header {
        Header { group: self.group, from: self.peer_ids[peer], to: self.node.id(), term }
    }

    /// Hands a request to the replica; its answer comes into the cell.
    fn begin(&mut self, request: ReplicaRequest) -> Rc<RefCell<Option<ReplicaReply>>> {
        let reply = Rc::new(RefCell::new(None));
        let (told, node) = (reply.clone(), self.node.clone());
        let process = self.world.start_process("asks", 0, 0);
        self.world.spawn(&process, async move {
            *told.borrow_mut() = Some(node.handle(request, FeatureLevel::NEWEST).await);
        });
        reply
    }

    fn ask(&mut self, request: ReplicaRequest) -> ReplicaReply {
        let reply = self.begin(request);
        while reply.borrow().is_none() {
            self.run_for(STEP);
        }
        reply.take().expect("it has come")
    }

    /// An append without entries, behind the entry that forms the group.
    fn append(&self, peer: usize, term: u64) -> ReplicaRequest {
        let header = self.header(peer, term);
        ReplicaRequest::Append { header, previous_index: 1, previous_term: 0, entries: Vec::new(), commit: 0 }
    }

    fn vote(&self, peer: usize, term: u64) -> ReplicaRequest {
        let header = self.header(peer, term);
        ReplicaRequest::Vote { header, pre_vote: false, transfer: false, last_index: 9, last_term: term - 1 }
    }

    fn heartbeat(&mut self, peer: usize, term: u64) -> ReplicaReply {
        let header = self.header(peer, term);
        self.ask(ReplicaRequest::Heartbeat { header })
    }
}

fn heard(reply: ReplicaReply) -> bool {
    matches!(reply, ReplicaReply::Heartbeat { heard: true, .. })
}

#[test]
fn a_replica_that_acknowledged_a_heartbeat_gives_no_vote_within_an_election_timeout() {
    let mut bench = Bench::new(1);
    let append = bench.append(0, 3);
    assert!(matches!(bench.ask(append), ReplicaReply::Append { accepted: true, .. }));
    bench.run_for(Duration::from_millis(400));
    assert!(heard(bench.heartbeat(0, 3)));
    bench.run_for(Duration::from_millis(450));
    let vote = bench.vote(1, 4);
    assert_eq!(bench.ask(vote), ReplicaReply::Vote { term: 3, granted: false });
}

#[test]
fn a_replica_that_writes_its_vote_acknowledges_no_older_leader() {
    let mut bench = Bench::new(2);
    let append = bench.append(0, 3);
    assert!(matches!(bench.ask(append), ReplicaReply::Append { accepted: true, .. }));
    bench.run_for(Duration::from_millis(510));
    bench.world.disks.set_slow("machine-1", Duration::from_millis(400));
    let vote = bench.vote(1, 9);
    let granted = bench.begin(vote);
    bench.run_for(Duration::from_millis(100));
    assert!(granted.borrow().is_none(), "the vote is on its way to the disk");
    assert_eq!(bench.heartbeat(0, 3), ReplicaReply::Heartbeat { term: 9, heard: false });
    bench.run_for(Duration::from_secs(1));
    assert_eq!(granted.take(), Some(ReplicaReply::Vote { term: 9, granted: true }));
    assert!(!heard(bench.heartbeat(0, 3)));
}

#[test]
fn a_replica_acknowledges_a_newer_term_by_heartbeat_only_once_it_has_entered_it() {
    let mut bench = Bench::new(3);
    assert!(!heard(bench.heartbeat(0, 3)));
    let append = bench.append(0, 3);
    assert!(matches!(bench.ask(append), ReplicaReply::Append { accepted: true, .. }));
    assert!(heard(bench.heartbeat(0, 3)));
    assert!(!heard(bench.heartbeat(1, 2)), "an older leader");
    assert!(!heard(bench.heartbeat(1, 3)), "another in the leader's term");
}

#[test]
fn a_candidate_that_hears_the_leader_again_does_not_vote_for_itself() {
    for seed in 0..20 {
        let mut bench = Bench::new(seed);
        // It asks whether it would be given votes, and the leader is heard before the answers come.
        while bench.asked.borrow().is_empty() {
            bench.run_for(STEP);
        }
        let append = bench.append(0, 0);
        assert!(matches!(bench.ask(append), ReplicaReply::Append { accepted: true, .. }));
        let heard_at = bench.world.clock.now();
        bench.run_for(Duration::from_millis(450));
        let asked = bench.asked.borrow();
        let early: Vec<&AskedVote> = asked.iter().filter(|asked| !asked.pre_vote).collect();
        assert!(early.is_empty(), "seed {seed}: heard at {heard_at:?}, then {early:?}");
    }
}
