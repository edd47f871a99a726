//! Retry budget: a token bucket that limits retries to failing engines.

use std::time::Duration;

/// Tokens added for each request.
const TOKENS_PER_REQUEST: f64 = 0.2;

/// Tokens added per second, so that a relay with few requests can retry too.
const TOKENS_PER_SECOND: f64 = 10.0;

/// Maximum number of tokens.
const MAX_TOKENS: f64 = 100.0;

/// A token bucket; each retry consumes one token.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Duration,
}

impl RetryBudget {
    /// Creates a budget with the tokens of one second.
    pub fn new(now: Duration) -> Self {
        Self { tokens: TOKENS_PER_SECOND, refilled_at: now }
    }

    /// Adds the tokens for a new request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Consumes a token for a retry; returns `false` if there is none.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * TOKENS_PER_SECOND).min(MAX_TOKENS);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
