//! The control group: configuration, claims, rollouts and membership on a replicated log.
//!
//! `state` is the replicated state, `commands` applies committed log entries to it, and `queries` reads it. `tasks` are
//! the leader's periodic tasks: polling engines, rolling out weights, detecting lost relays and committing usage
//! counts. `follow` sends state changes to relays, from the leader or another replica. `orders` ensures that only one
//! replica at a time sends orders to engines and to the platform (the system that starts and stops engine machines).

pub mod commands;
pub mod config;
mod follow;
pub mod gateway;
pub mod group_clock;
pub mod instance_watch;
mod job_requests;
mod large_replies;
pub mod machine;
pub mod node;
mod older_level;
pub mod order_watch;
pub mod orders;
pub mod owed_samples;
pub mod queries;
mod report_targets;
pub mod routing_updates;
mod rpc_handler;
pub mod state;
mod suspected_work;
pub mod suspicion_watch;
pub mod tasks;
pub mod trial_watch;
mod uptime_watch;
