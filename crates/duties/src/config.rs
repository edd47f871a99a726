//! Timing of usage reports and engine orders.

use std::time::Duration;

/// Share of `due_after`, in percent, during which relays may still deliver counts of an ended window: a request is
/// counted only when it ends, which may be seconds later. The remaining time covers leader changes and retries to the
/// platform.
const COUNTING_PERCENT: u32 = 40;

/// Timing of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageReportConfig {
    /// Length of a window.
    pub window: Duration,
    /// Time from the end of a window until its report is due.
    pub due_after: Duration,
}

impl UsageReportConfig {
    /// Time from the end of a window until its counts are final.
    pub fn counting_time(&self) -> Duration {
        self.due_after * COUNTING_PERCENT / 100
    }
}

/// Timing of engine orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCountConfig {
    /// Time after a new leader first observes an engine pool during which it orders nothing there. Each present engine
    /// reports itself within this time.
    pub discovery_time: Duration,
    /// Time for which engines must be missing before replacements are ordered; covers an engine restart.
    pub replacement_delay: Duration,
}
