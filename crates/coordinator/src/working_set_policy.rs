//! Policies that choose the size of a service's working set.

/// Number of steps of a model whose items run at the same time, as a step starts while the longest texts of the
/// previous one are still being generated: a step every 4 s whose longest texts take 7 s.
const CONCURRENT_STEPS: f64 = 2.0;

/// Factor on the number of engines that the items fill; covers the loss of one of five zones, or engines that are
/// loading weights or draining.
const HEADROOM_FACTOR: f64 = 1.25;

/// Assumed number of items of a job before the first job of a model. Jobs have had 180 to 210 items.
const DEFAULT_JOB_ITEMS: u32 = 200;

/// Minimum number of engines per model; limits the share of a step's items that are lost with one engine.
const MIN_ENGINES_PER_MODEL: usize = 8;

/// Demand of batch jobs for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelDemand {
    /// Number of items of the largest job so far; `None` before the first job.
    pub largest_job: Option<u32>,
}

/// Demand of batch jobs for one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceDemand {
    /// Number of ready, reporting engines.
    pub ready: usize,
    /// Number of items that one engine runs concurrently.
    pub slots: u32,
    /// Demand of each model; includes an entry for jobs without a model, if there were any.
    pub models: Vec<ModelDemand>,
}

/// Chooses the size of a service's working set.
pub trait WorkingSetPolicy {
    /// Number of engines; a number above the existing engines selects all.
    fn engines(&self, demand: &ServiceDemand) -> usize;
}

/// Selects all engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllEngines;

impl WorkingSetPolicy for AllEngines {
    fn engines(&self, _demand: &ServiceDemand) -> usize {
        usize::MAX
    }
}

/// Selects a fixed number of engines per model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FixedPerModel {
    /// Engines per model.
    pub engines: usize,
}

impl WorkingSetPolicy for FixedPerModel {
    fn engines(&self, demand: &ServiceDemand) -> usize {
        self.engines * demand.models.len().max(1)
    }
}

/// Selects as many engines as the items of concurrent steps fill, plus headroom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandWithHeadroom;

impl WorkingSetPolicy for DemandWithHeadroom {
    fn engines(&self, demand: &ServiceDemand) -> usize {
        let slots = f64::from(demand.slots.max(1));
        let model_engines = |model: &ModelDemand| {
            let items = f64::from(model.largest_job.unwrap_or(DEFAULT_JOB_ITEMS));
            let filled_engines = items * CONCURRENT_STEPS / slots;
            ((filled_engines * HEADROOM_FACTOR).ceil() as usize).max(MIN_ENGINES_PER_MODEL)
        };
        let default_models = [ModelDemand::default()];
        let models = if demand.models.is_empty() { default_models.as_slice() } else { &demand.models };
        models.iter().map(model_engines).sum()
    }
}
