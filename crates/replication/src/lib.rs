//! A replicated log with terms, pre-vote, leader leases, snapshots, learners and single-server membership changes.
//! Entries are synced to disk by a quorum before they are committed.
//!
//! The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, leader leases and leadership transfer. A replica
//! runs separate tasks for elections, for writing proposals, and, while it leads, for replication to each peer.

pub mod adaptive_timeout;
mod announcement;
mod calls;
pub mod config;
mod election;
pub mod file_format;
mod follower;
mod group_formation;
mod heartbeat;
mod leader;
mod leadership_offer;
mod leadership_transfer;
mod levels;
mod link_probe;
mod link_quality;
pub mod log;
pub mod log_file;
mod maintenance;
mod member_choice;
mod member_health;
pub mod membership;
mod membership_change;
pub mod message;
pub mod message_codec;
mod replica;
mod replication_lag;
mod role_report;
mod segment_fetch;
pub mod segments;
pub mod snapshot;
mod state;
mod state_transfer;
pub mod storage;
pub mod transfer_policy;
pub mod voter_spread;
pub mod wal;

pub use levels::{raise_command, raised_to};
pub use replica::{ProposeError, Replica, ReplicaOptions};
pub use state::StateMachine;
