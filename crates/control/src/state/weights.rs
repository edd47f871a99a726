//! Weight versions published by trainers.

use bitcode::{Decode, Encode};
use saddlerelay_types::instance::LoadedModel;
use std::collections::BTreeMap;

/// The newest published weight version of each model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WeightState {
    pub(super) named: BTreeMap<String, u64>,
}

impl WeightState {
    /// The newest published version, by model.
    pub fn named(&self) -> &BTreeMap<String, u64> {
        &self.named
    }

    /// Records a published version; a version older than the recorded one is ignored.
    pub fn record(&mut self, published: LoadedModel) {
        let newest = self.named.entry(published.model).or_default();
        *newest = (*newest).max(published.version);
    }
}
