//! Tracks whether the scorer is reachable from this relay. In a network partition the relay may lose the scorer but
//! keep its lease, and would hold its samples without being able to complete them.

use std::cell::Cell;
use std::time::Duration;

/// Time without a successful call after which the scorer counts as unreachable and the relay returns its samples.
/// Longer than a restart of the scorer, because a returned sample is generated again.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(20);

/// Outcome of the newest calls to the scorer.
#[derive(Debug, Default)]
pub(crate) struct ScorerHealth {
    /// Time of the first failure since the last success.
    failing_since: Cell<Option<Duration>>,
}

impl ScorerHealth {
    /// Records a successful call.
    pub fn record_success(&self) {
        self.failing_since.set(None);
    }

    /// Records a failed call.
    pub fn record_failure(&self, now: Duration) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
        }
    }

    /// Whether the scorer counts as unreachable. The relay then runs one sample at a time to probe it.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.failing_since.get().is_some_and(|since| now >= since + UNREACHABLE_AFTER)
    }
}
