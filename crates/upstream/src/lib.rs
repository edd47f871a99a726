//! HTTP/1.1 client for engines. Method, path, headers and body of a request are opaque; only the
//! headers for the addressed instance and the deadline are added.
//!
//! A connection carries one request at a time. A request is known not to have executed if the connect failed, no byte
//! was sent, or the engine reported so. Any other failure leaves it open whether it executed.
//!
//! `round_robin` balances requests across the services of a route, `balance` across the engines of a service.

pub mod balance;
pub mod connection;
mod driver;
pub mod events;
pub mod limits;
pub mod names;
pub mod pool;
pub mod response;
pub mod round_robin;

pub use balance::{LoadBalancer, ReadyEngine};
pub use names::HeaderNames;
pub use pool::{EngineTarget, OutgoingRequest, Pool, Reuse};
pub use response::{Failure, UpstreamResponse};
