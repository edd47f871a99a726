//! A voter that is removed while nobody reaches it learns so once it is reached again.
//!
//! A replica that was dropped while its links were bad held a log in which it still votes. From then on to the end it asked for
//! votes each second, was refused by all (`votes would not be given`, `leader lost .. standing=voter`), and named no leader to the
//! machines that asked it (`no leader to name`): nobody sends a replica that is no member the entry that removes it. The leader
//! did tell it each second where the group is (`group announced`), and it did not see that it is not among the members told.

mod group;

use group::{Group, address};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..20;

/// A machine of each number; five vote, one learns and one waits.
const MACHINES: u8 = 7;

/// A voter that is silent is replaced after 1.5 s.
const REMOVED_WITHIN: Duration = Duration::from_secs(6);

/// Announcements come once a second, on connections that may have to be opened again.
const TOLD_WITHIN: Duration = Duration::from_secs(4);

fn formed(seed: u64) -> Group {
    let mut group = Group::formed(seed);
    (6..=MACHINES).for_each(|place| group.start(place, false));
    group.run_for(Duration::from_secs(2));
    let everyone: BTreeSet<SocketAddr> = (1..=MACHINES).map(address).collect();
    group.nodes().iter().for_each(|node| node.set_audience(everyone.clone()));
    group
}

/// A group one of whose voters was removed while it was cut off; returns that one's place.
fn with_removed_voter(seed: u64) -> (Group, u8) {
    let mut group = formed(seed);
    let leader = group.leader_place().expect("there is a leader");
    let removed = (1..=5).find(|place| *place != leader).expect("others vote");
    let id = group.node(removed).expect("it runs").id();
    group.world.network.cut(usize::from(removed), false);
    let until = group.world.clock.now() + REMOVED_WITHIN;
    while group.members().iter().any(|(member, _)| *member == id) {
        assert!(group.world.clock.now() < until, "seed {seed}: a silent voter stays a member");
        group.propose_for(Duration::from_millis(50));
    }
    (group, removed)
}

#[test]
fn a_removed_voter_names_the_leader_that_the_group_has_without_it() {
    for seed in SEEDS {
        let (mut group, removed) = with_removed_voter(seed);
        // It takes no further place.
        let leader = group.leader().expect("there is a leader");
        leader.set_unwanted([group.node(removed).expect("it runs").id()].into());
        group.world.network.heal(usize::from(removed));
        let node = group.node(removed).expect("it runs");
        let seen = node.clone();
        let expected = Some(leader.address());
        let told = group.run_until(TOLD_WITHIN, move || seen.leader_address() == expected && !seen.is_member());
        assert!(told, "seed {seed}: it names {:?}, is a member: {}", node.leader_address(), node.is_member());
        let until = group.world.clock.now() + Duration::from_secs(3);
        while group.world.clock.now() < until {
            group.run_for(Duration::from_millis(100));
            assert_eq!(node.leader_address(), expected, "seed {seed}: it goes on naming the leader");
        }
        group.check(&format!("seed {seed}"));
    }
}

/// An announcement is an old one's word for some seconds only: a voter whose group is gone seeks votes again.
#[test]
fn a_voter_that_an_announcement_left_out_seeks_votes_once_nobody_announces() {
    for seed in SEEDS {
        let mut group = Group::formed(seed);
        let leader = group.leader_place().expect("there is a leader");
        let told = (1..=5).find(|place| *place != leader).expect("others vote");
        let others: Vec<SocketAddr> = (1..=5).filter(|place| *place != told).map(address).collect();
        let group_number = group.node(told).expect("it runs").group().expect("it belongs to a group");
        let announcement = saddlerelay_replication::message::ReplicaRequest::Announce {
            group: group_number,
            leader: address(leader),
            members: others,
        };
        group.ask(told, announcement);
        let last: Vec<u8> = (1..=5).filter(|place| *place != told).take(2).collect();
        last.iter().for_each(|place| group.kill(*place));
        group.await_leader(Duration::from_secs(10), &format!("seed {seed}: three of five are left"));
        group.check(&format!("seed {seed}"));
    }
}
