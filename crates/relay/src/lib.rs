//! A relay: serves callers' and trainers' requests under a configuration lease from the control group.
//!
//! - `commands` handle callers, trainers and samples; `queries` read the relay's view.
//! - `lease` renews the configuration lease and `view` holds the leased configuration and engine list.
//! - `admission` limits and queues requests by tenant; `dispatch` runs generations on engines.
//! - `registry` tracks each engine's load and failures; `retry` is the retry budget.
//! - `commit_retry` commits the end of granted claims and samples; `scorer_health` tracks whether the scorer is reachable.

pub mod admission;
pub mod commands;
mod commit_retry;
pub mod config;
pub mod dispatch;
pub mod lease;
pub mod queries;
pub mod registry;
mod relay;
pub mod retry;
mod scorer_health;
pub mod view;

pub use relay::{Relay, RelayCounters, RelayOptions};
