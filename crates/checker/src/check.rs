//! Checks the records of a run, one function per group of invariants.

use crate::measures::measure;
use crate::record::{CallerResult, Record};
use crate::report::{Counts, Invariant, Report, Violation};
use saddlerelay_types::configuration::ConfigurationOutcome;
use saddlerelay_types::identity::{EngineId, Position, TenantId};
use saddlerelay_types::request::{ExecutionOutcome, FailureCode};
use saddlerelay_types::rollout::SampleId;
use std::collections::{BTreeMap, BTreeSet};

/// Time limits and options of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time after an engine starts draining during which it may still receive new work, in milliseconds.
    pub leaving: u64,
    /// Time within which every relay must apply an accepted configuration, in milliseconds.
    pub configuration: u64,
    /// Whether the trainers must have received every sample of every opened step by the end of the run.
    pub all_samples: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self { leaving: 3_000, configuration: 4_000, all_samples: true }
    }
}

/// Whether the configuration change was accepted.
pub fn is_accepted(outcome: &ConfigurationOutcome) -> bool {
    matches!(outcome, ConfigurationOutcome::Accepted(_))
}

/// Checks all records of a run, ordered by time, against every invariant.
pub fn check(records: &[Record], limits: &Limits) -> Report {
    let mut ordered = records.to_vec();
    ordered.sort_by_key(time_of);
    drop_duplicate_receipts(&mut ordered);
    let records = &ordered;
    let mut report = Report { measures: measure(records), ..Report::default() };
    check_callers(records, &mut report);
    check_samples(records, limits, &mut report);
    check_staleness(records, limits, &mut report);
    check_leaving(records, limits, &mut report);
    check_changes(records, &mut report);
    check_probes(records, limits, &mut report);
    count_other_records(records, &mut report.counts);
    report
}

/// Drops duplicate records of one receipt, which a trainer writes if it is killed between saving its state and writing
/// the record. Duplicates have the same time; a redelivered sample has a later one and is kept.
fn drop_duplicate_receipts(records: &mut Vec<Record>) {
    let mut seen = BTreeSet::new();
    records.retain(|record| match record {
        Record::SampleReceived { at, position, sample, .. } => seen.insert((*at, *position, sample.clone())),
        _ => true,
    });
}

fn time_of(record: &Record) -> u64 {
    match record {
        Record::Execution { at, .. }
        | Record::Leaving { at, .. }
        | Record::EngineStarted { at, .. }
        | Record::Swap { at, .. }
        | Record::ServedUnconfirmed { at, .. }
        | Record::ReportedNotExecuted { at, .. }
        | Record::StepOpened { at, .. }
        | Record::SampleReceived { at, .. }
        | Record::Trained { at, .. }
        | Record::Published { at, .. }
        | Record::Fault { at, .. } => *at,
        Record::Caller { to, .. } | Record::Change { to, .. } | Record::Probe { to, .. } => *to,
    }
}

fn add_violation(report: &mut Report, promise: Invariant, detail: String) {
    report.violations.push(Violation { promise, detail });
}

/// Number of executions that engines admitted, by prompt.
fn executions(records: &[Record]) -> BTreeMap<&str, u64> {
    let mut counts = BTreeMap::new();
    for record in records {
        if let Record::Execution { prompt, .. } = record {
            *counts.entry(prompt.as_str()).or_default() += 1;
        }
    }
    counts
}

fn check_callers(records: &[Record], report: &mut Report) {
    let executions = executions(records);
    let only_planned_stops = records.iter().all(|record| !matches!(record, Record::Fault { planned: false, .. }));
    for record in records {
        match record {
            Record::Caller { prompt, repeatable, result, broken, .. } => {
                if only_planned_stops && *broken > 0 {
                    add_violation(
                        report,
                        Invariant::PlannedStop,
                        format!("{prompt}: interrupted {broken} times during planned stops"),
                    );
                }
                let executed = executions.get(prompt.as_str()).copied().unwrap_or(0);
                check_caller(prompt, *repeatable, executed, result, report);
            }
            Record::ReportedNotExecuted { prompt, .. } => {
                check_not_executed(prompt, executions.get(prompt.as_str()).copied().unwrap_or(0), report);
            }
            Record::ServedUnconfirmed { engine, .. } => {
                add_violation(
                    report,
                    Invariant::SampleVersions,
                    format!("{engine} admitted work with no confirmed version"),
                );
            }
            _ => {}
        }
    }
}

fn check_caller(prompt: &str, repeatable: bool, executed: u64, result: &CallerResult, report: &mut Report) {
    report.counts.requests += 1;
    if !repeatable {
        report.counts.non_repeatable += 1;
        if executed > 1 {
            report.counts.non_repeatable_doubled += 1;
            add_violation(
                report,
                Invariant::AtMostOnce,
                format!("{prompt}: executed {executed} times, but is not repeatable"),
            );
        }
    }
    match result {
        CallerResult::Answered { fault } => {
            report.counts.answered += 1;
            if let Some(fault) = fault {
                add_violation(report, Invariant::WholeAnswers, format!("{prompt}: {fault}"));
            }
            if executed == 0 {
                add_violation(
                    report,
                    Invariant::WholeAnswers,
                    format!("{prompt}: received a complete response, but no engine executed it"),
                );
            }
        }
        CallerResult::Failed { outcome, code, retry_after_given } => {
            count_failure(*outcome, &mut report.counts);
            if *outcome == ExecutionOutcome::NotExecuted {
                check_not_executed(prompt, executed, report);
            }
            if requires_retry_after(*code) && !retry_after_given {
                add_violation(
                    report,
                    Invariant::RetryAfter,
                    format!("{prompt}: rejected with {code:?} without a retry-after time"),
                );
            }
        }
        CallerResult::Lost => report.counts.lost += 1,
    }
}

fn check_not_executed(prompt: &str, executed: u64, report: &mut Report) {
    if executed > 0 {
        add_violation(
            report,
            Invariant::NotExecuted,
            format!("{prompt}: reported as not executed, but executed {executed} times"),
        );
    }
}

fn requires_retry_after(code: FailureCode) -> bool {
    matches!(
        code,
        FailureCode::NotReady
            | FailureCode::Stopping
            | FailureCode::Overloaded
            | FailureCode::NoEngine
            | FailureCode::Undecided
    )
}

fn count_failure(outcome: ExecutionOutcome, counts: &mut Counts) {
    match outcome {
        ExecutionOutcome::NotExecuted => counts.not_executed += 1,
        ExecutionOutcome::Unknown => counts.unknown += 1,
        ExecutionOutcome::FailedWhileExecuting => counts.failed_while_executing += 1,
    }
}

fn check_samples(records: &[Record], limits: &Limits, report: &mut Report) {
    let mut received: BTreeSet<&SampleId> = BTreeSet::new();
    let mut next_positions: BTreeMap<&TenantId, Position> = BTreeMap::new();
    for record in records {
        let Record::SampleReceived { tenant, position, sample, fault, .. } = record else {
            continue;
        };
        report.counts.samples_delivered += 1;
        if !received.insert(sample) {
            report.counts.samples_duplicated += 1;
            add_violation(report, Invariant::ExactlyOnce, format!("{sample}: received more than once"));
        }
        let expected = next_positions.entry(tenant).or_insert(Position(1));
        if *position != *expected {
            add_violation(
                report,
                Invariant::ExactlyOnce,
                format!("{sample}: received at position {position}, expected {expected}"),
            );
        }
        *expected = position.next();
        if let Some(fault) = fault {
            add_violation(report, Invariant::SampleVersions, format!("{sample}: {fault}"));
        }
    }
    let expected: u64 = records.iter().map(samples_opened).sum();
    report.counts.samples_expected = expected;
    report.counts.samples_missing = expected.saturating_sub(received.len() as u64);
    if limits.all_samples && report.counts.samples_missing > 0 {
        let detail = format!("{} of {expected} samples never received", report.counts.samples_missing);
        add_violation(report, Invariant::ExactlyOnce, detail);
    }
}

fn samples_opened(record: &Record) -> u64 {
    match record {
        Record::StepOpened { samples, .. } => u64::from(*samples),
        _ => 0,
    }
}

/// Checks each sample's staleness against the loosest bound that a relay may still apply: those accepted less than
/// `limits.configuration` ago, and the one before them.
fn check_staleness(records: &[Record], limits: &Limits, report: &mut Report) {
    let mut bounds: BTreeMap<&TenantId, Vec<(u64, u64)>> = BTreeMap::new();
    for record in records {
        match record {
            Record::Change { to, staleness_bound: Some((tenant, bound)), outcome, .. } if is_accepted(outcome) => {
                bounds.entry(tenant).or_default().push((*to, *bound));
            }
            Record::SampleReceived { at, tenant, sample, oldest, published, .. } => {
                let Some(bound) = bounds.get(tenant).and_then(|bounds| loosest_bound(bounds, *at, limits)) else {
                    continue;
                };
                let staleness = published.0.saturating_sub(oldest.0);
                if staleness > bound {
                    report.counts.samples_stale += 1;
                    add_violation(
                        report,
                        Invariant::Staleness,
                        format!("{sample}: {staleness} versions stale, bound {bound}"),
                    );
                }
            }
            _ => {}
        }
    }
}

/// The largest of the bounds that a relay may apply at time `at`; `bounds` holds the time of acceptance and the value.
fn loosest_bound(bounds: &[(u64, u64)], at: u64, limits: &Limits) -> Option<u64> {
    let latest_enforced = bounds.iter().rposition(|(accepted, _)| accepted + limits.configuration <= at).unwrap_or(0);
    bounds[latest_enforced..].iter().map(|(_, bound)| *bound).max()
}

fn check_leaving(records: &[Record], limits: &Limits, report: &mut Report) {
    let mut draining_since: BTreeMap<&EngineId, u64> = BTreeMap::new();
    for record in records {
        match record {
            Record::Leaving { at, engine } => {
                draining_since.entry(engine).or_insert(*at);
            }
            Record::EngineStarted { engine, .. } => {
                draining_since.remove(engine);
            }
            Record::Execution { at, engine, prompt, .. } => {
                let exceeded = draining_since.get(engine).filter(|since| *at > *since + limits.leaving);
                if let Some(since) = exceeded {
                    let detail = format!("{engine}: admitted {prompt} {} ms after it started draining", at - since);
                    add_violation(report, Invariant::Leaving, detail);
                }
            }
            _ => {}
        }
    }
}

/// Checks that at most one change is accepted per expected revision of an object, and that every retry under one
/// idempotency key gets the same outcome.
fn check_changes(records: &[Record], report: &mut Report) {
    let mut accepted_keys: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    let mut outcomes: BTreeMap<&str, &ConfigurationOutcome> = BTreeMap::new();
    for record in records {
        let Record::Change { object, key, expected, outcome, .. } = record else {
            continue;
        };
        if let Some(first) = outcomes.insert(key, outcome)
            && first != outcome
        {
            add_violation(
                report,
                Invariant::Configuration,
                format!("idempotency key {key}: outcome {first:?}, then {outcome:?}"),
            );
        }
        if !is_accepted(outcome) {
            continue;
        }
        report.counts.changes_accepted += 1;
        if let Some(expected) = expected
            && let Some(other) = accepted_keys.insert((object, expected.0), key)
            && other != key
        {
            let detail = format!("{object} at revision {expected}: both {other} and {key} were accepted");
            add_violation(report, Invariant::Configuration, detail);
        }
    }
}

/// Checks that an unfenced relay applies each accepted configuration within the limit and never reverts to an earlier
/// one.
fn check_probes(records: &[Record], limits: &Limits, report: &mut Report) {
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    let mut newest_values: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        match record {
            Record::Change { to, probe: Some(probe), outcome, .. } if is_accepted(outcome) => {
                accepted.push((*to, *probe));
            }
            Record::Probe { from, relay, value: Some(value), .. } => {
                let due = accepted.iter().filter(|(at, _)| at + limits.configuration <= *from);
                let due = due.map(|(_, probe)| *probe).max().unwrap_or(0);
                if *value < due {
                    let detail = format!("{relay}: applies probe value {value}, but {due} is overdue");
                    add_violation(report, Invariant::Configuration, detail);
                }
                let newest = newest_values.entry(relay).or_insert(*value);
                if value < newest {
                    add_violation(
                        report,
                        Invariant::Configuration,
                        format!("{relay}: reverted from probe value {newest} to {value}"),
                    );
                }
                *newest = (*newest).max(*value);
            }
            _ => {}
        }
    }
}

fn count_other_records(records: &[Record], counts: &mut Counts) {
    for record in records {
        match record {
            Record::Execution { .. } => counts.executions += 1,
            Record::Published { .. } => counts.versions_published += 1,
            Record::Fault { .. } => counts.faults += 1,
            _ => {}
        }
    }
}
