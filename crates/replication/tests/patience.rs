//! How long replicas wait for each other: longer where waits prove too short, and as before once that is over.

use saddlerelay_replication::patience::Patience;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(500);

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Hears a leader each `pause` milliseconds from `from` on, for `time` milliseconds; returns when it was heard last.
fn hear(patience: &mut Patience, from: u64, time: u64, pause: u64) -> u64 {
    let times = (from..=from + time).step_by(pause as usize);
    times.clone().for_each(|at| patience.note_heard(milliseconds(at)));
    times.last().unwrap_or(from)
}

#[test]
fn the_loss_of_a_leader_and_a_split_vote_lengthen_no_wait() {
    let mut patience = Patience::new(TIMEOUT);
    hear(&mut patience, 0, 10_000, 70);
    patience.note_terms(1);
    patience.note_terms(1);
    patience.note_unanswered();
    assert_eq!(patience.stretch(TIMEOUT), TIMEOUT);
}

#[test]
fn votes_in_the_same_term_are_no_failure() {
    let mut patience = Patience::new(TIMEOUT);
    (0..20).for_each(|_| patience.note_terms(0));
    assert_eq!(patience.stretch(TIMEOUT), TIMEOUT);
}

#[test]
fn terms_without_a_leader_that_lasts_lengthen_waits_up_to_eight_times() {
    let mut patience = Patience::new(TIMEOUT);
    let mut waits = Vec::new();
    for term in 0..10 {
        // Each leader is heard for half a second.
        hear(&mut patience, term * 1_000, 490, 70);
        patience.note_terms(1);
        waits.push(patience.stretch(TIMEOUT).as_millis());
    }
    assert_eq!(waits, [500, 500, 1_000, 1_000, 2_000, 2_000, 4_000, 4_000, 4_000, 4_000]);
}

#[test]
fn terms_whose_leaders_lasted_are_no_failures() {
    let mut patience = Patience::new(TIMEOUT);
    for term in 0..10 {
        hear(&mut patience, term * 4_000, 3_000, 70);
        patience.note_terms(1);
    }
    assert_eq!(patience.stretch(TIMEOUT), TIMEOUT);
}

#[test]
fn a_silence_that_nearly_ended_a_leadership_lengthens_waits_and_quiet_seconds_shorten_them() {
    let mut patience = Patience::new(TIMEOUT);
    let heard = hear(&mut patience, 0, 3_000, 70);
    patience.note_heard(milliseconds(heard + 390));
    assert_eq!(patience.stretch(TIMEOUT), TIMEOUT * 2);
    hear(&mut patience, heard + 390, 5_200, 70);
    assert_eq!(patience.stretch(TIMEOUT), TIMEOUT);
}

#[test]
fn waits_stay_long_while_silences_would_not_fit_shorter_ones() {
    let mut patience = Patience::new(TIMEOUT);
    let heard = hear(&mut patience, 0, 3_000, 70);
    patience.note_heard(milliseconds(heard + 390));
    hear(&mut patience, heard + 390, 60_000, 300);
    assert_eq!(patience.stretch(TIMEOUT), TIMEOUT * 2);
}
