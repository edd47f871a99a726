//! Validation of tenants and keys, and access to jobs.

use quickcheck::QuickCheck;
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::routing::{RequestLimits, RoutingDocument, RoutingError};
use saddlerelay_types::tenancy::{Caller, TenantAccess};

fn tenant(name: &str, keys: &[&str]) -> TenantAccess {
    let keys = keys.iter().map(|key| SecretDigest::of(key.as_bytes())).collect();
    TenantAccess { name: TenantId::new(name), keys, priority: None }
}

fn document(tenants: Vec<TenantAccess>) -> RoutingDocument {
    let limits = RequestLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    RoutingDocument {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits,
        tenants: Some(tenants),
        source: Vec::new(),
    }
}

#[test]
fn tenants_must_not_share_a_key_or_a_name() {
    assert_eq!(document(vec![tenant("a", &["1", "2"]), tenant("b", &["3"])]).error(), None);
    assert_eq!(document(vec![tenant("a", &["1", "1"])]).error(), None, "one tenant may list a key twice");
    let shared = document(vec![tenant("a", &["1", "2"]), tenant("b", &["3", "2"])]).error();
    assert_eq!(shared, Some(RoutingError::SharedKey(TenantId::new("a"), TenantId::new("b"))));
    let twice = document(vec![tenant("a", &["1"]), tenant("a", &["2"])]).error();
    assert_eq!(twice, Some(RoutingError::SameTenant(TenantId::new("a"))));
}

#[test]
fn errors_and_debug_output_do_not_reveal_keys() {
    let error = document(vec![tenant("a", &["s3cret-key"]), tenant("b", &["s3cret-key"])]).error();
    let message = error.map(|error| error.to_string()).unwrap_or_default();
    assert_eq!(message, "tenant `b` has a key that tenant `a` has too");
    let debug = format!("{:?}", tenant("a", &["s3cret-key"]));
    assert!(!debug.contains("s3cret-key"), "{debug}");
}

#[test]
fn only_the_owner_of_a_job_may_use_it() {
    let (a, b) = (TenantId::new("a"), TenantId::new("b"));
    assert!(Caller::Tenant(a.clone()).may_use(Some(&a)));
    assert!(!Caller::Tenant(b).may_use(Some(&a)));
    assert!(!Caller::Public.may_use(Some(&a)));
    assert!(Caller::Anyone.may_use(Some(&a)), "no key is required without tenants");
    assert!(Caller::Public.may_use(None), "a job without an owner is open to all");
}

#[test]
fn a_digest_round_trips_through_hexadecimal_and_matches_only_its_secret() {
    fn property(secret: Vec<u8>, other: Vec<u8>) -> bool {
        let digest = SecretDigest::of(&secret);
        let text = digest.to_hexadecimal();
        SecretDigest::from_hexadecimal(&text) == Some(digest)
            && SecretDigest::from_hexadecimal(&text.to_uppercase()) == Some(digest)
            && digest.matches(&secret)
            && digest.matches(&other) == (secret == other)
    }
    QuickCheck::new().tests(200).quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
    assert_eq!(SecretDigest::from_hexadecimal(&"é".repeat(32)), None);
    assert_eq!(SecretDigest::from_hexadecimal(&"+1".repeat(32)), None, "a sign is not a hexadecimal digit");
}
