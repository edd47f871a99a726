//! The order in which waiting items start.

use saddlerelay_scheduling::order::{
    Candidate, Class, GroupProgress, OverdueTurns, STARTS_PER_OVERDUE_START, WaitingOrder, rank, trainers_compete,
    wanted_groups,
};
use saddlerelay_scheduling::shares::{Shares, Trainer};
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::routing::{
    BatchSettings, RequestLimits, Route, RouteKind, RoutingDocument, Service, WeightedTarget,
};
use saddlerelay_types::tenancy::TenantAccess;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// An item of 1 s that is due in `due_ms`, of a job with a due period of 8 s.
fn candidate(item: u32, due_ms: u64) -> Candidate {
    Candidate {
        job: 0,
        item,
        trainer: 0,
        pool: 0,
        constraint: 0,
        priority: 1,
        wanted: true,
        due_at: NOW + ms(due_ms),
        due_period: ms(8_000),
        expected: ms(1_000),
        at_best: ms(1_000),
        waited: Duration::ZERO,
    }
}

fn trainers(tenants: &[&str]) -> Vec<Trainer> {
    let trainer = |(index, tenant): (usize, &&str)| Trainer {
        tenant: Some(TenantId::new(*tenant)),
        name: format!("trainer-{index}"),
    };
    tenants.iter().enumerate().map(trainer).collect()
}

/// Items in the order in which they start, each of which costs its expected duration.
fn starts(candidates: Vec<Candidate>, trainers: &[Trainer], shares: &mut Shares, overdue: &[bool]) -> Vec<u32> {
    let mut order = WaitingOrder::new(candidates, trainers, overdue, NOW);
    let mut started = Vec::new();
    while let Some((_, next)) = order.next(shares) {
        shares.record(&trainers[next.trainer], next.expected, 1.0, NOW);
        started.push(next.item);
    }
    started
}

fn first(left: Candidate, right: Candidate) -> u32 {
    starts(vec![right, left], &trainers(&["a", "b"]), &mut Shares::default(), &[])[0]
}

/// Guards against an order that follows the submission, and against a class or level that takes no part in it.
#[test]
fn the_more_urgent_of_two_items_starts_first() {
    let base = candidate(1, 7_000);
    let cases = [
        ("less slack", Candidate { due_at: NOW + ms(2_500), ..base.clone() }, candidate(2, 7_000)),
        ("a longer text", Candidate { expected: ms(6_500), at_best: ms(6_500), ..base.clone() }, candidate(2, 7_000)),
        ("a later job", Candidate { job: 3, due_at: NOW + ms(1_500), ..base.clone() }, candidate(2, 7_000)),
        ("a wanted group", base.clone(), Candidate { wanted: false, ..candidate(2, 1_100) }),
        ("higher priority at equal slack", Candidate { priority: 0, ..base.clone() }, candidate(2, 6_500)),
        ("less slack at lower priority", Candidate { priority: 5, ..candidate(1, 1_010) }, candidate(2, 7_000)),
        ("in time before late", base.clone(), candidate(2, 500)),
        ("late but wanted before not wanted", candidate(1, 500), Candidate { wanted: false, ..candidate(2, 7_000) }),
        ("late and wanted before late", candidate(1, 500), Candidate { wanted: false, ..candidate(2, 500) }),
        ("of late items the one due first", candidate(1, 400), candidate(2, 500)),
        (
            "just in time on the fastest engine",
            Candidate { expected: ms(1_600), at_best: ms(1_400), ..candidate(1, 1_500) },
            candidate(2, 7_000),
        ),
    ];
    for (name, urgent, other) in cases {
        assert_eq!(first(urgent, other), 1, "{name}");
    }
}

/// Guards against a due time that has passed being taken for time left.
#[test]
fn items_past_their_due_time_are_late() {
    let past = Candidate { due_at: NOW - ms(1), ..candidate(1, 0) };
    assert_eq!(rank(&past, NOW).class, Class::LateWanted);
    assert_eq!(past.slack(NOW), Duration::ZERO);
}

/// Guards against shares that count requests, and against a plan that gives all its starts to one trainer.
#[test]
fn equally_urgent_items_start_by_the_work_of_their_trainers() {
    let trainers = trainers(&["large", "small"]);
    let mut candidates: Vec<Candidate> = (0..8).map(|item| candidate(item, 7_000)).collect();
    let short = |item: u32| Candidate { trainer: 1, expected: ms(500), at_best: ms(500), ..candidate(item, 6_500) };
    candidates.extend((10..18).map(short));
    let started = starts(candidates, &trainers, &mut Shares::default(), &[]);
    let small = started[..6].iter().filter(|item| **item >= 10).count();
    assert_eq!(small, 4, "two short texts for each long one: {started:?}");
    let all_small_by = started.iter().rposition(|item| *item >= 10).expect("no item of the small trainer started");
    assert!(all_small_by < 13, "{started:?}");
}

/// Guards against a tenant that gets more by submitting through several trainers.
#[test]
fn a_tenant_with_many_trainers_gets_one_share() {
    let trainers = trainers(&["many", "many", "many", "one"]);
    let of = |trainer: usize| {
        move |item: u32| Candidate { trainer, job: trainer, ..candidate(trainer as u32 * 100 + item, 7_000) }
    };
    let candidates = (0..4).flat_map(|trainer| (0..8).map(of(trainer))).collect();
    let started = starts(candidates, &trainers, &mut Shares::default(), &[]);
    let of_one = started[..16].iter().filter(|item| **item >= 300).count();
    assert_eq!(of_one, 8, "{started:?}");
    for trainer in 0..3 {
        let count = started[..16].iter().filter(|item| **item / 100 == trainer).count();
        assert!((2..=3).contains(&count), "trainer {trainer} got {count}: {started:?}");
    }
}

/// Guards against late items that never start while new work in time keeps arriving.
#[test]
fn an_item_that_waited_for_a_due_period_gets_its_turn() {
    let trainers = trainers(&["a"]);
    let mut turns = OverdueTurns::default();
    let late = || Candidate { waited: ms(9_000), due_at: NOW - ms(1_000), ..candidate(99, 0) };
    let later = || Candidate { waited: ms(8_500), due_at: NOW - ms(500), ..candidate(98, 0) };
    let mut until_start = 0;
    loop {
        let due = [turns.is_due(&"pool")];
        let candidates = vec![candidate(1, 7_000), later(), late()];
        let mut order = WaitingOrder::new(candidates, &trainers, &due, NOW);
        let (rank, next) = order.next(&Shares::default()).expect("no item starts");
        turns.record_start("pool", rank.class);
        until_start += 1;
        if next.item != 1 {
            assert_eq!((next.item, rank.class), (99, Class::Overdue));
            break;
        }
        assert!(until_start < 100, "the late item does not start");
    }
    assert_eq!(until_start, STARTS_PER_OVERDUE_START);
    assert!(!turns.is_due(&"pool"));
    let early = Candidate { waited: ms(7_900), due_at: NOW - ms(1_000), ..candidate(99, 0) };
    assert_eq!(starts(vec![early, candidate(1, 7_000)], &trainers, &mut Shares::default(), &[true])[0], 1);
}

/// Guards against items that are lost or repeated between ranks and trainers.
#[test]
fn each_item_starts_once() {
    let trainers = trainers(&["a", "b", "c"]);
    let mixed = |item: u32| Candidate {
        trainer: item as usize % 3,
        priority: item % 2,
        wanted: !item.is_multiple_of(5),
        ..candidate(item, u64::from(item * 37 % 9_000))
    };
    let mut started = starts((0..300).map(mixed).collect(), &trainers, &mut Shares::default(), &[true]);
    started.sort_unstable();
    assert_eq!(started, (0..300).collect::<Vec<u32>>());
}

/// Guards against a trainer that waits for its longest groups instead of those that can be complete first.
#[test]
fn the_wanted_groups_are_those_that_can_be_complete_first() {
    let group = |repeated, remaining_ms| GroupProgress { repeated, remaining: ms(remaining_ms) };
    let groups = [group(false, 900), group(false, 100), group(true, 950), group(false, 0), group(false, 500)];
    assert_eq!(wanted_groups(&groups, 0), [false; 5]);
    assert_eq!(wanted_groups(&groups, 2), [false, false, true, true, false]);
    assert_eq!(wanted_groups(&groups, 4), [false, true, true, true, true]);
    assert_eq!(wanted_groups(&groups, 9), [true; 5]);
}

fn route(kind: RouteKind, service: &str, weight: u64) -> Route {
    Route {
        name: String::new(),
        host: String::new(),
        path_prefix: "/".to_string(),
        kind,
        timeout_ms: 1,
        objective_ms: 1,
        priority: 0,
        targets: vec![WeightedTarget { service: service.to_string(), weight }],
        max_attempts: 1,
        resumable: true,
        public: false,
        batch: BatchSettings::default(),
    }
}

fn document(routes: Vec<Route>, tenants: Option<usize>) -> RoutingDocument {
    let service = |name: &str| Service {
        name: name.to_string(),
        health_path: "/".to_string(),
        max_connections: 1,
        hosting: None,
        scaling: None,
    };
    let tenant = TenantAccess { name: TenantId::new("a"), keys: Vec::new(), priority: None };
    RoutingDocument {
        version: 1,
        routes,
        services: vec![service("one"), service("two")],
        limits: RequestLimits { max_header_bytes: 0, max_body_bytes: 0, header_timeout_ms: 0, idle_timeout_ms: 0 },
        tenants: tenants.map(|count| vec![tenant; count]),
        source: Vec::new(),
    }
}

/// Guards against the order taking effect in deployments whose trainers don't compete.
#[test]
fn trainers_compete_where_tenants_are_listed_and_rollout_routes_share_a_service() {
    let rollout = |service| route(RouteKind::Rollout, service, 1);
    let shared = || vec![rollout("one"), rollout("two"), rollout("one")];
    let cases = [
        ("shared", shared(), Some(1), true),
        ("no list of tenants", shared(), None, false),
        ("an empty list of tenants", shared(), Some(0), false),
        ("one route for each service", vec![rollout("one"), rollout("two")], Some(1), false),
        ("another kind", vec![rollout("one"), route(RouteKind::Streaming, "one", 1)], Some(1), false),
        ("no weight", vec![rollout("one"), route(RouteKind::Rollout, "one", 0)], Some(1), false),
    ];
    for (name, routes, tenants, expected) in cases {
        assert_eq!(trainers_compete(&document(routes, tenants)), expected, "{name}");
    }
}
