//! What this relay itself has seen of each engine: requests in flight, reported load, failures.

use saddlerelay_types::engine::EngineLoad;
use saddlerelay_types::identity::EngineId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Failures in a row after which an engine is ejected.
const EJECTION_FAILURES: u32 = 3;

/// First ejection; each further one in a row doubles it.
const EJECTION_BASE: Duration = Duration::from_millis(1000);

/// Longest ejection.
const EJECTION_LIMIT: Duration = Duration::from_secs(30);

/// One engine as seen from here.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineUse {
    /// Requests of this relay that it runs, samples included.
    pub in_flight: u32,
    /// Samples among them.
    pub rollouts: u32,
    /// Its newest report.
    pub reported: EngineLoad,
    /// When the report came.
    pub reported_at: Duration,
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
}

/// Every engine. Clones share the table.
#[derive(Clone, Default)]
pub struct Registry {
    engines: Rc<RefCell<BTreeMap<EngineId, EngineUse>>>,
}

/// Counts one request as in flight until dropped.
pub struct InFlight {
    registry: Registry,
    engine: EngineId,
    rollout: bool,
}

impl Registry {
    /// One engine.
    pub fn get(&self, engine: &EngineId) -> EngineUse {
        self.engines.borrow().get(engine).copied().unwrap_or_default()
    }

    /// Whether the engine is ejected for its failures. Once the time is over, one request at a time tries it again.
    pub fn is_ejected(&self, engine: &EngineId, now: Duration) -> bool {
        let seen = self.get(engine);
        let on_trial = seen.failures >= EJECTION_FAILURES && seen.in_flight > 0;
        now < seen.ejected_until || on_trial
    }

    /// Counts a request to `engine` until the answer is dropped.
    pub fn begin(&self, engine: &EngineId, rollout: bool) -> InFlight {
        let mut engines = self.engines.borrow_mut();
        let seen = engines.entry(engine.clone()).or_default();
        seen.in_flight += 1;
        seen.rollouts += u32::from(rollout);
        InFlight { registry: self.clone(), engine: engine.clone(), rollout }
    }

    /// Records a report.
    pub fn record_load(&self, engine: &EngineId, load: EngineLoad, now: Duration) {
        let mut engines = self.engines.borrow_mut();
        let seen = engines.entry(engine.clone()).or_default();
        seen.reported = load;
        seen.reported_at = now;
    }

    /// Records that the engine answered.
    pub fn record_success(&self, engine: &EngineId) {
        let mut engines = self.engines.borrow_mut();
        let seen = engines.entry(engine.clone()).or_default();
        seen.failures = 0;
        seen.ejections = 0;
    }

    /// Records a failure; enough in a row eject the engine.
    pub fn record_failure(&self, engine: &EngineId, now: Duration) {
        let mut engines = self.engines.borrow_mut();
        let seen = engines.entry(engine.clone()).or_default();
        seen.failures += 1;
        if seen.failures >= EJECTION_FAILURES {
            let length = EJECTION_BASE * 2u32.pow(seen.ejections.min(5));
            seen.ejected_until = now + length.min(EJECTION_LIMIT);
            seen.ejections += 1;
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut engines = self.registry.engines.borrow_mut();
        if let Some(seen) = engines.get_mut(&self.engine) {
            seen.in_flight -= 1;
            seen.rollouts -= u32::from(self.rollout);
        }
    }
}
