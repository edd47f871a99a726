//! A relay that starts finds the group wherever its members have gone.
//!
//! Seen: after all processes had ended at once and come back, no relay had a lease any more, for as long as anyone looked; every
//! request was refused, and results that had been accepted could not be read. The group itself was led the whole time. How it came
//! about: a relay keeps nothing and starts with the addresses in its settings. Each of the three machines there had been down for a
//! while, one after the other, and other machines had taken their places in the group. They were back and answered, but a replica that
//! is no member hears of no leader, and said so and nothing else. What proved it: the relays' own lines, in which each of the three "knows
//! no leader" while a member leads.

use futures::executor::LocalPool;
use saddlerelay_control::config::ControlConfig;
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_replication::ReplicaOptions;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::message::{ReplicaReply, ReplicaRequest};
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

/// From the start of all processes until a relay may act: an election, and a search through every machine that serves control.
const FOUND_WITHIN: Duration = Duration::from_secs(4);

/// What becomes of the disks of the machines that the settings name.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disks {
    Kept,
    Lost,
}

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

    fn kill(&mut self, place: u8) {
        if let Some(replica) = self.replicas.remove(&place) {
            replica.process.kill();
            self.world.disks.crash(&format!("replica-{place}"), || self.world.random());
        }
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

    /// Each machine that the settings name goes down, one after the other, until others have taken its place; then all of
    /// them are back.
    fn move_group_away(&mut self, disks: Disks) {
        for place in NAMED {
            self.kill(place);
            if disks == Disks::Lost {
                self.world.disks.lose(&format!("replica-{place}"));
            }
            let until = self.world.clock.now() + REPLACED_WITHIN;
            while self.members().is_empty() || self.members().contains(&address(place)) {
                assert!(self.world.clock.now() < until, "machine {place} is still a member");
                self.run_for(Duration::from_millis(200));
            }
        }
        // The learner that is kept at hand has come, so that no place is left.
        self.run_for(Duration::from_secs(2));
        NAMED.for_each(|place| self.start_replica(place, false));
        self.run_for(Duration::from_secs(3));
        let members = self.members();
        assert!(!members.is_empty(), "the group is led");
        assert!(named().iter().all(|address| !members.contains(address)), "{members:?}");
    }

    fn restart_all(&mut self) {
        (1..=REPLICAS).for_each(|place| self.kill(place));
        self.run_for(Duration::from_secs(1));
        (1..=REPLICAS).for_each(|place| self.start_replica(place, false));
    }

    /// Starts a relay that knows the addresses in its settings only; the moment of its first answer.
    fn start_relay(&mut self) -> Rc<Cell<Option<Duration>>> {
        let process = self.world.start_process("relay", 0, 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let answered_at = Rc::new(Cell::new(None));
        self.world.spawn(&process, follow(runtime, answered_at.clone()));
        answered_at
    }
}

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
        if let Ok(GatewayReply::Followed(_)) = control.gateway(question, limit, limit).await {
            answered_at.set(Some(runtime.monotonic()));
            return;
        }
        runtime.sleep(Duration::from_millis(20)).await;
    }
}

/// Has all machines end and come back, or none, and looks for a relay's first answer.
fn find_group(disks: Disks, all_end: bool) {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        deployment.move_group_away(disks);
        if all_end {
            deployment.restart_all();
        }
        let started_at = deployment.world.clock.now();
        let answered_at = deployment.start_relay();
        deployment.run_for(FOUND_WITHIN);
        assert!(!deployment.members().is_empty(), "seed {seed}: the group is led");
        let took = answered_at.get().map(|at| at.saturating_sub(started_at));
        assert!(took.is_some(), "seed {seed}: the relay finds no leader within {FOUND_WITHIN:?}");
        println!("seed {seed}: found after {} ms", took.unwrap_or_default().as_millis());
    }
}

#[test]
fn a_relay_that_starts_finds_a_group_that_has_moved_away_from_its_settings() {
    find_group(Disks::Kept, true);
}

/// No loss of everything is needed: one relay that is replaced while the group stands elsewhere finds it no better.
#[test]
fn a_relay_that_starts_alone_finds_a_group_that_has_moved_away_from_its_settings() {
    find_group(Disks::Kept, false);
}

/// Machines that have lost their disks, and whose settings name each other, know nobody.
#[test]
fn a_relay_finds_the_group_through_machines_that_know_nothing() {
    find_group(Disks::Lost, true);
}

/// A leader of another deployment, or one of another group at an address that has changed hands, is no help to anyone here.
#[test]
fn an_announcement_of_another_group_is_not_passed_on() {
    let mut deployment = Deployment::start(1);
    let leader = deployment.leader().expect("the group is led");
    let stranger: SocketAddr = ([10, 0, 77, 7], 7_000).into();
    let other_group = 4_711;
    let announcement = ReplicaRequest::Announce { group: other_group, leader: stranger, members: vec![stranger] };
    let answered = Rc::new(RefCell::new(None));
    let answer = answered.clone();
    let process = deployment.world.start_process("stranger", 0, 0);
    let replica = leader.replica().clone();
    deployment.world.spawn(&process, async move {
        *answer.borrow_mut() = Some(replica.handle(announcement).await);
    });
    deployment.run_for(Duration::from_millis(100));
    assert_eq!(*answered.borrow(), Some(ReplicaReply::Refused));
    assert!(!leader.replica().known_peers().contains(&stranger));
    assert!(!leader.replica().peers_by_likelihood().contains(&stranger));
}
