//! Gauges of the memory that a coordinator holds: the whole process, and what replies to other processes take of it.

use saddlerelay_control::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_telemetry::registry::{Gauge, MetricRegistry};

const BYTES_PER_KILOBYTE: i64 = 1024;

/// Memory gauges of a replica.
pub struct MemoryMetrics<P: Runtime, B: Backends> {
    node: ControlNode<P, B>,
    registry: MetricRegistry,
    resident: Gauge,
    replies: Gauge,
    replies_peak: Gauge,
    replies_waiting: Gauge,
    replies_rejected: Gauge,
}

impl<P: Runtime, B: Backends> MemoryMetrics<P, B> {
    /// Registers the gauges of `node`.
    pub fn new(node: ControlNode<P, B>) -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_memory");
        Self {
            resident: registry
                .gauge("resident_bytes", "Resident memory of the process; 0 where the system does not say"),
            replies: registry.gauge("reply_bytes", "Memory reserved for large replies"),
            replies_peak: registry.gauge("reply_peak_bytes", "Most memory reserved for large replies at any time"),
            replies_waiting: registry.gauge("replies_waiting", "Requests that wait for memory for their reply"),
            replies_rejected: registry.gauge("replies_rejected", "Requests that found no memory for their reply"),
            node,
            registry,
        }
    }

    /// Encodes the gauges in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let memory = self.node.reply_memory();
        self.resident.set(resident_bytes().unwrap_or_default());
        self.replies.set(memory.used() as i64);
        self.replies_peak.set(memory.peak() as i64);
        self.replies_waiting.set(memory.waiting() as i64);
        self.replies_rejected.set(memory.timed_out() as i64);
        self.registry.encode()
    }
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> Option<i64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: i64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * BYTES_PER_KILOBYTE)
}
