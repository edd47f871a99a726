//! A budget for retries, so that a failing back end is not asked ever more often.

use std::time::Duration;

/// Retries earned by each request.
const EARNED_BY_REQUEST: f64 = 0.2;

/// Retries earned by each second, so that a quiet relay can retry too.
const EARNED_BY_SECOND: f64 = 10.0;

/// Most retries saved up.
const MOST_SAVED: f64 = 100.0;

/// The budget.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
    earned_until: Duration,
}

impl RetryBudget {
    /// A budget with a few retries to begin with.
    pub fn new(now: Duration) -> Self {
        Self { saved: EARNED_BY_SECOND, earned_until: now }
    }

    /// Earns what a new request brings.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + EARNED_BY_REQUEST).min(MOST_SAVED);
    }

    /// Whether a retry may be made; takes it from the budget.
    pub fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.earned_until);
        self.earned_until = now;
        self.saved = (self.saved + elapsed.as_secs_f64() * EARNED_BY_SECOND).min(MOST_SAVED);
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
