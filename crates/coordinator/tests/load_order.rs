//! Priority of weight loads.

use quickcheck::{Gen, QuickCheck};
use saddlerelay_coordinator::load_order::{DueLoad, ModelBacklog, choose_loads};
use saddlerelay_types::instance::InstanceId;
use std::collections::{BTreeMap, BTreeSet};

fn load(engine: usize, model: &str, behind: u64) -> DueLoad {
    DueLoad {
        instance: InstanceId::without_start_time(format!("engine-{engine}")),
        model: model.to_string(),
        cannot_serve: behind >= 2,
        behind,
        in_flight: 0,
    }
}

fn backlogs(backlogs: &[(&str, u32, u32)]) -> BTreeMap<String, ModelBacklog> {
    let backlog = |(model, waiting, engines): &(&str, u32, u32)| {
        (model.to_string(), ModelBacklog { waiting: *waiting, engines: *engines })
    };
    backlogs.iter().map(backlog).collect()
}

fn models(due: &[DueLoad], chosen: &[usize]) -> Vec<String> {
    chosen.iter().map(|index| due[*index].model.clone()).collect()
}

/// The order in which models are listed must not affect their priority.
#[test]
fn the_model_with_the_most_waiting_items_per_engine_loads_first() {
    let mut due: Vec<DueLoad> = (0..4).map(|engine| load(engine, "idle", 2)).collect();
    due.extend((4..8).map(|engine| load(engine, "waits", 2)));
    due.extend((8..12).map(|engine| load(engine, "waits-more", 2)));
    let backlogs = backlogs(&[("waits", 20, 4), ("waits-more", 40, 1)]);
    let chosen = choose_loads(&due, &backlogs, 6);
    let chosen_of = |model: &str| models(&due, &chosen).iter().filter(|chosen| *chosen == model).count();
    assert_eq!(models(&due, &chosen)[0], "waits-more");
    assert_eq!((chosen_of("idle"), chosen_of("waits"), chosen_of("waits-more")), (0, 2, 4));
}

#[test]
fn an_engine_that_can_serve_loads_after_those_that_cannot() {
    let due = [load(0, "m", 1), load(1, "m", 2), load(2, "other", 5)];
    assert_eq!(choose_loads(&due, &backlogs(&[("m", 3, 9)]), 3), [1, 2, 0]);
    assert_eq!(choose_loads(&due, &BTreeMap::new(), 3), [2, 1, 0]);
}

#[test]
fn an_engine_loads_one_model_at_a_time_and_the_limit_is_kept() {
    fn check(loads: Vec<(u8, u8, u8)>, limit: u8) -> bool {
        let due: Vec<DueLoad> = loads
            .iter()
            .map(|(engine, model, behind)| {
                load(usize::from(engine % 9), &format!("m{}", model % 3), (behind % 4).into())
            })
            .collect();
        let backlogs = backlogs(&[("m0", 4, 1), ("m1", 0, 0)]);
        let chosen = choose_loads(&due, &backlogs, limit.into());
        let engines: BTreeSet<&InstanceId> = due.iter().map(|load| &load.instance).collect();
        let chosen_engines: BTreeSet<&InstanceId> = chosen.iter().map(|index| &due[*index].instance).collect();
        chosen.len() == chosen_engines.len() && chosen.len() == engines.len().min(limit.into())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(400)
        .quickcheck(check as fn(Vec<(u8, u8, u8)>, u8) -> bool);
}
