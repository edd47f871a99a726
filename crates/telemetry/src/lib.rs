//! Logs in a ring in memory that is written out when something goes wrong, and metrics in the standard text format.

pub mod log;
pub mod metrics;
pub mod ring;
