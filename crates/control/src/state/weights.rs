//! Weight versions that trainers have named.

use bitcode::{Decode, Encode};
use saddlerelay_types::instance::LoadedModel;
use std::collections::BTreeMap;

/// The newest version of each model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WeightState {
    pub(super) named: BTreeMap<String, u64>,
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
}
