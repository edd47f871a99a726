//! Stand-ins for the systems around saddlerelay.
//!
//! Their behaviour is generic over the platform seam, so that the simulator and the fleet use the same engines,
//! trainers, callers and operators. `http` puts them on the network for the fleet.

pub mod access;
pub mod callers;
pub mod engine;
pub mod http;
pub mod operators;
pub mod recorder;
pub mod tokens;
pub mod trainer;
