//! The check of items at no engine finds items that are left lying, and nothing in waits that have a reason.

use saddlerelay_soak_runner::checks::{ITEMS_AT_ENGINES, check};
use saddlerelay_soak_runner::journal::{
    Disturbance, EngineSeen, EnginesSeen, ItemRun, ItemRunEnd, JobSeen, Journal, Moment, Records, SentDocument,
};
use saddlerelay_soak_runner::links::Party;
use saddlerelay_soak_runner::report::Report;
use saddlerelay_soak_runner::waits::{CALM_TIME, ITEM_WAIT_BOUND, longest_waits};
use saddlerelay_soak_runner::workload::SLOTS;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemId, JobId};
use std::time::Duration;

const ITEM: &str = "j-item-0";

/// When the job of these tests is accepted.
const ACCEPTED: u64 = 10_000;

/// When the trainer of these tests asks for its end.
const ENDED: u64 = 30_000;

/// From one look at the engines to the next.
const LOOK_EVERY: u64 = 100;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn document(milliseconds: u64) -> SentDocument {
    let moment = at(milliseconds);
    SentDocument { version: 1, moving_to: "web-a", body: Vec::new(), sent_at: moment, acknowledged_at: Some(moment) }
}

/// Looks at two engines, of which `busy` run so many items.
fn looks(busy: [u32; 2], version: u64) -> Vec<EnginesSeen> {
    let engine = |(number, running)| EngineSeen { number, version, running, takes_items: true };
    let engines: Vec<EngineSeen> = [4, 5].into_iter().zip(busy).map(engine).collect();
    let moments = (0..ENDED + 5_000).step_by(LOOK_EVERY as usize);
    moments.map(|moment| EnginesSeen { at: at(moment), engines: engines.clone() }).collect()
}

/// A job with one item that stays at no engine, in a steady state with empty engines.
fn left_lying() -> Records {
    let seen = JobSeen {
        items: [(ItemId(ITEM.to_string()), 2)].into(),
        minimum_version: 2,
        acknowledged_at: Some(at(ACCEPTED)),
        end_asked_at: Some(at(ENDED)),
        ..JobSeen::default()
    };
    Records {
        jobs: [(JobId("j".to_string()), seen)].into(),
        engines_seen: looks([0, 0], 2),
        documents: (0..ENDED + 5_000).step_by(2_000).map(document).collect(),
        ..Records::default()
    }
}

fn run(instance: &str, from: u64, until: Option<u64>, end: ItemRunEnd) -> ItemRun {
    let (item, instance) = (ItemId(ITEM.to_string()), InstanceId::named(instance));
    ItemRun { item, instance, from: at(from), until: until.map(at), end }
}

fn longest(records: &Records) -> Duration {
    longest_waits(records).first().map(|wait| wait.steady).unwrap_or_default()
}

fn is_broken(records: &Records) -> bool {
    check(records).iter().any(|violation| violation.promise == ITEMS_AT_ENGINES && violation.time_bound)
}

/// The time from one moment to another as looks tell it.
fn between(from: u64, until: u64) -> Duration {
    at(until - from - LOOK_EVERY)
}

#[test]
fn an_item_that_is_left_lying_is_found() {
    let records = left_lying();
    assert_eq!(longest(&records), between(ACCEPTED, ENDED));
    assert!(is_broken(&records));
    let journal = Journal::default();
    journal.write(|written| *written = records);
    let report = Report::new("paired:1".parse().expect("a case"), 0, &journal).to_string();
    assert!(report.contains(ITEM) && report.contains("19900 ms"), "{report}");
}

#[test]
fn a_wait_up_to_the_bound_is_allowed() {
    let bound = ITEM_WAIT_BOUND.as_millis() as u64;
    let with = |begins| Records { item_runs: vec![run("engine-4-1", begins, None, ItemRunEnd::Open)], ..left_lying() };
    assert!(!is_broken(&with(ACCEPTED + bound)));
    assert!(is_broken(&with(ACCEPTED + bound + 2 * LOOK_EVERY)));
}

#[test]
fn an_item_that_an_engine_has_done_waits_no_more() {
    for end in [ItemRunEnd::Finished, ItemRunEnd::Failed] {
        let runs = vec![run("engine-4-1", ACCEPTED, Some(12_000), end)];
        assert_eq!(longest(&Records { item_runs: runs, ..left_lying() }), Duration::ZERO, "{end:?}");
    }
    for end in [ItemRunEnd::Open, ItemRunEnd::EngineEnded] {
        let runs = vec![run("engine-4-1", ACCEPTED, Some(12_000), end)];
        assert_eq!(longest(&Records { item_runs: runs, ..left_lying() }), between(12_000, ENDED), "{end:?}");
    }
}

#[test]
fn an_item_under_which_three_engines_have_ended_is_left_out() {
    let ended = |instance, from| run(instance, from, Some(from + 100), ItemRunEnd::EngineEnded);
    let two = vec![ended("engine-4-1", ACCEPTED), ended("engine-5-1", 10_100), ended("engine-5-1", 10_200)];
    let mut records = Records { item_runs: two, ..left_lying() };
    assert!(is_broken(&records), "the same engine counts once");
    records.item_runs.push(ended("engine-4-2", 10_300));
    assert!(!is_broken(&records));
}

#[test]
fn a_wait_while_engines_are_half_full_has_a_reason() {
    let with = |busy| Records { engines_seen: looks(busy, 2), ..left_lying() };
    assert!(!is_broken(&with([SLOTS / 2, SLOTS / 2])));
    assert!(is_broken(&with([SLOTS / 2, SLOTS / 2 - 1])));
}

#[test]
fn engines_that_cannot_take_an_item_have_no_room() {
    assert!(!is_broken(&Records { engines_seen: looks([0, 0], 1), ..left_lying() }), "too old for its job");
    let mut records = left_lying();
    let engines = |records: &mut Records, change: fn(&mut EngineSeen)| {
        records.engines_seen.iter_mut().flat_map(|seen| &mut seen.engines).for_each(change);
    };
    engines(&mut records, |engine| engine.takes_items = engine.number != 4);
    assert!(is_broken(&records), "the other one can");
    engines(&mut records, |engine| engine.takes_items = false);
    assert!(!is_broken(&records));
}

#[test]
fn an_engine_that_was_harmed_lately_has_no_room() {
    let mut records = left_lying();
    let harm = |number| Disturbance { party: Party::Engine(number), from: at(9_000), until: None };
    records.disruptions.push(harm(4));
    assert!(is_broken(&records), "the other one is well");
    records.disruptions.push(harm(5));
    assert!(!is_broken(&records));
}

/// The longest wait when the state is not steady at `from`, until `until`.
fn longest_when_disturbed(change: impl FnOnce(&mut Records)) -> Duration {
    let mut records = left_lying();
    change(&mut records);
    longest(&records)
}

#[test]
fn only_a_steady_state_counts() {
    let calm = CALM_TIME.as_millis() as u64;
    let fault = |party, from, until: u64| Disturbance { party, from: at(from), until: Some(at(until)) };
    let leader = Party::Coordinator(0);
    // A look at the very end of the calm still counts as disturbed.
    let begins_anew = between(16_000 + calm + LOOK_EVERY, ENDED);
    let killed = longest_when_disturbed(|records| records.disruptions.push(fault(leader, 13_000, 16_000)));
    assert_eq!(killed, begins_anew, "a fault of a coordinator");
    let stopped = longest_when_disturbed(|records| records.planned.push(fault(leader, 13_000, 16_000)));
    assert_eq!(stopped, begins_anew, "planned work at a coordinator");
    let woken = longest_when_disturbed(|records| records.woken.push(at(16_000)));
    assert_eq!(woken, begins_anew, "a link that heals");
    let named = longest_when_disturbed(|records| records.versions_named.push(at(16_000)));
    assert_eq!(named, begins_anew, "a version that was named");
    let gateway = fault(Party::Gateway(0), 13_000, 16_000);
    let other = longest_when_disturbed(|records| records.disruptions.push(gateway));
    assert_eq!(other, between(ACCEPTED, ENDED), "items need no gateway");
}

#[test]
fn a_group_without_a_leader_leaves_items_lying_with_reason() {
    let is_between = |moment: Moment| moment > at(9_000) && moment < at(27_000);
    let without = |records: &mut Records| {
        records.documents.retain(|document| !document.acknowledged_at.is_some_and(is_between));
    };
    let longest = longest_when_disturbed(without);
    assert!(longest <= ITEM_WAIT_BOUND, "{longest:?}");
}

#[test]
fn what_is_not_accepted_does_not_wait() {
    let mut records = left_lying();
    records.jobs.values_mut().for_each(|job| job.acknowledged_at = None);
    assert!(longest_waits(&records).is_empty());
}
