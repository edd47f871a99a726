//! Counters, gauges and histograms that live as long as their process, told in the standard text format.

pub use prometheus_client::metrics::counter::Counter;
pub use prometheus_client::metrics::gauge::Gauge;
pub use prometheus_client::metrics::histogram::Histogram;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Each bucket of a histogram ends at twice the end of the one before.
const BUCKET_FACTOR: f64 = 2.0;

/// Metrics whose names share a beginning.
pub struct MetricRegistry {
    registry: Registry,
}

impl MetricRegistry {
    /// No metrics yet; every name will begin with `prefix`.
    pub fn new(prefix: &str) -> Self {
        Self { registry: Registry::with_prefix(prefix) }
    }

    /// A count that only rises.
    pub fn counter(&mut self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.registry.register(name, help, counter.clone());
        counter
    }

    /// A number that rises and falls.
    pub fn gauge(&mut self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.register(name, help, gauge.clone());
        gauge
    }

    /// A histogram of seconds with `buckets` buckets, the first of which ends at `first`.
    pub fn seconds(&mut self, name: &str, help: &str, first: f64, buckets: u16) -> Histogram {
        let histogram = Histogram::new(exponential_buckets(first, BUCKET_FACTOR, buckets));
        self.registry.register(name, help, histogram.clone());
        histogram
    }

    /// The metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => error.to_string(),
        }
    }
}
