//! Weight versions that trainers have named, and the one holder of orders to engines.

use bitcode::{Decode, Encode};
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::LoadedModel;
use std::collections::BTreeMap;

/// The newest version of each model, and who gives orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WeightState {
    named: BTreeMap<String, u64>,
    holder: Option<ReplicaId>,
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

    /// Makes `replica` the holder of orders; returns whether another held them before.
    pub fn take_orders(&mut self, replica: ReplicaId) -> bool {
        let before = self.holder.replace(replica);
        before.is_some_and(|before| before != replica)
    }
}
