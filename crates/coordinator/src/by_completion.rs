//! Places and moves items by their expected completion at each engine, where that is active; see
//! [`saddlerelay_scheduling::placement`] for the decisions and [`saddlerelay_scheduling::capacity`] for the estimates.

use crate::coordinator::Inner;
use crate::job_run::Phase;
use crate::moves::{MAX_MOVES_PER_CHECK, MIN_TIME_AT_ENGINE};
use crate::placement::{EligibleEngine, usable_engines};
use crate::placement_log::describe;
use crate::plan::{Engine, JobContext, Plan};
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_scheduling::{
    Activation, Candidate, Capacities, CapacityEstimate, EngineSnapshot, PlacedWork, Placement, PlacementMethod,
    PlacementReason, RunningWork, Work, move_target, place,
};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::routing::Route;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Share of the route's `due_after_ms`, counted from the start of the job, at which texts should be complete. The
/// remainder is left for committing a text and for the trainer's read.
const DUE_SHARE: f64 = 0.9;

/// A running item that can't meet the due time anywhere is judged by the time this share of `due_after_ms` later: a step
/// that is late by a fraction of a period delays the trainer's next steps less than one that is late by several.
const LATER_SHARE: f64 = 0.5;

/// Expected time from the start of an attempt until its first event, before one was observed.
const DEFAULT_RESTART_TIME: Duration = Duration::from_millis(250);

/// A text continues at one of at most two further engines, and never at the one that it has just left, so that it is
/// not moved back and forth.
const MAX_MOVES_PER_ITEM: u32 = 2;

/// Sets the capacity of the engines whose items are placed by expected completion. Returns the capacities of all engines,
/// or `None` if there are no such engines.
pub(crate) fn assign_capacities<B: Backends>(
    inner: &Inner<B>,
    engines: &mut [Engine],
    now: Duration,
) -> Option<Capacities> {
    let setting = inner.config.placement;
    if setting == Activation::Off {
        return None;
    }
    let fleet = &inner.fleet;
    for engine in engines.iter().filter(|engine| fleet.reports_work_time(&engine.target.instance)) {
        fleet.add_service_with_work_time(&engine.service);
    }
    let called_for = fleet.services_with_work_time();
    if !setting.is_active(!called_for.is_empty()) {
        return None;
    }
    let capacities = fleet.capacities(now);
    for engine in engines.iter_mut() {
        if setting.is_active(called_for.contains(&engine.service)) {
            engine.capacity = Some(capacities.of(&engine.target.instance));
        }
    }
    inner.placement_log.update_engines(engines, &inner.metrics.placement, now);
    Some(capacities)
}

/// Texts per second that each engine of a service runs with all slots in use, up to a constant factor; empty where items
/// are not placed by expected completion. Temporary slowdowns don't count, as a reassignment takes a weight load.
pub(crate) fn service_capacities<B: Backends>(
    inner: &Inner<B>,
    state: &ControlState,
    service: &str,
    engines: &[InstanceId],
    now: Duration,
) -> BTreeMap<InstanceId, f64> {
    if !inner.config.placement.is_active(inner.fleet.services_with_work_time().contains(service)) {
        return BTreeMap::new();
    }
    let capacities = inner.fleet.capacities(now);
    let capacity = |instance: &InstanceId| {
        let slots = state.instances.get(instance).map_or(1, |record| record.report.slots.max(1));
        let steady = CapacityEstimate { slowdown: 1.0, ..capacities.of(instance) };
        (instance.clone(), f64::from(slots) / steady.seconds_per_event(slots))
    };
    engines.iter().map(capacity).collect()
}

/// Whether the items of the job are placed by expected completion.
pub(crate) fn is_active<B: Backends>(context: &JobContext<'_, '_, B>) -> bool {
    context.eligible.iter().any(|candidate| candidate.engine.capacity.is_some())
}

/// Snapshot of an engine, which may be one of another service of the route whose capacity is not known.
fn snapshot<B: Backends>(context: &JobContext<'_, '_, B>, engine: &Engine) -> Option<EngineSnapshot> {
    let capacities = context.round.capacities.as_ref()?;
    let capacity = engine.capacity.unwrap_or_else(|| capacities.of(&engine.target.instance));
    Some(EngineSnapshot { capacity, running: engine.load(), slots: engine.slots, reporting: !engine.silent })
}

/// Snapshot of the engine that an item runs at, which may be none of the eligible ones; `None` where items are not placed
/// by expected completion.
pub(crate) fn running_engine<B: Backends>(
    context: &JobContext<'_, '_, B>,
    instance: &InstanceId,
) -> Option<EngineSnapshot> {
    let capacities = context.round.capacities.as_ref().filter(|_| is_active(context))?;
    let running = context.inner.fleet.in_flight(instance);
    Some(EngineSnapshot { capacity: capacities.of(instance), running, slots: running, reporting: true })
}

/// Time left until a share of the route's `due_after_ms` has passed since the start of the job.
fn time_left<B: Backends>(context: &JobContext<'_, '_, B>, route: &Route, due_share: f64) -> Duration {
    let due_at = context.run.started_at + Duration::from_millis(route.batch.due_after_ms).mul_f64(due_share);
    due_at.saturating_sub(context.now)
}

fn work(remaining_events: f64) -> Work {
    // Reading the prompt is part of the observed time until the first event.
    Work { remaining_events, prompt_tokens: 0 }
}

/// The engine for an item.
pub(crate) fn choose_engine<'b, 'a, B: Backends>(
    context: &'b JobContext<'a, '_, B>,
    route: &'b Route,
    index: u32,
) -> Option<&'b EligibleEngine<'a>> {
    // Spares the evaluation of each waiting item while all engines are full.
    usable_engines(context, route, index).next()?;
    let run = &context.run.items[index as usize];
    let item = &context.job.submission.items[index as usize];
    let group_engine = context.run.group_engines.get(&item.group);
    let may_run = |eligible: &&EligibleEngine<'_>| {
        let leaves_texts_in_time = !context.spares_long_texts || eligible.engine.allows_neighbor(context.now);
        leaves_texts_in_time && eligible.may_continue(run, route.batch.single_version)
    };
    let usable: Vec<&EligibleEngine<'a>> = context.eligible.iter().filter(may_run).collect();
    let candidate = |eligible: &&EligibleEngine<'_>| {
        let instance = &eligible.engine.target.instance;
        Some(Candidate {
            engine: snapshot(context, eligible.engine)?,
            has_cached_prompt: group_engine == Some(instance),
            avoided: run.avoid.as_ref() == Some(instance),
        })
    };
    let candidates = usable.iter().map(candidate).collect::<Option<Vec<Candidate>>>()?;
    let text = PlacedWork {
        work: work(run.remaining_events()),
        time_left: time_left(context, route, DUE_SHARE),
        mean_events: context.run.mean_events,
    };
    match place(PlacementMethod::InTimeClasses, &candidates, &text) {
        Placement::At { index: chosen, expected, reason } => {
            let engine = usable[chosen].engine;
            context.inner.metrics.placement.placements(reason).inc();
            log_placement(context, index, engine, &candidates[chosen], &text, expected, reason);
            Some(usable[chosen])
        }
        Placement::WaitForSlot => None,
        Placement::WaitForFasterEngine => {
            context.inner.metrics.placement.waits_for_faster.inc();
            None
        }
    }
}

fn log_placement<B: Backends>(
    context: &JobContext<'_, '_, B>,
    index: u32,
    engine: &Engine,
    candidate: &Candidate,
    text: &PlacedWork,
    expected: Duration,
    reason: PlacementReason,
) {
    let Some(suppressed) = context.inner.placement_log.admit(context.now) else {
        return;
    };
    let submission = &context.job.submission;
    let (steady_ms, present_ms, age_ms) = describe(&candidate.engine.capacity);
    spdlog::info!("item placed", kv: {
        item = submission.items[index as usize].id.0.as_str(),
        job = submission.id.0.as_str(),
        instance = engine.target.instance.name.as_str(),
        reason = reason.as_str(),
        remaining_events = text.work.remaining_events.round() as u64,
        expected_ms = expected.as_millis() as u64,
        time_left_ms = text.time_left.as_millis() as u64,
        steady_ms = steady_ms,
        present_ms = present_ms,
        age_ms = age_ms,
        in_flight = engine.load(),
        suppressed = suppressed
    });
}

/// Plans moves of running items that would miss their time and would meet it at another engine. Only items of `critical`
/// groups are moved, those with the latest expected end first.
pub(crate) fn plan_moves<B: Backends>(
    context: &mut JobContext<'_, '_, B>,
    route: &Route,
    critical: &BTreeSet<&str>,
    plan: &mut Plan,
) {
    let context = &*context;
    let mut late = late_items(context, route, critical);
    late.sort_by_key(|(_, text)| std::cmp::Reverse(text.expected_rest()));
    for (index, text) in late.into_iter().take(MAX_MOVES_PER_CHECK) {
        let run = &context.run.items[index as usize];
        let Phase::Running { instance, .. } = &run.phase else {
            continue;
        };
        let usable: Vec<&Engine> = usable_engines(context, route, index)
            .map(|eligible| eligible.engine)
            .filter(|engine| engine.target.instance != *instance)
            .collect();
        let candidate = |engine: &&Engine| {
            let avoided = run.avoid.as_ref() == Some(&engine.target.instance);
            Some(Candidate { engine: snapshot(context, engine)?, has_cached_prompt: false, avoided })
        };
        let Some(candidates) = usable.iter().map(candidate).collect::<Option<Vec<Candidate>>>() else {
            continue;
        };
        let Some(target) = move_target(&text, &candidates) else {
            continue;
        };
        usable[target].reserve_slot();
        context.inner.metrics.placement.moves.inc();
        log_move(context, index, instance, usable[target], &text);
        plan.moves.push((context.job.submission.id.clone(), index));
    }
}

/// Running items that may move and are expected to miss their time.
fn late_items<B: Backends>(
    context: &JobContext<'_, '_, B>,
    route: &Route,
    critical: &BTreeSet<&str>,
) -> Vec<(u32, RunningWork)> {
    let later_time_left = time_left(context, route, DUE_SHARE + LATER_SHARE);
    let time_left = time_left(context, route, DUE_SHARE);
    let restart_time = context.inner.fleet.restart_time().unwrap_or(DEFAULT_RESTART_TIME);
    let mut late = Vec::new();
    for (index, run) in context.run.items.iter().enumerate() {
        let Phase::Running { instance, since, .. } = &run.phase else {
            continue;
        };
        let movable = context.now >= *since + MIN_TIME_AT_ENGINE && run.text.borrow().events() > 0;
        let group = context.job.submission.items[index].group.as_str();
        if run.moves >= MAX_MOVES_PER_ITEM || !movable || !critical.contains(group) {
            continue;
        }
        let Some(engine) = running_engine(context, instance) else {
            continue;
        };
        let work = work(run.remaining_events());
        let text = RunningWork { engine, work, time_left, later_time_left, restart_time };
        if text.is_late() {
            late.push((index as u32, text));
        }
    }
    late
}

fn log_move<B: Backends>(
    context: &JobContext<'_, '_, B>,
    index: u32,
    from: &InstanceId,
    target: &Engine,
    text: &RunningWork,
) {
    let Some(suppressed) = context.inner.placement_log.admit(context.now) else {
        return;
    };
    let submission = &context.job.submission;
    let (steady_ms, present_ms, age_ms) = describe(&text.engine.capacity);
    spdlog::info!("item late where it runs, moves", kv: {
        item = submission.items[index as usize].id.0.as_str(),
        job = submission.id.0.as_str(),
        instance = from.name.as_str(),
        to = target.target.instance.name.as_str(),
        remaining_events = text.work.remaining_events.round() as u64,
        expected_ms = text.expected_rest().as_millis() as u64,
        time_left_ms = text.time_left.as_millis() as u64,
        restart_ms = text.restart_time.as_millis() as u64,
        steady_ms = steady_ms,
        present_ms = present_ms,
        age_ms = age_ms,
        suppressed = suppressed
    });
}
