//! Engines that start again under their name, and reports that name no engine to use, in the replicated state.

mod common;

use common::{NOW, apply};
use saddlerelay_control::order_watch::OrderWatch;
use saddlerelay_control::state::ControlState;
use saddlerelay_types::gateway::{GatewayCommand, OrderSubject};
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::{InstanceId, InstanceReport, InstanceState};
use saddlerelay_types::protocol::Command;
use saddlerelay_types::routing::{RequestLimits, RoutingDocument, Service};
use std::time::Duration;

const FIRST: u64 = 10_000;
const SECOND: u64 = 20_000;

/// How far apart the orders of two holders must be.
const DISTANCE: Duration = Duration::from_secs(3);

/// Reports of engines whose service is not named that are kept at most.
const PENDING_KEPT: usize = 4_096;

fn commit(state: &mut ControlState, command: GatewayCommand) {
    apply(state, Command::Gateway(command));
}

/// Names services, and nothing else.
fn name_services(state: &mut ControlState, version: u64, names: &[&str]) {
    let service = |name: &&str| Service {
        name: name.to_string(),
        health_path: "/health".to_string(),
        max_connections: 10,
        hosting: None,
        scaling: None,
    };
    let document = RoutingDocument {
        version,
        routes: Vec::new(),
        services: names.iter().map(service).collect(),
        limits: RequestLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
        tenants: None,
        source: Vec::new(),
    };
    commit(state, GatewayCommand::PutRouting(document));
}

fn serving_web() -> ControlState {
    let mut state = ControlState::default();
    name_services(&mut state, 1, &["web"]);
    state
}

/// What an engine of `web` at a port says of itself.
fn report(id: InstanceId, port: u16) -> InstanceReport {
    InstanceReport {
        id,
        service: "web".to_string(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "north".to_string(),
        slots: 4,
        leaving: false,
        models: Vec::new(),
        sequence: 1,
    }
}

fn start(at_ms: u64) -> InstanceId {
    InstanceId::started("a", at_ms)
}

fn say(state: &mut ControlState, report: InstanceReport) {
    commit(state, GatewayCommand::ReportInstances(vec![report]));
}

fn state_of(state: &ControlState, id: &InstanceId) -> Option<InstanceState> {
    state.instances.get(id).map(|record| record.state)
}

#[test]
fn a_later_start_replaces_the_earlier_one_at_its_address_or_another() {
    for port in [1, 2] {
        for leaving in [false, true] {
            let mut state = serving_web();
            say(&mut state, report(start(FIRST), 1));
            if leaving {
                say(&mut state, InstanceReport { leaving, ..report(start(FIRST), 1) });
            }
            say(&mut state, report(start(SECOND), port));
            assert_eq!(state_of(&state, &start(FIRST)), Some(InstanceState::Gone));
            assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Ready));
            assert_eq!(state.instances.holder(([10, 0, 0, 1], port).into()), Some(&start(SECOND)));
            assert_eq!(state.instances.places().map(|place| state.instances.present(place)).sum::<u32>(), 1);
        }
    }
}

#[test]
fn a_late_report_of_an_earlier_start_changes_nothing() {
    let mut state = serving_web();
    say(&mut state, report(start(SECOND), 1));
    let before = state.instances.clone();
    for late in [
        report(start(FIRST), 1),
        report(start(FIRST), 2),
        report(InstanceId::named("a"), 2),
        InstanceReport { leaving: true, ..report(start(FIRST), 1) },
        // Another engine that served at the address before.
        report(InstanceId::started("b", FIRST), 1),
    ] {
        assert!(!state.is_news(&late) && !state.is_heard(&late), "{late:?}");
        say(&mut state, late);
    }
    assert_eq!(state.instances, before);
    // An engine that has fallen silent does not keep its address from whoever comes there, whatever their clocks say.
    commit(&mut state, GatewayCommand::NoteSilence { silent: vec![start(SECOND)], heard: Vec::new() });
    say(&mut state, report(InstanceId::started("b", FIRST), 1));
    assert_eq!(state_of(&state, &InstanceId::started("b", FIRST)), Some(InstanceState::Ready));
}

#[test]
fn a_goodbye_keeps_the_start_out_that_said_it_and_lets_later_ones_in() {
    let mut state = serving_web();
    say(&mut state, report(start(FIRST), 1));
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::named("a")));
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::named("a")));
    assert_eq!(state_of(&state, &start(FIRST)), Some(InstanceState::Gone));
    say(&mut state, report(start(FIRST), 1));
    say(&mut state, report(start(FIRST - 1), 1));
    assert_eq!(state.instances.holder(([10, 0, 0, 1], 1).into()), None);
    say(&mut state, report(start(SECOND), 1));
    assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Ready));
    // A goodbye that tells its start says nothing about a later one.
    commit(&mut state, GatewayCommand::RemoveInstance(start(FIRST)));
    assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Ready));
    commit(&mut state, GatewayCommand::RemoveInstance(start(SECOND + 1)));
    assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Gone));
}

#[test]
fn a_goodbye_of_an_engine_that_was_never_heard_keeps_its_starts_until_then_out() {
    let mut state = serving_web();
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::named("a")));
    say(&mut state, report(start(NOW - 1), 1));
    say(&mut state, report(InstanceId::named("a"), 1));
    assert_eq!(state.instances.iter().count(), 0);
    say(&mut state, report(start(NOW + 1), 1));
    assert_eq!(state_of(&state, &start(NOW + 1)), Some(InstanceState::Ready));
}

#[test]
fn an_order_noted_for_one_start_counts_for_the_next() {
    let mut state = serving_web();
    say(&mut state, report(start(FIRST), 1));
    let subjects = vec![OrderSubject::engine(&start(FIRST))];
    commit(&mut state, GatewayCommand::NoteOrders { holder: ReplicaId(1), subjects });
    say(&mut state, report(start(SECOND), 1));
    assert!(state.orders.notes().contains_key(&OrderSubject::engine(&start(SECOND))));
}

/// Another leader orders the next start only when an order to the one before, at the same address, can't reach it any more.
#[test]
fn a_goodbye_forgets_no_order_that_may_reach_the_next_start() {
    let subject = OrderSubject::engine(&start(FIRST));
    for goodbye in [start(FIRST), InstanceId::named("a")] {
        for comes_before_next_start in [true, false] {
            let mut state = serving_web();
            say(&mut state, report(start(FIRST), 1));
            commit(&mut state, GatewayCommand::NoteOrders { holder: ReplicaId(1), subjects: vec![subject.clone()] });
            let goodbye = GatewayCommand::RemoveInstance(goodbye.clone());
            if comes_before_next_start {
                commit(&mut state, goodbye);
                say(&mut state, report(start(SECOND), 1));
            } else {
                say(&mut state, report(start(SECOND), 1));
                commit(&mut state, goodbye);
            }
            let mut watch = OrderWatch::default();
            let seen_at = Duration::from_secs(10);
            watch.see(&state.orders, seen_at);
            let free_at = |holder| watch.free_at(&subject, ReplicaId(holder), DISTANCE);
            assert_eq!((free_at(1), free_at(2)), (Duration::ZERO, seen_at + DISTANCE));
        }
    }
}

#[test]
fn a_service_that_is_not_named_displaces_nobody() {
    let mut state = serving_web();
    say(&mut state, report(start(FIRST), 1));
    let before = state.instances.clone();
    let nowhere = |report: InstanceReport| InstanceReport { service: "nowhere".to_string(), ..report };
    say(&mut state, nowhere(report(InstanceId::named("stranger"), 1)));
    say(&mut state, nowhere(report(start(SECOND), 1)));
    let imitation = InstanceReport { leaving: true, sequence: 900, ..nowhere(report(start(FIRST), 1)) };
    assert!(!state.is_heard(&imitation), "it does not speak for the engine");
    say(&mut state, imitation);
    assert_eq!(state.instances, before);
    // Also when the service is named after all: the address is in use.
    name_services(&mut state, 2, &["web", "nowhere"]);
    assert_eq!(state.instances, before);
}

#[test]
fn a_report_with_another_address_does_not_speak_for_an_engine() {
    let mut state = serving_web();
    say(&mut state, report(start(FIRST), 1));
    let elsewhere = InstanceReport { leaving: true, ..report(start(FIRST), 2) };
    assert!(!state.is_news(&elsewhere) && !state.is_heard(&elsewhere));
}

#[test]
fn engines_that_report_before_their_service_is_named_are_there_when_it_is() {
    let mut state = ControlState::default();
    say(&mut state, report(start(FIRST), 1));
    say(&mut state, InstanceReport { service: "other".to_string(), ..report(InstanceId::named("b"), 2) });
    // Another writer under the same name.
    say(&mut state, InstanceReport { service: "nowhere".to_string(), ..report(start(FIRST), 3) });
    assert_eq!(state.instances.iter().count(), 0);
    assert!(state.knows(&start(FIRST)) && !state.is_news(&report(start(FIRST), 1)));
    name_services(&mut state, 1, &["web"]);
    assert_eq!(state_of(&state, &start(FIRST)), Some(InstanceState::Ready));
    name_services(&mut state, 2, &["web", "other"]);
    assert_eq!(state_of(&state, &InstanceId::named("b")), Some(InstanceState::Ready));
    assert_eq!(state.pending_instances.len(), 1);
    // One that says goodbye before its service is named is not there.
    say(&mut state, InstanceReport { service: "late".to_string(), ..report(InstanceId::named("c"), 4) });
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::named("c")));
    name_services(&mut state, 3, &["web", "other", "late"]);
    assert_eq!(state_of(&state, &InstanceId::named("c")), None);
}

#[test]
fn where_engines_tell_their_starts_one_that_does_not_is_none() {
    let mut state = serving_web();
    say(&mut state, report(InstanceId::named("before"), 1));
    say(&mut state, report(start(FIRST), 2));
    assert_eq!(state_of(&state, &InstanceId::named("before")), Some(InstanceState::Ready), "nobody told it then");
    say(&mut state, report(InstanceId::named("stranger"), 3));
    say(&mut state, report(InstanceId::named("stranger"), 2));
    assert_eq!(state_of(&state, &InstanceId::named("stranger")), None);
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::named("a")));
    say(&mut state, report(InstanceId::named("after"), 3));
    assert_eq!(state_of(&state, &InstanceId::named("after")), Some(InstanceState::Ready), "nobody tells it any more");
}

#[test]
fn of_starts_that_waited_for_their_service_the_newest_is_there() {
    let mut state = ControlState::default();
    for told in [start(FIRST), start(SECOND), InstanceId::named("stranger")] {
        say(&mut state, report(told, 1));
    }
    name_services(&mut state, 1, &["web"]);
    assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Ready));
    assert_eq!(state.instances.iter().count(), 1);
}

#[test]
fn what_waits_for_its_service_is_bounded() {
    let mut state = ControlState::default();
    for number in 0..=PENDING_KEPT {
        say(&mut state, report(InstanceId::named(format!("engine-{number}")), number as u16 + 1));
    }
    assert_eq!(state.pending_instances.len(), PENDING_KEPT);
    assert!(!state.knows(&InstanceId::named("engine-0")), "it is asked for its whole report");
    name_services(&mut state, 1, &["web"]);
    assert!(state.pending_instances.is_empty());
    assert_eq!(state.instances.iter().count(), PENDING_KEPT);
}
