//! Runs deployments as real processes on one machine, injects faults, checks the records and reports.
//!
//! The fleet starts every process and kills those that are still running when the run ends.

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
