//! The control group: configuration, claims, rollouts and membership on a replicated log.
//!
//! `state` holds the data, `commands` changes it from committed log entries, `queries` reads it, and `tasks` are what
//! the leader does on its own: polling engines, rolling out weights, watching relays and committing what they count.
//! `follow` tells relays what they lack, at the leader or at another replica. `orders` is the right to give orders to what lies outside the group.

mod answering;
pub mod commands;
pub mod config;
mod follow;
pub mod gateway;
pub mod group_clock;
pub mod instance_watch;
mod job_calls;
pub mod machine;
pub mod node;
mod older_level;
pub mod order_watch;
pub mod orders;
pub mod queries;
mod report_targets;
pub mod routing_updates;
pub mod state;
mod suspected_work;
pub mod suspicion_watch;
pub mod tasks;
pub mod trial_watch;
