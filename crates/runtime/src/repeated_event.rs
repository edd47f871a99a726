//! One log line for many events of a kind that follow each other closely.

use std::time::Duration;

/// Pause between two lines.
const TOLD_EVERY: Duration = Duration::from_secs(1);

/// Events of one kind since the last line.
#[derive(Debug, Default)]
pub struct RepeatedEvent {
    events: u64,
    told_at: Option<Duration>,
}

impl RepeatedEvent {
    /// Counts an event; returns how many there were since the last line if one is due.
    pub fn count(&mut self, now: Duration) -> Option<u64> {
        self.events += 1;
        let is_due = self.told_at.is_none_or(|at| now >= at + TOLD_EVERY);
        is_due.then(|| {
            self.told_at = Some(now);
            std::mem::take(&mut self.events)
        })
    }
}
