//! Which engines are kept at the newest weights of which model, where a service hosts several.
//!
//! Every engine can hold every model, but a change of weights costs time, and each model changes with each of its
//! trainer's steps. Engines are therefore shared out among the models by what their jobs ask for, and only an engine's
//! home model is brought up to date on it. Where there are fewer engines than models, models are shared out among the
//! engines instead: each has one engine that is kept up to date with it.

use saddlerelay_types::instance::InstanceId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Weight of a new job in a model's demand.
const DEMAND_WEIGHT: f64 = 0.4;

/// Shortest pause between moves of engines from one model to another.
const MOVE_INTERVAL: Duration = Duration::from_secs(3);

/// Engines for each one that may move in an interval: many engines are not to take minutes to follow the demand.
const ENGINES_PER_MOVE: usize = 16;

/// Least difference of two models' excesses for which an engine is moved; a move changes it by two.
const LEAST_GAP: f64 = 1.5;

/// The sharing out.
#[derive(Default)]
pub struct Homes {
    /// The model of each engine, where there are enough of them.
    homes: BTreeMap<InstanceId, String>,
    /// The engine of each model, where there are fewer engines than models.
    hosts: BTreeMap<String, InstanceId>,
    demand: BTreeMap<String, f64>,
    moved_at: Duration,
}

impl Homes {
    /// A job asks for so many tokens of a model.
    pub fn note_demand(&mut self, model: &str, tokens: f64) {
        let demand = self.demand.entry(model.to_string()).or_insert(tokens);
        *demand += (tokens - *demand) * DEMAND_WEIGHT;
    }

    /// Whether an engine is kept up to date with a model.
    pub fn is_home(&self, instance: &InstanceId, model: &str) -> bool {
        match (self.hosts.get(model), self.homes.get(instance)) {
            (Some(host), _) => host == instance,
            (None, Some(home)) => home == model,
            (None, None) => true,
        }
    }

    /// The one model that an engine is kept up to date with; `None` when there is no one or several.
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
            self.share_models(engines, models, now);
            return;
        }
        self.hosts.clear();
        let present: BTreeSet<&InstanceId> = engines.iter().collect();
        self.homes.retain(|instance, model| present.contains(instance) && models.contains(model));
        let wanted = self.wanted(engines.len(), models);
        let mut counts = self.counts(models);
        let new: Vec<&InstanceId> = engines.iter().filter(|instance| !self.homes.contains_key(*instance)).collect();
        for instance in &new {
            if let Some(index) = least_lagging(models, |model| lag(instance, model))
                && counts[index] + 1.0 <= wanted[index].ceil()
            {
                self.homes.insert((*instance).clone(), models[index].clone());
                counts[index] += 1.0;
            }
        }
        for instance in new {
            if !self.homes.contains_key(instance) {
                let index = neediest(&counts, &wanted);
                self.homes.insert(instance.clone(), models[index].clone());
                counts[index] += 1.0;
            }
        }
        self.move_engines(engines.len(), models, &wanted, counts, now);
    }

    /// Shares the models out among fewer engines. One whose engine is gone goes to the engine with fewest.
    fn share_models(&mut self, engines: &[InstanceId], models: &[String], now: Duration) {
        self.hosts.retain(|model, host| models.contains(model) && engines.contains(host));
        if models.len() < 2 {
            self.hosts.clear();
            return;
        }
        let count = |hosts: &BTreeMap<String, InstanceId>, engine: &InstanceId| {
            hosts.values().filter(|host| *host == engine).count()
        };
        for model in models {
            if !self.hosts.contains_key(model)
                && let Some(engine) = engines.iter().min_by_key(|engine| count(&self.hosts, engine))
            {
                self.hosts.insert(model.clone(), engine.clone());
            }
        }
        if now < self.moved_at + MOVE_INTERVAL {
            return;
        }
        let fullest = engines.iter().max_by_key(|engine| count(&self.hosts, engine));
        let emptiest = engines.iter().min_by_key(|engine| count(&self.hosts, engine));
        if let (Some(fullest), Some(emptiest)) = (fullest, emptiest)
            && count(&self.hosts, fullest) >= count(&self.hosts, emptiest) + 2
            && let Some(host) = self.hosts.values_mut().find(|host| *host == fullest)
        {
            *host = emptiest.clone();
            self.moved_at = now;
        }
    }

    /// Engines that each model should have: by demand, at least one.
    fn wanted(&self, engines: usize, models: &[String]) -> Vec<f64> {
        let known: Vec<Option<f64>> = models.iter().map(|model| self.demand.get(model).copied()).collect();
        let mean = known.iter().flatten().sum::<f64>() / known.iter().flatten().count().max(1) as f64;
        let demand: Vec<f64> = known.into_iter().map(|demand| demand.unwrap_or(mean).max(1.0)).collect();
        let total: f64 = demand.iter().sum();
        demand.into_iter().map(|demand| (engines as f64 * demand / total).max(1.0)).collect()
    }

    /// How many engines have each model for their home: counted once for each sharing out, not for each engine.
    fn counts(&self, models: &[String]) -> Vec<f64> {
        let indexes: BTreeMap<&str, usize> =
            models.iter().enumerate().map(|(index, model)| (model.as_str(), index)).collect();
        let mut counts = vec![0.0; models.len()];
        for index in self.homes.values().filter_map(|home| indexes.get(home.as_str())) {
            counts[*index] += 1.0;
        }
        counts
    }

    /// Moves engines from models that have too many to those that have too few.
    fn move_engines(&mut self, engines: usize, models: &[String], wanted: &[f64], mut counts: Vec<f64>, now: Duration) {
        if now < self.moved_at + MOVE_INTERVAL {
            return;
        }
        for _ in 0..(engines / ENGINES_PER_MOVE).max(1) {
            if !self.move_one(models, wanted, &mut counts) {
                return;
            }
            self.moved_at = now;
        }
    }

    /// Moves an engine from the model that has most too many to the one that has most too few, if that helps.
    fn move_one(&mut self, models: &[String], wanted: &[f64], counts: &mut [f64]) -> bool {
        let excess = |index: usize| counts[index] - wanted[index];
        let richest = (0..models.len()).max_by(|left, right| excess(*left).total_cmp(&excess(*right)));
        let poorest = (0..models.len()).min_by(|left, right| excess(*left).total_cmp(&excess(*right)));
        let (Some(richest), Some(poorest)) = (richest, poorest) else {
            return false;
        };
        if excess(richest) - excess(poorest) < LEAST_GAP {
            return false;
        }
        let Some(home) = self.homes.values_mut().find(|home| **home == models[richest]) else {
            return false;
        };
        home.clone_from(&models[poorest]);
        counts[richest] -= 1.0;
        counts[poorest] += 1.0;
        true
    }
}

/// The model that has the smallest part of what it should have.
fn neediest(counts: &[f64], wanted: &[f64]) -> usize {
    let filled = |index: usize| counts[index] / wanted[index];
    let least = (0..counts.len()).min_by(|left, right| filled(*left).total_cmp(&filled(*right)));
    least.unwrap_or(0)
}

/// The model that an engine is less behind with than with any other.
fn least_lagging(models: &[String], lag: impl Fn(&str) -> u64) -> Option<usize> {
    let lags: Vec<u64> = models.iter().map(|model| lag(model)).collect();
    let least = lags.iter().min()?;
    let mut least_ones = (0..lags.len()).filter(|index| lags[*index] == *least);
    let first = least_ones.next()?;
    least_ones.next().is_none().then_some(first)
}
