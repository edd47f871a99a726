//! The HTTP server of a stand-in engine: OpenAI completions and control endpoints.

use crate::engine::{Engine, EngineFaults, Rejection, WeightSource};
use futures::StreamExt;
use futures::channel::mpsc;
use hyper::{Method, Request, StatusCode};
use saddlerelay_engine_client::wire::{
    COMPLETIONS_PATH, CompletionChunk, CompletionRequest, ErrorDetail, ErrorReply, ORDER_PATH, STATUS_PATH,
};
use saddlerelay_http::body::{Reply, full_reply, json, parse_json, streamed_reply};
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::HttpHandler;
use saddlerelay_http::sse;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::engine::{EngineChunk, EngineOrder};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Path that sets the injected faults.
pub const FAULTS_PATH: &str = "/faults";
/// Path that makes the engine start draining.
pub const LEAVE_PATH: &str = "/leave";

/// Request body of [`FAULTS_PATH`].
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultBody {
    /// See [`EngineFaults::slowness`].
    pub slowness: u32,
    /// See [`EngineFaults::fail_next_swap`].
    pub fail_next_swap: bool,
    /// See [`EngineFaults::refuse`].
    pub refuse: bool,
    /// See [`EngineFaults::break_next_stream`].
    pub break_next_stream: bool,
    /// See [`EngineFaults::duplicate_chunks`].
    pub duplicate_chunks: bool,
    /// See [`EngineFaults::lose_chunk`].
    pub lose_chunk: bool,
}

impl From<FaultBody> for EngineFaults {
    fn from(body: FaultBody) -> Self {
        Self {
            slowness: body.slowness,
            fail_next_swap: body.fail_next_swap,
            refuse: body.refuse,
            break_next_stream: body.break_next_stream,
            duplicate_chunks: body.duplicate_chunks,
            lose_chunk: body.lose_chunk,
        }
    }
}

/// The HTTP server of an engine.
pub struct EngineServer<P: Runtime, W: WeightSource> {
    /// The engine.
    pub engine: Engine<P, W>,
}

impl<P: Runtime, W: WeightSource> HttpHandler for EngineServer<P, W> {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let (head, body) = request.into_parts();
        if head.method == Method::GET && head.uri.path() == STATUS_PATH {
            return json(StatusCode::OK, &self.engine.status());
        }
        let bytes = match body.read().await {
            Ok(bytes) => bytes,
            Err(error) => return rejection(StatusCode::BAD_REQUEST, &Rejection(format!("{error:?}"))),
        };
        match (&head.method, head.uri.path()) {
            (&Method::POST, COMPLETIONS_PATH) => self.complete(&bytes),
            (&Method::POST, ORDER_PATH) => self.order(&bytes),
            (&Method::POST, FAULTS_PATH) => {
                let faults = parse_json::<FaultBody>(&bytes).unwrap_or_default();
                self.engine.set_faults(faults.into());
                json(StatusCode::OK, &"ok")
            }
            (&Method::POST, LEAVE_PATH) => {
                self.engine.leave();
                json(StatusCode::OK, &"ok")
            }
            _ => full_reply(StatusCode::NOT_FOUND, "text/plain", "no such path\n"),
        }
    }
}

impl<P: Runtime, W: WeightSource> EngineServer<P, W> {
    fn complete(&self, bytes: &[u8]) -> Reply {
        let request = match parse_json::<CompletionRequest>(bytes) {
            Ok(request) => request,
            Err(error) => return rejection(StatusCode::BAD_REQUEST, &Rejection(format!("{error:?}"))),
        };
        match self.engine.admit(request.into()) {
            Ok(stream) => {
                let (events, body) = mpsc::unbounded();
                compio::runtime::spawn(send_chunks(stream, events)).detach();
                streamed_reply(sse::CONTENT_TYPE, body)
            }
            Err(error) => rejection(StatusCode::SERVICE_UNAVAILABLE, &error),
        }
    }

    fn order(&self, bytes: &[u8]) -> Reply {
        let order = match parse_json::<EngineOrder>(bytes) {
            Ok(order) => order,
            Err(error) => return rejection(StatusCode::BAD_REQUEST, &Rejection(format!("{error:?}"))),
        };
        match self.engine.order(order) {
            Ok(()) => json(StatusCode::OK, &"ok"),
            Err(error) => rejection(StatusCode::CONFLICT, &error),
        }
    }
}

fn rejection(status: StatusCode, error: &Rejection) -> Reply {
    json(status, &ErrorReply { error: ErrorDetail { message: error.0.clone(), admitted: Some(false) } })
}

/// Sends chunks until the stream ends or the client disconnects, which cancels the generation.
async fn send_chunks(mut stream: mpsc::UnboundedReceiver<EngineChunk>, events: mpsc::UnboundedSender<bytes::Bytes>) {
    while let Some(chunk) = stream.next().await {
        let is_last = chunk.finish.is_some();
        if events.unbounded_send(sse::event(&CompletionChunk::from(chunk))).is_err() {
            return;
        }
        if is_last {
            let _ = events.unbounded_send(sse::done());
            return;
        }
    }
}
