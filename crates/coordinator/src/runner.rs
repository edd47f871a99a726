//! Starts and stops items while this process leads.

use crate::coordinator::Coordinator;
use crate::item;
use crate::job_run::Phase;
use crate::plan::{self, Plan, Start};
use crate::scoring::{self, ScoreCall};
use crate::text;
use futures::future::{self, Either};
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::instance::{InstanceId, InstanceState};
use saddlerelay_types::job::{ItemOutcome, JobId};
use saddlerelay_upstream::EngineTarget;
use std::collections::BTreeSet;
use std::pin::pin;
use std::time::Duration;

/// Longest pause between plans while there are open jobs.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest pause before a plan: several items end in one moment, and one plan serves them all.
const LEAST_GATHER: Duration = Duration::from_millis(1);

/// Longest pause before a plan, though making one takes long.
const MOST_GATHER: Duration = Duration::from_millis(20);

/// How many times as long as the last plan took the next one waits: planning takes a fifth of the process at most.
const GATHER_FACTOR: u32 = 4;

/// Pause between looks at whether this process leads.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Runs until the process ends.
pub(crate) async fn run<B: Backends>(coordinator: Coordinator<B>) {
    let inner = &coordinator.inner;
    loop {
        let began_at = coordinator.now();
        let seen_work = inner.node.job_work().count();
        let seen_replan = inner.replan.count();
        let busy = match inner.node.replica().leading_term() {
            Some(term) => coordinator.act(term),
            // A leader that no quorum has answered lately starts nothing, but may go on with what runs.
            None if inner.node.replica().claimed_term() == Some(inner.term.get()) => true,
            None => {
                coordinator.stop_all();
                false
            }
        };
        let took = coordinator.now().saturating_sub(began_at);
        let gather = (took * GATHER_FACTOR).clamp(LEAST_GATHER, MOST_GATHER);
        let work = pin!(inner.node.job_work().changed(seen_work));
        let replan = pin!(inner.replan.changed(seen_replan));
        let pause = pin!(inner.runtime.sleep(if busy { PLAN_INTERVAL } else { IDLE_INTERVAL }));
        if let Either::Left(_) = future::select(future::select(work, replan), pause).await {
            inner.runtime.sleep(gather).await;
        }
    }
}

impl<B: Backends> Coordinator<B> {
    /// Plans and starts; returns whether there are open jobs.
    fn act(&self, term: u64) -> bool {
        if self.inner.term.replace(term) != term {
            self.stop_all();
            self.inner.fleet.clear();
            self.inner.working_set.borrow_mut().clear();
            spdlog::info!("leading", kv: { term = term });
        }
        let planned = self.inner.node.read(|state| {
            self.follow_engines(state, term);
            self.forget_engines(state);
            plan::plan(self, state, term)
        });
        let Some(plan) = planned else {
            return false;
        };
        self.drop_ended(&plan.open);
        let busy = !plan.open.is_empty();
        self.inner.waiting.borrow_mut().clone_from(&plan.waiting);
        self.inner.awaited.borrow_mut().clone_from(&plan.awaited);
        if plan.has_more {
            self.inner.replan.notify();
        }
        self.carry_out(plan);
        busy
    }

    /// Follows which engines there are, and takes what those that are worked with report of their weights.
    fn follow_engines(&self, state: &ControlState, term: u64) {
        let inner = &self.inner;
        let mut working_set = inner.working_set.borrow_mut();
        let added = working_set.follow(state, inner.working_set_policy.as_ref());
        let reported = inner.node.take_unread_reports();
        for instance in reported.iter().filter(|instance| working_set.contains(instance)) {
            self.learn_report(instance);
        }
        if !added.is_empty() {
            spdlog::info!("engines taken into work", kv: { added = added.len(), engines = working_set.iter().count() });
        }
        let document = state.routing.current();
        let hosts_models = |service: &str| {
            let service = document.and_then(|document| document.service(service));
            service.is_some_and(|service| service.hosting.is_some())
        };
        let unheard = added.into_iter().filter(|instance| !self.learn_report(instance));
        let targets = unheard.filter_map(|instance| {
            let report = &state.instances.get(&instance)?.report;
            hosts_models(&report.service).then_some(EngineTarget { instance, address: report.address })
        });
        crate::orders::ask_reports(self, targets.collect(), term);
    }

    /// Takes what an engine has reported to this leader, if it has.
    fn learn_report(&self, instance: &InstanceId) -> bool {
        let report = self.inner.node.reported_models(instance);
        if let Some((at, models)) = &report {
            self.inner.fleet.learn(instance, models, *at);
        }
        report.is_some()
    }

    /// Forgets engines that are no longer worked with, when the table has changed.
    fn forget_engines(&self, state: &ControlState) {
        let inner = &self.inner;
        let revision = state.instances.revision();
        if inner.forgotten_at.replace(revision) == revision {
            return;
        }
        let working_set = inner.working_set.borrow();
        inner.fleet.retain(|instance| working_set.contains(instance));
        let is_gone = |instance: &InstanceId| {
            state.instances.get(instance).is_none_or(|record| record.state == InstanceState::Gone)
        };
        inner.scorers.retain(|instance| !is_gone(instance));
        inner.pool.retain(|instance| !is_gone(instance));
    }

    fn carry_out(&self, plan: Plan) {
        for (job, index) in plan.whole {
            self.finish(&job, index, None);
        }
        for (job, index, reason) in plan.give_up {
            spdlog::warn!("item given up", kv: { job = job.0.as_str(), index = index, reason = reason });
            self.inner.metrics.items_aborted.inc();
            self.finish(&job, index, Some(text::aborted(index)));
        }
        for (job, index) in plan.moves {
            self.move_away(&job, index);
        }
        for start in plan.starts {
            self.start_item(start);
        }
        for call in plan.score_calls {
            self.start_scoring(call);
        }
    }

    fn finish(&self, job: &JobId, index: u32, outcome: Option<ItemOutcome>) {
        let mut jobs = self.inner.jobs.borrow_mut();
        let run = jobs.get_mut(job).and_then(|run| run.items.get_mut(index as usize));
        if let Some(run) = run {
            run.phase = Phase::Ended;
            let outcome = outcome.unwrap_or_else(|| run.text.borrow().outcome(index, None));
            self.list(job, outcome);
        }
    }

    /// Ends an item's request so that it goes on at a faster engine.
    fn move_away(&self, job: &JobId, index: u32) {
        let mut jobs = self.inner.jobs.borrow_mut();
        let run = jobs.get_mut(job).and_then(|run| run.items.get_mut(index as usize));
        if let Some(run) = run
            && let Phase::Running { instance, .. } = std::mem::replace(&mut run.phase, Phase::Waiting)
        {
            spdlog::info!("item moved", kv: {
                job = job.0.as_str(), index = index, instance = instance.name.as_str(), events = run.text.borrow().events()
            });
            run.avoid = Some(instance);
            run.moves += 1;
            self.inner.replan.notify();
        }
    }

    fn start_item(&self, start: Start) {
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
        let in_flight = self.inner.scorers.begin(&instance, self.now());
        let task = compio::runtime::spawn(scoring::run(self.clone(), call, in_flight));
        let mut jobs = self.inner.jobs.borrow_mut();
        if let Some(run) = jobs.get_mut(&job).and_then(|run| run.items.get_mut(index)) {
            run.phase = Phase::Scoring { _task: task };
            run.scoring.calls += 1;
            run.scoring.avoid = Some(instance);
        }
    }

    /// Ends what runs of jobs that have ended.
    fn drop_ended(&self, open: &BTreeSet<JobId>) {
        let inner = &self.inner;
        let ended: Vec<JobId> = inner.jobs.borrow().keys().filter(|id| !open.contains(*id)).cloned().collect();
        for id in ended {
            let dropped = inner.jobs.borrow_mut().remove(&id);
            let items = dropped.as_ref().map_or(0, |run| run.items.len());
            spdlog::info!("job dropped", kv: { job = id.0.as_str(), items = items });
        }
    }

    /// Ends everything: this process does not lead, or leads anew.
    fn stop_all(&self) {
        let inner = &self.inner;
        if inner.jobs.borrow().is_empty() {
            return;
        }
        spdlog::warn!("leadership lost", kv: { term = inner.term.get(), jobs = inner.jobs.borrow().len() });
        let stopped = std::mem::take(&mut *inner.jobs.borrow_mut());
        drop(stopped);
        inner.outcomes.borrow_mut().clear();
    }
}
