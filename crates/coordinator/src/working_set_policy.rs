//! How many engines of a service the leader works with.
//!
//! The pattern that this answers: trainers that each hand a job of some hundred items in every few seconds, before thousands
//! of engines. Six trainers with 208 items each want 35 engines of 6 slots for a step; all 9,625 would have to be told of
//! each new version.

/// Steps of one model whose items run at the same time: the next one begins while the longest texts of the one before are
/// still being made (7 s of a step each 4 s).
const STEPS_AT_ONCE: f64 = 2.0;

/// Engines for each one that the items fill. A quarter more: a zone of five may be lost, or a quarter of the engines be
/// changing weights or leaving, without an item waiting.
const RESERVE: f64 = 1.25;

/// Items of a job, as long as none of a model has been seen. Jobs of 180 to 210 items have been the rule; the first job
/// corrects it at once.
const UNKNOWN_JOB_ITEMS: u32 = 200;

/// Fewest engines of a model: with less, what one engine's end takes with it is much of a step.
const FEWEST_PER_MODEL: usize = 8;

/// What batch jobs ask of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelDemand {
    /// Items of the largest job that has been seen; `None` before the first.
    pub largest_job: Option<u32>,
}

/// What batch jobs ask of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceDemand {
    /// Engines that may be given work and report themselves.
    pub ready: usize,
    /// Items that one of them runs at once.
    pub slots: u32,
    /// The service's models; one without a name where jobs name none.
    pub models: Vec<ModelDemand>,
}

/// Chooses how many engines of a service the leader works with.
pub trait WorkingSetPolicy {
    /// So many; more than there are means all.
    fn engines(&self, demand: &ServiceDemand) -> usize;
}

/// All there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllEngines;

impl WorkingSetPolicy for AllEngines {
    fn engines(&self, _demand: &ServiceDemand) -> usize {
        usize::MAX
    }
}

/// The same number for each model, whatever its jobs ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FixedPerModel {
    /// The number.
    pub engines: usize,
}

impl WorkingSetPolicy for FixedPerModel {
    fn engines(&self, demand: &ServiceDemand) -> usize {
        self.engines * demand.models.len().max(1)
    }
}

/// As many as the items of the models' steps fill, and a reserve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandWithReserve;

impl WorkingSetPolicy for DemandWithReserve {
    fn engines(&self, demand: &ServiceDemand) -> usize {
        let slots = f64::from(demand.slots.max(1));
        let of_model = |model: &ModelDemand| {
            let items = f64::from(model.largest_job.unwrap_or(UNKNOWN_JOB_ITEMS));
            let filled = items * STEPS_AT_ONCE / slots;
            ((filled * RESERVE).ceil() as usize).max(FEWEST_PER_MODEL)
        };
        let nobody_asked = [ModelDemand::default()];
        let models = if demand.models.is_empty() { nobody_asked.as_slice() } else { &demand.models };
        models.iter().map(of_model).sum()
    }
}
