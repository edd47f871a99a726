//! Assignment of engines to models.

use quickcheck::{Gen, QuickCheck};
use saddlerelay_coordinator::model_assignments::ModelAssignments;
use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

fn engines(count: usize) -> Vec<InstanceId> {
    (0..count).map(|index| InstanceId::without_start_time(format!("engine-{index}"))).collect()
}

fn models(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("model-{index}")).collect()
}

fn counts(assignments: &ModelAssignments, engines: &[InstanceId]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for assigned_model in engines.iter().filter_map(|engine| assignments.assigned_model(engine)) {
        *counts.entry(assigned_model.to_string()).or_default() += 1;
    }
    counts
}

fn none_behind(_: &InstanceId, _: &str) -> u64 {
    0
}

/// Items of all models wait for an engine.
fn all_wait(_: &str) -> bool {
    true
}

#[test]
fn engines_are_assigned_in_proportion_to_demand() {
    let mut assignments = ModelAssignments::default();
    assignments.record_demand("model-0", 1_000.0);
    assignments.record_demand("model-1", 2_000.0);
    assignments.rebalance(&engines(9), &models(2), none_behind, all_wait, Duration::ZERO);
    let counts = counts(&assignments, &engines(9));
    assert_eq!((counts["model-0"], counts["model-1"]), (3, 6));
}

/// A new leader has no assignments of its own and only knows the loaded versions.
#[test]
fn a_new_leader_assigns_engines_to_the_model_they_are_least_behind_with() {
    let engines = engines(9);
    let least_behind_model =
        |instance: &InstanceId| if engines[..4].contains(instance) { "model-1" } else { "model-0" };
    let mut assignments = ModelAssignments::default();
    assignments.record_demand("model-0", 1_000.0);
    assignments.record_demand("model-1", 900.0);
    assignments.rebalance(
        &engines,
        &models(2),
        |instance, model| if model == least_behind_model(instance) { 1 } else { 7 },
        all_wait,
        Duration::ZERO,
    );
    for engine in &engines {
        assert_eq!(assignments.assigned_model(engine), Some(least_behind_model(engine)));
    }
}

#[test]
fn no_engine_has_a_single_assigned_model_with_one_model_or_too_few_engines() {
    let mut assignments = ModelAssignments::default();
    assignments.rebalance(&engines(9), &models(1), none_behind, all_wait, Duration::ZERO);
    assert_eq!(assignments.assigned_model(&engines(1)[0]), None);
    assignments.rebalance(&engines(2), &models(3), none_behind, all_wait, Duration::ZERO);
    assert_eq!(assignments.assigned_model(&engines(1)[0]), None);
}

/// Guards against an engine having to keep all models up to date when there are fewer engines than models.
#[test]
fn models_are_spread_evenly_over_fewer_engines() {
    fn check(present: Vec<bool>, models_count: u8) -> bool {
        let models = models(3 + usize::from(models_count % 5));
        let all = engines(models.len() - 1);
        let mut assignments = ModelAssignments::default();
        assignments.rebalance(&all, &models, none_behind, all_wait, Duration::ZERO);
        let is_remaining = |index: &usize| *index == 0 || present.get(*index).copied().unwrap_or(true);
        let remaining: Vec<InstanceId> = (0..all.len()).filter(is_remaining).map(|index| all[index].clone()).collect();
        for time in 1..20 {
            assignments.rebalance(&remaining, &models, none_behind, all_wait, Duration::from_secs(4 * time));
        }
        let model_count =
            |engine: &InstanceId| models.iter().filter(|model| assignments.is_assigned(engine, model)).count();
        let counts: Vec<usize> = remaining.iter().map(model_count).collect();
        let (least, most) = (counts.iter().min().copied(), counts.iter().max().copied());
        counts.iter().sum::<usize>() == models.len() && most <= least.map(|least| least + 1)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(8, 3)).tests(200).quickcheck(check as fn(Vec<bool>, u8) -> bool);
}

#[test]
fn each_engine_gets_one_model_again_once_there_are_enough_engines() {
    let mut assignments = ModelAssignments::default();
    assignments.rebalance(&engines(2), &models(3), none_behind, all_wait, Duration::ZERO);
    assignments.rebalance(&engines(6), &models(3), none_behind, all_wait, Duration::from_secs(4));
    for engine in &engines(6) {
        assert_eq!(models(3).iter().filter(|model| assignments.is_assigned(engine, model)).count(), 1);
    }
}

#[test]
fn assignments_of_many_engines_follow_demand_within_a_few_intervals() {
    let mut assignments = ModelAssignments::default();
    let (engines, models) = (engines(128), models(6));
    assignments.rebalance(&engines, &models, none_behind, all_wait, Duration::ZERO);
    for (index, model) in models.iter().enumerate() {
        assignments.record_demand(model, if index == 0 { 1_000.0 } else { 2_000.0 });
    }
    for time in 1..=3 {
        assignments.rebalance(&engines, &models, none_behind, all_wait, Duration::from_secs(4 * time));
    }
    assert!((11..=13).contains(&counts(&assignments, &engines)["model-0"]));
}

#[test]
fn one_engine_is_reassigned_per_interval_when_demand_changes() {
    let mut assignments = ModelAssignments::default();
    assignments.record_demand("model-0", 1_000.0);
    assignments.record_demand("model-1", 1_000.0);
    assignments.rebalance(&engines(10), &models(2), none_behind, all_wait, Duration::ZERO);
    for _ in 0..20 {
        assignments.record_demand("model-1", 9_000.0);
    }
    assignments.rebalance(&engines(10), &models(2), none_behind, all_wait, Duration::from_secs(10));
    assert_eq!(counts(&assignments, &engines(10))["model-0"], 4);
    assignments.rebalance(&engines(10), &models(2), none_behind, all_wait, Duration::from_secs(11));
    assert_eq!(counts(&assignments, &engines(10))["model-0"], 4, "no second reassignment within the interval");
    for time in 1..20 {
        assignments.rebalance(&engines(10), &models(2), none_behind, all_wait, Duration::from_secs(10 + 4 * time));
    }
    assert_eq!(counts(&assignments, &engines(10))["model-0"], 1);
}

/// Whichever engines are removed, each remaining engine has one model, every model has an engine, and no model has two
/// engines too many or too few.
#[test]
fn every_model_keeps_its_fair_share_as_engines_are_removed() {
    fn check(present: Vec<bool>, models_count: u8) -> bool {
        let models = models(2 + usize::from(models_count % 3));
        let mut assignments = ModelAssignments::default();
        let all = engines(present.len().max(1));
        assignments.rebalance(&all, &models, none_behind, all_wait, Duration::ZERO);
        let remaining: Vec<InstanceId> =
            all.iter().zip(&present).filter(|(_, present)| **present).map(|(engine, _)| engine.clone()).collect();
        for time in 1..40 {
            assignments.rebalance(&remaining, &models, none_behind, all_wait, Duration::from_secs(4 * time));
        }
        let counts = counts(&assignments, &remaining);
        if remaining.len() < models.len() {
            return counts.is_empty();
        }
        let fair_share = remaining.len() as f64 / models.len() as f64;
        counts.len() == models.len() && counts.values().all(|count| (*count as f64 - fair_share).abs() < 2.0)
    }
    QuickCheck::new().tests(300).quickcheck(check as fn(Vec<bool>, u8) -> bool);
}

/// Two in three engines have 2.4 times the capacity of the others.
fn uneven_capacities(engines: &[InstanceId]) -> BTreeMap<InstanceId, f64> {
    let capacity = |index: usize| if index % 3 == 2 { 100.0 } else { 240.0 };
    engines.iter().enumerate().map(|(index, engine)| (engine.clone(), capacity(index))).collect()
}

/// Guards against shares by number of engines, which give a model with slow engines less than its share.
#[test]
fn shares_follow_the_capacity_of_engines() {
    let (engines, models) = (engines(45), models(3));
    let capacities = uneven_capacities(&engines);
    let share = |assignments: &ModelAssignments, model: &str| {
        let assigned = engines.iter().filter(|engine| assignments.assigned_model(engine) == Some(model));
        assigned.map(|engine| capacities[engine]).sum::<f64>() / capacities.values().sum::<f64>()
    };
    let mut assignments = ModelAssignments::default();
    for (model, demand) in [("model-0", 1_000.0), ("model-1", 1_000.0), ("model-2", 2_000.0)] {
        assignments.record_demand(model, demand);
    }
    // All slow engines and some fast ones are up to date with the first model, as after a change of leader.
    let slow_first = |engine: &InstanceId, model: &str| {
        let is_slow = capacities[engine] < 200.0;
        u64::from(is_slow != (model == "model-0"))
    };
    assignments.set_capacities(capacities.clone());
    assignments.rebalance(&engines, &models, slow_first, all_wait, Duration::ZERO);
    for time in 1..20 {
        assignments.rebalance(&engines, &models, none_behind, all_wait, Duration::from_secs(4 * time));
    }
    for (model, expected) in [("model-0", 0.25), ("model-1", 0.25), ("model-2", 0.5)] {
        let share = share(&assignments, model);
        assert!((share - expected).abs() < 0.04, "{model} has {share} of the capacity instead of {expected}");
    }
}

/// Guards against engines that are reassigned again and again because capacities are estimated anew.
#[test]
fn changing_estimates_reassign_nothing() {
    let (engines, models) = (engines(45), models(3));
    let mut assignments = ModelAssignments::default();
    assignments.set_capacities(uneven_capacities(&engines));
    assignments.rebalance(&engines, &models, none_behind, all_wait, Duration::ZERO);
    for time in 1..20 {
        assignments.rebalance(&engines, &models, none_behind, all_wait, Duration::from_secs(4 * time));
    }
    let settled: Vec<Option<String>> =
        engines.iter().map(|engine| assignments.assigned_model(engine).map(str::to_string)).collect();
    for time in 20..60_u64 {
        let noisy = uneven_capacities(&engines).into_iter().enumerate().map(|(index, (engine, capacity))| {
            let noise = ((time * 31 + index as u64 * 17) % 11) as f64 / 100.0 - 0.05;
            (engine, capacity * (1.0 + noise))
        });
        assignments.set_capacities(noisy.collect());
        assignments.rebalance(&engines, &models, none_behind, all_wait, Duration::from_secs(4 * time));
    }
    for (engine, model) in engines.iter().zip(settled) {
        assert_eq!(assignments.assigned_model(engine), model.as_deref());
    }
}

/// Guards against a model that loses its last engine because that engine is fast.
#[test]
fn every_model_keeps_an_engine_whatever_the_capacities() {
    let (engines, models) = (engines(4), models(3));
    let mut assignments = ModelAssignments::default();
    let capacities = engines.iter().enumerate().map(|(index, engine)| (engine.clone(), [900.0, 1.0, 1.0, 1.0][index]));
    assignments.set_capacities(capacities.collect());
    for time in 0..30 {
        assignments.rebalance(&engines, &models, none_behind, all_wait, Duration::from_secs(4 * time));
        assert_eq!(counts(&assignments, &engines).len(), 3);
    }
}

/// Guards against a model with little demand that gets no engine again once its last one is gone (review/4).
#[test]
fn a_model_whose_last_engine_is_gone_gets_another_at_once() {
    let (all, models) = (engines(9), models(2));
    let mut assignments = ModelAssignments::default();
    assignments.record_demand("model-0", 4_000.0);
    assignments.record_demand("model-1", 160.0);
    assignments.rebalance(&all, &models, none_behind, all_wait, Duration::ZERO);
    let lost = all.iter().find(|engine| assignments.assigned_model(engine) == Some("model-1"));
    let remaining: Vec<InstanceId> = all.iter().filter(|engine| Some(*engine) != lost).cloned().collect();
    assignments.rebalance(&remaining, &models, none_behind, all_wait, Duration::from_millis(10));
    assert_eq!(counts(&assignments, &remaining).get("model-1"), Some(&1));
}

/// Guards against the last engine of a model with little demand being given to one with more (review/4, three models).
#[test]
fn models_with_little_demand_keep_their_last_engine() {
    let (engines, models) = (engines(9), models(3));
    let mut assignments = ModelAssignments::default();
    for (model, demand) in [("model-0", 4_000.0), ("model-1", 80.0), ("model-2", 80.0)] {
        assignments.record_demand(model, demand);
    }
    for time in 0..10 {
        assignments.rebalance(&engines, &models, none_behind, all_wait, Duration::from_secs(4 * time));
        assert_eq!(counts(&assignments, &engines).len(), 3, "after {} s", 4 * time);
    }
}

/// Guards against any order of joins, losses, demands and capacities that leaves a model with waiting items without an
/// engine, as well as against a new leader's first assignment doing so.
#[test]
fn every_model_with_waiting_items_has_an_engine_after_each_rebalance() {
    fn check(steps: Vec<(u16, Vec<u16>, bool)>, models_count: u8, lagging: u8) -> bool {
        let models = models(2 + usize::from(models_count % 4));
        let all = engines(12);
        let mut assignments = ModelAssignments::default();
        let behind = |_: &InstanceId, model: &str| if model == "model-0" { 0 } else { 1 + u64::from(lagging) };
        let has_waiting_items = |model: &str| lagging.is_multiple_of(3) || model != "model-1";
        steps.into_iter().zip(0_u64..).all(|((present, demands, has_capacities), step)| {
            for (model, demand) in models.iter().zip(&demands) {
                assignments.record_demand(model, f64::from(*demand) * f64::from(*demand));
            }
            let is_present = |index: &usize| present >> (index % 12) & 1 == 1;
            let remaining: Vec<InstanceId> = (0..12).filter(is_present).map(|index| all[index].clone()).collect();
            let capacities = remaining.iter().zip(1..).map(|(engine, index)| (engine.clone(), f64::from(index)));
            assignments.set_capacities(if has_capacities { capacities.collect() } else { BTreeMap::new() });
            assignments.rebalance(&remaining, &models, behind, has_waiting_items, Duration::from_millis(700 * step));
            let has_engine = |model: &String| remaining.iter().any(|engine| assignments.is_assigned(engine, model));
            let mut waiting = models.iter().filter(|model| has_waiting_items(model));
            remaining.is_empty() || waiting.all(has_engine)
        })
    }
    let check = check as fn(Vec<(u16, Vec<u16>, bool)>, u8, u8) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(20, 4)).tests(300).quickcheck(check);
}

/// Guards against an engine taken from a model with work for one without any.
#[test]
fn a_model_without_waiting_items_gets_an_engine_only_by_demand() {
    let (all, models) = (engines(9), models(2));
    let mut assignments = ModelAssignments::default();
    assignments.record_demand("model-0", 4_000.0);
    assignments.record_demand("model-1", 160.0);
    assignments.rebalance(&all, &models, none_behind, all_wait, Duration::ZERO);
    let lost = all.iter().find(|engine| assignments.assigned_model(engine) == Some("model-1"));
    let remaining: Vec<InstanceId> = all.iter().filter(|engine| Some(*engine) != lost).cloned().collect();
    assignments.rebalance(&remaining, &models, none_behind, |model| model == "model-0", Duration::from_millis(10));
    assert_eq!(counts(&assignments, &remaining).get("model-1"), None);
    assignments.rebalance(&remaining, &models, none_behind, all_wait, Duration::from_millis(20));
    assert_eq!(counts(&assignments, &remaining).get("model-1"), Some(&1));
}
