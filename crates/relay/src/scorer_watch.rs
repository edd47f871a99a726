//! Whether the scorer answers this relay. Two zones may lose each other while both reach the rest: a relay in one of them
//! keeps its lease, and with it every sample that it cannot have scored, for as long as that lasts.

use std::cell::Cell;
use std::time::Duration;

/// A relay whose calls have all failed for so long gives its samples back. Longer than a scorer takes to start again: its
/// return finds the samples scored soonest where they are, and a sample that is given back runs anew.
const OUT_OF_REACH_AFTER: Duration = Duration::from_secs(20);

/// What the newest calls to the scorer have come to.
#[derive(Debug, Default)]
pub(crate) struct ScorerWatch {
    /// When the first call failed after which none was answered.
    silent_since: Cell<Option<Duration>>,
}

impl ScorerWatch {
    /// The scorer has answered.
    pub fn answered(&self) {
        self.silent_since.set(None);
    }

    /// A call has failed at `now`.
    pub fn failed(&self, now: Duration) {
        if self.silent_since.get().is_none() {
            self.silent_since.set(Some(now));
        }
    }

    /// Whether others should have this relay's samples. It goes on trying with one at a time.
    pub fn is_out_of_reach(&self, now: Duration) -> bool {
        self.silent_since.get().is_some_and(|since| now >= since + OUT_OF_REACH_AFTER)
    }
}
