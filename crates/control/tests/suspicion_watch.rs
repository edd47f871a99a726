//! Suspicions as each replica watches them by its own clock.

use saddlerelay_control::state::suspicions::SuspicionTable;
use saddlerelay_control::suspicion_watch::SuspicionWatch;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

/// Unix milliseconds of the log when the engine ended.
const LOG_TIME: u64 = 1_764_720_000_000;

/// A leader's time of day that is an hour ahead.
const AHEAD: u64 = LOG_TIME + 3_600_000;

/// How long work is suspected after one engine has ended under it.
const SUSPECTED: Duration = Duration::from_secs(600);

fn suspect(table: &mut SuspicionTable, body: &[u8], unix_ms: u64) {
    let work = WorkDigest::of_posted(None, "host", "/rollouts", body);
    let loss = EngineLoss { work, instance: InstanceId::named("engine") };
    table.take(WorkEvidence { losses: vec![loss], served: Vec::new() }, unix_ms);
}

fn watched(table: &SuspicionTable, now: Duration) -> SuspicionWatch {
    let mut watch = SuspicionWatch::default();
    watch.see(table, now);
    watch
}

#[test]
fn a_time_of_day_that_is_ahead_ends_no_suspicion_before_its_time() {
    let mut table = SuspicionTable::default();
    suspect(&mut table, b"an item", LOG_TIME);
    let started = Duration::from_secs(5);
    let mut watch = watched(&table, started);
    let just_before = started + SUSPECTED - Duration::from_millis(1);
    watch.see(&table, just_before);
    assert!(!watch.may_expire(&table, AHEAD, just_before));
    assert!(watch.may_expire(&table, AHEAD, started + SUSPECTED));
}

#[test]
fn a_suspicion_ends_when_its_time_is_over_by_both_clocks() {
    let mut table = SuspicionTable::default();
    suspect(&mut table, b"an item", LOG_TIME);
    let watch = watched(&table, Duration::ZERO);
    let over = LOG_TIME + SUSPECTED.as_millis() as u64;
    assert!(!watch.may_expire(&table, over - 1, SUSPECTED));
    assert!(watch.may_expire(&table, over, SUSPECTED));
}

/// The command forgets all that are over by the log's time: one that is young by the steady clock holds it up.
#[test]
fn an_old_suspicion_waits_for_a_young_one_that_would_go_with_it() {
    let mut table = SuspicionTable::default();
    suspect(&mut table, b"an item", LOG_TIME);
    let mut watch = watched(&table, Duration::ZERO);
    suspect(&mut table, b"another", LOG_TIME);
    watch.see(&table, SUSPECTED);
    assert!(!watch.may_expire(&table, AHEAD, SUSPECTED));
    assert!(watch.may_expire(&table, AHEAD, SUSPECTED * 2));
}

#[test]
fn nothing_is_to_be_forgotten_where_nothing_is_suspected() {
    let table = SuspicionTable::default();
    assert!(!watched(&table, Duration::ZERO).may_expire(&table, AHEAD, SUSPECTED));
}
