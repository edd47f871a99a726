//! Usage counts: each delta is applied once, and the counts of a closed window do not change.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_control::group_clock::GroupClock;
use saddlerelay_control::state::usage::UsageState;
use saddlerelay_types::identity::{Incarnation, TenantId};
use saddlerelay_types::usage::{RelayUsage, TenantCounts, UsageDelta, UsageReport, UsageWindow};
use std::collections::BTreeMap;
use std::time::Duration;

fn tenant(name: &str) -> TenantId {
    TenantId::new(name)
}

fn usage(relay: u64, sequence: u64, counts: &[(u64, &str, u64)]) -> RelayUsage {
    let mut by_window: BTreeMap<UsageWindow, TenantCounts> = BTreeMap::new();
    for (window, name, count) in counts {
        *by_window.entry(UsageWindow(*window)).or_default().entry(tenant(name)).or_default() += count;
    }
    RelayUsage { relay: Incarnation(relay), delta: UsageDelta { sequence, counts: by_window } }
}

fn report(window: u64, counts: &[(&str, u64)]) -> UsageReport {
    let counts = counts.iter().map(|(name, count)| (tenant(name), *count)).collect();
    UsageReport { window: UsageWindow(window), counts }
}

#[test]
fn duplicate_delta_is_applied_once() {
    let mut state = UsageState::default();
    state.add(usage(1, 1, &[(7, "a", 2)]), 0);
    state.add(usage(1, 1, &[(7, "a", 2)]), 0);
    state.add(usage(2, 1, &[(7, "a", 1), (7, "b", 1)]), 0);
    state.add(usage(1, 2, &[(7, "b", 4)]), 0);
    state.add(usage(1, 1, &[(7, "a", 2)]), 0);
    assert_eq!((state.last_sequence(Incarnation(1)), state.last_sequence(Incarnation(3))), (2, 0));
    state.close_windows(UsageWindow(7));
    assert_eq!(state.unreported().collect::<Vec<_>>(), [report(7, &[("a", 3), ("b", 5)])]);
}

#[test]
fn closed_window_does_not_change_and_late_requests_are_counted_separately() {
    let mut state = UsageState::default();
    state.add(usage(1, 1, &[(7, "a", 2), (9, "a", 1)]), 0);
    state.close_windows(UsageWindow(8));
    state.add(usage(1, 2, &[(7, "a", 5), (9, "a", 1)]), 0);
    assert_eq!(state.late_requests(), 5);
    // A window without requests is also reported.
    assert_eq!(state.unreported().collect::<Vec<_>>(), [report(7, &[("a", 2)]), report(8, &[])]);
    state.close_windows(UsageWindow(7));
    assert_eq!(state.first_open(), Some(UsageWindow(9)), "a closed window stays closed");
    state.mark_reported(UsageWindow(7));
    state.mark_reported(UsageWindow(7));
    state.close_windows(UsageWindow(9));
    assert_eq!(state.unreported().collect::<Vec<_>>(), [report(8, &[]), report(9, &[("a", 2)])]);
    assert_eq!(state.newest_reported(), Some(UsageWindow(7)));
}

/// Relay and sequence number of deltas, with duplicates and interleaved relays.
#[derive(Clone, Debug)]
struct Deliveries(Vec<(u64, u64)>);

impl Arbitrary for Deliveries {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut deliveries = Vec::new();
        let mut sequences = [0; 3];
        for _ in 0..u8::arbitrary(random) % 40 {
            let relay = usize::arbitrary(random) % 3;
            // A relay repeats a delta until it is acknowledged, and then sends the next one.
            if bool::arbitrary(random) || sequences[relay] == 0 {
                sequences[relay] += 1;
            }
            deliveries.push((relay as u64, sequences[relay]));
        }
        Self(deliveries)
    }
}

#[test]
fn sum_of_counts_is_correct_despite_duplicate_deltas() {
    fn check(Deliveries(deliveries): Deliveries) -> bool {
        let mut state = UsageState::default();
        let mut expected: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        for (relay, sequence) in deliveries {
            let count = relay * 100 + sequence;
            state.add(usage(relay, sequence, &[(1, "a", count)]), 0);
            expected.insert((relay, sequence), count);
        }
        state.close_windows(UsageWindow(1));
        let reported: u64 = state.unreported().flat_map(|report| report.counts.into_values()).sum();
        reported == expected.values().sum::<u64>()
    }
    QuickCheck::new().tests(400).quickcheck(check as fn(Deliveries) -> bool);
}

#[test]
fn group_time_is_correct_while_fewer_than_half_of_the_clocks_are_wrong() {
    fn check(wrong: Vec<i16>, correct: u8) -> bool {
        let correct = wrong.len() + 2 + usize::from(correct % 20);
        let mut clock = GroupClock::default();
        let unix_ms = |error: i64| (1_700_000_000_000_i64 + error) as u64;
        for round in 0..3 {
            let now = Duration::from_millis(400 * round);
            let later = 400 * round as i64;
            for (index, error) in wrong.iter().enumerate() {
                clock.record_sample(&format!("wrong-{index}"), unix_ms(later + i64::from(*error)), now);
            }
            for index in 0..correct {
                clock.record_sample(&format!("right-{index}"), unix_ms(later), now);
            }
        }
        let now = Duration::from_millis(1_000);
        clock.unix_ms(unix_ms(1_000 - 5_000), now) == Some(unix_ms(1_000))
    }
    QuickCheck::new().tests(300).quickcheck(check as fn(Vec<i16>, u8) -> bool);
}

#[test]
fn group_time_is_unavailable_at_first_and_after_a_long_time_without_samples() {
    let mut clock = GroupClock::default();
    let at = Duration::from_millis;
    assert_eq!(clock.unix_ms(5_000, at(0)), None);
    clock.record_sample("relay", 9_000, at(100));
    assert_eq!(clock.unix_ms(9_200, at(300)), None, "one clock sample is not enough");
    clock.record_sample("relay", 9_900, at(1_000));
    assert_eq!(clock.unix_ms(10_000, at(1_100)), Some(10_000));
    assert_eq!(clock.unix_ms(40_000, at(31_100)), None, "the last clock sample is too old");
}
