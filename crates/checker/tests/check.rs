//! The checker reports each kind of violation, and none for a valid run.

use saddlerelay_checker::check::{Limits, check};
use saddlerelay_checker::record::{CallerResult, Record};
use saddlerelay_checker::report::Invariant;
use saddlerelay_types::configuration::{ConfigurationOutcome, ObjectName, ObjectState};
use saddlerelay_types::identity::{CallerId, EngineId, Position, Revision, StepNumber, TenantId, WeightVersion};
use saddlerelay_types::request::{ExecutionOutcome, FailureCode, Priority};
use saddlerelay_types::rollout::SampleId;

fn execution(at: u64, prompt: &str) -> Record {
    Record::Execution {
        at,
        engine: EngineId::new("engine-1"),
        prompt: prompt.to_string(),
        attempt_id: at,
        resumed: 0,
        priority: Priority::Interactive,
    }
}

fn caller(prompt: &str, repeatable: bool, result: CallerResult) -> Record {
    Record::Caller {
        from: 100,
        to: 200,
        tenant: TenantId::new("prices"),
        class: Priority::Interactive,
        caller: CallerId::new("tellers"),
        prefix: 0,
        prompt: prompt.to_string(),
        repeatable,
        sends: 1,
        broken: 0,
        first_token_after: Some(10),
        result,
    }
}

fn answered() -> CallerResult {
    CallerResult::Answered { fault: None }
}

fn failed(outcome: ExecutionOutcome, code: FailureCode, retry_after_given: bool) -> CallerResult {
    CallerResult::Failed { outcome, code, retry_after_given }
}

fn sample(position: u64, member: u32, oldest: u64, published: u64) -> Record {
    let tenant = TenantId::new("notice-training");
    Record::SampleReceived {
        at: 300 + position,
        tenant: tenant.clone(),
        position: Position(position),
        sample: SampleId { tenant, step: StepNumber(1), prompt: 0, member },
        oldest: WeightVersion(oldest),
        published: WeightVersion(published),
        fault: None,
    }
}

fn change(at: u64, key: &str, expected: u64, outcome: ConfigurationOutcome) -> Record {
    Record::Change {
        from: at,
        to: at,
        object: "tenant probe".to_string(),
        key: key.to_string(),
        expected: Some(Revision(expected)),
        outcome,
        staleness_bound: None,
        probe: None,
    }
}

fn accepted_bound(at: u64, bound: u64) -> Record {
    Record::Change {
        from: at,
        to: at,
        object: "tenant notice-training".to_string(),
        key: format!("bound-{at}"),
        expected: None,
        outcome: ConfigurationOutcome::Accepted(Revision(at)),
        staleness_bound: Some((TenantId::new("notice-training"), bound)),
        probe: None,
    }
}

fn accepted_probe(at: u64, probe: u64) -> Record {
    Record::Change {
        from: at,
        to: at,
        object: "tenant probe".to_string(),
        key: format!("probe-{at}"),
        expected: None,
        outcome: ConfigurationOutcome::Accepted(Revision(probe)),
        staleness_bound: None,
        probe: Some(probe),
    }
}

fn probe(at: u64, value: Option<u64>) -> Record {
    Record::Probe { from: at, to: at, relay: "relay-1".to_string(), value }
}

fn step(samples: u32) -> Record {
    Record::StepOpened { at: 250, tenant: TenantId::new("notice-training"), step: StepNumber(1), samples }
}

fn violated_invariants(records: &[Record]) -> Vec<Invariant> {
    let mut violated_invariants: Vec<_> =
        check(records, &Limits::default()).violations.iter().map(|violation| violation.promise).collect();
    violated_invariants.dedup();
    violated_invariants
}

#[test]
fn a_valid_run_has_no_violations() {
    let records = [
        execution(110, "a"),
        caller("a", false, answered()),
        caller("b", false, failed(ExecutionOutcome::NotExecuted, FailureCode::Overloaded, true)),
        accepted_bound(1, 1),
        step(2),
        sample(1, 0, 2, 3),
        sample(2, 1, 3, 3),
        change(400, "k1", 1, ConfigurationOutcome::Accepted(Revision(2))),
        accepted_probe(500, 7),
        probe(600, None),
        probe(5_000, Some(7)),
    ];
    assert_eq!(violated_invariants(&records), []);
}

#[test]
fn a_non_repeatable_request_executed_twice_is_a_violation() {
    let records = [execution(110, "a"), execution(120, "a"), caller("a", false, answered())];
    assert_eq!(violated_invariants(&records), [Invariant::AtMostOnce]);
    let repeatable = [execution(110, "a"), execution(120, "a"), caller("a", true, answered())];
    assert_eq!(violated_invariants(&repeatable), []);
}

#[test]
fn a_request_reported_as_not_executed_but_executed_is_a_violation() {
    let reported = failed(ExecutionOutcome::NotExecuted, FailureCode::NoEngine, true);
    assert_eq!(
        violated_invariants(&[execution(110, "a"), caller("a", true, reported.clone())]),
        [Invariant::NotExecuted]
    );
    assert_eq!(violated_invariants(&[caller("a", true, reported)]), []);
}

/// Sends without an idempotency key are separate requests, so each outcome is checked against its own send.
#[test]
fn a_send_reported_as_not_executed_but_executed_is_a_violation() {
    let reported = Record::ReportedNotExecuted { at: 150, prompt: "a".to_string() };
    let resent = [execution(180, "a send 2"), caller("a send 2", true, answered())];
    assert_eq!(violated_invariants(&[vec![reported.clone()], resent.to_vec()].concat()), []);
    let executed = [vec![reported, execution(110, "a")], resent.to_vec()].concat();
    assert_eq!(violated_invariants(&executed), [Invariant::NotExecuted]);
}

/// "Not executed" must remain true at any later time.
#[test]
fn a_request_reported_as_not_executed_and_executed_later_is_a_violation() {
    let reported = failed(ExecutionOutcome::NotExecuted, FailureCode::NoEngine, true);
    assert_eq!(violated_invariants(&[caller("a", false, reported), execution(90_000, "a")]), [Invariant::NotExecuted]);
}

#[test]
fn an_incomplete_response_or_one_without_an_execution_is_a_violation() {
    let defective = CallerResult::Answered { fault: Some("another request's tokens".to_string()) };
    assert_eq!(violated_invariants(&[execution(110, "a"), caller("a", true, defective)]), [Invariant::WholeAnswers]);
    assert_eq!(violated_invariants(&[caller("a", true, answered())]), [Invariant::WholeAnswers]);
}

#[test]
fn a_retryable_rejection_without_a_retry_after_time_is_a_violation() {
    let reported = failed(ExecutionOutcome::NotExecuted, FailureCode::Overloaded, false);
    assert_eq!(violated_invariants(&[caller("a", true, reported)]), [Invariant::RetryAfter]);
}

#[test]
fn a_sample_received_twice_out_of_order_or_never_is_a_violation() {
    let twice = [step(1), sample(1, 0, 1, 1), sample(2, 0, 1, 1)];
    assert_eq!(violated_invariants(&twice), [Invariant::ExactlyOnce]);
    let gap = [step(2), sample(1, 0, 1, 1), sample(3, 1, 1, 1)];
    assert_eq!(violated_invariants(&gap), [Invariant::ExactlyOnce]);
    assert_eq!(violated_invariants(&[step(2), sample(1, 0, 1, 1)]), [Invariant::ExactlyOnce]);
}

#[test]
fn duplicate_records_of_a_receipt_count_once() {
    assert_eq!(violated_invariants(&[step(1), sample(1, 0, 1, 1), sample(1, 0, 1, 1)]), []);
}

#[test]
fn a_sample_over_the_staleness_bound_is_a_violation() {
    assert_eq!(violated_invariants(&[accepted_bound(1, 1), step(1), sample(1, 0, 1, 3)]), [Invariant::Staleness]);
}

#[test]
fn a_lowered_staleness_bound_applies_after_the_configuration_limit() {
    let sample_at = |at| match sample(1, 0, 1, 3) {
        Record::SampleReceived { tenant, position, sample, oldest, published, fault, .. } => {
            Record::SampleReceived { at, tenant, position, sample, oldest, published, fault }
        }
        other => other,
    };
    let bounds = [accepted_bound(1, 2), accepted_bound(1_000, 1)];
    assert_eq!(violated_invariants(&[bounds[0].clone(), bounds[1].clone(), step(1), sample_at(2_000)]), []);
    assert_eq!(
        violated_invariants(&[bounds[0].clone(), bounds[1].clone(), step(1), sample_at(5_001)]),
        [Invariant::Staleness]
    );
}

#[test]
fn a_sample_that_lists_wrong_weight_versions_is_a_violation() {
    let mut wrong = sample(1, 0, 1, 1);
    if let Record::SampleReceived { fault, .. } = &mut wrong {
        *fault = Some("names version 2, tokens show 1".to_string());
    }
    assert_eq!(violated_invariants(&[step(1), wrong]), [Invariant::SampleVersions]);
}

#[test]
fn new_work_on_a_draining_engine_after_the_limit_is_a_violation() {
    let leaving = Record::Leaving { at: 100, engine: EngineId::new("engine-1") };
    let started = Record::EngineStarted { at: 2_000, engine: EngineId::new("engine-1") };
    let limit = Limits::default().leaving;
    let late = [leaving.clone(), execution(101 + limit, "a"), caller("a", true, answered())];
    assert_eq!(violated_invariants(&late), [Invariant::Leaving]);
    let early = [leaving.clone(), execution(100 + limit, "a"), caller("a", true, answered())];
    assert_eq!(violated_invariants(&early), []);
    let restarted = [leaving, started, execution(101 + limit, "a"), caller("a", true, answered())];
    assert_eq!(violated_invariants(&restarted), []);
}

#[test]
fn a_planned_stop_that_interrupts_a_request_is_a_violation() {
    let mut interrupted = caller("a", true, answered());
    if let Record::Caller { broken, .. } = &mut interrupted {
        *broken = 1;
    }
    let stop = |planned| Record::Fault { at: 50, what: "stop".to_string(), planned };
    assert_eq!(violated_invariants(&[stop(true), execution(110, "a"), interrupted.clone()]), [Invariant::PlannedStop]);
    assert_eq!(violated_invariants(&[stop(false), execution(110, "a"), interrupted]), []);
}

#[test]
fn two_accepted_changes_of_one_revision_or_two_outcomes_of_one_key_are_a_violation() {
    let accepted = |revision| ConfigurationOutcome::Accepted(Revision(revision));
    let both_accepted = [change(1, "k1", 4, accepted(5)), change(2, "k2", 4, accepted(6))];
    assert_eq!(violated_invariants(&both_accepted), [Invariant::Configuration]);
    let state = ObjectState { name: ObjectName::Tenant(TenantId::new("probe")), revision: Revision(5), value: None };
    let one_rejected =
        [change(1, "k1", 4, accepted(5)), change(2, "k2", 4, ConfigurationOutcome::RevisionMismatch(state))];
    assert_eq!(violated_invariants(&one_rejected), []);
    let two_outcomes = [change(1, "k1", 4, accepted(5)), change(2, "k1", 4, accepted(6))];
    assert_eq!(violated_invariants(&two_outcomes), [Invariant::Configuration]);
}

#[test]
fn a_relay_that_applies_a_configuration_late_or_reverts_it_is_a_violation() {
    let limit = Limits::default().configuration;
    let overdue = [accepted_probe(100, 1), accepted_probe(200, 2), probe(200 + limit, Some(1))];
    assert_eq!(violated_invariants(&overdue), [Invariant::Configuration]);
    let in_time = [accepted_probe(100, 1), accepted_probe(200, 2), probe(199 + limit, Some(1))];
    assert_eq!(violated_invariants(&in_time), []);
    let reverted = [accepted_probe(100, 1), accepted_probe(200, 2), probe(300, Some(2)), probe(400, Some(1))];
    assert_eq!(violated_invariants(&reverted), [Invariant::Configuration]);
    let fenced = [accepted_probe(100, 1), accepted_probe(200, 2), probe(200 + limit, None)];
    assert_eq!(violated_invariants(&fenced), []);
}

#[test]
fn a_request_admitted_by_an_engine_without_a_confirmed_version_is_a_violation() {
    let served = Record::ServedUnconfirmed { at: 10, engine: EngineId::new("engine-1") };
    assert_eq!(violated_invariants(&[served]), [Invariant::SampleVersions]);
}
