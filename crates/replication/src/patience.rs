//! How long replicas wait for each other: a leader for its quorum, a follower for its leader, a candidate for votes.
//!
//! Fixed limits elect nobody where an answer always takes a little longer than they allow: every term ends like the last. The
//! waits therefore double as terms end without a leader that lasts, and halve again once a leader has been heard without long
//! silences. A lease and the time for which votes are refused do not follow them: safety rests on fixed times.

use std::time::Duration;

/// Failures that change nothing: the loss of a leader and two votes that are split, which happens where nothing is slow.
const ORDINARY_FAILURES: u32 = 2;

/// Failures for each doubling.
const FAILURES_PER_STEP: u32 = 2;

/// More failures than that change nothing.
const MOST_FAILURES: u32 = ORDINARY_FAILURES + MOST_STEPS * FAILURES_PER_STEP;

/// Doublings at most: eight times an election timeout of 500 ms is 4 s, which is what a link that loses a fifth of its packets
/// needs; a leader's loss is then noticed as late as that.
const MOST_STEPS: u32 = 3;

/// Election timeouts for which a leader has lasted when its term was no failure: 2 s where the timeout is 500 ms.
const LASTING_TIMEOUTS: u32 = 4;

/// Election timeouts over which silences are watched before the waits are halved: 5 s where the timeout is 500 ms.
const WATCHED_TIMEOUTS: u32 = 10;

/// A silence longer than three quarters of the wait doubles it before one ends a leadership.
const NARROW_DIVISOR: u32 = 4;

/// The halved wait must be at least so many times the longest silence that was seen.
const SILENCE_MARGIN: u32 = 2;

/// How patient a replica is, and what its patience follows from.
#[derive(Debug)]
pub(crate) struct Patience {
    /// The shortest wait: an election timeout.
    timeout: Duration,
    /// Terms and campaigns that ended without a leader that lasted.
    failures: u32,
    /// When this term's leader was first heard, and when last.
    heard_first: Option<Duration>,
    heard_last: Duration,
    /// Since when silences are watched, and the longest.
    watched_since: Duration,
    longest_silence: Duration,
}

impl Patience {
    /// That of a replica that has just started.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            failures: 0,
            heard_first: None,
            heard_last: Duration::ZERO,
            watched_since: Duration::ZERO,
            longest_silence: Duration::ZERO,
        }
    }

    /// `wait`, doubled as often as waits have proved too short.
    pub fn stretch(&self, wait: Duration) -> Duration {
        wait * self.factor()
    }

    fn factor(&self) -> u32 {
        let beyond = self.failures.saturating_sub(ORDINARY_FAILURES);
        let steps = beyond.div_ceil(FAILURES_PER_STEP);
        1 << steps.min(MOST_STEPS)
    }

    fn fail(&mut self, times: u64) {
        let times = u32::try_from(times).unwrap_or(MOST_FAILURES);
        self.failures = self.failures.saturating_add(times).min(MOST_FAILURES);
    }

    /// Voters were asked and had not answered when the wait for them was over.
    pub fn note_unanswered(&mut self) {
        self.fail(1);
    }

    /// So many terms were left behind. One whose leader lasted was no failure.
    pub fn note_terms(&mut self, terms: u64) {
        if terms == 0 {
            return;
        }
        let lasted = self.heard_first.is_some_and(|first| self.heard_last >= first + self.timeout * LASTING_TIMEOUTS);
        self.fail(terms.saturating_sub(u64::from(lasted)));
        self.heard_first = None;
    }

    /// The leader, or a leader's quorum, was heard up to `heard`. A silence that has ended is told from the time heard before.
    pub fn note_heard(&mut self, heard: Duration) {
        if self.heard_first.is_none() {
            self.heard_first = Some(heard);
            self.heard_last = heard;
            self.watch_from(heard);
            return;
        }
        let silence = heard.saturating_sub(self.heard_last);
        self.heard_last = self.heard_last.max(heard);
        self.longest_silence = self.longest_silence.max(silence);
        let wait = self.stretch(self.timeout);
        if silence * NARROW_DIVISOR > wait * (NARROW_DIVISOR - 1) {
            self.fail_step();
            self.watch_from(heard);
        } else if heard >= self.watched_since + self.timeout * WATCHED_TIMEOUTS {
            self.relax(wait / 2);
            self.watch_from(heard);
        }
    }

    /// A silence nearly ended a leadership.
    fn fail_step(&mut self) {
        let next_step = (self.failures + FAILURES_PER_STEP).max(ORDINARY_FAILURES + 1);
        self.failures = next_step.min(MOST_FAILURES);
    }

    /// Halves the waits, if `halved` would have been long enough for every silence that was watched.
    fn relax(&mut self, halved: Duration) {
        if self.longest_silence * SILENCE_MARGIN <= halved {
            self.failures = self.failures.saturating_sub(FAILURES_PER_STEP);
        }
    }

    fn watch_from(&mut self, now: Duration) {
        self.watched_since = now;
        self.longest_silence = Duration::ZERO;
    }
}
