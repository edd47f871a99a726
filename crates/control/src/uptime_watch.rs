//! Measures, by this process's monotonic clock, the time since the group's uptime last advanced.
//!
//! Followers measure too, so that the uptime keeps advancing across changes of the leader.

use std::time::Duration;

/// The group's uptime, and when this process first observed it.
#[derive(Debug, Default)]
pub struct UptimeWatch {
    observed: Option<(u64, Duration)>,
}

impl UptimeWatch {
    /// Observes the uptime of the locally applied state at `now`; returns the time since it was first observed.
    pub fn observe(&mut self, uptime_ms: u64, now: Duration) -> Duration {
        let unchanged = self.observed.filter(|(observed, _)| *observed == uptime_ms);
        let (_, since) = *self.observed.insert(unchanged.unwrap_or((uptime_ms, now)));
        now.saturating_sub(since)
    }
}
