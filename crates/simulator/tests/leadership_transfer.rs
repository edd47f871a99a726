//! A failed leadership transfer, with lost requests or a frozen leader, does not leave the group without a serving
//! leader.

mod group;

use group::Group;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..20;

/// Timeout of a leadership transfer, plus the time of an election after it.
const LEADER_LIMIT: Duration = Duration::from_secs(3 + 4);

fn for_each_seed(test: impl Fn(u64, &mut Group, u8)) {
    for seed in SEEDS {
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(300));
        let leader = group.leader_index().expect("there is a leader");
        test(seed, &mut group, leader);
    }
}

#[test]
fn a_lost_leadership_transfer_request_does_not_prevent_an_election() {
    for_each_seed(|seed, group, leader| {
        group.drops_timeout_now.set(true);
        group.transfer_leadership(leader);
        group.run_for(Duration::from_millis(10));
        assert!(group.leader().is_none(), "seed {seed}: the leader still serves during the transfer");
        group.await_leader(LEADER_LIMIT, &format!("seed {seed}, after a lost leadership transfer"));
        group.propose_for(Duration::from_millis(200));
        group.check(&format!("seed {seed}"));
    });
}

#[test]
fn a_leader_frozen_during_a_leadership_transfer_is_replaced() {
    for_each_seed(|seed, group, leader| {
        group.drops_timeout_now.set(true);
        group.transfer_leadership(leader);
        let pause = group.world.jitter(Duration::from_millis(300));
        group.run_for(pause);
        group.freeze(leader);
        group.await_leader(Duration::from_secs(4), &format!("seed {seed}, while the old leader is frozen"));
        group.propose_for(Duration::from_millis(200));
        group.thaw(leader);
        group.propose_for(Duration::from_secs(4));
        group.check(&format!("seed {seed}"));
    });
}
