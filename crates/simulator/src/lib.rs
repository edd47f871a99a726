//! Runs the product's own node code in virtual time with a seeded network, disks and faults.
//!
//! `world` is the machine room: one thread, a virtual clock, processes that can be killed and frozen. `network` and
//! `disk` are what processes see of it, and `platform` is the seam. `cluster` starts a deployment in it, `faults` break
//! it, and `run` checks what the stand-ins saw. The same seed gives the same run, to the last record.

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
