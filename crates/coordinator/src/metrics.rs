//! Counters and histograms of a coordinator.

use crate::waits::WaitReason;
use saddlerelay_telemetry::registry::{Counter, Histogram, MetricRegistry};

/// Long waits by their reason.
struct LongWaits {
    suspected: Counter,
    no_engine: Counter,
    load: Counter,
    retry: Counter,
}

impl LongWaits {
    fn register(registry: &mut MetricRegistry) -> Self {
        let mut counter = |reason: &str, help: &str| {
            let help = format!("Long waits of items at no engine: {help}; counted anew each time a wait doubles");
            registry.counter(&format!("long_waits_{reason}"), &help)
        };
        Self {
            suspected: counter("suspected", "their work is quarantined, or another process holds the right to run it"),
            no_engine: counter("no_engine", "no engine fits, or only slow or silent ones have room"),
            load: counter("load", "engines are full"),
            retry: counter("retry", "a pause after a failed attempt"),
        }
    }
}

/// What a coordinator has done since its process started.
pub struct CoordinatorMetrics {
    registry: MetricRegistry,
    /// Items sent to engines.
    pub items_sent: Counter,
    /// Items whose text became whole.
    pub items_completed: Counter,
    /// Items given up.
    pub items_aborted: Counter,
    /// Item attempts that ended without a whole text.
    pub item_failures: Counter,
    /// Texts of earlier jobs used again.
    pub texts_reused: Counter,
    /// Calls that have a text scored.
    pub score_calls: Counter,
    /// Calls that brought no score.
    pub score_failures: Counter,
    /// Engines found to have ended under an item or a call for a score.
    pub engines_ended: Counter,
    /// Items held back because engines have ended under their work.
    pub items_held_back: Counter,
    /// Waits at no engine that have lasted for long, by what the item waited for. Counted anew each time a wait doubles.
    long_waits: LongWaits,
    /// How long items were at no engine before one took them, in seconds.
    pub wait_seconds: Histogram,
    /// Orders given to engines.
    pub orders: Counter,
    /// Orders whose outcome is not known.
    pub orders_unknown: Counter,
    /// From sending an item to the end of its attempt, in seconds.
    pub attempt_seconds: Histogram,
    /// From calling for a score to the end of the call, in seconds.
    pub score_seconds: Histogram,
    /// How long changes of weights took, in seconds.
    pub load_seconds: Histogram,
}

impl Default for CoordinatorMetrics {
    fn default() -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_coordinator");
        let mut counter = |name: &str, help: &str| registry.counter(name, help);
        let items_sent = counter("items_sent", "Items sent to engines");
        let items_completed = counter("items_completed", "Items whose text became whole");
        let items_aborted = counter("items_aborted", "Items given up");
        let item_failures = counter("item_failures", "Item attempts that ended without a whole text");
        let texts_reused = counter("texts_reused", "Texts of earlier jobs used again");
        let score_calls = counter("score_calls", "Calls that have a text scored");
        let score_failures = counter("score_failures", "Calls for a score that brought none");
        let engines_ended = counter("engines_ended", "Engines found to have ended under an item or a call for a score");
        let items_held_back = counter("items_held_back", "Items held back because engines have ended under their work");
        let orders = counter("orders", "Orders given to engines");
        let orders_unknown = counter("orders_unknown", "Orders whose outcome is not known");
        let mut histogram = |name: &str, help: &str| registry.seconds(name, help, 0.01, 12);
        let wait_seconds = histogram("wait_seconds", "How long items were at no engine before one took them");
        let attempt_seconds = histogram("attempt_seconds", "From sending an item to the end of its attempt");
        let score_seconds = histogram("score_seconds", "From calling for a score to the end of the call");
        let load_seconds = histogram("load_seconds", "How long changes of weights took");
        let long_waits = LongWaits::register(&mut registry);
        Self {
            registry,
            long_waits,
            wait_seconds,
            items_sent,
            items_completed,
            items_aborted,
            item_failures,
            texts_reused,
            score_calls,
            score_failures,
            engines_ended,
            items_held_back,
            orders,
            orders_unknown,
            attempt_seconds,
            score_seconds,
            load_seconds,
        }
    }
}

impl CoordinatorMetrics {
    /// The count of long waits for a reason.
    pub(crate) fn long_waits(&self, reason: WaitReason) -> &Counter {
        let counts = &self.long_waits;
        match reason {
            WaitReason::Quarantined | WaitReason::TrialTaken => &counts.suspected,
            WaitReason::NoFittingEngine | WaitReason::NoSoundEngine | WaitReason::NoScorer => &counts.no_engine,
            WaitReason::NoRoom | WaitReason::PlanIsFull => &counts.load,
            WaitReason::RetryPause => &counts.retry,
        }
    }

    /// The metrics as text.
    pub fn encode(&self) -> String {
        self.registry.encode()
    }
}
