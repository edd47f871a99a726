//! Counters and histograms of a coordinator.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// What a coordinator has done since its process started.
pub struct CoordinatorMetrics {
    registry: Registry,
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
    /// Orders given to engines.
    pub orders: Counter,
    /// Orders whose outcome is not known.
    pub orders_unknown: Counter,
    /// From sending an item to the end of its attempt, in seconds.
    pub attempt_seconds: Histogram,
    /// How long changes of weights took, in seconds.
    pub load_seconds: Histogram,
}

impl Default for CoordinatorMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("saddlerelay_coordinator");
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let items_sent = counter("items_sent", "Items sent to engines");
        let items_completed = counter("items_completed", "Items whose text became whole");
        let items_aborted = counter("items_aborted", "Items given up");
        let item_failures = counter("item_failures", "Item attempts that ended without a whole text");
        let texts_reused = counter("texts_reused", "Texts of earlier jobs used again");
        let orders = counter("orders", "Orders given to engines");
        let orders_unknown = counter("orders_unknown", "Orders whose outcome is not known");
        let mut histogram = |name: &str, help: &str| {
            let histogram = Histogram::new(exponential_buckets(0.01, 2.0, 12));
            registry.register(name, help, histogram.clone());
            histogram
        };
        let attempt_seconds = histogram("attempt_seconds", "From sending an item to the end of its attempt");
        let load_seconds = histogram("load_seconds", "How long changes of weights took");
        Self {
            registry,
            items_sent,
            items_completed,
            items_aborted,
            item_failures,
            texts_reused,
            orders,
            orders_unknown,
            attempt_seconds,
            load_seconds,
        }
    }
}

impl CoordinatorMetrics {
    /// The metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => error.to_string(),
        }
    }
}
