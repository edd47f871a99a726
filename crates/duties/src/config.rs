//! What the platform expects.

use std::time::Duration;

/// Part of the time for a report, in percent, that relays have to hand over what they counted in its window. A relay hands
/// over twice a second; a request that an engine has begun may take a second or two to end, and only then is it counted. The
/// rest of the time is for leaders that are lost and for a platform that does not answer.
const COUNTING_PERCENT: u32 = 40;

/// When usage is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageTerms {
    /// The length of a window.
    pub window: Duration,
    /// A window's report is due that long after its end.
    pub due_after: Duration,
}

impl UsageTerms {
    /// How long after a window's end its counts are fixed.
    pub fn counting_time(&self) -> Duration {
        self.due_after * COUNTING_PERCENT / 100
    }
}

/// How engines are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCountTerms {
    /// How long the leader has known engines of a place before it takes those that it sees for all there are: each reports
    /// itself within this time.
    pub settling_time: Duration,
    /// How long engines are missing before others are ordered in their place: those that only restart are back by then.
    pub missing_time: Duration,
}
