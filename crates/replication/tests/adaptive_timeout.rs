//! Adaptive timeouts: waits are lengthened when they prove too short and shortened again afterwards.

use saddlerelay_replication::adaptive_timeout::AdaptiveTimeout;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(500);

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Records contact every `pause` milliseconds, from `from` on for `duration` milliseconds. Returns the last contact.
fn contact_repeatedly(adaptive_timeout: &mut AdaptiveTimeout, from: u64, duration: u64, pause: u64) -> u64 {
    let times = (from..=from + duration).step_by(pause as usize);
    times.clone().for_each(|at| adaptive_timeout.record_contact(milliseconds(at)));
    times.last().unwrap_or(from)
}

#[test]
fn two_failures_are_tolerated() {
    let mut adaptive_timeout = AdaptiveTimeout::new(TIMEOUT);
    contact_repeatedly(&mut adaptive_timeout, 0, 10_000, 70);
    adaptive_timeout.record_ended_terms(1);
    adaptive_timeout.record_ended_terms(1);
    adaptive_timeout.record_vote_timeout();
    assert_eq!(adaptive_timeout.scale(TIMEOUT), TIMEOUT);
}

#[test]
fn votes_in_the_same_term_are_not_failures() {
    let mut adaptive_timeout = AdaptiveTimeout::new(TIMEOUT);
    (0..20).for_each(|_| adaptive_timeout.record_ended_terms(0));
    assert_eq!(adaptive_timeout.scale(TIMEOUT), TIMEOUT);
}

#[test]
fn unstable_terms_lengthen_waits_up_to_eight_times() {
    let mut adaptive_timeout = AdaptiveTimeout::new(TIMEOUT);
    let mut waits = Vec::new();
    for term in 0..10 {
        // Each leader is in contact for half a second.
        contact_repeatedly(&mut adaptive_timeout, term * 1_000, 490, 70);
        adaptive_timeout.record_ended_terms(1);
        waits.push(adaptive_timeout.scale(TIMEOUT).as_millis());
    }
    assert_eq!(waits, [500, 500, 1_000, 1_000, 2_000, 2_000, 4_000, 4_000, 4_000, 4_000]);
}

#[test]
fn terms_with_a_stable_leader_are_not_failures() {
    let mut adaptive_timeout = AdaptiveTimeout::new(TIMEOUT);
    for term in 0..10 {
        contact_repeatedly(&mut adaptive_timeout, term * 4_000, 3_000, 70);
        adaptive_timeout.record_ended_terms(1);
    }
    assert_eq!(adaptive_timeout.scale(TIMEOUT), TIMEOUT);
}

#[test]
fn a_near_miss_doubles_waits_and_regular_contact_halves_them() {
    let mut adaptive_timeout = AdaptiveTimeout::new(TIMEOUT);
    let last_contact = contact_repeatedly(&mut adaptive_timeout, 0, 3_000, 70);
    adaptive_timeout.record_contact(milliseconds(last_contact + 390));
    assert_eq!(adaptive_timeout.scale(TIMEOUT), TIMEOUT * 2);
    contact_repeatedly(&mut adaptive_timeout, last_contact + 390, 5_200, 70);
    assert_eq!(adaptive_timeout.scale(TIMEOUT), TIMEOUT);
}

#[test]
fn waits_are_not_halved_while_silences_leave_too_little_margin() {
    let mut adaptive_timeout = AdaptiveTimeout::new(TIMEOUT);
    let last_contact = contact_repeatedly(&mut adaptive_timeout, 0, 3_000, 70);
    adaptive_timeout.record_contact(milliseconds(last_contact + 390));
    contact_repeatedly(&mut adaptive_timeout, last_contact + 390, 60_000, 300);
    assert_eq!(adaptive_timeout.scale(TIMEOUT), TIMEOUT * 2);
}
