//! Routed requests on a relay.
//!
//! Host and path choose a route, the route a service, and the relay one of its engines. What a relay knows of routes and
//! engines comes from the control group under a lease; without the lease it sends nothing on. `table` and `view` hold
//! what is known, `follow` keeps it new (`follower` is whom it asks), `admission` checks keys, `forward` and `stream` send requests on, `lost_connections`
//! finds out whether engines end under them, `suspicions` keeps work that ends engines away from more of them, `usage`
//! counts what engines begin, and `results` reads batch jobs.

pub mod admission;
pub mod attempt;
pub mod config;
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
pub mod stream;
pub mod suspicions;
pub mod table;
pub mod usage;
pub mod view;

pub use config::GatewayConfig;
pub use gateway::{Gateway, GatewayOptions};
pub use request::ClientRequest;
