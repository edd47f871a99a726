//! Which changes of weights come first where not all that are due can run at once.
//!
//! An engine that is two versions behind can serve no step. Where items wait for its model, it is brought up to date
//! before any other: first for the model with most waiting items for each engine that can serve them, or soon will.

use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;

/// A change of weights that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueLoad {
    /// The engine.
    pub instance: InstanceId,
    /// The model.
    pub model: String,
    /// The engine can serve no step of the model until then.
    pub useless: bool,
    /// Versions that the engine is behind.
    pub behind: u64,
    /// Items at the engine.
    pub in_flight: u32,
}

/// What a model's items ask for, and who can serve them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelNeed {
    /// Items that wait for an engine.
    pub waiting: u32,
    /// Engines that can serve them, or are being brought to it.
    pub engines: u32,
}

impl ModelNeed {
    fn pressure(&self) -> f64 {
        f64::from(self.waiting) / f64::from(self.engines + 1)
    }
}

/// Chooses up to `most` loads, one for each engine; returns their places in `due`, the first to be given first.
pub fn choose_loads(due: &[DueLoad], needs: &BTreeMap<String, ModelNeed>, most: usize) -> Vec<usize> {
    let mut needs = needs.clone();
    let mut left: Vec<usize> = (0..due.len()).collect();
    // Of those alike, one whose slots are free serves soonest.
    left.sort_by_key(|place| due[*place].in_flight);
    let mut chosen = Vec::new();
    while chosen.len() < most && !left.is_empty() {
        let urgency = |place: &usize| {
            let load = &due[*place];
            let need = needs.get(&load.model).copied().unwrap_or_default();
            let awaited = if load.useless { need.pressure() } else { 0.0 };
            (awaited, load.behind)
        };
        let first = left.iter().copied().reduce(|best, other| {
            let (best_urgency, other_urgency) = (urgency(&best), urgency(&other));
            let more = other_urgency.0.total_cmp(&best_urgency.0).then(other_urgency.1.cmp(&best_urgency.1));
            if more.is_gt() { other } else { best }
        });
        let Some(first) = first else {
            break;
        };
        needs.entry(due[first].model.clone()).or_default().engines += 1;
        left.retain(|place| due[*place].instance != due[first].instance);
        chosen.push(first);
    }
    chosen
}
