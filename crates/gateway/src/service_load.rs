//! Decisions by the load that engines report: whether they are active, admission, the choice of an engine, and hedges.

use crate::forward::ForwardContext;
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use saddlerelay_runtime::Runtime;
use saddlerelay_scheduling::admission::{decide, hedge_helps, is_backlogged, rejection};
use saddlerelay_scheduling::{
    Activation, Admission, HedgeBudget, LoadReport, RejectReason, Rejection, RequestTimes, ServiceLoad,
};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::routing::RouteKind;
use saddlerelay_upstream::ReadyEngine;
use std::cell::Cell;
use std::time::Duration;

/// Least time between two log lines with the inputs of a rejection; a relay may reject hundreds per second.
const REJECTION_LINE_INTERVAL: Duration = Duration::from_millis(200);

/// Limits the log lines with the inputs of rejections.
#[derive(Default)]
pub(crate) struct RejectionLines {
    next_at: Cell<Duration>,
    not_logged: Cell<u64>,
}

/// The ready engines of a service with their load.
pub(crate) struct ReportedLoad {
    /// In the order of `load.engines()`.
    pub engines: Vec<ReadyEngine>,
    pub load: ServiceLoad,
}

impl Gateway {
    /// The load of a service if decisions by reported load are active for it. Without any usable report they are not,
    /// whatever the configuration says.
    pub(crate) fn reported_load(&self, service: &str, tried: &[InstanceId]) -> Option<ReportedLoad> {
        let options = &self.inner.options;
        if options.config.admission == Activation::Off {
            return None;
        }
        let engines: Vec<ReadyEngine> = self.inner.view.borrow().ready_engines(service).collect();
        let load = self.inner.balance.service_load(&engines, &options.zone, tried, self.now());
        let called_for = load.has_reports(true) || self.lists_tenants();
        let is_active = options.config.admission.is_active(called_for) && load.has_reports(false);
        is_active.then_some(ReportedLoad { engines, load })
    }

    /// Whether the routing document lists tenants, who compete for the engines of a service.
    fn lists_tenants(&self) -> bool {
        self.inner.view.borrow().table().is_some_and(|table| table.keys().is_some())
    }

    /// Picks an engine of `service` for a request of this kind of route; engines in `tried` are picked only if there is
    /// no other. Streams are not balanced by reported load: the time to their head says little about their duration.
    pub(crate) fn choose_engine(&self, service: &str, kind: RouteKind, tried: &[InstanceId]) -> Option<ReadyEngine> {
        let is_buffered = matches!(kind, RouteKind::Idempotent | RouteKind::NonIdempotent);
        if let Some(reported) = is_buffered.then(|| self.reported_load(service, tried)).flatten() {
            let index = reported.load.choose(self.inner.runtime.random())?;
            return reported.engines.into_iter().nth(index);
        }
        let view = self.inner.view.borrow();
        let zone = &self.inner.options.zone;
        self.inner.balance.choose(view.ready_engines(service), zone, tried, self.now())
    }

    /// Whether an engine's rejection with `report` says that it is full, rather than that it fails. Its report keeps
    /// further requests away, and for no longer than its queue lasts, so it is not ejected.
    pub(crate) fn is_full(&self, service: &str, report: Option<&LoadReport>) -> bool {
        report.is_some_and(|report| report.waiting > 0) && self.reported_load(service, &[]).is_some()
    }

    /// Admits a request by reported load and picks its engine; where that is not active, only picks one. A request that
    /// may have run is not rejected.
    pub(crate) fn admit_to_engine(
        &self,
        context: &ForwardContext<'_>,
        tried: &[InstanceId],
    ) -> Result<Option<ReadyEngine>, Refusal> {
        let kind = context.chosen.route().kind;
        let may_have_run = context.possible_runs.may_have_run();
        let reported = (!may_have_run).then(|| self.reported_load(context.service, tried)).flatten();
        let Some(mut reported) = reported else {
            return Ok(self.choose_engine(context.service, kind, tried));
        };
        match decide(&reported.load, &self.request_times(context), self.inner.runtime.random()) {
            Ok(Admission::Choose) => {
                if tried.is_empty() {
                    self.inner.metrics.admitted.inc();
                }
                let index = reported.load.choose(self.inner.runtime.random());
                Ok(index.map(|index| reported.engines.swap_remove(index)))
            }
            Ok(Admission::Probe(index)) => {
                self.inner.metrics.probes.inc();
                Ok(Some(reported.engines.swap_remove(index)))
            }
            Err(rejection) => Err(self.overloaded(context, &reported.load, rejection)),
        }
    }

    /// The refusal of a request that all engines rejected, if these report waiting requests.
    pub(crate) fn full_refusal(&self, context: &ForwardContext<'_>, tried: &[InstanceId]) -> Option<Refusal> {
        let reported = self.reported_load(context.service, tried)?;
        is_backlogged(&reported.load).then(|| {
            let (times, random) = (self.request_times(context), self.inner.runtime.random());
            let rejection = rejection(&reported.load, &times, random, RejectReason::Full);
            self.overloaded(context, &reported.load, rejection)
        })
    }

    fn request_times(&self, context: &ForwardContext<'_>) -> RequestTimes {
        let now = self.now();
        let route = context.chosen.route();
        // A route without an objective has its timeout as the objective.
        let objective_ms = if route.objective_ms == 0 { route.timeout_ms } else { route.objective_ms };
        let due_at = context.request.arrived_at + Duration::from_millis(objective_ms);
        RequestTimes {
            to_objective: due_at.saturating_sub(now),
            to_deadline: context.deadline.saturating_sub(now),
            priority: context.chosen.table.priority(context.chosen.index, &context.request.caller),
        }
    }

    fn overloaded(&self, context: &ForwardContext<'_>, load: &ServiceLoad, rejection: Rejection) -> Refusal {
        let metrics = &self.inner.metrics;
        match rejection.reason {
            RejectReason::Full => metrics.rejected_full.inc(),
            RejectReason::Late => metrics.rejected_late.inc(),
        };
        metrics.expected_at_rejection_seconds.observe(rejection.expected.as_secs_f64());
        self.log_rejection(context, load, &rejection);
        Refusal::Overloaded(rejection)
    }

    fn log_rejection(&self, context: &ForwardContext<'_>, load: &ServiceLoad, rejection: &Rejection) {
        let lines = &self.inner.rejection_lines;
        let now = self.now();
        if now < lines.next_at.get() {
            return lines.not_logged.set(lines.not_logged.get() + 1);
        }
        lines.next_at.set(now + REJECTION_LINE_INTERVAL);
        let (mut waiting, mut oldest) = (0, Duration::ZERO);
        for aged in load.engines().iter().filter_map(|engine| engine.report) {
            waiting += u64::from(aged.report.waiting);
            oldest = oldest.max(aged.age);
        }
        let tenant = context.request.caller.tenant().map(|tenant| tenant.as_str()).unwrap_or_default();
        spdlog::warn!("request rejected by reported load", kv: {
            request = context.request.id.as_str(),
            service = context.service,
            tenant = tenant,
            reason = Refusal::Overloaded(*rejection).reason(),
            expected_ms = rejection.expected.as_millis() as u64,
            retry_after_ms = rejection.retry_after.as_millis() as u64,
            engines = load.engines().len(),
            waiting = waiting,
            oldest_report_ms = oldest.as_millis() as u64,
            not_logged = lines.not_logged.replace(0)
        });
    }

    /// Counts a request towards the hedges that its service may have.
    pub(crate) fn count_hedgeable_request(&self, service: &str) {
        let mut budgets = self.inner.hedge_budgets.borrow_mut();
        match budgets.get_mut(service) {
            Some(budget) => budget.add_request(),
            None => budgets.entry(service.to_string()).or_default().add_request(),
        }
    }

    /// Whether a second engine may be asked: always where decisions by reported load are not active.
    pub(crate) fn may_hedge(&self, context: &ForwardContext<'_>, tried: &[InstanceId]) -> bool {
        let Some(reported) = self.reported_load(context.service, tried) else {
            return true;
        };
        let mut budgets = self.inner.hedge_budgets.borrow_mut();
        let may_hedge =
            hedge_helps(&reported.load) && budgets.get_mut(context.service).is_some_and(HedgeBudget::take_hedge);
        if !may_hedge {
            self.inner.metrics.hedges_withheld.inc();
        }
        may_hedge
    }
}
