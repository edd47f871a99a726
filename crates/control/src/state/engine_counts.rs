//! Desired number of engines by service and zone.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::{EnginePool, WantedEngines};
use std::collections::BTreeMap;

/// Desired engine counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EngineCountState {
    wanted: BTreeMap<EnginePool, u32>,
}

impl EngineCountState {
    /// Desired count of each engine pool.
    pub fn wanted(&self) -> &BTreeMap<EnginePool, u32> {
        &self.wanted
    }

    /// Sets the desired counts of the given engine pools; other pools keep theirs.
    pub fn set_wanted(&mut self, wanted: Vec<WantedEngines>) {
        self.wanted.extend(wanted.into_iter().map(|wanted| (wanted.pool, wanted.count)));
    }
}
