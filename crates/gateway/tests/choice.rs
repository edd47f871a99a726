//! Selection of routes, targets and engines, and leases of the view.

use saddlerelay_gateway::table::RouteTable;
use saddlerelay_gateway::view::View;
use saddlerelay_scheduling::LoadReport;
use saddlerelay_types::gateway::FollowReply;
use saddlerelay_types::instance::{InstanceId, InstanceUpdate};
use saddlerelay_types::routing::{BatchSettings, RequestLimits, Route, RouteKind, RoutingDocument, WeightedTarget};
use saddlerelay_types::routing_update::{EncodedRoutingUpdate, RoutingUpdate};
use saddlerelay_upstream::{EngineTarget, LoadBalancer, ReadyEngine};
use std::time::Duration;

fn route(host: &str, prefix: &str, weights: &[u64]) -> Route {
    let target = |(index, weight): (usize, &u64)| WeightedTarget { service: format!("s{index}"), weight: *weight };
    Route {
        name: prefix.to_string(),
        host: host.to_string(),
        path_prefix: prefix.to_string(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 1,
        targets: weights.iter().enumerate().map(target).collect(),
        max_attempts: 2,
        resumable: false,
        public: false,
        batch: BatchSettings::default(),
    }
}

fn document(version: u64, routes: Vec<Route>) -> RoutingDocument {
    let limits = RequestLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    RoutingDocument { version, routes, services: Vec::new(), limits, tenants: None, source: Vec::new() }
}

#[test]
fn table_and_document_find_the_same_route() {
    let routes =
        vec![route("a", "/", &[1]), route("a", "/x/", &[1]), route("a", "/x/y/", &[1]), route("b", "/x/", &[1])];
    let document = document(1, routes);
    let table = RouteTable::new(document.clone(), 0.0);
    for host in ["a", "A:80", "b", "c", ""] {
        for path in ["/", "/x", "/x/", "/x/y/z", "/z", ""] {
            let by_table = table.find(host, path).map(|index| table.route(index).clone());
            assert_eq!(by_table.as_ref(), document.find(host, path), "{host} {path}");
        }
    }
}

#[test]
fn each_target_gets_its_share_after_any_number_of_requests() {
    for offset in [0.0, 0.3, 0.7, 0.99] {
        let table = RouteTable::new(document(1, vec![route("a", "/", &[90, 10, 0])]), offset);
        let mut counts = [0_u32; 3];
        for request in 1..=200_u32 {
            let service = table.next_service(0).to_string();
            counts[service[1..].parse::<usize>().expect("the service name has no index")] += 1;
            let expected = f64::from(request) * 0.1;
            assert!((f64::from(counts[1]) - expected).abs() <= 1.0, "after {request} requests: {counts:?}");
        }
        assert_eq!(counts, [180, 20, 0]);
    }
}

/// Requests that each target of the first route gets if the document changes after each of 200 requests.
fn counts_over_changes(weights: impl Fn(u64) -> [u64; 2]) -> [u32; 2] {
    let mut counts = [0_u32; 2];
    let mut table = RouteTable::new(document(1, vec![route("a", "/", &weights(1))]), 0.97);
    for version in 2..=201 {
        let service = table.next_service(0).to_string();
        counts[service[1..].parse::<usize>().expect("the service name has no index")] += 1;
        let other = Route { timeout_ms: version, ..route("a", "/other/", &[1]) };
        let document = document(version, vec![route("a", "/", &weights(version)), other]);
        table = RouteTable::replacing(document, Some(&table), 0.97);
    }
    counts
}

#[test]
fn an_unchanged_route_keeps_its_round_robin_state_when_another_route_changes() {
    let counts = counts_over_changes(|_| [90, 10]);
    assert!((19..=21).contains(&counts[1]), "{counts:?}");
}

#[test]
fn a_route_with_frequent_weight_changes_does_not_always_start_with_the_same_target() {
    let counts = counts_over_changes(|version| if version % 2 == 0 { [90, 10] } else { [180, 20] });
    assert!((15..=25).contains(&counts[1]), "{counts:?}");
}

// Guards against requests that are passed on late in a planned stop because nothing is known of their duration.
#[test]
fn a_request_is_expected_to_take_as_long_as_the_longest_recent_one_on_its_route() {
    let unlimited = Route { objective_ms: 0, ..route("b", "/", &[1]) };
    let table = RouteTable::new(document(1, vec![route("a", "/", &[1]), unlimited]), 0.0);
    let at = Duration::from_millis;
    assert_eq!([table.expected_duration(0), table.expected_duration(1)], [at(100), at(1_000)]);
    for milliseconds in [20, 700, 30] {
        table.record_duration(0, at(milliseconds));
    }
    assert_eq!([table.expected_duration(0), table.expected_duration(1)], [at(700), at(1_000)]);
    let other_weights = document(2, vec![route("a", "/", &[1, 2])]);
    let table = RouteTable::replacing(other_weights, Some(&table), 0.0);
    assert_eq!(table.expected_duration(0), at(700), "a change of the document forgets the durations");
    for _ in 0..1_000 {
        table.record_duration(0, at(20));
    }
    assert_eq!(table.expected_duration(0), at(20), "a single long request counts forever");
}

fn update(base: Option<&RoutingDocument>, version: u64) -> EncodedRoutingUpdate {
    EncodedRoutingUpdate::encode(&RoutingUpdate::between(base, &document(version, Vec::new())))
}

fn reply(version: Option<u64>, lease_ms: u64) -> FollowReply {
    FollowReply {
        group_unix_ms: None,
        suspicions: None,
        committed_usage_sequence: 0,
        lease_ms,
        routing: version.map(|version| update(None, version)),
        instances: InstanceUpdate::default(),
        follower: None,
        retry_pause_ms: 0,
        replicas: Vec::new(),
        nearest_replica: None,
    }
}

#[test]
fn a_lease_starts_at_the_request_time_and_older_routing_versions_are_ignored() {
    let mut view = View::default();
    let at = Duration::from_millis;
    assert!(!view.is_leased(at(0)));
    view.apply_reply(reply(Some(5), 1_000), at(100), 0.0);
    assert!(view.is_leased(at(1_099)) && !view.is_leased(at(1_100)));
    // A delayed reply with an older version changes neither lease nor routes.
    view.apply_reply(reply(Some(4), 1_000), at(50), 0.0);
    assert!(view.is_leased(at(1_099)));
    assert_eq!(view.routing_version(), Some(5));
}

#[test]
fn an_update_with_another_base_version_does_not_extend_the_lease_and_requests_a_full_document() {
    let mut view = View::default();
    let at = Duration::from_millis;
    view.apply_reply(reply(Some(5), 1_000), at(100), 0.0);
    let with_other_base = Some(update(Some(&document(4, Vec::new())), 6));
    view.apply_reply(FollowReply { routing: with_other_base, ..reply(None, 1_000) }, at(900), 0.0);
    assert!(!view.is_leased(at(1_100)));
    assert_eq!((view.routing_version(), view.update_base()), (Some(5), None));
    view.apply_reply(reply(Some(6), 1_000), at(1_000), 0.0);
    assert!(view.is_leased(at(1_999)));
    assert_eq!((view.routing_version(), view.update_base()), (Some(6), Some(6)));
}

fn engine(name: &str, zone: &str) -> ReadyEngine {
    let target = EngineTarget { instance: InstanceId::without_start_time(name), address: ([10, 0, 0, 1], 1).into() };
    ReadyEngine { target, zone: zone.to_string(), slots: 4, silent: false }
}

fn chosen(balance: &LoadBalancer, engines: &[ReadyEngine], tried: &[InstanceId], now: u64) -> String {
    let choice = balance.choose(engines.iter().cloned(), "north", tried, Duration::from_millis(now));
    choice.expect("no engine was chosen").target.instance.name
}

#[test]
fn the_engine_in_the_own_zone_is_preferred_until_it_is_slower_or_fails() {
    let balance = LoadBalancer::default();
    let engines = [engine("far", "south"), engine("near", "north")];
    let near = InstanceId::without_start_time("near");
    assert_eq!(chosen(&balance, &engines, &[], 0), "near");
    assert_eq!(chosen(&balance, &engines, std::slice::from_ref(&near), 0), "far");
    balance.record_response(&near, Duration::from_millis(200), Duration::from_millis(10));
    assert_eq!(chosen(&balance, &engines, &[], 10), "far");
    // The old latency has decayed, so the engine is tried again.
    assert_eq!(chosen(&balance, &engines, &[], 60_000), "near");
    balance.record_failure(&near, Duration::from_millis(60_000));
    assert_eq!(chosen(&balance, &engines, &[], 60_100), "far");
    assert_eq!(chosen(&balance, &engines, &[], 60_500), "near");
}

#[test]
fn ejection_time_doubles_with_each_consecutive_failure_up_to_a_limit() {
    let balance = LoadBalancer::default();
    let engines = [engine("a", "north"), engine("b", "south")];
    let failing = InstanceId::without_start_time("a");
    let mut now = 0;
    for ejection_ms in [400, 800, 1_600, 3_200, 6_400, 6_400] {
        balance.record_failure(&failing, Duration::from_millis(now));
        assert_eq!(chosen(&balance, &engines, &[], now + ejection_ms - 1), "b");
        now += ejection_ms;
        assert_eq!(chosen(&balance, &engines, &[], now), "a");
    }
}

#[test]
fn requests_in_flight_count_towards_load_until_dropped() {
    let balance = LoadBalancer::default();
    let engines = [engine("a", "north"), engine("b", "north")];
    let now = Duration::ZERO;
    let in_flight: Vec<_> = (0..3).map(|_| balance.begin(&InstanceId::without_start_time("a"), now)).collect();
    assert_eq!(chosen(&balance, &engines, &[], 0), "b");
    drop(in_flight);
    let _one = balance.begin(&InstanceId::without_start_time("b"), now);
    assert_eq!(chosen(&balance, &engines, &[], 0), "a");
}

/// Guards against reports that are lost or that change the choice of a service without the new decisions.
#[test]
fn reports_are_kept_with_their_age_and_change_nothing_where_they_are_not_used() {
    let balance = LoadBalancer::default();
    let engines = [engine("a", "north"), engine("b", "north")];
    let first = InstanceId::without_start_time("a");
    let at = Duration::from_millis;
    let _before = balance.begin(&first, at(0));
    let ended = balance.begin(&first, at(0));
    balance.record_report(&first, LoadReport::parse("4,9,4,250").expect("the header is malformed"), false, at(100));
    balance.record_work(&first, at(250), None, at(100));
    let _after = balance.begin(&first, at(120));
    drop(ended);
    let load = balance.service_load(&engines, "north", &[], at(150));
    let (reporting, silent) = (&load.engines()[0], &load.engines()[1]);
    let report = reporting.report.expect("the report was lost");
    assert_eq!((report.report.waiting, report.age), (9, at(50)));
    assert_eq!((reporting.own_in_flight, reporting.own_since_report), (2, 1));
    assert_eq!((silent.report, silent.work), (None, None));
    let late = balance.service_load(&engines, "north", &[], at(10_000));
    assert!(!late.has_reports(false), "the report is too old");
    drop((_before, _after));
    assert_eq!(chosen(&balance, &engines, &[], 150), "a");
}
