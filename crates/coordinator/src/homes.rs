//! Which engines are kept at the newest weights of which model, where a service hosts several.
//!
//! Every engine can hold every model, but a change of weights costs time, and each model changes with each of its
//! trainer's steps. Engines are therefore shared out among the models by what their jobs ask for, and only an engine's
//! home model is brought up to date on it.

use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new job in a model's demand.
const DEMAND_WEIGHT: f64 = 0.4;

/// Shortest pause between moves of engines from one model to another.
const MOVE_INTERVAL: Duration = Duration::from_secs(3);

/// Least difference of two models' excesses for which an engine is moved; a move changes it by two.
const LEAST_GAP: f64 = 1.5;

/// The sharing out.
#[derive(Default)]
pub struct Homes {
    homes: BTreeMap<InstanceId, String>,
    demand: BTreeMap<String, f64>,
    moved_at: Duration,
}

impl Homes {
    /// A job asks for so many tokens of a model.
    pub fn note_demand(&mut self, model: &str, tokens: f64) {
        let demand = self.demand.entry(model.to_string()).or_insert(tokens);
        *demand += (tokens - *demand) * DEMAND_WEIGHT;
    }

    /// The model that an engine is kept up to date with; `None` when it is kept up to date with all.
    pub fn home(&self, instance: &InstanceId) -> Option<&str> {
        self.homes.get(instance).map(String::as_str)
    }

    /// Shares `engines` out among `models`. Engines come fastest first, so that each model gets fast and slow ones. `lag`
    /// tells how many versions an engine is behind with a model: a new leader leaves engines where their weights are.
    pub fn share_out(
        &mut self,
        engines: &[InstanceId],
        models: &[String],
        lag: impl Fn(&InstanceId, &str) -> u64,
        now: Duration,
    ) {
        if models.len() < 2 || engines.len() < models.len() {
            self.homes.clear();
            return;
        }
        self.homes.retain(|instance, model| engines.contains(instance) && models.contains(model));
        let wanted = self.wanted(engines.len(), models);
        let new: Vec<&InstanceId> = engines.iter().filter(|instance| !self.homes.contains_key(*instance)).collect();
        for instance in &new {
            if let Some(index) = least_lagging(models, |model| lag(instance, model))
                && self.count(&models[index]) + 1.0 <= wanted[index].ceil()
            {
                self.homes.insert((*instance).clone(), models[index].clone());
            }
        }
        for instance in new {
            if !self.homes.contains_key(instance) {
                let model = self.neediest(models, &wanted).clone();
                self.homes.insert(instance.clone(), model);
            }
        }
        self.move_one(models, &wanted, now);
    }

    /// Engines that each model should have: by demand, at least one.
    fn wanted(&self, engines: usize, models: &[String]) -> Vec<f64> {
        let known: Vec<Option<f64>> = models.iter().map(|model| self.demand.get(model).copied()).collect();
        let mean = known.iter().flatten().sum::<f64>() / known.iter().flatten().count().max(1) as f64;
        let demand: Vec<f64> = known.into_iter().map(|demand| demand.unwrap_or(mean).max(1.0)).collect();
        let total: f64 = demand.iter().sum();
        demand.into_iter().map(|demand| (engines as f64 * demand / total).max(1.0)).collect()
    }

    fn count(&self, model: &str) -> f64 {
        self.homes.values().filter(|home| *home == model).count() as f64
    }

    fn neediest<'a>(&self, models: &'a [String], wanted: &[f64]) -> &'a String {
        let filled = |index: &usize| self.count(&models[*index]) / wanted[*index];
        let least = (0..models.len()).min_by(|left, right| filled(left).total_cmp(&filled(right)));
        &models[least.unwrap_or(0)]
    }

    /// Moves an engine from the model that has most too many to the one that has most too few.
    fn move_one(&mut self, models: &[String], wanted: &[f64], now: Duration) {
        if now < self.moved_at + MOVE_INTERVAL {
            return;
        }
        let excess = |index: usize| self.count(&models[index]) - wanted[index];
        let richest = (0..models.len()).max_by(|left, right| excess(*left).total_cmp(&excess(*right)));
        let poorest = (0..models.len()).min_by(|left, right| excess(*left).total_cmp(&excess(*right)));
        let (Some(richest), Some(poorest)) = (richest, poorest) else {
            return;
        };
        if excess(richest) - excess(poorest) < LEAST_GAP {
            return;
        }
        let moved = self.homes.iter().find(|(_, home)| **home == models[richest]).map(|(instance, _)| instance.clone());
        if let Some(instance) = moved {
            self.homes.insert(instance, models[poorest].clone());
            self.moved_at = now;
        }
    }
}

/// The model that an engine is less behind with than with any other.
fn least_lagging(models: &[String], lag: impl Fn(&str) -> u64) -> Option<usize> {
    let lags: Vec<u64> = models.iter().map(|model| lag(model)).collect();
    let least = lags.iter().min()?;
    let mut least_ones = (0..lags.len()).filter(|index| lags[*index] == *least);
    let first = least_ones.next()?;
    least_ones.next().is_none().then_some(first)
}
