//! A voter that is removed while it is partitioned is notified of its removal by the leader's announcements. It never
//! receives the log entry that removes it, and would otherwise campaign forever and report no leader.

mod group;

use group::{Group, address};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..20;

/// Five voters, a learner and a machine that is not a member.
const MACHINES: u8 = 7;

/// Time limit for removing an unreachable voter, which is replaced after 1.5 s.
const REMOVAL_LIMIT: Duration = Duration::from_secs(6);

/// Time limit for an announcement to arrive: one is sent each second, possibly on a new connection.
const ANNOUNCEMENT_LIMIT: Duration = Duration::from_secs(4);

fn form_group(seed: u64) -> Group {
    let mut group = Group::formed(seed);
    (6..=MACHINES).for_each(|index| group.start(index, false));
    group.run_for(Duration::from_secs(2));
    let machines: BTreeSet<SocketAddr> = (1..=MACHINES).map(address).collect();
    group.nodes().iter().for_each(|node| node.set_announcement_targets(machines.clone()));
    group
}

/// A group that removed one of its voters during a partition, and the index of that voter.
fn group_with_removed_voter(seed: u64) -> (Group, u8) {
    let mut group = form_group(seed);
    let leader = group.leader_index().expect("there is a leader");
    let removed = (1..=5).find(|index| *index != leader).expect("there are other voters");
    let id = group.node(removed).expect("the replica is running").id();
    group.world.network.partition(usize::from(removed), false);
    let until = group.world.clock.now() + REMOVAL_LIMIT;
    while group.members().iter().any(|(member, _)| *member == id) {
        assert!(group.world.clock.now() < until, "seed {seed}: the unreachable voter was not removed");
        group.propose_for(Duration::from_millis(50));
    }
    (group, removed)
}

#[test]
fn a_removed_voter_reports_the_current_leader() {
    for seed in SEEDS {
        let (mut group, removed) = group_with_removed_voter(seed);
        // Prevents the removed voter from joining again.
        let leader = group.leader().expect("there is a leader");
        leader.set_excluded_replicas([group.node(removed).expect("the replica is running").id()].into());
        group.world.network.heal(usize::from(removed));
        let node = group.node(removed).expect("the replica is running");
        let observed = node.clone();
        let expected = Some(leader.address());
        let updated =
            group.run_until(ANNOUNCEMENT_LIMIT, move || observed.leader_address() == expected && !observed.is_member());
        assert!(updated, "seed {seed}: reported leader {:?}, is a member: {}", node.leader_address(), node.is_member());
        let until = group.world.clock.now() + Duration::from_secs(3);
        while group.world.clock.now() < until {
            group.run_for(Duration::from_millis(100));
            assert_eq!(node.leader_address(), expected, "seed {seed}: the removed voter no longer reports the leader");
        }
        group.check(&format!("seed {seed}"));
    }
}

/// An announcement expires: a voter that it excluded campaigns again once announcements stop.
#[test]
fn a_voter_excluded_by_an_announcement_campaigns_after_announcements_stop() {
    for seed in SEEDS {
        let mut group = Group::formed(seed);
        let leader = group.leader_index().expect("there is a leader");
        let excluded = (1..=5).find(|index| *index != leader).expect("there are other voters");
        let others: Vec<SocketAddr> = (1..=5).filter(|index| *index != excluded).map(address).collect();
        let group_number =
            group.node(excluded).expect("the replica is running").group().expect("the replica belongs to a group");
        let announcement = saddlerelay_replication::message::ReplicaRequest::Announce {
            group: group_number,
            leader: address(leader),
            members: others,
        };
        group.send_request(excluded, announcement);
        let stopped: Vec<u8> = (1..=5).filter(|index| *index != excluded).take(2).collect();
        stopped.iter().for_each(|index| group.kill(*index));
        group.await_leader(Duration::from_secs(10), &format!("seed {seed}: with three of five voters"));
        group.check(&format!("seed {seed}"));
    }
}
