//! A relay: serves callers and trainers from engines, under a configuration lease from the control group.
//!
//! `commands` serve callers, trainers and samples; `queries` read the relay's view. The rest are the parts they share:
//! the leased `view`, `admission`, the engine `registry`, the `retry` budget, `dispatch`, and commits about what is
//! granted, `grants`, and the `scorer_watch`.

pub mod admission;
pub mod commands;
pub mod config;
pub mod dispatch;
mod grants;
pub mod lease;
pub mod queries;
pub mod registry;
mod relay;
pub mod retry;
mod scorer_watch;
pub mod view;

pub use relay::{Relay, RelayCounters, RelayOptions};
