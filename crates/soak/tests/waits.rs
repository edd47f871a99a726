//! The check for items that wait at no engine reports stalled items and no justified waits.

use saddlerelay_soak_runner::checks::{ITEMS_AT_ENGINES, check};
use saddlerelay_soak_runner::journal::{
    Disturbance, EngineSample, EnginesSample, ItemRun, ItemRunEnd, JobRecord, Journal, Moment, Records, SentDocument,
};
use saddlerelay_soak_runner::links::Party;
use saddlerelay_soak_runner::report::Report;
use saddlerelay_soak_runner::waits::{ITEM_WAIT_BOUND, QUIET_PERIOD, longest_waits};
use saddlerelay_soak_runner::workload::SLOTS;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemId, JobId};
use std::time::Duration;

const ITEM: &str = "j-item-0";

/// Acceptance time of the job, in milliseconds.
const ACCEPTED_AT: u64 = 10_000;

/// Time of the cancellation request, in milliseconds.
const CANCELLED_AT: u64 = 30_000;

/// Interval between samples, in milliseconds.
const SAMPLE_INTERVAL: u64 = 100;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn document(milliseconds: u64) -> SentDocument {
    let moment = at(milliseconds);
    SentDocument { version: 1, rerouted_to: "web-a", body: Vec::new(), sent_at: moment, acknowledged_at: Some(moment) }
}

/// Samples of two engines with `busy` requests in progress.
fn samples(busy: [u32; 2], version: u64) -> Vec<EnginesSample> {
    let engine = |(number, running)| EngineSample { number, version, running, accepts_items: true };
    let engines: Vec<EngineSample> = [4, 5].into_iter().zip(busy).map(engine).collect();
    let moments = (0..CANCELLED_AT + 5_000).step_by(SAMPLE_INTERVAL as usize);
    moments.map(|moment| EnginesSample { at: at(moment), engines: engines.clone() }).collect()
}

/// A job with one item that is at no engine, in a steady state with idle engines.
fn waiting_item() -> Records {
    let observed = JobRecord {
        items: [(ItemId(ITEM.to_string()), 2)].into(),
        minimum_version: 2,
        acknowledged_at: Some(at(ACCEPTED_AT)),
        end_requested_at: Some(at(CANCELLED_AT)),
        ..JobRecord::default()
    };
    Records {
        jobs: [(JobId("j".to_string()), observed)].into(),
        engine_samples: samples([0, 0], 2),
        documents: (0..CANCELLED_AT + 5_000).step_by(2_000).map(document).collect(),
        ..Records::default()
    }
}

fn run(instance: &str, from: u64, until: Option<u64>, end: ItemRunEnd) -> ItemRun {
    let (item, instance) = (ItemId(ITEM.to_string()), InstanceId::without_start_time(instance));
    ItemRun { item, instance, from: at(from), until: until.map(at), end }
}

fn longest(records: &Records) -> Duration {
    longest_waits(records).first().map(|wait| wait.waited).unwrap_or_default()
}

fn has_violation(records: &Records) -> bool {
    check(records).iter().any(|violation| violation.invariant == ITEMS_AT_ENGINES && violation.time_bound)
}

/// The measured wait between two times, given the sample interval.
fn between(from: u64, until: u64) -> Duration {
    at(until - from - SAMPLE_INTERVAL)
}

#[test]
fn a_stalled_item_is_a_violation() {
    let records = waiting_item();
    assert_eq!(longest(&records), between(ACCEPTED_AT, CANCELLED_AT));
    assert!(has_violation(&records));
    let journal = Journal::default();
    journal.write(|journaled| *journaled = records);
    let report = Report::new("paired:1".parse().expect("the case is valid"), 0, &journal).to_string();
    assert!(report.contains(ITEM) && report.contains("19900 ms"), "{report}");
}

#[test]
fn a_wait_up_to_the_bound_is_allowed() {
    let bound = ITEM_WAIT_BOUND.as_millis() as u64;
    let with =
        |started| Records { item_runs: vec![run("engine-4-1", started, None, ItemRunEnd::Open)], ..waiting_item() };
    assert!(!has_violation(&with(ACCEPTED_AT + bound)));
    assert!(has_violation(&with(ACCEPTED_AT + bound + 2 * SAMPLE_INTERVAL)));
}

#[test]
fn a_finished_or_failed_item_does_not_wait() {
    for end in [ItemRunEnd::Finished, ItemRunEnd::Failed] {
        let runs = vec![run("engine-4-1", ACCEPTED_AT, Some(12_000), end)];
        assert_eq!(longest(&Records { item_runs: runs, ..waiting_item() }), Duration::ZERO, "{end:?}");
    }
    for end in [ItemRunEnd::Open, ItemRunEnd::EngineEnded] {
        let runs = vec![run("engine-4-1", ACCEPTED_AT, Some(12_000), end)];
        assert_eq!(longest(&Records { item_runs: runs, ..waiting_item() }), between(12_000, CANCELLED_AT), "{end:?}");
    }
}

/// Items are owed, however many engines crashed under them.
#[test]
fn an_item_under_which_engines_crashed_still_waits() {
    let ended = |instance, from| run(instance, from, Some(from + 100), ItemRunEnd::EngineEnded);
    let mut records = waiting_item();
    for (crash, instance) in ["engine-4-1", "engine-5-1", "engine-4-2", "engine-5-2"].into_iter().enumerate() {
        let from = ACCEPTED_AT + 100 * crash as u64;
        records.item_runs.push(ended(instance, from));
        assert_eq!(longest(&records), between(from + 100, CANCELLED_AT), "after {} crashes", crash + 1);
        assert!(has_violation(&records));
    }
}

#[test]
fn a_wait_while_engines_are_half_full_is_allowed() {
    let with = |busy| Records { engine_samples: samples(busy, 2), ..waiting_item() };
    assert!(!has_violation(&with([SLOTS / 2, SLOTS / 2])));
    assert!(has_violation(&with([SLOTS / 2, SLOTS / 2 - 1])));
}

#[test]
fn engines_that_cannot_take_an_item_have_no_capacity() {
    assert!(
        !has_violation(&Records { engine_samples: samples([0, 0], 1), ..waiting_item() }),
        "the engines' version is too old for the job"
    );
    let mut records = waiting_item();
    let engines = |records: &mut Records, change: fn(&mut EngineSample)| {
        records.engine_samples.iter_mut().flat_map(|observed| &mut observed.engines).for_each(change);
    };
    engines(&mut records, |engine| engine.accepts_items = engine.number != 4);
    assert!(has_violation(&records), "the other engine accepts items");
    engines(&mut records, |engine| engine.accepts_items = false);
    assert!(!has_violation(&records));
}

#[test]
fn an_engine_with_a_recent_fault_has_no_capacity() {
    let mut records = waiting_item();
    let engine_fault = |number| Disturbance { party: Party::Engine(number), from: at(9_000), until: None };
    records.fault_intervals.push(engine_fault(4));
    assert!(has_violation(&records), "the other engine has no fault");
    records.fault_intervals.push(engine_fault(5));
    assert!(!has_violation(&records));
}

/// The longest wait with a change to the records.
fn longest_when_disturbed(change: impl FnOnce(&mut Records)) -> Duration {
    let mut records = waiting_item();
    change(&mut records);
    longest(&records)
}

#[test]
fn only_a_steady_state_counts() {
    let quiet_period = QUIET_PERIOD.as_millis() as u64;
    let fault = |party, from, until: u64| Disturbance { party, from: at(from), until: Some(at(until)) };
    let leader = Party::Coordinator(0);
    // A sample at the very end of the quiet period still counts as disturbed.
    let wait_after_quiet_period = between(16_000 + quiet_period + SAMPLE_INTERVAL, CANCELLED_AT);
    let killed = longest_when_disturbed(|records| records.fault_intervals.push(fault(leader, 13_000, 16_000)));
    assert_eq!(killed, wait_after_quiet_period, "a fault of a coordinator");
    let stopped = longest_when_disturbed(|records| records.planned_work.push(fault(leader, 13_000, 16_000)));
    assert_eq!(stopped, wait_after_quiet_period, "planned work at a coordinator");
    let resumptions = longest_when_disturbed(|records| records.resumptions.push(at(16_000)));
    assert_eq!(resumptions, wait_after_quiet_period, "the end of a link fault");
    let published = longest_when_disturbed(|records| records.versions_published.push(at(16_000)));
    assert_eq!(published, wait_after_quiet_period, "a published version");
    let gateway = fault(Party::Gateway(0), 13_000, 16_000);
    let other = longest_when_disturbed(|records| records.fault_intervals.push(gateway));
    assert_eq!(other, between(ACCEPTED_AT, CANCELLED_AT), "items need no gateway");
}

#[test]
fn a_wait_while_the_group_has_no_leader_is_allowed() {
    let is_between = |moment: Moment| moment > at(9_000) && moment < at(27_000);
    let without = |records: &mut Records| {
        records.documents.retain(|document| !document.acknowledged_at.is_some_and(is_between));
    };
    let longest = longest_when_disturbed(without);
    assert!(longest <= ITEM_WAIT_BOUND, "an item waited for {longest:?}");
}

#[test]
fn an_unacknowledged_job_does_not_wait() {
    let mut records = waiting_item();
    records.jobs.values_mut().for_each(|job| job.acknowledged_at = None);
    assert!(longest_waits(&records).is_empty());
}
