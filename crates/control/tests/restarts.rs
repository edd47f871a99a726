//! Registration of engine instances: restarts under the same name, delayed reports, deregistration and pending reports.

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

/// Minimum time between orders of two replicas about the same subject.
const SEPARATION: Duration = Duration::from_secs(3);

/// Maximum number of pending reports.
const MAX_PENDING_REPORTS: usize = 4_096;

fn commit(state: &mut ControlState, command: GatewayCommand) {
    apply(state, Command::Gateway(command));
}

/// Applies a routing document with these services and no routes.
fn put_services(state: &mut ControlState, version: u64, names: &[&str]) {
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

fn state_with_web_service() -> ControlState {
    let mut state = ControlState::default();
    put_services(&mut state, 1, &["web"]);
    state
}

/// A report of an engine of service `web`.
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

fn apply_report(state: &mut ControlState, report: InstanceReport) {
    commit(state, GatewayCommand::ReportInstances(vec![report]));
}

fn state_of(state: &ControlState, id: &InstanceId) -> Option<InstanceState> {
    state.instances.get(id).map(|record| record.state)
}

#[test]
fn later_start_replaces_the_earlier_start_of_the_same_engine() {
    for port in [1, 2] {
        for leaving in [false, true] {
            let mut state = state_with_web_service();
            apply_report(&mut state, report(start(FIRST), 1));
            if leaving {
                apply_report(&mut state, InstanceReport { leaving, ..report(start(FIRST), 1) });
            }
            apply_report(&mut state, report(start(SECOND), port));
            assert_eq!(state_of(&state, &start(FIRST)), Some(InstanceState::Gone));
            assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Ready));
            assert_eq!(state.instances.instance_at(([10, 0, 0, 1], port).into()), Some(&start(SECOND)));
            assert_eq!(state.instances.engine_pools().map(|pool| state.instances.available(pool)).sum::<u32>(), 1);
        }
    }
}

#[test]
fn delayed_report_of_an_earlier_start_is_ignored() {
    let mut state = state_with_web_service();
    apply_report(&mut state, report(start(SECOND), 1));
    let before = state.instances.clone();
    for delayed in [
        report(start(FIRST), 1),
        report(start(FIRST), 2),
        report(InstanceId::without_start_time("a"), 2),
        InstanceReport { leaving: true, ..report(start(FIRST), 1) },
        // An engine that started earlier at the same address.
        report(InstanceId::started("b", FIRST), 1),
    ] {
        assert!(!state.would_change(&delayed) && !state.proves_liveness(&delayed), "{delayed:?}");
        apply_report(&mut state, delayed);
    }
    assert_eq!(state.instances, before);
    // A silent engine is replaced at its address, even by an engine with an earlier start time.
    commit(&mut state, GatewayCommand::RecordSilence { silent: vec![start(SECOND)], resumed: Vec::new() });
    apply_report(&mut state, report(InstanceId::started("b", FIRST), 1));
    assert_eq!(state_of(&state, &InstanceId::started("b", FIRST)), Some(InstanceState::Ready));
}

#[test]
fn deregistered_start_is_not_registered_again_but_a_later_one_is() {
    let mut state = state_with_web_service();
    apply_report(&mut state, report(start(FIRST), 1));
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::without_start_time("a")));
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::without_start_time("a")));
    assert_eq!(state_of(&state, &start(FIRST)), Some(InstanceState::Gone));
    apply_report(&mut state, report(start(FIRST), 1));
    apply_report(&mut state, report(start(FIRST - 1), 1));
    assert_eq!(state.instances.instance_at(([10, 0, 0, 1], 1).into()), None);
    apply_report(&mut state, report(start(SECOND), 1));
    assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Ready));
    // Deregistration of an earlier start does not affect a later one.
    commit(&mut state, GatewayCommand::RemoveInstance(start(FIRST)));
    assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Ready));
    commit(&mut state, GatewayCommand::RemoveInstance(start(SECOND + 1)));
    assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Gone));
}

#[test]
fn deregistration_of_an_unknown_engine_rejects_its_starts_up_to_that_time() {
    let mut state = state_with_web_service();
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::without_start_time("a")));
    apply_report(&mut state, report(start(NOW - 1), 1));
    apply_report(&mut state, report(InstanceId::without_start_time("a"), 1));
    assert_eq!(state.instances.iter().count(), 0);
    apply_report(&mut state, report(start(NOW + 1), 1));
    assert_eq!(state_of(&state, &start(NOW + 1)), Some(InstanceState::Ready));
}

#[test]
fn order_note_also_covers_the_next_start_of_the_engine() {
    let mut state = state_with_web_service();
    apply_report(&mut state, report(start(FIRST), 1));
    let subjects = vec![OrderSubject::engine(&start(FIRST))];
    commit(&mut state, GatewayCommand::RecordOrderIntents { holder: ReplicaId(1), subjects });
    apply_report(&mut state, report(start(SECOND), 1));
    assert!(state.orders.intents().contains_key(&OrderSubject::engine(&start(SECOND))));
}

/// A new holder must wait before it sends an order to the next start, because an earlier order to the same name and
/// address may still arrive.
#[test]
fn deregistration_keeps_an_order_note_that_may_affect_the_next_start() {
    let subject = OrderSubject::engine(&start(FIRST));
    for deregistered in [start(FIRST), InstanceId::without_start_time("a")] {
        for deregisters_before_next_start in [true, false] {
            let mut state = state_with_web_service();
            apply_report(&mut state, report(start(FIRST), 1));
            commit(
                &mut state,
                GatewayCommand::RecordOrderIntents { holder: ReplicaId(1), subjects: vec![subject.clone()] },
            );
            let deregistered = GatewayCommand::RemoveInstance(deregistered.clone());
            if deregisters_before_next_start {
                commit(&mut state, deregistered);
                apply_report(&mut state, report(start(SECOND), 1));
            } else {
                apply_report(&mut state, report(start(SECOND), 1));
                commit(&mut state, deregistered);
            }
            let mut watch = OrderWatch::default();
            let observed_at = Duration::from_secs(10);
            watch.observe(&state.orders, observed_at);
            let earliest_order_time = |holder| watch.earliest_order_time(&subject, ReplicaId(holder), SEPARATION);
            assert_eq!((earliest_order_time(1), earliest_order_time(2)), (Duration::ZERO, observed_at + SEPARATION));
        }
    }
}

#[test]
fn report_of_an_unknown_service_replaces_no_instance() {
    let mut state = state_with_web_service();
    apply_report(&mut state, report(start(FIRST), 1));
    let before = state.instances.clone();
    let with_unknown_service = |report: InstanceReport| InstanceReport { service: "nowhere".to_string(), ..report };
    apply_report(&mut state, with_unknown_service(report(InstanceId::without_start_time("stranger"), 1)));
    apply_report(&mut state, with_unknown_service(report(start(SECOND), 1)));
    let forged_report =
        InstanceReport { leaving: true, sequence: 900, ..with_unknown_service(report(start(FIRST), 1)) };
    assert!(!state.proves_liveness(&forged_report), "a report with another service should not prove liveness");
    apply_report(&mut state, forged_report);
    assert_eq!(state.instances, before);
    // The address is still in use when the service is added.
    put_services(&mut state, 2, &["web", "nowhere"]);
    assert_eq!(state.instances, before);
}

#[test]
fn report_with_another_address_is_ignored() {
    let mut state = state_with_web_service();
    apply_report(&mut state, report(start(FIRST), 1));
    let other_address = InstanceReport { leaving: true, ..report(start(FIRST), 2) };
    assert!(!state.would_change(&other_address) && !state.proves_liveness(&other_address));
}

#[test]
fn pending_engine_is_registered_when_its_service_is_added() {
    let mut state = ControlState::default();
    apply_report(&mut state, report(start(FIRST), 1));
    apply_report(
        &mut state,
        InstanceReport { service: "other".to_string(), ..report(InstanceId::without_start_time("b"), 2) },
    );
    // The same instance id with another service.
    apply_report(&mut state, InstanceReport { service: "nowhere".to_string(), ..report(start(FIRST), 3) });
    assert_eq!(state.instances.iter().count(), 0);
    assert!(state.has_record_of(&start(FIRST)) && !state.would_change(&report(start(FIRST), 1)));
    put_services(&mut state, 1, &["web"]);
    assert_eq!(state_of(&state, &start(FIRST)), Some(InstanceState::Ready));
    put_services(&mut state, 2, &["web", "other"]);
    assert_eq!(state_of(&state, &InstanceId::without_start_time("b")), Some(InstanceState::Ready));
    assert_eq!(state.pending_instances.len(), 1);
    // An engine that deregisters before its service is added is not registered.
    apply_report(
        &mut state,
        InstanceReport { service: "late".to_string(), ..report(InstanceId::without_start_time("c"), 4) },
    );
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::without_start_time("c")));
    put_services(&mut state, 3, &["web", "other", "late"]);
    assert_eq!(state_of(&state, &InstanceId::without_start_time("c")), None);
}

#[test]
fn report_without_a_start_time_is_rejected_if_its_service_has_start_times() {
    let mut state = state_with_web_service();
    apply_report(&mut state, report(InstanceId::without_start_time("before"), 1));
    apply_report(&mut state, report(start(FIRST), 2));
    assert_eq!(
        state_of(&state, &InstanceId::without_start_time("before")),
        Some(InstanceState::Ready),
        "no engine had a start time before it"
    );
    apply_report(&mut state, report(InstanceId::without_start_time("stranger"), 3));
    apply_report(&mut state, report(InstanceId::without_start_time("stranger"), 2));
    assert_eq!(state_of(&state, &InstanceId::without_start_time("stranger")), None);
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::without_start_time("a")));
    apply_report(&mut state, report(InstanceId::without_start_time("after"), 3));
    assert_eq!(
        state_of(&state, &InstanceId::without_start_time("after")),
        Some(InstanceState::Ready),
        "no remaining engine has a start time"
    );
}

#[test]
fn newest_of_several_pending_starts_is_registered() {
    let mut state = ControlState::default();
    for id in [start(FIRST), start(SECOND), InstanceId::without_start_time("stranger")] {
        apply_report(&mut state, report(id, 1));
    }
    put_services(&mut state, 1, &["web"]);
    assert_eq!(state_of(&state, &start(SECOND)), Some(InstanceState::Ready));
    assert_eq!(state.instances.iter().count(), 1);
}

#[test]
fn number_of_pending_reports_is_bounded() {
    let mut state = ControlState::default();
    for number in 0..=MAX_PENDING_REPORTS {
        apply_report(&mut state, report(InstanceId::without_start_time(format!("engine-{number}")), number as u16 + 1));
    }
    assert_eq!(state.pending_instances.len(), MAX_PENDING_REPORTS);
    assert!(
        !state.has_record_of(&InstanceId::without_start_time("engine-0")),
        "a full report should be requested from the evicted engine"
    );
    put_services(&mut state, 1, &["web"]);
    assert!(state.pending_instances.is_empty());
    assert_eq!(state.instances.iter().count(), MAX_PENDING_REPORTS);
}
