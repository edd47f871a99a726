//! What the control group's leader does with engines.
//!
//! `runner` plans which item of which batch job runs where, `item` runs one, `listing` commits what they bring, `orders`
//! brings engines to the weight versions that trainers name, and `fleet` remembers what is known of each engine. All of
//! it lives in the leader's memory: a new leader starts from the committed jobs and versions.

pub mod config;
pub mod coordinator;
pub mod dialect;
pub mod fleet;
pub mod homes;
pub mod item;
mod job_run;
pub mod listing;
pub mod metrics;
pub mod orders;
pub mod plan;
pub mod runner;
pub mod text;

pub use config::CoordinatorConfig;
pub use coordinator::{Coordinator, LeaderNode};
pub use dialect::EngineDialect;
