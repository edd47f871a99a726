//! Ratings of sets of voters by zones.

use saddlerelay_replication::voter_spread::{LossTolerance, VoterSpread, ZoneLoss, Zones};
use std::net::SocketAddr;

/// One letter for the zone of each voter; a question mark is an unknown zone.
fn voters(pattern: &str) -> (Vec<SocketAddr>, Zones) {
    let address = |index: usize| SocketAddr::from(([10, 0, 0, index as u8], 7_000));
    let addresses = (0..pattern.len()).map(address).collect();
    let named = pattern.chars().enumerate().filter(|(_, zone)| *zone != '?');
    (addresses, named.map(|(index, zone)| (address(index), zone.to_string())).collect())
}

fn spread(pattern: &str) -> VoterSpread {
    let (addresses, zones) = voters(pattern);
    VoterSpread::of(addresses, &zones)
}

#[test]
fn the_loss_of_the_most_crowded_zone_is_rated() {
    let table = [
        ("a", ZoneLoss::TakesQuorum),
        ("ab", ZoneLoss::Stops),
        ("aa", ZoneLoss::TakesQuorum),
        ("abc", ZoneLoss::Survived),
        ("aab", ZoneLoss::TakesQuorum),
        ("abcd", ZoneLoss::Survived),
        ("aabc", ZoneLoss::Stops),
        ("aabb", ZoneLoss::Stops),
        ("aaab", ZoneLoss::TakesQuorum),
        ("aabbc", ZoneLoss::Survived),
        ("aabcd", ZoneLoss::Survived),
        ("abcde", ZoneLoss::Survived),
        ("aaabb", ZoneLoss::TakesQuorum),
        ("aaabc", ZoneLoss::TakesQuorum),
        ("aabbcc", ZoneLoss::Survived),
        ("aaabbc", ZoneLoss::Stops),
        ("aaabbcc", ZoneLoss::Survived),
        // Members of unknown zones count as zones of their own.
        ("?", ZoneLoss::TakesQuorum),
        ("???", ZoneLoss::Survived),
        ("?????", ZoneLoss::Survived),
        ("aa???", ZoneLoss::Survived),
        ("aaa??", ZoneLoss::TakesQuorum),
    ];
    for (pattern, zone_loss) in table {
        assert_eq!(spread(pattern).zone_loss(), zone_loss, "{pattern}");
    }
}

#[test]
fn an_added_voter_of_unknown_zone_counts_to_the_most_crowded_zone() {
    let table = [("abc", "aabc"), ("aab", "aaab"), ("a?", "aa?"), ("??", "???"), ("", "?")];
    for (present, equal) in table {
        let (addresses, zones) = voters(&format!("{present}?"));
        let (added, present_addresses) = addresses.split_last().expect("a voter is added");
        let with_added = VoterSpread::with_added(present_addresses.iter().copied(), *added, &zones);
        assert_eq!(with_added, spread(equal), "{present}");
        let with_present = VoterSpread::with_added(addresses.clone(), *added, &zones);
        assert_eq!(with_present, VoterSpread::of(addresses.clone(), &zones), "{present}: no voter is added");
    }
}

#[test]
fn a_more_even_spread_is_better() {
    let from_best_to_worst = ["abcde", "aabcd", "aabbc", "aaabc", "aaabb", "aaaab", "aaaaa"];
    for pair in from_best_to_worst.windows(2) {
        assert!(spread(pair[0]) < spread(pair[1]), "{} and {}", pair[0], pair[1]);
    }
    assert_eq!(spread("aabbc"), spread("cbbca"));
    assert_eq!(spread("?????"), spread("abcde"));
}

/// A voter that has lost its disk stays a member until its replacement at the same address has joined.
#[test]
fn replicas_at_one_address_count_once() {
    let (mut addresses, zones) = voters("aabbc");
    addresses.push(addresses[0]);
    assert_eq!(VoterSpread::of(addresses, &zones), spread("aabbc"));
}

#[test]
fn tolerated_losses_are_counted() {
    // Quorum, sound voters, zones and disks that may be lost.
    let table = [
        (1, "a", 0, 0),
        (2, "ab", 0, 0),
        (2, "abc", 1, 1),
        (3, "aabbc", 1, 2),
        (3, "aabcd", 1, 2),
        (3, "abcde", 2, 2),
        (3, "aaabb", 0, 2),
        (3, "abcd", 1, 1),
        (3, "aabc", 0, 1),
        (3, "abc", 0, 0),
        (3, "ab", 0, 0),
        (4, "aabbccd", 1, 3),
        (3, "?????", 2, 2),
    ];
    for (quorum, pattern, zones_lost, disks) in table {
        let (addresses, zones) = voters(pattern);
        let expected = LossTolerance { zones: zones_lost, disks };
        assert_eq!(LossTolerance::of(quorum, addresses, &zones), expected, "{quorum} {pattern}");
    }
}
