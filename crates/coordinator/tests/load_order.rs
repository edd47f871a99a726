//! Which changes of weights come first.

use quickcheck::{Gen, QuickCheck};
use saddlerelay_coordinator::load_order::{DueLoad, ModelNeed, choose_loads};
use saddlerelay_types::instance::InstanceId;
use std::collections::{BTreeMap, BTreeSet};

fn load(engine: usize, model: &str, behind: u64) -> DueLoad {
    DueLoad {
        instance: InstanceId::named(format!("engine-{engine}")),
        model: model.to_string(),
        useless: behind >= 2,
        behind,
        in_flight: 0,
    }
}

fn needs(needs: &[(&str, u32, u32)]) -> BTreeMap<String, ModelNeed> {
    let need = |(model, waiting, engines): &(&str, u32, u32)| {
        (model.to_string(), ModelNeed { waiting: *waiting, engines: *engines })
    };
    needs.iter().map(need).collect()
}

fn models(due: &[DueLoad], chosen: &[usize]) -> Vec<String> {
    chosen.iter().map(|place| due[*place].model.clone()).collect()
}

/// Whatever the order in which models are listed, the one whose items wait comes first.
#[test]
fn the_model_whose_items_wait_for_the_fewest_engines_comes_first() {
    let mut due: Vec<DueLoad> = (0..4).map(|engine| load(engine, "idle", 2)).collect();
    due.extend((4..8).map(|engine| load(engine, "waits", 2)));
    due.extend((8..12).map(|engine| load(engine, "waits-more", 2)));
    let needs = needs(&[("waits", 20, 4), ("waits-more", 40, 1)]);
    let chosen = choose_loads(&due, &needs, 6);
    let of = |model: &str| models(&due, &chosen).iter().filter(|chosen| *chosen == model).count();
    assert_eq!(models(&due, &chosen)[0], "waits-more");
    assert_eq!((of("idle"), of("waits"), of("waits-more")), (0, 2, 4));
}

#[test]
fn an_engine_that_can_serve_already_comes_after_those_that_cannot() {
    let due = [load(0, "m", 1), load(1, "m", 2), load(2, "other", 5)];
    assert_eq!(choose_loads(&due, &needs(&[("m", 3, 9)]), 3), [1, 2, 0]);
    assert_eq!(choose_loads(&due, &BTreeMap::new(), 3), [2, 1, 0]);
}

#[test]
fn an_engine_loads_one_model_at_a_time_and_no_more_load_than_may() {
    fn check(dues: Vec<(u8, u8, u8)>, most: u8) -> bool {
        let due: Vec<DueLoad> = dues
            .iter()
            .map(|(engine, model, behind)| {
                load(usize::from(engine % 9), &format!("m{}", model % 3), (behind % 4).into())
            })
            .collect();
        let needs = needs(&[("m0", 4, 1), ("m1", 0, 0)]);
        let chosen = choose_loads(&due, &needs, most.into());
        let engines: BTreeSet<&InstanceId> = due.iter().map(|load| &load.instance).collect();
        let chosen_engines: BTreeSet<&InstanceId> = chosen.iter().map(|place| &due[*place].instance).collect();
        chosen.len() == chosen_engines.len() && chosen.len() == engines.len().min(most.into())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(400)
        .quickcheck(check as fn(Vec<(u8, u8, u8)>, u8) -> bool);
}
