//! How engines are shared out among models.

use quickcheck::{Gen, QuickCheck};
use saddlerelay_coordinator::homes::Homes;
use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

fn engines(count: usize) -> Vec<InstanceId> {
    (0..count).map(|index| InstanceId::named(format!("engine-{index}"))).collect()
}

fn models(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("model-{index}")).collect()
}

fn counts(homes: &Homes, engines: &[InstanceId]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for home in engines.iter().filter_map(|engine| homes.home(engine)) {
        *counts.entry(home.to_string()).or_default() += 1;
    }
    counts
}

fn no_lag(_: &InstanceId, _: &str) -> u64 {
    0
}

#[test]
fn models_get_engines_by_demand() {
    let mut homes = Homes::default();
    homes.note_demand("model-0", 1_000.0);
    homes.note_demand("model-1", 2_000.0);
    homes.share_out(&engines(9), &models(2), no_lag, Duration::ZERO);
    let counts = counts(&homes, &engines(9));
    assert_eq!((counts["model-0"], counts["model-1"]), (3, 6));
}

/// A new leader knows nothing but what engines have loaded.
#[test]
fn a_new_leader_leaves_engines_where_their_weights_are() {
    let engines = engines(9);
    let near = |instance: &InstanceId| if engines[..4].contains(instance) { "model-1" } else { "model-0" };
    let mut homes = Homes::default();
    homes.note_demand("model-0", 1_000.0);
    homes.note_demand("model-1", 900.0);
    homes.share_out(
        &engines,
        &models(2),
        |instance, model| if model == near(instance) { 1 } else { 7 },
        Duration::ZERO,
    );
    for engine in &engines {
        assert_eq!(homes.home(engine), Some(near(engine)));
    }
}

#[test]
fn one_model_or_too_few_engines_are_not_shared_out() {
    let mut homes = Homes::default();
    homes.share_out(&engines(9), &models(1), no_lag, Duration::ZERO);
    assert_eq!(homes.home(&engines(1)[0]), None);
    homes.share_out(&engines(2), &models(3), no_lag, Duration::ZERO);
    assert_eq!(homes.home(&engines(1)[0]), None);
}

/// With an engine less than there are models, no engine is kept up to date with all of them.
#[test]
fn fewer_engines_than_models_share_the_models_out() {
    fn check(present: Vec<bool>, models_count: u8) -> bool {
        let models = models(3 + usize::from(models_count % 5));
        let all = engines(models.len() - 1);
        let mut homes = Homes::default();
        homes.share_out(&all, &models, no_lag, Duration::ZERO);
        let is_left = |index: &usize| *index == 0 || present.get(*index).copied().unwrap_or(true);
        let left: Vec<InstanceId> = (0..all.len()).filter(is_left).map(|index| all[index].clone()).collect();
        for time in 1..20 {
            homes.share_out(&left, &models, no_lag, Duration::from_secs(4 * time));
        }
        let of_engine = |engine: &InstanceId| models.iter().filter(|model| homes.is_home(engine, model)).count();
        let counts: Vec<usize> = left.iter().map(of_engine).collect();
        let (least, most) = (counts.iter().min().copied(), counts.iter().max().copied());
        counts.iter().sum::<usize>() == models.len() && most <= least.map(|least| least + 1)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(8, 3)).tests(200).quickcheck(check as fn(Vec<bool>, u8) -> bool);
}

#[test]
fn a_model_goes_back_to_engines_of_its_own_once_there_are_enough() {
    let mut homes = Homes::default();
    homes.share_out(&engines(2), &models(3), no_lag, Duration::ZERO);
    homes.share_out(&engines(6), &models(3), no_lag, Duration::from_secs(4));
    for engine in &engines(6) {
        assert_eq!(models(3).iter().filter(|model| homes.is_home(engine, model)).count(), 1);
    }
}

#[test]
fn many_engines_follow_the_demand_within_a_few_intervals() {
    let mut homes = Homes::default();
    let (engines, models) = (engines(128), models(6));
    homes.share_out(&engines, &models, no_lag, Duration::ZERO);
    for (index, model) in models.iter().enumerate() {
        homes.note_demand(model, if index == 0 { 1_000.0 } else { 2_000.0 });
    }
    for time in 1..=3 {
        homes.share_out(&engines, &models, no_lag, Duration::from_secs(4 * time));
    }
    assert!((11..=13).contains(&counts(&homes, &engines)["model-0"]));
}

#[test]
fn engines_move_one_by_one_when_demand_changes() {
    let mut homes = Homes::default();
    homes.note_demand("model-0", 1_000.0);
    homes.note_demand("model-1", 1_000.0);
    homes.share_out(&engines(10), &models(2), no_lag, Duration::ZERO);
    for _ in 0..20 {
        homes.note_demand("model-1", 9_000.0);
    }
    homes.share_out(&engines(10), &models(2), no_lag, Duration::from_secs(10));
    assert_eq!(counts(&homes, &engines(10))["model-0"], 4);
    homes.share_out(&engines(10), &models(2), no_lag, Duration::from_secs(11));
    assert_eq!(counts(&homes, &engines(10))["model-0"], 4, "not yet again");
    for time in 1..20 {
        homes.share_out(&engines(10), &models(2), no_lag, Duration::from_secs(10 + 4 * time));
    }
    assert_eq!(counts(&homes, &engines(10))["model-0"], 1);
}

/// Whichever engines come and go, each has one home, every model has an engine, and no model has two too many.
#[test]
fn every_model_has_its_share() {
    fn check(present: Vec<bool>, models_count: u8) -> bool {
        let models = models(2 + usize::from(models_count % 3));
        let mut homes = Homes::default();
        let all = engines(present.len().max(1));
        homes.share_out(&all, &models, no_lag, Duration::ZERO);
        let left: Vec<InstanceId> =
            all.iter().zip(&present).filter(|(_, present)| **present).map(|(engine, _)| engine.clone()).collect();
        for time in 1..40 {
            homes.share_out(&left, &models, no_lag, Duration::from_secs(4 * time));
        }
        let counts = counts(&homes, &left);
        if left.len() < models.len() {
            return counts.is_empty();
        }
        let fair = left.len() as f64 / models.len() as f64;
        counts.len() == models.len() && counts.values().all(|count| (*count as f64 - fair).abs() < 2.0)
    }
    QuickCheck::new().tests(300).quickcheck(check as fn(Vec<bool>, u8) -> bool);
}
