//! Logging to standard output or to an in-memory ring that is dumped on errors, parsing of log lines, and metrics in the
//! OpenMetrics text format.

pub mod line;
pub mod log;
pub mod metrics;
pub mod registry;
pub mod ring;
pub mod stdout;
