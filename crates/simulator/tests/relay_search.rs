//! A relay that starts finds the group wherever its members have gone.
//!
//! Seen: after all processes had ended at once and come back, no relay had a lease any more, for as long as anyone looked; every
//! request was refused, and results that had been accepted could not be read. The group itself was led the whole time. How it came
//! about: a relay keeps nothing and starts with the addresses in its settings. Each of the three machines there had been down for a
//! while, one after the other, and other machines had taken their places in the group. They were back and answered, but a replica that
//! is no member hears of no leader, and said so and nothing else. What proved it: the relays' own lines, in which each of the three "knows
//! no leader" while a member leads.

mod control_group;

use control_group::{Deployment, NAMED, REPLACED_WITHIN, REPLICAS, address, named};
use saddlerelay_replication::message::{ReplicaReply, ReplicaRequest};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// From the start of all processes until a relay may act: an election, and a search through every machine that serves control.
const FOUND_WITHIN: Duration = Duration::from_secs(4);

/// What becomes of the disks of the machines that the settings name.
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

    /// Each machine that the settings name goes down, one after the other, until others have taken its place; then all of
    /// them are back.
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
        // The learner that is kept at hand has come, so that no place is left.
        self.run_for(Duration::from_secs(2));
        NAMED.for_each(|place| self.start_replica(place, false));
        self.run_for(Duration::from_secs(3));
        let members = self.members();
        assert!(!members.is_empty(), "the group is led");
        assert!(named().iter().all(|address| !members.contains(address)), "{members:?}");
    }

    fn restart_all(&mut self) {
        (1..=REPLICAS).for_each(|place| self.kill(place));
        self.run_for(Duration::from_secs(1));
        (1..=REPLICAS).for_each(|place| self.start_replica(place, false));
    }
}

/// Has all machines end and come back, or none, and looks for a relay's first answer.
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
        assert!(!deployment.members().is_empty(), "seed {seed}: the group is led");
        let took = answers.first.get().map(|at| at.saturating_sub(started_at));
        assert!(took.is_some(), "seed {seed}: the relay finds no leader within {FOUND_WITHIN:?}");
        println!("seed {seed}: found after {} ms", took.unwrap_or_default().as_millis());
    }
}

#[test]
fn a_relay_that_starts_finds_a_group_that_has_moved_away_from_its_settings() {
    find_group(Disks::Kept, true);
}

/// No loss of everything is needed: one relay that is replaced while the group stands elsewhere finds it no better.
#[test]
fn a_relay_that_starts_alone_finds_a_group_that_has_moved_away_from_its_settings() {
    find_group(Disks::Kept, false);
}

/// Machines that have lost their disks, and whose settings name each other, know nobody.
#[test]
fn a_relay_finds_the_group_through_machines_that_know_nothing() {
    find_group(Disks::Lost, true);
}

/// A leader of another deployment, or one of another group at an address that has changed hands, is no help to anyone here.
#[test]
fn an_announcement_of_another_group_is_not_passed_on() {
    let mut deployment = Deployment::start(1);
    let leader = deployment.leader().expect("the group is led");
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
    assert_eq!(*answered.borrow(), Some(ReplicaReply::Refused));
    assert!(!leader.replica().known_peers().contains(&stranger));
    assert!(!leader.replica().peers_by_likelihood().contains(&stranger));
}
