//! Unreachable machines that replicas still list do not prevent a relay from finding the next leader.

mod control_group;

use control_group::{Deployment, REPLACEMENT_LIMIT, REPLICAS, ReplyTimes, address, configured_addresses};
use saddlerelay_control::config::ControlConfig;
use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// Number of members that fail permanently before the leader does.
const REMOVED_MEMBERS: usize = 3;

/// Time after which no reply can arrive from the old leader; no new leader is elected earlier.
const LAST_OLD_REPLY: Duration = Duration::from_millis(700);

/// Timeout of the test for a relay that never receives a reply.
const HANG_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which the test checks for a new leader and for replies.
const STEP: Duration = Duration::from_millis(20);

impl Deployment {
    fn index_of(&self, address: SocketAddr) -> u8 {
        (1..=REPLICAS).find(|index| self::address(*index) == address).expect("the address belongs to a machine")
    }

    /// Kills a machine and partitions it, so that connections to it are not refused.
    fn disconnect_and_kill(&mut self, index: u8) {
        self.world.network.partition(index.into(), false);
        self.replicas.remove(&index).expect("the replica is running").process.kill();
    }

    /// Removes members that the settings do not list, one at a time, each after the previous one was replaced.
    fn replace_members(&mut self) {
        for _ in 0..REMOVED_MEMBERS {
            let leader = self.leader().expect("there is a leader").replica().address();
            let members = self.members();
            let is_removable =
                |address: &&SocketAddr| **address != leader && !configured_addresses().contains(*address);
            let removed = *members.iter().find(is_removable).expect("there are members that the settings do not list");
            self.disconnect_and_kill(self.index_of(removed));
            let until = self.world.clock.now() + REPLACEMENT_LIMIT;
            while self.members().is_empty() || self.members().contains(&removed) {
                assert!(self.world.clock.now() < until, "{removed} is still a member");
                self.run_for(Duration::from_millis(200));
            }
            self.run_for(Duration::from_secs(2));
        }
    }

    /// Times from the leader's failure to the election of another, and to the relay's first reply from that leader.
    fn lose_leader(&mut self, reply_times: &ReplyTimes) -> (Duration, Duration) {
        let killed_at = self.world.clock.now();
        let leader = self.leader().expect("there is a leader").replica().address();
        self.disconnect_and_kill(self.index_of(leader));
        let mut elected_after = None;
        loop {
            self.run_for(STEP);
            let after = self.world.clock.now().saturating_sub(killed_at);
            if elected_after.is_none() && self.leader().is_some() {
                elected_after = Some(after);
            }
            if reply_times.latest.get().is_some_and(|at| at > killed_at + LAST_OLD_REPLY) || after > HANG_TIMEOUT {
                return (elected_after.expect("another leader was elected"), after);
            }
        }
    }
}

/// The relay must find the new leader before its lease expires.
#[test]
fn a_relay_finds_the_next_leader_despite_unreachable_machines() {
    let lease = ControlConfig::default().follow_lease;
    let mut longest = Duration::ZERO;
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        deployment.replace_members();
        let reply_times = deployment.start_relay();
        deployment.run_for(Duration::from_secs(3));
        assert!(reply_times.latest.get().is_some(), "seed {seed}: the relay received no reply");
        let (elected, found) = deployment.lose_leader(&reply_times);
        println!("seed {seed}: elected after {} ms, found after {} ms", elected.as_millis(), found.as_millis());
        longest = longest.max(found);
    }
    assert!(longest < lease, "found after {longest:?}, the lease is {lease:?}");
}
