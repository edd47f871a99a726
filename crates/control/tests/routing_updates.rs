//! Incremental updates of the routing document.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_control::routing_updates::RoutingUpdates;
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::routing::{
    BatchSettings, RequestLimits, Route, RouteKind, RoutingDocument, Service, WeightedTarget,
};
use saddlerelay_types::routing_update::RoutingUpdate;
use saddlerelay_types::tenancy::TenantAccess;
use std::collections::BTreeMap;

fn route(number: u8, timeout_ms: u64) -> Route {
    Route {
        name: format!("route-{number}"),
        host: format!("host-{}", number % 3),
        path_prefix: format!("/{number}/"),
        kind: RouteKind::Idempotent,
        timeout_ms,
        objective_ms: 100,
        priority: 1,
        targets: vec![WeightedTarget { service: "web".to_string(), weight: 1 }],
        max_attempts: 2,
        resumable: false,
        public: false,
        batch: BatchSettings::default(),
    }
}

/// One tenant per route; every fifth document has no tenant list.
fn tenants(version: u64, routes: &BTreeMap<u8, u64>) -> Option<Vec<TenantAccess>> {
    let access = |(number, timeout): (&u8, &u64)| TenantAccess {
        name: TenantId(format!("tenant-{number}")),
        keys: (0..*timeout).map(|key| SecretDigest::of(format!("{number}-{key}").as_bytes())).collect(),
        priority: Some(u32::from(*number) % 2),
    };
    (!version.is_multiple_of(5)).then(|| routes.iter().map(access).collect())
}

/// A document with routes given by number and timeout.
fn document(version: u64, routes: &[(u8, u8)]) -> RoutingDocument {
    let routes_by_number: BTreeMap<u8, u64> =
        routes.iter().map(|(number, timeout)| (*number, u64::from(*timeout) + 1)).collect();
    let limits = RequestLimits {
        max_header_bytes: version,
        max_body_bytes: 1_000,
        header_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
    };
    let service = Service {
        name: "web".to_string(),
        health_path: "/health".to_string(),
        max_connections: 10,
        hosting: None,
        scaling: None,
    };
    RoutingDocument {
        version,
        routes: routes_by_number.iter().map(|(number, timeout)| route(*number, *timeout)).collect(),
        services: vec![service],
        limits,
        tenants: tenants(version, &routes_by_number),
        source: vec![1; 5_000],
    }
}

fn sorted(mut document: RoutingDocument) -> RoutingDocument {
    document.routes.sort_by(|left, right| left.name.cmp(&right.name));
    document.tenants.iter_mut().for_each(|tenants| tenants.sort_by(|left, right| left.name.cmp(&right.name)));
    document.source.clear();
    document
}

/// The routes of consecutive documents.
#[derive(Clone, Debug)]
struct History(Vec<Vec<(u8, u8)>>);

impl Arbitrary for History {
    fn arbitrary(random: &mut Gen) -> Self {
        let document = |random: &mut Gen| {
            let count = u8::arbitrary(random) % 12;
            (0..count).map(|_| (u8::arbitrary(random) % 16, u8::arbitrary(random) % 3)).collect()
        };
        let count = 1 + u8::arbitrary(random) % 9;
        Self((0..count).map(|_| document(random)).collect())
    }
}

#[test]
fn update_turns_the_older_document_into_the_newer_one() {
    fn check(History(documents): History) -> bool {
        documents.windows(2).all(|pair| {
            let (old, new) = (document(1, &pair[0]), document(2, &pair[1]));
            let update = RoutingUpdate::between(Some(&old), &new);
            update.apply(Some(&old)).map(sorted) == Some(sorted(new))
        })
    }
    QuickCheck::new().tests(400).quickcheck(check as fn(History) -> bool);
}

#[test]
fn update_from_any_earlier_document_leads_to_the_newest() {
    fn check(History(documents): History) -> bool {
        let documents: Vec<RoutingDocument> =
            documents.iter().enumerate().map(|(index, routes)| document(index as u64 + 1, routes)).collect();
        let mut updates = RoutingUpdates::default();
        for (index, current) in documents.iter().enumerate() {
            for known in std::iter::once(None).chain(documents[..=index].iter().map(Some)) {
                let update = updates.update(current, known.map(|known| known.version));
                let result = match update {
                    None => known.cloned(),
                    Some(update) => update.decode().and_then(|update| update.apply(known)),
                };
                if result.map(sorted) != Some(sorted(current.clone())) {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new().tests(200).quickcheck(check as fn(History) -> bool);
}

#[test]
fn update_of_one_route_is_small_and_omits_the_document_source() {
    let routes: Vec<(u8, u8)> = (0..200).map(|number| (number, 0)).collect();
    let mut changed = routes.clone();
    changed[7].1 = 1;
    let (old, new) = (document(1, &routes), document(2, &changed));
    let mut updates = RoutingUpdates::default();
    let full_update = updates.update(&old, None).expect("the document has changed");
    let delta = updates.update(&new, Some(1)).expect("the document has changed");
    assert!(full_update.len() < old.routes.len() * 150, "{} bytes for 200 routes and tenants", full_update.len());
    assert!(delta.len() < 300, "{} bytes for one route", delta.len());
}

#[test]
fn update_is_not_applied_to_a_different_document() {
    let (first, second, third) = (document(1, &[(1, 1)]), document(2, &[(2, 1)]), document(3, &[(3, 1)]));
    let update = RoutingUpdate::between(Some(&second), &third);
    assert_eq!(update.clone().apply(Some(&first)), None);
    assert_eq!(update.apply(None), None);
}
