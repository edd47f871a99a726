//! Pauses between calls that were not taken: longer each time, and not the same for all.

use saddlerelay_runtime::Runtime;
use std::time::Duration;

/// The first pause.
const SHORTEST: Duration = Duration::from_millis(200);

/// The longest pause, without its random part: a platform that is back is noticed well within a report's time.
const LONGEST: Duration = Duration::from_millis(1_600);

/// The next moment at which a call may be tried.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    until: Duration,
}

impl Backoff {
    /// Whether a call may be tried.
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.until
    }

    /// A call was taken.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// A call was not taken.
    pub fn fail<P: Runtime>(&mut self, runtime: &P) {
        let pause = SHORTEST.saturating_mul(2_u32.saturating_pow(self.failures)).min(LONGEST);
        self.failures += 1;
        self.until = runtime.monotonic() + pause + runtime.jitter(pause / 2);
    }
}
