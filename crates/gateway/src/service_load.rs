//! Decisions by the load that engines report: whether they are active, and the choice of an engine.

use crate::gateway::Gateway;
use saddlerelay_runtime::Runtime;
use saddlerelay_scheduling::{LoadReport, ServiceLoad};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::routing::RouteKind;
use saddlerelay_upstream::ReadyEngine;

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
        let engines: Vec<ReadyEngine> = self.inner.view.borrow().ready_engines(service).collect();
        let options = &self.inner.options;
        let load = self.inner.balance.service_load(&engines, &options.zone, tried, self.now());
        let is_active = options.config.admission.is_active(load.has_reports(true)) && load.has_reports(false);
        is_active.then_some(ReportedLoad { engines, load })
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
}
