//! A replica whose disk syncs fail rejoins after the disk has recovered, with the entries that were committed
//! meanwhile.

mod group;

use group::{Group, name};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..40;

/// The leader's syncs are slow and then fail, while the other voters commit the entries that it sent.
#[test]
fn a_leader_with_failed_syncs_of_committed_entries_rejoins() {
    for seed in SEEDS {
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(300));
        let leader_name = name(group.leader_index().expect("there is a leader"));
        group.world.disks.set_slow(&leader_name, Duration::from_millis(60));
        group.world.disks.set_failing(&leader_name, true);
        group.propose_for(Duration::from_millis(200));
        group.world.disks.set_slow(&leader_name, Duration::ZERO);
        group.world.disks.set_failing(&leader_name, false);
        group.propose_for(Duration::from_secs(2));
        group.await_voters(5, Duration::from_secs(4), &format!("seed {seed}"));
        group.check(&format!("seed {seed}"));
    }
}

/// Concurrent readers that find the same corrupt segment each repair it from another replica.
#[test]
fn concurrent_repairs_of_a_segment_leave_the_replica_ready() {
    for seed in SEEDS {
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(800));
        let follower = group.followers()[0];
        let node = group.node(follower).expect("the replica is running");
        let segment = node.read_local(|numbers| numbers.newest_released()).expect("segments were sealed");
        group.world.disks.corrupt(&name(follower), &format!("segment-{segment}"));
        let read = group.read_concurrently(&node, segment, 3);
        assert_eq!(read, 3, "seed {seed}: number of readers that read the segment");
        assert!(node.is_ready(), "seed {seed}: the replica is not ready");
        let files = group.world.disks.names(&name(follower));
        assert!(!files.iter().any(|file| file.ends_with(".new")), "seed {seed}: {files:?}");
    }
}
