//! Each check reports the violation that it is meant for, and none in conforming records.

use saddlerelay_soak_runner::checks::{
    AT_MOST_ONCE, ATTEMPTS, CONFIGURATION, CRASHING_WORK, DRAINED_ENGINES, JOB_ENDS, KEEP_ALIVE_ANSWERED, NOT_EXECUTED,
    ORDERS, RESULTS, SCORE_STAMPS, SINGLE_VERSION, STALENESS, check,
};
use saddlerelay_soak_runner::convergence::{ConvergenceCheck, HANG_LIMIT, RECOVERY_LIMIT, Wait, evaluate};
use saddlerelay_soak_runner::deployment::{MembershipRole, parse_membership};
use saddlerelay_soak_runner::journal::{
    ClientRequest, Disturbance, JobRecord, Journal, KeepAliveOutcome, KeepAliveRequest, OrderRecord, Outcome,
    ReadDocument, Records, ResultRecord, Run, SentDocument,
};
use saddlerelay_soak_runner::links::Party;
use saddlerelay_soak_runner::report::{LAG_LIMIT, Report};
use saddlerelay_soak_runner::workload::{
    self, FIRST_CRASHING_ITEM, Features, IDEMPOTENT, NON_IDEMPOTENT, REROUTED, ROLLOUTS,
};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemEnd, ItemId, JobId};
use std::time::Duration;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn run(request: &str, milliseconds: u64) -> Run {
    Run {
        at: at(milliseconds),
        instance: InstanceId::without_start_time("engine-0-1"),
        service: "web-a".to_string(),
        request: request.to_string(),
        job: None,
        crashing: None,
    }
}

fn request(name: &str, prefix: &'static str, outcome: Outcome) -> ClientRequest {
    ClientRequest { request: name.to_string(), prefix, sent_at: at(5_000), ended_at: at(5_100), outcome }
}

fn violated_invariants(records: &Records) -> Vec<&'static str> {
    check(records).into_iter().map(|violation| violation.invariant).collect()
}

#[test]
fn a_request_reported_as_not_executed_must_not_run() {
    let mut records =
        Records { requests: vec![request("r", IDEMPOTENT, Outcome::NotExecuted(503))], ..Records::default() };
    assert!(violated_invariants(&records).is_empty());
    records.runs.push(run("r", 5_050));
    assert_eq!(violated_invariants(&records), [NOT_EXECUTED]);
}

#[test]
fn a_failed_request_may_have_run() {
    let requests =
        vec![request("r", NON_IDEMPOTENT, Outcome::Failed(502)), request("s", NON_IDEMPOTENT, Outcome::Incomplete)];
    let records = Records { requests, runs: vec![run("r", 5_050), run("s", 5_050)], ..Records::default() };
    assert!(violated_invariants(&records).is_empty());
}

#[test]
fn a_non_idempotent_request_runs_at_most_once() {
    let requests = vec![request("r", NON_IDEMPOTENT, Outcome::Complete), request("s", IDEMPOTENT, Outcome::Complete)];
    let runs = vec![run("r", 5_010), run("s", 5_020), run("s", 5_030)];
    let mut records = Records { requests, runs, ..Records::default() };
    assert!(violated_invariants(&records).is_empty());
    records.runs.push(run("r", 5_050));
    assert_eq!(violated_invariants(&records), [AT_MOST_ONCE]);
}

#[test]
fn a_request_runs_no_more_often_than_its_route_allows() {
    let runs = (0..4).map(|number| run("r", 5_010 + number)).collect();
    let records = Records { requests: vec![request("r", IDEMPOTENT, Outcome::Complete)], runs, ..Records::default() };
    assert_eq!(violated_invariants(&records), [ATTEMPTS]);
}

#[test]
fn a_draining_engine_receives_no_new_work_after_the_bound() {
    let drains_acknowledged_at = [(InstanceId::without_start_time("engine-0-1"), at(1_000))].into();
    let mut records = Records { drains_acknowledged_at, runs: vec![run("r", 2_990)], ..Records::default() };
    assert!(violated_invariants(&records).is_empty());
    records.runs.push(run("s", 3_010));
    assert_eq!(violated_invariants(&records), [DRAINED_ENGINES]);
    records.resumptions.push(at(2_900));
    assert!(violated_invariants(&records).is_empty(), "work in progress when a process resumed may still arrive");
}

fn document(version: u64, rerouted_to: &'static str, sent: u64, acknowledged: Option<u64>) -> SentDocument {
    let body = serde_json::to_vec(&workload::document(Features::All, version, rerouted_to, 0))
        .expect("the document can be encoded");
    SentDocument { version, rerouted_to, body, sent_at: at(sent), acknowledged_at: acknowledged.map(at) }
}

#[test]
fn a_request_follows_the_newest_document_after_the_bound() {
    let documents = vec![document(1, "web-a", 0, Some(100)), document(2, "web-b", 2_000, Some(2_900))];
    let requests = vec![request("r", REROUTED, Outcome::Complete)];
    let mut records = Records { documents, requests, runs: vec![run("r", 5_010)], ..Records::default() };
    assert_eq!(violated_invariants(&records), [CONFIGURATION]);
    records.documents[1].acknowledged_at = Some(at(3_100));
    assert!(violated_invariants(&records).is_empty(), "the bound has not passed");
}

#[test]
fn a_document_that_may_be_committed_may_be_followed() {
    let documents = vec![document(1, "web-b", 0, Some(100)), document(2, "web-a", 4_000, None)];
    let requests = vec![request("r", REROUTED, Outcome::Complete)];
    let records = Records { documents, requests, runs: vec![run("r", 5_010)], ..Records::default() };
    assert!(violated_invariants(&records).is_empty());
}

#[test]
fn a_read_shows_the_newest_document_as_it_was_sent() {
    let documents = vec![document(1, "web-a", 0, Some(100)), document(2, "web-b", 200, Some(300))];
    let read = |body: Option<Vec<u8>>| ReadDocument { requested_at: at(400), body };
    let (old, new) = (documents[0].body.clone(), documents[1].body.clone());
    let other =
        serde_json::to_vec(&workload::document(Features::All, 2, "web-a", 1)).expect("the document can be encoded");
    let with = |body| Records { documents: documents.clone(), reads: vec![read(body)], ..Records::default() };
    assert!(violated_invariants(&with(Some(new))).is_empty());
    for body in [Some(old), Some(other), None] {
        assert_eq!(violated_invariants(&with(body)), [CONFIGURATION]);
    }
}

const ITEM: &str = "j-item-0";

fn result(versions: &[u64], text: &[(u32, u64)]) -> ResultRecord {
    let path = format!("{ROLLOUTS}j/0");
    let lines: Vec<String> =
        text.iter().map(|(number, version)| workload::event_data(&path, *number, *version)).collect();
    ResultRecord {
        item: ItemId(ITEM.to_string()),
        end: ItemEnd::Completed,
        text: lines.join("\n").into_bytes(),
        versions: versions.to_vec(),
        score: Some("engine-0-1".to_string()),
    }
}

fn records_of(results: Vec<ResultRecord>) -> Records {
    let observed = JobRecord {
        items: [(ItemId(ITEM.to_string()), 2)].into(),
        minimum_version: 2,
        acknowledged_at: Some(at(100)),
        results: (0..).zip(results).collect(),
        ..JobRecord::default()
    };
    let events = (1..=2).flat_map(|number| (1..=3).map(move |version| (ITEM.to_string(), number, version)));
    Records {
        jobs: [(JobId("j".to_string()), observed)].into(),
        runs: vec![run(&workload::score_request(ITEM), 400)],
        events: events.collect(),
        ..Records::default()
    }
}

#[test]
fn a_result_is_complete_and_lists_the_versions_that_generated_it() {
    assert!(violated_invariants(&records_of(vec![result(&[2, 3], &[(1, 2), (2, 3)])])).is_empty());
    assert_eq!(violated_invariants(&records_of(vec![result(&[2], &[(1, 2)])])), [RESULTS], "an event is missing");
    assert_eq!(
        violated_invariants(&records_of(vec![result(&[2], &[(1, 2), (2, 3)])])),
        [RESULTS],
        "a version is not listed"
    );
    assert_eq!(
        violated_invariants(&records_of(vec![result(&[4], &[(1, 4), (2, 4)])])),
        [RESULTS; 2],
        "the events were never generated"
    );
}

#[test]
fn a_completed_item_carries_the_stamp_of_an_engine_that_scored_it() {
    let scored = result(&[2], &[(1, 2), (2, 2)]);
    let with =
        |score: Option<&str>| records_of(vec![ResultRecord { score: score.map(str::to_string), ..scored.clone() }]);
    assert!(violated_invariants(&with(Some("engine-0-1"))).is_empty());
    assert_eq!(violated_invariants(&with(None)), [SCORE_STAMPS]);
    assert_eq!(violated_invariants(&with(Some("engine-3-1"))), [SCORE_STAMPS], "the stamp is of another engine");
    let never_called = Records { runs: Vec::new(), ..with(Some("engine-0-1")) };
    assert_eq!(violated_invariants(&never_called), [SCORE_STAMPS]);
}

#[test]
fn an_item_is_listed_once() {
    let complete = result(&[2], &[(1, 2), (2, 2)]);
    assert_eq!(violated_invariants(&records_of(vec![complete.clone(), complete])), [RESULTS]);
}

#[test]
fn no_text_is_older_than_the_minimum_version_of_its_job() {
    assert_eq!(violated_invariants(&records_of(vec![result(&[1, 2], &[(1, 1), (2, 2)])])), [STALENESS]);
}

#[test]
fn an_item_is_aborted_only_after_its_attempts_or_the_cancellation() {
    let aborted = ResultRecord { end: ItemEnd::Aborted, text: Vec::new(), versions: Vec::new(), ..result(&[], &[]) };
    let mut records = records_of(vec![aborted]);
    assert_eq!(violated_invariants(&records), [RESULTS]);
    records.item_failures.insert(ITEM.to_string(), 2);
    records.item_failures.insert(workload::score_request(ITEM), 2);
    assert_eq!(violated_invariants(&records), [RESULTS], "neither reached the attempt limit");
    records.item_failures.insert(workload::score_request(ITEM), 3);
    assert!(violated_invariants(&records).is_empty());
    records.item_failures = [(ITEM.to_string(), 3)].into();
    assert!(violated_invariants(&records).is_empty());
}

#[test]
fn no_work_of_a_rejected_or_cancelled_job_runs() {
    let item_run = Run { job: Some(JobId("j".to_string())), ..run(ITEM, 4_500) };
    let with = |change: fn(&mut JobRecord)| {
        let mut records = Records { runs: vec![item_run.clone()], ..records_of(Vec::new()) };
        records.jobs.values_mut().for_each(change);
        records
    };
    assert!(violated_invariants(&with(|job| job.ended_at = Some(at(2_000)))).is_empty());
    assert_eq!(violated_invariants(&with(|job| job.ended_at = Some(at(1_000)))), [JOB_ENDS]);
    assert_eq!(violated_invariants(&with(|job| job.rejected = true)), [JOB_ENDS]);
}

#[test]
fn orders_come_from_one_holder_at_a_time() {
    let order_to = |engine: &str, milliseconds, holder: &str, fence| OrderRecord {
        at: at(milliseconds),
        instance: InstanceId::without_start_time(engine),
        holder: holder.to_string(),
        fence,
    };
    let order = |milliseconds, holder: &str, fence| order_to("engine-4-1", milliseconds, holder, fence);
    let with = |orders| Records { orders, ..Records::default() };
    assert!(violated_invariants(&with(vec![order(1_000, "a", 1), order(4_100, "b", 2)])).is_empty());
    assert_eq!(
        violated_invariants(&with(vec![order(1_000, "a", 1), order(3_900, "b", 2)])),
        [ORDERS],
        "holders change within the lease"
    );
    assert_eq!(
        violated_invariants(&with(vec![order(1_000, "a", 1), order(4_100, "b", 1)])),
        [ORDERS],
        "two holders share a fencing token"
    );
    let between = order_to("engine-5-1", 2_000, "a", 1);
    let consecutive = vec![order(1_000, "a", 1), between, order(3_900, "b", 2)];
    assert_eq!(
        violated_invariants(&with(consecutive)),
        [ORDERS],
        "an order to another engine in between changes nothing"
    );
    assert_eq!(
        violated_invariants(&with(vec![order(1_000, "b", 2), order(5_000, "a", 1)])),
        [ORDERS],
        "the fencing token decreases"
    );
    let shared = vec![order(1_000, "a", 1), order_to("engine-5-1", 9_000, "b", 1)];
    assert_eq!(violated_invariants(&with(shared)), [ORDERS], "a fencing token shared across engines");
    let other_engine = vec![order(1_000, "a", 1), order_to("engine-5-1", 1_100, "b", 2)];
    assert!(violated_invariants(&with(other_engine)).is_empty(), "the lease applies per engine");
}

#[test]
fn work_that_has_crashed_three_engines_reaches_few_more() {
    let crashing = |milliseconds| Run { crashing: Some(1), ..run("c", milliseconds) };
    let mut records = Records::default();
    // Three crash; requests within the propagation bound do not count.
    records.runs.extend([1_000, 1_100, 1_200, 1_300, 4_100].map(crashing));
    records.runs.extend([5_000, 6_000, 7_000].map(crashing));
    assert!(violated_invariants(&records).is_empty());
    records.runs.push(crashing(8_000));
    assert_eq!(violated_invariants(&records), [CRASHING_WORK]);
}

/// Items are owed, so that they may reach further engines, but only one in the longest pause.
#[test]
fn an_item_that_has_crashed_three_engines_reaches_more_only_after_pauses() {
    let crashing = |milliseconds| Run { crashing: Some(FIRST_CRASHING_ITEM), ..run("c", milliseconds) };
    let mut records = Records::default();
    records.runs.extend([1_000, 1_100, 1_200].map(crashing));
    records.runs.extend([5_000, 7_000, 9_000, 11_000, 13_000].map(crashing));
    assert!(violated_invariants(&records).is_empty());
    records.runs.extend([13_100, 13_200, 13_300].map(crashing));
    assert_eq!(violated_invariants(&records), [CRASHING_WORK]);
}

#[test]
fn a_text_of_several_versions_is_a_violation_where_the_route_allows_one() {
    let with = |features| {
        let body =
            serde_json::to_vec(&workload::document(features, 1, "web-a", 0)).expect("the document can be encoded");
        let documents = vec![SentDocument { body, ..document(1, "web-a", 0, Some(100)) }];
        Records { documents, ..records_of(vec![result(&[2, 3], &[(1, 2), (2, 3)])]) }
    };
    assert!(violated_invariants(&with(Features::All)).is_empty());
    assert_eq!(violated_invariants(&with(Features::SingleVersion)), [SINGLE_VERSION]);
}

/// A request on a keep-alive connection to gateway 1 that ended this many milliseconds after it was sent.
fn keep_alive(name: &str, milliseconds: u64, outcome: KeepAliveOutcome) -> KeepAliveRequest {
    let sent_at = at(9_000);
    let ended_at = sent_at + at(milliseconds);
    KeepAliveRequest { request: name.to_string(), gateway: 1, is_first: false, sent_at, ended_at, outcome }
}

#[test]
fn an_executed_request_on_a_keep_alive_connection_is_answered() {
    let mut records = Records { keep_alive: vec![keep_alive("r", 50, KeepAliveOutcome::Closed)], ..Records::default() };
    assert!(
        violated_invariants(&records).is_empty(),
        "the request may have been in transit when the connection was closed"
    );
    records.runs.push(run("r", 9_010));
    assert_eq!(violated_invariants(&records), [KEEP_ALIVE_ANSWERED]);
    records.keep_alive[0].outcome = KeepAliveOutcome::Answered;
    assert!(violated_invariants(&records).is_empty());
}

#[test]
fn a_request_on_a_keep_alive_connection_is_not_held_and_dropped() {
    let mut records =
        Records { keep_alive: vec![keep_alive("r", 250, KeepAliveOutcome::Closed)], ..Records::default() };
    assert_eq!(violated_invariants(&records), [KEEP_ALIVE_ANSWERED]);
    records.keep_alive[0] = keep_alive("r", 2_000, KeepAliveOutcome::Closed);
    assert!(violated_invariants(&records).is_empty(), "the route's timeout had passed");
    records.keep_alive[0] = KeepAliveRequest { is_first: true, ..keep_alive("r", 250, KeepAliveOutcome::Closed) };
    assert!(violated_invariants(&records).is_empty(), "the proxy may have held the request while the process was down");
    records.runs.push(run("r", 9_010));
    assert_eq!(violated_invariants(&records), [KEEP_ALIVE_ANSWERED], "the request was executed");
}

#[test]
fn a_closed_connection_is_allowed_during_a_fault_of_its_gateway_or_engine() {
    let fault = |party, from, until: Option<u64>| Disturbance { party, from: at(from), until: until.map(at) };
    let with = |disruption| Records {
        keep_alive: vec![keep_alive("r", 250, KeepAliveOutcome::Closed)],
        runs: vec![run("r", 9_010)],
        fault_intervals: vec![disruption],
        ..Records::default()
    };
    assert!(violated_invariants(&with(fault(Party::Gateway(1), 9_200, None))).is_empty());
    assert!(
        violated_invariants(&with(fault(Party::Engine(0), 5_000, Some(6_000)))).is_empty(),
        "the fault ended shortly before"
    );
    assert_eq!(
        violated_invariants(&with(fault(Party::Gateway(1), 5_000, Some(5_999)))),
        [KEEP_ALIVE_ANSWERED],
        "the fault ended long before"
    );
    assert_eq!(
        violated_invariants(&with(fault(Party::Gateway(1), 9_251, None))),
        [KEEP_ALIVE_ANSWERED],
        "the fault began later"
    );
    assert_eq!(
        violated_invariants(&with(fault(Party::Gateway(2), 9_000, None))),
        [KEEP_ALIVE_ANSWERED],
        "the fault is of another gateway"
    );
    assert_eq!(
        violated_invariants(&with(fault(Party::Engine(1), 9_000, None))),
        [KEEP_ALIVE_ANSWERED],
        "the fault is of another engine"
    );
    let mut planned = with(fault(Party::Gateway(2), 9_000, None));
    planned.planned_work.push(fault(Party::Gateway(1), 8_000, None));
    assert_eq!(
        violated_invariants(&planned),
        [KEEP_ALIVE_ANSWERED],
        "planned work does not excuse a closed connection"
    );
}

#[test]
fn the_recovery_limit_restarts_after_lag_of_the_soak() {
    let since = at(10_000);
    let limit = since + RECOVERY_LIMIT;
    assert_eq!(evaluate(since, None, limit), Wait::InTime);
    assert_eq!(evaluate(since, None, limit + at(1)), Wait::Expired);
    assert_eq!(evaluate(since, Some(at(9_000)), limit + at(1)), Wait::Expired, "the lag was before the start");
    assert_eq!(evaluate(since, Some(at(11_000)), limit + at(1_000)), Wait::InTime, "the limit restarts");
    assert_eq!(evaluate(since, Some(at(11_000)), limit + at(1_001)), Wait::Expired);
    let hang = since + HANG_LIMIT;
    assert_eq!(evaluate(since, Some(hang), hang), Wait::InTime);
    assert_eq!(evaluate(since, Some(hang), hang + at(1)), Wait::Lagged, "the soak lagged until the hang limit");
}

#[test]
fn membership_is_parsed_from_a_members_proposed_line() {
    let line = r#"time=1.5 level=info event="members proposed" voters=2 learners=1 members="127.1.2.3:5 +127.1.2.4:5 127.1.2.30:5""#;
    let of = |peer: &str| parse_membership(line, peer.parse().expect("the address is valid"));
    assert_eq!(of("127.1.2.3:5"), MembershipRole::Voter);
    assert_eq!(of("127.1.2.4:5"), MembershipRole::Learner);
    assert_eq!(of("127.1.2.30:5"), MembershipRole::Voter, "the last member of the list");
    assert_eq!(of("127.1.2.5:5"), MembershipRole::None);
    assert_eq!(parse_membership("", "127.1.2.3:5".parse().expect("the address is valid")), MembershipRole::None);
}

#[test]
fn a_condition_that_does_not_hold_in_time_is_a_violation() {
    let journal = Journal::default();
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    let started = std::time::Instant::now();
    runtime.block_on(async {
        let check = ConvergenceCheck::begin("conditions hold in time", &journal);
        check.wait_for("condition that holds".to_string(), || async { true }).await;
        check.wait_for("condition that never holds".to_string(), || async { false }).await;
    });
    assert!(started.elapsed() >= RECOVERY_LIMIT);
    let observed: Vec<_> = journal.read(|records| records.violations.clone());
    assert!(
        matches!(&observed[..], [violation] if violation.observed.contains("never holds") && !violation.time_bound),
        "{observed:?}"
    );
}

/// The report of a soak with one violation of each kind, whose own tasks lagged by `own_lag`.
fn report_after(own_lag: Duration) -> Report {
    let journal = Journal::default();
    journal.violation("an invariant", "an observation".to_string());
    journal.timeout("a time limit", "a late observation".to_string());
    journal.write(|records| records.own_lag = own_lag);
    Report::new("14".parse().expect("the case is valid"), 0, &journal)
}

#[test]
fn exceeded_time_limits_are_violations_unless_the_soak_lagged() {
    let report = report_after(LAG_LIMIT);
    assert_eq!((report.violations.len(), report.inconclusive.len()), (2, 0));
    assert!(!report.to_string().contains("not judged"));
    let report = report_after(LAG_LIMIT + at(1));
    assert_eq!((report.violations.len(), report.inconclusive.len()), (1, 1));
    assert!(!report.is_clean(), "violations other than time limits count despite the lag");
    assert!(report.to_string().contains("not judged"));
}
