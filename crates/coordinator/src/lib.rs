//! What the control group's leader does with engines.
//!
//! `runner` plans which item of which batch job runs where, `item` runs one, `scoring` has a whole text scored by one of
//! the engines that `scorers` chooses among, `listing` commits what they bring, `orders`
//! brings engines to the weight versions that trainers name, `working_set` says which engines all this is done with, and
//! `fleet` remembers what is known of each engine. All of
//! it lives in the leader's memory: a new leader starts from the committed jobs and versions.

pub mod config;
pub mod coordinator;
pub mod dialect;
pub mod fleet;
pub mod homes;
pub mod item;
mod job_run;
mod lengths;
pub mod listing;
pub mod load_order;
mod lost_connections;
pub mod metrics;
mod moves;
pub mod orders;
pub mod pace;
mod placement;
pub mod plan;
pub mod runner;
pub mod scorers;
pub mod scoring;
pub mod text;
mod waits;
pub mod working_set;
pub mod working_set_policy;

pub use config::CoordinatorConfig;
pub use coordinator::{Coordinator, CoordinatorIdentity, LeaderNode};
pub use dialect::EngineDialect;
