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
    /// One for each content of large replies, in the order of [`ControlNode::reply_memory`].
    replies: Vec<ReplyGauges>,
}

struct ReplyGauges {
    used: Gauge,
    peak: Gauge,
    waiting: Gauge,
    rejected: Gauge,
}

impl ReplyGauges {
    fn register(registry: &mut MetricRegistry, content: &str) -> Self {
        let mut gauge = |name: &str, help: &str| {
            registry.gauge(&format!("reply_{content}_{name}"), &format!("Large replies with {content}: {help}"))
        };
        Self {
            used: gauge("bytes", "memory reserved"),
            peak: gauge("peak_bytes", "most memory reserved at any time"),
            waiting: gauge("waiting", "requests that wait for memory"),
            rejected: gauge("rejected", "requests that found no memory"),
        }
    }
}

impl<P: Runtime, B: Backends> MemoryMetrics<P, B> {
    /// Registers the gauges of `node`.
    pub fn new(node: ControlNode<P, B>) -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_memory");
        let contents: Vec<&str> = node.reply_memory().into_iter().map(|(content, _)| content).collect();
        Self {
            resident: registry
                .gauge("resident_bytes", "Resident memory of the process; 0 where the system does not say"),
            replies: contents.iter().map(|content| ReplyGauges::register(&mut registry, content)).collect(),
            node,
            registry,
        }
    }

    /// Encodes the gauges in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        self.resident.set(resident_bytes().unwrap_or_default());
        for ((_, memory), gauges) in self.node.reply_memory().into_iter().zip(&self.replies) {
            gauges.used.set(memory.used() as i64);
            gauges.peak.set(memory.peak() as i64);
            gauges.waiting.set(memory.waiting() as i64);
            gauges.rejected.set(memory.timed_out() as i64);
        }
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
