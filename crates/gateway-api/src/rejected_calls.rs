//! Counts and logs control calls that are rejected because they are invalid or too large.

use hyper::Method;
use saddlerelay_telemetry::registry::{Counter, MetricRegistry};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Minimum interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of characters logged of a path or a reason, both of which the caller controls.
const MAX_LOGGED_CHARACTERS: usize = 120;

/// Counter and rate-limited log of rejected calls.
pub(crate) struct RejectedCalls {
    registry: MetricRegistry,
    count: Counter,
    logged_at: Cell<Option<Instant>>,
    /// Rejected calls since the last log line.
    unlogged: Cell<u64>,
}

impl Default for RejectedCalls {
    fn default() -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_control");
        let count =
            registry.counter("calls_unreadable", "Calls of operators, trainers and engines that cannot be read");
        Self { registry, count, logged_at: Cell::new(None), unlogged: Cell::new(0) }
    }
}

impl RejectedCalls {
    /// Counts a rejected call and logs it unless a line was logged within [`LOG_INTERVAL`].
    pub fn record(&self, method: &Method, path: &str, reason: &str) {
        self.count.inc();
        self.unlogged.set(self.unlogged.get() + 1);
        if self.logged_at.get().is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(Instant::now()));
        let truncated = |text: &str| text.chars().take(MAX_LOGGED_CHARACTERS).collect::<String>();
        spdlog::warn!("control call rejected", kv: {
            method = method.as_str(),
            path = truncated(path).as_str(),
            reason = truncated(reason).as_str(),
            since_last_line = self.unlogged.replace(0)
        });
    }

    /// Encodes the counter in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        self.registry.encode()
    }
}
