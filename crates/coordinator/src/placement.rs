//! Chooses the engine for an item, and says which engines may run it at all.

use crate::job_run::ItemRun;
use crate::plan::{Engine, PlanOfJob};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::routing::Route;

/// How much of an engine's slots an item's own group is worth: it keeps their shared prompt.
const SAME_GROUP_BONUS: f64 = 0.15;

/// How many times as slow as the fastest an engine may be for it to be used like the others.
const SLOW_FACTOR: f64 = 1.6;

/// Cost of an engine that is far slower than the others, or no longer reports itself.
const DOUBTFUL_COST: f64 = 10.0;

/// How much a full engine's events are slower than an empty one's.
const FULLNESS_COST: f64 = 0.1;

/// An item is long that is expected to take so many times the mean of its job.
const LONG_FACTOR: f64 = 1.5;

/// Sound engines for which an item rather waits than go to a doubtful one.
const ENOUGH_SOUND_ENGINES: usize = 2;

/// An engine that serves a job's route and has weights that its items may be made with.
pub(crate) struct FittingEngine<'a> {
    pub engine: &'a Engine,
    /// The version of the job's model that it has; `None` for a job without a model.
    pub version: Option<u64>,
}

impl FittingEngine<'_> {
    /// Whether the engine's version may go on with what the item has.
    fn may_go_on(&self, run: &ItemRun, single_version: bool) -> bool {
        if !single_version || self.version.is_none() {
            return true;
        }
        let begun_with = run.text.borrow().versions().first().copied();
        begun_with.is_none() || begun_with == self.version
    }
}

/// The engines that a job's items may go to, with room or without.
pub(crate) fn fitting_engines<'a, B: Backends>(of: &PlanOfJob<'a, '_, B>, route: &Route) -> Vec<FittingEngine<'a>> {
    let submission = &of.job.submission;
    let fitting = |engine: &'a Engine| {
        let Some(model) = &submission.model else {
            return Some(FittingEngine { engine, version: None });
        };
        let version = engine.weights.get(model).copied().filter(|version| *version >= submission.minimum_version)?;
        Some(FittingEngine { engine, version: Some(version) })
    };
    of.round.engines.iter().filter(|engine| route.serves(&engine.service)).filter_map(fitting).collect()
}

/// Engines that an item may go to now.
pub(crate) fn usable_engines<'b, 'a, B: Backends>(
    of: &'b PlanOfJob<'a, '_, B>,
    route: &'b Route,
    index: u32,
) -> impl Iterator<Item = &'b FittingEngine<'a>> + use<'a, 'b, B> {
    let run = &of.run.items[index as usize];
    let single_version = route.batch.single_version;
    of.fitting.iter().filter(move |fitting| fitting.engine.has_room() && fitting.may_go_on(run, single_version))
}

/// The engine for an item: the fastest for a long one, the emptiest for the others.
pub(crate) fn choose_engine<'b, 'a, B: Backends>(
    of: &'b PlanOfJob<'a, '_, B>,
    route: &'b Route,
    index: u32,
) -> Option<&'b FittingEngine<'a>> {
    let run = &of.run.items[index as usize];
    let item = &of.job.submission.items[index as usize];
    let group_engine = of.run.group_engines.get(&item.group);
    let fastest = of.round.fastest;
    let is_long = run.expected_events >= of.run.mean_events * LONG_FACTOR || run.text.borrow().events() > 0;
    let cost = |engine: &Engine| {
        let doubtful = engine.silent || engine.pace > fastest * SLOW_FACTOR;
        let doubt = if doubtful { DOUBTFUL_COST } else { 0.0 };
        let avoided = run.avoid.as_ref() == Some(&engine.target.instance);
        let avoidance = if avoided { 2.0 * DOUBTFUL_COST } else { 0.0 };
        let own = if is_long {
            engine.pace / fastest * (1.0 + FULLNESS_COST * engine.fullness())
        } else {
            let bonus = if group_engine == Some(&engine.target.instance) { SAME_GROUP_BONUS } else { 0.0 };
            engine.fullness() - bonus
        };
        own + doubt + avoidance
    };
    let costs = usable_engines(of, route, index).map(|fitting| (cost(fitting.engine), fitting));
    let (least, best) = costs.min_by(|(left, _), (right, _)| left.total_cmp(right))?;
    // Rather than run for long where it is slow, an item waits for room where it is not.
    let others_suffice = || sound_engines(of, route, run) >= ENOUGH_SOUND_ENGINES;
    (least < DOUBTFUL_COST || !others_suffice()).then_some(best)
}

/// Engines that serve the route with the right weights and are neither slow nor silent, with room or without.
fn sound_engines<B: Backends>(of: &PlanOfJob<'_, '_, B>, route: &Route, run: &ItemRun) -> usize {
    let sound = |fitting: &&FittingEngine| {
        let engine = fitting.engine;
        let slow = engine.pace > of.round.fastest * SLOW_FACTOR;
        let avoided = run.avoid.as_ref() == Some(&engine.target.instance);
        !slow && !engine.silent && !avoided && fitting.may_go_on(run, route.batch.single_version)
    };
    of.fitting.iter().filter(sound).count()
}
