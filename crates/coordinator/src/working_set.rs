//! Which engines the leader gives items to and keeps at the newest weights, where there are more than the work needs.
//!
//! A job asks for some hundred engines at most, whatever the fleet has. To keep all engines of a large fleet up to date
//! would take an order, a note in the log and three calls for each engine and version (9,625 engines, a version each 4 s:
//! 2,400 orders a second; a leader of 0.3 of a core gives some 30), and each plan would look at all of them. So a leader
//! works with a set, as large as the policy wants it, which grows at once with the demand. Where engines are few, the set
//! is all of them.

use crate::working_set_policy::{ModelDemand, ServiceDemand, WorkingSetPolicy};
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::instances::InstanceTable;
use saddlerelay_types::gateway::{EnginePlace, OrderSubject};
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceState};
use saddlerelay_types::routing::{RouteKind, RoutingDocument};
use std::collections::{BTreeMap, BTreeSet};

/// The set of one service.
#[derive(Debug, Default)]
struct ServiceSet {
    members: BTreeSet<InstanceId>,
    /// How many the policy wants.
    wanted: usize,
    /// The largest job seen lately of each model, in items; the name is empty for jobs without a model.
    largest_jobs: BTreeMap<String, u32>,
}

/// The sets of all services that run batch jobs.
#[derive(Debug, Default)]
pub struct WorkingSet {
    services: BTreeMap<String, ServiceSet>,
    /// How far the table has been looked at; `None` in a new term.
    table_revision: Option<u64>,
}

/// Engines that have come into the set.
pub type Added = Vec<InstanceId>;

fn is_sound(record: &InstanceRecord) -> bool {
    record.state == InstanceState::Ready && !record.silent
}

impl WorkingSet {
    /// Forgets everything but what jobs have asked for: another term begins.
    pub fn clear(&mut self) {
        self.table_revision = None;
        self.services.values_mut().for_each(|set| set.members.clear());
    }

    /// A job of so many items has come for a service.
    pub fn note_job(&mut self, service: &str, model: Option<&str>, items: u32) {
        let set = self.services.entry(service.to_string()).or_default();
        let largest = set.largest_jobs.entry(model.unwrap_or_default().to_string()).or_default();
        *largest = (*largest).max(items);
    }

    /// The engines of a service.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a InstanceId> + use<'a> {
        self.services.get(service).into_iter().flat_map(|set| &set.members)
    }

    /// The engines of all services.
    pub fn iter(&self) -> impl Iterator<Item = &InstanceId> {
        self.services.values().flat_map(|set| &set.members)
    }

    /// Whether an engine is in the set of some service.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.services.values().any(|set| set.members.contains(instance))
    }

    /// Follows the state: engines that may no longer be given work leave, others take their places. Looks at what has changed,
    /// and at engines of a place only while one is wanted.
    pub fn follow(&mut self, state: &ControlState, policy: &dyn WorkingSetPolicy) -> Added {
        let Some(document) = state.routing.current() else {
            return Vec::new();
        };
        let table = &state.instances;
        let is_new = self.table_revision.is_none_or(|revision| revision > table.revision());
        let changed = is_new || self.table_revision != Some(table.revision());
        self.take_changes(table, is_new);
        self.table_revision = Some(table.revision());
        let mut added = Vec::new();
        for service in batch_services(document) {
            let set = self.services.entry(service.to_string()).or_default();
            let places: Vec<&EnginePlace> = table.places().filter(|place| place.service == service).collect();
            let ready = places.iter().map(|place| table.present(place) as usize).sum();
            let hosting = document.service(service).and_then(|service| service.hosting.as_ref());
            let models = hosting.map(|hosting| hosting.models.as_slice()).unwrap_or_default();
            let slots = hosting.map(|hosting| hosting.slots).or_else(|| reported_slots(table, &places)).unwrap_or(1);
            let wanted = policy.engines(&ServiceDemand { ready, slots, models: set.demands(models) });
            let grows = std::mem::replace(&mut set.wanted, wanted) < wanted;
            if is_new {
                set.take_over(state, service, &mut added);
            }
            if changed || grows {
                set.fill(table, &places, ready, &mut added);
            }
        }
        added
    }

    /// Lets go of engines that have left.
    fn take_changes(&mut self, table: &InstanceTable, is_new: bool) {
        if is_new {
            self.services.values_mut().for_each(|set| set.members.clear());
            return;
        }
        for record in table.changed_after(self.table_revision.unwrap_or_default()) {
            if record.state != InstanceState::Ready {
                self.services.values_mut().for_each(|set| {
                    set.members.remove(&record.report.id);
                });
            }
        }
    }
}

impl ServiceSet {
    fn demands(&self, models: &[String]) -> Vec<ModelDemand> {
        let hosted = models.iter().map(|model| ModelDemand { largest_job: self.largest_jobs.get(model).copied() });
        let without = self.largest_jobs.get("").map(|items| ModelDemand { largest_job: Some(*items) });
        hosted.chain(without).collect()
    }

    /// Begins with the engines that the leader before has given orders: they have the weights.
    fn take_over(&mut self, state: &ControlState, service: &str, added: &mut Added) {
        for subject in state.orders.notes().keys() {
            let OrderSubject::Engine(name) = subject else {
                continue;
            };
            let Some(id) = state.instances.newest_start(name) else {
                continue;
            };
            let record = state.instances.get(id).filter(|record| is_sound(record) && record.report.service == service);
            if record.is_some() && self.members.insert(id.clone()) {
                added.push(id.clone());
            }
        }
    }

    /// Adds engines of each place in turn until there are enough; all of them, also silent ones, where all are wanted.
    fn fill(&mut self, table: &InstanceTable, places: &[&EnginePlace], ready: usize, added: &mut Added) {
        let takes_all = self.wanted >= ready;
        let sound = self.members.iter().filter(|id| table.get(id).is_some_and(is_sound)).count();
        let mut missing = self.wanted.saturating_sub(sound);
        if missing == 0 && !takes_all {
            return;
        }
        let may_join = |record: &&InstanceRecord| record.state == InstanceState::Ready && (takes_all || !record.silent);
        let mut candidates: Vec<_> = places.iter().map(|place| table.engines_in(place).filter(may_join)).collect();
        while (missing > 0 || takes_all) && !candidates.is_empty() {
            candidates.retain_mut(|place| {
                if missing == 0 && !takes_all {
                    return true;
                }
                let next = place.find(|record| !self.members.contains(&record.report.id));
                if let Some(record) = next {
                    self.members.insert(record.report.id.clone());
                    added.push(record.report.id.clone());
                    missing = missing.saturating_sub(1);
                }
                next.is_some()
            });
        }
    }
}

/// Items that an engine of these places runs at once, as one of them has reported.
fn reported_slots(table: &InstanceTable, places: &[&EnginePlace]) -> Option<u32> {
    let first = places.iter().find_map(|place| table.engines_in(place).next());
    first.map(|record| record.report.slots)
}

/// The services that run batch jobs or hold models.
fn batch_services(document: &RoutingDocument) -> BTreeSet<&str> {
    let routes = document.routes.iter().filter(|route| route.kind == RouteKind::Rollout);
    let targets = routes.flat_map(|route| &route.targets).map(|target| target.service.as_str());
    let hosting = document.services.iter().filter(|service| service.hosting.is_some());
    targets.chain(hosting.map(|service| service.name.as_str())).collect()
}
