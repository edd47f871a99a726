//! The engines of a plan.

use crate::coordinator::Coordinator;
use crate::pace::Paces;
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_scheduling::long_texts::{RunningText, allows_neighbor};
use saddlerelay_scheduling::{CapacityEstimate, EngineSnapshot};
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

    /// What it can do, and how many items it runs, including those assigned by this plan.
    pub fn snapshot(&self) -> EngineSnapshot {
        EngineSnapshot { running: self.load.get(), slots: self.slots, ..snapshot_of_pace(self.pace, !self.silent) }
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
    /// Seconds per event of the fastest engine.
    pub fastest: f64,
    pub paces: Paces,
    pub now: Duration,
    pub term: u64,
}

impl Round {
    pub fn new<B: Backends>(coordinator: &Coordinator<B>, state: &ControlState, term: u64) -> Self {
        let now = coordinator.now();
        let paces = coordinator.inner.fleet.paces(now);
        let engines = ready_engines(coordinator, state, &paces, now);
        let fastest = engines.iter().map(|engine| engine.pace).fold(f64::INFINITY, f64::min);
        Self { engines, fastest, paces, now, term }
    }

    /// An engine as usual as any: the median of all.
    pub fn usual_engine(&self) -> EngineSnapshot {
        snapshot_of_pace(self.paces.median(), true)
    }
}

/// A snapshot of an engine without items that takes `pace` seconds per event, however many items it runs.
fn snapshot_of_pace(pace: f64, reporting: bool) -> EngineSnapshot {
    let capacity =
        CapacityEstimate { seconds_per_event_alone: pace, added_per_neighbor: 0.0, slowdown: 1.0, age: None };
    EngineSnapshot { capacity, running: 0, slots: 1, reporting }
}

fn ready_engines<B: Backends>(
    coordinator: &Coordinator<B>,
    state: &ControlState,
    paces: &Paces,
    now: Duration,
) -> Vec<Engine> {
    let fleet = &coordinator.inner.fleet;
    let working_set = coordinator.inner.working_set.borrow();
    let records = working_set.iter().filter_map(|instance| state.instances.get(instance));
    let usable =
        records.filter(|record| record.state == InstanceState::Ready && !fleet.is_backing_off(&record.report.id, now));
    usable
        .map(|record| Engine {
            target: EngineTarget { instance: record.report.id.clone(), address: record.report.address },
            service: record.report.service.clone(),
            slots: record.report.slots,
            silent: record.silent,
            pace: paces.of(&record.report.id),
            weights: fleet.loaded_versions(&record.report.id),
            texts: RefCell::default(),
            load: Cell::new(fleet.in_flight(&record.report.id)),
        })
        .collect()
}
