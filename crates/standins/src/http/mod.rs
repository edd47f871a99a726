//! The stand-ins on the network.

pub mod access;
pub mod engine;
pub mod process;
pub mod records;
pub mod services;
pub mod weights;
