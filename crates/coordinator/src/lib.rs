//! Runs batch jobs and orders weight loads on engines while this process leads the control group.
//!
//! `runner` assigns items of batch jobs to engines, `item` runs one item, `scoring` sends a completed text to one of
//! the engines chosen by `scorers`, `listing` commits results, `orders` brings engines to the weight versions that
//! trainers publish, `working_set` selects the engines in use, and `fleet` caches the observed state of each engine.
//! This state is in the leader's memory only; a new leader rebuilds it from the committed jobs and versions.

mod batch_order;
mod by_completion;
pub mod config;
pub mod coordinator;
mod engines;
pub mod fleet;
pub mod format;
pub mod item;
mod job_run;
mod lengths;
pub mod listing;
pub mod load_order;
mod long_texts;
mod lost_connections;
pub mod metrics;
pub mod model_assignments;
mod moves;
mod ordered;
pub mod orders;
pub mod pace;
mod placement;
mod placement_log;
pub mod placement_metrics;
pub mod plan;
pub mod runner;
pub mod scorers;
pub mod scoring;
pub mod stranded_texts;
pub mod text;
pub mod waiting_items;
mod waits;
mod wanted;
pub mod working_set;
pub mod working_set_policy;

pub use config::CoordinatorConfig;
pub use coordinator::{Coordinator, CoordinatorIdentity, LeaderNode};
pub use format::EngineFormat;
