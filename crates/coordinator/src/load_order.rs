//! Prioritizes weight loads when more are due than may run concurrently.
//!
//! An engine that can serve neither waiting items nor the next step loads first if items wait for its model; among such
//! models, the one with the most waiting items per engine that serves it or is loading it has priority.

use saddlerelay_types::instance::InstanceId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A weight load that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueLoad {
    /// The engine.
    pub instance: InstanceId,
    /// The model.
    pub model: String,
    /// Whether the engine can serve neither waiting items nor the model's next step until it has loaded.
    pub cannot_serve: bool,
    /// Number of versions that the engine is behind.
    pub behind: u64,
    /// Items in flight at the engine.
    pub in_flight: u32,
}

/// Waiting items of a model and the engines that can serve them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelBacklog {
    /// Items waiting for an engine.
    pub waiting: u32,
    /// Engines that can serve them or are loading the model.
    pub engines: u32,
}

impl ModelBacklog {
    fn waiting_per_engine(&self) -> f64 {
        f64::from(self.waiting) / f64::from(self.engines + 1)
    }
}

/// Loads of equal priority that differ only in their engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoadClass<'a> {
    model: &'a str,
    cannot_serve: bool,
    behind: u64,
}

/// Chooses up to `limit` loads, at most one per engine. Returns indexes into `due`, in order of priority.
///
/// Loads are grouped by class, of which each model has only a few, so that the cost of one choice does not grow with
/// the number of due loads.
pub fn choose_loads(due: &[DueLoad], backlogs: &BTreeMap<String, ModelBacklog>, limit: usize) -> Vec<usize> {
    let mut backlogs = backlogs.clone();
    let mut indexes: Vec<usize> = (0..due.len()).collect();
    // Within a class, the engine with the fewest items in flight loads first.
    indexes.sort_by_key(|index| due[*index].in_flight);
    let mut classes: BTreeMap<LoadClass<'_>, VecDeque<(usize, usize)>> = BTreeMap::new();
    for (position, index) in indexes.into_iter().enumerate() {
        let load = &due[index];
        let class = LoadClass { model: &load.model, cannot_serve: load.cannot_serve, behind: load.behind };
        classes.entry(class).or_default().push_back((position, index));
    }
    let mut used_engines: BTreeSet<&InstanceId> = BTreeSet::new();
    let mut chosen = Vec::new();
    while chosen.len() < limit {
        for remaining in classes.values_mut() {
            while remaining.front().is_some_and(|(_, index)| used_engines.contains(&due[*index].instance)) {
                remaining.pop_front();
            }
        }
        let Some(class) = most_urgent(&classes, &backlogs) else {
            break;
        };
        let Some((_, index)) = classes.get_mut(&class).and_then(VecDeque::pop_front) else {
            break;
        };
        backlogs.entry(class.model.to_string()).or_default().engines += 1;
        used_engines.insert(&due[index].instance);
        chosen.push(index);
    }
    chosen
}

/// The class with the highest priority; ties go to the engine with fewer items in flight.
fn most_urgent<'a>(
    classes: &BTreeMap<LoadClass<'a>, VecDeque<(usize, usize)>>,
    backlogs: &BTreeMap<String, ModelBacklog>,
) -> Option<LoadClass<'a>> {
    let urgency = |class: &LoadClass<'_>| {
        let backlog = backlogs.get(class.model).copied().unwrap_or_default();
        if class.cannot_serve { backlog.waiting_per_engine() } else { 0.0 }
    };
    let remaining = classes.iter().filter_map(|(class, loads)| Some((*class, loads.front()?.0)));
    let first = remaining.min_by(|(left, left_position), (right, right_position)| {
        let by_urgency = urgency(right).total_cmp(&urgency(left));
        by_urgency.then(right.behind.cmp(&left.behind)).then(left_position.cmp(right_position))
    });
    first.map(|(class, _)| class)
}
