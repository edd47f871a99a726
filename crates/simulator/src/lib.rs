//! Runs the product's own node code in virtual time with a seeded network, disks and faults.
//!
//! `world` holds the virtual clock, the single-threaded executor and the simulated processes. `network` and `disk`
//! simulate connections and storage, and `platform` implements the runtime traits on top of them. `cluster` starts a
//! deployment, `faults` injects faults, and `run` checks the records that the simulated clients and engines make.
//! Runs with the same seed produce identical records.

pub mod backends;
pub mod cluster;
pub mod command_line;
pub mod disk;
pub mod faults;
pub mod network;
pub mod platform;
pub mod run;
pub mod service;
pub mod world;
