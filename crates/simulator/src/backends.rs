//! Engines and services on the simulated network, with one call per connection.

use crate::network::{SimReceiver, SimSender};
use crate::platform::SimRuntime;
use bitcode::{Decode, Encode};
use futures::StreamExt;
use futures::channel::mpsc;
use saddlerelay_runtime::backend::{BackendError, Backends, EngineConnection, StreamEvent};
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, Runtime};
use saddlerelay_standins::engine::{Engine, WeightSource};
use saddlerelay_standins::trainer::WeightSink;
use saddlerelay_types::engine::{EngineChunk, EngineDescription, EngineOrder, EngineRequest, EngineStatus};
use saddlerelay_types::identity::{ModelName, TenantId, WeightVersion};
use saddlerelay_types::membership::PlatformMachine;
use saddlerelay_types::request::Generation;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of the connection attempt that checks whether a process has ended.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);

/// A call to an engine.
#[derive(Encode, Decode)]
enum EngineCall {
    Generate(EngineRequest),
    Status,
    Order(EngineOrder),
}

/// An engine's response; a generation request is answered by `Admitted` followed by chunks.
#[derive(Encode, Decode)]
enum EngineResponse {
    Admitted,
    Chunk(EngineChunk),
    Status(EngineStatus),
    Done,
    Rejected(String),
}

/// A call to the scorer or the platform.
#[derive(Encode, Decode)]
enum ServiceCall {
    Score(String),
    Machines,
}

/// A response of the scorer or the platform.
#[derive(Encode, Decode)]
enum ServiceResponse {
    Reward(i64),
    Machines(Vec<PlatformMachine>),
}

/// Serves the calls to an engine until its process ends.
pub async fn serve_engine<W: WeightSource>(platform: SimRuntime, address: SocketAddr, engine: Engine<SimRuntime, W>) {
    let Ok(mut listener) = platform.listen(address).await else {
        return;
    };
    while let Ok((sender, receiver)) = listener.accept().await {
        platform.spawn(serve_engine_call(engine.clone(), sender, receiver));
    }
}

async fn serve_engine_call<W: WeightSource>(
    engine: Engine<SimRuntime, W>,
    mut sender: SimSender,
    mut receiver: SimReceiver,
) {
    let Some(call) = receive::<EngineCall>(&mut receiver).await else {
        return;
    };
    let response = match call {
        EngineCall::Status => EngineResponse::Status(engine.status()),
        EngineCall::Order(order) => match engine.order(order) {
            Ok(()) => EngineResponse::Done,
            Err(refusal) => EngineResponse::Rejected(refusal.0),
        },
        EngineCall::Generate(request) => match engine.admit(request) {
            Ok(chunks) => {
                stream_chunks(&mut sender, chunks).await;
                return;
            }
            Err(refusal) => EngineResponse::Rejected(refusal.0),
        },
    };
    // The caller may have disconnected.
    let _ = sender.send(bitcode::encode(&response)).await;
}

async fn stream_chunks(sender: &mut SimSender, mut chunks: mpsc::UnboundedReceiver<EngineChunk>) {
    if sender.send(bitcode::encode(&EngineResponse::Admitted)).await.is_err() {
        return;
    }
    while let Some(chunk) = chunks.next().await {
        if sender.send(bitcode::encode(&EngineResponse::Chunk(chunk))).await.is_err() {
            return;
        }
    }
}

async fn receive<T: bitcode::DecodeOwned>(receiver: &mut SimReceiver) -> Option<T> {
    let frame = receiver.receive().await.ok().flatten()?;
    bitcode::decode(&frame).ok()
}

/// State of the scorer and the platform.
#[derive(Clone, Default)]
pub struct Services {
    /// The platform's machine list.
    pub machines: Rc<RefCell<Vec<PlatformMachine>>>,
    /// Time that the scorer takes for a score.
    pub score_time: Rc<Cell<Duration>>,
}

/// Serves the calls to the scorer or the platform until its process ends.
pub async fn serve_services(platform: SimRuntime, address: SocketAddr, services: Services) {
    let Ok(mut listener) = platform.listen(address).await else {
        return;
    };
    while let Ok((mut sender, mut receiver)) = listener.accept().await {
        let (services, runtime) = (services.clone(), platform.clone());
        platform.spawn(async move {
            let Some(call) = receive::<ServiceCall>(&mut receiver).await else {
                return;
            };
            let response = match call {
                ServiceCall::Score(text) => {
                    runtime.sleep(services.score_time.get()).await;
                    ServiceResponse::Reward(saddlerelay_standins::http::services::reward_of(&text))
                }
                ServiceCall::Machines => ServiceResponse::Machines(services.machines.borrow().clone()),
            };
            let _ = sender.send(bitcode::encode(&response)).await;
        });
    }
}

/// Access of one process to the engines, the scorer and the platform.
#[derive(Clone)]
pub struct SimBackends {
    /// Runtime of the process.
    pub platform: SimRuntime,
    /// Address of the scorer.
    pub scorer: SocketAddr,
    /// Address of the platform's machine list.
    pub machine_list: SocketAddr,
}

/// A connection to an engine.
pub struct SimEngineConnection {
    platform: SimRuntime,
    sender: SimSender,
    receiver: SimReceiver,
}

fn connection_lost() -> BackendError {
    BackendError::Unknown("the connection was lost".to_string())
}

impl SimBackends {
    async fn call<Q: Encode, A: bitcode::DecodeOwned>(&self, address: SocketAddr, call: &Q) -> Result<A, BackendError> {
        let connected = self.platform.connect(address).await;
        let (mut sender, mut receiver) = connected.map_err(|error| BackendError::NotSent(error.to_string()))?;
        sender.send(bitcode::encode(call)).await.map_err(|_| connection_lost())?;
        receive(&mut receiver).await.ok_or_else(connection_lost)
    }
}

impl Backends for SimBackends {
    type Connection = SimEngineConnection;

    async fn connect(&self, engine: &EngineDescription) -> Result<SimEngineConnection, BackendError> {
        let connected = self.platform.connect(engine.address).await;
        let (sender, receiver) = connected.map_err(|error| BackendError::NotSent(error.to_string()))?;
        Ok(SimEngineConnection { platform: self.platform.clone(), sender, receiver })
    }

    async fn has_terminated(&self, engine: &EngineDescription) -> bool {
        // A connection attempt across a network partition never completes.
        let connected = timeout(&self.platform, LIVENESS_TIMEOUT, self.platform.connect(engine.address)).await;
        matches!(connected, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    async fn status(&self, engine: &EngineDescription) -> Result<EngineStatus, BackendError> {
        match self.call(engine.address, &EngineCall::Status).await? {
            EngineResponse::Status(status) => Ok(status),
            _ => Err(connection_lost()),
        }
    }

    async fn order(&self, engine: &EngineDescription, order: EngineOrder) -> Result<(), BackendError> {
        match self.call(engine.address, &EngineCall::Order(order)).await? {
            EngineResponse::Done => Ok(()),
            EngineResponse::Rejected(reason) => Err(BackendError::Refused(reason)),
            _ => Err(connection_lost()),
        }
    }

    async fn score(&self, _prompt: &str, generation: &Generation) -> Result<i64, BackendError> {
        match self.call(self.scorer, &ServiceCall::Score(generation.text.clone())).await? {
            ServiceResponse::Reward(reward) => Ok(reward),
            ServiceResponse::Machines(_) => Err(connection_lost()),
        }
    }

    async fn machines(&self) -> Result<Vec<PlatformMachine>, BackendError> {
        match self.call(self.machine_list, &ServiceCall::Machines).await? {
            ServiceResponse::Machines(machines) => Ok(machines),
            ServiceResponse::Reward(_) => Err(connection_lost()),
        }
    }
}

impl EngineConnection for SimEngineConnection {
    async fn generate(mut self, request: EngineRequest) -> Result<mpsc::UnboundedReceiver<StreamEvent>, BackendError> {
        self.sender.send(bitcode::encode(&EngineCall::Generate(request))).await.map_err(|_| connection_lost())?;
        match receive(&mut self.receiver).await {
            Some(EngineResponse::Admitted) => {}
            Some(EngineResponse::Rejected(reason)) => return Err(BackendError::Refused(reason)),
            _ => return Err(connection_lost()),
        }
        let (events, stream) = mpsc::unbounded();
        let platform = self.platform.clone();
        platform.spawn(async move {
            while let Some(EngineResponse::Chunk(chunk)) = receive(&mut self.receiver).await {
                if events.unbounded_send(Ok(chunk)).is_err() {
                    return;
                }
            }
        });
        Ok(stream)
    }
}

/// The weight store, which serves fetches sequentially.
#[derive(Clone)]
pub struct SimWeights {
    platform: SimRuntime,
    fetch_time: Duration,
    busy_until: Rc<Cell<Duration>>,
}

impl SimWeights {
    /// Creates a store in which each fetch takes `fetch_time`.
    pub fn new(platform: SimRuntime, fetch_time: Duration) -> Self {
        Self { platform, fetch_time, busy_until: Rc::default() }
    }
}

impl WeightSource for SimWeights {
    async fn fetch(&self, _model: ModelName, _version: WeightVersion) -> bool {
        let now = self.platform.monotonic();
        let done = self.busy_until.get().max(now) + self.fetch_time;
        self.busy_until.set(done);
        self.platform.sleep(done - now).await;
        true
    }
}

impl WeightSink for SimWeights {
    async fn store(&self, _tenant: TenantId, _version: WeightVersion) -> bool {
        self.platform.sleep(self.fetch_time).await;
        true
    }
}
