//! Deployments and scenarios shared by the simulator and the fleet.

pub mod builtin;
pub mod deployment;
pub mod recording;
pub mod trace;
