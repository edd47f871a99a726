//! What the leader knows of each engine beside its committed record: weights, changes under way, load, pace.

use crate::pace::{Paces, SeenPace};
use saddlerelay_types::instance::{InstanceId, LoadedModel};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
struct Known {
    versions: BTreeMap<String, (u64, Duration)>,
    /// Models whose weights are being changed, and since when.
    loading: BTreeMap<String, Duration>,
    /// The versions of models that are not being changed, as the last plan has asked for them.
    settled: Option<Rc<BTreeMap<String, u64>>>,
    in_flight: u32,
    rest_until: Duration,
    pace: SeenPace,
    orders_taken: Option<u64>,
}

/// The engines. Clones share it.
#[derive(Clone, Default)]
pub struct Fleet {
    known: Rc<RefCell<BTreeMap<InstanceId, Known>>>,
    /// Seconds an event at the middle engine, when paces were last asked for.
    typical_pace: Rc<Cell<Option<f64>>>,
}

/// An item in flight at an engine; counts until dropped.
pub struct Place {
    fleet: Fleet,
    instance: InstanceId,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.fleet.change(&self.instance, |known| known.in_flight = known.in_flight.saturating_sub(1));
    }
}

impl Fleet {
    fn change(&self, instance: &InstanceId, change: impl FnOnce(&mut Known)) {
        change(self.known.borrow_mut().entry(instance.clone()).or_default());
    }

    fn look<T>(&self, instance: &InstanceId, look: impl FnOnce(&Known) -> T) -> Option<T> {
        self.known.borrow().get(instance).map(look)
    }

    /// Forgets everything: another term begins.
    pub fn clear(&self) {
        self.known.borrow_mut().clear();
    }

    /// Forgets engines that `keep` does not want.
    pub fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.known.borrow_mut().retain(|instance, known| known.in_flight > 0 || keep(instance));
    }

    /// Takes what an engine was told or heard to have at `at`; older news change nothing.
    pub fn learn(&self, instance: &InstanceId, models: &[LoadedModel], at: Duration) {
        self.change(instance, |known| {
            known.settled = None;
            for model in models {
                let held = known.versions.entry(model.model.clone()).or_insert((model.version, at));
                if at >= held.1 {
                    *held = (model.version, at);
                }
            }
        });
    }

    /// The versions that an engine has of the models that are not being changed. Each plan asks for those of every engine
    /// that is worked with: they are made anew only after a change.
    pub fn settled_weights(&self, instance: &InstanceId) -> Rc<BTreeMap<String, u64>> {
        let mut known = self.known.borrow_mut();
        let Some(known) = known.get_mut(instance) else {
            return Rc::default();
        };
        let (versions, loading) = (&known.versions, &known.loading);
        let settled = known.settled.get_or_insert_with(|| {
            let settled = versions.iter().filter(|(model, _)| !loading.contains_key(*model));
            Rc::new(settled.map(|(model, (version, _))| (model.clone(), *version)).collect())
        });
        settled.clone()
    }

    /// The version that an engine has of a model, as far as is known.
    pub fn version(&self, instance: &InstanceId, model: &str) -> Option<u64> {
        self.look(instance, |known| known.versions.get(model).map(|(version, _)| *version)).flatten()
    }

    /// The model's weights are being changed.
    pub fn begin_load(&self, instance: &InstanceId, model: &str, now: Duration) {
        self.change(instance, |known| {
            known.settled = None;
            known.loading.insert(model.to_string(), now);
        });
    }

    /// The change is over, as far as is known.
    pub fn end_load(&self, instance: &InstanceId, model: &str) {
        self.change(instance, |known| {
            known.settled = None;
            known.loading.remove(model);
        });
    }

    /// Whether the model's weights are being changed.
    pub fn is_loading(&self, instance: &InstanceId, model: &str) -> bool {
        self.look(instance, |known| known.loading.contains_key(model)).unwrap_or(false)
    }

    /// Whether any model's weights are being changed.
    pub fn is_loading_any(&self, instance: &InstanceId) -> bool {
        self.look(instance, |known| !known.loading.is_empty()).unwrap_or(false)
    }

    /// Orders that the engine is known to have taken.
    pub fn orders_taken(&self, instance: &InstanceId) -> Option<u64> {
        self.look(instance, |known| known.orders_taken).flatten()
    }

    /// Notes how many orders the engine has taken; `None` when that is no longer known.
    pub fn set_orders_taken(&self, instance: &InstanceId, count: Option<u64>) {
        self.change(instance, |known| known.orders_taken = count);
    }

    /// Counts an item as in flight.
    pub fn take_place(&self, instance: &InstanceId) -> Place {
        self.change(instance, |known| known.in_flight += 1);
        Place { fleet: self.clone(), instance: instance.clone() }
    }

    /// Items in flight.
    pub fn in_flight(&self, instance: &InstanceId) -> u32 {
        self.look(instance, |known| known.in_flight).unwrap_or(0)
    }

    /// Leaves an engine alone until then.
    pub fn rest_until(&self, instance: &InstanceId, until: Duration) {
        self.change(instance, |known| known.rest_until = known.rest_until.max(until));
    }

    /// Whether an engine is left alone.
    pub fn is_resting(&self, instance: &InstanceId, now: Duration) -> bool {
        self.look(instance, |known| now < known.rest_until).unwrap_or(false)
    }

    /// An event came after `pause`.
    pub fn observe_pause(&self, instance: &InstanceId, pause: Duration, now: Duration) {
        let typical = self.typical_pace.get();
        self.change(instance, |known| known.pace.observe(pause, typical, now));
    }

    /// How fast the engines are, as far as is known.
    pub fn paces(&self, now: Duration) -> Paces {
        let known = self.known.borrow();
        let paces = Paces::new(known.iter().map(|(instance, known)| (instance, &known.pace)), now);
        self.typical_pace.set(Some(paces.typical()));
        paces
    }
}
