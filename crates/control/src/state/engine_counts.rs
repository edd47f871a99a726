//! Desired number of engines by service and zone.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::{EnginePlace, WantedEngines};
use std::collections::BTreeMap;

/// Desired engine counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EngineCountState {
    wanted: BTreeMap<EnginePlace, u32>,
}

impl EngineCountState {
    /// Desired count of each place.
    pub fn wanted(&self) -> &BTreeMap<EnginePlace, u32> {
        &self.wanted
    }

    /// Sets the desired counts of the given places; other places keep theirs.
    pub fn set_wanted(&mut self, wanted: Vec<WantedEngines>) {
        self.wanted.extend(wanted.into_iter().map(|wanted| (wanted.place, wanted.count)));
    }
}
