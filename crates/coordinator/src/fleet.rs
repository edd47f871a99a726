//! State of engines observed by the leader, in addition to their committed records: weight versions, loads in progress,
//! items in flight, pace.

use crate::pace::{PaceEstimate, Paces};
use saddlerelay_scheduling::{Capacities, CapacityModel, LoadReport};
use saddlerelay_types::instance::{InstanceId, LoadedModel};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Weight of a new item in the moving average of the time until its first event.
const RESTART_SMOOTHING: f64 = 0.05;

#[derive(Clone, Debug, Default)]
struct EngineState {
    /// Last observed version of each model, and when it was observed.
    versions: BTreeMap<String, (u64, Duration)>,
    /// Models being loaded, and since when.
    loading: BTreeMap<String, Duration>,
    /// Cached versions of models that are not being loaded.
    loaded: Option<Rc<BTreeMap<String, u64>>>,
    in_flight: u32,
    back_off_until: Duration,
    pace: PaceEstimate,
    orders_accepted: Option<u64>,
}

/// Observed state of all engines; clones share it.
#[derive(Clone, Default)]
pub struct Fleet {
    engines: Rc<RefCell<BTreeMap<InstanceId, EngineState>>>,
    /// Median seconds per event when paces were last computed.
    median_pace: Rc<Cell<Option<f64>>>,
    capacity: Rc<RefCell<CapacityState>>,
}

/// What is known about the capacity of engines in this term.
#[derive(Default)]
struct CapacityState {
    model: CapacityModel,
    /// Services with an engine that has reported its work time.
    services_with_work_time: BTreeSet<String>,
    restart_time: Option<f64>,
}

/// Counts an item as in flight at an engine until dropped.
pub struct InFlightItem {
    fleet: Fleet,
    instance: InstanceId,
}

impl Drop for InFlightItem {
    fn drop(&mut self) {
        self.fleet.update(&self.instance, |engine| engine.in_flight = engine.in_flight.saturating_sub(1));
    }
}

impl Fleet {
    fn update(&self, instance: &InstanceId, update: impl FnOnce(&mut EngineState)) {
        update(self.engines.borrow_mut().entry(instance.clone()).or_default());
    }

    fn read<T>(&self, instance: &InstanceId, read: impl FnOnce(&EngineState) -> T) -> Option<T> {
        self.engines.borrow().get(instance).map(read)
    }

    /// Drops all state at the start of a term.
    pub fn clear(&self) {
        self.engines.borrow_mut().clear();
        *self.capacity.borrow_mut() = CapacityState::default();
    }

    /// Drops engines for which `keep` returns false, unless they have items in flight.
    pub fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.engines.borrow_mut().retain(|instance, engine| engine.in_flight > 0 || keep(instance));
        let engines = self.engines.borrow();
        self.capacity.borrow_mut().model.retain(|instance| engines.contains_key(instance));
    }

    /// Records the versions that an engine had at `at`; older observations are ignored.
    pub fn record_versions(&self, instance: &InstanceId, models: &[LoadedModel], at: Duration) {
        self.update(instance, |engine| {
            engine.loaded = None;
            for model in models {
                let recorded = engine.versions.entry(model.model.clone()).or_insert((model.version, at));
                if at >= recorded.1 {
                    *recorded = (model.version, at);
                }
            }
        });
    }

    /// The engine's versions of models that are not being loaded. Cached, as every plan reads it for each engine in the
    /// working set.
    pub fn loaded_versions(&self, instance: &InstanceId) -> Rc<BTreeMap<String, u64>> {
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(instance) else {
            return Rc::default();
        };
        let (versions, loading) = (&engine.versions, &engine.loading);
        let loaded = engine.loaded.get_or_insert_with(|| {
            let loaded = versions.iter().filter(|(model, _)| !loading.contains_key(*model));
            Rc::new(loaded.map(|(model, (version, _))| (model.clone(), *version)).collect())
        });
        loaded.clone()
    }

    /// The last observed version of a model.
    pub fn version(&self, instance: &InstanceId, model: &str) -> Option<u64> {
        self.read(instance, |engine| engine.versions.get(model).map(|(version, _)| *version)).flatten()
    }

    /// Marks a model as being loaded.
    pub fn begin_load(&self, instance: &InstanceId, model: &str, now: Duration) {
        self.update(instance, |engine| {
            engine.loaded = None;
            engine.loading.insert(model.to_string(), now);
        });
    }

    /// Marks the load of a model as ended, successfully or not.
    pub fn end_load(&self, instance: &InstanceId, model: &str) {
        self.update(instance, |engine| {
            engine.loaded = None;
            engine.loading.remove(model);
        });
    }

    /// Whether the model is being loaded.
    pub fn is_loading(&self, instance: &InstanceId, model: &str) -> bool {
        self.read(instance, |engine| engine.loading.contains_key(model)).unwrap_or(false)
    }

    /// Whether any model is being loaded.
    pub fn is_loading_any(&self, instance: &InstanceId) -> bool {
        self.read(instance, |engine| !engine.loading.is_empty()).unwrap_or(false)
    }

    /// Number of orders that the engine has accepted; `None` if unknown.
    pub fn orders_accepted(&self, instance: &InstanceId) -> Option<u64> {
        self.read(instance, |engine| engine.orders_accepted).flatten()
    }

    /// Sets the number of accepted orders; `None` if it is no longer known.
    pub fn set_orders_accepted(&self, instance: &InstanceId, count: Option<u64>) {
        self.update(instance, |engine| engine.orders_accepted = count);
    }

    /// Counts an item as in flight until the returned guard is dropped.
    pub fn begin_item(&self, instance: &InstanceId) -> InFlightItem {
        self.update(instance, |engine| engine.in_flight += 1);
        InFlightItem { fleet: self.clone(), instance: instance.clone() }
    }

    /// Number of items in flight.
    pub fn in_flight(&self, instance: &InstanceId) -> u32 {
        self.read(instance, |engine| engine.in_flight).unwrap_or(0)
    }

    /// Excludes an engine from new items and orders until `until`.
    pub fn back_off_until(&self, instance: &InstanceId, until: Duration) {
        self.update(instance, |engine| engine.back_off_until = engine.back_off_until.max(until));
    }

    /// Whether an engine is excluded by an earlier failure.
    pub fn is_backing_off(&self, instance: &InstanceId, now: Duration) -> bool {
        self.read(instance, |engine| now < engine.back_off_until).unwrap_or(false)
    }

    /// Records the time between two events of a stream.
    pub fn observe_event_interval(&self, instance: &InstanceId, interval: Duration, now: Duration) {
        let median = self.median_pace.get();
        let mut running = 0;
        self.update(instance, |engine| {
            engine.pace.observe(interval, median, now);
            running = engine.in_flight;
        });
        self.capacity.borrow_mut().model.observe_interval(instance, interval, running, now);
    }

    /// Records the load that an engine reported.
    pub fn observe_load_report(&self, instance: &InstanceId, report: &LoadReport, now: Duration) {
        self.update(instance, |_| {});
        self.capacity.borrow_mut().model.observe_report(instance, report, now);
    }

    /// Records the time from sending an item until its first event.
    pub fn observe_first_event(&self, elapsed: Duration) {
        let mut capacity = self.capacity.borrow_mut();
        let restart_time = capacity.restart_time.get_or_insert(elapsed.as_secs_f64());
        *restart_time += (elapsed.as_secs_f64() - *restart_time) * RESTART_SMOOTHING;
    }

    /// Expected time from sending an item until its first event, if any was observed.
    pub fn restart_time(&self) -> Option<Duration> {
        let restart_time = self.capacity.borrow().restart_time?;
        Duration::try_from_secs_f64(restart_time).ok()
    }

    /// Whether an engine has reported its work time.
    pub fn reports_work_time(&self, instance: &InstanceId) -> bool {
        self.capacity.borrow().model.reports_work_time(instance)
    }

    /// Remembers for this term that engines of a service report their work time.
    pub fn add_service_with_work_time(&self, service: &str) {
        let services = &mut self.capacity.borrow_mut().services_with_work_time;
        if !services.contains(service) {
            services.insert(service.to_string());
        }
    }

    /// Services of which an engine has reported its work time in this term.
    pub fn services_with_work_time(&self) -> BTreeSet<String> {
        self.capacity.borrow().services_with_work_time.clone()
    }

    /// Current capacity estimates of all engines.
    pub fn capacities(&self, now: Duration) -> Capacities {
        self.capacity.borrow_mut().model.estimates(now)
    }

    /// Current pace estimates of all engines.
    pub fn paces(&self, now: Duration) -> Paces {
        let engines = self.engines.borrow();
        let paces = Paces::new(engines.iter().map(|(instance, engine)| (instance, &engine.pace)), now);
        self.median_pace.set(Some(paces.median()));
        paces
    }
}
