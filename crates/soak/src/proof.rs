//! What has to work soon after a moment, and how long that is waited for.

use crate::journal::{Journal, Moment};
use std::time::Duration;

/// By then everything works again after the last fault, if the soak itself is in time.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// How long it is waited for while the soak is late again and again: for hangs only.
pub const HANG_LIMIT: Duration = Duration::from_secs(90);

/// Pause between trials.
const TRIAL_PAUSE: Duration = Duration::from_millis(50);

/// How a wait stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// There is time left.
    InTime,
    /// [`RECOVERY_LIMIT`] has passed in which the soak was never late.
    Over,
    /// [`HANG_LIMIT`] has passed, and the soak was late too often for a judgement.
    NotJudged,
}

/// How a wait stands at `now` that began at `since`, when the soak itself was late last at `late_at`. All connections pass
/// the soak: what it delays, nobody can recover from, so that the time counts anew from its last lateness on.
pub fn judge(since: Moment, late_at: Option<Moment>, now: Moment) -> Wait {
    let in_time_since = late_at.map_or(since, |late_at| late_at.max(since));
    if now > in_time_since + RECOVERY_LIMIT {
        Wait::Over
    } else if now > since + HANG_LIMIT {
        Wait::NotJudged
    } else {
        Wait::InTime
    }
}

/// Something that has to work soon after a moment.
pub struct Proof<'a> {
    promise: &'static str,
    since: Moment,
    journal: &'a Journal,
}

impl<'a> Proof<'a> {
    /// Begins to wait.
    pub fn begin(promise: &'static str, journal: &'a Journal) -> Self {
        Self { promise, since: journal.now(), journal }
    }

    /// Begins to wait for what is due only `delay` later.
    pub fn begin_after(delay: Duration, promise: &'static str, journal: &'a Journal) -> Self {
        Self { since: journal.now() + delay, ..Self::begin(promise, journal) }
    }

    fn wait(&self) -> Wait {
        judge(self.since, self.journal.late_at(), self.journal.now())
    }

    /// Whether it is waited for no longer.
    pub fn is_over(&self) -> bool {
        self.wait() != Wait::InTime
    }

    /// Tries until something works, or too long.
    pub async fn prove<Trial: Future<Output = bool>>(&self, what: String, mut try_once: impl FnMut() -> Trial) {
        while !try_once().await {
            let waited = self.journal.now().saturating_sub(self.since).as_millis();
            match self.wait() {
                Wait::InTime => compio::time::sleep(TRIAL_PAUSE).await,
                Wait::Over => return self.journal.violation(self.promise, format!("not within {waited} ms: {what}")),
                Wait::NotJudged => return self.journal.late(self.promise, format!("not within {waited} ms: {what}")),
            }
        }
    }
}
