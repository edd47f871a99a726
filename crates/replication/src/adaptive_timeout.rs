//! Adaptive factor for the waits of a leader for its quorum, a follower for its leader and a candidate for votes.
//!
//! Fixed timeouts elect no leader if replies always take a little longer than they allow. The waits therefore double
//! as terms end without a lasting leader, and halve after a period of regular contact. The lease and the time for
//! which votes are refused remain fixed, as safety depends on them.

use std::time::Duration;

/// Failures that are ignored, as the loss of a leader and split votes also occur in healthy groups.
const TOLERATED_FAILURES: u32 = 2;

/// Failures for each further doubling.
const FAILURES_PER_DOUBLING: u32 = 2;

/// Upper bound of the failure count.
const MAX_FAILURES: u32 = TOLERATED_FAILURES + MAX_DOUBLINGS * FAILURES_PER_DOUBLING;

/// Maximum number of doublings, which limits the factor to 8.
const MAX_DOUBLINGS: u32 = 3;

/// A term is not a failure if its leader was in contact over at least this many election timeouts.
const STABLE_LEADER_TIMEOUTS: u32 = 4;

/// Length in election timeouts of the window after which the waits may be halved.
const WINDOW_TIMEOUTS: u32 = 10;

/// A silence longer than three quarters of the wait doubles the wait.
const NEAR_MISS_DIVISOR: u32 = 4;

/// The waits are halved only if the halved wait is at least this many times the longest silence in the window.
const SILENCE_MARGIN: u32 = 2;

/// Factor for the waits, and the observations that determine it.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    /// Election timeout: the shortest wait.
    timeout: Duration,
    /// Terms and campaigns that brought no lasting leader.
    failures: u32,
    /// First and last contact with this term's leader.
    first_contact: Option<Duration>,
    last_contact: Duration,
    /// Start of the current window, and the longest silence in it.
    window_started_at: Duration,
    longest_silence: Duration,
}

impl AdaptiveTimeout {
    /// State after a start, with a factor of one.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            failures: 0,
            first_contact: None,
            last_contact: Duration::ZERO,
            window_started_at: Duration::ZERO,
            longest_silence: Duration::ZERO,
        }
    }

    /// `wait`, multiplied by the current factor.
    pub fn scale(&self, wait: Duration) -> Duration {
        wait * self.factor()
    }

    fn factor(&self) -> u32 {
        let counted = self.failures.saturating_sub(TOLERATED_FAILURES);
        let doublings = counted.div_ceil(FAILURES_PER_DOUBLING);
        1 << doublings.min(MAX_DOUBLINGS)
    }

    fn add_failures(&mut self, count: u64) {
        let count = u32::try_from(count).unwrap_or(MAX_FAILURES);
        self.failures = self.failures.saturating_add(count).min(MAX_FAILURES);
    }

    /// Counts a campaign in which voters had not replied before the timeout.
    pub fn record_vote_timeout(&mut self) {
        self.add_failures(1);
    }

    /// Counts `terms` ended terms as failures, except one whose leader lasted.
    pub fn record_ended_terms(&mut self, terms: u64) {
        if terms == 0 {
            return;
        }
        let leader_was_stable =
            self.first_contact.is_some_and(|first| self.last_contact >= first + self.timeout * STABLE_LEADER_TIMEOUTS);
        self.add_failures(terms.saturating_sub(u64::from(leader_was_stable)));
        self.first_contact = None;
    }

    /// Records contact with the leader, or of the leader with a quorum, at time `contact_at`.
    pub fn record_contact(&mut self, contact_at: Duration) {
        if self.first_contact.is_none() {
            self.first_contact = Some(contact_at);
            self.last_contact = contact_at;
            self.start_window(contact_at);
            return;
        }
        let silence = contact_at.saturating_sub(self.last_contact);
        self.last_contact = self.last_contact.max(contact_at);
        self.longest_silence = self.longest_silence.max(silence);
        let wait = self.scale(self.timeout);
        if silence * NEAR_MISS_DIVISOR > wait * (NEAR_MISS_DIVISOR - 1) {
            self.add_doubling();
            self.start_window(contact_at);
        } else if contact_at >= self.window_started_at + self.timeout * WINDOW_TIMEOUTS {
            self.shorten_waits(wait / 2);
            self.start_window(contact_at);
        }
    }

    /// Doubles the wait after a silence that nearly caused an election.
    fn add_doubling(&mut self) {
        let next_doubling = (self.failures + FAILURES_PER_DOUBLING).max(TOLERATED_FAILURES + 1);
        self.failures = next_doubling.min(MAX_FAILURES);
    }

    /// Halves the waits if `halved` leaves enough margin over the longest silence in the window.
    fn shorten_waits(&mut self, halved: Duration) {
        if self.longest_silence * SILENCE_MARGIN <= halved {
            self.failures = self.failures.saturating_sub(FAILURES_PER_DOUBLING);
        }
    }

    fn start_window(&mut self, now: Duration) {
        self.window_started_at = now;
        self.longest_silence = Duration::ZERO;
    }
}
