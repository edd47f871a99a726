//! Room for long texts in a plan that starts items in order of urgency ([`saddlerelay_scheduling::long_texts`]).

use crate::batch_order::{BatchOrder, PoolKey};
use crate::job_run::{ItemRun, Phase};
use crate::placement::LONG_FACTOR;
use crate::plan::{Engine, JobContext, Plan, PlannedAttempt, Round, planned_attempt};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_scheduling::long_texts::{
    Displaceable, MAX_DISPLACEMENTS_PER_ITEM, Reservation, RunningText, Step, cannot_wait, choose_displaced,
    needs_displacement,
};
use saddlerelay_scheduling::order::{Candidate, Class, Rank, slack_level};
use saddlerelay_scheduling::{EngineSnapshot, Work, expected_duration};
use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of items that one plan displaces. Bounds the prompts that are read again when many texts lose their
/// engines at once; plans follow each other within 20 ms.
const MAX_DISPLACEMENTS_PER_PLAN: usize = 2;

/// Minimum time that a text runs at an engine before it is taken from it, so that the engine's pace is known.
const MIN_TIME_AT_ENGINE: Duration = Duration::from_millis(800);

/// Estimated cost of a move, as for moves to free slots.
const MOVE_COST: Duration = Duration::from_millis(120);

/// Whether a waiting item may take the slot of a running one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Displacing {
    Never,
    /// It can be in time, and is long or was interrupted.
    InTime,
    /// It was interrupted and has become late by that, but is not due yet.
    Interrupted,
}

impl Displacing {
    pub fn of(candidate: &Candidate, run: &ItemRun, mean_events: f64, now: Duration) -> Self {
        let was_interrupted = run.text.borrow().events() > 0;
        let is_long = run.expected_events >= mean_events * LONG_FACTOR;
        match candidate.can_be_in_time(now) {
            true if candidate.wanted && (was_interrupted || is_long) => Self::InTime,
            false if candidate.wanted && was_interrupted && now < candidate.due_at => Self::Interrupted,
            _ => Self::Never,
        }
    }
}

/// An item that runs at an engine of the plan.
pub(crate) struct RunningItem {
    pub job: usize,
    pub index: u32,
    /// Position of the engine in the round.
    pub engine: usize,
    pub due_at: Duration,
    since: Duration,
    work: Work,
}

/// The items that run at the engines of a plan.
pub(crate) struct RunningItems<'a> {
    round: &'a Round,
    positions: BTreeMap<&'a InstanceId, usize>,
    items: Vec<RunningItem>,
}

/// An engine as seen by one of the texts that it runs: without that text.
fn without_one(engine: &Engine) -> EngineSnapshot {
    let snapshot = engine.snapshot();
    EngineSnapshot { running: snapshot.running.saturating_sub(1), ..snapshot }
}

impl<'a> RunningItems<'a> {
    pub fn new(round: &'a Round) -> Self {
        let engines = round.engines.iter().enumerate();
        let positions = engines.map(|(position, engine)| (&engine.target.instance, position)).collect();
        Self { round, positions, items: Vec::new() }
    }

    /// The engine of an instance.
    pub fn engine(&self, instance: &InstanceId) -> Option<&'a Engine> {
        self.positions.get(instance).map(|position| &self.round.engines[*position])
    }

    /// Adds an item if it is running. The text of a wanted item is kept in time by its engine.
    pub fn add<B: Backends>(&mut self, job: usize, context: &JobContext<'_, '_, B>, index: u32, due_at: Duration) {
        let run = &context.run.items[index as usize];
        let Phase::Running { instance, since, .. } = &run.phase else {
            return;
        };
        let Some(engine) = self.positions.get(instance).copied() else {
            return;
        };
        let remaining_events = run.remaining_events();
        if context.run.wanted.includes(index) {
            self.round.engines[engine].add_text(RunningText { remaining_events, due_at });
        }
        let work = Work { remaining_events, prompt_tokens: 0 };
        self.items.push(RunningItem { job, index, engine, due_at, since: *since, work });
    }

    /// Position in the list of the item that gives its slot to `work`, which belongs to `urgent`, and the expected
    /// duration of `work` there; `None` if a slot becomes free within `slack`.
    fn choose<B: Backends>(
        &self,
        contexts: &[JobContext<'_, '_, B>],
        (urgent_job, urgent_index): (usize, u32),
        work: &Work,
        slack: Duration,
    ) -> Option<(usize, Duration)> {
        let urgent = &contexts[urgent_job];
        let run = &urgent.run.items[urgent_index as usize];
        let single_version = urgent.route.is_some_and(|route| route.batch.single_version);
        let required = run.text.borrow().versions().first().copied().filter(|_| single_version);
        let fits = |version: Option<u64>| required.is_none() || version.is_none() || version == required;
        let eligible = urgent.eligible.iter().filter(|eligible| fits(eligible.version));
        let eligible: Vec<usize> =
            eligible.filter_map(|eligible| self.positions.get(&eligible.engine.target.instance).copied()).collect();
        let mut is_eligible = vec![false; self.round.engines.len()];
        eligible.into_iter().for_each(|position| is_eligible[position] = true);
        let mut positions = Vec::new();
        let mut displaceable = Vec::new();
        for (position, item) in self.items.iter().enumerate() {
            let context = &contexts[item.job];
            let engine = &self.round.engines[item.engine];
            let is_resumable = context.route.is_some_and(|route| route.resumable);
            let is_avoided = run.avoid.as_ref() == Some(&engine.target.instance);
            if !is_eligible[item.engine] || !is_resumable || is_avoided || engine.silent {
                continue;
            }
            let snapshot = without_one(engine);
            positions.push(position);
            displaceable.push(Displaceable {
                urgent_duration: expected_duration(&snapshot, work),
                wanted: context.run.wanted.includes(item.index),
                remaining: expected_duration(&snapshot, &item.work),
                due_in: item.due_at.saturating_sub(self.round.now),
                displacements: context.run.items[item.index as usize].displacements,
            });
        }
        if !needs_displacement(slack, &displaceable) {
            return None;
        }
        let chosen = choose_displaced(&displaceable)?;
        Some((positions[chosen], displaceable[chosen].urgent_duration))
    }

    fn remove<B: Backends>(
        &mut self,
        contexts: &[JobContext<'_, '_, B>],
        position: usize,
        plan: &mut Plan,
    ) -> RunningItem {
        let item = self.items.swap_remove(position);
        plan.displaced.push((contexts[item.job].job.submission.id.clone(), item.index));
        item
    }

    /// Plans an attempt of an urgent item in the slot of a running one, if the plan may displace another item and the
    /// urgent one can't wait for a slot to become free.
    pub fn displace<B: Backends>(
        &mut self,
        contexts: &mut [JobContext<'_, '_, B>],
        rank: Rank,
        candidate: &Candidate,
        plan: &mut Plan,
    ) -> Option<PlannedAttempt> {
        let now = self.round.now;
        let context = &contexts[candidate.job];
        let run = &context.run.items[candidate.item as usize];
        let displacing = Displacing::of(candidate, run, context.run.mean_events, now);
        let is_turn = rank.class == Class::Overdue;
        if displacing == Displacing::Never || is_turn || plan.displaced.len() >= MAX_DISPLACEMENTS_PER_PLAN {
            return None;
        }
        let work = Work { remaining_events: run.remaining_events(), prompt_tokens: 0 };
        let (position, _) = self.choose(contexts, (candidate.job, candidate.item), &work, candidate.slack(now))?;
        let victim = self.remove(contexts, position, plan);
        let context = &mut contexts[candidate.job];
        let (route, item_deadline) = (context.route?, context.item_deadline?);
        let instance = &self.round.engines[victim.engine].target.instance;
        let chosen = context.eligible.iter().find(|eligible| eligible.engine.target.instance == *instance)?;
        let start = planned_attempt(context, route, candidate.item, item_deadline, chosen);
        Some(start)
    }

    /// Takes the text that misses its due time by most from its engine, if it would be in time in the slot of an item
    /// that can wait. The next plan starts it there.
    pub fn rescue<B: Backends>(&mut self, contexts: &mut [JobContext<'_, '_, B>], plan: &mut Plan) {
        if plan.displaced.len() >= MAX_DISPLACEMENTS_PER_PLAN {
            return;
        }
        let now = self.round.now;
        let lateness = |item: &RunningItem| {
            let engine = &self.round.engines[item.engine];
            now.saturating_add(expected_duration(&without_one(engine), &item.work)).saturating_sub(item.due_at)
        };
        let may_move = |item: &RunningItem| {
            let context = &contexts[item.job];
            let run = &context.run.items[item.index as usize];
            let id = &context.job.submission.id;
            let is_moved = plan.moves.iter().any(|(job, index)| job == id && *index == item.index);
            context.route.is_some_and(|route| route.resumable)
                && now < item.due_at
                && context.run.wanted.includes(item.index)
                && now >= item.since + MIN_TIME_AT_ENGINE
                && run.moves < MAX_DISPLACEMENTS_PER_ITEM
                && run.text.borrow().events() > 0
                && !is_moved
        };
        let late = self.items.iter().map(|item| (lateness(item), item)).filter(|(late, _)| !late.is_zero());
        let Some((_, text)) = late.filter(|(_, item)| may_move(item)).max_by_key(|(late, _)| *late) else {
            return;
        };
        let (job, index, engine, due_at) = (text.job, text.index, text.engine, text.due_at);
        // Moves to free slots are planned elsewhere.
        if contexts[job].eligible.iter().any(|eligible| eligible.engine.has_free_slot()) {
            return;
        }
        let Some((position, duration)) = self.choose(contexts, (job, index), &text.work, Duration::ZERO) else {
            return;
        };
        let ends_in_time = now.saturating_add(duration).saturating_add(MOVE_COST) <= due_at;
        if ends_in_time && self.items[position].engine != engine {
            self.remove(contexts, position, plan);
            plan.moves.push((contexts[job].job.submission.id.clone(), index));
        }
    }
}

/// Slots of a pool that are kept free for a step that is about to be submitted.
pub(crate) struct ReservedPool {
    reservation: Reservation,
    free: u32,
}

impl ReservedPool {
    /// Whether an item has to leave the free slots to the expected step. Exempt are items that can't wait for it.
    pub fn holds_back(&self, rank: Rank) -> bool {
        let is_exempt = match rank.class {
            Class::Overdue => true,
            Class::InTimeWanted => rank.slack_level <= slack_level(self.reservation.lead),
            Class::LateWanted | Class::InTime | Class::Late => false,
        };
        !is_exempt && self.free <= self.reservation.slots
    }

    /// Number of reserved slots.
    pub fn slots(&self) -> u32 {
        self.reservation.slots
    }

    /// Counts a slot as taken.
    pub fn take_slot(&mut self) {
        self.free = self.free.saturating_sub(1);
    }
}

/// Records the submission of a job that the plan sees for the first time.
pub(crate) fn record_submission<B: Backends>(
    context: &mut JobContext<'_, '_, B>,
    pool: &PoolKey,
    due_period: Duration,
    order_state: &mut BatchOrder,
) {
    if std::mem::replace(&mut context.run.is_submission_recorded, true) {
        return;
    }
    let usual = context.round.median_engine();
    let expected = |events: f64| expected_duration(&usual, &Work { remaining_events: events, prompt_tokens: 0 });
    let mean_duration = expected(context.run.mean_events);
    let long = context.run.items.iter().filter(|item| {
        let duration = expected(item.expected_events);
        cannot_wait(due_period, duration, mean_duration) && duration > mean_duration
    });
    let step = Step { at: context.run.started_at, long_texts: long.count() as u32, mean_duration };
    order_state.record_submission(&context.run.trainer, pool, step);
}

/// The reservations of each pool at present.
pub(crate) fn reserved_pools(
    order_state: &mut BatchOrder,
    pools: &[PoolKey],
    round: &Round,
) -> BTreeMap<usize, ReservedPool> {
    let mut reserved: BTreeMap<usize, ReservedPool> = BTreeMap::new();
    for (index, pool) in pools.iter().enumerate() {
        if !order_state.has_regular_submissions(pool) {
            continue;
        }
        let serves = |engine: &&Engine| {
            let has_model = pool.model.as_ref().is_none_or(|model| engine.weights.contains_key(model));
            engine.service == pool.service && has_model
        };
        let snapshots = round.engines.iter().filter(serves).map(Engine::snapshot);
        let (slots, free) = snapshots.fold((0, 0), |(slots, free), engine| {
            (slots + engine.slots, free + engine.slots.saturating_sub(engine.running))
        });
        if let Some(reservation) = order_state.reservation(pool, slots, round.now) {
            reserved.insert(index, ReservedPool { reservation, free });
        }
    }
    reserved
}
