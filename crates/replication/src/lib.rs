//! A replicated log: terms, pre-vote, leader lease, quorum commit after sync, snapshots, learners and membership
//! changes of one replica at a time.
//!
//! The protocol is Raft's (Ongaro and Ousterhout, 2014) with pre-vote, leader leases and leadership transfer. Node code
//! is written as tasks: one for elections, one that writes proposals, one for each peer while leading.

mod announce;
mod calls;
pub mod config;
mod election;
pub mod file_format;
mod follower;
mod founding;
mod handover;
mod heartbeat;
mod judgement;
mod lead_offer;
mod leader;
mod levels;
mod link_probe;
mod link_quality;
pub mod log;
pub mod log_file;
mod maintenance;
pub mod membership;
pub mod message;
pub mod message_codec;
pub mod patience;
mod reconfigure;
mod replica;
mod segment_fetch;
pub mod segments;
pub mod snapshot;
mod standing;
mod state;
pub mod storage;
pub mod wal;

pub use levels::{raise_command, raised_to};
pub use replica::{ProposeError, Replica, ReplicaOptions};
pub use state::StateMachine;
