//! Unreachable machines that replicas still list do not prevent a relay from finding the next leader.

mod control_group;

use control_group::{Answers, Deployment, REPLACED_WITHIN, REPLICAS, address, named};
use saddlerelay_control::config::ControlConfig;
use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// Number of members that fail permanently before the leader does.
const REMOVED_MEMBERS: usize = 3;

/// After this time no response can come from the old leader; no new leader is elected earlier.
const LAST_OLD_RESPONSE: Duration = Duration::from_millis(700);

/// Timeout of the test for a relay that never receives a response.
const HANG_TIMEOUT: Duration = Duration::from_secs(8);

/// Resolution of the measurement.
const STEP: Duration = Duration::from_millis(20);

impl Deployment {
    fn place_of(&self, address: SocketAddr) -> u8 {
        (1..=REPLICAS).find(|place| self::address(*place) == address).expect("one of the machines")
    }

    /// Kills a machine and partitions it, so that connections to it are not refused.
    fn disconnect_and_kill(&mut self, place: u8) {
        self.world.network.partition(place.into(), false);
        self.replicas.remove(&place).expect("it ran").process.kill();
    }

    /// Removes members that the settings do not list, one at a time, each after the previous one was replaced.
    fn replace_members(&mut self) {
        for _ in 0..REMOVED_MEMBERS {
            let leader = self.leader().expect("there is a leader").replica().address();
            let members = self.members();
            let may_go = |address: &&SocketAddr| **address != leader && !named().contains(*address);
            let removed = *members.iter().find(may_go).expect("members that the settings do not name");
            self.disconnect_and_kill(self.place_of(removed));
            let until = self.world.clock.now() + REPLACED_WITHIN;
            while self.members().is_empty() || self.members().contains(&removed) {
                assert!(self.world.clock.now() < until, "{removed} is still a member");
                self.run_for(Duration::from_millis(200));
            }
            self.run_for(Duration::from_secs(2));
        }
    }

    /// Times from the leader's failure to the election of another, and to the relay's first response from it.
    fn lose_leader(&mut self, answers: &Answers) -> (Duration, Duration) {
        let ended_at = self.world.clock.now();
        let leader = self.leader().expect("there is a leader").replica().address();
        self.disconnect_and_kill(self.place_of(leader));
        let mut elected_after = None;
        loop {
            self.run_for(STEP);
            let after = self.world.clock.now().saturating_sub(ended_at);
            if elected_after.is_none() && self.leader().is_some() {
                elected_after = Some(after);
            }
            if answers.newest.get().is_some_and(|at| at > ended_at + LAST_OLD_RESPONSE) || after > HANG_TIMEOUT {
                return (elected_after.expect("another leader"), after);
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
        let answers = deployment.start_relay();
        deployment.run_for(Duration::from_secs(3));
        assert!(answers.newest.get().is_some(), "seed {seed}: the relay received no response");
        let (elected, found) = deployment.lose_leader(&answers);
        println!("seed {seed}: elected after {} ms, found after {} ms", elected.as_millis(), found.as_millis());
        longest = longest.max(found);
    }
    assert!(longest < lease, "found after {longest:?}, the lease is {lease:?}");
}
