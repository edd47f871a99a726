//! Domain types and internal messages shared by every saddlerelay process.
//!
//! This crate holds data only: no I/O, no clocks, no tasks. Every other crate depends on it.

pub mod base64_bytes;
pub mod claim;
pub mod configuration;
pub mod credentials;
pub mod engine;
pub mod feature_level;
pub mod gateway;
mod hexadecimal;
pub mod identity;
pub mod instance;
pub mod job;
pub mod membership;
pub mod protocol;
pub mod request;
pub mod rollout;
pub mod routing;
pub mod routing_update;
pub mod suspicion;
pub mod tenancy;
pub mod usage;
pub mod work;
