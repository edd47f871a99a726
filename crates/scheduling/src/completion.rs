//! How long an engine is expected to take for a text.

use std::time::Duration;

/// What an engine can do, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    /// Seconds per event while the engine runs one text at its usual speed.
    pub seconds_per_event_alone: f64,
    /// Seconds that each other running text adds to an event.
    pub added_per_neighbor: f64,
    /// Present time per event as a multiple of the usual one.
    pub slowdown: f64,
    /// Age of the newest observation; `None` if the figures are defaults.
    pub age: Option<Duration>,
}

impl CapacityEstimate {
    /// Seconds per event at present while the engine runs `running` texts.
    pub fn seconds_per_event(&self, running: u32) -> f64 {
        let neighbors = f64::from(running.saturating_sub(1));
        (self.seconds_per_event_alone + self.added_per_neighbor * neighbors) * self.slowdown
    }
}

/// An engine at the time of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSnapshot {
    /// What it can do.
    pub capacity: CapacityEstimate,
    /// Texts that it runs, including those assigned by the decision in progress.
    pub running: u32,
    /// Texts that it runs concurrently at most.
    pub slots: u32,
    /// Whether it sends reports.
    pub reporting: bool,
}

/// A text, or the rest of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Events that are expected until it is complete.
    pub remaining_events: f64,
    /// Prompt tokens that the engine reads before the first event.
    pub prompt_tokens: u64,
}

/// Expected time from the start of `work` at the engine until its last event, with the work as an additional running
/// text. The prompt is not counted: reading it takes a small part of the time of one event.
pub fn expected_duration(engine: &EngineSnapshot, work: &Work) -> Duration {
    let seconds = engine.capacity.seconds_per_event(engine.running + 1) * work.remaining_events.max(0.0);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
