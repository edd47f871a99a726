//! How many engines are wanted, by service and zone.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::{EnginePlace, WantedEngines};
use std::collections::BTreeMap;

/// The numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EngineCountState {
    wanted: BTreeMap<EnginePlace, u32>,
}

impl EngineCountState {
    /// How many are wanted in each place.
    pub fn wanted(&self) -> &BTreeMap<EnginePlace, u32> {
        &self.wanted
    }

    /// Wants other numbers.
    pub fn want(&mut self, wanted: Vec<WantedEngines>) {
        self.wanted.extend(wanted.into_iter().map(|wanted| (wanted.place, wanted.count)));
    }
}
