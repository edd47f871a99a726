//! Choice of an engine by reported load.

use saddlerelay_scheduling::LoadReport;
use saddlerelay_scheduling::balance::{AgedReport, EngineLoad, ObservedWork, ServiceLoad, work_sample};
use std::time::Duration;

fn observed(seconds: f64) -> Option<ObservedWork> {
    Some(ObservedWork { seconds, age: Duration::ZERO })
}

fn engine(in_own_zone: bool, report: Option<(&str, u64)>) -> EngineLoad {
    let report = report.map(|(header, age_ms)| AgedReport {
        report: LoadReport::parse(header).expect("the header is malformed"),
        age: Duration::from_millis(age_ms),
    });
    EngineLoad {
        slots: 6,
        in_own_zone,
        penalty: 0,
        failed_age: None,
        rejected: false,
        report,
        own_in_flight: 0,
        own_since_report: 0,
        work: observed(0.025),
    }
}

/// Requests out of 1,000 that each engine gets.
fn counts(engines: Vec<EngineLoad>) -> Vec<usize> {
    let service = ServiceLoad::new(engines);
    let mut counts = vec![0; service.engines().len()];
    for random in 0..1_000 {
        counts[service.choose(random).expect("no engine was chosen")] += 1;
    }
    counts
}

/// Guards against crossing zones without need, and against staying when the other zone is faster.
#[test]
fn the_own_zone_is_left_only_when_another_is_faster_with_the_crossing_counted() {
    let other = || engine(false, Some(("2,0,6,100", 0)));
    assert_eq!(counts(vec![engine(true, Some(("5,0,6,100", 0))), other()]), [1_000, 0]);
    assert_eq!(counts(vec![engine(true, Some(("6,2,6,100", 0))), other()]), [0, 1_000]);
    assert_eq!(counts(vec![engine(true, Some(("2,0,6,250", 0))), other()]), [0, 1_000]);
    assert_eq!(counts(vec![engine(true, Some(("2,0,6,250", 2_000))), other()]), [1_000, 0], "the figure is old");
}

/// Guards against all requests going to one engine between two reports.
#[test]
fn own_requests_count_at_once() {
    let mut busy = engine(true, Some(("6,0,6,100", 0)));
    busy.own_since_report = 3;
    assert_eq!(counts(vec![busy, engine(true, Some(("6,1,6,100", 0)))]), [0, 1_000]);
}

/// Guards against acting on old figures as if they were new: their difference shrinks to nothing.
#[test]
fn old_reports_approach_the_mean() {
    let estimate = |age| {
        let service =
            ServiceLoad::new(vec![engine(true, Some(("6,18,6,100", age))), engine(true, Some(("0,0,6,100", age)))]);
        service.engines().iter().map(|engine| service.occupancy(engine)).collect::<Vec<_>>()
    };
    assert_eq!(estimate(0), [24.0, 0.0]);
    let old = estimate(4_000);
    assert!((old[0] - 12.0).abs() < 1.0 && (old[1] - 12.0).abs() < 1.0, "{old:?}");
}

/// Guards against one fresh report of a full engine that makes engines with older reports look full too.
#[test]
fn a_full_engine_does_not_make_others_look_full() {
    let engines = vec![engine(true, Some(("6,24,6,100", 0))), engine(true, Some(("2,0,6,100", 300)))];
    assert_eq!(counts(engines), [0, 1_000]);
}

/// Guards against a load figure that stays at 100 while work takes three times as long.
#[test]
fn a_wrong_report_is_overruled_by_observed_times() {
    let honest = LoadReport::parse("3,0,6,300");
    let wrong = LoadReport::parse("3,0,6,100");
    let latency = Duration::from_millis(75);
    assert!((work_sample(latency, honest.as_ref()) - 0.025).abs() < 1e-9);
    assert!((work_sample(latency, wrong.as_ref()) - 0.075).abs() < 1e-9);
    let mut engines = vec![engine(true, Some(("3,0,6,100", 0))), engine(true, Some(("5,0,6,100", 0)))];
    engines[0].work = observed(work_sample(latency, wrong.as_ref()));
    assert_eq!(counts(engines), [0, 1_000]);
}

/// Guards against a slot count of a larger engine that is ignored, and against a service where some do not report.
#[test]
fn slots_weigh_and_engines_without_reports_get_requests() {
    let large = engine(true, Some(("6,2,24,100", 0)));
    assert_eq!(counts(vec![large, engine(true, Some(("6,2,6,100", 0)))]), [1_000, 0]);
    let mixed = counts(vec![engine(true, Some(("6,4,6,100", 0))), engine(true, None)]);
    assert!(mixed.iter().sum::<usize>() == 1_000 && mixed[1] > 0, "{mixed:?}");
    assert_eq!(ServiceLoad::new(Vec::new()).choose(1), None);
    assert_eq!(counts(vec![engine(false, None)]), [1_000]);
}

/// Guards against failed or tried engines that are chosen while another is left, and against alike engines of which one
/// gets everything.
#[test]
fn penalized_engines_come_last_and_equal_engines_share() {
    let mut tried = engine(true, Some(("0,0,6,100", 0)));
    tried.penalty = 4;
    assert_eq!(counts(vec![tried, engine(false, Some(("6,24,6,100", 0)))]), [0, 1_000]);
    let shares = counts((0..4).map(|_| engine(true, Some(("3,0,6,100", 0)))).collect());
    assert!(shares.iter().all(|count| (200..300).contains(count)), "{shares:?}");
}
