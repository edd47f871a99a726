//! Paces of engines: learned from events, compared with the middle engine, forgotten without news.

use saddlerelay_coordinator::fleet::Fleet;
use saddlerelay_types::instance::InstanceId;
use std::time::Duration;

fn instance(name: &str) -> InstanceId {
    InstanceId::named(name)
}

/// An engine makes `count` events with one pause between them, from `from` on; returns when the last came.
fn make_events(fleet: &Fleet, name: &str, count: u32, pause: Duration, from: Duration) -> Duration {
    let mut now = from;
    for _ in 0..count {
        now += pause;
        fleet.observe_pause(&instance(name), pause, now);
    }
    now
}

fn milliseconds(fleet: &Fleet, name: &str, now: Duration) -> f64 {
    fleet.paces(now).of(&instance(name)) * 1_000.0
}

#[test]
fn engines_are_alike_until_their_events_differ() {
    let fleet = Fleet::default();
    let paces = fleet.paces(Duration::ZERO);
    assert_eq!(paces.of(&instance("a")), paces.of(&instance("b")));
    for name in ["a", "b", "c"] {
        make_events(&fleet, name, 200, Duration::from_millis(30), Duration::ZERO);
    }
    let now = make_events(&fleet, "slow", 200, Duration::from_millis(90), Duration::ZERO);
    assert!((milliseconds(&fleet, "slow", now) - 90.0).abs() < 1.0);
    let fresh = milliseconds(&fleet, "fresh", now);
    assert!((28.0..50.0).contains(&fresh), "an engine without events is like the middle one: {fresh}");
}

#[test]
fn one_late_event_hardly_changes_a_pace() {
    let fleet = Fleet::default();
    let now = make_events(&fleet, "a", 300, Duration::from_millis(30), Duration::ZERO);
    fleet.observe_pause(&instance("a"), Duration::from_millis(120), now);
    assert!(milliseconds(&fleet, "a", now) < 33.0);
}

#[test]
fn a_slow_engine_without_news_is_believed_like_the_others_again() {
    let fleet = Fleet::default();
    let now = make_events(&fleet, "slow", 300, Duration::from_millis(90), Duration::ZERO);
    for name in ["a", "b", "c"] {
        make_events(&fleet, name, 300, Duration::from_millis(30), now - Duration::from_secs(9));
    }
    let at_once = milliseconds(&fleet, "slow", now);
    let later = milliseconds(&fleet, "slow", now + Duration::from_secs(4));
    let much_later = milliseconds(&fleet, "slow", now + Duration::from_secs(40));
    assert!(at_once > 85.0 && later < 70.0 && much_later < 32.0, "{at_once} {later} {much_later}");
}
