//! The gateway of a relay: forwards client requests to engines.
//!
//! Host and path select a route, the route a service, and the gateway picks one of the service's engines. Routes and
//! engine states come from the control group under a lease; without a valid lease no request is forwarded.
//!
//! - `view` and `table` hold the replicated routes and engine states; `follow` updates them, from the control replica
//!   that `follower` selects.
//! - `admission` authenticates requests by their key.
//! - `forward` handles buffered responses, `stream` handles event streams.
//! - `drain` decides what a gateway that is stopped still passes on, by the `durations` of requests, and ends the rest.
//! - `service_load` chooses engines by the load that they report, where that is active.
//! - `lost_connections` detects engine processes that terminated during a request; `suspicions` limits or rejects
//!   requests whose work has crashed engines before.
//! - `usage` counts requests by tenant, and `results` reads results of batch jobs.

pub mod admission;
pub mod attempt;
pub mod config;
pub mod drain;
pub mod durations;
pub mod follow;
pub mod follower;
pub mod forward;
pub mod gateway;
pub mod keys;
pub mod lost_connections;
pub mod metrics;
pub mod refusal;
pub mod request;
pub mod results;
mod service_load;
pub mod stream;
pub mod suspicions;
pub mod table;
pub mod usage;
pub mod view;

pub use config::GatewayConfig;
pub use gateway::{Gateway, GatewayOptions};
pub use request::ClientRequest;
