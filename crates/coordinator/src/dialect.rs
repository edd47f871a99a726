//! How engines are told what to do, and how they tell what they have. The formats are the deployment's.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use saddlerelay_types::instance::{InstanceId, LoadedModel};
use serde::{Deserialize, Serialize};

/// An order to change a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionOrder {
    /// The model and the version it is to have.
    pub target: LoadedModel,
    /// Who gives the order.
    pub holder: String,
    /// Rises with each holder; engines refuse a lower one.
    pub fence: u64,
    /// Orders that the engine must have taken before this one.
    pub orders_taken: u64,
    /// What becomes of the model's running streams.
    pub running: RunningStreams,
}

/// What becomes of streams that run when a model's weights change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunningStreams {
    /// They end first.
    Wait,
    /// They go on under the new weights.
    Keep,
}

/// A call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// What an engine tells of itself when asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// What it has loaded.
    pub models: Vec<LoadedModel>,
    /// An order is under way.
    pub busy: bool,
    /// Orders taken since it started.
    pub orders_taken: u64,
    /// When it started, in Unix milliseconds, if it tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
}

impl EngineReport {
    /// Whether this start of an engine may have told it. One that tells no start is believed: it came over a connection to
    /// the engine itself.
    pub fn may_be_of(&self, instance: &InstanceId) -> bool {
        match (self.started_at_ms, instance.started_at_ms) {
            (Some(told), Some(wanted)) => told == wanted,
            _ => true,
        }
    }
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being done.
    Taken,
    /// It holds already.
    Holds,
    /// Another is under way, or the count of orders differs.
    Conflict,
    /// It has seen a higher fence.
    Fenced,
    /// Another instance has the address.
    OtherInstance,
    /// It cannot be done.
    Refused,
}

/// The deployment's formats.
pub trait EngineDialect: 'static {
    /// The call that gives an order.
    fn order(&self, order: &VersionOrder) -> Call;
    /// What the status of its answer means.
    fn order_answer(&self, status: StatusCode) -> OrderAnswer {
        match status {
            StatusCode::ACCEPTED => OrderAnswer::Taken,
            StatusCode::OK => OrderAnswer::Holds,
            StatusCode::CONFLICT => OrderAnswer::Conflict,
            StatusCode::PRECONDITION_FAILED => OrderAnswer::Fenced,
            StatusCode::MISDIRECTED_REQUEST => OrderAnswer::OtherInstance,
            _ => OrderAnswer::Refused,
        }
    }
    /// The call that asks for a report.
    fn report(&self) -> Call;
    /// Reads a report.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;
}
