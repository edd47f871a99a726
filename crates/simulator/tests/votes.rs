//! A vote that was given, or taken for itself, binds a replica also after it lost power right then.

mod group;

use group::{Group, name};
use saddlerelay_replication::message::{Header, ReplicaReply, ReplicaRequest};
use saddlerelay_replication::storage::Identity;
use saddlerelay_replication::wal;
use saddlerelay_types::identity::ReplicaId;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..20;

/// The replica under test.
const VOTER: u8 = 2;

/// The longest that a replica refuses votes for after it has heard of a leader, and some more.
const LEADER_FORGOTTEN: Duration = Duration::from_millis(800);

/// The group's name, from a replica's files.
fn group_name(group: &Group) -> u64 {
    let file = group.world.disks.content(&name(VOTER), "identity").expect("it has an identity");
    let body = wal::unframe(&file).expect("a sound file").expect("a whole file");
    let identity: Identity = bitcode::decode(body).expect("an identity");
    identity.group.expect("it belongs to a group")
}

/// A group of which only the voter runs, whose leader is forgotten; and that leader's term.
fn lonely(seed: u64) -> (Group, u64) {
    let mut group = Group::formed(seed);
    group.propose_for(Duration::from_millis(100));
    let term = group.leader().and_then(|leader| leader.leading_term()).expect("there is a leader");
    [1, 3, 4, 5].iter().for_each(|place| group.kill(*place));
    group.run_for(LEADER_FORGOTTEN);
    (group, term)
}

/// What the voter answers to a candidate that holds more than it does.
fn asked_for_vote(group: &mut Group, to: ReplicaId, candidate: u64, term: u64) -> Option<ReplicaReply> {
    let header = Header { group: group_name(group), from: ReplicaId(candidate), to, term };
    let request =
        ReplicaRequest::Vote { header, pre_vote: false, transfer: true, last_index: 1_000_000, last_term: term };
    group.ask(VOTER, request)
}

fn is_granted(reply: &Option<ReplicaReply>) -> bool {
    matches!(reply, Some(ReplicaReply::Vote { granted: true, .. }))
}

#[test]
fn a_vote_that_was_given_is_not_given_again_after_a_loss_of_power() {
    for seed in SEEDS {
        let (mut group, _) = lonely(seed);
        let voter = group.node(VOTER).expect("it runs").id();
        assert!(is_granted(&asked_for_vote(&mut group, voter, 71, 50)), "seed {seed}: the first candidate");
        group.power_off(VOTER);
        group.start(VOTER, false);
        group.run_for(Duration::from_millis(50));
        let second = asked_for_vote(&mut group, voter, 72, 50);
        assert!(second.is_some() && !is_granted(&second), "seed {seed}: the second candidate got {second:?}");
        assert!(is_granted(&asked_for_vote(&mut group, voter, 71, 50)), "seed {seed}: the first candidate again");
    }
}

#[test]
fn a_candidate_that_loses_power_votes_for_nobody_else_in_its_term() {
    for seed in SEEDS {
        let (mut group, term) = lonely(seed);
        let voter = group.node(VOTER).expect("it runs").id();
        let header = Header { group: group_name(&group), from: ReplicaId(71), to: voter, term };
        group.ask(VOTER, ReplicaRequest::TakeOver { header });
        group.run_for(Duration::from_millis(20));
        group.power_off(VOTER);
        group.start(VOTER, false);
        group.run_for(Duration::from_millis(50));
        let refused = asked_for_vote(&mut group, voter, 72, term + 1);
        assert!(refused.is_some() && !is_granted(&refused), "seed {seed}: {refused:?}");
    }
}

/// A request to take over lets voters pass over the lease of the leader that sent it. One that was under way while another
/// leader came must not touch that one's lease.
#[test]
fn a_request_to_take_over_of_an_earlier_term_is_refused() {
    for seed in SEEDS {
        let (mut group, term) = lonely(seed);
        let voter = group.node(VOTER).expect("it runs").id();
        // It enters a newer term with its vote.
        assert!(is_granted(&asked_for_vote(&mut group, voter, 71, term + 10)), "seed {seed}: the vote");
        let header = Header { group: group_name(&group), from: ReplicaId(72), to: voter, term };
        let reply = group.ask(VOTER, ReplicaRequest::TakeOver { header });
        assert_eq!(reply, Some(ReplicaReply::Refused), "seed {seed}");
    }
}
