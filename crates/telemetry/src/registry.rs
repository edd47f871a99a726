//! Long-lived counters, gauges and histograms, encoded in the OpenMetrics text format.

pub use prometheus_client::metrics::counter::Counter;
pub use prometheus_client::metrics::gauge::Gauge;
pub use prometheus_client::metrics::histogram::Histogram;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Ratio of the upper bounds of consecutive histogram buckets.
const BUCKET_FACTOR: f64 = 2.0;

/// A registry of metrics with a common name prefix.
pub struct MetricRegistry {
    registry: Registry,
}

impl MetricRegistry {
    /// An empty registry; all names get `prefix`.
    pub fn new(prefix: &str) -> Self {
        Self { registry: Registry::with_prefix(prefix) }
    }

    /// Registers a counter.
    pub fn counter(&mut self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.registry.register(name, help, counter.clone());
        counter
    }

    /// Registers a gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.register(name, help, gauge.clone());
        gauge
    }

    /// Registers a histogram of seconds with `buckets` buckets; `first` is the upper bound of the first bucket, in seconds.
    pub fn seconds(&mut self, name: &str, help: &str, first: f64, buckets: u16) -> Histogram {
        let histogram = Histogram::new(exponential_buckets(first, BUCKET_FACTOR, buckets));
        self.registry.register(name, help, histogram.clone());
        histogram
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => error.to_string(),
        }
    }
}
