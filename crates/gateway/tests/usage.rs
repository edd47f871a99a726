//! Usage counting and reporting, clock estimation, and lookup of API keys.

use quickcheck::QuickCheck;
use saddlerelay_gateway::keys::ApiKeyIndex;
use saddlerelay_gateway::usage::{GroupClockSamples, UsageLedger};
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::tenancy::TenantAccess;
use saddlerelay_types::usage::UsageWindow;
use std::time::Duration;

#[test]
fn a_difference_is_resent_unchanged_until_it_is_acknowledged() {
    let (tenant, window) = (TenantId::new("a"), UsageWindow(3));
    let mut ledger = UsageLedger::default();
    assert_eq!(ledger.next_delta(), None);
    ledger.count(&tenant, window);
    let first = ledger.next_delta().expect("something was counted");
    ledger.count(&tenant, window);
    assert_eq!(ledger.next_delta().as_ref(), Some(&first), "the first delta is not acknowledged yet");
    ledger.acknowledge(0);
    assert_eq!(ledger.next_delta().as_ref(), Some(&first));
    ledger.acknowledge(first.sequence);
    let second = ledger.next_delta().expect("more was counted");
    assert_eq!((first.sequence, second.sequence, second.counts[&window][&tenant]), (1, 2, 1));
    ledger.acknowledge(2);
    assert_eq!(ledger.next_delta(), None);
}

/// Each request is in exactly one delta, whichever replies are lost.
#[test]
fn every_request_is_reported_exactly_once() {
    fn holds(steps: Vec<(u8, bool)>) -> bool {
        let tenant = TenantId::new("a");
        let mut ledger = UsageLedger::default();
        let (mut counted, mut reported, mut newest) = (0, 0, 0);
        for (requests, answered) in steps.into_iter().chain([(0, true), (0, true)]) {
            for _ in 0..requests % 5 {
                ledger.count(&tenant, UsageWindow(u64::from(requests)));
                counted += 1;
            }
            let Some(delta) = ledger.next_delta() else {
                continue;
            };
            if delta.sequence > newest {
                newest = delta.sequence;
                reported += delta.counts.values().flat_map(|counts| counts.values()).sum::<u64>();
            }
            if answered {
                ledger.acknowledge(newest);
            }
        }
        counted == reported && ledger.next_delta().is_none()
    }
    QuickCheck::new().tests(400).quickcheck(holds as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn a_delayed_reply_does_not_change_the_clock_estimate() {
    let at = Duration::from_millis;
    let mut clock = GroupClockSamples::default();
    assert_eq!(clock.unix_ms(at(5)), None);
    clock.add_sample(10_000, at(100));
    // The relay process was suspended for 3 s before it read this reply.
    clock.add_sample(10_400, at(3_500));
    assert_eq!(clock.unix_ms(at(4_000)), Some(13_900));
}

#[test]
fn only_configured_keys_are_found() {
    let key = |tenant: usize, number: usize| format!("key-{tenant}-{number}");
    let tenants: Vec<TenantAccess> = (0..500)
        .map(|tenant| TenantAccess {
            name: TenantId(format!("tenant-{tenant}")),
            keys: (0..3).map(|number| SecretDigest::of(key(tenant, number).as_bytes())).collect(),
            priority: None,
        })
        .collect();
    let ring = ApiKeyIndex::new(&tenants);
    for (tenant, access) in tenants.iter().enumerate() {
        for number in 0..3 {
            assert_eq!(ring.tenant(key(tenant, number).as_bytes()), Some(&access.name));
        }
        assert_eq!(ring.tenant(key(tenant, 3).as_bytes()), None);
    }
    assert_eq!(ring.tenant(b""), None);
}
