//! Metrics of a coordinator.

use crate::placement_metrics::PlacementMetrics;
use crate::waits::WaitReason;
use saddlerelay_telemetry::registry::{Counter, Gauge, Histogram, MetricRegistry};

/// Counters of long waits, by reason.
struct LongWaits {
    suspected: Counter,
    no_engine: Counter,
    load: Counter,
    retry: Counter,
    owner: Counter,
}

impl LongWaits {
    fn register(registry: &mut MetricRegistry) -> Self {
        let mut counter = |reason: &str, help: &str| {
            let help = format!("Long waits of items at no engine: {help}; counted anew each time a wait doubles");
            registry.counter(&format!("long_waits_{reason}"), &help)
        };
        Self {
            suspected: counter(
                "suspected",
                "engines have ended under their work, or another process holds the right to run it",
            ),
            no_engine: counter("no_engine", "no engine fits, or only slow or silent ones have room"),
            load: counter("load", "engines are full"),
            retry: counter("retry", "a pause after a failed attempt"),
            owner: counter("owner", "the routing document does not list the owner of their job"),
        }
    }
}

/// Counters and histograms since the start of the process.
pub struct CoordinatorMetrics {
    registry: MetricRegistry,
    /// Items sent to engines.
    pub items_sent: Counter,
    /// Items completed, including the score if they name a scorer; not those completed by a reused text alone.
    pub items_completed: Counter,
    /// Items aborted.
    pub items_aborted: Counter,
    /// Item attempts that ended without a complete text.
    pub item_failures: Counter,
    /// Saved texts reused when a job was initialized.
    pub texts_reused: Counter,
    /// Partial texts discarded because no engine could continue them.
    pub texts_discarded: Counter,
    /// Score calls sent.
    pub score_calls: Counter,
    /// Score calls that ended without a score.
    pub score_failures: Counter,
    /// Engines found terminated after a connection was lost during an item or a score call.
    pub engines_terminated: Counter,
    /// Retrials requested for quarantined work of items and score calls.
    pub retrials_requested: Counter,
    /// Long waits for an engine, by reason; counted again each time a wait doubles.
    long_waits: LongWaits,
    /// Time that items waited before an engine started to respond, in seconds.
    pub wait_seconds: Histogram,
    /// Engines reassigned from one model to another.
    pub engines_reassigned: Counter,
    /// Weight orders sent to engines.
    pub orders: Counter,
    /// Weight orders whose result is unknown.
    pub orders_unknown: Counter,
    /// Duration of item attempts, in seconds.
    pub attempt_seconds: Histogram,
    /// Duration of score calls, in seconds.
    pub score_seconds: Histogram,
    /// Duration of successful weight loads, in seconds.
    pub load_seconds: Histogram,
    /// Time for which items could still have waited when they started, in seconds; items started in order of urgency.
    pub slack_at_start_seconds: Histogram,
    /// Items that could not be in time any more when they started; items started in order of urgency.
    pub items_started_late: Counter,
    /// Items started because they had waited longest.
    pub items_started_overdue: Counter,
    /// Items whose slot a text that could not wait took.
    pub items_displaced: Counter,
    /// Slots reserved at present for steps that are about to be submitted.
    pub reserved_slots: Gauge,
    /// Placement by expected completion.
    pub placement: PlacementMetrics,
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
        let texts_discarded = counter("texts_discarded", "Partial texts that no engine could continue");
        let score_calls = counter("score_calls", "Calls that have a text scored");
        let score_failures = counter("score_failures", "Calls for a score that brought none");
        let engines_terminated =
            counter("engines_ended", "Engines found to have ended under an item or a call for a score");
        let retrials_requested = counter(
            "retrials_requested",
            "Retrials of work of items that is quarantined as engines have ended under it",
        );
        let engines_reassigned = counter("engines_reassigned", "Engines reassigned from one model to another");
        let orders = counter("orders", "Orders given to engines");
        let orders_unknown = counter("orders_unknown", "Orders whose outcome is not known");
        let items_started_late = counter("items_started_late", "Items started too late to be in time");
        let items_started_overdue = counter("items_started_overdue", "Items started because they had waited longest");
        let items_displaced = counter("items_displaced", "Items whose slot a text that could not wait took");
        let mut histogram = |name: &str, help: &str| registry.seconds(name, help, 0.01, 12);
        let wait_seconds = histogram("wait_seconds", "How long items were at no engine before one took them");
        let attempt_seconds = histogram("attempt_seconds", "From sending an item to the end of its attempt");
        let score_seconds = histogram("score_seconds", "From calling for a score to the end of the call");
        let load_seconds = histogram("load_seconds", "How long changes of weights took");
        let slack_at_start_seconds =
            histogram("slack_at_start_seconds", "How long items could still have waited when they started");
        let reserved_slots =
            registry.gauge("reserved_slots", "Slots reserved for steps that are about to be submitted");
        let long_waits = LongWaits::register(&mut registry);
        let placement = PlacementMetrics::register(&mut registry);
        Self {
            registry,
            long_waits,
            wait_seconds,
            items_sent,
            items_completed,
            items_aborted,
            item_failures,
            texts_reused,
            texts_discarded,
            score_calls,
            score_failures,
            engines_terminated,
            retrials_requested,
            engines_reassigned,
            orders,
            orders_unknown,
            attempt_seconds,
            score_seconds,
            load_seconds,
            slack_at_start_seconds,
            items_started_late,
            items_started_overdue,
            items_displaced,
            reserved_slots,
            placement,
        }
    }
}

impl CoordinatorMetrics {
    pub(crate) fn long_waits(&self, reason: WaitReason) -> &Counter {
        let counts = &self.long_waits;
        match reason {
            WaitReason::TrialPaused | WaitReason::RetrialRequested | WaitReason::TrialTaken => &counts.suspected,
            WaitReason::NoEligibleEngine
            | WaitReason::NoEngineForText
            | WaitReason::OnlyDegradedEngines
            | WaitReason::NoScorer => &counts.no_engine,
            WaitReason::NoFreeSlot | WaitReason::PlanLimitReached | WaitReason::SlotsReserved => &counts.load,
            WaitReason::RetryDelay => &counts.retry,
            WaitReason::OwnerNotListed => &counts.owner,
        }
    }

    /// Encodes the metrics in the text exposition format.
    pub fn encode(&self) -> String {
        self.registry.encode()
    }
}
