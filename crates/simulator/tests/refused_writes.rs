//! Disks that refuse writes after some time: a replica takes part again once its disk does, with what was committed meanwhile.

mod group;

use group::{Group, name};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..40;

/// The leader's disk stands still and then refuses, while the other voters commit what it has sent them.
#[test]
fn a_leader_whose_disk_refuses_what_others_have_committed_follows_again() {
    for seed in SEEDS {
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(300));
        let led = name(group.leader_place().expect("there is a leader"));
        group.world.disks.set_slow(&led, Duration::from_millis(60));
        group.world.disks.set_failing(&led, true);
        group.propose_for(Duration::from_millis(200));
        group.world.disks.set_slow(&led, Duration::ZERO);
        group.world.disks.set_failing(&led, false);
        group.propose_for(Duration::from_secs(2));
        group.await_voters(5, Duration::from_secs(4), &format!("seed {seed}"));
        group.check(&format!("seed {seed}"));
    }
}

/// Several readers find the same damaged segment at once, and each takes another replica's.
#[test]
fn readers_that_repair_one_segment_at_once_do_not_cost_the_replica_its_disk() {
    for seed in SEEDS {
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(800));
        let follower = group.followers()[0];
        let node = group.node(follower).expect("it runs");
        let segment = node.peek(|numbers| numbers.newest_released()).expect("segments were sealed");
        group.world.disks.damage(&name(follower), &format!("segment-{segment}"));
        let read = group.read_at_once(&node, segment, 3);
        assert_eq!(read, 3, "seed {seed}: readers that got the segment");
        assert!(node.is_ready(), "seed {seed}: the replica takes part");
        let files = group.world.disks.names(&name(follower));
        assert!(!files.iter().any(|file| file.ends_with(".new")), "seed {seed}: {files:?}");
    }
}
