//! Plans which items go to which engines now.

use crate::coordinator::{Coordinator, Inner};
use crate::text::{ItemText, digest};
use compio::runtime::JoinHandle;
use hyper::header::HeaderName;
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::jobs::Job;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::instance::{InstanceId, InstanceState};
use saddlerelay_types::job::{JobId, JobItem, JobSubmission};
use saddlerelay_types::routing::{Route, RoutingDocument};
use saddlerelay_upstream::EngineTarget;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// How much cheaper an engine is for an item whose group has run there: it keeps the shared prompt.
const SAME_GROUP_FACTOR: f64 = 0.8;

/// How much dearer an engine is that no longer reports itself.
const SILENT_FACTOR: f64 = 10.0;

/// Where an item stands.
pub(crate) enum Phase {
    /// It waits for an engine.
    Waiting,
    /// It runs; dropping the handle ends the request.
    Running { _task: JoinHandle<()> },
    /// It has a result, listed or on its way.
    Ended,
}

/// An item of a job that runs.
pub(crate) struct ItemRun {
    pub phase: Phase,
    pub text: Rc<RefCell<ItemText>>,
    /// Failures that count as attempts.
    pub failures: u32,
    pub not_before: Duration,
    /// The engine that failed it last.
    pub avoid: Option<InstanceId>,
}

/// A job that runs.
pub(crate) struct JobRun {
    pub seen_at: Duration,
    pub items: Vec<ItemRun>,
    /// The items' indexes, those expected to take longest first.
    pub order: Vec<u32>,
    /// Where each group's items were last sent.
    pub group_engines: BTreeMap<String, InstanceId>,
}

impl JobRun {
    fn new(submission: &JobSubmission, hint: &HeaderName, now: Duration) -> Self {
        let item = |_: &JobItem| ItemRun {
            phase: Phase::Waiting,
            text: Rc::default(),
            failures: 0,
            not_before: Duration::ZERO,
            avoid: None,
        };
        let mut order: Vec<u32> = (0..submission.items.len() as u32).collect();
        order.sort_by_key(|index| std::cmp::Reverse(expected_tokens(&submission.items[*index as usize], hint)));
        let items = submission.items.iter().map(item).collect();
        Self { seen_at: now, items, order, group_engines: BTreeMap::new() }
    }
}

/// The sender's guess at the tokens to be generated, or all that the item may take.
fn expected_tokens(item: &JobItem, hint: &HeaderName) -> u64 {
    let hinted = item.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(hint.as_str()));
    hinted.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(item.tokens)
}

/// An engine that may be given items.
struct Engine {
    target: EngineTarget,
    service: String,
    slots: u32,
    silent: bool,
}

/// An item to send to an engine.
pub(crate) struct Start {
    pub job: JobId,
    pub index: u32,
    pub item: JobItem,
    pub host: String,
    pub path: String,
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

/// What is to be done now.
#[derive(Default)]
pub(crate) struct Plan {
    pub starts: Vec<Start>,
    /// Items whose text is whole already.
    pub whole: Vec<(JobId, u32)>,
    /// Items to give up, and why.
    pub give_up: Vec<(JobId, u32, &'static str)>,
    pub open: BTreeSet<JobId>,
}

/// Plans from the committed state.
pub(crate) fn plan<B: Backends>(coordinator: &Coordinator<B>, state: &ControlState, term: u64) -> Plan {
    let inner = &coordinator.inner;
    let now = coordinator.now();
    let engines = ready_engines(coordinator, state, now);
    let mut planned: BTreeMap<InstanceId, u32> = BTreeMap::new();
    let mut plan = Plan::default();
    let mut open: Vec<(&JobId, &Job)> = state.jobs.open().collect();
    open.sort_by_key(|(_, job)| job.order());
    let mut jobs = inner.jobs.borrow_mut();
    for (id, job) in open {
        plan.open.insert(id.clone());
        let submission = &job.submission;
        let run = jobs.entry(id.clone()).or_insert_with(|| {
            let run = JobRun::new(submission, &coordinator.names().length_hint, now);
            tell_job(id, submission);
            run
        });
        let route = state.routing.current().and_then(|document| document.find(&submission.host, &submission.path));
        plan_job(&mut PlanOfJob { inner, job, run, route, now, term, engines: &engines, planned: &mut planned }, &mut plan);
    }
    plan
}

fn tell_job(id: &JobId, submission: &JobSubmission) {
    spdlog::info!("job taken up", kv: {
        job = id.0.as_str(), step = submission.step, items = submission.items.len(),
        minimum_version = submission.minimum_version, model = submission.model.as_deref().unwrap_or("-")
    });
}

fn ready_engines<B: Backends>(coordinator: &Coordinator<B>, state: &ControlState, now: Duration) -> Vec<Engine> {
    let silent = coordinator.inner.node.silent_instances(state);
    let fleet = &coordinator.inner.fleet;
    let usable = state.instances.iter().filter(|record| {
        record.state == InstanceState::Ready && !fleet.is_resting(&record.report.id, now)
    });
    usable
        .map(|record| Engine {
            target: EngineTarget { instance: record.report.id.clone(), address: record.report.address },
            service: record.report.service.clone(),
            slots: record.report.slots,
            silent: silent.binary_search(&record.report.id).is_ok(),
        })
        .collect()
}

struct PlanOfJob<'a, B: Backends> {
    inner: &'a Inner<B>,
    job: &'a Job,
    run: &'a mut JobRun,
    route: Option<&'a Route>,
    now: Duration,
    term: u64,
    engines: &'a [Engine],
    /// Items planned in this round, by engine.
    planned: &'a mut BTreeMap<InstanceId, u32>,
}

fn plan_job<B: Backends>(of: &mut PlanOfJob<B>, plan: &mut Plan) {
    let id = &of.job.submission.id;
    let give_up_at = of.route.map(|route| {
        let after = Duration::from_millis(route.batch.give_up_after_ms);
        of.run.seen_at + after + of.inner.config.give_up_margin
    });
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
        if of.now >= give_up_at {
            plan.give_up.push((id.clone(), index, "its time is over"));
            continue;
        }
        if take_kept_text(of, route, index) {
            plan.whole.push((id.clone(), index));
        } else if let Some(start) = plan_item(of, route, index, give_up_at) {
            plan.starts.push(start);
        }
    }
}

/// Uses what an earlier job left of the item's text; returns whether that is all of it.
fn take_kept_text<B: Backends>(of: &mut PlanOfJob<B>, route: &Route, index: u32) -> bool {
    let run = &of.run.items[index as usize];
    if run.text.borrow().events() > 0 {
        return false;
    }
    let submission = &of.job.submission;
    let item = &submission.items[index as usize];
    let mut kept = of.inner.kept.borrow_mut();
    let Some(text) = kept.take(item, submission.minimum_version, route.batch.single_version) else {
        return false;
    };
    of.inner.metrics.texts_reused.inc();
    spdlog::info!("text of an earlier job used", kv: {
        job = submission.id.0.as_str(), item = item.id.0.as_str(), digest = digest(item),
        events = text.events(), complete = text.is_complete(), versions = format!("{:?}", text.versions()).as_str(),
        minimum_version = submission.minimum_version
    });
    let complete = text.is_complete();
    if complete || route.resumable {
        *run.text.borrow_mut() = text;
    }
    complete
}

fn plan_item<B: Backends>(of: &mut PlanOfJob<B>, route: &Route, index: u32, give_up_at: Duration) -> Option<Start> {
    let run = &of.run.items[index as usize];
    if of.now < run.not_before {
        return None;
    }
    let submission = &of.job.submission;
    let item = &submission.items[index as usize];
    let engine = choose_engine(of, route, index)?;
    let instance = engine.target.instance.clone();
    let version = submission.model.as_ref().and_then(|model| of.inner.fleet.version(&instance, model));
    let start = Start {
        job: submission.id.clone(),
        index,
        item: item.clone(),
        host: submission.host.clone(),
        path: submission.path.clone(),
        model: submission.model.clone(),
        target: engine.target.clone(),
        expected_version: version,
        minimum_version: submission.minimum_version,
        single_version: route.batch.single_version,
        max_attempts: route.max_attempts.max(1),
        give_up_at,
        text: run.text.clone(),
        term: of.term,
    };
    *of.planned.entry(instance.clone()).or_default() += 1;
    of.run.group_engines.insert(item.group.clone(), instance);
    Some(start)
}

fn choose_engine<'a, B: Backends>(of: &PlanOfJob<'a, B>, route: &Route, index: u32) -> Option<&'a Engine> {
    let run = &of.run.items[index as usize];
    let item = &of.job.submission.items[index as usize];
    let group_engine = of.run.group_engines.get(&item.group);
    let fleet = &of.inner.fleet;
    let load = |engine: &Engine| {
        let instance = &engine.target.instance;
        fleet.in_flight(instance) + of.planned.get(instance).copied().unwrap_or(0)
    };
    let cost = |engine: &Engine| {
        let instance = &engine.target.instance;
        let fullness = f64::from(load(engine)) / f64::from(engine.slots.max(1));
        let group = if group_engine == Some(instance) { SAME_GROUP_FACTOR } else { 1.0 };
        let silent = if engine.silent { SILENT_FACTOR } else { 1.0 };
        fleet.pace(instance) * (1.0 + fullness) * group * silent
    };
    let serves = |engine: &&Engine| {
        let target = route.targets.iter().find(|target| target.service == engine.service);
        target.is_some_and(|target| target.weight > 0)
    };
    let has_room = |engine: &&Engine| load(engine) < engine.slots;
    let fits = |engine: &&Engine| version_fits(of, route, run, &engine.target.instance);
    let candidates = of.engines.iter().filter(serves).filter(has_room).filter(fits);
    let preferred = |engine: &Engine| run.avoid.as_ref() == Some(&engine.target.instance);
    candidates.min_by(|left, right| {
        let by_avoidance = preferred(left).cmp(&preferred(right));
        by_avoidance.then(cost(left).total_cmp(&cost(right)))
    })
}

fn version_fits<B: Backends>(of: &PlanOfJob<B>, route: &Route, run: &ItemRun, instance: &InstanceId) -> bool {
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

/// Whether the item may still be sent, by the committed state at this moment.
pub(crate) fn still_wanted(state: &ControlState, start: &Start) -> bool {
    let job = state.jobs.get(&start.job);
    let wanted = job.is_some_and(|job| !job.is_ended() && !job.is_listed(start.index));
    let instance = state.instances.get(&start.target.instance);
    let ready = instance.is_some_and(|record| record.state == InstanceState::Ready);
    let allows = |document: &RoutingDocument| {
        let service = instance.map(|record| record.report.service.as_str());
        let route = document.find(&start.host, &start.path);
        route.is_some_and(|route| {
            route.targets.iter().any(|target| target.weight > 0 && Some(target.service.as_str()) == service)
        })
    };
    wanted && ready && state.routing.current().is_some_and(allows)
}
