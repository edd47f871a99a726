//! Takes what engines report: into the table if a routing document in force names their service, to wait otherwise.

use super::ControlState;
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use saddlerelay_types::routing::RoutingDocument;
use std::cmp::Reverse;

impl ControlState {
    fn is_named(&self, service: &str) -> bool {
        self.routing.current().is_some_and(|document| document.service(service).is_some())
    }

    /// Whether the table decides about `report`: it holds this start, or may take it in.
    fn belongs_in_table(&self, report: &InstanceReport) -> bool {
        self.instances.get(&report.id).is_some() || self.is_named(&report.service)
    }

    /// Whether `report` would change what is held.
    pub fn is_news(&self, report: &InstanceReport) -> bool {
        if self.belongs_in_table(report) {
            self.instances.is_news(report)
        } else {
            !self.instances.has_ended(&report.id) && self.pending_instances.is_news(report)
        }
    }

    /// Whether `report` is one of an instance that may be given work once it is committed: its silence is watched.
    pub fn is_heard(&self, report: &InstanceReport) -> bool {
        let is_new = self.belongs_in_table(report) && self.instances.is_news(report);
        is_new || self.instances.is_said_by_holder(report)
    }

    /// Whether anything is known of this start of an engine, also that it has ended.
    pub fn knows(&self, id: &InstanceId) -> bool {
        self.instances.get(id).is_some() || self.instances.has_ended(id) || self.pending_instances.holds(id)
    }

    /// Takes a report.
    pub fn take_report(&mut self, report: InstanceReport) {
        if !self.is_news(&report) {
            return;
        }
        if self.belongs_in_table(&report) {
            self.instances.take_report(report);
        } else {
            self.pending_instances.take(report);
        }
    }

    /// Takes a routing document, and with it the engines whose service it is the first to name.
    pub fn put_routing(&mut self, document: RoutingDocument) {
        if !self.routing.put(document) {
            return;
        }
        let Some(document) = self.routing.current() else {
            return;
        };
        let mut named = self.pending_instances.take_named(|service| document.service(service).is_some());
        // The newest starts first: they have the name and the address.
        named.sort_by_key(|report| Reverse(report.id.started_at_ms));
        for report in named {
            // It may have waited for long: whoever serves at its address since then keeps it. If it is there after all, its
            // next report is taken.
            if self.instances.holder(report.address).is_none() {
                self.instances.take_report(report);
            }
        }
    }

    /// An engine has said goodbye. One that does not tell which of its starts says it is the newest that is known; if none
    /// is, every start until now.
    pub fn remove_instance(&mut self, said: &InstanceId) {
        let newest = || {
            let known = self.instances.newest_start(&said.name).max(self.pending_instances.newest_start(&said.name));
            known.cloned().unwrap_or_else(|| InstanceId::started(&*said.name, self.time))
        };
        let ended = if said.started_at_ms.is_some() { said.clone() } else { newest() };
        self.pending_instances.remove(&ended);
        self.instances.remove(&ended);
        // Where engines tell their starts, the next one has the name too, and an order given before may still reach it: its
        // note stays, one for each name. Otherwise the name never comes back.
        if ended.started_at_ms.is_none() {
            self.orders.forget_engine(&ended);
        }
    }
}
