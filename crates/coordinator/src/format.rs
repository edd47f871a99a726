//! The engine's request and response formats for weight orders and reports, defined by the deployment.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use saddlerelay_types::instance::{InstanceId, LoadedModel};
use serde::{Deserialize, Serialize};

/// An order to load a weight version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightOrder {
    /// The model and the version to load.
    pub target: LoadedModel,
    /// Name of the process that sends the order.
    pub holder: String,
    /// Fencing token, higher for each later order intent; engines reject orders with a lower token than the highest they
    /// have received.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub orders_taken: u64,
    /// How the load treats running streams of the model.
    pub running: RunningStreams,
}

/// How a weight load treats running streams of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunningStreams {
    /// Running streams finish before the load starts.
    Wait,
    /// Running streams continue with the new weights.
    Keep,
}

/// An HTTP request to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// An engine's response to a report request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Loaded models and their versions.
    pub models: Vec<LoadedModel>,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Number of orders accepted since the engine started.
    pub orders_taken: u64,
    /// Start of the engine in Unix milliseconds, if the engine reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
}

impl EngineReport {
    /// Whether the report may come from this incarnation of the engine. A report without a start time is accepted,
    /// because it was received directly from the engine's address.
    pub fn may_be_of(&self, instance: &InstanceId) -> bool {
        match (self.started_at_ms, instance.started_at_ms) {
            (Some(reported), Some(expected)) => reported == expected,
            _ => true,
        }
    }
}

/// The meaning of an engine's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order was accepted and is being executed.
    Accepted,
    /// The version is already loaded.
    AlreadyLoaded,
    /// Another order is being executed, or `orders_taken` does not match.
    Conflict,
    /// The engine has received a higher fencing token.
    Fenced,
    /// Another instance is listening at the address.
    OtherInstance,
    /// The order was rejected for any other reason.
    Refused,
}

/// The deployment's formats for calls to engines.
pub trait EngineFormat: 'static {
    /// Builds a weight order.
    fn order(&self, order: &WeightOrder) -> EngineCall;
    /// Interprets the response status of a weight order.
    fn order_response(&self, status: StatusCode) -> OrderResponse {
        match status {
            StatusCode::ACCEPTED => OrderResponse::Accepted,
            StatusCode::OK => OrderResponse::AlreadyLoaded,
            StatusCode::CONFLICT => OrderResponse::Conflict,
            StatusCode::PRECONDITION_FAILED => OrderResponse::Fenced,
            StatusCode::MISDIRECTED_REQUEST => OrderResponse::OtherInstance,
            _ => OrderResponse::Refused,
        }
    }
    /// Builds a report request.
    fn report(&self) -> EngineCall;
    /// Parses a report; `None` if it is malformed.
    fn parse_report(&self, body: &[u8]) -> Option<EngineReport>;
}
