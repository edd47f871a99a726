//! Counters and latency histograms of a gateway.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::time::Duration;

/// What a gateway has done since it started.
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests taken.
    pub requests: Counter,
    /// Answers of engines passed on.
    pub answered: Counter,
    /// Requests refused that have not run.
    pub refused: Counter,
    /// Requests that failed and may have run.
    pub failed: Counter,
    /// Attempts beyond a request's first.
    pub retries: Counter,
    /// Requests tried at a second engine because the first was slow.
    pub hedges: Counter,
    /// Times that the lease ended.
    pub leases_lost: Counter,
    /// From a request's arrival to the end of its answer, in seconds.
    pub request_seconds: Histogram,
    /// From an attempt's start to the end of its answer, in seconds.
    pub attempt_seconds: Histogram,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("saddlerelay_gateway");
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let requests = counter("requests", "Requests taken");
        let answered = counter("answered", "Answers of engines passed on");
        let refused = counter("refused", "Requests refused that have not run");
        let failed = counter("failed", "Requests that failed and may have run");
        let retries = counter("retries", "Attempts beyond a request's first");
        let hedges = counter("hedges", "Requests tried at a second engine because the first was slow");
        let leases_lost = counter("leases_lost", "Times that the lease ended");
        let mut histogram = |name: &str, help: &str| {
            let histogram = Histogram::new(exponential_buckets(0.001, 2.0, 15));
            registry.register(name, help, histogram.clone());
            histogram
        };
        let request_seconds = histogram("request_seconds", "From a request's arrival to the end of its answer");
        let attempt_seconds = histogram("attempt_seconds", "From an attempt's start to the end of its answer");
        Self {
            registry,
            requests,
            answered,
            refused,
            failed,
            retries,
            hedges,
            leases_lost,
            request_seconds,
            attempt_seconds,
        }
    }
}

impl GatewayMetrics {
    /// Records an attempt's length.
    pub fn observe_attempt(&self, length: Duration) {
        self.attempt_seconds.observe(length.as_secs_f64());
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
