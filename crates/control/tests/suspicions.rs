//! Suspicions and quarantines: evidence, expiry, eviction and trial leases.

use quickcheck::{QuickCheck, TestResult};
use saddlerelay_control::state::suspicions::SuspicionTable;
use saddlerelay_types::identity::{Incarnation, TenantId};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, QUARANTINE_THRESHOLD, TrialId, TrialResult, WorkEvidence};
use saddlerelay_types::tenancy::Caller;
use saddlerelay_types::work::{Work, WorkDigest};

const MINUTE_MS: u64 = 60_000;

fn work(number: u32) -> WorkDigest {
    let body = number.to_le_bytes();
    WorkDigest::of(&Work { caller: &Caller::Anyone, method: "POST", host: "clinic.example", path: "/", body: &body })
}

fn loss(number: u32, engine: u32) -> EngineLoss {
    EngineLoss { work: work(number), instance: InstanceId::without_start_time(format!("engine-{engine}")) }
}

fn record_loss(table: &mut SuspicionTable, number: u32, engine: u32, now: u64) {
    table.record_evidence(WorkEvidence { losses: vec![loss(number, engine)], served: Vec::new() }, now);
}

fn quarantine(table: &mut SuspicionTable, number: u32, now: u64) {
    (0..QUARANTINE_THRESHOLD as u32).for_each(|engine| record_loss(table, number, engine, now));
}

#[test]
fn work_is_quarantined_after_failures_of_three_different_engines() {
    let mut table = SuspicionTable::default();
    for _ in 0..5 {
        record_loss(&mut table, 1, 7, 0);
    }
    assert_eq!(table.get(&work(1)).map(|suspicion| suspicion.engines.len()), Some(1));
    record_loss(&mut table, 1, 8, 0);
    assert!(!table.is_quarantined(&work(1)));
    record_loss(&mut table, 1, 9, 0);
    assert!(table.is_quarantined(&work(1)));
    assert!(!table.is_quarantined(&work(2)));
}

#[test]
fn revision_does_not_change_without_a_change() {
    let mut table = SuspicionTable::default();
    quarantine(&mut table, 1, 0);
    let revision = table.revision();
    record_loss(&mut table, 1, 99, 5);
    table.record_evidence(WorkEvidence { losses: Vec::new(), served: vec![work(2)] }, 5);
    table.expire(5);
    assert!(!table.release(&work(2)));
    assert_eq!(table.revision(), revision);
}

#[test]
fn served_work_is_cleared_before_new_losses_count() {
    let mut table = SuspicionTable::default();
    quarantine(&mut table, 1, 0);
    table.record_evidence(WorkEvidence { losses: vec![loss(1, 50)], served: vec![work(1)] }, 1);
    assert_eq!(table.get(&work(1)).map(|suspicion| suspicion.engines.len()), Some(1));
}

#[test]
fn suspicions_expire_and_expired_quarantines_allow_one_more_engine() {
    let mut table = SuspicionTable::default();
    record_loss(&mut table, 1, 1, 0);
    quarantine(&mut table, 2, 0);
    assert!(!table.has_expired(9 * MINUTE_MS));
    table.expire(11 * MINUTE_MS);
    assert!(table.get(&work(1)).is_none());
    assert!(table.is_quarantined(&work(2)));
    table.expire(61 * MINUTE_MS);
    assert!(!table.is_quarantined(&work(2)));
    record_loss(&mut table, 2, 77, 62 * MINUTE_MS);
    assert!(table.is_quarantined(&work(2)), "one more failure quarantines the work again");
}

#[test]
fn release_removes_a_quarantine() {
    let mut table = SuspicionTable::default();
    quarantine(&mut table, 1, 0);
    assert!(table.release(&work(1)));
    assert!(table.is_empty());
}

/// The table size is bounded, and quarantined work is not evicted by work with fewer engine failures.
#[test]
fn table_is_bounded_and_keeps_quarantines_under_a_flood_of_evidence() {
    fn property(floods: Vec<u16>) -> TestResult {
        let mut table = SuspicionTable::default();
        quarantine(&mut table, 1_000_000, 0);
        for (now, flood) in floods.into_iter().enumerate() {
            let losses = (0..u32::from(flood % 900)).map(|number| loss(number, now as u32 % 2)).collect();
            table.record_evidence(WorkEvidence { losses, served: Vec::new() }, now as u64);
        }
        let count = table.list().suspicions.len();
        TestResult::from_bool(count <= 512 && table.is_quarantined(&work(1_000_000)))
    }
    QuickCheck::new().tests(20).quickcheck(property as fn(Vec<u16>) -> TestResult);
}

#[test]
fn digests_differ_by_caller_and_request_part() {
    let tenant = |name: &str| Caller::Tenant(TenantId::new(name));
    let digest = |caller: &Caller, path: &str, body: &str| {
        let work = Work { caller, method: "POST", host: "clinic.example", path, body: body.as_bytes() };
        WorkDigest::of(&work)
    };
    let base = digest(&tenant("a"), "/plans/1", "body");
    assert_eq!(base, digest(&tenant("a"), "/plans/1", "body"));
    for other in [
        digest(&tenant("b"), "/plans/1", "body"),
        digest(&Caller::Anyone, "/plans/1", "body"),
        digest(&tenant("a"), "/plans/2", "body"),
        digest(&tenant("a"), "/plans/1body", ""),
        digest(&tenant("a"), "/plans/1", "bodies"),
    ] {
        assert_ne!(base, other);
    }
    assert_eq!(WorkDigest::from_hexadecimal(&base.to_hexadecimal()), Some(base));
    assert_eq!(WorkDigest::from_hexadecimal("short"), None);
}

/// A relay may request a trial before it has received the quarantine.
#[test]
fn no_trial_is_granted_for_quarantined_work() {
    let mut table = SuspicionTable::default();
    let id = TrialId { holder: Incarnation(1), number: 1 };
    record_loss(&mut table, 1, 0, 0);
    record_loss(&mut table, 1, 1, 0);
    assert_eq!(table.begin_trial(work(1), id, 0, MINUTE_MS), TrialResult::Granted);
    table.end_trial(&work(1), id);
    record_loss(&mut table, 1, 2, 0);
    assert!(table.is_trial_rejected(&work(1), id));
    assert_eq!(table.begin_trial(work(1), id, 0, MINUTE_MS), TrialResult::Taken);
}
