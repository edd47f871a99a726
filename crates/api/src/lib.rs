//! HTTP APIs of relays, for callers and trainers, and of control processes, for operators.
//!
//! `commands` handles calls that change state and `queries` handles reads. `wire` defines headers and JSON bodies,
//! `credentials` parses bearer tokens, and `errors` builds error responses.

pub mod commands;
pub mod control;
pub mod credentials;
pub mod errors;
pub mod queries;
pub mod relay;
pub mod wire;
