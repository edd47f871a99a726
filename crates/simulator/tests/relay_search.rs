//! A relay that starts with the addresses in its settings finds the group after other machines have replaced all the
//! members listed there. Replicas that are no longer members must be able to report the leader.

mod control_group;

use control_group::{CONFIGURED, Deployment, REPLACEMENT_LIMIT, REPLICAS, address, configured_addresses};
use saddlerelay_replication::message::{ReplicaReply, ReplicaRequest};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// Time limit for the first reply to a relay after all processes start: an election and a search through all machines.
const SEARCH_LIMIT: Duration = Duration::from_secs(4);

/// Whether the machines listed in the settings keep their disks.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disks {
    Kept,
    Lost,
}

impl Deployment {
    fn kill(&mut self, index: u8) {
        if let Some(replica) = self.replicas.remove(&index) {
            replica.process.kill();
            self.world.disks.crash(&format!("replica-{index}"), || self.world.random());
        }
    }

    /// Stops each machine listed in the settings, one at a time, until it has been replaced; then restarts all of them.
    fn replace_configured_members(&mut self, disks: Disks) {
        for index in CONFIGURED {
            self.kill(index);
            if disks == Disks::Lost {
                self.world.disks.wipe(&format!("replica-{index}"));
            }
            let until = self.world.clock.now() + REPLACEMENT_LIMIT;
            while self.members().is_empty() || self.members().contains(&address(index)) {
                assert!(self.world.clock.now() < until, "machine {index} is still a member");
                self.run_for(Duration::from_millis(200));
            }
        }
        // A learner has been added, so that the restarted machines cannot join.
        self.run_for(Duration::from_secs(2));
        CONFIGURED.for_each(|index| self.start_replica(index, false));
        self.run_for(Duration::from_secs(3));
        let members = self.members();
        assert!(!members.is_empty(), "there is no leader");
        assert!(configured_addresses().iter().all(|address| !members.contains(address)), "{members:?}");
    }

    fn restart_all(&mut self) {
        (1..=REPLICAS).for_each(|index| self.kill(index));
        self.run_for(Duration::from_secs(1));
        (1..=REPLICAS).for_each(|index| self.start_replica(index, false));
    }
}

/// Replaces the members listed in the settings, restarts all machines if `restart_all` is set, and waits for the first
/// reply to a relay.
fn find_group(disks: Disks, restart_all: bool) {
    for seed in SEEDS {
        let mut deployment = Deployment::start(seed);
        deployment.replace_configured_members(disks);
        if restart_all {
            deployment.restart_all();
        }
        let started_at = deployment.world.clock.now();
        let reply_times = deployment.start_relay();
        deployment.run_for(SEARCH_LIMIT);
        assert!(!deployment.members().is_empty(), "seed {seed}: there is no leader");
        let took = reply_times.first.get().map(|at| at.saturating_sub(started_at));
        assert!(took.is_some(), "seed {seed}: the relay finds no leader within {SEARCH_LIMIT:?}");
        println!("seed {seed}: found after {} ms", took.unwrap_or_default().as_millis());
    }
}

#[test]
fn a_relay_finds_a_restarted_group_without_members_in_its_settings() {
    find_group(Disks::Kept, true);
}

/// The relay starts while the group keeps running.
#[test]
fn a_relay_finds_a_running_group_without_members_in_its_settings() {
    find_group(Disks::Kept, false);
}

/// Machines with empty disks know only the addresses in the settings.
#[test]
fn a_relay_finds_the_group_through_machines_with_empty_disks() {
    find_group(Disks::Lost, true);
}

/// An announcement of another group, for example at a reused address, must be rejected.
#[test]
fn an_announcement_of_another_group_is_rejected() {
    let mut deployment = Deployment::start(1);
    let leader = deployment.leader().expect("there is a leader");
    let foreign_leader: SocketAddr = ([10, 0, 77, 7], 7_000).into();
    let other_group = 4_711;
    let announcement =
        ReplicaRequest::Announce { group: other_group, leader: foreign_leader, members: vec![foreign_leader] };
    let reply = Rc::new(RefCell::new(None));
    let result = reply.clone();
    let process = deployment.world.start_process("foreign-peer", 0, 0);
    let replica = leader.replica().clone();
    deployment.world.spawn(&process, async move {
        *result.borrow_mut() = Some(replica.handle(announcement, FeatureLevel::NEWEST).await);
    });
    deployment.run_for(Duration::from_millis(100));
    assert_eq!(*reply.borrow(), Some(ReplicaReply::Rejected));
    assert!(!leader.replica().known_peers().contains(&foreign_leader));
    assert!(!leader.replica().redirect_addresses().contains(&foreign_leader));
}
