//! Weight versions published by trainers.

use bitcode::{Decode, Encode};
use saddlerelay_types::instance::LoadedModel;
use std::collections::BTreeMap;

/// The newest published weight version of each model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WeightState {
    pub(super) published: BTreeMap<String, u64>,
}

impl WeightState {
    /// The newest published version, by model.
    pub fn published(&self) -> &BTreeMap<String, u64> {
        &self.published
    }

    /// Records a published version; a version older than the recorded one is ignored.
    pub fn record(&mut self, published: LoadedModel) {
        let newest = self.published.entry(published.model).or_default();
        *newest = (*newest).max(published.version);
    }
}
