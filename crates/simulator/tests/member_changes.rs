//! Between any two changes of members the group bears that the lost machine and one more of five are gone for good: at no
//! moment does it need a vote of one that only just took a lost one's place.

mod group;

use group::Group;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeSet;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..6;

/// Changes of members that a replacement takes: one joins, votes, and the lost one goes; and one more.
const CHANGES: usize = 4;

/// Time for the replicas that are left to elect a leader.
const ELECTION_LIMIT: Duration = Duration::from_secs(4);

/// Time for a replacement: a voter is missed after 1.5 s.
const REPLACEMENT_LIMIT: Duration = Duration::from_secs(4);

fn for_each_moment(test: impl Fn(u64, usize, u8)) {
    for seed in SEEDS {
        for changes in 0..=CHANGES {
            (0..4).for_each(|victim| test(seed, changes, victim));
        }
    }
}

/// The disks at `gone` are lost. Those that are left lead and hold everything.
fn lose(group: &mut Group, gone: &[u8], what: &str) {
    gone.iter().for_each(|place| group.lose_disk(*place));
    group.run_for(Duration::from_millis(600));
    group.await_leader(ELECTION_LIMIT, what);
    group.propose_for(Duration::from_millis(100));
    group.check(what);
}

#[test]
fn the_machine_that_lost_its_disk_and_another_are_lost_at_any_moment_of_its_return() {
    for_each_moment(|seed, changes, victim| {
        let what = format!("seed {seed}, after {changes} changes, victim {victim}");
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(200));
        let followers = group.followers();
        let empty = followers[seed as usize % followers.len()];
        group.lose_disk(empty);
        group.propose_for(Duration::from_millis(200));
        group.start(empty, false);
        group.await_member_changes(changes, REPLACEMENT_LIMIT);
        let others: Vec<u8> = (1..=5).filter(|place| *place != empty).collect();
        lose(&mut group, &[empty, others[usize::from(victim)]], &what);
    });
}

#[test]
fn a_machine_gone_for_good_is_replaced_and_another_is_lost_at_any_moment_of_it() {
    for_each_moment(|seed, changes, victim| {
        let what = format!("seed {seed}, after {changes} changes, victim {victim}");
        let mut group = Group::formed(seed);
        group.start(6, false);
        group.propose_for(Duration::from_millis(500));
        let followers = group.followers();
        let gone =
            followers.iter().copied().filter(|place| *place != 6).nth(seed as usize % 4).expect("four followers");
        group.lose_disk(gone);
        group.await_member_changes(changes, REPLACEMENT_LIMIT);
        let others: Vec<u8> = (1..=6).filter(|place| *place != gone).collect();
        lose(&mut group, &[others[usize::from(victim)]], &what);
    });
}

/// Two disks are lost and both machines come back empty; at any moment both are lost once more.
#[test]
fn two_machines_that_lost_their_disks_are_lost_again_at_any_moment_of_their_return() {
    for_each_moment(|seed, changes, victim| {
        let what = format!("seed {seed}, after {changes} changes, victim {victim}");
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(200));
        let followers = group.followers();
        let empty: Vec<u8> = (0..2).map(|place| followers[(usize::from(victim) + place) % followers.len()]).collect();
        empty.iter().for_each(|place| group.lose_disk(*place));
        group.propose_for(Duration::from_millis(200));
        empty.iter().for_each(|place| group.start(*place, false));
        group.await_member_changes(changes * 2, REPLACEMENT_LIMIT);
        lose(&mut group, &empty, &what);
    });
}

/// At no moment of a replacement do more than five vote, or two at one address.
#[test]
fn nobody_votes_beside_the_one_whose_place_it_takes() {
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
