//! Assigns waiting items of open jobs to engines.

use crate::coordinator::{Coordinator, Inner};
pub(crate) use crate::engines::{Engine, Round};
use crate::job_run::{JobRun, Phase};
use crate::lost_connections::EngineWork;
use crate::moves::plan_moves;
use crate::ordered;
use crate::placement::{EligibleEngine, choose_engine, eligible_engines, usable_engines};
use crate::scorers::ScoringRound;
use crate::scoring::ScoreCall;
use crate::stranded_texts::discard_if_stranded;
use crate::text::ItemText;
use crate::waiting_items::{VersionRequirement, WaitingItems};
use crate::waits::{WaitReason, WaitingItem};
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::jobs::Job;
use saddlerelay_control::state::suspicions::SuspicionTable;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::instance::{InstanceId, InstanceState};
use saddlerelay_types::job::{ItemId, JobId, JobItem};
use saddlerelay_types::routing::{Route, RoutingDocument};
use saddlerelay_types::suspicion::{MAX_OWED_PAUSE, OwedVerdict};
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::EngineTarget;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of new jobs that one plan initializes. Bounds the time that a new leader spends on loading saved
/// texts before it handles replication messages again.
const MAX_NEW_JOBS_PER_PLAN: usize = 2;

/// Maximum number of items that one plan starts. Bounds the time that the leader spends on opening connections and
/// sending requests before it handles replication messages again: 176 starts took a leader with 0.3 of a core 250 ms,
/// and three jobs' steps at once would cost it its quorum. Plans follow each other within 20 ms, so 1,600 items a second
/// still start.
pub(crate) const MAX_STARTS_PER_PLAN: usize = 32;

/// A planned attempt of an item at an engine.
pub(crate) struct PlannedAttempt {
    pub job: JobId,
    pub index: u32,
    pub item: JobItem,
    pub host: String,
    pub path: String,
    /// The tenant that owns the job.
    pub owner: Option<TenantId>,
    pub model: Option<String>,
    pub target: EngineTarget,
    pub expected_version: Option<u64>,
    pub minimum_version: u64,
    pub single_version: bool,
    pub max_attempts: u32,
    pub item_deadline: Duration,
    pub text: Rc<RefCell<ItemText>>,
    pub term: u64,
}

impl EngineWork for PlannedAttempt {
    fn item(&self) -> &ItemId {
        &self.item.id
    }

    fn work_digest(&self) -> WorkDigest {
        self.item.work_digest(self.owner.as_ref(), &self.host)
    }

    fn latest_end(&self, _now: Duration) -> Duration {
        self.item_deadline
    }
}

/// Actions that a plan decided on.
#[derive(Default)]
pub(crate) struct Plan {
    pub starts: Vec<PlannedAttempt>,
    /// Complete texts to score.
    pub score_calls: Vec<ScoreCall>,
    /// Items that name no scorer and whose text is complete.
    pub completed: Vec<(JobId, u32)>,
    /// Items to abort, with the reason.
    pub aborts: Vec<(JobId, u32, &'static str)>,
    /// Running items to move to a faster engine.
    pub moves: Vec<(JobId, u32)>,
    /// Running items whose slot another item takes.
    pub displaced: Vec<(JobId, u32)>,
    /// Quarantined work to allow another trial of, with the number of earlier retrials.
    pub retrials: BTreeMap<WorkDigest, u32>,
    /// Jobs that have not ended.
    pub open: BTreeSet<JobId>,
    /// Items left waiting for an engine, by model.
    pub waiting_items: BTreeMap<String, WaitingItems>,
    /// Whether jobs to initialize or items to start may be left for the next plan.
    pub has_more: bool,
}

/// Makes a plan from the committed state.
pub(crate) fn plan<B: Backends>(coordinator: &Coordinator<B>, state: &ControlState, term: u64) -> Plan {
    let inner = &coordinator.inner;
    let round = Round::new(coordinator, state, term);
    let now = round.now;
    let mut plan = Plan::default();
    let mut open: Vec<(&JobId, &Job)> = state.jobs.open().collect();
    open.sort_by_key(|(_, job)| job.submission_number());
    let scoring = RefCell::new(ScoringRound::new(state, now));
    let mut jobs = inner.jobs.borrow_mut();
    let mut new_jobs = 0;
    let mut planned = Vec::new();
    for (id, job) in open {
        plan.open.insert(id.clone());
        let submission = &job.submission;
        let route = state.routing.current().and_then(|document| document.find(&submission.host, &submission.path));
        if !jobs.contains_key(id) {
            if new_jobs == MAX_NEW_JOBS_PER_PLAN {
                plan.has_more = true;
                continue;
            }
            new_jobs += 1;
            jobs.insert(id.clone(), start_job_run(coordinator, state, job, route, now));
        }
        planned.push((id, job, route));
    }
    let mut runs: BTreeMap<&JobId, &mut JobRun> = jobs.iter_mut().collect();
    let mut contexts: Vec<JobContext<'_, '_, B>> = Vec::new();
    for (id, job, route) in planned {
        let Some(run) = runs.remove(id) else {
            continue;
        };
        let item_deadline = route.map(|route| {
            let after = Duration::from_millis(route.batch.give_up_after_ms);
            run.started_at + after + inner.config.item_deadline_margin
        });
        contexts.push(JobContext {
            inner,
            job,
            run,
            route,
            item_deadline,
            now,
            round: &round,
            eligible: Rc::default(),
            spares_long_texts: false,
            scoring: &scoring,
            suspicions: &state.suspicions,
        });
    }
    if inner.batch_order.borrow_mut().is_active(inner.config.batch_order, state.routing.current()) {
        ordered::plan_jobs(&mut contexts, state, &mut plan);
    } else {
        contexts.iter_mut().for_each(|context| plan_job(context, &mut plan));
    }
    plan.has_more |= plan.starts.len() == MAX_STARTS_PER_PLAN;
    plan
}

/// Creates the in-memory state of a job.
fn start_job_run<B: Backends>(
    coordinator: &Coordinator<B>,
    state: &ControlState,
    job: &Job,
    route: Option<&Route>,
    now: Duration,
) -> JobRun {
    let submission = &job.submission;
    let hosting = route.and_then(|route| {
        let service = state.routing.current()?.service(&route.targets.first()?.service)?;
        service.hosting.as_ref()
    });
    let tokens_per_event = hosting.map_or(1, |hosting| hosting.tokens_per_event);
    if let Some(route) = route {
        let mut working_set = coordinator.inner.working_set.borrow_mut();
        let items = submission.items.len() as u32;
        for target in &route.targets {
            working_set.record_job(&target.service, submission.model.as_deref(), items);
        }
    }
    let run = JobRun::new(job, state, coordinator.header_names(), tokens_per_event, now);
    if let Some(model) = &submission.model {
        let expected = run.mean_events * run.items.len() as f64;
        coordinator.inner.model_assignments.borrow_mut().record_demand(model, expected);
    }
    let reused = run.items.iter().filter(|item| item.text.borrow().events() > 0).count();
    let complete = run.items.iter().filter(|item| item.text.borrow().is_complete()).count();
    coordinator.inner.metrics.texts_reused.inc_by(reused as u64);
    spdlog::info!("job taken up", kv: {
        job = submission.id.0.as_str(), step = submission.step, items = submission.items.len(),
        minimum_version = submission.minimum_version, model = submission.model.as_deref().unwrap_or("-"),
        listed = job.results().len(), texts_reused = reused, whole_texts_reused = complete
    });
    run
}

/// Inputs for the planning of one job.
pub(crate) struct JobContext<'a, 's, B: Backends> {
    pub inner: &'a Inner<B>,
    pub job: &'a Job,
    pub run: &'a mut JobRun,
    pub route: Option<&'a Route>,
    /// Time from which its items are aborted; `None` without a route.
    pub item_deadline: Option<Duration>,
    pub now: Duration,
    pub round: &'a Round,
    /// Engines that the job's items may run on, including full ones.
    pub eligible: Rc<Vec<EligibleEngine<'a>>>,
    /// Whether engines are left out of which a text would become late beside another item.
    pub spares_long_texts: bool,
    scoring: &'a RefCell<ScoringRound<'s>>,
    /// Work during which engines have terminated.
    suspicions: &'a SuspicionTable,
}

/// Plans the items of one job, longest first.
fn plan_job<B: Backends>(context: &mut JobContext<'_, '_, B>, plan: &mut Plan) {
    context.eligible = Rc::new(context.route.map(|route| eligible_engines(context, route)).unwrap_or_default());
    for position in 0..context.run.longest_first.len() {
        let index = context.run.longest_first[position];
        if let Some((route, item_deadline)) = awaits_engine(context, index, plan) {
            match plan_item(context, route, index, item_deadline, plan) {
                Ok(start) => plan.starts.push(start),
                Err(reason) => keep_waiting(context, index, reason, plan),
            }
        }
    }
    plan_job_moves(context, plan);
}

/// Plans moves of the job's running items.
pub(crate) fn plan_job_moves<B: Backends>(context: &mut JobContext<'_, '_, B>, plan: &mut Plan) {
    if let Some(route) = context.route.filter(|route| route.resumable) {
        plan_moves(context, route, plan);
    }
}

/// Plans what an item needs other than an engine for its text. Returns the route and the item's deadline if it waits for
/// such an engine.
pub(crate) fn awaits_engine<'a, B: Backends>(
    context: &mut JobContext<'a, '_, B>,
    index: u32,
    plan: &mut Plan,
) -> Option<(&'a Route, Duration)> {
    let id = &context.job.submission.id;
    if context.job.is_listed(index) {
        context.run.items[index as usize].phase = Phase::Ended;
    }
    if !matches!(context.run.items[index as usize].phase, Phase::Waiting) {
        return None;
    }
    let (Some(route), Some(item_deadline)) = (context.route, context.item_deadline) else {
        plan.aborts.push((id.clone(), index, "no route matches the job"));
        return None;
    };
    let text_is_complete = context.run.items[index as usize].text.borrow().is_complete();
    let scorer = context.job.submission.items[index as usize].scorer.as_ref();
    if text_is_complete && scorer.is_none() {
        plan.completed.push((id.clone(), index));
    } else if context.now >= item_deadline {
        plan.aborts.push((id.clone(), index, "item deadline exceeded"));
    } else if let Some(reason) = suspicion_wait(context, index, text_is_complete, plan) {
        record_wait(context, index, reason);
    } else if text_is_complete {
        match plan_score_call(context, index, item_deadline) {
            Ok(call) => plan.score_calls.push(call),
            Err(reason) => record_wait(context, index, reason),
        }
    } else {
        discard_if_stranded(context, route, index);
        return Some((route, item_deadline));
    }
    None
}

/// Why the item's next work, an attempt or a score call, must not run now although the item's deadline has not passed:
/// engines terminated while running it. Plans a retrial of quarantined work whose pause has elapsed.
fn suspicion_wait<B: Backends>(
    context: &mut JobContext<'_, '_, B>,
    index: u32,
    text_is_complete: bool,
    plan: &mut Plan,
) -> Option<WaitReason> {
    if context.suspicions.is_empty() {
        return None;
    }
    let work = next_work(context, index, text_is_complete);
    match context.inner.node.owed_work_verdict(context.suspicions, &work, MAX_OWED_PAUSE) {
        OwedVerdict::Send => None,
        OwedVerdict::Pause(_) => Some(WaitReason::TrialPaused),
        OwedVerdict::Retry => {
            // Below feature level four, retrials can't be committed.
            if context.suspicions.history().is_some() {
                plan.retrials.insert(work, context.suspicions.retrials(&work));
            }
            Some(WaitReason::RetrialRequested)
        }
    }
}

/// Digest of the item's next work: its score call if the text is complete, else an attempt.
fn next_work<B: Backends>(context: &JobContext<'_, '_, B>, index: u32, text_is_complete: bool) -> WorkDigest {
    let submission = &context.job.submission;
    let item = &submission.items[index as usize];
    let run = &context.run.items[index as usize];
    let owner = submission.owner.as_ref();
    match item.scorer.as_ref().filter(|_| text_is_complete) {
        Some(scorer) => *run.scoring_work.get_or_init(|| scorer.work_digest(owner)),
        None => *run.work.get_or_init(|| item.work_digest(owner, &submission.host)),
    }
}

/// Records that an item has to wait for an engine.
pub(crate) fn keep_waiting<B: Backends>(
    context: &mut JobContext<'_, '_, B>,
    index: u32,
    reason: WaitReason,
    plan: &mut Plan,
) {
    record_wait(context, index, reason);
    let Some(model) = &context.job.submission.model else {
        return;
    };
    let requirement = version_requirement(context, index);
    plan.waiting_items.entry(model.clone()).or_default().add(requirement, !context.eligible.is_empty());
}

/// Weight versions of its job's model with which an item may run.
fn version_requirement<B: Backends>(context: &JobContext<'_, '_, B>, index: u32) -> VersionRequirement {
    let is_single_version = context.route.is_some_and(|route| route.batch.single_version);
    let text_version = context.run.items[index as usize].text.borrow().versions().first().copied();
    VersionRequirement {
        minimum: context.job.submission.minimum_version,
        text_version: text_version.filter(|_| is_single_version),
    }
}

/// Updates an item's wait, which is logged if it is long.
pub(crate) fn record_wait<B: Backends>(context: &mut JobContext<'_, '_, B>, index: u32, reason: WaitReason) {
    let submission = &context.job.submission;
    let requirement = version_requirement(context, index);
    let model = submission.model.as_deref();
    let describe = || WaitingItem {
        requirement,
        loading: model.map_or(0, |model| context.round.loading(&context.inner.fleet, model)),
        job: &submission.id,
        item: &submission.items[index as usize].id,
        reason,
        engines: context.round.engines.len(),
        eligible: context.eligible.len(),
        with_free_slots: context.eligible.iter().filter(|candidate| candidate.engine.has_free_slot()).count(),
        suspicion_revision: context.suspicions.revision(),
    };
    let wait = &mut context.run.items[index as usize].wait;
    context.inner.wait_log.update(wait, context.now, &context.inner.metrics, describe);
}

/// Plans an attempt of an item; fails with the reason why the item has to wait.
pub(crate) fn plan_item<B: Backends>(
    context: &mut JobContext<'_, '_, B>,
    route: &Route,
    index: u32,
    item_deadline: Duration,
    plan: &Plan,
) -> Result<PlannedAttempt, WaitReason> {
    if plan.starts.len() >= MAX_STARTS_PER_PLAN {
        return Err(WaitReason::PlanLimitReached);
    }
    let run = &context.run.items[index as usize];
    if context.now < run.not_before {
        return Err(run.pause_reason);
    }
    let chosen = choose_engine(context, route, index).ok_or_else(|| no_engine_reason(context, route, index))?;
    let start = planned_attempt(context, route, index, item_deadline, chosen);
    chosen.engine.reserve_slot();
    let group = context.job.submission.items[index as usize].group.clone();
    context.run.group_engines.insert(group, start.target.instance.clone());
    Ok(start)
}

/// An attempt of an item at an engine.
pub(crate) fn planned_attempt<B: Backends>(
    context: &JobContext<'_, '_, B>,
    route: &Route,
    index: u32,
    item_deadline: Duration,
    chosen: &EligibleEngine<'_>,
) -> PlannedAttempt {
    let submission = &context.job.submission;
    PlannedAttempt {
        job: submission.id.clone(),
        index,
        item: submission.items[index as usize].clone(),
        host: submission.host.clone(),
        path: submission.path.clone(),
        owner: submission.owner.clone(),
        model: submission.model.clone(),
        target: chosen.engine.target.clone(),
        expected_version: chosen.version,
        minimum_version: submission.minimum_version,
        single_version: route.batch.single_version,
        max_attempts: route.max_attempts.max(1),
        item_deadline,
        text: context.run.items[index as usize].text.clone(),
        term: context.round.term,
    }
}

fn no_engine_reason<B: Backends>(context: &JobContext<'_, '_, B>, route: &Route, index: u32) -> WaitReason {
    if context.eligible.is_empty() {
        WaitReason::NoEligibleEngine
    } else if !has_engine_for_text(context, route, index) {
        WaitReason::NoEngineForText
    } else if usable_engines(context, route, index).next().is_none() {
        WaitReason::NoFreeSlot
    } else {
        WaitReason::OnlyDegradedEngines
    }
}

fn has_engine_for_text<B: Backends>(context: &JobContext<'_, '_, B>, route: &Route, index: u32) -> bool {
    let run = &context.run.items[index as usize];
    context.eligible.iter().any(|candidate| candidate.may_continue(run, route.batch.single_version))
}

/// Plans the score call of an item; fails with the reason why the item has to wait.
fn plan_score_call<B: Backends>(
    context: &mut JobContext<'_, '_, B>,
    index: u32,
    item_deadline: Duration,
) -> Result<ScoreCall, WaitReason> {
    let progress = &context.run.items[index as usize].scoring;
    let item = &context.job.submission.items[index as usize];
    if context.now < progress.not_before {
        return Err(progress.pause_reason);
    }
    let request = item.scorer.as_ref().ok_or(WaitReason::NoScorer)?;
    let chosen = context.inner.scorers.choose(&mut context.scoring.borrow_mut(), request, progress.avoid.as_ref());
    let (route, engine) = chosen.ok_or(WaitReason::NoScorer)?;
    Ok(ScoreCall {
        job: context.job.submission.id.clone(),
        index,
        item: item.id.clone(),
        request: request.clone(),
        owner: context.job.submission.owner.clone(),
        engine,
        max_attempts: route.max_attempts.max(1),
        call: progress.calls + 1,
        item_deadline,
        call_timeout: context.inner.config.score_timeout,
        text: context.run.items[index as usize].text.clone(),
        term: context.round.term,
    })
}

/// Whether the committed state still allows sending the item: its job is open, it has no result, and the route and
/// engine accept it.
pub(crate) fn is_still_pending(state: &ControlState, start: &PlannedAttempt) -> bool {
    let job = state.jobs.get(&start.job);
    let is_pending = job.is_some_and(|job| !job.is_ended() && !job.is_listed(start.index));
    is_pending && may_route_to(state, &start.target.instance, &start.host, &start.path)
}

/// Whether the committed state allows sending a request for `host` and `path` to an instance.
pub(crate) fn may_route_to(state: &ControlState, instance: &InstanceId, host: &str, path: &str) -> bool {
    let instance = state.instances.get(instance);
    let ready = instance.is_some_and(|record| record.state == InstanceState::Ready);
    let allows = |document: &RoutingDocument| {
        let route = document.find(host, path);
        route.zip(instance).is_some_and(|(route, record)| route.serves(&record.report.service))
    };
    ready && state.routing.current().is_some_and(allows)
}
