//! Plans which items go to which engines now.

use crate::coordinator::{Coordinator, Inner};
use crate::job_run::{JobRun, Phase};
use crate::lost_connections::SuspectedRun;
use crate::moves::plan_moves;
use crate::pace::Paces;
use crate::placement::{FittingEngine, choose_engine, fitting_engines, usable_engines};
use crate::scorers::ScoringRound;
use crate::scoring::ScoreCall;
use crate::text::ItemText;
use crate::waits::{WaitReason, WaitingItem};
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::jobs::Job;
use saddlerelay_control::state::suspicions::SuspicionTable;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::instance::{InstanceId, InstanceState};
use saddlerelay_types::job::{ItemId, JobId, JobItem};
use saddlerelay_types::routing::{Route, RoutingDocument};
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::EngineTarget;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Jobs that one plan takes up. A new leader finds a dozen, and reads what is there of each one's texts; between plans it
/// answers the group, which would lose it otherwise.
const TAKEN_UP_AT_ONCE: usize = 2;

/// Items that one plan starts. Where engines are plenty, all items of a step can start at once: 176 connections and requests
/// take a leader of 0.3 of a core a quarter of a second, three trainers' steps more than its quorum waits. Plans follow each
/// other within 20 ms: so 1,600 items a second start at least, of 300 that come.
const STARTED_AT_ONCE: usize = 32;

/// An engine that may be given items.
pub(crate) struct Engine {
    pub target: EngineTarget,
    pub service: String,
    pub slots: u32,
    pub silent: bool,
    /// Seconds an event, as far as is known.
    pub pace: f64,
    /// The weights that it has, by model; without those that are being changed.
    pub weights: Rc<BTreeMap<String, u64>>,
    /// Items at it, and those planned in this round.
    load: Cell<u32>,
}

impl Engine {
    /// Whether it may be given another item.
    pub fn has_room(&self) -> bool {
        self.load.get() < self.slots
    }

    /// The part of its slots that is taken.
    pub fn fullness(&self) -> f64 {
        f64::from(self.load.get()) / f64::from(self.slots.max(1))
    }

    /// An item is planned to go there.
    pub fn plan_item(&self) {
        self.load.set(self.load.get() + 1);
    }
}

/// What the plans of all jobs in one round share.
pub(crate) struct Round {
    pub engines: Vec<Engine>,
    /// Seconds an event at the fastest of them.
    pub fastest: f64,
    pub paces: Paces,
    pub now: Duration,
    term: u64,
}

impl Round {
    fn new<B: Backends>(coordinator: &Coordinator<B>, state: &ControlState, term: u64) -> Self {
        let now = coordinator.now();
        let paces = coordinator.inner.fleet.paces(now);
        let engines = ready_engines(coordinator, state, &paces, now);
        let fastest = engines.iter().map(|engine| engine.pace).fold(f64::INFINITY, f64::min);
        Self { engines, fastest, paces, now, term }
    }
}

/// An item to send to an engine.
pub(crate) struct Start {
    pub job: JobId,
    pub index: u32,
    pub item: JobItem,
    pub host: String,
    pub path: String,
    /// The tenant whose job it is.
    pub owner: Option<TenantId>,
    pub model: Option<String>,
    pub target: EngineTarget,
    pub expected_version: Option<u64>,
    pub minimum_version: u64,
    pub single_version: bool,
    pub max_attempts: u32,
    pub give_up_at: Duration,
    pub text: Rc<RefCell<ItemText>>,
    pub term: u64,
}

impl SuspectedRun for Start {
    fn item(&self) -> &ItemId {
        &self.item.id
    }

    fn work_digest(&self) -> WorkDigest {
        self.item.work_digest(self.owner.as_ref(), &self.host)
    }

    fn ends_by(&self, _now: Duration) -> Duration {
        self.give_up_at
    }
}

/// What is to be done now.
#[derive(Default)]
pub(crate) struct Plan {
    pub starts: Vec<Start>,
    /// Whole texts to have scored now.
    pub score_calls: Vec<ScoreCall>,
    /// Items whose text is whole already and that name no scorer.
    pub whole: Vec<(JobId, u32)>,
    /// Items to give up, and why.
    pub give_up: Vec<(JobId, u32, &'static str)>,
    /// Running items that go on at a faster engine.
    pub moves: Vec<(JobId, u32)>,
    pub open: BTreeSet<JobId>,
    /// Items that are left waiting, by model.
    pub waiting: BTreeMap<String, u32>,
    /// The newest version of each model that waiting items ask for at least and that no engine of theirs holds.
    pub awaited: BTreeMap<String, u64>,
    /// Jobs are left to be taken up, or items to be started, by the next plan.
    pub has_more: bool,
}

/// Plans from the committed state.
pub(crate) fn plan<B: Backends>(coordinator: &Coordinator<B>, state: &ControlState, term: u64) -> Plan {
    let inner = &coordinator.inner;
    let round = Round::new(coordinator, state, term);
    let now = round.now;
    let mut plan = Plan::default();
    let mut open: Vec<(&JobId, &Job)> = state.jobs.open().collect();
    open.sort_by_key(|(_, job)| job.order());
    let mut scoring = ScoringRound::new(state, now);
    let mut jobs = inner.jobs.borrow_mut();
    let mut taken_up = 0;
    for (id, job) in open {
        plan.open.insert(id.clone());
        let submission = &job.submission;
        let route = state.routing.current().and_then(|document| document.find(&submission.host, &submission.path));
        if !jobs.contains_key(id) {
            if taken_up == TAKEN_UP_AT_ONCE {
                plan.has_more = true;
                continue;
            }
            taken_up += 1;
        }
        let run = jobs.entry(id.clone()).or_insert_with(|| take_up(coordinator, state, job, route, now));
        plan_job(
            &mut PlanOfJob {
                inner,
                job,
                run,
                route,
                now,
                round: &round,
                fitting: Vec::new(),
                scoring: &mut scoring,
                suspicions: &state.suspicions,
            },
            &mut plan,
        );
    }
    plan.has_more |= plan.starts.len() == STARTED_AT_ONCE;
    plan
}

/// Begins to run a job.
fn take_up<B: Backends>(
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
            working_set.note_job(&target.service, submission.model.as_deref(), items);
        }
    }
    let run = JobRun::new(job, state, coordinator.names(), tokens_per_event, now);
    if let Some(model) = &submission.model {
        let expected = run.mean_events * run.items.len() as f64;
        coordinator.inner.homes.borrow_mut().note_demand(model, expected);
    }
    let reused = run.items.iter().filter(|item| item.text.borrow().events() > 0).count();
    let whole = run.items.iter().filter(|item| item.text.borrow().is_complete()).count();
    coordinator.inner.metrics.texts_reused.inc_by(reused as u64);
    spdlog::info!("job taken up", kv: {
        job = submission.id.0.as_str(), step = submission.step, items = submission.items.len(),
        minimum_version = submission.minimum_version, model = submission.model.as_deref().unwrap_or("-"),
        listed = job.results().len(), texts_reused = reused, whole_texts_reused = whole
    });
    run
}

fn ready_engines<B: Backends>(
    coordinator: &Coordinator<B>,
    state: &ControlState,
    paces: &Paces,
    now: Duration,
) -> Vec<Engine> {
    let fleet = &coordinator.inner.fleet;
    let working_set = coordinator.inner.working_set.borrow();
    let records = working_set.iter().filter_map(|instance| state.instances.get(instance));
    let usable =
        records.filter(|record| record.state == InstanceState::Ready && !fleet.is_resting(&record.report.id, now));
    usable
        .map(|record| Engine {
            target: EngineTarget { instance: record.report.id.clone(), address: record.report.address },
            service: record.report.service.clone(),
            slots: record.report.slots,
            silent: record.silent,
            pace: paces.of(&record.report.id),
            weights: fleet.settled_weights(&record.report.id),
            load: Cell::new(fleet.in_flight(&record.report.id)),
        })
        .collect()
}

/// What the plan of one job starts from.
pub(crate) struct PlanOfJob<'a, 's, B: Backends> {
    pub inner: &'a Inner<B>,
    pub job: &'a Job,
    pub run: &'a mut JobRun,
    route: Option<&'a Route>,
    pub now: Duration,
    pub round: &'a Round,
    /// The engines that its items may go to, with room or without.
    pub fitting: Vec<FittingEngine<'a>>,
    scoring: &'a mut ScoringRound<'s>,
    /// Work under which engines have ended.
    suspicions: &'a SuspicionTable,
}

fn plan_job<B: Backends>(of: &mut PlanOfJob<'_, '_, B>, plan: &mut Plan) {
    let id = &of.job.submission.id;
    let give_up_at = of.route.map(|route| {
        let after = Duration::from_millis(route.batch.give_up_after_ms);
        of.run.seen_at + after + of.inner.config.give_up_margin
    });
    of.fitting = of.route.map(|route| fitting_engines(of, route)).unwrap_or_default();
    for position in 0..of.run.order.len() {
        let index = of.run.order[position];
        if of.job.is_listed(index) {
            of.run.items[index as usize].phase = Phase::Ended;
        }
        if !matches!(of.run.items[index as usize].phase, Phase::Waiting) {
            continue;
        }
        let (Some(route), Some(give_up_at)) = (of.route, give_up_at) else {
            plan.give_up.push((id.clone(), index, "its route is gone"));
            continue;
        };
        let is_whole = of.run.items[index as usize].text.borrow().is_complete();
        let scorer = of.job.submission.items[index as usize].scorer.as_ref();
        if is_whole && scorer.is_none() {
            plan.whole.push((id.clone(), index));
        } else if of.now >= give_up_at {
            plan.give_up.push((id.clone(), index, "its time is over"));
        } else if is_quarantined(of, index, is_whole) {
            hold_back(of, index);
            go_on_waiting(of, index, WaitReason::Quarantined);
        } else if is_whole {
            match plan_score_call(of, index, give_up_at) {
                Ok(call) => plan.score_calls.push(call),
                Err(reason) => go_on_waiting(of, index, reason),
            }
        } else {
            match plan_item(of, route, index, give_up_at, plan) {
                Ok(start) => plan.starts.push(start),
                Err(reason) => leave_waiting(of, index, reason, plan),
            }
        }
    }
    if let Some(route) = of.route.filter(|route| route.resumable) {
        plan_moves(of, route, plan);
    }
}

/// Whether what an item needs next, a run or a score, is work under which engine after engine has ended.
fn is_quarantined<B: Backends>(of: &PlanOfJob<'_, '_, B>, index: u32, is_whole: bool) -> bool {
    if of.suspicions.is_empty() {
        return false;
    }
    let submission = &of.job.submission;
    let item = &submission.items[index as usize];
    let run = &of.run.items[index as usize];
    let owner = submission.owner.as_ref();
    let work = match item.scorer.as_ref().filter(|_| is_whole) {
        Some(scorer) => run.scoring_work.get_or_init(|| scorer.work_digest(owner)),
        None => run.work.get_or_init(|| item.work_digest(owner, &submission.host)),
    };
    of.suspicions.is_quarantined(work)
}

/// Leaves an item waiting until its time is over or its work is released: it is neither done nor failed by an engine, so it
/// may not be listed as either.
fn hold_back<B: Backends>(of: &mut PlanOfJob<'_, '_, B>, index: u32) {
    let submission = &of.job.submission;
    let run = &mut of.run.items[index as usize];
    if !std::mem::replace(&mut run.held_back, true) {
        of.inner.metrics.items_held_back.inc();
        spdlog::warn!("item held back", kv: {
            item = submission.items[index as usize].id.0.as_str(),
            job = submission.id.0.as_str(),
            reason = "engines have ended under its work",
            suspicion_revision = of.suspicions.revision()
        });
    }
}

/// Counts an item that this plan does not start.
fn leave_waiting<B: Backends>(of: &mut PlanOfJob<'_, '_, B>, index: u32, reason: WaitReason, plan: &mut Plan) {
    go_on_waiting(of, index, reason);
    let Some(model) = &of.job.submission.model else {
        return;
    };
    *plan.waiting.entry(model.clone()).or_default() += 1;
    if of.fitting.is_empty() {
        let awaited = plan.awaited.entry(model.clone()).or_default();
        *awaited = of.job.submission.minimum_version.max(*awaited);
    }
}

/// Tells of an item that has been at no engine for long.
fn go_on_waiting<B: Backends>(of: &mut PlanOfJob<'_, '_, B>, index: u32, reason: WaitReason) {
    let submission = &of.job.submission;
    let describe = || WaitingItem {
        job: &submission.id,
        item: &submission.items[index as usize].id,
        reason,
        engines: of.round.engines.len(),
        fitting: of.fitting.len(),
        with_room: of.fitting.iter().filter(|fitting| fitting.engine.has_room()).count(),
        suspicion_revision: of.suspicions.revision(),
    };
    let wait = &mut of.run.items[index as usize].wait;
    of.inner.wait_lines.go_on(wait, of.now, &of.inner.metrics, describe);
}

/// Plans an item's start, or says what it waits for.
fn plan_item<B: Backends>(
    of: &mut PlanOfJob<'_, '_, B>,
    route: &Route,
    index: u32,
    give_up_at: Duration,
    plan: &Plan,
) -> Result<Start, WaitReason> {
    if plan.starts.len() >= STARTED_AT_ONCE {
        return Err(WaitReason::PlanIsFull);
    }
    let run = &of.run.items[index as usize];
    if of.now < run.not_before {
        return Err(run.pause_reason);
    }
    let submission = &of.job.submission;
    let item = &submission.items[index as usize];
    let chosen = choose_engine(of, route, index).ok_or_else(|| why_no_engine(of, route, index))?;
    let target = chosen.engine.target.clone();
    let start = Start {
        job: submission.id.clone(),
        index,
        item: item.clone(),
        host: submission.host.clone(),
        path: submission.path.clone(),
        owner: submission.owner.clone(),
        model: submission.model.clone(),
        target: target.clone(),
        expected_version: chosen.version,
        minimum_version: submission.minimum_version,
        single_version: route.batch.single_version,
        max_attempts: route.max_attempts.max(1),
        give_up_at,
        text: run.text.clone(),
        term: of.round.term,
    };
    chosen.engine.plan_item();
    of.run.group_engines.insert(item.group.clone(), target.instance);
    Ok(start)
}

/// Why no engine was chosen for an item.
fn why_no_engine<B: Backends>(of: &PlanOfJob<'_, '_, B>, route: &Route, index: u32) -> WaitReason {
    if of.fitting.is_empty() {
        WaitReason::NoFittingEngine
    } else if usable_engines(of, route, index).next().is_none() {
        WaitReason::NoRoom
    } else {
        WaitReason::NoSoundEngine
    }
}

/// Plans the call for an item's score, or says what it waits for.
fn plan_score_call<B: Backends>(
    of: &mut PlanOfJob<'_, '_, B>,
    index: u32,
    give_up_at: Duration,
) -> Result<ScoreCall, WaitReason> {
    let progress = &of.run.items[index as usize].scoring;
    let item = &of.job.submission.items[index as usize];
    if of.now < progress.not_before {
        return Err(progress.pause_reason);
    }
    let request = item.scorer.as_ref().ok_or(WaitReason::NoScorer)?;
    let chosen = of.inner.scorers.choose(of.scoring, request, progress.avoid.as_ref());
    let (route, engine) = chosen.ok_or(WaitReason::NoScorer)?;
    Ok(ScoreCall {
        job: of.job.submission.id.clone(),
        index,
        item: item.id.clone(),
        request: request.clone(),
        owner: of.job.submission.owner.clone(),
        engine,
        max_attempts: route.max_attempts.max(1),
        call: progress.calls + 1,
        give_up_at,
        call_limit: of.inner.config.score_limit,
        text: of.run.items[index as usize].text.clone(),
        term: of.round.term,
    })
}

/// Whether the item may still be sent, by the committed state at this moment.
pub(crate) fn still_wanted(state: &ControlState, start: &Start) -> bool {
    let job = state.jobs.get(&start.job);
    let wanted = job.is_some_and(|job| !job.is_ended() && !job.is_listed(start.index));
    wanted && may_reach(state, &start.target.instance, &start.host, &start.path)
}

/// Whether a request for `host` and `path` may go to an instance, by the committed state at this moment.
pub(crate) fn may_reach(state: &ControlState, instance: &InstanceId, host: &str, path: &str) -> bool {
    let instance = state.instances.get(instance);
    let ready = instance.is_some_and(|record| record.state == InstanceState::Ready);
    let allows = |document: &RoutingDocument| {
        let route = document.find(host, path);
        route.zip(instance).is_some_and(|(route, record)| route.serves(&record.report.service))
    };
    ready && state.routing.current().is_some_and(allows)
}
