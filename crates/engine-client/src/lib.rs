//! HTTP client for engines, the scorer and the platform.
//!
//! Each generation uses its own hyper connection: a failed connect means that nothing was sent, and dropping the stream
//! closes the connection, which cancels the generation. Orders have connections of their own too, which are reset if
//! the order is given up, and so have all other calls. They do not use cyper's client: it bounds neither what precedes a
//! response nor how long reads keep the thread.

mod orders;
pub mod wire;

use bytes::Bytes;
use futures::channel::mpsc;
use hyper::{Method, StatusCode};
use saddlerelay_http::body::{parse_json, read_body};
use saddlerelay_http::client::{self, Connection, HttpError};
use saddlerelay_http::sse::{DONE, EventReader};
use saddlerelay_runtime::backend::{BackendError, Backends, EngineConnection, StreamEvent};
use saddlerelay_runtime_compio::listening::has_terminated;
use saddlerelay_types::engine::{EngineChunk, EngineDescription, EngineOrder, EngineRequest, EngineStatus};
use saddlerelay_types::membership::PlatformMachine;
use saddlerelay_types::request::Generation;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use wire::{CompletionChunk, CompletionRequest, ScoreReply, ScoreRequest};

/// Addresses of backends other than engines.
#[derive(Clone, Debug)]
pub struct BackendAddresses {
    /// The scorer; without one, every sample has reward 0.
    pub scorer: Option<SocketAddr>,
    /// The platform's machine list API; without one, the machine list is empty.
    pub platform: Option<SocketAddr>,
}

/// The HTTP client.
#[derive(Clone)]
pub struct HttpBackends {
    addresses: BackendAddresses,
}

impl HttpBackends {
    /// Creates a client.
    pub fn new(addresses: BackendAddresses) -> Self {
        Self { addresses }
    }
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, BackendError> {
    call(address, Method::GET, path, Bytes::new()).await
}

async fn post<T: DeserializeOwned>(address: SocketAddr, path: &str, body: &impl Serialize) -> Result<T, BackendError> {
    let json = serde_json::to_vec(body).map_err(unknown)?;
    call(address, Method::POST, path, json.into()).await
}

/// Makes a call over a connection of its own and decodes the response, whose size is limited by `http`.
async fn call<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<T, BackendError> {
    let response = client::call(address, method, path, &[], body).await.map_err(backend_error)?;
    decode(response.status, &response.body)
}

fn backend_error(error: HttpError) -> BackendError {
    match error {
        HttpError::NotSent(reason) => BackendError::NotSent(reason),
        HttpError::Lost(reason) => BackendError::Unknown(reason),
    }
}

pub(crate) fn unknown(error: impl std::fmt::Display) -> BackendError {
    BackendError::Unknown(error.to_string())
}

pub(crate) fn decode<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, BackendError> {
    if !status.is_success() {
        return Err(BackendError::Refused(format!("{status}: {}", String::from_utf8_lossy(body))));
    }
    parse_json(body).map_err(|error| BackendError::Unknown(format!("{error:?}")))
}

impl Backends for HttpBackends {
    type Connection = HttpEngineConnection;

    async fn connect(&self, engine: &EngineDescription) -> Result<HttpEngineConnection, BackendError> {
        let connection = Connection::open(engine.address).await;
        let connection = connection.map_err(|error| BackendError::NotSent(error.to_string()))?;
        Ok(HttpEngineConnection { connection, model: engine.model.as_str().to_string() })
    }

    async fn has_terminated(&self, engine: &EngineDescription) -> bool {
        has_terminated(engine.address).await
    }

    async fn status(&self, engine: &EngineDescription) -> Result<EngineStatus, BackendError> {
        get(engine.address, wire::STATUS_PATH).await
    }

    async fn order(&self, engine: &EngineDescription, order: EngineOrder) -> Result<(), BackendError> {
        orders::send(engine.address, &order).await
    }

    async fn score(&self, prompt: &str, generation: &Generation) -> Result<i64, BackendError> {
        let Some(scorer) = self.addresses.scorer else {
            return Ok(0);
        };
        let request = ScoreRequest { prompt: prompt.to_string(), text: generation.text.clone() };
        let reply: ScoreReply = post(scorer, wire::SCORE_PATH, &request).await?;
        Ok(reply.reward_milli)
    }

    async fn machines(&self) -> Result<Vec<PlatformMachine>, BackendError> {
        match self.addresses.platform {
            Some(platform) => get(platform, wire::MACHINES_PATH).await,
            None => Ok(Vec::new()),
        }
    }
}

/// A connection to an engine, for one generation.
pub struct HttpEngineConnection {
    connection: Connection,
    model: String,
}

impl EngineConnection for HttpEngineConnection {
    async fn generate(mut self, request: EngineRequest) -> Result<mpsc::UnboundedReceiver<StreamEvent>, BackendError> {
        let attempt_id = request.attempt_id;
        let body = serde_json::to_vec(&CompletionRequest::new(self.model, request)).map_err(unknown)?;
        let response = self.connection.send(Method::POST, wire::COMPLETIONS_PATH, &[], body).await;
        let response = response.map_err(backend_error)?;
        let status = response.status();
        if !status.is_success() {
            return Err(engine_error(status, response).await);
        }
        let (events, stream) = mpsc::unbounded();
        let reader = EventReader::new(response.into_body());
        compio::runtime::spawn(read_events(self.connection, reader, attempt_id, events)).detach();
        Ok(stream)
    }
}

/// Maps an error response: `Refused` only if the engine reported that it did not admit the request, else `Unknown`.
async fn engine_error(status: StatusCode, response: hyper::Response<hyper::body::Incoming>) -> BackendError {
    let body = read_body(response.into_body()).await.unwrap_or_default();
    let message = format!("{status}: {}", String::from_utf8_lossy(&body));
    let not_admitted = parse_json::<wire::ErrorReply>(&body).is_ok_and(|reply| reply.error.admitted == Some(false));
    if not_admitted { BackendError::Refused(message) } else { BackendError::Unknown(message) }
}

/// Forwards events until the stream ends, or until the first event after the receiver was dropped. Closes the
/// connection at the end.
async fn read_events(
    connection: Connection,
    mut reader: EventReader,
    attempt_id: u64,
    events: mpsc::UnboundedSender<StreamEvent>,
) {
    while let Some(data) = reader.next().await {
        if data == DONE || events.unbounded_send(read_event(&data, attempt_id)).is_err() {
            break;
        }
    }
    drop(connection);
}

fn read_event(data: &str, attempt_id: u64) -> StreamEvent {
    let chunk: CompletionChunk =
        serde_json::from_str(data).map_err(|error| BackendError::Unknown(format!("unreadable chunk: {error}")))?;
    if chunk.attempt_id != attempt_id {
        return Err(BackendError::Unknown("a chunk of another request".to_string()));
    }
    Ok(EngineChunk::from(chunk))
}
