//! Counters of connections that the server ended and of requests that it refused for lack of memory.

use crate::connection_state::{CloseReason, Phase};
use saddlerelay_runtime::repeated_event::RepeatedEvent;
use saddlerelay_telemetry::registry::{Counter, Gauge, MetricRegistry};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;

const REASONS: [CloseReason; 6] = [
    CloseReason::HeadTooLarge,
    CloseReason::HeadTimeout,
    CloseReason::IdleTimeout,
    CloseReason::UnreadResponse,
    CloseReason::ConnectionLimit,
    CloseReason::MemoryLimit,
];

const PHASES: [(Phase, &str); 6] = [
    (Phase::Idle, "idle"),
    (Phase::Head, "head"),
    (Phase::Body, "body"),
    (Phase::Handling, "handling"),
    (Phase::Response, "response"),
    (Phase::Discarding, "discarding"),
];

/// State of a process's clients at the time of a log line or of a scrape.
pub(crate) struct Load {
    /// Open connections by phase.
    pub connections: BTreeMap<Phase, usize>,
    /// Reserved memory, in bytes.
    pub memory: usize,
}

/// Metrics of all listeners of a process.
pub(crate) struct ClientMetrics {
    registry: MetricRegistry,
    closed: BTreeMap<CloseReason, Counter>,
    refused: Counter,
    not_accepted: Counter,
    connections: BTreeMap<Phase, Gauge>,
    memory: Gauge,
    started_at: Instant,
    lines: RefCell<BTreeMap<&'static str, RepeatedEvent>>,
}

impl Default for ClientMetrics {
    fn default() -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_clients");
        let closed = REASONS.map(|reason| {
            let name = format!("closed_{}", reason.as_str());
            (reason, registry.counter(&name, "Connections of clients that the server ended for this reason"))
        });
        let connections = PHASES.map(|(phase, name)| {
            (phase, registry.gauge(&format!("connections_{name}"), "Open connections of clients in this phase"))
        });
        Self {
            closed: BTreeMap::from(closed),
            refused: registry.counter("refused_memory", "Requests and responses refused because memory runs short"),
            not_accepted: registry.counter("accept_failures", "Connections that could not be accepted"),
            connections: BTreeMap::from(connections),
            memory: registry.gauge("memory_bytes", "Memory reserved for requests and responses, in bytes"),
            registry,
            started_at: Instant::now(),
            lines: RefCell::default(),
        }
    }
}

impl ClientMetrics {
    /// Counts a connection that the server ends, and logs it at most once a second for each reason.
    pub fn record_close(&self, reason: CloseReason, load: &Load) {
        if let Some(counter) = self.closed.get(&reason) {
            counter.inc();
        }
        self.log("client connection closed", reason.as_str(), load);
    }

    /// Counts a request or response that is refused because memory runs short.
    pub fn record_refusal(&self, load: &Load) {
        self.refused.inc();
        self.log("client request refused", "no_memory", load);
    }

    /// Counts a failed accept.
    pub fn record_accept_failure(&self, load: &Load) {
        self.not_accepted.inc();
        self.log("client connection not accepted", "accept_failed", load);
    }

    fn log(&self, event: &str, reason: &'static str, load: &Load) {
        let mut lines = self.lines.borrow_mut();
        if let Some(count) = lines.entry(reason).or_default().count(self.started_at.elapsed()) {
            spdlog::warn!("{}", event, kv: {
                reason = reason,
                count = count,
                connections = load.connections.values().sum::<usize>(),
                memory_bytes = load.memory
            });
        }
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode(&self, load: &Load) -> String {
        for (phase, gauge) in &self.connections {
            gauge.set(load.connections.get(phase).copied().unwrap_or(0) as i64);
        }
        self.memory.set(load.memory as i64);
        self.registry.encode()
    }
}
