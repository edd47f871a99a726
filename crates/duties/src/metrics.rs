//! Metrics of the calls to the platform.

use saddlerelay_telemetry::registry::{Counter, MetricRegistry};

/// Counters since the start of the process.
pub struct PlatformMetrics {
    registry: MetricRegistry,
    /// Usage windows whose final counts were committed.
    pub windows_closed: Counter,
    /// Usage reports that the platform accepted.
    pub reports_accepted: Counter,
    /// Usage reports that the platform rejected or that got no response.
    pub reports_failed: Counter,
    /// Usage reports accepted after their due time.
    pub reports_late: Counter,
    /// Engine orders that the platform accepted.
    pub engine_orders_accepted: Counter,
    /// Engine orders that the platform rejected or that got no response.
    pub engine_orders_failed: Counter,
}

impl Default for PlatformMetrics {
    fn default() -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_duties");
        let mut counter = |name: &str, help: &str| registry.counter(name, help);
        let windows_closed = counter("windows_fixed", "Windows whose counts were fixed");
        let reports_accepted = counter("reports_taken", "Usage reports that the platform has taken");
        let reports_failed = counter("reports_failed", "Usage reports that failed or went unanswered");
        let reports_late = counter("reports_late", "Usage reports taken after they were due");
        let engine_orders_accepted = counter("engine_orders_taken", "Orders of engines that the platform has taken");
        let engine_orders_failed = counter("engine_orders_failed", "Orders of engines that failed or went unanswered");
        Self {
            registry,
            windows_closed,
            reports_accepted,
            reports_failed,
            reports_late,
            engine_orders_accepted,
            engine_orders_failed,
        }
    }
}

impl PlatformMetrics {
    /// Encodes the metrics in the text exposition format.
    pub fn encode(&self) -> String {
        self.registry.encode()
    }
}
