//! HTTP servers and clients of the stand-ins.

pub mod access;
pub mod engine;
pub mod process;
pub mod records;
pub mod services;
pub mod weights;
