//! Chooses the engine for an item, and says which engines may run it at all.

use crate::job_run::ItemRun;
use crate::plan::{Engine, PlanOfJob};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::instance::InstanceId;
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

/// Items at an engine, and those planned in this round.
fn load<B: Backends>(of: &PlanOfJob<'_, '_, B>, engine: &Engine) -> u32 {
    let instance = &engine.target.instance;
    of.inner.fleet.in_flight(instance) + of.planned.get(instance).copied().unwrap_or(0)
}

/// Engines that serve the route, have room, and have the right weights.
pub(crate) fn usable_engines<'a, 'b, 's, B: Backends>(
    of: &'b PlanOfJob<'a, 's, B>,
    route: &'b Route,
    index: u32,
) -> impl Iterator<Item = &'a Engine> + use<'a, 'b, 's, B> {
    let run = &of.run.items[index as usize];
    of.engines.iter().filter(move |engine| {
        route.serves(&engine.service)
            && load(of, engine) < engine.slots
            && version_fits(of, route, run, &engine.target.instance)
    })
}

/// The engine for an item: the fastest for a long one, the emptiest for the others.
pub(crate) fn choose_engine<'a, B: Backends>(
    of: &PlanOfJob<'a, '_, B>,
    route: &Route,
    index: u32,
) -> Option<&'a Engine> {
    let run = &of.run.items[index as usize];
    let item = &of.job.submission.items[index as usize];
    let group_engine = of.run.group_engines.get(&item.group);
    let pace = |engine: &Engine| of.paces.of(&engine.target.instance);
    let fastest = of.engines.iter().map(pace).fold(f64::INFINITY, f64::min);
    let is_long = run.expected_events >= of.run.mean_events * LONG_FACTOR || run.text.borrow().events() > 0;
    let cost = |engine: &Engine| {
        let fullness = f64::from(load(of, engine)) / f64::from(engine.slots.max(1));
        let doubtful = engine.silent || pace(engine) > fastest * SLOW_FACTOR;
        let doubt = if doubtful { DOUBTFUL_COST } else { 0.0 };
        let avoided = run.avoid.as_ref() == Some(&engine.target.instance);
        let avoidance = if avoided { 2.0 * DOUBTFUL_COST } else { 0.0 };
        let own = if is_long {
            pace(engine) / fastest * (1.0 + FULLNESS_COST * fullness)
        } else {
            let bonus = if group_engine == Some(&engine.target.instance) { SAME_GROUP_BONUS } else { 0.0 };
            fullness - bonus
        };
        own + doubt + avoidance
    };
    let usable: Vec<&Engine> = usable_engines(of, route, index).collect();
    let best = usable.into_iter().min_by(|left, right| cost(left).total_cmp(&cost(right)))?;
    // Rather than run for long where it is slow, an item waits for room where it is not.
    let others_suffice = || sound_engines(of, route, run, fastest) >= ENOUGH_SOUND_ENGINES;
    (cost(best) < DOUBTFUL_COST || !others_suffice()).then_some(best)
}

/// Engines that serve the route with the right weights and are neither slow nor silent, with room or without.
fn sound_engines<B: Backends>(of: &PlanOfJob<'_, '_, B>, route: &Route, run: &ItemRun, fastest: f64) -> usize {
    let sound = |engine: &&Engine| {
        let instance = &engine.target.instance;
        let slow = of.paces.of(instance) > fastest * SLOW_FACTOR;
        !slow && !engine.silent && run.avoid.as_ref() != Some(instance) && version_fits(of, route, run, instance)
    };
    of.engines.iter().filter(|engine| route.serves(&engine.service)).filter(sound).count()
}

fn version_fits<B: Backends>(of: &PlanOfJob<'_, '_, B>, route: &Route, run: &ItemRun, instance: &InstanceId) -> bool {
    let submission = &of.job.submission;
    let Some(model) = &submission.model else {
        return true;
    };
    let fleet = &of.inner.fleet;
    if fleet.is_loading(instance, model) {
        return false;
    }
    let Some(version) = fleet.version(instance, model) else {
        return false;
    };
    let text = run.text.borrow();
    let must_match = route.batch.single_version.then(|| text.versions().first().copied()).flatten();
    version >= submission.minimum_version && must_match.is_none_or(|wanted| wanted == version)
}
