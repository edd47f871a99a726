//! Safety of the leader lease: a replica that acknowledged a leader grants no vote within the election timeout, and one
//! that voted does not acknowledge an older leader. The test simulates the two peers of one real replica.

use futures::executor::LocalPool;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::file_format::FileFormat;
use saddlerelay_replication::message::{Header, ReplicaReply, ReplicaRequest};
use saddlerelay_replication::storage::Storage;
use saddlerelay_replication::{Replica, ReplicaOptions, StateMachine};
use saddlerelay_rpc::server::{Handler, Response};
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

/// Delay of a simulated peer's reply to a vote request.
const VOTE_DELAY: Duration = Duration::from_millis(100);

/// Interval at which the test checks for a condition.
const STEP: Duration = Duration::from_millis(5);

struct EmptyStateMachine;

impl StateMachine for EmptyStateMachine {
    type Outcome = ();

    fn apply(&mut self, _command: &[u8]) {}

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _bytes: &[u8], _level: FeatureLevel) {}
}

type Node = Replica<SimRuntime, EmptyStateMachine>;

/// A received vote request.
#[derive(Clone, Copy, Debug)]
struct VoteRequest {
    pre_vote: bool,
}

/// Grants every pre-vote and no vote, after `VOTE_DELAY`, and records the requests.
struct SimulatedPeer {
    world: Rc<World>,
    vote_requests: Rc<RefCell<Vec<VoteRequest>>>,
}

impl Handler for SimulatedPeer {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, body: Vec<u8>) -> Option<Response> {
        let ControlRequest::Replication(bytes) = bitcode::decode(&body).ok()? else {
            return None;
        };
        let reply = match bitcode::decode(&bytes).ok()? {
            ReplicaRequest::Vote { header, pre_vote, .. } => {
                let at = self.world.clock.now();
                self.vote_requests.borrow_mut().push(VoteRequest { pre_vote });
                Sleep::new(self.world.clock.clone(), at + VOTE_DELAY).await;
                ReplicaReply::Vote { term: header.term, granted: pre_vote }
            }
            _ => ReplicaReply::Rejected,
        };
        Some(bitcode::encode(&ControlReply::Replication(bitcode::encode(&reply))).into())
    }
}

struct Fixture {
    world: Rc<World>,
    pool: LocalPool,
    _process: Rc<Process>,
    node: Node,
    group: u64,
    vote_requests: Rc<RefCell<Vec<VoteRequest>>>,
    peer_ids: [ReplicaId; 2],
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
        ..ReplicationConfig::default()
    }
}

fn options(index: u8) -> ReplicaOptions {
    let founders: Vec<SocketAddr> = (1..=3).map(address).collect();
    ReplicaOptions {
        address: address(index),
        peers: founders.clone(),
        founders,
        secret: SECRET.to_string(),
        config: config(),
    }
}

/// Opens the replica at `index` and reads the group's identifier from its storage.
async fn open(runtime: SimRuntime, index: u8) -> (Node, u64) {
    let replica =
        Replica::open(runtime.clone(), options(index), EmptyStateMachine).await.expect("the storage can be opened");
    let (_, recovered) =
        Storage::open(runtime.disk(), ReplicaId(1), FileFormat::ANY_LEVEL).await.expect("the storage can be opened");
    (replica, recovered.identity.group.expect("the replica belongs to a group"))
}

impl Fixture {
    fn new(seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let (world, mut pool) = World::new(seed);
        world.network.set_delays(4, Duration::from_millis(1), Duration::from_millis(3));
        let vote_requests: Rc<RefCell<Vec<VoteRequest>>> = Rc::default();
        let opened: Rc<RefCell<Vec<(Node, u64)>>> = Rc::default();
        let mut processes = Vec::new();
        for index in 1..=3_u8 {
            let process = world.start_process(&format!("machine-{index}"), index.into(), 0);
            let runtime = SimRuntime { world: world.clone(), process: process.clone() };
            let (result, peer) =
                (opened.clone(), SimulatedPeer { world: world.clone(), vote_requests: vote_requests.clone() });
            world.spawn(&process, async move {
                // The replicas of the simulated peers are opened only for their identifiers.
                let node = open(runtime.clone(), index).await;
                if index == 1 {
                    node.0.start();
                    result.borrow_mut().insert(0, node);
                    return;
                }
                result.borrow_mut().push(node);
                let listener = runtime.listen(address(index)).await.expect("the address is free");
                saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), Rc::new(peer)).await;
            });
            processes.push(process);
            let limit = world.clock.now() + Duration::from_secs(1);
            world.run(&mut pool, limit, || opened.borrow().len() == usize::from(index));
        }
        let opened = opened.borrow();
        let (node, group) = opened[0].clone();
        let peer_ids = [opened[1].0.id(), opened[2].0.id()];
        Self { world, pool, _process: processes.remove(0), node, group, vote_requests, peer_ids }
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

    /// Sends a request to the replica; the returned cell receives the reply.
    fn start_request(&mut self, request: ReplicaRequest) -> Rc<RefCell<Option<ReplicaReply>>> {
        let reply = Rc::new(RefCell::new(None));
        let (result, node) = (reply.clone(), self.node.clone());
        let process = self.world.start_process("client", 0, 0);
        self.world.spawn(&process, async move {
            *result.borrow_mut() = Some(node.handle(request, FeatureLevel::NEWEST).await);
        });
        reply
    }

    fn send_request(&mut self, request: ReplicaRequest) -> ReplicaReply {
        let reply = self.start_request(request);
        while reply.borrow().is_none() {
            self.run_for(STEP);
        }
        reply.take().expect("the reply was received")
    }

    /// An append without entries that follows the first entry of the group.
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
        self.send_request(ReplicaRequest::Heartbeat { header })
    }
}

fn is_acknowledged(reply: ReplicaReply) -> bool {
    matches!(reply, ReplicaReply::Heartbeat { acknowledged: true, .. })
}

#[test]
fn a_replica_grants_no_vote_within_an_election_timeout_of_a_heartbeat() {
    let mut fixture = Fixture::new(1);
    let append = fixture.append(0, 3);
    assert!(matches!(fixture.send_request(append), ReplicaReply::Append { accepted: true, .. }));
    fixture.run_for(Duration::from_millis(400));
    assert!(is_acknowledged(fixture.heartbeat(0, 3)));
    fixture.run_for(Duration::from_millis(450));
    let vote = fixture.vote(1, 4);
    assert_eq!(fixture.send_request(vote), ReplicaReply::Vote { term: 3, granted: false });
}

#[test]
fn a_replica_persisting_a_vote_acknowledges_no_older_leader() {
    let mut fixture = Fixture::new(2);
    let append = fixture.append(0, 3);
    assert!(matches!(fixture.send_request(append), ReplicaReply::Append { accepted: true, .. }));
    fixture.run_for(Duration::from_millis(510));
    fixture.world.disks.set_slow("machine-1", Duration::from_millis(400));
    let vote = fixture.vote(1, 9);
    let granted = fixture.start_request(vote);
    fixture.run_for(Duration::from_millis(100));
    assert!(granted.borrow().is_none(), "the replica replied before the vote was persisted");
    assert_eq!(fixture.heartbeat(0, 3), ReplicaReply::Heartbeat { term: 9, acknowledged: false });
    fixture.run_for(Duration::from_secs(1));
    assert_eq!(granted.take(), Some(ReplicaReply::Vote { term: 9, granted: true }));
    assert!(!is_acknowledged(fixture.heartbeat(0, 3)));
}

#[test]
fn a_heartbeat_is_acknowledged_only_in_the_current_term() {
    let mut fixture = Fixture::new(3);
    assert!(!is_acknowledged(fixture.heartbeat(0, 3)));
    let append = fixture.append(0, 3);
    assert!(matches!(fixture.send_request(append), ReplicaReply::Append { accepted: true, .. }));
    assert!(is_acknowledged(fixture.heartbeat(0, 3)));
    assert!(!is_acknowledged(fixture.heartbeat(1, 2)), "an older leader");
    assert!(!is_acknowledged(fixture.heartbeat(1, 3)), "another replica in the leader's term");
}

#[test]
fn a_pre_candidate_that_receives_an_append_does_not_campaign() {
    for seed in 0..20 {
        let mut fixture = Fixture::new(seed);
        // The leader's append arrives between the pre-vote requests and their replies.
        while fixture.vote_requests.borrow().is_empty() {
            fixture.run_for(STEP);
        }
        let append = fixture.append(0, 0);
        assert!(matches!(fixture.send_request(append), ReplicaReply::Append { accepted: true, .. }));
        let append_at = fixture.world.clock.now();
        fixture.run_for(Duration::from_millis(450));
        let vote_requests = fixture.vote_requests.borrow();
        let premature_votes: Vec<&VoteRequest> =
            vote_requests.iter().filter(|vote_request| !vote_request.pre_vote).collect();
        assert!(premature_votes.is_empty(), "seed {seed}: append received at {append_at:?}, then {premature_votes:?}");
    }
}
