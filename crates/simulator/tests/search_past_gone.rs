//! Machines that are gone and that replicas still name do not keep a relay from the next leader.

use futures::executor::LocalPool;
use saddlerelay_control::config::ControlConfig;
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_replication::ReplicaOptions;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::backends::SimBackends;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, Sleep, World};
use saddlerelay_types::gateway::{FollowRequest, GatewayCommand, GatewayReply, GatewayRequest, StoreRecord};
use saddlerelay_types::identity::Incarnation;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;
const SECRET: &str = "a secret of sixteen signs";

/// The machines that the settings name; they form the group.
const NAMED: std::ops::RangeInclusive<u8> = 1..=3;
const REPLICAS: u8 = 9;

/// Longest time until a machine that is down is no member any more, also one that was only a learner.
const REPLACED_WITHIN: Duration = Duration::from_secs(20);

/// Members that lose power for good before the leader does.
const GONE: usize = 3;

/// No answer comes from a leader that has ended later than this, and no new leader is elected earlier.
const LAST_ANSWER: Duration = Duration::from_millis(700);

/// Longest time until a relay has an answer again, for hangs only.
const HUNG: Duration = Duration::from_secs(8);

/// Precision of what is measured.
const STEP: Duration = Duration::from_millis(20);

type Node = ControlNode<SimRuntime, SimBackends>;

struct Replica {
    process: Rc<Process>,
    node: Rc<RefCell<Option<Node>>>,
}

impl Replica {
    fn record(&self, place: u8) -> StoreRecord {
        let replica = self.node.borrow().as_ref().expect("it runs").replica().id();
        StoreRecord { name: format!("replica-{place}"), replica, address: address(place), zone: "north".to_string() }
    }
}

struct Deployment {
    world: Rc<World>,
    pool: LocalPool,
    replicas: BTreeMap<u8, Replica>,
}

fn address(place: u8) -> SocketAddr {
    ([10, 0, 0, place], 7_000).into()
}

fn named() -> Vec<SocketAddr> {
    NAMED.map(address).collect()
}

impl Deployment {
    /// Starts a group of five voters and a learner among all machines.
    fn start(seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let (world, pool) = World::new(seed);
        world.network.set_delays(usize::from(REPLICAS) + 1, Duration::from_millis(1), Duration::from_millis(3));
        let mut deployment = Self { world, pool, replicas: BTreeMap::new() };
        (1..=REPLICAS).for_each(|place| deployment.start_replica(place, true));
        deployment.run_for(Duration::from_secs(3));
        deployment.register_machines();
        deployment
    }

    /// Every machine has told the group of itself, as each does when it starts.
    fn register_machines(&mut self) {
        let leader = self.leader().expect("the group is led");
        let process = self.world.start_process("operator", 0, 0);
        let records: Vec<StoreRecord> = self.replicas.iter().map(|(place, replica)| replica.record(*place)).collect();
        self.world.spawn(&process, async move {
            for record in records {
                leader.commit_gateway(GatewayCommand::RegisterStore(record)).await.expect("it is committed");
            }
        });
        self.run_for(Duration::from_secs(1));
    }

    fn start_replica(&mut self, place: u8, founding: bool) {
        let process = self.world.start_process(&format!("replica-{place}"), place.into(), 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let options = ReplicaOptions {
            address: address(place),
            peers: named(),
            founders: if founding { named() } else { Vec::new() },
            secret: SECRET.to_string(),
            config: ReplicationConfig { target_voters: 5, ..ReplicationConfig::default() },
        };
        let nowhere: SocketAddr = ([10, 0, 99, 9], 1).into();
        let backends = SimBackends { platform: runtime.clone(), scorer: nowhere, machine_list: nowhere };
        let node = Rc::new(RefCell::new(None));
        let started = node.clone();
        self.world.spawn(&process, async move {
            let listener = runtime.listen(options.address).await.expect("the address is free");
            let config = ControlConfig::default();
            let node = ControlNode::start(runtime.clone(), backends, config, options).await.expect("a sound disk");
            *started.borrow_mut() = Some(node.clone());
            saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), Rc::new(node)).await;
        });
        self.replicas.insert(place, Replica { process, node });
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        let timer = self.world.start_process("timer", 0, 0);
        self.world.spawn(&timer, Sleep::new(clock.clone(), until));
        self.world.run(&mut self.pool, until + Duration::from_secs(1), move || clock.now() >= until);
    }

    fn leader(&self) -> Option<Node> {
        let nodes = self.replicas.values().filter_map(|replica| replica.node.borrow().clone());
        nodes.into_iter().find(|node| node.replica().leading_term().is_some())
    }

    fn members(&self) -> Vec<SocketAddr> {
        self.leader().map(|leader| leader.replica().member_addresses()).unwrap_or_default()
    }

    fn place_of(&self, address: SocketAddr) -> u8 {
        (1..=REPLICAS).find(|place| self::address(*place) == address).expect("one of the machines")
    }

    /// A machine loses power: it neither answers nor refuses.
    fn lose_power(&mut self, place: u8) {
        self.world.network.cut(place.into(), false);
        self.replicas.remove(&place).expect("it ran").process.kill();
    }

    /// Members that the settings do not name lose power one after the other, each once another has taken the last one's place.
    fn replace_members(&mut self) {
        for _ in 0..GONE {
            let leader = self.leader().expect("the group is led").replica().address();
            let members = self.members();
            let may_go = |address: &&SocketAddr| **address != leader && !named().contains(*address);
            let gone = *members.iter().find(may_go).expect("members that the settings do not name");
            self.lose_power(self.place_of(gone));
            let until = self.world.clock.now() + REPLACED_WITHIN;
            while self.members().is_empty() || self.members().contains(&gone) {
                assert!(self.world.clock.now() < until, "{gone} is still a member");
                self.run_for(Duration::from_millis(200));
            }
            self.run_for(Duration::from_secs(2));
        }
    }

    fn start_relay(&mut self) -> Rc<Cell<Option<Duration>>> {
        let process = self.world.start_process("relay", 0, 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let answered_at = Rc::new(Cell::new(None));
        self.world.spawn(&process, follow(runtime, answered_at.clone()));
        answered_at
    }
}

/// Follows as a relay does; notes the newest answer.
async fn follow(runtime: SimRuntime, answered_at: Rc<Cell<Option<Duration>>>) {
    let control = ControlClient::new(runtime.clone(), &named(), SECRET);
    let limit = Duration::from_millis(650);
    loop {
        let question = GatewayRequest::Follow(FollowRequest {
            relay: "relay".to_string(),
            zone: "north".to_string(),
            routing_version: None,
            instance_revision: 0,
            at_follower: false,
            incarnation: Incarnation(1),
            unix_ms: runtime.unix_milliseconds(),
            usage: None,
            suspicion_revision: 0,
        });
        if let Ok(GatewayReply::Followed(reply)) = control.gateway(question, limit, limit).await {
            answered_at.set(Some(runtime.monotonic()));
            control.set_replicas(reply.replicas.into_iter().chain(named()));
        } else {
            runtime.sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Deployment {
    /// From the leader's loss of power until another leads, and until the relay has an answer from it.
    fn lose_leader(&mut self, answered_at: &Cell<Option<Duration>>) -> (Duration, Duration) {
        let ended_at = self.world.clock.now();
        let leader = self.leader().expect("the group is led").replica().address();
        self.lose_power(self.place_of(leader));
        let mut elected_after = None;
        loop {
            self.run_for(STEP);
            let after = self.world.clock.now().saturating_sub(ended_at);
            if elected_after.is_none() && self.leader().is_some() {
                elected_after = Some(after);
            }
            if answered_at.get().is_some_and(|at| at > ended_at + LAST_ANSWER) || after > HUNG {
                return (elected_after.expect("another leader"), after);
            }
        }
    }
}

/// A relay may act until its last answer is as old as the lease: it is not to lose it by looking for a leader that is there.
#[test]
fn a_relay_finds_the_next_leader_past_machines_that_are_gone() {
    let lease = ControlConfig::default().follow_lease;
    let mut longest = Duration::ZERO;
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        deployment.replace_members();
        let answered_at = deployment.start_relay();
        deployment.run_for(Duration::from_secs(3));
        assert!(answered_at.get().is_some(), "seed {seed}: the relay is answered");
        let (elected, found) = deployment.lose_leader(&answered_at);
        println!("seed {seed}: elected after {} ms, found after {} ms", elected.as_millis(), found.as_millis());
        longest = longest.max(found);
    }
    assert!(longest < lease, "found after {longest:?}, the lease is {lease:?}");
}
