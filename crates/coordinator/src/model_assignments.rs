//! Assigns engines to the models of a service that hosts several.
//!
//! Every engine can load every model, but a weight load takes time and each trainer step publishes a new version. Each
//! engine is therefore assigned to one model, in proportion to the demand of the models' jobs and, where items are placed
//! by expected completion, to the engine's capacity, and only that model is kept up to date on it. Every model with
//! waiting items has at least one engine, whatever its demand: they would wait forever if it were kept up to date nowhere.
//! If there are fewer engines than models, each model is assigned to one engine instead.

use saddlerelay_types::instance::InstanceId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Weight of a new job in the moving average of a model's demand.
const DEMAND_SMOOTHING: f64 = 0.4;

/// Minimum interval between reassignments.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(3);

/// One engine in this many may be reassigned per interval, at least one.
const ENGINES_PER_MOVE: usize = 16;

/// Minimum difference between the excess of two models for which an engine is reassigned. A reassignment changes the
/// difference by two.
const MIN_EXCESS_GAP: f64 = 1.5;

/// Bounds of an engine's weight, so that an engine whose capacity is estimated wrongly doesn't decide a model's share.
const MIN_WEIGHT: f64 = 0.2;
const MAX_WEIGHT: f64 = 4.0;

/// Why an engine was reassigned from one model to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReassignmentReason {
    /// The other model had no engine.
    ModelWithoutEngine,
    /// The other model had too little of its share of the capacity.
    Demand,
}

impl ReassignmentReason {
    /// The value of the log key `reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ModelWithoutEngine => "the model had no engine",
            Self::Demand => "the model had too little capacity for its demand",
        }
    }
}

/// An engine that a rebalance reassigned from one model to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The engine.
    pub instance: InstanceId,
    /// The model that it was assigned to before.
    pub from: String,
    /// The model that it is assigned to now.
    pub to: String,
    /// Why it was reassigned.
    pub reason: ReassignmentReason,
}

/// Assignment of engines to models.
#[derive(Default)]
pub struct ModelAssignments {
    /// Model of each engine, if there are at least as many engines as models.
    model_of_engine: BTreeMap<InstanceId, String>,
    /// Engine of each model, if there are fewer engines than models.
    engine_of_model: BTreeMap<String, InstanceId>,
    demand: BTreeMap<String, f64>,
    /// Capacity of engines as a multiple of their mean; engines that are not listed count as one.
    capacities: BTreeMap<InstanceId, f64>,
    last_move_at: Duration,
}

impl ModelAssignments {
    /// Records the size of a job for a model, in expected events.
    pub fn record_demand(&mut self, model: &str, expected_events: f64) {
        let demand = self.demand.entry(model.to_string()).or_insert(expected_events);
        *demand += (expected_events - *demand) * DEMAND_SMOOTHING;
    }

    /// Sets the capacities of engines, in any unit, by which the next rebalances weigh them. Without capacities, all
    /// engines count the same.
    pub fn set_capacities(&mut self, capacities: BTreeMap<InstanceId, f64>) {
        let mean = capacities.values().sum::<f64>() / capacities.len().max(1) as f64;
        let weight = |capacity: f64| (capacity / mean).clamp(MIN_WEIGHT, MAX_WEIGHT);
        self.capacities = capacities.into_iter().map(|(instance, capacity)| (instance, weight(capacity))).collect();
    }

    fn weight(&self, instance: &InstanceId) -> f64 {
        self.capacities.get(instance).copied().unwrap_or(1.0)
    }

    /// Whether an engine is kept up to date with a model.
    pub fn is_assigned(&self, instance: &InstanceId, model: &str) -> bool {
        match (self.engine_of_model.get(model), self.model_of_engine.get(instance)) {
            (Some(assigned_engine), _) => assigned_engine == instance,
            (None, Some(assigned_model)) => assigned_model == model,
            (None, None) => true,
        }
    }

    /// The only model that an engine is kept up to date with; `None` if there is none or more than one.
    pub fn assigned_model(&self, instance: &InstanceId) -> Option<&str> {
        self.model_of_engine.get(instance).map(String::as_str)
    }

    /// Assigns `engines` to `models`. Engines are passed fastest first, so that each model gets fast and slow ones.
    /// `versions_behind` returns how many versions an engine is behind with a model: a new leader prefers to leave
    /// engines with the model that they are least behind with. `has_waiting_items` says whether items of a model wait for
    /// an engine. Returns the engines that were reassigned, without those that had no model before.
    pub fn rebalance(
        &mut self,
        engines: &[InstanceId],
        models: &[String],
        versions_behind: impl Fn(&InstanceId, &str) -> u64,
        has_waiting_items: impl Fn(&str) -> bool,
        now: Duration,
    ) -> Vec<Reassignment> {
        if models.len() < 2 || engines.len() < models.len() {
            self.model_of_engine.clear();
            self.assign_models(engines, models, now);
            return Vec::new();
        }
        self.engine_of_model.clear();
        let present: BTreeSet<&InstanceId> = engines.iter().collect();
        self.model_of_engine.retain(|instance, model| present.contains(instance) && models.contains(model));
        let total: f64 = engines.iter().map(|instance| self.weight(instance)).sum();
        let target_counts = self.target_counts(total, models);
        let mut counts = self.counts(models);
        let new: Vec<&InstanceId> =
            engines.iter().filter(|instance| !self.model_of_engine.contains_key(*instance)).collect();
        for instance in &new {
            if let Some(index) = least_lagging(models, |model| versions_behind(instance, model))
                && counts[index] + self.weight(instance) <= target_counts[index].ceil()
            {
                self.model_of_engine.insert((*instance).clone(), models[index].clone());
                counts[index] += self.weight(instance);
            }
        }
        for instance in new {
            if !self.model_of_engine.contains_key(instance) {
                let index = most_underprovisioned(&counts, &target_counts);
                self.model_of_engine.insert(instance.clone(), models[index].clone());
                counts[index] += self.weight(instance);
            }
        }
        let without_engine: Vec<usize> = (0..models.len())
            .filter(|index| self.engines_of(&models[*index]).is_empty() && has_waiting_items(&models[*index]))
            .collect();
        let mut reassignments =
            self.cover_models(&without_engine, models, &target_counts, &mut counts, versions_behind);
        reassignments.extend(self.move_engines(engines.len(), models, &target_counts, counts, now));
        reassignments
    }

    /// Reassigns an engine to each of the models with the indexes `without_engine`, regardless of demand and of the interval
    /// between other reassignments. There are at least as many engines as models.
    fn cover_models(
        &mut self,
        without_engine: &[usize],
        models: &[String],
        target_counts: &[f64],
        counts: &mut [f64],
        versions_behind: impl Fn(&InstanceId, &str) -> u64,
    ) -> Vec<Reassignment> {
        let mut reassignments = Vec::new();
        for &to in without_engine {
            let Some(from) = self.most_overprovisioned(models, target_counts, counts) else {
                break;
            };
            let assigned = self.engines_of(&models[from]);
            let Some(instance) = assigned.into_iter().min_by_key(|instance| versions_behind(instance, &models[to]))
            else {
                break;
            };
            let instance = instance.clone();
            reassignments.push(self.reassign(
                instance,
                from,
                to,
                models,
                counts,
                ReassignmentReason::ModelWithoutEngine,
            ));
        }
        reassignments
    }

    /// Engines assigned to a model.
    fn engines_of(&self, model: &str) -> Vec<&InstanceId> {
        let assigned = self.model_of_engine.iter().filter(|(_, assigned_model)| *assigned_model == model);
        assigned.map(|(instance, _)| instance).collect()
    }

    /// Index of the model with the largest excess among those that have an engine to spare.
    fn most_overprovisioned(&self, models: &[String], target_counts: &[f64], counts: &[f64]) -> Option<usize> {
        let excess = |index: usize| counts[index] - target_counts[index];
        let with_spare_engine = (0..models.len()).filter(|index| self.engines_of(&models[*index]).len() > 1);
        with_spare_engine.max_by(|left, right| excess(*left).total_cmp(&excess(*right)))
    }

    fn reassign(
        &mut self,
        instance: InstanceId,
        from: usize,
        to: usize,
        models: &[String],
        counts: &mut [f64],
        reason: ReassignmentReason,
    ) -> Reassignment {
        let weight = self.weight(&instance);
        counts[from] -= weight;
        counts[to] += weight;
        self.model_of_engine.insert(instance.clone(), models[to].clone());
        Reassignment { instance, from: models[from].clone(), to: models[to].clone(), reason }
    }

    /// Assigns models to fewer engines; a model whose engine is gone goes to the engine with the fewest models.
    fn assign_models(&mut self, engines: &[InstanceId], models: &[String], now: Duration) {
        self.engine_of_model
            .retain(|model, assigned_engine| models.contains(model) && engines.contains(assigned_engine));
        if models.len() < 2 {
            self.engine_of_model.clear();
            return;
        }
        let count = |engine_of_model: &BTreeMap<String, InstanceId>, engine: &InstanceId| {
            engine_of_model.values().filter(|assigned_engine| *assigned_engine == engine).count()
        };
        for model in models {
            if !self.engine_of_model.contains_key(model)
                && let Some(engine) = engines.iter().min_by_key(|engine| count(&self.engine_of_model, engine))
            {
                self.engine_of_model.insert(model.clone(), engine.clone());
            }
        }
        if now < self.last_move_at + REBALANCE_INTERVAL {
            return;
        }
        let most_loaded = engines.iter().max_by_key(|engine| count(&self.engine_of_model, engine));
        let least_loaded = engines.iter().min_by_key(|engine| count(&self.engine_of_model, engine));
        if let (Some(most_loaded), Some(least_loaded)) = (most_loaded, least_loaded)
            && count(&self.engine_of_model, most_loaded) >= count(&self.engine_of_model, least_loaded) + 2
            && let Some(assigned_engine) =
                self.engine_of_model.values_mut().find(|assigned_engine| *assigned_engine == most_loaded)
        {
            *assigned_engine = least_loaded.clone();
            self.last_move_at = now;
        }
    }

    /// Target capacity per model, in engines of mean capacity, in proportion to demand and at least one.
    fn target_counts(&self, engines: f64, models: &[String]) -> Vec<f64> {
        let recorded: Vec<Option<f64>> = models.iter().map(|model| self.demand.get(model).copied()).collect();
        let mean = recorded.iter().flatten().sum::<f64>() / recorded.iter().flatten().count().max(1) as f64;
        let demand: Vec<f64> = recorded.into_iter().map(|demand| demand.unwrap_or(mean).max(1.0)).collect();
        let total: f64 = demand.iter().sum();
        demand.into_iter().map(|demand| (engines * demand / total).max(1.0)).collect()
    }

    /// Capacity of the engines assigned to each model, in engines of mean capacity; computed once per rebalance.
    fn counts(&self, models: &[String]) -> Vec<f64> {
        let indexes: BTreeMap<&str, usize> =
            models.iter().enumerate().map(|(index, model)| (model.as_str(), index)).collect();
        let mut counts = vec![0.0; models.len()];
        for (instance, assigned_model) in &self.model_of_engine {
            if let Some(index) = indexes.get(assigned_model.as_str()) {
                counts[*index] += self.weight(instance);
            }
        }
        counts
    }

    /// Reassigns engines from models with too many to models with too few.
    fn move_engines(
        &mut self,
        engines: usize,
        models: &[String],
        target_counts: &[f64],
        mut counts: Vec<f64>,
        now: Duration,
    ) -> Vec<Reassignment> {
        let mut reassignments = Vec::new();
        if now < self.last_move_at + REBALANCE_INTERVAL {
            return reassignments;
        }
        for _ in 0..(engines / ENGINES_PER_MOVE).max(1) {
            let Some(reassignment) = self.move_one(models, target_counts, &mut counts) else {
                break;
            };
            reassignments.push(reassignment);
            self.last_move_at = now;
        }
        reassignments
    }

    /// Reassigns one engine from the model with the largest excess to the one with the smallest, if the gap is large
    /// enough. No model loses its last engine.
    fn move_one(&mut self, models: &[String], target_counts: &[f64], counts: &mut [f64]) -> Option<Reassignment> {
        let excess = |index: usize| counts[index] - target_counts[index];
        let from = self.most_overprovisioned(models, target_counts, counts)?;
        let to = (0..models.len()).min_by(|left, right| excess(*left).total_cmp(&excess(*right)))?;
        let gap = excess(from) - excess(to);
        if gap < MIN_EXCESS_GAP {
            return None;
        }
        // A reassignment changes the gap by twice the engine's weight. Only engines that reduce it are considered.
        let remaining_gap = |instance: &InstanceId| (gap - 2.0 * self.weight(instance)).abs();
        let assigned = self.engines_of(&models[from]).into_iter();
        let suitable = assigned.filter(|instance| remaining_gap(instance) < gap);
        let chosen = suitable.min_by(|left, right| remaining_gap(left).total_cmp(&remaining_gap(right)))?.clone();
        Some(self.reassign(chosen, from, to, models, counts, ReassignmentReason::Demand))
    }
}

/// Index of the model with the smallest share of its target.
fn most_underprovisioned(counts: &[f64], target_counts: &[f64]) -> usize {
    let provisioned_share = |index: usize| counts[index] / target_counts[index];
    let least = (0..counts.len()).min_by(|left, right| provisioned_share(*left).total_cmp(&provisioned_share(*right)));
    least.unwrap_or(0)
}

/// Index of the model that an engine is least behind with, if it is unique.
fn least_lagging(models: &[String], versions_behind: impl Fn(&str) -> u64) -> Option<usize> {
    let versions_behind_by_model: Vec<u64> = models.iter().map(|model| versions_behind(model)).collect();
    let least = versions_behind_by_model.iter().min()?;
    let mut candidates = (0..versions_behind_by_model.len()).filter(|index| versions_behind_by_model[*index] == *least);
    let first = candidates.next()?;
    candidates.next().is_none().then_some(first)
}
