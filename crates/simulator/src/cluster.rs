//! Starts and restarts the processes of a simulated deployment.

use crate::backends::{Services, SimBackends, SimWeights, serve_engine, serve_services};
use crate::platform::SimRuntime;
use crate::service::{Shutdown, SimAccess, serve_operators, serve_relay};
use crate::world::{Process, World};
use saddlerelay_checker::record::Record;
use saddlerelay_control::config::ControlConfig;
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_policies::PolicyName;
use saddlerelay_relay::config::RelayConfig;
use saddlerelay_relay::{Relay, RelayOptions};
use saddlerelay_replication::ReplicaOptions;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::storage::StorageError;
use saddlerelay_runtime::Runtime;
use saddlerelay_scenarios::deployment::{Deployment, TenantLoad};
use saddlerelay_standins::callers::InFlight;
use saddlerelay_standins::engine::{Engine, EngineOptions};
use saddlerelay_standins::operators::Operator;
use saddlerelay_standins::recorder::Recorder;
use saddlerelay_standins::trainer::{StopFlag, TrainerEnd, TrainerOptions, run_trainer};
use saddlerelay_types::engine::EngineDescription;
use saddlerelay_types::identity::{EngineId, Zone};
use saddlerelay_types::membership::PlatformMachine;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "simulated-secret";
const SCORE_TIME: Duration = Duration::from_millis(15);
const PREFILL_TIME: Duration = Duration::from_millis(40);
const SWAP_PAUSE: Duration = Duration::from_millis(120);
const REPORT_LAG: Duration = Duration::from_millis(200);
const CACHED_PREFIXES: usize = 8;
const QUEUE_LIMIT: usize = 64;
/// Upper bound of the wall clock error of a control replica, ahead or behind, in milliseconds.
const CLOCK_ERROR: u64 = 400;

/// Delay before a process that failed to start is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

const CONTROL_PORT: u16 = 1_000;
const CONTROL_HTTP_PORT: u16 = 2_000;
const RELAY_PORT: u16 = 3_000;
const ENGINE_PORT: u16 = 4_000;
const SCORER_PORT: u16 = 5_000;
const PLATFORM_PORT: u16 = 5_001;

fn address(base: u16, index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, base + index as u16))
}

/// The component of a process that faults are injected into.
#[derive(Clone)]
pub enum Component {
    /// A control replica; `None` until it has recovered its state from disk.
    Control(Rc<RefCell<Option<ControlNode<SimRuntime, SimBackends>>>>),
    /// A relay; `None` until it has started.
    Relay(Rc<RefCell<Option<Relay<SimRuntime, SimBackends>>>>, Shutdown),
    /// An engine.
    Engine(Engine<SimRuntime, SimWeights>),
    /// A process without such a component; only the process itself can be killed or frozen.
    Other,
}

/// A process of the deployment and its component.
#[derive(Clone)]
pub struct DeployedProcess {
    /// The process.
    pub process: Rc<Process>,
    /// The component that runs in it.
    pub component: Component,
}

/// A simulated deployment.
pub struct Cluster {
    /// The simulated world that the processes run in.
    pub world: Rc<World>,
    /// Description of the deployment.
    pub deployment: Deployment,
    /// Scheduling policy of all relays.
    pub policy: PolicyName,
    /// Records of all simulated clients and engines, in the order in which they were made.
    pub records: Rc<RefCell<Vec<Record>>>,
    /// Processes by name.
    pub processes: RefCell<BTreeMap<String, DeployedProcess>>,
    /// The scorer's and the platform's state.
    pub services: Services,
    /// The engines.
    pub engines: Vec<EngineDescription>,
    /// Signals trainers and callers to stop.
    pub stop: StopFlag,
    /// Number of trainers that have finished.
    pub trainers_ended: Rc<Cell<usize>>,
    /// Number of requests in flight.
    pub in_flight: InFlight,
    /// Virtual time at which two control replicas were first able to serve reads simultaneously.
    pub two_leaders_at: Cell<Option<Duration>>,
    weights: SimWeights,
    client: Rc<Process>,
}

impl Cluster {
    /// Creates a deployment without starting its processes.
    pub fn new(world: Rc<World>, deployment: Deployment, policy: PolicyName) -> Rc<Self> {
        let zones = deployment.zones.len();
        world.network.set_delays(zones, deployment.zone_delay, deployment.client_delay);
        let client = world.start_process("client", zones, 0);
        let platform = SimRuntime { world: world.clone(), process: client.clone() };
        let weights = SimWeights::new(platform, deployment.fetch_time);
        Rc::new(Self {
            engines: describe_engines(&deployment),
            world,
            policy,
            records: Rc::default(),
            processes: RefCell::default(),
            services: Services::default(),
            stop: Rc::default(),
            trainers_ended: Rc::default(),
            in_flight: Rc::default(),
            two_leaders_at: Cell::new(None),
            weights,
            client,
            deployment,
        })
    }

    /// A recorder that appends to `records`.
    pub fn recorder(&self) -> Recorder {
        let records = self.records.clone();
        Recorder::new(move |record| records.borrow_mut().push(record))
    }

    /// The runtime of the process that clients run in.
    pub fn client_platform(&self) -> SimRuntime {
        SimRuntime { world: self.world.clone(), process: self.client.clone() }
    }

    fn platform(&self, process: &Rc<Process>) -> SimRuntime {
        SimRuntime { world: self.world.clone(), process: process.clone() }
    }

    /// Client access to the relays and the control replicas from `platform`.
    pub fn access(&self, platform: SimRuntime) -> SimAccess {
        SimAccess {
            platform,
            relays: Rc::new((0..self.deployment.relays as usize).map(|index| address(RELAY_PORT, index)).collect()),
            control: Rc::new(
                (0..self.deployment.control as usize).map(|index| address(CONTROL_HTTP_PORT, index)).collect(),
            ),
            next_control: Rc::default(),
        }
    }

    /// Creates a simulated operator with this name.
    pub fn operator(&self, name: &str) -> Operator<SimRuntime, SimAccess> {
        let platform = self.client_platform();
        Operator { access: self.access(platform.clone()), platform, recorder: self.recorder(), name: name.to_string() }
    }

    fn zone(&self, index: usize) -> usize {
        index % self.deployment.zones.len()
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        (0..self.deployment.control as usize).map(|index| address(CONTROL_PORT, index)).collect()
    }

    fn backends(&self, platform: &SimRuntime) -> SimBackends {
        SimBackends {
            platform: platform.clone(),
            scorer: address(SCORER_PORT, 0),
            machine_list: address(PLATFORM_PORT, 0),
        }
    }

    fn insert(&self, name: String, process: Rc<Process>, component: Component) {
        self.processes.borrow_mut().insert(name, DeployedProcess { process, component });
    }

    /// Starts a control replica.
    pub fn start_control(&self, index: usize) {
        let name = format!("control-{index}");
        let clock_error = (self.world.random() % (2 * CLOCK_ERROR)) as i64 - CLOCK_ERROR as i64;
        let process = self.world.start_process(&name, self.zone(index), clock_error);
        let platform = self.platform(&process);
        let node = Rc::new(RefCell::new(None));
        let options = ReplicaOptions {
            address: address(CONTROL_PORT, index),
            peers: self.control_addresses(),
            founders: Vec::new(),
            secret: SECRET.to_string(),
            config: ReplicationConfig { snapshot_entries: 400, trailing_entries: 50, ..ReplicationConfig::default() },
        };
        let task = run_control(platform.clone(), self.backends(&platform), options, index, node.clone());
        self.world.spawn(&process, task);
        self.insert(name, process, Component::Control(node));
    }

    /// Starts a relay.
    pub fn start_relay(&self, index: usize) {
        let name = format!("relay-{index}");
        let process = self.world.start_process(&name, self.zone(index), 0);
        let platform = self.platform(&process);
        let relay = Rc::new(RefCell::new(None));
        let options = RelayOptions {
            name: name.clone(),
            zone: Zone::new(&self.deployment.zones[self.zone(index)]),
            address: address(RELAY_PORT, index),
            control: self.control_addresses(),
            secret: SECRET.to_string(),
            policy: self.policy,
            config: RelayConfig::default(),
        };
        let shutdown = Shutdown::default();
        let task = run_relay(platform.clone(), self.backends(&platform), options, relay.clone(), shutdown.clone());
        self.world.spawn(&process, task);
        self.insert(name, process, Component::Relay(relay, shutdown));
    }

    /// Starts an engine.
    pub fn start_engine(&self, index: usize) {
        let description = self.engines[index].clone();
        let group = self.deployment.engines.iter().find(|group| group.model == description.model);
        let name = format!("engine-{index}");
        let process = self.world.start_process(&name, self.zone(index), 0);
        let platform = self.platform(&process);
        let options = EngineOptions {
            token_time: group.map_or(Duration::ZERO, |group| group.token_time),
            prefill_time: PREFILL_TIME,
            cached_prefixes: CACHED_PREFIXES,
            swap_pause: SWAP_PAUSE,
            report_lag: REPORT_LAG,
            queue_limit: QUEUE_LIMIT,
            description,
        };
        let engine_address = options.description.address;
        let engine = Engine::start(platform.clone(), options, self.weights.clone(), self.recorder());
        self.world.spawn(&process, serve_engine(platform, engine_address, engine.clone()));
        self.insert(name, process, Component::Engine(engine));
    }

    /// Starts the scorer.
    pub fn start_scorer(&self) {
        self.services.score_time.set(SCORE_TIME);
        let process = self.world.start_process("scorer", 0, 0);
        let platform = self.platform(&process);
        self.world.spawn(&process, serve_services(platform, address(SCORER_PORT, 0), self.services.clone()));
        self.insert("scorer".to_string(), process, Component::Other);
    }

    /// Starts the platform's machine list service.
    pub fn start_platform(&self) {
        let machine = |engine: &EngineDescription| PlatformMachine { engine: engine.clone(), leaving: false };
        *self.services.machines.borrow_mut() = self.engines.iter().map(machine).collect();
        let process = self.world.start_process("platform", 0, 0);
        let platform = self.platform(&process);
        self.world.spawn(&process, serve_services(platform, address(PLATFORM_PORT, 0), self.services.clone()));
        self.insert("platform".to_string(), process, Component::Other);
    }

    /// Tenants that have a trainer.
    pub fn training_tenants(&self) -> Vec<TenantLoad> {
        self.deployment.tenants.iter().filter(|tenant| tenant.trainer.is_some()).cloned().collect()
    }

    /// Starts the trainer of the tenant at `index` in `training_tenants`.
    pub fn start_trainer(&self, index: usize) {
        let tenants = self.training_tenants();
        let Some((tenant, load)) = tenants.get(index).and_then(|tenant| Some((tenant, tenant.trainer.clone()?))) else {
            return;
        };
        let name = format!("trainer-{index}");
        let process = self.world.start_process(&name, self.deployment.zones.len(), 0);
        let platform = self.platform(&process);
        let options = TrainerOptions {
            tenant: tenant.id.clone(),
            prompts: load.prompts,
            group_size: load.group_size,
            max_tokens: load.max_tokens,
            train_time: load.train_time,
            steps_ahead: load.steps_ahead,
        };
        let trainer = run_trainer(
            platform.clone(),
            self.access(platform),
            self.weights.clone(),
            self.recorder(),
            options,
            self.stop.clone(),
        );
        let ended = self.trainers_ended.clone();
        self.world.spawn(&process, async move {
            if trainer.await == TrainerEnd::Finished {
                ended.set(ended.get() + 1);
            }
        });
        self.insert(name, process, Component::Other);
    }

    /// Starts all processes except trainers and callers.
    pub fn start_all(&self) {
        self.start_scorer();
        self.start_platform();
        (0..self.engines.len()).for_each(|index| self.start_engine(index));
        (0..self.deployment.control as usize).for_each(|index| self.start_control(index));
        (0..self.deployment.relays as usize).for_each(|index| self.start_relay(index));
    }

    /// The deployed process with this name.
    pub fn deployed_process(&self, name: &str) -> Option<DeployedProcess> {
        self.processes.borrow().get(name).cloned()
    }

    /// Index of the control replica that is leader.
    pub fn leader_index(&self) -> Option<usize> {
        (0..self.deployment.control as usize).find(|index| {
            let deployed = self.deployed_process(&format!("control-{index}"));
            match deployed.map(|deployed| deployed.component) {
                Some(Component::Control(node)) => {
                    node.borrow().as_ref().is_some_and(|node| node.replica().leading_term().is_some())
                }
                _ => false,
            }
        })
    }

    /// Records the first time at which two control replicas could both serve reads, one of which would be stale.
    pub fn record_concurrent_leaders(&self) {
        let can_serve_reads = |index: &u32| {
            let deployed = self.deployed_process(&format!("control-{index}"));
            let running = deployed.filter(|deployed| deployed.process.is_alive() && !deployed.process.is_frozen());
            match running.map(|deployed| deployed.component) {
                Some(Component::Control(node)) => {
                    node.borrow().as_ref().is_some_and(|node| node.replica().leading_term().is_some())
                }
                _ => false,
            }
        };
        if (0..self.deployment.control).filter(can_serve_reads).count() > 1 && self.two_leaders_at.get().is_none() {
            self.two_leaders_at.set(Some(self.world.clock.now()));
        }
    }

    /// Number of voters in the leader's view; 0 without a leader.
    pub fn voters(&self) -> usize {
        let leader = self.leader_index().and_then(|index| self.deployed_process(&format!("control-{index}")));
        match leader.map(|deployed| deployed.component) {
            Some(Component::Control(node)) => {
                let view = node.borrow().as_ref().and_then(|node| node.replica().view());
                view.map_or(0, |view| view.replicas.iter().filter(|replica| replica.voter).count())
            }
            _ => 0,
        }
    }

    /// Whether every relay is ready to accept requests.
    pub fn relays_ready(&self) -> bool {
        (0..self.deployment.relays).all(|index| {
            let deployed = self.deployed_process(&format!("relay-{index}"));
            match deployed.map(|deployed| deployed.component) {
                Some(Component::Relay(relay, _)) => relay.borrow().as_ref().is_some_and(Relay::is_ready),
                _ => false,
            }
        })
    }
}

async fn run_control(
    platform: SimRuntime,
    backends: SimBackends,
    options: ReplicaOptions,
    index: usize,
    slot: Rc<RefCell<Option<ControlNode<SimRuntime, SimBackends>>>>,
) {
    let (listen_address, peers, secret) = (options.address, options.peers.clone(), options.secret.clone());
    let Ok(listener) = platform.listen(listen_address).await else {
        return;
    };
    let node = loop {
        let config = ControlConfig::default();
        match ControlNode::start(platform.clone(), backends.clone(), config, options.clone()).await {
            Ok(node) => break node,
            // Simulates a process that exits and is restarted by its supervisor.
            Err(StorageError::Io(_)) => platform.sleep(RESTART_DELAY).await,
            Err(error) => panic!("control-{index}: {error}"),
        }
    };
    let handler = Rc::new(node.clone());
    platform.spawn(saddlerelay_rpc::server::serve(platform.clone(), listener, secret.clone(), handler));
    let client = ControlClient::new(platform.clone(), &peers, &secret);
    platform.spawn(serve_operators(platform.clone(), address(CONTROL_HTTP_PORT, index), client));
    *slot.borrow_mut() = Some(node);
}

async fn run_relay(
    platform: SimRuntime,
    backends: SimBackends,
    options: RelayOptions,
    slot: Rc<RefCell<Option<Relay<SimRuntime, SimBackends>>>>,
    shutdown: Shutdown,
) {
    let listen_address = options.address;
    let relay = loop {
        match Relay::start(platform.clone(), backends.clone(), options.clone()).await {
            Ok(relay) => break relay,
            Err(_) => platform.sleep(RESTART_DELAY).await,
        }
    };
    *slot.borrow_mut() = Some(relay.clone());
    serve_relay(platform, listen_address, relay, shutdown).await;
}

fn describe_engines(deployment: &Deployment) -> Vec<EngineDescription> {
    let mut engines = Vec::new();
    for group in &deployment.engines {
        for _ in 0..group.count {
            let index = engines.len();
            engines.push(EngineDescription {
                id: EngineId(format!("engine-{index}")),
                address: address(ENGINE_PORT, index),
                zone: Zone::new(&deployment.zones[index % deployment.zones.len()]),
                model: group.model.clone(),
                slots: group.slots,
            });
        }
    }
    engines
}
