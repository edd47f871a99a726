//! Each check finds the breach it is meant for, and nothing in what kept its promise.

use saddlerelay_soak_runner::checks::{
    AT_MOST_ONCE, ATTEMPTS, CONFIGURATION, CRASHING_WORK, JOB_ENDS, KEPT, LEAVING, NOT_RUN, ORDERS, RESULTS,
    SCORES_ARE_REAL, STALENESS, check,
};
use saddlerelay_soak_runner::deployment::{MemberKind, membership_in};
use saddlerelay_soak_runner::journal::{
    ClientRequest, Disturbance, Ending, JobSeen, Journal, KeptEnding, KeptRequest, OrderSeen, ReadDocument, Records,
    Run, SeenResult, SentDocument,
};
use saddlerelay_soak_runner::links::Party;
use saddlerelay_soak_runner::proof::{HANG_LIMIT, Proof, RECOVERY_LIMIT, Wait, judge};
use saddlerelay_soak_runner::report::{LATENESS_LIMIT, Report};
use saddlerelay_soak_runner::workload::{self, Demands, MOVING, ONCE, REPEATABLE, ROLLOUTS};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemEnd, ItemId, JobId};
use std::time::Duration;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn run(request: &str, milliseconds: u64) -> Run {
    Run {
        at: at(milliseconds),
        instance: InstanceId::named("engine-0-1"),
        service: "web-a".to_string(),
        request: request.to_string(),
        job: None,
        crashing: None,
    }
}

fn request(name: &str, prefix: &'static str, ending: Ending) -> ClientRequest {
    ClientRequest { request: name.to_string(), prefix, sent_at: at(5_000), ended_at: at(5_100), ending }
}

fn broken(records: &Records) -> Vec<&'static str> {
    check(records).into_iter().map(|violation| violation.promise).collect()
}

#[test]
fn a_request_that_was_said_not_to_run_must_not_run() {
    let mut records = Records { requests: vec![request("r", REPEATABLE, Ending::NotRun(503))], ..Records::default() };
    assert!(broken(&records).is_empty());
    records.runs.push(run("r", 5_050));
    assert_eq!(broken(&records), [NOT_RUN]);
}

#[test]
fn a_failed_request_may_have_run() {
    let requests = vec![request("r", ONCE, Ending::Failed(502)), request("s", ONCE, Ending::Broken)];
    let records = Records { requests, runs: vec![run("r", 5_050), run("s", 5_050)], ..Records::default() };
    assert!(broken(&records).is_empty());
}

#[test]
fn a_request_that_must_not_be_repeated_runs_once() {
    let requests = vec![request("r", ONCE, Ending::Whole), request("s", REPEATABLE, Ending::Whole)];
    let runs = vec![run("r", 5_010), run("s", 5_020), run("s", 5_030)];
    let mut records = Records { requests, runs, ..Records::default() };
    assert!(broken(&records).is_empty());
    records.runs.push(run("r", 5_050));
    assert_eq!(broken(&records), [AT_MOST_ONCE]);
}

#[test]
fn a_request_runs_no_more_often_than_its_route_allows() {
    let runs = (0..4).map(|number| run("r", 5_010 + number)).collect();
    let records = Records { requests: vec![request("r", REPEATABLE, Ending::Whole)], runs, ..Records::default() };
    assert_eq!(broken(&records), [ATTEMPTS]);
}

#[test]
fn a_leaving_engine_gets_no_new_work_after_the_bound() {
    let leaving = [(InstanceId::named("engine-0-1"), at(1_000))].into();
    let mut records = Records { leaving, runs: vec![run("r", 2_990)], ..Records::default() };
    assert!(broken(&records).is_empty());
    records.runs.push(run("s", 3_010));
    assert_eq!(broken(&records), [LEAVING]);
    records.woken.push(at(2_900));
    assert!(broken(&records).is_empty(), "what was under way when a process woke may still arrive");
}

fn document(version: u64, moving_to: &'static str, sent: u64, acknowledged: Option<u64>) -> SentDocument {
    let body = serde_json::to_vec(&workload::document(Demands::All, version, moving_to, 0)).expect("JSON");
    SentDocument { version, moving_to, body, sent_at: at(sent), acknowledged_at: acknowledged.map(at) }
}

#[test]
fn a_request_follows_the_newest_document_after_the_bound() {
    let documents = vec![document(1, "web-a", 0, Some(100)), document(2, "web-b", 2_000, Some(2_900))];
    let requests = vec![request("r", MOVING, Ending::Whole)];
    let mut records = Records { documents, requests, runs: vec![run("r", 5_010)], ..Records::default() };
    assert_eq!(broken(&records), [CONFIGURATION]);
    records.documents[1].acknowledged_at = Some(at(3_100));
    assert!(broken(&records).is_empty(), "the bound is not over yet");
}

#[test]
fn a_document_that_may_be_in_force_may_be_followed() {
    let documents = vec![document(1, "web-b", 0, Some(100)), document(2, "web-a", 4_000, None)];
    let requests = vec![request("r", MOVING, Ending::Whole)];
    let records = Records { documents, requests, runs: vec![run("r", 5_010)], ..Records::default() };
    assert!(broken(&records).is_empty());
}

#[test]
fn a_read_shows_the_newest_document_as_it_was_sent() {
    let documents = vec![document(1, "web-a", 0, Some(100)), document(2, "web-b", 200, Some(300))];
    let read = |body: Option<Vec<u8>>| ReadDocument { asked_at: at(400), body };
    let (old, new) = (documents[0].body.clone(), documents[1].body.clone());
    let other = serde_json::to_vec(&workload::document(Demands::All, 2, "web-a", 1)).expect("JSON");
    let with = |body| Records { documents: documents.clone(), reads: vec![read(body)], ..Records::default() };
    assert!(broken(&with(Some(new))).is_empty());
    for body in [Some(old), Some(other), None] {
        assert_eq!(broken(&with(body)), [CONFIGURATION]);
    }
}

const ITEM: &str = "j-item-0";

fn result(versions: &[u64], text: &[(u32, u64)]) -> SeenResult {
    let path = format!("{ROLLOUTS}j/0");
    let lines: Vec<String> =
        text.iter().map(|(number, version)| workload::event_data(&path, *number, *version)).collect();
    SeenResult {
        item: ItemId(ITEM.to_string()),
        end: ItemEnd::Completed,
        text: lines.join("\n").into_bytes(),
        versions: versions.to_vec(),
        score: Some("engine-0-1".to_string()),
    }
}

fn records_of(results: Vec<SeenResult>) -> Records {
    let seen = JobSeen {
        items: [(ItemId(ITEM.to_string()), 2)].into(),
        minimum_version: 2,
        acknowledged_at: Some(at(100)),
        results: (0..).zip(results).collect(),
        ..JobSeen::default()
    };
    let events = (1..=2).flat_map(|number| (1..=3).map(move |version| (ITEM.to_string(), number, version)));
    Records {
        jobs: [(JobId("j".to_string()), seen)].into(),
        runs: vec![run(&workload::score_request(ITEM), 400)],
        events: events.collect(),
        ..Records::default()
    }
}

#[test]
fn a_result_is_whole_and_names_the_versions_that_made_it() {
    assert!(broken(&records_of(vec![result(&[2, 3], &[(1, 2), (2, 3)])])).is_empty());
    assert_eq!(broken(&records_of(vec![result(&[2], &[(1, 2)])])), [RESULTS], "an event is missing");
    assert_eq!(broken(&records_of(vec![result(&[2], &[(1, 2), (2, 3)])])), [RESULTS], "a version is not named");
    assert_eq!(broken(&records_of(vec![result(&[4], &[(1, 4), (2, 4)])])), [RESULTS; 2], "never made");
}

#[test]
fn a_completed_item_carries_the_stamp_of_an_engine_that_scored_it() {
    let scored = result(&[2], &[(1, 2), (2, 2)]);
    let with =
        |score: Option<&str>| records_of(vec![SeenResult { score: score.map(str::to_string), ..scored.clone() }]);
    assert!(broken(&with(Some("engine-0-1"))).is_empty());
    assert_eq!(broken(&with(None)), [SCORES_ARE_REAL]);
    assert_eq!(broken(&with(Some("engine-3-1"))), [SCORES_ARE_REAL], "another engine's");
    let never_called = Records { runs: Vec::new(), ..with(Some("engine-0-1")) };
    assert_eq!(broken(&never_called), [SCORES_ARE_REAL]);
}

#[test]
fn an_item_is_listed_once() {
    let whole = result(&[2], &[(1, 2), (2, 2)]);
    assert_eq!(broken(&records_of(vec![whole.clone(), whole])), [RESULTS]);
}

#[test]
fn no_text_is_older_than_its_job_allows() {
    assert_eq!(broken(&records_of(vec![result(&[1, 2], &[(1, 1), (2, 2)])])), [STALENESS]);
}

#[test]
fn an_item_is_given_up_only_after_its_attempts_or_the_end() {
    let aborted = SeenResult { end: ItemEnd::Aborted, text: Vec::new(), versions: Vec::new(), ..result(&[], &[]) };
    let mut records = records_of(vec![aborted]);
    assert_eq!(broken(&records), [RESULTS]);
    records.item_failures.insert(ITEM.to_string(), 2);
    records.item_failures.insert(workload::score_request(ITEM), 2);
    assert_eq!(broken(&records), [RESULTS], "neither failed as often as its route allows");
    records.item_failures.insert(workload::score_request(ITEM), 3);
    assert!(broken(&records).is_empty());
    records.item_failures = [(ITEM.to_string(), 3)].into();
    assert!(broken(&records).is_empty());
}

#[test]
fn nothing_of_a_refused_or_ended_job_runs() {
    let item_run = Run { job: Some(JobId("j".to_string())), ..run(ITEM, 4_500) };
    let with = |change: fn(&mut JobSeen)| {
        let mut records = Records { runs: vec![item_run.clone()], ..records_of(Vec::new()) };
        records.jobs.values_mut().for_each(change);
        records
    };
    assert!(broken(&with(|job| job.ended_at = Some(at(2_000)))).is_empty());
    assert_eq!(broken(&with(|job| job.ended_at = Some(at(1_000)))), [JOB_ENDS]);
    assert_eq!(broken(&with(|job| job.refused = true)), [JOB_ENDS]);
}

#[test]
fn orders_come_from_one_holder_at_a_time() {
    let order_to = |engine: &str, milliseconds, holder: &str, fence| OrderSeen {
        at: at(milliseconds),
        instance: InstanceId::named(engine),
        holder: holder.to_string(),
        fence,
    };
    let order = |milliseconds, holder: &str, fence| order_to("engine-4-1", milliseconds, holder, fence);
    let with = |orders| Records { orders, ..Records::default() };
    assert!(broken(&with(vec![order(1_000, "a", 1), order(4_100, "b", 2)])).is_empty());
    assert_eq!(broken(&with(vec![order(1_000, "a", 1), order(3_900, "b", 2)])), [ORDERS], "turns within the lease");
    assert_eq!(broken(&with(vec![order(1_000, "a", 1), order(4_100, "b", 1)])), [ORDERS], "a shared fence");
    let between = order_to("engine-5-1", 2_000, "a", 1);
    let turns = vec![order(1_000, "a", 1), between, order(3_900, "b", 2)];
    assert_eq!(broken(&with(turns)), [ORDERS], "an order to another engine in between changes nothing");
    assert_eq!(broken(&with(vec![order(1_000, "b", 2), order(5_000, "a", 1)])), [ORDERS], "a lower fence");
    let shared = vec![order(1_000, "a", 1), order_to("engine-5-1", 9_000, "b", 1)];
    assert_eq!(broken(&with(shared)), [ORDERS], "a fence shared over engines");
    let other_engine = vec![order(1_000, "a", 1), order_to("engine-5-1", 1_100, "b", 2)];
    assert!(broken(&with(other_engine)).is_empty(), "turns are one engine's");
}

#[test]
fn work_that_has_ended_three_engines_reaches_few_more() {
    let crashing = |milliseconds| Run { crashing: Some(1), ..run("c", milliseconds) };
    let mut records = Records::default();
    // Three end; what comes while the news spreads does not count.
    records.runs.extend([1_000, 1_100, 1_200, 1_300, 4_100].map(crashing));
    records.runs.extend([5_000, 6_000, 7_000].map(crashing));
    assert!(broken(&records).is_empty());
    records.runs.push(crashing(8_000));
    assert_eq!(broken(&records), [CRASHING_WORK]);
}

/// A request on a kept connection to gateway 1 that ended so long after it was sent.
fn kept(name: &str, milliseconds: u64, ending: KeptEnding) -> KeptRequest {
    let sent_at = at(9_000);
    let ended_at = sent_at + at(milliseconds);
    KeptRequest { request: name.to_string(), gateway: 1, is_first: false, sent_at, ended_at, ending }
}

#[test]
fn a_request_on_a_kept_connection_that_ran_is_answered() {
    let mut records = Records { kept: vec![kept("r", 50, KeptEnding::Closed)], ..Records::default() };
    assert!(broken(&records).is_empty(), "it may have been on its way when the connection ended");
    records.runs.push(run("r", 9_010));
    assert_eq!(broken(&records), [KEPT]);
    records.kept[0].ending = KeptEnding::Answered;
    assert!(broken(&records).is_empty());
}

#[test]
fn a_request_on_a_kept_connection_is_not_held_and_dropped() {
    let mut records = Records { kept: vec![kept("r", 250, KeptEnding::Closed)], ..Records::default() };
    assert_eq!(broken(&records), [KEPT]);
    records.kept[0] = kept("r", 2_000, KeptEnding::Closed);
    assert!(broken(&records).is_empty(), "it had its route's whole time");
    records.kept[0] = KeptRequest { is_first: true, ..kept("r", 250, KeptEnding::Closed) };
    assert!(broken(&records).is_empty(), "the proxy of a process that is down may have held it");
    records.runs.push(run("r", 9_010));
    assert_eq!(broken(&records), [KEPT], "it ran");
}

#[test]
fn a_fault_of_its_gateway_or_engine_excuses_a_connection_that_ended() {
    let fault = |party, from, until: Option<u64>| Disturbance { party, from: at(from), until: until.map(at) };
    let with = |disruption| Records {
        kept: vec![kept("r", 250, KeptEnding::Closed)],
        runs: vec![run("r", 9_010)],
        disruptions: vec![disruption],
        ..Records::default()
    };
    assert!(broken(&with(fault(Party::Gateway(1), 9_200, None))).is_empty());
    assert!(broken(&with(fault(Party::Engine(0), 5_000, Some(6_000)))).is_empty(), "it ended shortly before");
    assert_eq!(broken(&with(fault(Party::Gateway(1), 5_000, Some(5_999)))), [KEPT], "it ended long before");
    assert_eq!(broken(&with(fault(Party::Gateway(1), 9_251, None))), [KEPT], "it began later");
    assert_eq!(broken(&with(fault(Party::Gateway(2), 9_000, None))), [KEPT], "another gateway's");
    assert_eq!(broken(&with(fault(Party::Engine(1), 9_000, None))), [KEPT], "another engine's");
    let mut planned = with(fault(Party::Gateway(2), 9_000, None));
    planned.planned.push(fault(Party::Gateway(1), 8_000, None));
    assert_eq!(broken(&planned), [KEPT], "planned work is no excuse");
}

#[test]
fn recovery_is_judged_by_the_time_in_which_the_soak_was_not_late() {
    let since = at(10_000);
    let limit = since + RECOVERY_LIMIT;
    assert_eq!(judge(since, None, limit), Wait::InTime);
    assert_eq!(judge(since, None, limit + at(1)), Wait::Over);
    assert_eq!(judge(since, Some(at(9_000)), limit + at(1)), Wait::Over, "it was late before");
    assert_eq!(judge(since, Some(at(11_000)), limit + at(1_000)), Wait::InTime, "the time counts anew");
    assert_eq!(judge(since, Some(at(11_000)), limit + at(1_001)), Wait::Over);
    let hang = since + HANG_LIMIT;
    assert_eq!(judge(since, Some(hang), hang), Wait::InTime);
    assert_eq!(judge(since, Some(hang), hang + at(1)), Wait::NotJudged, "late all the time");
}

#[test]
fn members_are_read_from_a_leaders_line() {
    let line = r#"time=1.5 level=info event="members proposed" voters=2 learners=1 members="127.1.2.3:5 +127.1.2.4:5 127.1.2.30:5""#;
    let of = |peer: &str| membership_in(line, peer.parse().expect("an address"));
    assert_eq!(of("127.1.2.3:5"), MemberKind::Voter);
    assert_eq!(of("127.1.2.4:5"), MemberKind::Learner);
    assert_eq!(of("127.1.2.30:5"), MemberKind::Voter, "the last one");
    assert_eq!(of("127.1.2.5:5"), MemberKind::None);
    assert_eq!(membership_in("", "127.1.2.3:5".parse().expect("an address")), MemberKind::None);
}

#[test]
fn what_does_not_work_in_time_is_broken() {
    let journal = Journal::default();
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let began = std::time::Instant::now();
    runtime.block_on(async {
        let proof = Proof::begin("something works soon", &journal);
        proof.prove("it works at once".to_string(), || async { true }).await;
        proof.prove("it never works".to_string(), || async { false }).await;
    });
    assert!(began.elapsed() >= RECOVERY_LIMIT);
    let seen: Vec<_> = journal.read(|records| records.violations.clone());
    assert!(matches!(&seen[..], [one] if one.seen.contains("never works") && !one.time_bound), "{seen:?}");
}

/// The report of a soak with a broken promise of each kind, in which the soak itself was late.
fn report_after(own_lag: Duration) -> Report {
    let journal = Journal::default();
    journal.violation("something lasts", "it was lost".to_string());
    journal.late("something comes soon", "it came late".to_string());
    journal.write(|records| records.own_lag = own_lag);
    Report::new("14".parse().expect("a case"), 0, &journal)
}

#[test]
fn findings_about_times_are_judged_unless_the_soak_was_late() {
    let report = report_after(LATENESS_LIMIT);
    assert_eq!((report.violations.len(), report.not_judged.len()), (2, 0));
    assert!(!report.to_string().contains("not judged"));
    let report = report_after(LATENESS_LIMIT + at(1));
    assert_eq!((report.violations.len(), report.not_judged.len()), (1, 1));
    assert!(!report.is_clean(), "what has no time bound is judged");
    assert!(report.to_string().contains("not judged"));
}
