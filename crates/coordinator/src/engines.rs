//! The engines of a plan.

use crate::by_completion;
use crate::coordinator::Coordinator;
use crate::fleet::Fleet;
use crate::pace::Paces;
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_scheduling::long_texts::{RunningText, allows_neighbor};
use saddlerelay_scheduling::{Capacities, CapacityEstimate, EngineSnapshot};
use saddlerelay_types::instance::InstanceState;
use saddlerelay_upstream::EngineTarget;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// An engine that may receive items.
pub(crate) struct Engine {
    pub target: EngineTarget,
    pub service: String,
    pub slots: u32,
    pub silent: bool,
    /// Estimated seconds per event.
    pub pace: f64,
    /// What it can do; `None` where items are not placed by expected completion.
    pub capacity: Option<CapacityEstimate>,
    /// Loaded weight versions by model, without models being loaded.
    pub weights: Rc<BTreeMap<String, u64>>,
    /// Items in flight, including those assigned by this plan.
    load: Cell<u32>,
    /// Texts in flight that are kept in time, in a plan that starts items in order of urgency.
    texts: RefCell<Vec<RunningText>>,
}

impl Engine {
    /// Whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.load.get() < self.slots
    }

    /// The fraction of slots in use.
    pub fn fullness(&self) -> f64 {
        f64::from(self.load.get()) / f64::from(self.slots.max(1))
    }

    /// Items in flight, including those assigned by this plan.
    pub fn load(&self) -> u32 {
        self.load.get()
    }

    /// What it can do, and how many items it runs, including those assigned by this plan.
    pub fn snapshot(&self) -> EngineSnapshot {
        let capacity = self.capacity.unwrap_or_else(|| capacity_of_pace(self.pace));
        EngineSnapshot { capacity, running: self.load.get(), slots: self.slots, reporting: !self.silent }
    }

    /// Adds a text that is to be kept in time.
    pub fn add_text(&self, text: RunningText) {
        self.texts.borrow_mut().push(text);
    }

    /// Whether an additional item leaves the engine's texts in time.
    pub fn allows_neighbor(&self, now: Duration) -> bool {
        allows_neighbor(&self.snapshot(), &self.texts.borrow(), now)
    }

    /// Reserves a slot for an item assigned by this plan.
    pub fn reserve_slot(&self) {
        self.load.set(self.load.get() + 1);
    }
}

/// Inputs shared by the planning of all jobs in one round.
pub(crate) struct Round {
    pub engines: Vec<Engine>,
    /// Ready engines that receive no items for a short time after a failure.
    pub backing_off: Vec<Engine>,
    /// Seconds per event of the fastest engine.
    pub fastest: f64,
    pub paces: Paces,
    /// Capacities of all engines; `None` if no item is placed by expected completion.
    pub capacities: Option<Capacities>,
    pub now: Duration,
    pub term: u64,
}

impl Round {
    pub fn new<B: Backends>(coordinator: &Coordinator<B>, state: &ControlState, term: u64) -> Self {
        let now = coordinator.now();
        let paces = coordinator.inner.fleet.paces(now);
        let ready = ready_engines(coordinator, state, &paces);
        let is_backing_off = |engine: &Engine| coordinator.inner.fleet.is_backing_off(&engine.target.instance, now);
        let (backing_off, mut engines): (Vec<Engine>, Vec<Engine>) = ready.into_iter().partition(is_backing_off);
        let capacities = by_completion::assign_capacities(&coordinator.inner, &mut engines, now);
        let fastest = engines.iter().map(|engine| engine.pace).fold(f64::INFINITY, f64::min);
        Self { engines, backing_off, fastest, paces, capacities, now, term }
    }

    /// Number of engines that are loading a model.
    pub fn loading(&self, fleet: &Fleet, model: &str) -> usize {
        self.engines.iter().filter(|engine| fleet.is_loading(&engine.target.instance, model)).count()
    }

    /// An engine without items whose pace is the median of all.
    pub fn median_engine(&self) -> EngineSnapshot {
        EngineSnapshot { capacity: capacity_of_pace(self.paces.median()), running: 0, slots: 1, reporting: true }
    }
}

/// The capacity of an engine that takes `pace` seconds per event, however many items it runs.
fn capacity_of_pace(pace: f64) -> CapacityEstimate {
    CapacityEstimate { seconds_per_event_alone: pace, added_per_neighbor: 0.0, slowdown: 1.0, age: None }
}

fn ready_engines<B: Backends>(coordinator: &Coordinator<B>, state: &ControlState, paces: &Paces) -> Vec<Engine> {
    let fleet = &coordinator.inner.fleet;
    let working_set = coordinator.inner.working_set.borrow();
    let records = working_set.iter().filter_map(|instance| state.instances.get(instance));
    let ready = records.filter(|record| record.state == InstanceState::Ready);
    ready
        .map(|record| Engine {
            target: EngineTarget { instance: record.report.id.clone(), address: record.report.address },
            service: record.report.service.clone(),
            slots: record.report.slots,
            silent: record.silent,
            pace: paces.of(&record.report.id),
            capacity: None,
            weights: fleet.loaded_versions(&record.report.id),
            texts: RefCell::default(),
            load: Cell::new(fleet.in_flight(&record.report.id)),
        })
        .collect()
}
