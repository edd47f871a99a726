//! Exponential backoff with jitter between calls that the platform did not accept.

use saddlerelay_runtime::Runtime;
use std::time::Duration;

const INITIAL_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay without jitter; short enough for several retries before a usage report is due.
const MAX_DELAY: Duration = Duration::from_millis(1_600);

/// Tracks consecutive failures and when the next call is allowed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    retry_at: Duration,
}

impl Backoff {
    /// Whether the delay after the last failure has elapsed.
    pub fn is_elapsed(&self, now: Duration) -> bool {
        now >= self.retry_at
    }

    /// Resets the delay after an accepted call.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Starts the delay after a failed or rejected call.
    pub fn record_failure<P: Runtime>(&mut self, runtime: &P) {
        let delay = INITIAL_DELAY.saturating_mul(2_u32.saturating_pow(self.failures)).min(MAX_DELAY);
        self.failures += 1;
        self.retry_at = runtime.monotonic() + delay + runtime.jitter(delay / 2);
    }
}
