//! Plans the waiting items of all open jobs in order of urgency ([`saddlerelay_scheduling::order`]).

use crate::batch_order::{BatchOrder, PoolKey};
use crate::job_run::Charge;
use crate::long_texts::{Displacing, ReservedPool, RunningItems, record_submission, reserved_pools};
use crate::placement::EligibleEngine;
use crate::plan::{
    Engine, JobContext, MAX_STARTS_PER_PLAN, Plan, PlannedAttempt, Round, awaits_engine, keep_waiting, plan_item,
    plan_job_moves, record_wait,
};
use crate::waits::{LogWindow, WaitReason};
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_scheduling::long_texts::RunningText;
use saddlerelay_scheduling::order::{Candidate, Class, OverdueTurns, Rank, WaitingOrder};
use saddlerelay_scheduling::pass::{Starter, start_in_order};
use saddlerelay_scheduling::shares::{Shares, Trainer};
use saddlerelay_scheduling::{EngineSnapshot, Work, expected_duration};
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::JobSubmission;
use saddlerelay_types::routing::Route;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Weight of every trainer in the shares; the configuration has none.
const TRAINER_WEIGHT: f64 = 1.0;

/// Plans all jobs together.
pub(crate) fn plan_jobs<B: Backends>(contexts: &mut [JobContext<'_, '_, B>], state: &ControlState, plan: &mut Plan) {
    let Some(first) = contexts.first() else {
        return;
    };
    let (inner, now) = (first.inner, first.now);
    let order_state = &mut *inner.batch_order.borrow_mut();
    let round = first.round;
    let mut waiting = Waiting::new(round);
    for (job, context) in contexts.iter_mut().enumerate() {
        waiting.add_job(job, context, state, order_state, plan);
    }
    let Waiting { candidates, trainers, pools, running, .. } = waiting;
    let reserved = reserved_pools(order_state, &pools, round);
    inner.metrics.reserved_slots.set(reserved.values().map(|pool| i64::from(pool.slots())).sum());
    let is_turn: Vec<bool> = pools.iter().map(|pool| order_state.turns.is_due(pool)).collect();
    let order = WaitingOrder::new(candidates, &trainers, &is_turn, now);
    let mut starter = ItemStarter {
        contexts,
        plan,
        trainers: &trainers,
        pools: &pools,
        turns: &mut order_state.turns,
        log: &mut order_state.start_log,
        running,
        reserved,
    };
    let max_starts = MAX_STARTS_PER_PLAN.saturating_sub(starter.plan.starts.len());
    start_in_order(order, &mut order_state.shares, max_starts, &mut starter);
    let ItemStarter { contexts, plan, mut running, .. } = starter;
    for context in contexts.iter_mut() {
        plan_job_moves(context, plan);
    }
    running.rescue(contexts, plan);
    order_state.log_shares(now);
}

/// Engines that serve a route with a model at a minimum version.
struct EligibleSet<'a> {
    engines: Rc<Vec<EligibleEngine<'a>>>,
    /// The fastest of them, without other items; the usual engine if there is none.
    fastest: EngineSnapshot,
}

/// Host and path prefix of a route, a model and a minimum version.
type SetKey<'a> = (&'a str, &'a str, Option<&'a str>, u64);

/// A set of eligible engines, the version that the text must be continued with, the engine that is avoided, and whether
/// the item may take another's slot. Without the last, a short item that finds no slot would keep a long one behind it
/// from being tried.
type Constraint = (usize, Option<u64>, Option<InstanceId>, Displacing);

/// The waiting items of all jobs, and what they share.
struct Waiting<'a> {
    round: &'a Round,
    /// Engines by loaded model, so that the engines examined for a job are those with its model.
    by_model: BTreeMap<&'a str, Vec<&'a Engine>>,
    candidates: Vec<Candidate>,
    trainers: Vec<Trainer>,
    pools: Vec<PoolKey>,
    sets: Vec<EligibleSet<'a>>,
    set_indexes: BTreeMap<SetKey<'a>, usize>,
    constraints: BTreeMap<Constraint, usize>,
    running: RunningItems<'a>,
}

impl<'a> Waiting<'a> {
    fn new(round: &'a Round) -> Self {
        let mut by_model: BTreeMap<&str, Vec<&Engine>> = BTreeMap::new();
        for engine in &round.engines {
            for model in engine.weights.keys() {
                by_model.entry(model).or_default().push(engine);
            }
        }
        Self {
            round,
            by_model,
            candidates: Vec::new(),
            trainers: Vec::new(),
            pools: Vec::new(),
            sets: Vec::new(),
            set_indexes: BTreeMap::new(),
            constraints: BTreeMap::new(),
            running: RunningItems::new(round),
        }
    }

    /// Adds the items of a job that wait for an engine, and plans what its other items need.
    fn add_job<B: Backends>(
        &mut self,
        job: usize,
        context: &mut JobContext<'a, '_, B>,
        state: &ControlState,
        order_state: &mut BatchOrder,
        plan: &mut Plan,
    ) {
        let submission = &context.job.submission;
        let set = context.route.map(|route| self.set_index(route, submission));
        if let Some(set) = set {
            context.eligible = self.sets[set].engines.clone();
        }
        let trainer = index_of(&mut self.trainers, &context.run.trainer);
        let pool = context.route.map(|route| index_of(&mut self.pools, &pool_key(route, submission)));
        let due_at = context
            .route
            .zip(context.item_deadline)
            .map(|(route, item_deadline)| due_at(context.run.started_at, route, item_deadline));
        if let (Some(pool), Some(due_at)) = (pool, due_at) {
            let due_period = due_at.saturating_sub(context.run.started_at);
            record_submission(context, &self.pools[pool], due_period, order_state);
        }
        context.spares_long_texts = true;
        let owner_priority = owner_priority(state, submission.owner.as_ref());
        let run = &mut *context.run;
        run.wanted.update(&run.items, &context.round.paces, context.now);
        for index in 0..context.run.items.len() as u32 {
            let Some((route, _)) = awaits_engine(context, index, plan) else {
                if let Some(due_at) = due_at {
                    self.running.add(job, context, index, due_at);
                }
                continue;
            };
            refund(context, index, &mut order_state.shares);
            let run = &context.run.items[index as usize];
            if context.now < run.not_before {
                keep_waiting(context, index, run.pause_reason, plan);
                continue;
            }
            let Ok(owner_priority) = owner_priority else {
                record_wait(context, index, WaitReason::OwnerNotListed);
                continue;
            };
            let (Some(set), Some(pool), Some(due_at)) = (set, pool, due_at) else {
                continue;
            };
            let versions = run.text.borrow().versions().first().copied();
            let required_version = versions.filter(|_| route.batch.single_version);
            let work = Work { remaining_events: run.remaining_events(), prompt_tokens: 0 };
            let mut candidate = Candidate {
                job,
                item: index,
                trainer,
                pool,
                constraint: 0,
                priority: owner_priority.unwrap_or(route.priority),
                wanted: context.run.wanted.includes(index),
                due_at,
                due_period: due_at.saturating_sub(context.run.started_at),
                expected: expected_duration(&self.round.median_engine(), &work),
                at_best: expected_duration(&self.sets[set].fastest, &work),
                waited: run.wait.waited(context.now),
            };
            let displacing = Displacing::of(&candidate, run, context.run.mean_events, context.now);
            let next_constraint = self.constraints.len();
            let constraint = (set, required_version, run.avoid.clone(), displacing);
            candidate.constraint = *self.constraints.entry(constraint).or_insert(next_constraint);
            self.candidates.push(candidate);
        }
    }

    /// Index of the engines that serve a job.
    fn set_index(&mut self, route: &'a Route, submission: &'a JobSubmission) -> usize {
        let model = submission.model.as_deref();
        let key = (route.host.as_str(), route.path_prefix.as_str(), model, submission.minimum_version);
        if let Some(index) = self.set_indexes.get(&key) {
            return *index;
        }
        let serving = |engine: &&'a Engine| route.serves(&engine.service);
        let engines: Vec<EligibleEngine<'a>> = match model {
            None => {
                let engines = self.round.engines.iter().filter(serving);
                engines.map(|engine| EligibleEngine { engine, version: None }).collect()
            }
            Some(model) => {
                let engines = self.by_model.get(model).into_iter().flatten().copied().filter(serving);
                let with_version = engines.filter_map(|engine| {
                    let version = engine.weights.get(model).copied();
                    let version = version.filter(|version| *version >= submission.minimum_version)?;
                    Some(EligibleEngine { engine, version: Some(version) })
                });
                with_version.collect()
            }
        };
        let one_event = Work { remaining_events: 1.0, prompt_tokens: 0 };
        let snapshots = engines.iter().map(|eligible| EngineSnapshot { running: 0, ..eligible.engine.snapshot() });
        let fastest = snapshots.min_by_key(|engine| expected_duration(engine, &one_event));
        let fastest = fastest.unwrap_or_else(|| self.round.median_engine());
        self.sets.push(EligibleSet { engines: Rc::new(engines), fastest });
        self.set_indexes.insert(key, self.sets.len() - 1);
        self.sets.len() - 1
    }
}

/// Index of a value in a list, to which it is added if it is not there.
fn index_of<T: Clone + PartialEq>(list: &mut Vec<T>, value: &T) -> usize {
    list.iter().position(|other| other == value).unwrap_or_else(|| {
        list.push(value.clone());
        list.len() - 1
    })
}

fn pool_key(route: &Route, submission: &JobSubmission) -> PoolKey {
    let service = route.targets.iter().find(|target| target.weight > 0).map(|target| target.service.clone());
    PoolKey { service: service.unwrap_or_default(), model: submission.model.clone() }
}

/// Due time of a job's items; their deadline if the route sets none.
fn due_at(started_at: Duration, route: &Route, item_deadline: Duration) -> Duration {
    match route.batch.due_after_ms {
        0 => item_deadline,
        due_after_ms => started_at + Duration::from_millis(due_after_ms),
    }
}

/// Priority of a job's owner, if it has one of its own; an error if the routing document does not list the owner.
fn owner_priority(state: &ControlState, owner: Option<&TenantId>) -> Result<Option<u32>, ()> {
    let tenants = state.routing.current().and_then(|document| document.tenants.as_ref());
    match (tenants, owner) {
        (Some(tenants), Some(owner)) => {
            tenants.iter().find(|tenant| tenant.name == *owner).map(|tenant| tenant.priority).ok_or(())
        }
        _ => Ok(None),
    }
}

/// Takes back the work recorded for an attempt that ended early.
fn refund<B: Backends>(context: &mut JobContext<'_, '_, B>, index: u32, shares: &mut Shares) {
    let run = &mut context.run.items[index as usize];
    if let Some(charge) = run.charge.take() {
        let not_done = charge.not_done(run.text.borrow().events());
        shares.refund(&context.run.trainer, not_done, TRAINER_WEIGHT, charge.at, context.now);
    }
}

/// Starts items of the plan's jobs.
struct ItemStarter<'p, 'a, 's, B: Backends> {
    contexts: &'p mut [JobContext<'a, 's, B>],
    plan: &'p mut Plan,
    trainers: &'p [Trainer],
    pools: &'p [PoolKey],
    turns: &'p mut OverdueTurns<PoolKey>,
    log: &'p mut LogWindow,
    running: RunningItems<'a>,
    /// Reservations by pool.
    reserved: BTreeMap<usize, ReservedPool>,
}

impl<B: Backends> Starter for ItemStarter<'_, '_, '_, B> {
    type Reason = WaitReason;

    fn start(&mut self, rank: Rank, candidate: &Candidate, shares: &mut Shares) -> Result<(), WaitReason> {
        if self.reserved.get(&candidate.pool).is_some_and(|pool| pool.holds_back(rank)) {
            return Err(WaitReason::SlotsReserved);
        }
        let start = self.plan_start(rank, candidate)?;
        let context = &self.contexts[candidate.job];
        let now = context.now;
        let trainer = &self.trainers[candidate.trainer];
        self.log_start(rank, candidate, &start.target.instance, shares);
        let context = &mut self.contexts[candidate.job];
        shares.record(trainer, candidate.expected, TRAINER_WEIGHT, now);
        let run = &mut context.run.items[candidate.item as usize];
        let events = run.text.borrow().events();
        let remaining_events = run.remaining_events();
        run.charge = Some(Charge { work: candidate.expected, at: now, events, remaining_events });
        if let Some(pool) = self.reserved.get_mut(&candidate.pool) {
            pool.take_slot();
        }
        self.turns.record_start(self.pools[candidate.pool].clone(), rank.class);
        let metrics = &context.inner.metrics;
        metrics.slack_at_start_seconds.observe(candidate.slack(now).as_secs_f64());
        if !candidate.can_be_in_time(now) {
            metrics.items_started_late.inc();
        }
        if rank.class == Class::Overdue {
            metrics.items_started_overdue.inc();
        }
        self.plan.starts.push(start);
        Ok(())
    }

    fn keep_waiting(&mut self, candidate: &Candidate, reason: Option<WaitReason>) {
        let reason = reason.unwrap_or(WaitReason::PlanLimitReached);
        keep_waiting(&mut self.contexts[candidate.job], candidate.item, reason, self.plan);
    }
}

impl<B: Backends> ItemStarter<'_, '_, '_, B> {
    /// Plans an attempt at an engine with a free slot, if possible one whose texts stay in time, or in the slot of a
    /// running item.
    fn plan_start(&mut self, rank: Rank, candidate: &Candidate) -> Result<PlannedAttempt, WaitReason> {
        let context = &mut self.contexts[candidate.job];
        let (Some(route), Some(item_deadline)) = (context.route, context.item_deadline) else {
            return Err(WaitReason::NoEligibleEngine);
        };
        let mut start = plan_item(context, route, candidate.item, item_deadline, self.plan);
        if start.is_err() {
            context.spares_long_texts = false;
            start = plan_item(context, route, candidate.item, item_deadline, self.plan);
            context.spares_long_texts = true;
        }
        let avoid = &self.contexts[candidate.job].run.items[candidate.item as usize].avoid;
        let lacks_engine = match &start {
            // The engine that the item left may fail again, which costs a text that can't wait more than a slot.
            Ok(start) => avoid.as_ref() == Some(&start.target.instance),
            Err(reason) => matches!(reason, WaitReason::NoFreeSlot | WaitReason::OnlyDegradedEngines),
        };
        if lacks_engine && let Some(displacing) = self.running.displace(self.contexts, rank, candidate, self.plan) {
            start = Ok(displacing);
        }
        let start = start?;
        if candidate.wanted
            && let Some(engine) = self.running.engine(&start.target.instance)
        {
            let run = &self.contexts[candidate.job].run.items[candidate.item as usize];
            engine.add_text(RunningText { remaining_events: run.remaining_events(), due_at: candidate.due_at });
        }
        Ok(start)
    }

    /// Logs why an item starts, within the rate limit.
    fn log_start(&mut self, rank: Rank, candidate: &Candidate, instance: &InstanceId, shares: &Shares) {
        let context = &self.contexts[candidate.job];
        let now = context.now;
        let Some(suppressed) = self.log.admit(now) else {
            return;
        };
        let submission = &context.job.submission;
        let served = shares.served(&self.trainers[candidate.trainer], now);
        spdlog::info!("item start ordered", kv: {
            item = submission.items[candidate.item as usize].id.0.as_str(),
            job = submission.id.0.as_str(),
            instance = instance.name.as_str(),
            class = format!("{:?}", rank.class).as_str(),
            slack_ms = candidate.slack(now).as_millis() as u64,
            due_in_ms = candidate.due_at.saturating_sub(now).as_millis() as u64,
            expected_ms = candidate.expected.as_millis() as u64,
            waited_ms = candidate.waited.as_millis() as u64,
            priority = rank.priority,
            tenant_work_ms = served.tenant.as_millis() as u64,
            trainer_work_ms = served.trainer.as_millis() as u64,
            items_suppressed = suppressed
        });
    }
}
