//! The HTTP interfaces: callers and trainers on relays, operators on control processes.
//!
//! `commands` change something, `queries` read; `wire` has the JSON forms, `credentials` tells who asks, and `errors`
//! has the error answers.

pub mod commands;
pub mod control;
pub mod credentials;
pub mod errors;
pub mod queries;
pub mod relay;
pub mod wire;
