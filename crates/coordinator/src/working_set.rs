//! Selects the engines that receive items and weight orders, if there are more engines than the jobs need.
//!
//! Keeping every engine of a large fleet up to date would take an order, a log entry and several calls per engine and
//! version, and each plan would consider every engine. The leader therefore uses a working set whose size the policy
//! chooses and which grows with demand. In a small fleet it contains all engines.

use crate::working_set_policy::{ModelDemand, ServiceDemand, WorkingSetPolicy};
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::instances::InstanceTable;
use saddlerelay_types::gateway::{EnginePool, OrderSubject};
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceState};
use saddlerelay_types::routing::{RouteKind, RoutingDocument};
use std::collections::{BTreeMap, BTreeSet};

/// Working set of one service.
#[derive(Debug, Default)]
struct ServiceSet {
    members: BTreeSet<InstanceId>,
    /// Size wanted by the policy.
    wanted: usize,
    /// Largest job seen of each model, in items; the key is empty for jobs without a model.
    largest_jobs: BTreeMap<String, u32>,
}

/// Working sets of all services that run batch jobs or host models.
#[derive(Debug, Default)]
pub struct WorkingSet {
    services: BTreeMap<String, ServiceSet>,
    /// Revision of the instance table at the last update; `None` in a new term.
    table_revision: Option<u64>,
}

/// Engines added to the working set.
pub type AddedEngines = Vec<InstanceId>;

fn is_healthy(record: &InstanceRecord) -> bool {
    record.state == InstanceState::Ready && !record.silent
}

impl WorkingSet {
    /// Drops all members at the start of a term; recorded job sizes are kept.
    pub fn clear(&mut self) {
        self.table_revision = None;
        self.services.values_mut().for_each(|set| set.members.clear());
    }

    /// Records the number of items of a job for a service.
    pub fn record_job(&mut self, service: &str, model: Option<&str>, items: u32) {
        let set = self.services.entry(service.to_string()).or_default();
        let largest = set.largest_jobs.entry(model.unwrap_or_default().to_string()).or_default();
        *largest = (*largest).max(items);
    }

    /// Members of a service's working set.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a InstanceId> + use<'a> {
        self.services.get(service).into_iter().flat_map(|set| &set.members)
    }

    /// Members of all working sets.
    pub fn iter(&self) -> impl Iterator<Item = &InstanceId> {
        self.services.values().flat_map(|set| &set.members)
    }

    /// Whether an engine is in any working set.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.services.values().any(|set| set.members.contains(instance))
    }

    /// Updates the sets from the committed state: engines that are no longer ready are removed and replaced. Only
    /// changed records are read, and further engines of a pool only while some are missing.
    pub fn update(&mut self, state: &ControlState, policy: &dyn WorkingSetPolicy) -> AddedEngines {
        let Some(document) = state.routing.current() else {
            return Vec::new();
        };
        let table = &state.instances;
        let must_rebuild = self.table_revision.is_none_or(|revision| revision > table.revision());
        let changed = must_rebuild || self.table_revision != Some(table.revision());
        self.remove_unready(table, must_rebuild);
        self.table_revision = Some(table.revision());
        let mut added = Vec::new();
        for service in batch_services(document) {
            let set = self.services.entry(service.to_string()).or_default();
            let pools: Vec<&EnginePool> = table.engine_pools().filter(|pool| pool.service == service).collect();
            let ready = pools.iter().map(|pool| table.available(pool) as usize).sum();
            let hosting = document.service(service).and_then(|service| service.hosting.as_ref());
            let models = hosting.map(|hosting| hosting.models.as_slice()).unwrap_or_default();
            let slots = hosting.map(|hosting| hosting.slots).or_else(|| reported_slots(table, &pools)).unwrap_or(1);
            let wanted = policy.engines(&ServiceDemand { ready, slots, models: set.demands(models) });
            let has_grown = std::mem::replace(&mut set.wanted, wanted) < wanted;
            if must_rebuild {
                set.add_ordered_engines(state, service, &mut added);
            }
            if changed || has_grown {
                set.fill(table, &pools, ready, &mut added);
            }
        }
        added
    }

    /// Removes engines that are no longer ready, or all members before a rebuild.
    fn remove_unready(&mut self, table: &InstanceTable, must_rebuild: bool) {
        if must_rebuild {
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
        let by_model = models.iter().map(|model| ModelDemand { largest_job: self.largest_jobs.get(model).copied() });
        let unnamed = self.largest_jobs.get("").map(|items| ModelDemand { largest_job: Some(*items) });
        by_model.chain(unnamed).collect()
    }

    /// Adds the engines that earlier leaders sent orders to, as they have recent weights.
    fn add_ordered_engines(&mut self, state: &ControlState, service: &str, added: &mut AddedEngines) {
        for subject in state.orders.intents().keys() {
            let OrderSubject::Engine(name) = subject else {
                continue;
            };
            let Some(id) = state.instances.newest_start(name) else {
                continue;
            };
            let record =
                state.instances.get(id).filter(|record| is_healthy(record) && record.report.service == service);
            if record.is_some() && self.members.insert(id.clone()) {
                added.push(id.clone());
            }
        }
    }

    /// Adds engines from each pool in turn until there are enough. If the policy wants all engines, non-reporting ones
    /// are added too.
    fn fill(&mut self, table: &InstanceTable, pools: &[&EnginePool], ready: usize, added: &mut AddedEngines) {
        let uses_all = self.wanted >= ready;
        let healthy = self.members.iter().filter(|id| table.get(id).is_some_and(is_healthy)).count();
        let mut missing = self.wanted.saturating_sub(healthy);
        if missing == 0 && !uses_all {
            return;
        }
        let may_join = |record: &&InstanceRecord| record.state == InstanceState::Ready && (uses_all || !record.silent);
        let mut candidates: Vec<_> = pools.iter().map(|pool| table.engines_in(pool).filter(may_join)).collect();
        while (missing > 0 || uses_all) && !candidates.is_empty() {
            candidates.retain_mut(|pool| {
                if missing == 0 && !uses_all {
                    return true;
                }
                let next = pool.find(|record| !self.members.contains(&record.report.id));
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

/// Slots per engine, from the report of one engine of these engine pools.
fn reported_slots(table: &InstanceTable, pools: &[&EnginePool]) -> Option<u32> {
    let first = pools.iter().find_map(|pool| table.engines_in(pool).next());
    first.map(|record| record.report.slots)
}

/// Names of services that run batch jobs or host models.
fn batch_services(document: &RoutingDocument) -> BTreeSet<&str> {
    let routes = document.routes.iter().filter(|route| route.kind == RouteKind::Rollout);
    let targets = routes.flat_map(|route| &route.targets).map(|target| target.service.as_str());
    let hosting = document.services.iter().filter(|service| service.hosting.is_some());
    targets.chain(hosting.map(|service| service.name.as_str())).collect()
}
