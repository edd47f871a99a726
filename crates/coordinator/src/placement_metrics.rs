//! Metrics of placement by expected completion.

use saddlerelay_scheduling::PlacementReason;
use saddlerelay_telemetry::registry::{Counter, Gauge, MetricRegistry};

/// Counters since the start of the process, and gauges of the engines in the last second.
pub struct PlacementMetrics {
    least_used: Counter,
    earliest_in_time: Counter,
    earliest_late: Counter,
    last_resort: Counter,
    /// Plans in which an item waited for a faster engine although a slower one had a free slot.
    pub waits_for_faster: Counter,
    /// Items moved because they would have missed their time.
    pub moves: Counter,
    /// Engines that are much slower than their own steady pace.
    pub engines_slowed: Gauge,
    /// Steady milliseconds per event of the fastest engine.
    pub fastest_steady_ms: Gauge,
    /// Steady milliseconds per event of the slowest engine.
    pub slowest_steady_ms: Gauge,
    /// Slot use of the busiest engine in percent of its service's mean; the highest of all services.
    pub busiest_percent: Gauge,
    /// Slot use of the least busy engine in percent of its service's mean; the lowest of all services.
    pub least_busy_percent: Gauge,
}

impl PlacementMetrics {
    /// Registers the metrics.
    pub fn register(registry: &mut MetricRegistry) -> Self {
        let mut counter = |name: &str, help: &str| registry.counter(&format!("placement_{name}"), help);
        let least_used = counter("least_used", "Items placed at the least used engine where they end in time");
        let earliest_in_time = counter("earliest_in_time", "Items placed at the earliest end, little time to spare");
        let earliest_late = counter("earliest_late", "Items placed at the earliest end, expected late");
        let last_resort = counter("last_resort", "Items placed at silent or avoided engines for lack of others");
        let waits_for_faster =
            counter("waits_for_faster", "Times that a plan left an item waiting for a faster engine");
        let moves = counter("moves", "Items moved because they would have missed their time");
        let mut gauge = |name: &str, help: &str| registry.gauge(&format!("placement_{name}"), help);
        Self {
            least_used,
            earliest_in_time,
            earliest_late,
            last_resort,
            waits_for_faster,
            moves,
            engines_slowed: gauge("engines_slowed", "Engines much slower than their own steady pace"),
            fastest_steady_ms: gauge("fastest_steady_ms", "Steady time per event of the fastest engine"),
            slowest_steady_ms: gauge("slowest_steady_ms", "Steady time per event of the slowest engine"),
            busiest_percent: gauge("busiest_percent", "Slot use of the busiest engine in percent of the mean"),
            least_busy_percent: gauge("least_busy_percent", "Slot use of the least busy engine in percent of the mean"),
        }
    }

    /// The counter of placements for a reason.
    pub fn placements(&self, reason: PlacementReason) -> &Counter {
        match reason {
            PlacementReason::LeastUsed => &self.least_used,
            PlacementReason::EarliestInTime => &self.earliest_in_time,
            PlacementReason::EarliestLate => &self.earliest_late,
            PlacementReason::LastResort => &self.last_resort,
        }
    }
}
