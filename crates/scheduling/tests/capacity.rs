//! Learning of engine capacities from intervals between events and load reports.

use saddlerelay_scheduling::capacity::CapacityModel;
use saddlerelay_scheduling::{CapacityEstimate, LoadReport};
use saddlerelay_types::instance::InstanceId;
use std::time::Duration;

const NEIGHBOR_SHARE: f64 = 0.0075;

fn instance(name: &str) -> InstanceId {
    InstanceId::without_start_time(name)
}

/// Feeds the events of `running` texts at one engine until `end`; `pace` returns the milliseconds per event of a text
/// alone at a time. Returns `end`.
fn run_texts(
    model: &mut CapacityModel,
    name: &str,
    running: u32,
    start: Duration,
    end: Duration,
    pace: impl Fn(Duration) -> f64,
) -> Duration {
    let mut last: Vec<Duration> = (0..running).map(|text| start + Duration::from_millis(u64::from(text) * 3)).collect();
    loop {
        let (text, at) = last.iter().copied().enumerate().min_by_key(|(_, at)| *at).expect("there is a text");
        let milliseconds = pace(at) * (1.0 + NEIGHBOR_SHARE * f64::from(running - 1));
        let interval = Duration::from_secs_f64(milliseconds / 1_000.0);
        if at + interval > end {
            return end;
        }
        last[text] = at + interval;
        model.observe_interval(&instance(name), interval, running, at + interval);
    }
}

fn estimate(model: &mut CapacityModel, name: &str, now: Duration) -> CapacityEstimate {
    model.estimates(now).of(&instance(name))
}

/// Milliseconds per event of a text alone at present.
fn present(estimate: &CapacityEstimate) -> f64 {
    estimate.seconds_per_event(1) * 1_000.0
}

fn is_close(value: f64, expected: f64, tolerance: f64) -> bool {
    (value / expected - 1.0).abs() <= tolerance
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a new leader that takes all engines for alike long after their events have shown otherwise.
#[test]
fn an_engine_is_known_two_seconds_after_its_first_event() {
    for (pace, running) in [(30.0, 1), (108.0, 1), (46.0, 8)] {
        let mut model = CapacityModel::default();
        assert_eq!(estimate(&mut model, "engine", Duration::ZERO).age, None);
        let now = run_texts(&mut model, "engine", running, Duration::ZERO, seconds(2), |_| pace);
        let estimate = estimate(&mut model, "engine", now);
        assert!(is_close(present(&estimate), pace, 0.08), "{pace}: {estimate:?}");
        assert!(estimate.age.is_some_and(|age| age < Duration::from_millis(150)));
    }
}

/// Guards against a steadily slow engine that counts as slowed down, or as average again once it is idle.
#[test]
fn a_steadily_slow_engine_is_not_slowed_down_and_stays_slow_while_idle() {
    let mut model = CapacityModel::default();
    for name in ["a", "b", "c"] {
        run_texts(&mut model, name, 8, Duration::ZERO, seconds(20), |_| 30.0);
    }
    let now = run_texts(&mut model, "slow", 2, Duration::ZERO, seconds(20), |_| 75.0);
    let busy = estimate(&mut model, "slow", now);
    assert!(is_close(busy.slowdown, 1.0, 0.05), "{busy:?}");
    let idle = estimate(&mut model, "slow", now + seconds(600));
    assert!(is_close(present(&idle), 75.0, 0.05), "{idle:?}");
    assert_eq!(idle.age.map(|age| age.as_secs()), Some(600));
}

/// Guards against engines without events that are taken for faster or slower than the others.
#[test]
fn a_new_engine_starts_from_the_median() {
    let mut model = CapacityModel::default();
    for (name, pace) in [("a", 30.0), ("b", 34.0), ("c", 90.0)] {
        run_texts(&mut model, name, 4, Duration::ZERO, seconds(5), |_| pace);
    }
    let new = estimate(&mut model, "new", seconds(5));
    assert!(is_close(present(&new), 34.0, 0.03) && new.slowdown == 1.0, "{new:?}");
}

/// Guards against a change of speed that goes unnoticed, in either direction.
#[test]
fn a_change_of_speed_is_accepted_within_two_seconds() {
    for (before, after) in [(30.0, 90.0), (90.0, 30.0), (40.0, 64.0)] {
        let mut model = CapacityModel::default();
        let pace = |at: Duration| if at < seconds(30) { before } else { after };
        let now = run_texts(&mut model, "engine", 4, Duration::ZERO, seconds(32), pace);
        let changed = estimate(&mut model, "engine", now);
        assert!(is_close(present(&changed), after, 0.15), "{before} to {after}: {changed:?}");
        assert!(after < before || changed.slowdown > 1.3, "{changed:?}");
        let now = run_texts(&mut model, "engine", 4, now, seconds(70), pace);
        let lasting = estimate(&mut model, "engine", now);
        assert!(is_close(lasting.slowdown, 1.0, 0.1), "a lasting speed should be the steady one: {lasting:?}");
    }
}

/// Guards against a temporary slowdown that remains on an engine which receives no texts because of it.
#[test]
fn a_slowdown_is_forgotten_without_events() {
    let mut model = CapacityModel::default();
    let pace = |at: Duration| if at < seconds(30) { 30.0 } else { 90.0 };
    let now = run_texts(&mut model, "engine", 4, Duration::ZERO, seconds(31), pace);
    let slowed = estimate(&mut model, "engine", now);
    let later = estimate(&mut model, "engine", now + seconds(5));
    assert!(slowed.slowdown > 1.8 && later.slowdown < 1.1, "{slowed:?} {later:?}");
}

fn report(percent: u32) -> LoadReport {
    LoadReport { running: 4, waiting: 0, slots: 8, work_time_percent: Some(percent) }
}

/// Guards against a load figure that stays at 100 and hides what events show.
#[test]
fn observed_events_overrule_a_load_figure_that_stays_at_100() {
    let mut model = CapacityModel::default();
    let pace = |at: Duration| if at < seconds(20) { 35.0 } else { 105.0 };
    for second in 0..22 {
        model.observe_report(&instance("engine"), &report(100), seconds(second));
        run_texts(&mut model, "engine", 4, seconds(second), seconds(second + 1), pace);
    }
    model.observe_report(&instance("engine"), &report(100), seconds(22));
    let estimate = estimate(&mut model, "engine", seconds(22));
    assert!(present(&estimate) > 85.0 && estimate.slowdown > 2.0, "{estimate:?}");
}

/// Guards against a permanent figure above 100 that is counted in addition to the observed pace, and against a report
/// that has no effect while no events arrive.
#[test]
fn a_report_counts_relative_to_the_usual_one_and_expires() {
    let mut model = CapacityModel::default();
    for tenth in 0..100 {
        let at = Duration::from_millis(100 * tenth);
        model.observe_report(&instance("engine"), &report(170), at);
        run_texts(&mut model, "engine", 8, at, at + Duration::from_millis(100), |_| 60.0);
    }
    let usual = estimate(&mut model, "engine", seconds(10));
    assert!(is_close(usual.slowdown, 1.0, 0.05) && is_close(present(&usual), 60.0, 0.05), "{usual:?}");
    let later = seconds(20);
    model.observe_report(&instance("engine"), &report(425), later);
    let reported = estimate(&mut model, "engine", later + Duration::from_millis(500));
    assert!(reported.slowdown > 2.0, "{reported:?}");
    let expired = estimate(&mut model, "engine", later + Duration::from_millis(1_500));
    assert!(is_close(expired.slowdown, 1.0, 0.05), "{expired:?}");
    assert!(model.reports_work_time(&instance("engine")) && !model.reports_work_time(&instance("other")));
}

/// Guards against a report with an extreme figure that outweighs the events of a running text.
#[test]
fn a_wrong_report_changes_an_observed_pace_by_little() {
    let mut model = CapacityModel::default();
    let now = run_texts(&mut model, "engine", 4, Duration::ZERO, seconds(10), |_| 40.0);
    model.observe_report(&instance("engine"), &report(100), now - seconds(5));
    model.observe_report(&instance("engine"), &report(4_000_000), now);
    let estimate = estimate(&mut model, "engine", now);
    assert!(present(&estimate) < 44.0 && present(&estimate) > 36.0, "{estimate:?}");
}

/// Guards against a speed that swings quickly and is followed at each swing.
#[test]
fn a_speed_that_swings_is_known_by_its_mean_rate() {
    let mut model = CapacityModel::default();
    let pace = |at: Duration| if (at.as_millis() / 600).is_multiple_of(2) { 30.0 } else { 75.0 };
    let mut now = run_texts(&mut model, "engine", 4, Duration::ZERO, seconds(20), pace);
    let mean = 2.0 / (1.0 / 30.0 + 1.0 / 75.0);
    for _ in 0..24 {
        let end = now + Duration::from_millis(100);
        run_texts(&mut model, "engine", 4, now, end, pace);
        now = end;
        let estimate = estimate(&mut model, "engine", now);
        assert!((0.7..1.4).contains(&(present(&estimate) / mean)), "{estimate:?}");
        assert!(is_close(estimate.seconds_per_event_alone * 1_000.0, mean, 0.15), "{estimate:?}");
    }
}

/// Guards against the effect of neighbors being taken for a slow engine.
#[test]
fn the_effect_of_neighbors_is_separated_from_the_steady_pace() {
    for share in [0.0075, 0.1] {
        let mut model = CapacityModel::default();
        let mut now = Duration::ZERO;
        for round in 0..60_u64 {
            for (name, pace) in [("a", 30.0), ("b", 75.0)] {
                let running = 1 + ((round * 5) % 8) as u32;
                let wanted = 1.0 + share * f64::from(running - 1);
                let included = 1.0 + NEIGHBOR_SHARE * f64::from(running - 1);
                run_texts(&mut model, name, running, now, now + seconds(1), |_| pace * wanted / included);
            }
            now += seconds(1);
        }
        let (a, b) = (estimate(&mut model, "a", now), estimate(&mut model, "b", now));
        let share_of = |estimate: &CapacityEstimate| estimate.added_per_neighbor / estimate.seconds_per_event_alone;
        assert!((share_of(&a) - share).abs() < 0.02 + share * 0.2, "{share}: {a:?}");
        assert!(is_close(a.seconds_per_event_alone, 0.030, 0.1), "{share}: {a:?}");
        assert!(is_close(b.seconds_per_event_alone, 0.075, 0.1), "{share}: {b:?}");
    }
}

/// Guards against an observer that was busy and reads several events at once.
#[test]
fn events_that_arrive_together_do_not_change_the_pace() {
    let mut model = CapacityModel::default();
    for round in 1..=200_u64 {
        let now = Duration::from_millis(160 * round);
        for interval in [160, 0, 0, 0] {
            model.observe_interval(&instance("engine"), Duration::from_millis(interval), 1, now);
        }
    }
    let estimate = estimate(&mut model, "engine", Duration::from_millis(160 * 200));
    assert!(is_close(present(&estimate), 40.0, 0.1), "{estimate:?}");
}
