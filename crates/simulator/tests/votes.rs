//! A vote, also one for the replica itself, is durable across a power loss.

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

/// Time after a replica's last contact with a leader after which it grants votes again.
const LEADER_CONTACT_EXPIRY: Duration = Duration::from_millis(800);

/// The group's identifier, from a replica's storage.
fn group_id(group: &Group) -> u64 {
    let file = group.world.disks.content(&name(VOTER), "identity").expect("there is an identity file");
    let body = wal::unframe(&file).expect("the frame is valid").expect("the frame is complete");
    let identity: Identity = bitcode::decode(body).expect("the identity can be decoded");
    identity.group.expect("the replica belongs to a group")
}

/// A group of which only the voter runs, after its leader's election timeout, and that leader's term.
fn single_running_voter(seed: u64) -> (Group, u64) {
    let mut group = Group::formed(seed);
    group.propose_for(Duration::from_millis(100));
    let term = group.leader().and_then(|leader| leader.leading_term()).expect("there is a leader");
    [1, 3, 4, 5].iter().for_each(|index| group.kill(*index));
    group.run_for(LEADER_CONTACT_EXPIRY);
    (group, term)
}

/// The voter's reply to a candidate with a longer log.
fn request_vote(group: &mut Group, to: ReplicaId, candidate: u64, term: u64) -> Option<ReplicaReply> {
    let header = Header { group: group_id(group), from: ReplicaId(candidate), to, term };
    let request =
        ReplicaRequest::Vote { header, pre_vote: false, transfer: true, last_index: 1_000_000, last_term: term };
    group.send_request(VOTER, request)
}

fn is_granted(reply: &Option<ReplicaReply>) -> bool {
    matches!(reply, Some(ReplicaReply::Vote { granted: true, .. }))
}

#[test]
fn a_vote_is_durable_across_a_power_loss() {
    for seed in SEEDS {
        let (mut group, _) = single_running_voter(seed);
        let voter = group.node(VOTER).expect("the replica is running").id();
        assert!(is_granted(&request_vote(&mut group, voter, 71, 50)), "seed {seed}: the first candidate got no vote");
        group.power_off(VOTER);
        group.start(VOTER, false);
        group.run_for(Duration::from_millis(50));
        let second = request_vote(&mut group, voter, 72, 50);
        assert!(second.is_some() && !is_granted(&second), "seed {seed}: the second candidate got {second:?}");
        assert!(
            is_granted(&request_vote(&mut group, voter, 71, 50)),
            "seed {seed}: the first candidate got no vote after the restart"
        );
    }
}

#[test]
fn a_candidate_votes_for_no_other_in_its_term_after_a_power_loss() {
    for seed in SEEDS {
        let (mut group, term) = single_running_voter(seed);
        let voter = group.node(VOTER).expect("the replica is running").id();
        let header = Header { group: group_id(&group), from: ReplicaId(71), to: voter, term };
        group.send_request(VOTER, ReplicaRequest::TimeoutNow { header });
        group.run_for(Duration::from_millis(20));
        group.power_off(VOTER);
        group.start(VOTER, false);
        group.run_for(Duration::from_millis(50));
        let second_reply = request_vote(&mut group, voter, 72, term + 1);
        assert!(second_reply.is_some() && !is_granted(&second_reply), "seed {seed}: {second_reply:?}");
    }
}

/// A `TimeoutNow` request bypasses the lease of the leader that sent it. A delayed one must not bypass a newer leader's
/// lease.
#[test]
fn a_timeout_now_request_of_an_earlier_term_is_rejected() {
    for seed in SEEDS {
        let (mut group, term) = single_running_voter(seed);
        let voter = group.node(VOTER).expect("the replica is running").id();
        // Granting the vote moves the voter to a newer term.
        assert!(is_granted(&request_vote(&mut group, voter, 71, term + 10)), "seed {seed}: the vote was not granted");
        let header = Header { group: group_id(&group), from: ReplicaId(72), to: voter, term };
        let reply = group.send_request(VOTER, ReplicaRequest::TimeoutNow { header });
        assert_eq!(reply, Some(ReplicaReply::Rejected), "seed {seed}");
    }
}
