//! Decisions of a state transfer.

use saddlerelay_replication::transfer_policy::{FetchFailure, FetchProgress, Source, TransferPolicy};
use saddlerelay_types::identity::ReplicaId;
use std::time::Duration;

const MEBIBYTE: u64 = 1024 * 1024;

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// What a source has shown.
#[derive(Clone, Copy, Debug)]
enum Shown {
    Heartbeat(Option<u64>),
    Answer { bytes: u64, milliseconds: u64 },
    Refused,
    TimedOut,
}

use Shown::{Answer, Heartbeat, Refused, TimedOut};

/// What is tested, what the sources have shown, the requests in flight, and the source that is expected.
type SourceCase = (&'static str, Vec<(u64, Shown)>, Vec<usize>, Option<u64>);

/// What is tested, what the sources have shown, the request, and the least and the greatest limit expected.
type LimitCase = (&'static str, Vec<(u64, Shown)>, FetchProgress, Duration, Duration);

fn policy(shown: &[(u64, Shown)]) -> TransferPolicy {
    let mut policy = TransferPolicy::default();
    for (source, shown) in shown {
        let id = ReplicaId(*source);
        match *shown {
            Heartbeat(round_trip) => policy.record_heartbeat(id, round_trip.map(milliseconds)),
            Answer { bytes, milliseconds: elapsed } => policy.record_answer(id, bytes, milliseconds(elapsed)),
            Refused => policy.record_failure(id, FetchFailure::Refused),
            TimedOut => policy.record_failure(id, FetchFailure::TimedOut),
        }
    }
    policy
}

/// Sources 1 to the number of `in_flight`; the last one leads.
fn sources(in_flight: &[usize]) -> Vec<Source> {
    let last = in_flight.len();
    let numbered = in_flight.iter().enumerate();
    numbered
        .map(|(position, in_flight)| Source {
            id: ReplicaId(position as u64 + 1),
            is_leader: position + 1 == last,
            in_flight: *in_flight,
        })
        .collect()
}

/// Guards against a poor choice of the next source, and against several requests at once over a bad link.
#[test]
fn the_source_with_the_least_expected_time_is_asked() {
    let prompt = |source| (source, Answer { bytes: MEBIBYTE, milliseconds: 100 });
    let slow = |source| (source, Answer { bytes: MEBIBYTE, milliseconds: 10_000 });
    let slower = |source| (source, Answer { bytes: MEBIBYTE, milliseconds: 20_000 });
    let cases: Vec<SourceCase> = vec![
        ("nothing known: the first", vec![], vec![0, 0, 0], Some(1)),
        ("nothing known: one at a time", vec![], vec![1, 0, 0], None),
        ("the nearest", vec![(1, Heartbeat(Some(4))), (2, Heartbeat(Some(1)))], vec![0, 0, 0], Some(2)),
        ("not one with late replies", vec![(1, Heartbeat(None)), (2, Heartbeat(Some(4)))], vec![0, 0, 0], Some(2)),
        ("the leader last", vec![(3, Heartbeat(Some(1))), (1, Heartbeat(Some(4)))], vec![0, 0, 0], Some(2)),
        ("the leader if it is the only one", vec![], vec![0], Some(1)),
        ("no voter", vec![], vec![], None),
        ("an unknown one rather than a slow one", vec![slow(1)], vec![0, 0, 0], Some(2)),
        ("the less slow one", vec![slower(1), slow(2), slower(3)], vec![0, 0, 0], Some(2)),
        ("a slow one carries one request", vec![slow(1), slow(2), slow(3)], vec![1, 0, 0], None),
        ("none beside a slow one", vec![slow(1), prompt(2), prompt(3)], vec![1, 0, 0], None),
        ("good ones carry several", vec![prompt(1), prompt(2), prompt(3)], vec![1, 0, 0], Some(2)),
        ("up to three", vec![prompt(1), prompt(2), prompt(3)], vec![1, 1, 1], None),
        ("not the one that refused", vec![prompt(1), (1, Refused)], vec![0, 0, 0], Some(2)),
        (
            "the fast one that refused once rather than a slow one",
            vec![prompt(1), (1, Refused), slow(2), slow(3)],
            vec![0, 0, 0],
            Some(1),
        ),
        ("an answer ends failures", vec![(1, Refused), (1, TimedOut), prompt(1)], vec![0, 0, 0], Some(1)),
    ];
    for (what, shown, in_flight, expected) in cases {
        let next = policy(&shown).next_source(MEBIBYTE, &sources(&in_flight));
        assert_eq!(next, expected.map(ReplicaId), "{what}");
    }
}

/// Guards against limits that a link can't meet however often a request is repeated, and against a source that is waited
/// for although it does not answer.
#[test]
fn time_limits_follow_from_what_the_link_has_shown() {
    let progress = |bytes, has_late_replies| FetchProgress { bytes, has_late_replies, ..FetchProgress::default() };
    let at_100_kb = (1, Answer { bytes: MEBIBYTE, milliseconds: 10_500 });
    let cases: Vec<LimitCase> = vec![
        ("nothing known", vec![], progress(MEBIBYTE, false), seconds(1), seconds(3)),
        ("a small segment", vec![], progress(100, false), milliseconds(900), milliseconds(1_200)),
        ("late replies", vec![], progress(MEBIBYTE, true), seconds(100), seconds(200)),
        ("a known rate", vec![at_100_kb], progress(MEBIBYTE, false), seconds(30), seconds(35)),
        ("a known rate and late replies", vec![at_100_kb], progress(MEBIBYTE, true), seconds(35), seconds(40)),
        ("half of the bytes", vec![at_100_kb], progress(MEBIBYTE / 2, false), seconds(15), seconds(18)),
        ("a time-out of another source", vec![(2, TimedOut)], progress(MEBIBYTE, false), seconds(4), seconds(10)),
        ("two time-outs", vec![(1, TimedOut), (2, TimedOut)], progress(MEBIBYTE, false), seconds(16), seconds(40)),
        (
            "an answer ends time-outs",
            vec![(2, TimedOut), (3, Answer { bytes: 100, milliseconds: 3 })],
            progress(MEBIBYTE, false),
            seconds(1),
            seconds(3),
        ),
        ("a refusal is no time-out", vec![(1, Refused)], progress(MEBIBYTE, false), seconds(1), seconds(3)),
        (
            "a small prompt answer shows no low rate",
            vec![(1, Answer { bytes: 100, milliseconds: 100 })],
            progress(MEBIBYTE, false),
            seconds(1),
            seconds(3),
        ),
    ];
    for (what, shown, progress, least, most) in cases {
        let limit = policy(&shown).time_limit(ReplicaId(1), &progress);
        assert!(least <= limit && limit <= most, "{what}: {limit:?}");
        let at = |elapsed| FetchProgress { elapsed, ..progress };
        assert!(!policy(&shown).should_give_up(ReplicaId(1), &at(limit - milliseconds(1))), "{what}");
        assert!(policy(&shown).should_give_up(ReplicaId(1), &at(limit)), "{what}");
    }
}

/// Guards against waiting for a lost source as long as its link would need for the bytes.
#[test]
fn a_silent_source_is_given_up() {
    let progress = FetchProgress { bytes: MEBIBYTE, has_late_replies: true, ..FetchProgress::default() };
    let silent_for = |silent_for| FetchProgress { silent_for, elapsed: silent_for, ..progress };
    assert!(!TransferPolicy::default().should_give_up(ReplicaId(1), &silent_for(seconds(3))));
    assert!(TransferPolicy::default().should_give_up(ReplicaId(1), &silent_for(seconds(5))));
}

/// Guards against segments that never arrive over a link that is slow but loses nothing: the limits of requests in a row
/// reach the time that the bytes need, after one and a half times that time at most.
#[test]
fn limits_reach_the_time_that_a_slow_link_needs() {
    for bytes_per_second in [1_000_000, 100_000, 30_000, 10_000, 5_000] {
        let needed = seconds(MEBIBYTE / bytes_per_second);
        let progress = FetchProgress { bytes: MEBIBYTE, ..FetchProgress::default() };
        let mut policy = TransferPolicy::default();
        let mut wasted = Duration::ZERO;
        let mut requests = 0;
        while policy.time_limit(ReplicaId(1), &progress) < needed {
            wasted += policy.time_limit(ReplicaId(1), &progress);
            policy.record_failure(ReplicaId(1 + requests % 3), FetchFailure::TimedOut);
            requests += 1;
            assert!(requests < 8, "{bytes_per_second} bytes per second: {wasted:?}");
        }
        assert!(wasted * 2 <= needed * 3, "{bytes_per_second} bytes per second: {wasted:?} of {needed:?}");
    }
}

/// Guards against a source that is asked again and again while others have the segment.
#[test]
fn all_sources_are_asked_in_turn_if_all_fail() {
    let mut policy = policy(&[(1, Heartbeat(Some(1))), (2, Answer { bytes: MEBIBYTE, milliseconds: 5_000 })]);
    let sources = sources(&[0, 0, 0]);
    let mut asked = [0; 3];
    for _ in 0..300 {
        let next = policy.next_source(100, &sources).expect("a source is free");
        policy.record_failure(next, FetchFailure::Refused);
        asked[next.0 as usize - 1] += 1;
    }
    assert!(asked.iter().all(|count| *count >= 90), "{asked:?}");
}

/// Guards against records of former members that accumulate.
#[test]
fn former_members_are_forgotten() {
    let mut policy = policy(&[(1, Refused), (2, Answer { bytes: 1, milliseconds: 1 })]);
    policy.retain(&[ReplicaId(2)]);
    assert!(policy.is_unknown(ReplicaId(1)) && !policy.is_unknown(ReplicaId(2)));
    assert!(policy.rate(ReplicaId(2)).is_some());
}
