//! Moves running items that decide when a job is done to engines where they end sooner.
//!
//! A job is done when the groups that its trainer waits for are whole. Groups that end later than those are not moved:
//! they are not waited for. A move costs a connection, a prompt read again and an event begun in vain.

use crate::job_run::{ItemRun, Phase};
use crate::placement::usable_engines;
use crate::plan::{Plan, PlanOfJob};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::routing::Route;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Pause between looks at a job's running items.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// A job that would be done by this share of the time in which it is due needs no moves.
const DUE_SHARE: f64 = 0.55;

/// How long an item stays at an engine before it is moved: paces are known by then, and moves do not chase each other.
const SETTLE: Duration = Duration::from_millis(800);

/// What a move costs an item.
const COST: Duration = Duration::from_millis(120);

/// Least time that a move must save beyond its cost.
const LEAST_SAVING: Duration = Duration::from_millis(250);

/// Least part of an item's remaining time that a move must save beyond its cost.
const LEAST_SHARE: f64 = 0.1;

/// Most moves of one item.
const MOST_MOVES: u32 = 3;

/// Most moves of one job at one look.
const MOVES_AT_ONCE: usize = 6;

/// A running item that decides when its job is done.
struct Candidate {
    index: u32,
    remaining_events: f64,
    pace: f64,
    end_at: Duration,
}

/// Plans the moves of one job.
pub(crate) fn plan_moves<B: Backends>(of: &mut PlanOfJob<'_, '_, B>, route: &Route, plan: &mut Plan) {
    if of.now < of.run.moves_considered_at + LOOK_INTERVAL {
        return;
    }
    of.run.moves_considered_at = of.now;
    for candidate in candidates(of, route).into_iter().take(MOVES_AT_ONCE) {
        let target = usable_engines(of, route, candidate.index)
            .map(|fitting| fitting.engine)
            .filter(|engine| pays(&candidate, engine.pace))
            .min_by(|left, right| left.pace.total_cmp(&right.pace));
        if let Some(engine) = target {
            engine.plan_item();
            plan.moves.push((of.job.submission.id.clone(), candidate.index));
        }
    }
}

fn pays(candidate: &Candidate, other_pace: f64) -> bool {
    let saving = candidate.remaining_events * (candidate.pace - other_pace) - COST.as_secs_f64();
    let least = LEAST_SAVING.as_secs_f64().max(candidate.remaining_events * candidate.pace * LEAST_SHARE);
    saving > least
}

/// Items that may be moved, the one that ends last first.
fn candidates<B: Backends>(of: &PlanOfJob<'_, '_, B>, route: &Route) -> Vec<Candidate> {
    let due = of.run.seen_at + Duration::from_millis(route.batch.due_after_ms).mul_f64(DUE_SHARE);
    let awaited = awaited_groups(of);
    let mut candidates: Vec<Candidate> = Vec::new();
    for (index, run) in of.run.items.iter().enumerate() {
        let Phase::Running { instance, since, .. } = &run.phase else {
            continue;
        };
        let settled = of.now >= *since + SETTLE && run.text.borrow().events() > 0;
        let group = of.job.submission.items[index].group.as_str();
        if run.moves >= MOST_MOVES || !settled || !awaited.contains(group) {
            continue;
        }
        let remaining_events = run.remaining_events();
        let pace = of.round.paces.of(instance);
        let end_at = of.now + Duration::from_secs_f64(remaining_events * pace);
        if end_at >= due {
            candidates.push(Candidate { index: index as u32, remaining_events, pace, end_at });
        }
    }
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.end_at));
    candidates
}

/// The groups that decide when the job is done: those that came again, which its trainer waits for in any case, and of the
/// others as many as it wants, those first that end first.
fn awaited_groups<'a, B: Backends>(of: &PlanOfJob<'a, '_, B>) -> BTreeSet<&'a str> {
    let mut ends: BTreeMap<&str, Duration> = BTreeMap::new();
    for (item, run) in of.job.submission.items.iter().zip(&of.run.items) {
        let end = ends.entry(item.group.as_str()).or_insert(of.now);
        *end = (*end).max(expected_end(of, run));
    }
    let wanted = of.job.submission.wanted_groups as usize;
    let mut groups: Vec<(&str, Duration)> = ends.into_iter().collect();
    groups.sort_by_key(|(group, end)| (!of.run.carried_groups.contains(*group), *end));
    groups.into_iter().take(wanted).map(|(group, _)| group).collect()
}

fn expected_end<B: Backends>(of: &PlanOfJob<'_, '_, B>, run: &ItemRun) -> Duration {
    let pace = match &run.phase {
        Phase::Running { instance, .. } => of.round.paces.of(instance),
        Phase::Waiting => of.round.paces.typical(),
        Phase::Scoring { .. } | Phase::Ended => return of.now,
    };
    of.now + Duration::from_secs_f64(run.remaining_events() * pace)
}
