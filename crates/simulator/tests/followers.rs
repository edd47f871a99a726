//! Relays that follow the state through followers: a follower is frozen, partitioned from the leader or killed, or the
//! leader is killed. Updates arrive, and no relay acts on a state for longer than the lease, counted from when the
//! leader confirmed that state.

use futures::executor::LocalPool;
use saddlerelay_control::config::ControlConfig;
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_gateway::follower::AssignedReplica;
use saddlerelay_gateway::view::View;
use saddlerelay_replication::ReplicaOptions;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::backends::SimBackends;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, Sleep, World};
use saddlerelay_types::gateway::{FollowRequest, GatewayCommand, GatewayReply, GatewayRequest, StoreRecord};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use saddlerelay_types::routing::{RequestLimits, RoutingDocument, Service};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;
const SECRET: &str = "a secret of sixteen signs";
const REPLICAS: u8 = 5;
const RELAYS: u8 = 12;
/// Number of engines, small enough that every relay receives all of them.
const ENGINES: u8 = 30;
/// Default of `ControlConfig::follow_lease`.
const LEASE: Duration = Duration::from_millis(1_700);
/// Time limit from a commit to the last relay without faults: a request of the follower and one of the relay, with
/// batching at both.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(450);
/// Time limit for every relay to have a lease again after the loss of the leader or a follower.
const RECOVERY_LIMIT: Duration = Duration::from_secs(6);

type Node = ControlNode<SimRuntime, SimBackends>;

struct Replica {
    process: Rc<Process>,
    node: Rc<RefCell<Option<Node>>>,
}

struct Relay {
    process: Rc<Process>,
    view: Rc<RefCell<View>>,
    /// Number of responses from followers.
    follower_responses: Rc<Cell<u64>>,
}

struct Deployment {
    world: Rc<World>,
    pool: LocalPool,
    replicas: BTreeMap<u8, Replica>,
    relays: Vec<Relay>,
}

fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_000).into()
}

fn engine(number: u8) -> InstanceReport {
    InstanceReport {
        id: InstanceId::without_start_time(format!("engine-{number}")),
        service: "pages".to_string(),
        address: ([10, 0, 5, number], 8_000).into(),
        zone: "north".to_string(),
        slots: 4,
        leaving: false,
        models: Vec::new(),
        sequence: 1,
    }
}

fn document(version: u64) -> RoutingDocument {
    let pages = Service {
        name: "pages".to_string(),
        health_path: "/health".to_string(),
        max_connections: 10,
        hosting: None,
        scaling: None,
    };
    RoutingDocument {
        version,
        routes: Vec::new(),
        services: vec![pages],
        limits: RequestLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
        tenants: None,
        source: Vec::new(),
    }
}

impl Deployment {
    fn start(seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let (world, pool) = World::new(seed);
        world.network.set_delays(9, Duration::from_millis(1), Duration::from_millis(3));
        let mut deployment = Self { world, pool, replicas: BTreeMap::new(), relays: Vec::new() };
        (1..=REPLICAS).for_each(|index| deployment.start_replica(index, true));
        deployment.await_leader();
        for index in 1..=REPLICAS {
            let replica =
                deployment.replicas[&index].node.borrow().as_ref().expect("the replica is running").replica().id();
            let name = format!("replica-{index}");
            // Two replicas are in the zone of every third relay.
            let zone = if index > 3 { "south" } else { "north" }.to_string();
            let record = StoreRecord { name, replica, address: address(index), zone };
            deployment.commit(GatewayCommand::RegisterStore(record));
        }
        deployment.commit(GatewayCommand::PutRouting(document(1)));
        deployment.commit(GatewayCommand::ReportInstances((0..ENGINES).map(engine).collect()));
        (0..RELAYS).for_each(|number| deployment.start_relay(number));
        deployment.run_for(Duration::from_secs(3));
        deployment
    }

    fn start_replica(&mut self, index: u8, founding: bool) {
        let process = self.world.start_process(&format!("replica-{index}"), index.into(), 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let founders: Vec<SocketAddr> = (1..=REPLICAS).map(address).collect();
        let options = ReplicaOptions {
            address: address(index),
            peers: founders.clone(),
            founders: if founding { founders } else { Vec::new() },
            secret: SECRET.to_string(),
            config: ReplicationConfig { target_voters: 5, ..ReplicationConfig::default() },
        };
        let unused_address: SocketAddr = ([10, 0, 9, 9], 1).into();
        let backends = SimBackends { platform: runtime.clone(), scorer: unused_address, machine_list: unused_address };
        let instance_silence_timeout = Duration::from_secs(600);
        let config = ControlConfig { leader_relays: 0, instance_silence_timeout, ..ControlConfig::default() };
        assert_eq!(config.follow_lease, LEASE);
        let node = Rc::new(RefCell::new(None));
        let started = node.clone();
        self.world.spawn(&process, async move {
            let listener = runtime.listen(options.address).await.expect("the address is free");
            let node = ControlNode::start(runtime.clone(), backends, config, options)
                .await
                .expect("the storage can be opened");
            *started.borrow_mut() = Some(node.clone());
            saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), Rc::new(node)).await;
        });
        self.replicas.insert(index, Replica { process, node });
    }

    fn start_relay(&mut self, number: u8) {
        let process = self.world.start_process(&format!("relay-{number}"), 0, 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let view = Rc::new(RefCell::new(View::default()));
        let follower_responses = Rc::new(Cell::new(0));
        self.world.spawn(&process, follow(runtime, number, view.clone(), follower_responses.clone()));
        self.relays.push(Relay { process, view, follower_responses });
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        let timer = self.world.start_process("timer", 0, 0);
        self.world.spawn(&timer, Sleep::new(clock.clone(), until));
        self.world.run(&mut self.pool, until + Duration::from_secs(1), move || clock.now() >= until);
    }

    fn leader(&self) -> Option<(u8, Node)> {
        let running = self.replicas.iter().filter(|(_, replica)| !replica.process.is_frozen());
        let nodes = running.filter_map(|(index, replica)| Some((*index, replica.node.borrow().clone()?)));
        nodes.into_iter().find(|(_, node)| node.replica().leading_term().is_some())
    }

    fn await_leader(&mut self) {
        let until = self.world.clock.now() + Duration::from_secs(10);
        while self.leader().is_none() {
            assert!(self.world.clock.now() < until, "no leader was elected in time");
            self.run_for(Duration::from_millis(20));
        }
    }

    /// Commits a command; returns the time of the commit.
    fn commit(&mut self, command: GatewayCommand) -> Duration {
        self.await_leader();
        let (_, node) = self.leader().expect("there is a leader");
        let done = Rc::new(Cell::new(None));
        let result = done.clone();
        let clock = self.world.clock.clone();
        let process = self.world.start_process("operator", 0, 0);
        self.world.spawn(&process, async move {
            if node.commit_gateway(command).await.is_ok() {
                result.set(Some(clock.now()));
            }
        });
        for _ in 0..100 {
            self.run_for(Duration::from_millis(10));
            if let Some(at) = done.get() {
                return at;
            }
        }
        panic!("the command was not committed");
    }

    /// Relays that may send requests to an engine now.
    fn senders(&self, engine: &InstanceId) -> Vec<usize> {
        let now = self.world.clock.now();
        let may_send = |relay: &Relay| {
            let view = relay.view.borrow();
            view.is_leased(now) && view.is_ready(engine)
        };
        (0..self.relays.len()).filter(|index| may_send(&self.relays[*index])).collect()
    }

    /// Number of relays with a lease and an older routing document than `version`.
    fn behind(&self, version: u64) -> usize {
        let now = self.world.clock.now();
        let behind = |relay: &&Relay| {
            let view = relay.view.borrow();
            view.is_leased(now) && view.routing_version() < Some(version)
        };
        self.relays.iter().filter(behind).count()
    }

    fn leased(&self) -> usize {
        let now = self.world.clock.now();
        self.relays.iter().filter(|relay| relay.view.borrow().is_leased(now)).count()
    }

    /// Index of a random follower.
    fn random_follower(&self) -> u8 {
        let leader = self.leader().map(|(index, _)| index);
        let others: Vec<u8> = self.replicas.keys().copied().filter(|index| Some(*index) != leader).collect();
        others[self.world.random() as usize % others.len()]
    }
}

async fn follow(runtime: SimRuntime, number: u8, view: Rc<RefCell<View>>, follower_responses: Rc<Cell<u64>>) {
    let replicas: Vec<SocketAddr> = (1..=REPLICAS).map(address).collect();
    let control = ControlClient::new(runtime.clone(), &replicas, SECRET);
    let incarnation = Incarnation(runtime.random());
    let follower = AssignedReplica::default();
    let limit = Duration::from_millis(650);
    loop {
        let requested_at = runtime.monotonic();
        let assigned_address = follower.address(requested_at);
        let follow_request = GatewayRequest::Follow(FollowRequest {
            relay: format!("relay-{number}"),
            zone: if number.is_multiple_of(3) { "south" } else { "north" }.to_string(),
            routing_version: view.borrow().update_base(),
            instance_revision: view.borrow().instance_revision(),
            at_follower: assigned_address.is_some(),
            incarnation,
            unix_ms: runtime.unix_milliseconds(),
            usage: None,
            suspicion_revision: 0,
        });
        let follow_result = match assigned_address {
            Some(address) => control.call_replica(address, follow_request, limit).await,
            None => control.gateway(follow_request, limit, limit).await.ok(),
        };
        match follow_result {
            Some(GatewayReply::Followed(reply)) => {
                follower_responses.set(follower_responses.get() + u64::from(assigned_address.is_some()));
                follower.assign(reply.follower);
                view.borrow_mut().apply_reply(reply, requested_at, 0.0);
            }
            _ => {
                if let Some(address) = assigned_address {
                    follower.skip_until(address, runtime.monotonic() + Duration::from_millis(500));
                }
                runtime.sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

fn for_each_seed(test: impl Fn(u64, Deployment)) {
    SEEDS.for_each(|seed| test(seed, Deployment::start(seed)));
}

#[test]
fn relays_receive_updates_from_followers() {
    for_each_seed(|seed, mut deployment| {
        assert_eq!(deployment.leased(), usize::from(RELAYS), "seed {seed}");
        for relay in &deployment.relays {
            assert!(
                relay.follower_responses.get() > 2,
                "seed {seed}: a relay received too few responses from followers"
            );
        }
        let leaving = engine(7).id;
        assert_eq!(deployment.senders(&leaving).len(), usize::from(RELAYS));
        deployment.commit(GatewayCommand::ReportInstances(vec![InstanceReport { leaving: true, ..engine(7) }]));
        deployment.commit(GatewayCommand::PutRouting(document(2)));
        deployment.run_for(PROPAGATION_LIMIT);
        assert_eq!((deployment.senders(&leaving), deployment.behind(2)), (Vec::new(), 0), "seed {seed}");
    });
}

/// A relay's lease starts when the leader confirmed the state, not when the relay received it.
#[test]
fn no_relay_acts_on_a_state_older_than_the_lease() {
    for_each_seed(|seed, mut deployment| {
        for round in 0..6_u8 {
            let index = deployment.random_follower();
            let follower = deployment.replicas[&index].process.clone();
            // Before the change the follower is frozen, or its inbound traffic is blocked while relays still reach it.
            let frozen = deployment.world.random() % 2 == 0;
            if frozen {
                follower.freeze()
            } else {
                deployment.world.network.block_inbound(index.into())
            }
            let pause = deployment.world.jitter(Duration::from_millis(700));
            deployment.run_for(pause);
            let engine = engine(round);
            let version = u64::from(round) + 2;
            deployment.commit(GatewayCommand::PutRouting(document(version)));
            let committed_at = deployment
                .commit(GatewayCommand::ReportInstances(vec![InstanceReport { leaving: true, ..engine.clone() }]));
            let resume_after = deployment.world.jitter(Duration::from_millis(2_500));
            let mut resumed = false;
            while deployment.world.clock.now() < committed_at + LEASE + Duration::from_secs(2) {
                if !resumed && deployment.world.clock.now() >= committed_at + resume_after {
                    resumed = true;
                    if frozen { follower.thaw() } else { deployment.world.network.heal(index.into()) }
                }
                if deployment.world.clock.now() > committed_at + LEASE {
                    let senders = deployment.senders(&engine.id);
                    assert!(senders.is_empty(), "seed {seed}, round {round}: {senders:?} act on a stale state");
                    assert_eq!(
                        deployment.behind(version),
                        0,
                        "seed {seed}, round {round}: relays with a lease use an old routing document"
                    );
                }
                deployment.run_for(Duration::from_millis(5));
            }
            deployment.run_for(Duration::from_secs(1));
        }
        deployment.run_for(RECOVERY_LIMIT);
        assert_eq!(deployment.leased(), usize::from(RELAYS), "seed {seed}");
    });
}

#[test]
fn relays_recover_from_the_loss_of_a_follower_or_the_leader() {
    for_each_seed(|seed, mut deployment| {
        let index = if seed % 2 == 0 {
            deployment.random_follower()
        } else {
            deployment.leader().expect("there is a leader").0
        };
        deployment.replicas[&index].process.kill();
        deployment.replicas.remove(&index);
        deployment.run_for(RECOVERY_LIMIT);
        assert_eq!(deployment.leased(), usize::from(RELAYS), "seed {seed}");
        let responses_before: Vec<u64> = deployment.relays.iter().map(|relay| relay.follower_responses.get()).collect();
        let leaving = engine(9);
        deployment.commit(GatewayCommand::ReportInstances(vec![InstanceReport { leaving: true, ..leaving.clone() }]));
        deployment.run_for(PROPAGATION_LIMIT);
        assert_eq!(deployment.senders(&leaving.id), Vec::<usize>::new(), "seed {seed}");
        deployment.run_for(Duration::from_secs(2));
        for (relay, before) in deployment.relays.iter().zip(responses_before) {
            assert!(relay.process.is_alive() && relay.follower_responses.get() > before, "seed {seed}");
        }
    });
}
