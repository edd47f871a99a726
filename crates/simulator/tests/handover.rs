//! A leader that goes on running hands its leadership over, and what hands it over is lost or it stands still meanwhile: the
//! group is not left with a leader that serves nothing.

mod group;

use group::Group;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..20;

/// How long a leader waits for a successor at most, and for the others to elect one by themselves after that.
const LONGEST_WITHOUT_LEADER: Duration = Duration::from_secs(3 + 4);

fn for_each_seed(test: impl Fn(u64, &mut Group, u8)) {
    for seed in SEEDS {
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(300));
        let leader = group.leader_place().expect("it has a leader");
        test(seed, &mut group, leader);
    }
}

#[test]
fn a_leader_that_nobody_takes_over_from_does_not_keep_others_from_leading() {
    for_each_seed(|seed, group, leader| {
        group.loses_take_overs.set(true);
        group.hand_over(leader);
        group.run_for(Duration::from_millis(10));
        assert!(group.leader().is_none(), "seed {seed}: a leader that hands over serves nothing");
        group.await_leader(LONGEST_WITHOUT_LEADER, &format!("seed {seed}, after a hand-over that was lost"));
        group.propose_for(Duration::from_millis(200));
        group.check(&format!("seed {seed}"));
    });
}

#[test]
fn a_leader_that_stands_still_while_it_hands_over_is_followed_by_another() {
    for_each_seed(|seed, group, leader| {
        group.loses_take_overs.set(true);
        group.hand_over(leader);
        let pause = group.world.jitter(Duration::from_millis(300));
        group.run_for(pause);
        group.freeze(leader);
        group.await_leader(Duration::from_secs(4), &format!("seed {seed}, while the old leader stands still"));
        group.propose_for(Duration::from_millis(200));
        group.thaw(leader);
        group.propose_for(Duration::from_secs(4));
        group.check(&format!("seed {seed}"));
    });
}
