//! Metrics collected at scrape time, in the OpenMetrics text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use saddlerelay_runtime::Traffic;

/// Content type of the OpenMetrics text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Metrics of one scrape.
pub struct MetricSet {
    registry: Registry,
}

impl Default for MetricSet {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricSet {
    /// An empty set; all names get the prefix `saddlerelay`.
    pub fn new() -> Self {
        Self { registry: Registry::with_prefix("saddlerelay") }
    }

    /// Adds a counter with its current value.
    pub fn counter(mut self, name: &str, help: &str, value: u64) -> Self {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.registry.register(name, help, counter);
        self
    }

    /// Adds a gauge with its current value.
    pub fn gauge(mut self, name: &str, help: &str, value: i64) -> Self {
        let gauge: Gauge = Gauge::default();
        gauge.set(value);
        self.registry.register(name, help, gauge);
        self
    }

    /// Adds counters of the traffic with peers.
    pub fn traffic(self, traffic: Traffic) -> Self {
        self.counter("peer_sent_bytes", "Bytes of frames sent to peers", traffic.sent_bytes)
            .counter("peer_sent_frames", "Frames sent to peers", traffic.sent_frames)
            .counter("peer_received_bytes", "Bytes of frames received from peers", traffic.received_bytes)
            .counter("peer_received_frames", "Frames received from peers", traffic.received_frames)
    }

    /// Encodes the set in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => error.to_string(),
        }
    }
}
