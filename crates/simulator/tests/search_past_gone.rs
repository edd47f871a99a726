//! Machines that are gone and that replicas still name do not keep a relay from the next leader.

mod control_group;

use control_group::{Answers, Deployment, REPLACED_WITHIN, REPLICAS, address, named};
use saddlerelay_control::config::ControlConfig;
use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// Members that lose power for good before the leader does.
const GONE: usize = 3;

/// No answer comes from a leader that has ended later than this, and no new leader is elected earlier.
const LAST_ANSWER: Duration = Duration::from_millis(700);

/// Longest time until a relay has an answer again, for hangs only.
const HUNG: Duration = Duration::from_secs(8);

/// Precision of what is measured.
const STEP: Duration = Duration::from_millis(20);

impl Deployment {
    fn place_of(&self, address: SocketAddr) -> u8 {
        (1..=REPLICAS).find(|place| self::address(*place) == address).expect("one of the machines")
    }

    /// A machine loses power: it neither answers nor refuses.
    fn lose_power(&mut self, place: u8) {
        self.world.network.cut(place.into(), false);
        self.replicas.remove(&place).expect("it ran").process.kill();
    }

    /// Members that the settings do not name lose power one after the other, each once another has taken the last one's place.
    fn replace_members(&mut self) {
        for _ in 0..GONE {
            let leader = self.leader().expect("the group is led").replica().address();
            let members = self.members();
            let may_go = |address: &&SocketAddr| **address != leader && !named().contains(*address);
            let gone = *members.iter().find(may_go).expect("members that the settings do not name");
            self.lose_power(self.place_of(gone));
            let until = self.world.clock.now() + REPLACED_WITHIN;
            while self.members().is_empty() || self.members().contains(&gone) {
                assert!(self.world.clock.now() < until, "{gone} is still a member");
                self.run_for(Duration::from_millis(200));
            }
            self.run_for(Duration::from_secs(2));
        }
    }

    /// From the leader's loss of power until another leads, and until the relay has an answer from it.
    fn lose_leader(&mut self, answers: &Answers) -> (Duration, Duration) {
        let ended_at = self.world.clock.now();
        let leader = self.leader().expect("the group is led").replica().address();
        self.lose_power(self.place_of(leader));
        let mut elected_after = None;
        loop {
            self.run_for(STEP);
            let after = self.world.clock.now().saturating_sub(ended_at);
            if elected_after.is_none() && self.leader().is_some() {
                elected_after = Some(after);
            }
            if answers.newest.get().is_some_and(|at| at > ended_at + LAST_ANSWER) || after > HUNG {
                return (elected_after.expect("another leader"), after);
            }
        }
    }
}

/// A relay may act until its last answer is as old as the lease: it is not to lose it by looking for a leader that is there.
#[test]
fn a_relay_finds_the_next_leader_past_machines_that_are_gone() {
    let lease = ControlConfig::default().follow_lease;
    let mut longest = Duration::ZERO;
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        deployment.replace_members();
        let answers = deployment.start_relay();
        deployment.run_for(Duration::from_secs(3));
        assert!(answers.newest.get().is_some(), "seed {seed}: the relay is answered");
        let (elected, found) = deployment.lose_leader(&answers);
        println!("seed {seed}: elected after {} ms, found after {} ms", elected.as_millis(), found.as_millis());
        longest = longest.max(found);
    }
    assert!(longest < lease, "found after {longest:?}, the lease is {lease:?}");
}
