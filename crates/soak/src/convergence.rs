//! Checks of conditions that must hold within a time limit.

use crate::journal::{Journal, Moment};
use std::time::Duration;

/// Time limit for recovery after the last fault; restarted whenever the soak's own tasks lag.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Total time limit while the soak's own tasks lag repeatedly.
pub const HANG_LIMIT: Duration = Duration::from_secs(90);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State of a wait for a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// No time limit has passed.
    InTime,
    /// [`RECOVERY_LIMIT`] has passed without lag of the soak's own tasks.
    Expired,
    /// [`HANG_LIMIT`] has passed, with too much lag of the soak's own tasks to blame the product.
    Lagged,
}

/// State at `now` of a wait that began at `since`; the soak's own tasks last lagged at `lagged_at`. All connections pass
/// through the soak process, so its lag prevents recovery and restarts [`RECOVERY_LIMIT`].
pub fn evaluate(since: Moment, lagged_at: Option<Moment>, now: Moment) -> Wait {
    let restarted_at = lagged_at.map_or(since, |lagged_at| lagged_at.max(since));
    if now > restarted_at + RECOVERY_LIMIT {
        Wait::Expired
    } else if now > since + HANG_LIMIT {
        Wait::Lagged
    } else {
        Wait::InTime
    }
}

/// Checks that conditions hold within [`RECOVERY_LIMIT`].
pub struct ConvergenceCheck<'a> {
    invariant: &'static str,
    since: Moment,
    journal: &'a Journal,
}

impl<'a> ConvergenceCheck<'a> {
    /// Starts the time limit now.
    pub fn begin(invariant: &'static str, journal: &'a Journal) -> Self {
        Self { invariant, since: journal.now(), journal }
    }

    /// Starts the time limit after `delay`.
    pub fn begin_after(delay: Duration, invariant: &'static str, journal: &'a Journal) -> Self {
        Self { since: journal.now() + delay, ..Self::begin(invariant, journal) }
    }

    fn wait(&self) -> Wait {
        evaluate(self.since, self.journal.lagged_at(), self.journal.now())
    }

    /// Whether the time limit has passed.
    pub fn is_over(&self) -> bool {
        self.wait() != Wait::InTime
    }

    /// Polls a condition until it holds; records a violation if the time limit passes.
    pub async fn wait_for<Attempt: Future<Output = bool>>(&self, name: String, mut condition: impl FnMut() -> Attempt) {
        while !condition().await {
            let ms = self.journal.now().saturating_sub(self.since).as_millis();
            match self.wait() {
                Wait::InTime => compio::time::sleep(POLL_INTERVAL).await,
                Wait::Expired => return self.journal.violation(self.invariant, format!("not within {ms} ms: {name}")),
                Wait::Lagged => return self.journal.timeout(self.invariant, format!("not within {ms} ms: {name}")),
            }
        }
    }
}
