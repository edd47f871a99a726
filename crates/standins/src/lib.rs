//! Stand-ins for the external systems and clients of saddlerelay.
//!
//! They are generic over the runtime, so that the simulator and the fleet share the same engines, trainers, callers and
//! operators. [`http`] contains the HTTP servers and clients for the fleet.

pub mod access;
pub mod callers;
pub mod engine;
pub mod http;
pub mod operators;
pub mod recorder;
pub mod tokens;
pub mod trainer;
