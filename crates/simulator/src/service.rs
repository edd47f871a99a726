//! Interfaces for callers, trainers and operators on the simulated network.

use crate::backends::SimBackends;
use crate::network::{SimReceiver, SimSender};
use crate::platform::SimRuntime;
use bitcode::{Decode, Encode};
use futures::StreamExt;
use futures::future::{self, Either};
use saddlerelay_control_client::ControlClient;
use saddlerelay_relay::Relay;
use saddlerelay_relay::commands::trainers::TrainerError;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, Runtime};
use saddlerelay_standins::access::{Access, CallerResponse, TrainerCallError};
use saddlerelay_types::configuration::{ConfigurationChange, ConfigurationOutcome};
use saddlerelay_types::identity::{Incarnation, ModelName, Position, TenantId, WeightVersion};
use saddlerelay_types::protocol::{Command, CommandOutcome, TrainerRefusal};
use saddlerelay_types::request::{CallerRequest, Generation, ResponsePart};
use saddlerelay_types::rollout::{DeliveryBatch, StepRequest, TrainerState};
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a configuration change, as in the administration API.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which shutdown checks for calls in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A call to a relay.
#[derive(Encode, Decode)]
enum RelayCall {
    Generate(CallerRequest),
    Models,
    Open(TenantId, Incarnation),
    Step(TenantId, Incarnation, StepRequest),
    Fetch(TenantId, Incarnation, Position, u32),
    Publish(TenantId, Incarnation, WeightVersion, Position),
}

/// A relay's response; a caller's request is answered by a sequence of parts.
#[derive(Encode, Decode)]
enum RelayResponse {
    Part(ResponsePart),
    Models(Option<Vec<ModelName>>),
    Trainer(Result<TrainerState, Option<TrainerRefusal>>),
    Delivery(Result<DeliveryBatch, Option<TrainerRefusal>>),
}

fn trainer_error(error: TrainerError) -> Option<TrainerRefusal> {
    match error {
        TrainerError::Refused(refusal) => Some(refusal),
        TrainerError::Unavailable => None,
    }
}

/// Shuts a relay's server down gracefully, as the HTTP server does. Clones share their state.
#[derive(Clone, Default)]
pub struct Shutdown {
    closing: Rc<Signal>,
    in_flight: Rc<Cell<usize>>,
}

impl Shutdown {
    /// Stops accepting connections and waits until no call is in flight.
    pub async fn close(&self, platform: &SimRuntime) {
        self.closing.notify();
        platform.sleep(DRAIN_POLL_INTERVAL).await;
        while self.in_flight.get() > 0 {
            platform.sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Serves a relay until `shutdown` is closed, and then the connections in the backlog.
pub async fn serve_relay(
    platform: SimRuntime,
    address: SocketAddr,
    relay: Relay<SimRuntime, SimBackends>,
    shutdown: Shutdown,
) {
    let Ok(mut listener) = platform.listen(address).await else {
        return;
    };
    let start = |(sender, receiver)| {
        let (relay, in_flight) = (relay.clone(), shutdown.in_flight.clone());
        in_flight.set(in_flight.get() + 1);
        platform.spawn(async move {
            serve_relay_call(relay, sender, receiver).await;
            in_flight.set(in_flight.get() - 1);
        });
    };
    loop {
        match future::select(pin!(listener.accept()), pin!(shutdown.closing.changed(0))).await {
            Either::Left((Ok(accepted), _)) => start(accepted),
            Either::Left((Err(_), _)) => return,
            Either::Right(_) => break,
        }
    }
    while let Some(accepted) = listener.backlog() {
        start(accepted);
    }
}

async fn serve_relay_call(relay: Relay<SimRuntime, SimBackends>, mut sender: SimSender, mut receiver: SimReceiver) {
    let Ok(Some(frame)) = receiver.receive().await else {
        return;
    };
    let Ok(call) = bitcode::decode::<RelayCall>(&frame) else {
        return;
    };
    let response = match call {
        RelayCall::Generate(request) => {
            let mut parts = relay.serve(request);
            while let Some(part) = parts.next().await {
                if sender.send(bitcode::encode(&RelayResponse::Part(part))).await.is_err() {
                    return;
                }
            }
            return;
        }
        RelayCall::Models => RelayResponse::Models(relay.is_ready().then(|| relay.models())),
        RelayCall::Open(tenant, incarnation) => {
            RelayResponse::Trainer(relay.open_trainer(tenant, incarnation).await.map_err(trainer_error))
        }
        RelayCall::Step(tenant, incarnation, request) => {
            RelayResponse::Trainer(relay.open_step(tenant, incarnation, request).await.map_err(trainer_error))
        }
        RelayCall::Fetch(tenant, incarnation, cursor, limit) => {
            RelayResponse::Delivery(relay.fetch(tenant, incarnation, cursor, limit).await.map_err(trainer_error))
        }
        RelayCall::Publish(tenant, incarnation, version, cursor) => {
            RelayResponse::Trainer(relay.publish(tenant, incarnation, version, cursor).await.map_err(trainer_error))
        }
    };
    // The caller may have disconnected.
    let _ = sender.send(bitcode::encode(&response)).await;
}

/// Serves operators' configuration changes on a control replica until its process ends.
pub async fn serve_operators(platform: SimRuntime, address: SocketAddr, client: ControlClient<SimRuntime>) {
    let Ok(mut listener) = platform.listen(address).await else {
        return;
    };
    while let Ok((mut sender, mut receiver)) = listener.accept().await {
        let client = client.clone();
        platform.spawn(async move {
            let Ok(Some(frame)) = receiver.receive().await else {
                return;
            };
            let Ok(change) = bitcode::decode::<ConfigurationChange>(&frame) else {
                return;
            };
            let outcome = client.execute(Command::Configuration(change), CHANGE_TIMEOUT).await;
            let response = match outcome {
                Ok(CommandOutcome::Configuration(outcome)) => Some(outcome),
                _ => None,
            };
            let _ = sender.send(bitcode::encode(&response)).await;
        });
    }
}

/// Access to the deployment from a client process.
#[derive(Clone)]
pub struct SimAccess {
    /// Runtime of the client process.
    pub platform: SimRuntime,
    /// Addresses of the relays.
    pub relays: Rc<Vec<SocketAddr>>,
    /// Addresses at which control replicas serve operators.
    pub control: Rc<Vec<SocketAddr>>,
    /// Counter that selects the control replica of the next change, round robin.
    pub next_control: Rc<Cell<usize>>,
}

impl SimAccess {
    async fn call(&self, relay: usize, call: &RelayCall) -> Option<RelayResponse> {
        let (mut sender, mut receiver) = self.platform.connect(self.relays[relay]).await.ok()?;
        sender.send(bitcode::encode(call)).await.ok()?;
        let frame = receiver.receive().await.ok().flatten()?;
        bitcode::decode(&frame).ok()
    }

    async fn trainer_call(&self, relay: usize, call: &RelayCall) -> Result<TrainerState, TrainerCallError> {
        match self.call(relay, call).await {
            Some(RelayResponse::Trainer(Ok(state))) => Ok(state),
            Some(RelayResponse::Trainer(Err(Some(refusal)))) => Err(TrainerCallError::Refused(refusal)),
            _ => Err(TrainerCallError::Retry),
        }
    }
}

impl Access for SimAccess {
    fn relays(&self) -> usize {
        self.relays.len()
    }

    async fn send_request(&self, relay: usize, request: &CallerRequest) -> CallerResponse {
        let started_at = self.platform.monotonic();
        let Ok((mut sender, mut receiver)) = self.platform.connect(self.relays[relay]).await else {
            return CallerResponse::NotSent;
        };
        if sender.send(bitcode::encode(&RelayCall::Generate(request.clone()))).await.is_err() {
            return CallerResponse::Lost;
        }
        let mut generation = Generation::empty();
        let mut first_token_after = None;
        while let Ok(Some(frame)) = receiver.receive().await {
            match bitcode::decode(&frame) {
                Ok(RelayResponse::Part(ResponsePart::Tokens { tokens, text, version })) => {
                    first_token_after.get_or_insert(self.platform.monotonic() - started_at);
                    generation.extend(&tokens, &text, version);
                }
                Ok(RelayResponse::Part(ResponsePart::End(finish))) => {
                    generation.finish = finish;
                    return CallerResponse::Complete { generation, first_token_after };
                }
                Ok(RelayResponse::Part(ResponsePart::Failed(failure))) => return CallerResponse::Failed(failure),
                _ => return CallerResponse::Lost,
            }
        }
        CallerResponse::Lost
    }

    async fn models(&self, relay: usize) -> Option<Vec<ModelName>> {
        match self.call(relay, &RelayCall::Models).await {
            Some(RelayResponse::Models(models)) => models,
            _ => None,
        }
    }

    async fn open_trainer(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
    ) -> Result<TrainerState, TrainerCallError> {
        self.trainer_call(relay, &RelayCall::Open(tenant.clone(), incarnation)).await
    }

    async fn open_step(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        request: &StepRequest,
    ) -> Result<TrainerState, TrainerCallError> {
        self.trainer_call(relay, &RelayCall::Step(tenant.clone(), incarnation, request.clone())).await
    }

    async fn fetch(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        cursor: Position,
        limit: u32,
    ) -> Result<DeliveryBatch, TrainerCallError> {
        match self.call(relay, &RelayCall::Fetch(tenant.clone(), incarnation, cursor, limit)).await {
            Some(RelayResponse::Delivery(Ok(batch))) => Ok(batch),
            Some(RelayResponse::Delivery(Err(Some(refusal)))) => Err(TrainerCallError::Refused(refusal)),
            _ => Err(TrainerCallError::Retry),
        }
    }

    async fn publish(
        &self,
        relay: usize,
        tenant: &TenantId,
        incarnation: Incarnation,
        version: WeightVersion,
        cursor: Position,
    ) -> Result<TrainerState, TrainerCallError> {
        self.trainer_call(relay, &RelayCall::Publish(tenant.clone(), incarnation, version, cursor)).await
    }

    async fn change_configuration(&self, change: &ConfigurationChange) -> Option<ConfigurationOutcome> {
        let index = self.next_control.replace(self.next_control.get() + 1) % self.control.len();
        let (mut sender, mut receiver) = self.platform.connect(self.control[index]).await.ok()?;
        sender.send(bitcode::encode(change)).await.ok()?;
        let frame = receiver.receive().await.ok().flatten()?;
        bitcode::decode::<Option<ConfigurationOutcome>>(&frame).ok().flatten()
    }
}
