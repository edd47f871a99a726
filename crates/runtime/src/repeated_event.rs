//! Rate limiting of log lines for repeated events.

use std::time::Duration;

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts events of one kind since the last log line.
#[derive(Debug, Default)]
pub struct RepeatedEvent {
    events: u64,
    last_logged_at: Option<Duration>,
}

impl RepeatedEvent {
    /// Counts an event. If a log line is due, returns the number of events since the previous line.
    pub fn count(&mut self, now: Duration) -> Option<u64> {
        self.events += 1;
        let is_due = self.last_logged_at.is_none_or(|logged_at| now >= logged_at + LOG_INTERVAL);
        is_due.then(|| {
            self.last_logged_at = Some(now);
            std::mem::take(&mut self.events)
        })
    }
}
