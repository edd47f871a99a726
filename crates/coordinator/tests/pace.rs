//! Pace estimates of engines: moving average, median as default, decay without events.

use saddlerelay_coordinator::fleet::Fleet;
use saddlerelay_types::instance::InstanceId;
use std::time::Duration;

fn instance(name: &str) -> InstanceId {
    InstanceId::without_start_time(name)
}

/// Records `count` events at a fixed interval after `start`; returns the time of the last one.
fn record_events(fleet: &Fleet, name: &str, count: u32, interval: Duration, start: Duration) -> Duration {
    let mut now = start;
    for _ in 0..count {
        now += interval;
        fleet.observe_event_interval(&instance(name), interval, now);
    }
    now
}

fn milliseconds(fleet: &Fleet, name: &str, now: Duration) -> f64 {
    fleet.paces(now).of(&instance(name)) * 1_000.0
}

#[test]
fn paces_are_equal_until_observed_events_differ() {
    let fleet = Fleet::default();
    let paces = fleet.paces(Duration::ZERO);
    assert_eq!(paces.of(&instance("a")), paces.of(&instance("b")));
    for name in ["a", "b", "c"] {
        record_events(&fleet, name, 200, Duration::from_millis(30), Duration::ZERO);
    }
    let now = record_events(&fleet, "slow", 200, Duration::from_millis(90), Duration::ZERO);
    assert!((milliseconds(&fleet, "slow", now) - 90.0).abs() < 1.0);
    let unobserved = milliseconds(&fleet, "fresh", now);
    assert!(
        (28.0..50.0).contains(&unobserved),
        "an engine without events should have about the median pace: {unobserved}"
    );
}

#[test]
fn one_late_event_changes_a_pace_by_little() {
    let fleet = Fleet::default();
    let now = record_events(&fleet, "a", 300, Duration::from_millis(30), Duration::ZERO);
    fleet.observe_event_interval(&instance("a"), Duration::from_millis(120), now);
    assert!(milliseconds(&fleet, "a", now) < 33.0);
}

#[test]
fn the_pace_of_an_engine_without_events_decays_to_the_median() {
    let fleet = Fleet::default();
    let now = record_events(&fleet, "slow", 300, Duration::from_millis(90), Duration::ZERO);
    for name in ["a", "b", "c"] {
        record_events(&fleet, name, 300, Duration::from_millis(30), now - Duration::from_secs(9));
    }
    let at_once = milliseconds(&fleet, "slow", now);
    let later = milliseconds(&fleet, "slow", now + Duration::from_secs(4));
    let much_later = milliseconds(&fleet, "slow", now + Duration::from_secs(40));
    assert!(at_once > 85.0 && later < 70.0 && much_later < 32.0, "{at_once} {later} {much_later}");
}
