//! Counters of duties.

use saddlerelay_telemetry::registry::{Counter, MetricRegistry};

/// What a process has done towards the platform since it started.
pub struct DutyMetrics {
    registry: MetricRegistry,
    /// Windows whose counts were fixed.
    pub windows_fixed: Counter,
    /// Usage reports that the platform has taken.
    pub reports_taken: Counter,
    /// Usage reports that it has not, or from which no answer came.
    pub reports_failed: Counter,
    /// Reports taken after they were due.
    pub reports_late: Counter,
    /// Orders of engines that the platform has taken.
    pub engine_orders_taken: Counter,
    /// Orders of engines that it has not, or from which no answer came.
    pub engine_orders_failed: Counter,
}

impl Default for DutyMetrics {
    fn default() -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_duties");
        let mut counter = |name: &str, help: &str| registry.counter(name, help);
        let windows_fixed = counter("windows_fixed", "Windows whose counts were fixed");
        let reports_taken = counter("reports_taken", "Usage reports that the platform has taken");
        let reports_failed = counter("reports_failed", "Usage reports that failed or went unanswered");
        let reports_late = counter("reports_late", "Usage reports taken after they were due");
        let engine_orders_taken = counter("engine_orders_taken", "Orders of engines that the platform has taken");
        let engine_orders_failed = counter("engine_orders_failed", "Orders of engines that failed or went unanswered");
        Self {
            registry,
            windows_fixed,
            reports_taken,
            reports_failed,
            reports_late,
            engine_orders_taken,
            engine_orders_failed,
        }
    }
}

impl DutyMetrics {
    /// The metrics as text.
    pub fn encode(&self) -> String {
        self.registry.encode()
    }
}
