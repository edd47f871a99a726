//! Checks of conditions that must hold within a time limit.

use crate::journal::{Journal, Moment};
use std::time::Duration;

/// Time limit for recovery after the last fault; restarted whenever the soak itself is late.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Total time limit while the soak itself is repeatedly late.
pub const HANG_LIMIT: Duration = Duration::from_secs(90);

const TRIAL_PAUSE: Duration = Duration::from_millis(50);

/// State of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// The limit has not passed.
    InTime,
    /// [`RECOVERY_LIMIT`] has passed without lag of the soak itself.
    Over,
    /// [`HANG_LIMIT`] has passed, with too much lag of the soak itself for a verdict.
    NotJudged,
}

/// State at `now` of a wait that began at `since`, where the soak itself was last late at `late_at`. All connections
/// pass through the soak process, so its lag prevents recovery and restarts [`RECOVERY_LIMIT`].
pub fn evaluate(since: Moment, late_at: Option<Moment>, now: Moment) -> Wait {
    let in_time_since = late_at.map_or(since, |late_at| late_at.max(since));
    if now > in_time_since + RECOVERY_LIMIT {
        Wait::Over
    } else if now > since + HANG_LIMIT {
        Wait::NotJudged
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
        evaluate(self.since, self.journal.late_at(), self.journal.now())
    }

    /// Whether the time limit has passed.
    pub fn is_over(&self) -> bool {
        self.wait() != Wait::InTime
    }

    /// Polls a condition until it holds; records a violation if the time limit passes.
    pub async fn wait_for<Trial: Future<Output = bool>>(&self, name: String, mut try_once: impl FnMut() -> Trial) {
        while !try_once().await {
            let waited = self.journal.now().saturating_sub(self.since).as_millis();
            match self.wait() {
                Wait::InTime => compio::time::sleep(TRIAL_PAUSE).await,
                Wait::Over => return self.journal.violation(self.invariant, format!("not within {waited} ms: {name}")),
                Wait::NotJudged => return self.journal.late(self.invariant, format!("not within {waited} ms: {name}")),
            }
        }
    }
}
