//! Registration of reported engine instances. A report goes into the instance table if the current routing document
//! names its service, and into the pending instances otherwise.

use super::ControlState;
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use saddlerelay_types::routing::RoutingDocument;
use std::cmp::Reverse;

impl ControlState {
    fn is_known_service(&self, service: &str) -> bool {
        self.routing.current().is_some_and(|document| document.service(service).is_some())
    }

    /// Whether `report` belongs to the instance table, not to the pending instances.
    fn belongs_in_table(&self, report: &InstanceReport) -> bool {
        self.instances.get(&report.id).is_some() || self.is_known_service(&report.service)
    }

    /// Whether `report` would change the state.
    pub fn would_change(&self, report: &InstanceReport) -> bool {
        if self.belongs_in_table(report) {
            self.instances.would_change(report)
        } else {
            !self.instances.has_ended(&report.id) && self.pending_instances.would_change(report)
        }
    }

    /// Whether `report` comes from a registered instance, or from one that is registered once the report is committed.
    /// Only such a report resets the instance's silence timeout.
    pub fn proves_liveness(&self, report: &InstanceReport) -> bool {
        let is_new = self.belongs_in_table(report) && self.instances.would_change(report);
        is_new || self.instances.is_from_recorded_instance(report)
    }

    /// Whether this start of an engine is registered, pending or ended.
    pub fn has_record_of(&self, id: &InstanceId) -> bool {
        self.instances.get(id).is_some() || self.instances.has_ended(id) || self.pending_instances.contains(id)
    }

    /// Applies a report.
    pub fn apply_report(&mut self, report: InstanceReport) {
        if !self.would_change(&report) {
            return;
        }
        if self.belongs_in_table(&report) {
            self.instances.apply_report(report);
        } else {
            self.pending_instances.insert(report);
        }
    }

    /// Applies a routing document, and registers the pending instances of services that it names.
    pub fn put_routing(&mut self, document: RoutingDocument) {
        if !self.routing.put(document) {
            return;
        }
        let Some(document) = self.routing.current() else {
            return;
        };
        let mut reports = self.pending_instances.take_matching(|service| document.service(service).is_some());
        // Newest start first, because the first one registered keeps the name and the address.
        reports.sort_by_key(|report| Reverse(report.id.started_at_ms));
        for report in reports {
            // The pending report may be old, so it does not displace an instance that serves at its address now. If the
            // engine still runs, its next report registers it.
            if self.instances.instance_at(report.address).is_none() {
                self.instances.apply_report(report);
            }
        }
    }

    /// Removes an instance that has deregistered. Without a start time in `deregistered`, this is the newest recorded
    /// or pending start; if there is none, every start up to the state's current time.
    pub fn remove_instance(&mut self, deregistered: &InstanceId) {
        let newest = || {
            let recorded = self
                .instances
                .newest_start(&deregistered.name)
                .max(self.pending_instances.newest_start(&deregistered.name));
            recorded.cloned().unwrap_or_else(|| InstanceId::started(&*deregistered.name, self.time))
        };
        let ended = if deregistered.started_at_ms.is_some() { deregistered.clone() } else { newest() };
        self.pending_instances.remove(&ended);
        self.instances.remove(&ended);
        // With start times, the engine's next start has the same name and an earlier order may still reach it, so the
        // order intent is kept. Without them, the name is not used again.
        if ended.started_at_ms.is_none() {
            self.orders.remove_engine(&ended);
        }
    }
}
