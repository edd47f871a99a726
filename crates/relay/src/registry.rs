//! Requests in flight, reported load and consecutive failures of each engine, as observed by this relay.

use saddlerelay_types::engine::EngineLoad;
use saddlerelay_types::identity::EngineId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Number of consecutive failures that ejects an engine.
const EJECTION_THRESHOLD: u32 = 3;

/// Duration of the first ejection; doubles with each consecutive one.
const FIRST_EJECTION: Duration = Duration::from_millis(1000);

/// Maximum ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Load and health of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineStats {
    /// Requests of this relay in flight, including samples.
    pub in_flight: u32,
    /// Samples of this relay in flight.
    pub rollouts: u32,
    /// The newest load report.
    pub reported: EngineLoad,
    /// When that report arrived, in the relay's monotonic time.
    pub reported_at: Duration,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Duration,
}

/// The engines' load and health. Clones share state.
#[derive(Clone, Default)]
pub struct Registry {
    engines: Rc<RefCell<BTreeMap<EngineId, EngineStats>>>,
}

/// Counts one request as in flight until dropped.
pub struct InFlight {
    registry: Registry,
    engine: EngineId,
    is_rollout: bool,
}

impl Registry {
    /// Load and health of `engine`; default values if nothing is recorded.
    pub fn get(&self, engine: &EngineId) -> EngineStats {
        self.engines.borrow().get(engine).copied().unwrap_or_default()
    }

    /// Whether the engine is ejected. After the ejection time, one request at a time probes it until one succeeds.
    pub fn is_ejected(&self, engine: &EngineId, now: Duration) -> bool {
        let stats = self.get(engine);
        let is_probe_in_flight = stats.consecutive_failures >= EJECTION_THRESHOLD && stats.in_flight > 0;
        now < stats.ejected_until || is_probe_in_flight
    }

    /// Counts a request to `engine` as in flight until the returned guard is dropped.
    pub fn begin(&self, engine: &EngineId, is_rollout: bool) -> InFlight {
        let mut engines = self.engines.borrow_mut();
        let stats = engines.entry(engine.clone()).or_default();
        stats.in_flight += 1;
        stats.rollouts += u32::from(is_rollout);
        InFlight { registry: self.clone(), engine: engine.clone(), is_rollout }
    }

    /// Records a load report.
    pub fn record_load(&self, engine: &EngineId, load: EngineLoad, now: Duration) {
        let mut engines = self.engines.borrow_mut();
        let stats = engines.entry(engine.clone()).or_default();
        stats.reported = load;
        stats.reported_at = now;
    }

    /// Records a success; resets the failure and ejection counts.
    pub fn record_success(&self, engine: &EngineId) {
        let mut engines = self.engines.borrow_mut();
        let stats = engines.entry(engine.clone()).or_default();
        stats.consecutive_failures = 0;
        stats.consecutive_ejections = 0;
    }

    /// Records a failure; ejects the engine after enough consecutive ones.
    pub fn record_failure(&self, engine: &EngineId, now: Duration) {
        let mut engines = self.engines.borrow_mut();
        let stats = engines.entry(engine.clone()).or_default();
        stats.consecutive_failures += 1;
        if stats.consecutive_failures >= EJECTION_THRESHOLD {
            let duration = FIRST_EJECTION * 2u32.pow(stats.consecutive_ejections.min(5));
            stats.ejected_until = now + duration.min(MAX_EJECTION);
            stats.consecutive_ejections += 1;
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut engines = self.registry.engines.borrow_mut();
        if let Some(stats) = engines.get_mut(&self.engine) {
            stats.in_flight -= 1;
            stats.rollouts -= u32::from(self.is_rollout);
        }
    }
}
