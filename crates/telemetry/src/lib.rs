//! Logs: lines on standard output, and a ring in memory that is written out when something goes wrong; metrics in the
//! standard text format.

pub mod line;
pub mod log;
pub mod metrics;
pub mod registry;
pub mod ring;
pub mod stdout;
