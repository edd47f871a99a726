//! Admission, times of return and hedges.

use saddlerelay_scheduling::admission::{decide, hedge_helps, rejection};
use saddlerelay_scheduling::{
    Admission, AgedReport, EngineLoad, HedgeBudget, LoadReport, ObservedWork, RejectReason, RequestTimes, ServiceLoad,
};
use std::time::Duration;

const DRAWS: u64 = 1_000;

fn engine(header: &str, age_ms: u64, rejected: bool) -> EngineLoad {
    let report = LoadReport::parse(header).expect("the header is malformed");
    EngineLoad {
        slots: 6,
        in_own_zone: true,
        penalty: 0,
        failed_age: None,
        rejected,
        report: Some(AgedReport { report, age: Duration::from_millis(age_ms) }),
        own_in_flight: 0,
        own_since_report: 0,
        work: Some(ObservedWork { seconds: 0.025, age: Duration::ZERO }),
    }
}

fn failed(age_ms: u64) -> EngineLoad {
    EngineLoad { penalty: 2, failed_age: Some(Duration::from_millis(age_ms)), ..engine("0,0,6,100", 0, false) }
}

fn times(priority: u32) -> RequestTimes {
    let (to_objective, to_deadline) = (Duration::from_millis(150), Duration::from_secs(2));
    RequestTimes { to_objective, to_deadline, priority }
}

/// Number of requests out of `DRAWS` that are rejected.
fn rejected(engines: &[EngineLoad]) -> u64 {
    let load = ServiceLoad::new(engines.to_vec());
    (0..DRAWS).filter(|random| decide(&load, &times(0), *random).is_err()).count() as u64
}

/// Guards against rejections while slots are free or nobody waits, or while an engine has no report.
#[test]
fn nothing_is_rejected_while_an_engine_may_have_room() {
    let full = engine("6,24,6,100", 0, true);
    assert_eq!(rejected(std::slice::from_ref(&full)), DRAWS);
    assert_eq!(rejected(&[full.clone(), engine("2,0,6,100", 0, false)]), 0);
    assert_eq!(rejected(&[full.clone(), engine("6,3,6,100", 0, false)]), 0);
    assert_eq!(rejected(&[full, EngineLoad { report: None, ..engine("2,0,6,100", 0, false) }]), 0);
    assert_eq!(rejected(&[engine("2,0,6,100", 0, true)]), 0, "an engine rejects without waiting requests");
    assert_eq!(rejected(&[engine("3,0,6,2000", 0, false)]), 0, "slow engines with free slots are used");
    assert_eq!(rejected(&[]), 0);
}

/// Guards against requests that are sent although their answer would come too late.
#[test]
fn requests_that_would_be_late_are_rejected() {
    let slow = engine("6,20,6,250", 0, false);
    assert_eq!(rejected(std::slice::from_ref(&slow)), DRAWS);
    let load = ServiceLoad::new(vec![slow]);
    let rejection = decide(&load, &times(0), 1).expect_err("the request was admitted");
    assert_eq!(rejection.reason, RejectReason::Late);
    assert!(rejection.expected > Duration::from_millis(150), "{rejection:?}");
    let long = RequestTimes { to_objective: Duration::from_secs(1), ..times(0) };
    assert_eq!(decide(&load, &long, 1), Ok(Admission::Choose));
}

/// Guards against a relay that rejects forever by old reports.
#[test]
fn older_reports_reject_fewer_requests() {
    let [half, quarter, few] = [300, 600, 3_000].map(|age_ms| rejected(&[engine("6,24,6,100", age_ms, true)]));
    assert!((450..550).contains(&half) && (200..300).contains(&quarter) && few < 10, "{half} {quarter} {few}");
}

/// Guards against an engine that is back and stays unused while callers are rejected, and against all requests trying an
/// engine that is gone.
#[test]
fn a_failed_engine_is_tried_again_when_all_others_are_full() {
    let full = || engine("6,24,6,100", 0, true);
    let decision = |engines| decide(&ServiceLoad::new(engines), &times(0), 1);
    assert_eq!(decision(vec![full(), failed(400)]), Ok(Admission::Probe(1)));
    assert!(decision(vec![full(), failed(100)]).is_err());
    let tried = EngineLoad { penalty: 6, ..failed(400) };
    assert!(decision(vec![full(), tried]).is_err());
    assert_eq!(decision(vec![failed(100)]), Ok(Admission::Choose), "without other engines as without reports");
}

/// Guards against callers that return at the same time, too late for their objective, or in reverse order of urgency.
#[test]
fn callers_return_in_time_spread_and_by_priority() {
    let load = ServiceLoad::new(vec![engine("6,10,6,100", 0, true), engine("6,10,6,100", 0, true)]);
    let returns = |load: &ServiceLoad, times: RequestTimes| -> Vec<f64> {
        let after = |random| rejection(load, &times, random, RejectReason::Full).retry_after.as_secs_f64();
        (0..DRAWS).map(after).collect()
    };
    let urgent = returns(&load, times(0));
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
    assert!(urgent.iter().all(|seconds| (0.004..0.08).contains(seconds)));
    assert!(urgent.iter().filter(|seconds| **seconds < mean(&urgent)).count() > 300);
    assert!(mean(&returns(&load, times(2))) > mean(&urgent));
    // No return can be in time: callers come back while the backlog drains.
    let slow = ServiceLoad::new(vec![engine("6,24,6,500", 0, true)]);
    let late = returns(&slow, times(0));
    assert!(late.iter().all(|seconds| (0.3..=0.667).contains(seconds)));
    let latest = late.iter().filter(|seconds| **seconds > 0.666).count();
    assert!(latest < 20, "{latest} return at the longest time that callers honor");
    let short = RequestTimes { to_deadline: Duration::from_millis(300), ..times(0) };
    assert!(returns(&slow, short).iter().all(|seconds| *seconds <= 0.1 + 1e-9));
    let gone = returns(&ServiceLoad::new(vec![failed(0)]), times(0));
    assert!(gone.iter().all(|seconds| *seconds <= 2.0 / 3.0));
}

/// Guards against hedges that add load when there is least room, and against a share of hedges without a bound.
#[test]
fn hedges_need_idle_engines_and_are_bounded() {
    let helps = |engines| hedge_helps(&ServiceLoad::new(engines));
    assert!(helps(vec![engine("6,0,6,100", 0, false)]));
    assert!(!helps(vec![engine("6,0,6,100", 0, false), engine("6,1,6,100", 900, false)]));
    assert!(helps(vec![engine("6,1,6,100", 1_100, false)]));
    let mut budget = HedgeBudget::default();
    let mut hedges = 0;
    for _ in 0..DRAWS {
        budget.add_request();
        hedges += u64::from(budget.take_hedge());
    }
    assert!((50..=56).contains(&hedges), "{hedges}");
}
