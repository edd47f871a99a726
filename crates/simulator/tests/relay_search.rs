//! A relay that starts with the addresses in its settings finds the group after other machines have replaced all the
//! members listed there. Replicas that are no longer members must be able to report the leader.

mod control_group;

use control_group::{Deployment, NAMED, REPLACED_WITHIN, REPLICAS, address, named};
use saddlerelay_replication::message::{ReplicaReply, ReplicaRequest};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// Time limit for the first reply to a relay after all processes start: an election and a search through all machines.
const FOUND_WITHIN: Duration = Duration::from_secs(4);

/// Whether the machines listed in the settings keep their disks.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disks {
    Kept,
    Lost,
}

impl Deployment {
    fn kill(&mut self, place: u8) {
        if let Some(replica) = self.replicas.remove(&place) {
            replica.process.kill();
            self.world.disks.crash(&format!("replica-{place}"), || self.world.random());
        }
    }

    /// Stops each machine listed in the settings, one at a time, until it has been replaced; then restarts all of them.
    fn move_group_away(&mut self, disks: Disks) {
        for place in NAMED {
            self.kill(place);
            if disks == Disks::Lost {
                self.world.disks.lose(&format!("replica-{place}"));
            }
            let until = self.world.clock.now() + REPLACED_WITHIN;
            while self.members().is_empty() || self.members().contains(&address(place)) {
                assert!(self.world.clock.now() < until, "machine {place} is still a member");
                self.run_for(Duration::from_millis(200));
            }
        }
        // A learner has been added, so that the restarted machines cannot join.
        self.run_for(Duration::from_secs(2));
        NAMED.for_each(|place| self.start_replica(place, false));
        self.run_for(Duration::from_secs(3));
        let members = self.members();
        assert!(!members.is_empty(), "there is a leader");
        assert!(named().iter().all(|address| !members.contains(address)), "{members:?}");
    }

    fn restart_all(&mut self) {
        (1..=REPLICAS).for_each(|place| self.kill(place));
        self.run_for(Duration::from_secs(1));
        (1..=REPLICAS).for_each(|place| self.start_replica(place, false));
    }
}

/// Moves the group, restarts all machines if `all_end` is set, and waits for the first reply to a relay.
fn find_group(disks: Disks, all_end: bool) {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        deployment.move_group_away(disks);
        if all_end {
            deployment.restart_all();
        }
        let started_at = deployment.world.clock.now();
        let answers = deployment.start_relay();
        deployment.run_for(FOUND_WITHIN);
        assert!(!deployment.members().is_empty(), "seed {seed}: there is no leader");
        let took = answers.first.get().map(|at| at.saturating_sub(started_at));
        assert!(took.is_some(), "seed {seed}: the relay finds no leader within {FOUND_WITHIN:?}");
        println!("seed {seed}: found after {} ms", took.unwrap_or_default().as_millis());
    }
}

#[test]
fn a_relay_that_starts_finds_a_group_that_has_moved_away_from_its_settings() {
    find_group(Disks::Kept, true);
}

/// The same for a relay that starts while the group keeps running.
#[test]
fn a_relay_that_starts_alone_finds_a_group_that_has_moved_away_from_its_settings() {
    find_group(Disks::Kept, false);
}

/// Machines with empty disks know only the addresses in the settings.
#[test]
fn a_relay_finds_the_group_through_machines_with_empty_disks() {
    find_group(Disks::Lost, true);
}

/// An announcement of another group, for example at a reused address, must be rejected.
#[test]
fn an_announcement_of_another_group_is_not_passed_on() {
    let mut deployment = Deployment::start(1);
    let leader = deployment.leader().expect("there is a leader");
    let stranger: SocketAddr = ([10, 0, 77, 7], 7_000).into();
    let other_group = 4_711;
    let announcement = ReplicaRequest::Announce { group: other_group, leader: stranger, members: vec![stranger] };
    let answered = Rc::new(RefCell::new(None));
    let answer = answered.clone();
    let process = deployment.world.start_process("stranger", 0, 0);
    let replica = leader.replica().clone();
    deployment.world.spawn(&process, async move {
        *answer.borrow_mut() = Some(replica.handle(announcement, FeatureLevel::NEWEST).await);
    });
    deployment.run_for(Duration::from_millis(100));
    assert_eq!(*answered.borrow(), Some(ReplicaReply::Rejected));
    assert!(!leader.replica().known_peers().contains(&stranger));
    assert!(!leader.replica().redirect_addresses().contains(&stranger));
}
