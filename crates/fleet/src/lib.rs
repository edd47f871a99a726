//! Runs whole deployments as processes on one machine, causes faults, checks and reports.
//!
//! The fleet starts the processes; the product's own processes start none. Every child is ended with the run.

pub mod bench;
pub mod command_line;
pub mod deploy;
pub mod experiment;
pub mod faults;
pub mod launch;
pub mod ports;
pub mod process;
pub mod run;
pub mod scale;
pub mod summary;
pub mod up;
