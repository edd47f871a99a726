//! Chooses the engine for an item among the eligible ones.

use crate::by_completion;
use crate::job_run::ItemRun;
use crate::plan::{Engine, JobContext};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::routing::Route;

/// Cost reduction, as a fraction of slots in use, for the engine that the item's group was last sent to, as its cache
/// contains the group's shared prompt.
const SAME_GROUP_BONUS: f64 = 0.15;

/// An engine is slow if its pace exceeds the fastest engine's by this factor.
const SLOW_FACTOR: f64 = 1.6;

/// Added cost of a degraded (slow or non-reporting) engine; exceeds the cost of any healthy one.
const DEGRADED_COST: f64 = 10.0;

/// Relative slowdown of a full engine compared with an empty one.
const FULLNESS_COST: f64 = 0.1;

/// An item is long if its expected length is at least this multiple of its job's mean.
pub(crate) const LONG_FACTOR: f64 = 1.5;

/// With at least this many healthy engines, an item waits rather than run on a degraded one.
const SUFFICIENT_HEALTHY_ENGINES: usize = 2;

/// An engine that serves a job's route with a weight version that the job accepts.
pub(crate) struct EligibleEngine<'a> {
    pub engine: &'a Engine,
    /// Its version of the job's model; `None` for a job without a model.
    pub version: Option<u64>,
}

impl EligibleEngine<'_> {
    /// Whether the engine's version may continue the item's text.
    pub fn may_continue(&self, run: &ItemRun, single_version: bool) -> bool {
        if !single_version || self.version.is_none() {
            return true;
        }
        let first_version = run.text.borrow().versions().first().copied();
        first_version.is_none() || first_version == self.version
    }
}

/// Engines that a job's items may run on, including full ones.
pub(crate) fn eligible_engines<'a, B: Backends>(
    context: &JobContext<'a, '_, B>,
    route: &Route,
) -> Vec<EligibleEngine<'a>> {
    let submission = &context.job.submission;
    let as_eligible = |engine: &'a Engine| {
        let Some(model) = &submission.model else {
            return Some(EligibleEngine { engine, version: None });
        };
        let version = engine.weights.get(model).copied().filter(|version| *version >= submission.minimum_version)?;
        Some(EligibleEngine { engine, version: Some(version) })
    };
    context.round.engines.iter().filter(|engine| route.serves(&engine.service)).filter_map(as_eligible).collect()
}

/// Eligible engines with a free slot whose version may continue the item's text.
pub(crate) fn usable_engines<'b, 'a, B: Backends>(
    context: &'b JobContext<'a, '_, B>,
    route: &'b Route,
    index: u32,
) -> impl Iterator<Item = &'b EligibleEngine<'a>> + use<'a, 'b, B> {
    let run = &context.run.items[index as usize];
    let single_version = route.batch.single_version;
    let (spares_long_texts, now) = (context.spares_long_texts, context.now);
    context
        .eligible
        .iter()
        .filter(move |candidate| candidate.engine.has_free_slot() && candidate.may_continue(run, single_version))
        .filter(move |candidate| !spares_long_texts || candidate.engine.allows_neighbor(now))
}

/// The engine for an item: by expected completion where that is active; otherwise the fastest for a long or partly
/// generated one, the least loaded for others.
pub(crate) fn choose_engine<'b, 'a, B: Backends>(
    context: &'b JobContext<'a, '_, B>,
    route: &'b Route,
    index: u32,
) -> Option<&'b EligibleEngine<'a>> {
    if by_completion::is_active(context) {
        return by_completion::choose_engine(context, route, index);
    }
    let run = &context.run.items[index as usize];
    let item = &context.job.submission.items[index as usize];
    let group_engine = context.run.group_engines.get(&item.group);
    let fastest = context.round.fastest;
    let is_long = run.expected_events >= context.run.mean_events * LONG_FACTOR || run.text.borrow().events() > 0;
    let cost = |engine: &Engine| {
        let degraded = engine.silent || engine.pace > fastest * SLOW_FACTOR;
        let degraded_cost = if degraded { DEGRADED_COST } else { 0.0 };
        let avoided = run.avoid.as_ref() == Some(&engine.target.instance);
        let avoided_cost = if avoided { 2.0 * DEGRADED_COST } else { 0.0 };
        let base_cost = if is_long {
            engine.pace / fastest * (1.0 + FULLNESS_COST * engine.fullness())
        } else {
            let bonus = if group_engine == Some(&engine.target.instance) { SAME_GROUP_BONUS } else { 0.0 };
            engine.fullness() - bonus
        };
        base_cost + degraded_cost + avoided_cost
    };
    let costs = usable_engines(context, route, index).map(|candidate| (cost(candidate.engine), candidate));
    let (lowest_cost, best) = costs.min_by(|(left, _), (right, _)| left.total_cmp(right))?;
    // Wait for a free slot on a healthy engine rather than run on a degraded one.
    let enough_healthy = || healthy_engines(context, route, run) >= SUFFICIENT_HEALTHY_ENGINES;
    (lowest_cost < DEGRADED_COST || !enough_healthy()).then_some(best)
}

/// Eligible engines that are neither slow nor non-reporting, including full ones.
fn healthy_engines<B: Backends>(context: &JobContext<'_, '_, B>, route: &Route, run: &ItemRun) -> usize {
    let healthy = |candidate: &&EligibleEngine| {
        let engine = candidate.engine;
        let slow = engine.pace > context.round.fastest * SLOW_FACTOR;
        let avoided = run.avoid.as_ref() == Some(&engine.target.instance);
        !slow && !engine.silent && !avoided && candidate.may_continue(run, route.batch.single_version)
    };
    context.eligible.iter().filter(healthy).count()
}
