//! Tells that a replica is asked while it does not lead, and what it knows of the group: one line for many questions.

use std::time::Duration;

/// Pause between two lines.
const TOLD_EVERY: Duration = Duration::from_secs(1);

/// Questions that this replica has sent away since the last line.
#[derive(Debug, Default)]
pub struct SentAway {
    questions: u64,
    told_at: Option<Duration>,
}

impl SentAway {
    /// Counts a question; returns how many there were since the last line if one is due.
    pub fn count(&mut self, now: Duration) -> Option<u64> {
        self.questions += 1;
        let is_due = self.told_at.is_none_or(|at| now >= at + TOLD_EVERY);
        is_due.then(|| {
            self.told_at = Some(now);
            std::mem::take(&mut self.questions)
        })
    }
}
