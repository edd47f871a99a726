//! Selection of the working set in large fleets.

use saddlerelay_control::state::ControlState;
use saddlerelay_coordinator::working_set::WorkingSet;
use saddlerelay_coordinator::working_set_policy::{
    AllEngines, DemandWithHeadroom, FixedPerModel, ModelDemand, ServiceDemand, WorkingSetPolicy,
};
use saddlerelay_runtime::steps::lookups_of;
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use saddlerelay_types::routing::{ModelHosting, RequestLimits, RoutingDocument, Service};
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const MODELS: usize = 6;
const ITEMS: u32 = 208;
const SLOTS: u32 = 6;

fn models() -> Vec<String> {
    (0..MODELS).map(|number| format!("model-{number}")).collect()
}

fn report(number: usize) -> InstanceReport {
    InstanceReport {
        id: InstanceId::without_start_time(format!("engine-{number}")),
        service: "models".to_string(),
        address: ([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 8_000).into(),
        zone: ZONES[number % ZONES.len()].to_string(),
        slots: SLOTS,
        leaving: false,
        models: Vec::new(),
        sequence: 1,
    }
}

fn state(engines: usize) -> ControlState {
    let mut state = ControlState::default();
    let hosting = ModelHosting { slots: SLOTS, token_capacity: 30_203, tokens_per_event: 1, models: models() };
    let service = Service {
        name: "models".to_string(),
        health_path: "/health".to_string(),
        max_connections: 10,
        hosting: Some(hosting),
        scaling: None,
    };
    let limits = RequestLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    state.routing.put(RoutingDocument {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits,
        tenants: None,
        source: Vec::new(),
    });
    (0..engines).for_each(|number| state.instances.apply_report(report(number)));
    state
}

fn demand(ready: usize, largest: Option<u32>) -> ServiceDemand {
    ServiceDemand { ready, slots: SLOTS, models: vec![ModelDemand { largest_job: largest }; MODELS] }
}

/// Two steps of 208 items fill 70 engines of 6 slots; a quarter more covers engines that are loading weights, draining
/// or lost.
#[test]
fn the_size_covers_two_steps_plus_a_quarter() {
    let table = [
        // Items of the largest job, engines wanted for six models.
        (Some(208), 522),
        (Some(104), 264),
        (Some(1_024), 2_562),
        (Some(1), 48),
        (None, 504),
    ];
    for (items, engines) in table {
        assert_eq!(DemandWithHeadroom.engines(&demand(9_625, items)), engines, "{items:?} items");
    }
    assert_eq!(FixedPerModel { engines: 20 }.engines(&demand(9_625, None)), 120);
    assert_eq!(AllEngines.engines(&demand(9_625, None)), usize::MAX);
}

#[test]
fn a_small_fleet_is_used_completely_including_non_reporting_engines() {
    for engines in [1, 15, 45, 128, 500] {
        let mut state = state(engines);
        state.instances.record_silence(&[InstanceId::without_start_time("engine-0")], &[]);
        let mut set = WorkingSet::default();
        let added = set.update(&state, &DemandWithHeadroom);
        assert_eq!((added.len(), set.iter().count()), (engines, engines));
    }
}

#[test]
fn the_set_grows_with_demand_and_is_spread_over_zones() {
    let state = state(9_625);
    let mut set = WorkingSet::default();
    for model in models() {
        set.record_job("models", Some(&model), ITEMS / 2);
    }
    set.update(&state, &DemandWithHeadroom);
    assert_eq!(set.iter().count(), 264);
    for model in models() {
        set.record_job("models", Some(&model), ITEMS);
    }
    let added = set.update(&state, &DemandWithHeadroom);
    assert_eq!((added.len(), set.iter().count()), (258, 522));
    let mut by_zone: BTreeMap<String, usize> = BTreeMap::new();
    for instance in set.iter() {
        let zone = state.instances.get(instance).expect("members are in the instance table").report.zone.clone();
        *by_zone.entry(zone).or_default() += 1;
    }
    assert!(by_zone.len() == 5 && by_zone.values().all(|count| (100..=110).contains(count)), "{by_zone:?}");
}

#[test]
fn removed_and_non_reporting_engines_are_replaced_and_other_members_stay() {
    let mut state = state(9_625);
    let mut set = WorkingSet::default();
    set.update(&state, &DemandWithHeadroom);
    let before: BTreeSet<InstanceId> = set.iter().cloned().collect();
    let mut members = before.iter().take(20).cloned();
    let removed: Vec<InstanceId> = members.by_ref().take(10).collect();
    let silent: Vec<InstanceId> = members.collect();
    removed.iter().for_each(|instance| state.instances.remove(instance));
    state.instances.record_silence(&silent, &[]);
    let added = set.update(&state, &DemandWithHeadroom);
    assert_eq!(added.len(), 20);
    let after: BTreeSet<InstanceId> = set.iter().cloned().collect();
    assert!(removed.iter().all(|instance| !after.contains(instance)));
    assert_eq!(before.difference(&after).count(), 10);
}

#[test]
fn a_new_leader_keeps_the_engines_that_earlier_leaders_sent_orders_to() {
    let mut state = state(9_625);
    let ordered: Vec<OrderSubject> =
        (4_000..4_400).map(|number| OrderSubject::Engine(format!("engine-{number}"))).collect();
    state.orders.record(ReplicaId(1), ordered.clone());
    let mut set = WorkingSet::default();
    set.update(&state, &DemandWithHeadroom);
    set.clear();
    set.update(&state, &DemandWithHeadroom);
    let kept = ordered.iter().filter(|subject| match subject {
        OrderSubject::Engine(name) => set.contains(&InstanceId::without_start_time(&**name)),
        _ => false,
    });
    assert_eq!((kept.count(), set.iter().count()), (400, 504));
}

/// Plans are frequent, so the number of records that an update reads must not grow with the fleet.
#[test]
fn the_cost_of_an_update_does_not_grow_with_the_fleet() {
    let mut costs = Vec::new();
    for engines in [1_000, 10_000, 20_000] {
        let mut state = state(engines);
        let mut set = WorkingSet::default();
        set.update(&state, &DemandWithHeadroom);
        let (idle, _) = lookups_of(|| set.update(&state, &DemandWithHeadroom));
        assert!(idle <= 8, "{idle} reads while nothing changes, with {engines} engines");
        let member = set.iter().next().cloned().expect("the working set is not empty");
        state.instances.remove(&member);
        let (reads, added) = lookups_of(|| set.update(&state, &DemandWithHeadroom));
        assert_eq!(added.len(), 1);
        costs.push(reads);
    }
    let (least, most) = (costs.iter().min(), costs.iter().max());
    // Reads of members, and of engines of each engine pool that are members already.
    assert!(most <= least.map(|least| least + 64).as_ref() && most < Some(&2_000), "{costs:?}");
}
