//! Expiry of trial leases by the monotonic clock of each replica.

use saddlerelay_control::state::suspicions::SuspicionTable;
use saddlerelay_control::trial_watch::TrialWatch;
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{
    EngineLoss, HeldTrial, TRIAL_LEASE, TRIAL_RENEWAL, TrialId, TrialResult, WorkEvidence,
};
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

/// Time of the log entries in Unix milliseconds; leases must not depend on it.
const LOG_TIME: u64 = 1_764_720_000_000;

/// Time limit of the work itself.
const LIMIT_MS: u64 = 40_000;

const TERM: u64 = 3;

fn work() -> WorkDigest {
    WorkDigest::of_post_request(None, "host", "/rollouts", b"an item")
}

fn id(holder: u64) -> TrialId {
    TrialId { holder: Incarnation(holder), number: 1 }
}

fn held_by(holder: u64) -> HeldTrial {
    HeldTrial { work: work(), id: id(holder) }
}

/// A table with the work suspected, and its trial lease granted to holder 1.
fn table_with_granted_lease() -> SuspicionTable {
    let mut table = SuspicionTable::default();
    let loss = EngineLoss { work: work(), instance: InstanceId::without_start_time("engine") };
    table.record_evidence(WorkEvidence { losses: vec![loss], served: Vec::new() }, LOG_TIME);
    assert_eq!(table.begin_trial(work(), id(1), LOG_TIME, LIMIT_MS), TrialResult::Granted);
    table
}

#[test]
fn renewed_lease_does_not_expire() {
    let (mut table, mut watch) = (table_with_granted_lease(), TrialWatch::default());
    let mut now = Duration::from_secs(10);
    for _ in 0..40 {
        watch.observe(&table, now);
        assert_eq!(watch.expired(TERM, now), []);
        assert_eq!(table.renew_trials(vec![held_by(1)]), []);
        now += TRIAL_RENEWAL * 2;
    }
}

#[test]
fn lease_expires_without_renewals_regardless_of_log_time() {
    let (mut table, mut watch) = (table_with_granted_lease(), TrialWatch::default());
    let observed_at = Duration::from_secs(10);
    watch.observe(&table, observed_at);
    assert_eq!(watch.expired(TERM, observed_at), []);
    let last_moment = observed_at + TRIAL_LEASE - Duration::from_millis(1);
    watch.observe(&table, last_moment);
    assert_eq!(watch.expired(TERM, last_moment), []);
    let expired = watch.expired(TERM, observed_at + TRIAL_LEASE);
    assert_eq!(expired.iter().map(|lease| lease.held).collect::<Vec<_>>(), [held_by(1)]);
    table.expire_trials(&expired);
    assert_eq!(table.begin_trial(work(), id(2), LOG_TIME, LIMIT_MS), TrialResult::Granted);
    assert_eq!(table.renew_trials(vec![held_by(1)]), [held_by(1)], "the first holder is notified of the loss");
}

#[test]
fn renewal_before_the_expiry_is_committed_keeps_the_lease() {
    let (mut table, mut watch) = (table_with_granted_lease(), TrialWatch::default());
    watch.observe(&table, Duration::ZERO);
    assert_eq!(watch.expired(TERM, Duration::ZERO), []);
    let expired = watch.expired(TERM, TRIAL_LEASE);
    assert_eq!(expired.len(), 1);
    assert_eq!(table.renew_trials(vec![held_by(1)]), []);
    table.expire_trials(&expired);
    assert_eq!(table.begin_trial(work(), id(2), LOG_TIME, LIMIT_MS), TrialResult::Taken);
}

/// A new leader waits for two renewal intervals before it expires leases.
#[test]
fn new_leader_does_not_expire_leases_before_holders_can_renew() {
    let (table, mut watch) = (table_with_granted_lease(), TrialWatch::default());
    watch.observe(&table, Duration::ZERO);
    let elected_at = TRIAL_LEASE * 3;
    assert_eq!(watch.expired(TERM, elected_at), []);
    assert_eq!(watch.expired(TERM, elected_at + TRIAL_RENEWAL), []);
    assert_eq!(watch.expired(TERM, elected_at + TRIAL_RENEWAL * 2).len(), 1);
}

#[test]
fn lease_of_work_that_is_no_longer_suspected_is_not_reported_lost() {
    let mut table = table_with_granted_lease();
    table.record_evidence(WorkEvidence { losses: Vec::new(), served: vec![work()] }, LOG_TIME);
    table.end_trial(&work(), id(1));
    assert_eq!(table.renew_trials(vec![held_by(1)]), []);
}

/// A leader clock that is an hour ahead does not expire a renewed lease.
#[test]
fn clock_step_does_not_expire_a_renewed_lease() {
    const HOUR_MS: u64 = 3_600_000;
    let mut table = table_with_granted_lease();
    assert_eq!(table.renew_trials(vec![held_by(1)]), []);
    assert_eq!(table.begin_trial(work(), id(2), LOG_TIME + HOUR_MS + 1, LIMIT_MS), TrialResult::Taken);
}

/// Another relay requests the lease after a clock step and before the holder's next renewal.
#[test]
fn clock_step_does_not_grant_a_held_lease_to_another_relay() {
    const HOUR_MS: u64 = 3_600_000;
    let mut table = table_with_granted_lease();
    assert_eq!(table.renew_trials(vec![held_by(1)]), []);
    assert_eq!(table.begin_trial(work(), id(2), LOG_TIME + HOUR_MS, LIMIT_MS), TrialResult::Taken);
}

/// A relay observes an engine failure and requests the lease before its evidence is committed.
#[test]
fn lease_granted_before_the_evidence_is_exclusive() {
    let mut table = SuspicionTable::default();
    assert_eq!(table.begin_trial(work(), id(1), LOG_TIME, LIMIT_MS), TrialResult::Granted);
    let loss = EngineLoss { work: work(), instance: InstanceId::without_start_time("engine") };
    table.record_evidence(WorkEvidence { losses: vec![loss], served: Vec::new() }, LOG_TIME);
    assert_eq!(table.begin_trial(work(), id(2), LOG_TIME, LIMIT_MS), TrialResult::Taken);
}
