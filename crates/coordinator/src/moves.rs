//! Moves running items to faster engines if they delay the completion of their job.
//!
//! A job is complete when the groups that its trainer waits for are complete; items of other groups are not moved. A
//! move costs a connection, another prefill of the prompt, and the event in progress.

use crate::by_completion;
use crate::job_run::{ItemRun, Phase};
use crate::placement::usable_engines;
use crate::plan::{JobContext, Plan};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::routing::Route;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval between checks of a job's running items.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Items are moved only if they are expected to end after this share of the route's `due_after_ms`, counted from the
/// start of the job.
const DUE_SHARE: f64 = 0.55;

/// Minimum time that an item runs at an engine before it is moved, so that its pace is known and moves are not repeated
/// too often.
pub(crate) const MIN_TIME_AT_ENGINE: Duration = Duration::from_millis(800);

/// Estimated cost of a move.
const MOVE_COST: Duration = Duration::from_millis(120);

/// Minimum time that a move must save, after its cost.
const MIN_SAVING: Duration = Duration::from_millis(250);

/// Minimum share of an item's remaining time that a move must save, after its cost.
const MIN_SAVING_SHARE: f64 = 0.1;

const MAX_MOVES_PER_ITEM: u32 = 3;

/// Maximum number of moves of one job per check.
pub(crate) const MAX_MOVES_PER_CHECK: usize = 6;

/// A running item that may be moved.
struct Candidate {
    index: u32,
    remaining_events: f64,
    pace: f64,
    end_at: Duration,
}

pub(crate) fn plan_moves<B: Backends>(context: &mut JobContext<'_, '_, B>, route: &Route, plan: &mut Plan) {
    if context.now < context.run.moves_checked_at + CHECK_INTERVAL {
        return;
    }
    context.run.moves_checked_at = context.now;
    if by_completion::is_active(context) {
        let critical = critical_groups(context);
        by_completion::plan_moves(context, route, &critical, plan);
        return;
    }
    for candidate in candidates(context, route).into_iter().take(MAX_MOVES_PER_CHECK) {
        let target = usable_engines(context, route, candidate.index)
            .map(|eligible| eligible.engine)
            .filter(|engine| is_worthwhile(&candidate, engine.pace))
            .min_by(|left, right| left.pace.total_cmp(&right.pace));
        if let Some(engine) = target {
            engine.reserve_slot();
            plan.moves.push((context.job.submission.id.clone(), candidate.index));
        }
    }
}

fn is_worthwhile(candidate: &Candidate, target_pace: f64) -> bool {
    let saving = candidate.remaining_events * (candidate.pace - target_pace) - MOVE_COST.as_secs_f64();
    let min_saving = MIN_SAVING.as_secs_f64().max(candidate.remaining_events * candidate.pace * MIN_SAVING_SHARE);
    saving > min_saving
}

/// Items that may be moved, those with the latest expected end first.
fn candidates<B: Backends>(context: &JobContext<'_, '_, B>, route: &Route) -> Vec<Candidate> {
    let due_at = context.run.started_at + Duration::from_millis(route.batch.due_after_ms).mul_f64(DUE_SHARE);
    let critical = critical_groups(context);
    let mut candidates: Vec<Candidate> = Vec::new();
    for (index, run) in context.run.items.iter().enumerate() {
        let Phase::Running { instance, since, .. } = &run.phase else {
            continue;
        };
        let movable = context.now >= *since + MIN_TIME_AT_ENGINE && run.text.borrow().events() > 0;
        let group = context.job.submission.items[index].group.as_str();
        if run.moves >= MAX_MOVES_PER_ITEM || !movable || !critical.contains(group) {
            continue;
        }
        let remaining_events = run.remaining_events();
        let pace = context.round.paces.of(instance);
        let end_at = context.now + Duration::from_secs_f64(remaining_events * pace);
        if end_at >= due_at {
            candidates.push(Candidate { index: index as u32, remaining_events, pace, end_at });
        }
    }
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.end_at));
    candidates
}

/// Groups that determine when the job is complete: as many as the trainer waits for. Groups repeated from an earlier
/// job come first, then those with the earliest expected end.
fn critical_groups<'a, B: Backends>(context: &JobContext<'a, '_, B>) -> BTreeSet<&'a str> {
    let mut ends: BTreeMap<&str, Duration> = BTreeMap::new();
    for (item, run) in context.job.submission.items.iter().zip(&context.run.items) {
        let end = ends.entry(item.group.as_str()).or_insert(context.now);
        *end = (*end).max(expected_end(context, run));
    }
    let group_count = context.job.submission.wanted_groups as usize;
    let mut groups: Vec<(&str, Duration)> = ends.into_iter().collect();
    groups.sort_by_key(|(group, end)| (!context.run.repeated_groups.contains(*group), *end));
    groups.into_iter().take(group_count).map(|(group, _)| group).collect()
}

fn expected_end<B: Backends>(context: &JobContext<'_, '_, B>, run: &ItemRun) -> Duration {
    let pace = match &run.phase {
        Phase::Running { instance, .. } => match by_completion::running_engine(context, instance) {
            Some(engine) => engine.capacity.seconds_per_event(engine.running),
            None => context.round.paces.of(instance),
        },
        Phase::Waiting => match &context.round.capacities {
            Some(capacities) if by_completion::is_active(context) => capacities.unknown().seconds_per_event(1),
            _ => context.round.paces.median(),
        },
        Phase::Scoring { .. } | Phase::Ended => return context.now,
    };
    context.now + Duration::from_secs_f64(run.remaining_events() * pace)
}
