//! Counts calls that cannot be read, and tells of them in the log: operators see that something else writes there.

use hyper::Method;
use saddlerelay_telemetry::registry::{Counter, MetricRegistry};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Shortest pause between two lines: whoever sends such calls for ever does not fill the log.
const LINE_PAUSE: Duration = Duration::from_secs(10);

/// Most characters of a path or a reason in a line; the caller chooses them.
const MOST_TOLD: usize = 120;

/// The calls that were refused.
pub(crate) struct RefusedCalls {
    registry: MetricRegistry,
    count: Counter,
    told_at: Cell<Option<Instant>>,
    /// Those since the last line.
    untold: Cell<u64>,
}

impl Default for RefusedCalls {
    fn default() -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_control");
        let count =
            registry.counter("calls_unreadable", "Calls of operators, trainers and engines that cannot be read");
        Self { registry, count, told_at: Cell::new(None), untold: Cell::new(0) }
    }
}

impl RefusedCalls {
    /// A call cannot be read.
    pub fn note(&self, method: &Method, path: &str, reason: &str) {
        self.count.inc();
        self.untold.set(self.untold.get() + 1);
        if self.told_at.get().is_some_and(|at| at.elapsed() < LINE_PAUSE) {
            return;
        }
        self.told_at.set(Some(Instant::now()));
        let beginning = |text: &str| text.chars().take(MOST_TOLD).collect::<String>();
        spdlog::warn!("call refused", kv: {
            method = method.as_str(),
            path = beginning(path).as_str(),
            reason = beginning(reason).as_str(),
            since_last_line = self.untold.replace(0)
        });
    }

    /// The counter in the text format of metrics.
    pub fn encode(&self) -> String {
        self.registry.encode()
    }
}
