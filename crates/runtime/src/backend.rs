//! Interface to external systems: engines, scorers and the platform's machine list.

use futures::channel::mpsc;
use saddlerelay_types::engine::{EngineChunk, EngineDescription, EngineOrder, EngineRequest, EngineStatus};
use saddlerelay_types::membership::PlatformMachine;
use saddlerelay_types::request::Generation;

/// Why a call to a backend failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The backend rejected the request at admission.
    Refused(String),
    /// The request was sent, and its outcome is unknown.
    Unknown(String),
}

/// One event of an engine's stream.
pub type StreamEvent = Result<EngineChunk, BackendError>;

/// Calls to backends, implemented over HTTP and by the simulator.
pub trait Backends: Clone + 'static {
    /// A connection to an engine on which no request has been sent.
    type Connection: EngineConnection;
    /// Connects to an engine; on failure, nothing was sent.
    async fn connect(&self, engine: &EngineDescription) -> Result<Self::Connection, BackendError>;
    /// Whether the engine's machine indicates that the engine process has ended; `false` if the machine is
    /// unreachable.
    async fn has_terminated(&self, engine: &EngineDescription) -> bool;
    /// Fetches an engine's status.
    async fn status(&self, engine: &EngineDescription) -> Result<EngineStatus, BackendError>;
    /// Sends an order with a fencing token to an engine.
    async fn order(&self, engine: &EngineDescription, order: EngineOrder) -> Result<(), BackendError>;
    /// Scores a generation; the reward is in thousandths.
    async fn score(&self, prompt: &str, generation: &Generation) -> Result<i64, BackendError>;
    /// Fetches the platform's machine list, which may be stale.
    async fn machines(&self) -> Result<Vec<PlatformMachine>, BackendError>;
}

/// Sends one generation request to an engine.
pub trait EngineConnection: 'static {
    /// Sends `request` and waits until the engine admits or rejects it. Dropping the receiver cancels the
    /// generation.
    async fn generate(self, request: EngineRequest) -> Result<mpsc::UnboundedReceiver<StreamEvent>, BackendError>;
}
