//! Plans, starts and stops items while this process is leader.

use crate::coordinator::Coordinator;
use crate::item;
use crate::job_run::Phase;
use crate::plan::{self, Plan, PlannedAttempt};
use crate::scoring::{self, ScoreCall};
use crate::text;
use futures::future::{self, Either};
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::instance::{InstanceId, InstanceState};
use saddlerelay_types::job::{ItemOutcome, JobId};
use saddlerelay_types::suspicion::Retrial;
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::EngineTarget;
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::time::Duration;

/// Maximum time between plans while jobs are open.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum delay before a new plan; batches events that occur close together.
const MIN_PLAN_DELAY: Duration = Duration::from_millis(1);

/// Maximum delay before a new plan, even if the previous one took long.
const MAX_PLAN_DELAY: Duration = Duration::from_millis(20);

/// The delay before a plan, as a multiple of the time the previous plan took; limits planning to a fifth of the
/// process's time.
const PLAN_DELAY_FACTOR: u32 = 4;

/// Pause before retrials are requested again after their commit failed.
const RETRIAL_COMMIT_RETRY: Duration = Duration::from_millis(250);

/// Interval between leadership checks while there is no work.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) async fn run<B: Backends>(coordinator: Coordinator<B>) {
    let inner = &coordinator.inner;
    loop {
        let began_at = coordinator.now();
        let work_count = inner.node.job_work().count();
        let replan_count = inner.replan.count();
        let busy = match inner.node.replica().leading_term() {
            Some(term) => coordinator.run_plan(term),
            // A leader without recent replies of a quorum starts no items, but running items continue.
            None if inner.node.replica().claimed_term() == Some(inner.term.get()) => true,
            None => {
                coordinator.stop_all_jobs();
                false
            }
        };
        let elapsed = coordinator.now().saturating_sub(began_at);
        let delay = (elapsed * PLAN_DELAY_FACTOR).clamp(MIN_PLAN_DELAY, MAX_PLAN_DELAY);
        let work = pin!(inner.node.job_work().changed(work_count));
        let replan = pin!(inner.replan.changed(replan_count));
        let pause = pin!(inner.runtime.sleep(if busy { MAX_PLAN_INTERVAL } else { IDLE_INTERVAL }));
        if let Either::Left(_) = future::select(future::select(work, replan), pause).await {
            inner.runtime.sleep(delay).await;
        }
    }
}

impl<B: Backends> Coordinator<B> {
    /// Makes and applies a plan; returns whether there are open jobs.
    fn run_plan(&self, term: u64) -> bool {
        if self.inner.term.replace(term) != term {
            self.stop_all_jobs();
            self.inner.fleet.clear();
            self.inner.working_set.borrow_mut().clear();
            self.inner.batch_order.borrow_mut().clear();
            spdlog::info!("leading", kv: { term = term });
        }
        let planned = self.inner.node.read(|state| {
            self.update_working_set(state, term);
            self.prune_engines(state);
            plan::plan(self, state, term)
        });
        let Some(plan) = planned else {
            return false;
        };
        self.remove_ended_jobs(&plan.open);
        let busy = !plan.open.is_empty();
        self.inner.waiting_items.borrow_mut().clone_from(&plan.waiting_items);
        if plan.has_more {
            self.inner.replan.notify();
        }
        self.request_retrials(&plan.retrials);
        self.apply_plan(plan);
        busy
    }

    /// Commits retrials of quarantined work, unless earlier ones are still being committed.
    fn request_retrials(&self, retrials: &BTreeMap<WorkDigest, u32>) {
        if retrials.is_empty() || self.inner.are_retrials_pending.replace(true) {
            return;
        }
        let retrials = retrials.iter().map(|(work, number)| Retrial { work: *work, number: *number });
        let retrials: Vec<Retrial> = retrials.collect();
        self.inner.metrics.retrials_requested.inc_by(retrials.len() as u64);
        let coordinator = self.clone();
        self.inner.runtime.spawn(async move {
            let inner = &coordinator.inner;
            if let Err(error) = inner.node.allow_retrials(retrials, "owed item").await {
                spdlog::warn!("retrials not committed, will retry", kv: { reason = format!("{error:?}").as_str() });
                inner.runtime.sleep(RETRIAL_COMMIT_RETRY).await;
            }
            inner.are_retrials_pending.set(false);
            inner.replan.notify();
        });
    }

    /// Updates the working set, and records the weight versions that its engines report.
    fn update_working_set(&self, state: &ControlState, term: u64) {
        let inner = &self.inner;
        let mut working_set = inner.working_set.borrow_mut();
        let added = working_set.update(state, inner.working_set_policy.as_ref());
        let reported = inner.node.take_unread_reports();
        for instance in reported.iter().filter(|instance| working_set.contains(instance)) {
            self.apply_engine_report(instance);
        }
        if !added.is_empty() {
            spdlog::info!("engines added to working set", kv: {
                added = added.len(), engines = working_set.iter().count()
            });
        }
        let document = state.routing.current();
        let hosts_models = |service: &str| {
            let service = document.and_then(|document| document.service(service));
            service.is_some_and(|service| service.hosting.is_some())
        };
        let without_report = added.into_iter().filter(|instance| !self.apply_engine_report(instance));
        let targets = without_report.filter_map(|instance| {
            let report = &state.instances.get(&instance)?.report;
            hosts_models(&report.service).then_some(EngineTarget { instance, address: report.address })
        });
        crate::orders::request_reports(self, targets.collect(), term);
    }

    /// Records the weight versions that an engine reported to this process; returns whether there is such a report.
    fn apply_engine_report(&self, instance: &InstanceId) -> bool {
        let report = self.inner.node.reported_models(instance);
        if let Some((at, models)) = &report {
            self.inner.fleet.record_versions(instance, models, *at);
        }
        report.is_some()
    }

    /// Drops the state of engines that left the working set or were removed, if the instance table has changed.
    fn prune_engines(&self, state: &ControlState) {
        let inner = &self.inner;
        let revision = state.instances.revision();
        if inner.pruned_revision.replace(revision) == revision {
            return;
        }
        let working_set = inner.working_set.borrow();
        inner.fleet.retain(|instance| working_set.contains(instance));
        let is_deregistered = |instance: &InstanceId| {
            state.instances.get(instance).is_none_or(|record| record.state == InstanceState::Gone)
        };
        inner.scorers.retain(|instance| !is_deregistered(instance));
        inner.pool.retain(|instance| !is_deregistered(instance));
    }

    fn apply_plan(&self, plan: Plan) {
        for (job, index) in plan.completed {
            self.finish_item(&job, index, None);
        }
        for (job, index, reason) in plan.aborts {
            spdlog::warn!("item aborted", kv: { job = job.0.as_str(), index = index, reason = reason });
            self.inner.metrics.items_aborted.inc();
            self.finish_item(&job, index, Some(text::aborted_outcome(index)));
        }
        for (job, index) in plan.moves {
            self.move_item(&job, index);
        }
        for (job, index) in plan.displaced {
            self.displace_item(&job, index);
        }
        for start in plan.starts {
            self.start_item(start);
        }
        for call in plan.score_calls {
            self.start_scoring(call);
        }
    }

    fn finish_item(&self, job: &JobId, index: u32, outcome: Option<ItemOutcome>) {
        let mut jobs = self.inner.jobs.borrow_mut();
        let run = jobs.get_mut(job).and_then(|run| run.items.get_mut(index as usize));
        if let Some(run) = run {
            run.phase = Phase::Ended;
            let outcome = outcome.unwrap_or_else(|| run.text.borrow().outcome(index, None));
            self.queue_outcome(job, outcome);
        }
    }

    /// Cancels an item's request, so that the next plan resumes it on another engine.
    fn move_item(&self, job: &JobId, index: u32) {
        let mut jobs = self.inner.jobs.borrow_mut();
        let run = jobs.get_mut(job).and_then(|run| run.items.get_mut(index as usize));
        if let Some(run) = run
            && let Phase::Running { instance, .. } = std::mem::replace(&mut run.phase, Phase::Waiting)
        {
            spdlog::info!("item moved", kv: {
                job = job.0.as_str(), index = index, instance = instance.name.as_str(),
                events = run.text.borrow().events()
            });
            run.avoid = Some(instance);
            run.moves += 1;
            self.inner.replan.notify();
        }
    }

    /// Cancels an item's request, as another item takes its slot. The next plan resumes it where there is room.
    fn displace_item(&self, job: &JobId, index: u32) {
        let mut jobs = self.inner.jobs.borrow_mut();
        let run = jobs.get_mut(job).and_then(|run| run.items.get_mut(index as usize));
        if let Some(run) = run
            && let Phase::Running { instance, .. } = std::mem::replace(&mut run.phase, Phase::Waiting)
        {
            run.displacements += 1;
            spdlog::info!("item displaced", kv: {
                job = job.0.as_str(), index = index, instance = instance.name.as_str(),
                events = run.text.borrow().events(), displacements = run.displacements
            });
            self.inner.metrics.items_displaced.inc();
            self.inner.replan.notify();
        }
    }

    fn start_item(&self, start: PlannedAttempt) {
        let instance = start.target.instance.clone();
        let (job, index) = (start.job.clone(), start.index as usize);
        let since = self.now();
        let task = compio::runtime::spawn(item::run(self.clone(), start));
        let mut jobs = self.inner.jobs.borrow_mut();
        if let Some(run) = jobs.get_mut(&job).and_then(|run| run.items.get_mut(index)) {
            run.phase = Phase::Running { _task: task, instance, since };
        }
    }

    fn start_scoring(&self, call: ScoreCall) {
        let (job, index) = (call.job.clone(), call.index as usize);
        let instance = call.engine.target.instance.clone();
        let in_flight = self.inner.scorers.begin_call(&instance, self.now());
        let task = compio::runtime::spawn(scoring::run(self.clone(), call, in_flight));
        let mut jobs = self.inner.jobs.borrow_mut();
        if let Some(run) = jobs.get_mut(&job).and_then(|run| run.items.get_mut(index)) {
            run.phase = Phase::Scoring { _task: task };
            run.scoring.calls += 1;
            run.scoring.avoid = Some(instance);
        }
    }

    /// Drops jobs that are no longer open, which cancels their running items.
    fn remove_ended_jobs(&self, open: &BTreeSet<JobId>) {
        let inner = &self.inner;
        let ended: Vec<JobId> = inner.jobs.borrow().keys().filter(|id| !open.contains(*id)).cloned().collect();
        for id in ended {
            let removed = inner.jobs.borrow_mut().remove(&id);
            let items = removed.as_ref().map_or(0, |run| run.items.len());
            spdlog::info!("job dropped", kv: { job = id.0.as_str(), items = items });
        }
    }

    /// Cancels all running items, on loss of leadership or at the start of a new term.
    fn stop_all_jobs(&self) {
        let inner = &self.inner;
        if inner.jobs.borrow().is_empty() {
            return;
        }
        spdlog::warn!("leadership lost; running jobs stopped", kv: {
            term = inner.term.get(), jobs = inner.jobs.borrow().len()
        });
        let stopped = std::mem::take(&mut *inner.jobs.borrow_mut());
        drop(stopped);
        inner.outcomes.borrow_mut().clear();
    }
}
