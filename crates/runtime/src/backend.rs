//! The seam towards systems that saddlerelay does not own: engines, scorers and the platform's machine list.

use futures::channel::mpsc;
use saddlerelay_types::engine::{EngineChunk, EngineDescription, EngineOrder, EngineRequest, EngineStatus};
use saddlerelay_types::membership::PlatformMachine;
use saddlerelay_types::request::Generation;

/// Why a call to a back end failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// No byte of the request reached the back end.
    NotSent(String),
    /// The back end refused the request before admitting it.
    Refused(String),
    /// The request went out and its fate is not known.
    Unknown(String),
}

/// One event of an engine's stream.
pub type StreamEvent = Result<EngineChunk, BackendError>;

/// Makes the calls. One implementation speaks HTTP, the other runs in the simulator.
pub trait Backends: Clone + 'static {
    /// A connection to an engine over which no byte of a request has gone yet.
    type Connection: EngineConnection;
    /// Connects to an engine; a failure means that nothing was sent.
    async fn connect(&self, engine: &EngineDescription) -> Result<Self::Connection, BackendError>;
    /// Whether an engine's process has ended, as its machine says. One that cannot be reached is not believed to have.
    async fn has_ended(&self, engine: &EngineDescription) -> bool;
    /// An engine's own report.
    async fn status(&self, engine: &EngineDescription) -> Result<EngineStatus, BackendError>;
    /// Gives an engine a fenced order.
    async fn order(&self, engine: &EngineDescription, order: EngineOrder) -> Result<(), BackendError>;
    /// Scores a generation; thousandths.
    async fn score(&self, prompt: &str, generation: &Generation) -> Result<i64, BackendError>;
    /// The platform's list of machines; may lag.
    async fn machines(&self) -> Result<Vec<PlatformMachine>, BackendError>;
}

/// Sends one generation.
pub trait EngineConnection: 'static {
    /// Sends `request` and waits until the engine admits or refuses it. Dropping the receiver cancels the generation.
    async fn generate(self, request: EngineRequest) -> Result<mpsc::UnboundedReceiver<StreamEvent>, BackendError>;
}
