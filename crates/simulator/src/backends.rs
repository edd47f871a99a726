//! Engines and services on the simulated network: one call on each connection.

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

/// Longest time to find out whether a process has ended.
const ENDED_LIMIT: Duration = Duration::from_millis(100);

/// A call to an engine.
#[derive(Encode, Decode)]
enum EngineCall {
    Generate(EngineRequest),
    Status,
    Order(EngineOrder),
}

/// An engine's answers; a generation is admitted and then followed by chunks.
#[derive(Encode, Decode)]
enum EngineAnswer {
    Admitted,
    Chunk(EngineChunk),
    Status(EngineStatus),
    Done,
    Refused(String),
}

/// A call to the scorer or the platform.
#[derive(Encode, Decode)]
enum ServiceCall {
    Score(String),
    Machines,
}

/// Their answers.
#[derive(Encode, Decode)]
enum ServiceAnswer {
    Reward(i64),
    Machines(Vec<PlatformMachine>),
}

/// Serves an engine until its process ends.
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
    let answer = match call {
        EngineCall::Status => EngineAnswer::Status(engine.status()),
        EngineCall::Order(order) => match engine.order(order) {
            Ok(()) => EngineAnswer::Done,
            Err(refusal) => EngineAnswer::Refused(refusal.0),
        },
        EngineCall::Generate(request) => match engine.admit(request) {
            Ok(chunks) => {
                stream_chunks(&mut sender, chunks).await;
                return;
            }
            Err(refusal) => EngineAnswer::Refused(refusal.0),
        },
    };
    // A caller that is gone misses the answer.
    let _ = sender.send(bitcode::encode(&answer)).await;
}

async fn stream_chunks(sender: &mut SimSender, mut chunks: mpsc::UnboundedReceiver<EngineChunk>) {
    if sender.send(bitcode::encode(&EngineAnswer::Admitted)).await.is_err() {
        return;
    }
    while let Some(chunk) = chunks.next().await {
        if sender.send(bitcode::encode(&EngineAnswer::Chunk(chunk))).await.is_err() {
            return;
        }
    }
}

async fn receive<T: bitcode::DecodeOwned>(receiver: &mut SimReceiver) -> Option<T> {
    let frame = receiver.receive().await.ok().flatten()?;
    bitcode::decode(&frame).ok()
}

/// What the scorer and the platform hold.
#[derive(Clone, Default)]
pub struct Services {
    /// The machines that the platform shows.
    pub machines: Rc<RefCell<Vec<PlatformMachine>>>,
    /// How long a score takes.
    pub score_time: Rc<Cell<Duration>>,
}

/// Serves the scorer or the platform until its process ends.
pub async fn serve_services(platform: SimRuntime, address: SocketAddr, services: Services) {
    let Ok(mut listener) = platform.listen(address).await else {
        return;
    };
    while let Ok((mut sender, mut receiver)) = listener.accept().await {
        let (services, own) = (services.clone(), platform.clone());
        platform.spawn(async move {
            let Some(call) = receive::<ServiceCall>(&mut receiver).await else {
                return;
            };
            let answer = match call {
                ServiceCall::Score(text) => {
                    own.sleep(services.score_time.get()).await;
                    ServiceAnswer::Reward(saddlerelay_standins::http::services::reward_of(&text))
                }
                ServiceCall::Machines => ServiceAnswer::Machines(services.machines.borrow().clone()),
            };
            let _ = sender.send(bitcode::encode(&answer)).await;
        });
    }
}

/// Back ends as a process of the product reaches them.
#[derive(Clone)]
pub struct SimBackends {
    /// The process.
    pub platform: SimRuntime,
    /// The scorer.
    pub scorer: SocketAddr,
    /// The platform's list.
    pub machine_list: SocketAddr,
}

/// A connection to an engine.
pub struct SimEngineConnection {
    platform: SimRuntime,
    sender: SimSender,
    receiver: SimReceiver,
}

fn lost() -> BackendError {
    BackendError::Unknown("the connection was lost".to_string())
}

impl SimBackends {
    async fn call<Q: Encode, A: bitcode::DecodeOwned>(&self, address: SocketAddr, call: &Q) -> Result<A, BackendError> {
        let connected = self.platform.connect(address).await;
        let (mut sender, mut receiver) = connected.map_err(|error| BackendError::NotSent(error.to_string()))?;
        sender.send(bitcode::encode(call)).await.map_err(|_| lost())?;
        receive(&mut receiver).await.ok_or_else(lost)
    }
}

impl Backends for SimBackends {
    type Connection = SimEngineConnection;

    async fn connect(&self, engine: &EngineDescription) -> Result<SimEngineConnection, BackendError> {
        let connected = self.platform.connect(engine.address).await;
        let (sender, receiver) = connected.map_err(|error| BackendError::NotSent(error.to_string()))?;
        Ok(SimEngineConnection { platform: self.platform.clone(), sender, receiver })
    }

    async fn has_ended(&self, engine: &EngineDescription) -> bool {
        // While the way is cut, nothing comes back.
        let connected = timeout(&self.platform, ENDED_LIMIT, self.platform.connect(engine.address)).await;
        matches!(connected, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    async fn status(&self, engine: &EngineDescription) -> Result<EngineStatus, BackendError> {
        match self.call(engine.address, &EngineCall::Status).await? {
            EngineAnswer::Status(status) => Ok(status),
            _ => Err(lost()),
        }
    }

    async fn order(&self, engine: &EngineDescription, order: EngineOrder) -> Result<(), BackendError> {
        match self.call(engine.address, &EngineCall::Order(order)).await? {
            EngineAnswer::Done => Ok(()),
            EngineAnswer::Refused(reason) => Err(BackendError::Refused(reason)),
            _ => Err(lost()),
        }
    }

    async fn score(&self, _prompt: &str, generation: &Generation) -> Result<i64, BackendError> {
        match self.call(self.scorer, &ServiceCall::Score(generation.text.clone())).await? {
            ServiceAnswer::Reward(reward) => Ok(reward),
            ServiceAnswer::Machines(_) => Err(lost()),
        }
    }

    async fn machines(&self) -> Result<Vec<PlatformMachine>, BackendError> {
        match self.call(self.machine_list, &ServiceCall::Machines).await? {
            ServiceAnswer::Machines(machines) => Ok(machines),
            ServiceAnswer::Reward(_) => Err(lost()),
        }
    }
}

impl EngineConnection for SimEngineConnection {
    async fn generate(mut self, request: EngineRequest) -> Result<mpsc::UnboundedReceiver<StreamEvent>, BackendError> {
        self.sender.send(bitcode::encode(&EngineCall::Generate(request))).await.map_err(|_| lost())?;
        match receive(&mut self.receiver).await {
            Some(EngineAnswer::Admitted) => {}
            Some(EngineAnswer::Refused(reason)) => return Err(BackendError::Refused(reason)),
            _ => return Err(lost()),
        }
        let (events, stream) = mpsc::unbounded();
        let platform = self.platform.clone();
        platform.spawn(async move {
            while let Some(EngineAnswer::Chunk(chunk)) = receive(&mut self.receiver).await {
                if events.unbounded_send(Ok(chunk)).is_err() {
                    return;
                }
            }
        });
        Ok(stream)
    }
}

/// The weight store: one fetch after another.
#[derive(Clone)]
pub struct SimWeights {
    platform: SimRuntime,
    fetch_time: Duration,
    busy_until: Rc<Cell<Duration>>,
}

impl SimWeights {
    /// A store whose rate allows one fetch in `fetch_time`.
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
