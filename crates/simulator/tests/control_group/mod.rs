//! A control group with more machines than members, and relays that discover it.
#![allow(dead_code)] // Each test file uses a part of this module.

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

pub const SECRET: &str = "a secret of sixteen signs";

/// The machines listed in the settings, which are the founders.
pub const CONFIGURED: std::ops::RangeInclusive<u8> = 1..=3;

/// All machines.
pub const REPLICAS: u8 = 9;

/// Time limit for replacing a member that is down, voter or learner.
pub const REPLACEMENT_LIMIT: Duration = Duration::from_secs(20);

pub type Node = ControlNode<SimRuntime, SimBackends>;

/// A machine that runs a control node.
pub struct Replica {
    pub process: Rc<Process>,
    pub node: Rc<RefCell<Option<Node>>>,
}

impl Replica {
    fn record(&self, index: u8) -> StoreRecord {
        let replica = self.node.borrow().as_ref().expect("the replica is running").replica().id();
        StoreRecord { name: format!("replica-{index}"), replica, address: address(index), zone: "north".to_string() }
    }
}

/// Nine machines that run control nodes; the settings list three of them.
pub struct Deployment {
    pub world: Rc<World>,
    pool: LocalPool,
    pub replicas: BTreeMap<u8, Replica>,
    /// Wall clock offset of each machine from its next start, in milliseconds.
    pub clock_errors: BTreeMap<u8, i64>,
}

/// Times of the first and latest successful replies to a relay.
#[derive(Default)]
pub struct ReplyTimes {
    pub first: Cell<Option<Duration>>,
    pub latest: Cell<Option<Duration>>,
}

impl ReplyTimes {
    fn record_reply(&self, at: Duration) {
        self.first.set(self.first.get().or(Some(at)));
        self.latest.set(Some(at));
    }
}

/// Listen address of the machine with index `index`, counted from 1.
pub fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_000).into()
}

/// The addresses in the settings.
pub fn configured_addresses() -> Vec<SocketAddr> {
    CONFIGURED.map(address).collect()
}

impl Deployment {
    /// Starts a group of five voters and a learner among all machines.
    pub fn start(seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let (world, pool) = World::new(seed);
        world.network.set_delays(usize::from(REPLICAS) + 1, Duration::from_millis(1), Duration::from_millis(3));
        let mut deployment = Self { world, pool, replicas: BTreeMap::new(), clock_errors: BTreeMap::new() };
        (1..=REPLICAS).for_each(|index| deployment.start_replica(index, true));
        deployment.run_for(Duration::from_secs(3));
        deployment.register_machines();
        deployment
    }

    /// Registers every machine, as each does when it starts.
    fn register_machines(&mut self) {
        let leader = self.leader().expect("there is a leader");
        let process = self.world.start_process("operator", 0, 0);
        let records: Vec<StoreRecord> = self.replicas.iter().map(|(index, replica)| replica.record(*index)).collect();
        self.world.spawn(&process, async move {
            for record in records {
                leader
                    .commit_gateway(GatewayCommand::RegisterStore(record))
                    .await
                    .expect("the registration is committed");
            }
        });
        self.run_for(Duration::from_secs(1));
    }

    pub fn start_replica(&mut self, index: u8, founding: bool) {
        let clock_error = self.clock_errors.get(&index).copied().unwrap_or(0);
        let process = self.world.start_process(&format!("replica-{index}"), index.into(), clock_error);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let options = ReplicaOptions {
            address: address(index),
            peers: configured_addresses(),
            founders: if founding { configured_addresses() } else { Vec::new() },
            secret: SECRET.to_string(),
            config: ReplicationConfig { target_voters: 5, ..ReplicationConfig::default() },
        };
        let unused_address: SocketAddr = ([10, 0, 99, 9], 1).into();
        let backends = SimBackends { platform: runtime.clone(), scorer: unused_address, machine_list: unused_address };
        let node = Rc::new(RefCell::new(None));
        let started = node.clone();
        self.world.spawn(&process, async move {
            let listener = runtime.listen(options.address).await.expect("the address is free");
            let config = ControlConfig::default();
            let node = ControlNode::start(runtime.clone(), backends, config, options)
                .await
                .expect("the storage can be opened");
            *started.borrow_mut() = Some(node.clone());
            saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), Rc::new(node)).await;
        });
        self.replicas.insert(index, Replica { process, node });
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        let timer = self.world.start_process("timer", 0, 0);
        self.world.spawn(&timer, Sleep::new(clock.clone(), until));
        self.world.run(&mut self.pool, until + Duration::from_secs(1), move || clock.now() >= until);
    }

    pub fn leader(&self) -> Option<Node> {
        let nodes = self.replicas.values().filter_map(|replica| replica.node.borrow().clone());
        nodes.into_iter().find(|node| node.replica().leading_term().is_some())
    }

    /// Index of the machine that leads.
    pub fn leader_index(&self) -> Option<u8> {
        let leads = |replica: &Replica| {
            replica.node.borrow().as_ref().is_some_and(|node| node.replica().leading_term().is_some())
        };
        self.replicas.iter().find(|(_, replica)| leads(replica)).map(|(index, _)| *index)
    }

    pub fn members(&self) -> Vec<SocketAddr> {
        self.leader().map(|leader| leader.replica().member_addresses()).unwrap_or_default()
    }

    /// Starts a relay that is configured with the addresses in the settings.
    pub fn start_relay(&mut self) -> Rc<ReplyTimes> {
        let process = self.world.start_process("relay", 0, 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let reply_times = Rc::new(ReplyTimes::default());
        self.world.spawn(&process, follow(runtime, reply_times.clone()));
        reply_times
    }
}

/// Sends follow requests as a relay does, and records the time of each reply.
async fn follow(runtime: SimRuntime, reply_times: Rc<ReplyTimes>) {
    let control = ControlClient::new(runtime.clone(), &configured_addresses(), SECRET);
    let timeout = Duration::from_millis(650);
    loop {
        let follow_request = GatewayRequest::Follow(FollowRequest {
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
        if let Ok(GatewayReply::Followed(reply)) = control.gateway(follow_request, timeout, timeout).await {
            reply_times.record_reply(runtime.monotonic());
            control.set_replicas(reply.replicas.into_iter().chain(configured_addresses()));
        } else {
            runtime.sleep(Duration::from_millis(20)).await;
        }
    }
}
