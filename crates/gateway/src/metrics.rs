//! Counters and latency histograms of a gateway.

use saddlerelay_telemetry::registry::{Counter, Histogram, MetricRegistry};
use std::time::Duration;

/// What a gateway has done since it started.
pub struct GatewayMetrics {
    registry: MetricRegistry,
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
    /// Engines found to have ended under a request of this relay.
    pub engines_ended: Counter,
    /// Requests not sent on because engines have ended under their work.
    pub kept_from_engines: Counter,
    /// Calls with an unknown key, or with none where one is needed.
    pub keys_refused: Counter,
    /// Requests of tenants that engines have begun.
    pub usage_counted: Counter,
    /// Times that the lease ended.
    pub leases_lost: Counter,
    /// Seconds without a lease, each told in the log with what the asked replicas answered.
    pub searches_told: Counter,
    /// Reads of results that a replica in the own zone answered.
    pub results_read_nearby: Counter,
    /// From a request's arrival to the end of its answer, in seconds.
    pub request_seconds: Histogram,
    /// From an attempt's start to the end of its answer, in seconds.
    pub attempt_seconds: Histogram,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_gateway");
        let mut counter = |name: &str, help: &str| registry.counter(name, help);
        let requests = counter("requests", "Requests taken");
        let answered = counter("answered", "Answers of engines passed on");
        let refused = counter("refused", "Requests refused that have not run");
        let failed = counter("failed", "Requests that failed and may have run");
        let retries = counter("retries", "Attempts beyond a request's first");
        let hedges = counter("hedges", "Requests tried at a second engine because the first was slow");
        let engines_ended = counter("engines_ended", "Engines found to have ended under a request");
        let kept_from_engines =
            counter("kept_from_engines", "Requests not sent on because engines have ended under their work");
        let keys_refused = counter("keys_refused", "Calls with an unknown key, or with none where one is needed");
        let usage_counted = counter("usage_counted", "Requests of tenants that engines have begun");
        let leases_lost = counter("leases_lost", "Times that the lease ended");
        let searches_told = counter("control_searches_told", "Seconds without a lease, each told in the log");
        let results_read_nearby =
            counter("results_read_nearby", "Reads of results answered by a replica in the own zone");
        let mut histogram = |name: &str, help: &str| registry.seconds(name, help, 0.001, 15);
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
            engines_ended,
            kept_from_engines,
            keys_refused,
            usage_counted,
            leases_lost,
            searches_told,
            results_read_nearby,
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
        self.registry.encode()
    }
}
