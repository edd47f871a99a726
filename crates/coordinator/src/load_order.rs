//! Which changes of weights come first where not all that are due can run at once.
//!
//! An engine that is two versions behind can serve no step. Where items wait for its model, it is brought up to date
//! before any other: first for the model with most waiting items for each engine that can serve them, or soon will.

use saddlerelay_types::instance::InstanceId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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

/// Loads that are alike but for their engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Kind<'a> {
    model: &'a str,
    useless: bool,
    behind: u64,
}

/// Chooses up to `most` loads, one for each engine; returns their places in `due`, the first to be given first.
///
/// Loads are told apart by kind, of which there are a few for each model: what a choice costs does not grow with what is
/// due.
pub fn choose_loads(due: &[DueLoad], needs: &BTreeMap<String, ModelNeed>, most: usize) -> Vec<usize> {
    let mut needs = needs.clone();
    let mut places: Vec<usize> = (0..due.len()).collect();
    // Of those alike, one whose slots are free serves soonest.
    places.sort_by_key(|place| due[*place].in_flight);
    let mut kinds: BTreeMap<Kind<'_>, VecDeque<(usize, usize)>> = BTreeMap::new();
    for (order, place) in places.into_iter().enumerate() {
        let load = &due[place];
        let kind = Kind { model: &load.model, useless: load.useless, behind: load.behind };
        kinds.entry(kind).or_default().push_back((order, place));
    }
    let mut taken: BTreeSet<&InstanceId> = BTreeSet::new();
    let mut chosen = Vec::new();
    while chosen.len() < most {
        for left in kinds.values_mut() {
            while left.front().is_some_and(|(_, place)| taken.contains(&due[*place].instance)) {
                left.pop_front();
            }
        }
        let Some(kind) = most_urgent(&kinds, &needs) else {
            break;
        };
        let Some((_, place)) = kinds.get_mut(&kind).and_then(VecDeque::pop_front) else {
            break;
        };
        needs.entry(kind.model.to_string()).or_default().engines += 1;
        taken.insert(&due[place].instance);
        chosen.push(place);
    }
    chosen
}

/// The kind whose first load is to be given first; of equally urgent ones that with the freer engine.
fn most_urgent<'a>(
    kinds: &BTreeMap<Kind<'a>, VecDeque<(usize, usize)>>,
    needs: &BTreeMap<String, ModelNeed>,
) -> Option<Kind<'a>> {
    let urgency = |kind: &Kind<'_>| {
        let need = needs.get(kind.model).copied().unwrap_or_default();
        if kind.useless { need.pressure() } else { 0.0 }
    };
    let left = kinds.iter().filter_map(|(kind, loads)| Some((*kind, loads.front()?.0)));
    let first = left.min_by(|(left, left_order), (right, right_order)| {
        let awaited = urgency(right).total_cmp(&urgency(left));
        awaited.then(right.behind.cmp(&left.behind)).then(left_order.cmp(right_order))
    });
    first.map(|(kind, _)| kind)
}
