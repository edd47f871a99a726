//! Weight versions that trainers have named, and the one holder of orders to engines.

use bitcode::{Decode, Encode};
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::{InstanceId, LoadedModel};
use std::collections::BTreeMap;

/// That an order to an engine was about to be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OrderNote {
    /// Who was to give it.
    pub holder: ReplicaId,
    /// Counts notes; tells them apart.
    pub number: u64,
}

/// The newest version of each model, and who gives orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WeightState {
    named: BTreeMap<String, u64>,
    holder: Option<ReplicaId>,
    /// The newest note for each engine.
    order_notes: BTreeMap<InstanceId, OrderNote>,
    notes_taken: u64,
}

impl WeightState {
    /// The newest version named of each model.
    pub fn named(&self) -> &BTreeMap<String, u64> {
        &self.named
    }

    /// Notes a version; an older one changes nothing.
    pub fn name(&mut self, named: LoadedModel) {
        let newest = self.named.entry(named.model).or_default();
        *newest = (*newest).max(named.version);
    }

    /// The holder of orders.
    pub fn holder(&self) -> Option<ReplicaId> {
        self.holder
    }

    /// The newest note of an order for each engine.
    pub fn order_notes(&self) -> &BTreeMap<InstanceId, OrderNote> {
        &self.order_notes
    }

    /// Notes that `holder` is about to give orders to these engines.
    pub fn note_orders(&mut self, holder: ReplicaId, instances: Vec<InstanceId>) {
        for instance in instances {
            self.notes_taken += 1;
            self.order_notes.insert(instance, OrderNote { holder, number: self.notes_taken });
        }
    }

    /// Forgets an engine that is gone and never comes back.
    pub fn forget_engine(&mut self, instance: &InstanceId) {
        self.order_notes.remove(instance);
    }

    /// Makes `replica` the holder of orders; returns whether another held them before.
    pub fn take_orders(&mut self, replica: ReplicaId) -> bool {
        let before = self.holder.replace(replica);
        before.is_some_and(|before| before != replica)
    }
}
