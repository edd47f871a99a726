//! Assigns engines to the models of a service that hosts several.
//!
//! Every engine can load every model, but a weight load takes time and each trainer step publishes a new version. Each
//! engine is therefore assigned to one model, in proportion to the demand of the models' jobs, and only that model is
//! kept up to date on it. If there are fewer engines than models, each model is assigned to one engine instead.

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

/// Assignment of engines to models.
#[derive(Default)]
pub struct ModelAssignments {
    /// Model of each engine, if there are at least as many engines as models.
    model_of_engine: BTreeMap<InstanceId, String>,
    /// Engine of each model, if there are fewer engines than models.
    engine_of_model: BTreeMap<String, InstanceId>,
    demand: BTreeMap<String, f64>,
    last_move_at: Duration,
}

impl ModelAssignments {
    /// Records the size of a job for a model, in expected events.
    pub fn record_demand(&mut self, model: &str, expected_events: f64) {
        let demand = self.demand.entry(model.to_string()).or_insert(expected_events);
        *demand += (expected_events - *demand) * DEMAND_SMOOTHING;
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
    /// engines with the model that they are least behind with.
    pub fn rebalance(
        &mut self,
        engines: &[InstanceId],
        models: &[String],
        versions_behind: impl Fn(&InstanceId, &str) -> u64,
        now: Duration,
    ) {
        if models.len() < 2 || engines.len() < models.len() {
            self.model_of_engine.clear();
            self.assign_models(engines, models, now);
            return;
        }
        self.engine_of_model.clear();
        let present: BTreeSet<&InstanceId> = engines.iter().collect();
        self.model_of_engine.retain(|instance, model| present.contains(instance) && models.contains(model));
        let target_counts = self.target_counts(engines.len(), models);
        let mut counts = self.counts(models);
        let new: Vec<&InstanceId> =
            engines.iter().filter(|instance| !self.model_of_engine.contains_key(*instance)).collect();
        for instance in &new {
            if let Some(index) = least_lagging(models, |model| versions_behind(instance, model))
                && counts[index] + 1.0 <= target_counts[index].ceil()
            {
                self.model_of_engine.insert((*instance).clone(), models[index].clone());
                counts[index] += 1.0;
            }
        }
        for instance in new {
            if !self.model_of_engine.contains_key(instance) {
                let index = most_underprovisioned(&counts, &target_counts);
                self.model_of_engine.insert(instance.clone(), models[index].clone());
                counts[index] += 1.0;
            }
        }
        self.move_engines(engines.len(), models, &target_counts, counts, now);
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

    /// Target number of engines per model, in proportion to demand and at least one.
    fn target_counts(&self, engines: usize, models: &[String]) -> Vec<f64> {
        let recorded: Vec<Option<f64>> = models.iter().map(|model| self.demand.get(model).copied()).collect();
        let mean = recorded.iter().flatten().sum::<f64>() / recorded.iter().flatten().count().max(1) as f64;
        let demand: Vec<f64> = recorded.into_iter().map(|demand| demand.unwrap_or(mean).max(1.0)).collect();
        let total: f64 = demand.iter().sum();
        demand.into_iter().map(|demand| (engines as f64 * demand / total).max(1.0)).collect()
    }

    /// Number of engines assigned to each model, computed once per rebalance.
    fn counts(&self, models: &[String]) -> Vec<f64> {
        let indexes: BTreeMap<&str, usize> =
            models.iter().enumerate().map(|(index, model)| (model.as_str(), index)).collect();
        let mut counts = vec![0.0; models.len()];
        for index in self.model_of_engine.values().filter_map(|assigned_model| indexes.get(assigned_model.as_str())) {
            counts[*index] += 1.0;
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
    ) {
        if now < self.last_move_at + REBALANCE_INTERVAL {
            return;
        }
        for _ in 0..(engines / ENGINES_PER_MOVE).max(1) {
            if !self.move_one(models, target_counts, &mut counts) {
                return;
            }
            self.last_move_at = now;
        }
    }

    /// Reassigns one engine from the model with the largest excess to the one with the smallest, if the gap is large
    /// enough; returns whether it did.
    fn move_one(&mut self, models: &[String], target_counts: &[f64], counts: &mut [f64]) -> bool {
        let excess = |index: usize| counts[index] - target_counts[index];
        let most_overprovisioned = (0..models.len()).max_by(|left, right| excess(*left).total_cmp(&excess(*right)));
        let least_provisioned = (0..models.len()).min_by(|left, right| excess(*left).total_cmp(&excess(*right)));
        let (Some(most_overprovisioned), Some(least_provisioned)) = (most_overprovisioned, least_provisioned) else {
            return false;
        };
        if excess(most_overprovisioned) - excess(least_provisioned) < MIN_EXCESS_GAP {
            return false;
        }
        let Some(assigned_model) =
            self.model_of_engine.values_mut().find(|assigned_model| **assigned_model == models[most_overprovisioned])
        else {
            return false;
        };
        assigned_model.clone_from(&models[least_provisioned]);
        counts[most_overprovisioned] -= 1.0;
        counts[least_provisioned] += 1.0;
        true
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
