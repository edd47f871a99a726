//! Calls engines with opaque requests: method, path, headers and body go on as they came.
//!
//! A connection carries one request at a time. Whether a request may have run is told by how far it got: a failed
//! connect, or an engine that says so, proves that it has not; everything after the first byte proves nothing.
//!
//! `turns` shares requests out among the services of a route, `balance` among the engines of a service.

pub mod answer;
pub mod balance;
pub mod connection;
pub mod events;
pub mod names;
pub mod pool;
pub mod turns;

pub use answer::{Answer, Failure};
pub use balance::{Balance, ReadyEngine};
pub use names::HeaderNames;
pub use pool::{EngineTarget, Outgoing, Pool, Reuse};
