//! During the replacement of a lost voter the group of five tolerates the permanent loss of the replaced machine and
//! one more: at no point does it depend on the vote of the replacement.

mod group;

use group::Group;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeSet;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..6;

/// Membership changes of a replacement (a learner joins, is promoted, and the lost voter is removed), and one more.
const CHANGES: usize = 4;

/// Time limit for the remaining replicas to elect a leader.
const ELECTION_LIMIT: Duration = Duration::from_secs(4);

/// Time limit of a replacement, which starts after a voter has been silent for 1.5 s.
const REPLACEMENT_LIMIT: Duration = Duration::from_secs(4);

fn for_each_change_and_victim(test: impl Fn(u64, usize, u8)) {
    for seed in SEEDS {
        for changes in 0..=CHANGES {
            (0..4).for_each(|victim| test(seed, changes, victim));
        }
    }
}

/// Deletes the disks at `lost_indexes` and checks that the remaining replicas elect a leader with all acknowledged
/// entries.
fn lose_disks(group: &mut Group, lost_indexes: &[u8], what: &str) {
    lost_indexes.iter().for_each(|index| group.lose_disk(*index));
    group.run_for(Duration::from_millis(600));
    group.await_leader(ELECTION_LIMIT, what);
    group.propose_for(Duration::from_millis(100));
    group.check(what);
}

#[test]
fn loss_of_a_rejoining_machine_and_another_at_any_point_is_tolerated() {
    for_each_change_and_victim(|seed, changes, victim| {
        let what = format!("seed {seed}, after {changes} changes, victim {victim}");
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(200));
        let followers = group.followers();
        let empty = followers[seed as usize % followers.len()];
        group.lose_disk(empty);
        group.propose_for(Duration::from_millis(200));
        group.start(empty, false);
        group.await_member_changes(changes, REPLACEMENT_LIMIT);
        let others: Vec<u8> = (1..=5).filter(|index| *index != empty).collect();
        lose_disks(&mut group, &[empty, others[usize::from(victim)]], &what);
    });
}

#[test]
fn loss_of_a_machine_at_any_point_of_a_replacement_is_tolerated() {
    for_each_change_and_victim(|seed, changes, victim| {
        let what = format!("seed {seed}, after {changes} changes, victim {victim}");
        let mut group = Group::formed(seed);
        group.start(6, false);
        group.propose_for(Duration::from_millis(500));
        let followers = group.followers();
        let replaced_index =
            followers.iter().copied().filter(|index| *index != 6).nth(seed as usize % 4).expect("four followers");
        group.lose_disk(replaced_index);
        group.await_member_changes(changes, REPLACEMENT_LIMIT);
        let others: Vec<u8> = (1..=6).filter(|index| *index != replaced_index).collect();
        lose_disks(&mut group, &[others[usize::from(victim)]], &what);
    });
}

/// Two machines restart with empty disks, and lose these again at any point of their return.
#[test]
fn loss_of_two_rejoining_machines_at_any_point_is_tolerated() {
    for_each_change_and_victim(|seed, changes, victim| {
        let what = format!("seed {seed}, after {changes} changes, victim {victim}");
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(200));
        let followers = group.followers();
        let empty: Vec<u8> = (0..2).map(|index| followers[(usize::from(victim) + index) % followers.len()]).collect();
        empty.iter().for_each(|index| group.lose_disk(*index));
        group.propose_for(Duration::from_millis(200));
        empty.iter().for_each(|index| group.start(*index, false));
        group.await_member_changes(changes * 2, REPLACEMENT_LIMIT);
        lose_disks(&mut group, &empty, &what);
    });
}

/// At no point of a replacement are there more than five voters.
#[test]
fn a_replacement_never_exceeds_five_voters() {
    for seed in SEEDS {
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(200));
        let empty = group.followers()[seed as usize % 4];
        group.lose_disk(empty);
        group.start(empty, false);
        for change in 0..CHANGES {
            let voters: BTreeSet<ReplicaId> =
                group.members().into_iter().filter(|(_, voter)| *voter).map(|(id, _)| id).collect();
            assert!(voters.len() <= 5, "seed {seed}, change {change}: {} voters", voters.len());
            group.await_member_changes(1, REPLACEMENT_LIMIT);
        }
        group.await_voters(5, REPLACEMENT_LIMIT, &format!("seed {seed}"));
    }
}

/// The segments of the snapshot that a frozen replica received expire while the voters take further snapshots.
#[test]
fn a_replica_frozen_while_fetching_segments_becomes_a_voter() {
    for seed in 0..20 {
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(500));
        let empty = group.followers()[seed as usize % 4];
        group.lose_disk(empty);
        group.propose_for(Duration::from_millis(100));
        group.start(empty, false);
        // The replica requests to join and receives the snapshot in this time.
        let pause = group.world.jitter(Duration::from_millis(60));
        group.propose_for(Duration::from_millis(140) + pause);
        group.freeze(empty);
        group.propose_for(Duration::from_millis(900));
        group.thaw(empty);
        group.propose_for(Duration::from_secs(2));
        group.await_voters(5, REPLACEMENT_LIMIT, &format!("seed {seed}"));
    }
}
