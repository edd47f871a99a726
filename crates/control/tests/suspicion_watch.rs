//! Expiry of suspicions by the monotonic clock of each replica.

use saddlerelay_control::state::suspicions::SuspicionTable;
use saddlerelay_control::suspicion_watch::SuspicionWatch;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

/// Log time of the engine failure, in Unix milliseconds.
const LOG_TIME: u64 = 1_764_720_000_000;

/// Wall clock of a leader that is an hour ahead, in Unix milliseconds.
const AHEAD: u64 = LOG_TIME + 3_600_000;

/// Time to live of a suspicion.
const SUSPICION_TTL: Duration = Duration::from_secs(600);

fn record_loss(table: &mut SuspicionTable, body: &[u8], unix_ms: u64) {
    let work = WorkDigest::of_post_request(None, "host", "/rollouts", body);
    let loss = EngineLoss { work, instance: InstanceId::without_start_time("engine") };
    table.record_evidence(WorkEvidence { losses: vec![loss], served: Vec::new() }, unix_ms);
}

fn watched(table: &SuspicionTable, now: Duration) -> SuspicionWatch {
    let mut watch = SuspicionWatch::default();
    watch.observe(table, now);
    watch
}

#[test]
fn leader_clock_that_is_ahead_does_not_expire_a_suspicion_early() {
    let mut table = SuspicionTable::default();
    record_loss(&mut table, b"an item", LOG_TIME);
    let observed_at = Duration::from_secs(5);
    let mut watch = watched(&table, observed_at);
    let just_before = observed_at + SUSPICION_TTL - Duration::from_millis(1);
    watch.observe(&table, just_before);
    assert!(!watch.may_expire(&table, AHEAD, just_before));
    assert!(watch.may_expire(&table, AHEAD, observed_at + SUSPICION_TTL));
}

#[test]
fn suspicion_expires_after_its_time_to_live_by_both_clocks() {
    let mut table = SuspicionTable::default();
    record_loss(&mut table, b"an item", LOG_TIME);
    let watch = watched(&table, Duration::ZERO);
    let expires_at = LOG_TIME + SUSPICION_TTL.as_millis() as u64;
    assert!(!watch.may_expire(&table, expires_at - 1, SUSPICION_TTL));
    assert!(watch.may_expire(&table, expires_at, SUSPICION_TTL));
}

/// The command `ExpireSuspicions` removes all suspicions that have expired by log time, so it must not be committed
/// while one of them is recent by the monotonic clock.
#[test]
fn expiry_waits_for_a_recent_suspicion_that_would_also_be_removed() {
    let mut table = SuspicionTable::default();
    record_loss(&mut table, b"an item", LOG_TIME);
    let mut watch = watched(&table, Duration::ZERO);
    record_loss(&mut table, b"another", LOG_TIME);
    watch.observe(&table, SUSPICION_TTL);
    assert!(!watch.may_expire(&table, AHEAD, SUSPICION_TTL));
    assert!(watch.may_expire(&table, AHEAD, SUSPICION_TTL * 2));
}

#[test]
fn empty_table_has_nothing_to_expire() {
    let table = SuspicionTable::default();
    assert!(!watched(&table, Duration::ZERO).may_expire(&table, AHEAD, SUSPICION_TTL));
}
