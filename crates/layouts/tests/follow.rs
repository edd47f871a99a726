//! A relay of this build that polls a leader at level one.

use saddlerelay_layouts::level_one::follow::FollowConverter;
use saddlerelay_layouts::level_one::gateway::{FollowReply, InstanceId, InstanceRecord, InstanceReport};
use saddlerelay_types::gateway::FollowRequest;
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::{InstanceState, InstanceUpdate};

fn follow(instance_revision: u64) -> FollowRequest {
    FollowRequest {
        relay: "relay".to_string(),
        zone: "north".to_string(),
        routing_version: None,
        instance_revision,
        at_follower: false,
        incarnation: Incarnation(1),
        unix_ms: 0,
        usage: None,
        suspicion_revision: 0,
    }
}

fn record(name: &str, state: InstanceState, revision: u64) -> InstanceRecord {
    let report = InstanceReport {
        id: InstanceId(name.to_string()),
        service: "web".to_string(),
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: "north".to_string(),
        slots: 1,
        leaving: false,
        models: Vec::new(),
        sequence: 1,
    };
    InstanceRecord { report, state, revision }
}

fn reply(instance_revision: u64, instances: Vec<InstanceRecord>, silent: &[&str]) -> FollowReply {
    FollowReply {
        lease_ms: 1_000,
        routing: None,
        instance_revision,
        instances,
        silent: silent.iter().map(|name| InstanceId(name.to_string())).collect(),
        replicas: Vec::new(),
        nearest_replica: None,
    }
}

/// Sends a request at `revision` and converts the reply.
fn poll(memory: &mut FollowConverter, revision: u64, reply: FollowReply) -> InstanceUpdate {
    let request = memory.to_level_one(&follow(revision));
    memory.convert_reply(&request, reply).expect("a reply without routing").instances
}

/// Names and silent flags of the records.
fn silent_flags(changes: &InstanceUpdate) -> Vec<(&str, bool)> {
    changes.records.iter().map(|record| (record.report.id.name.as_str(), record.silent)).collect()
}

#[test]
fn changes_of_the_silent_list_become_record_changes() {
    let mut memory = FollowConverter::default();
    let both = vec![record("a", InstanceState::Ready, 1), record("b", InstanceState::Ready, 2)];
    let first = poll(&mut memory, 0, reply(2, both, &["b"]));
    assert!(first.whole);
    assert_eq!(silent_flags(&first), [("a", false), ("b", true)]);
    let swapped = poll(&mut memory, 2, reply(2, Vec::new(), &["a"]));
    assert!(!swapped.whole);
    assert_eq!(silent_flags(&swapped), [("a", true), ("b", false)]);
    let nothing = poll(&mut memory, 2, reply(2, Vec::new(), &["a"]));
    assert!(!nothing.whole && nothing.records.is_empty());
}

/// Otherwise the leader would see outdated state in each request and reply immediately, in a busy loop.
#[test]
fn the_request_lists_the_instances_last_reported_silent() {
    let mut memory = FollowConverter::default();
    poll(&mut memory, 0, reply(3, vec![record("a", InstanceState::Ready, 3)], &["a"]));
    let request = memory.to_level_one(&follow(3));
    assert_eq!((request.instance_revision, request.silent), (3, vec![InstanceId("a".to_string())]));
}

#[test]
fn a_gone_instance_is_reported_once_and_removed() {
    let mut memory = FollowConverter::default();
    poll(&mut memory, 0, reply(1, vec![record("a", InstanceState::Ready, 1)], &[]));
    let gone = poll(&mut memory, 1, reply(2, vec![record("a", InstanceState::Gone, 2)], &[]));
    assert_eq!(gone.records.len(), 1);
    assert_eq!(gone.records[0].state, InstanceState::Gone);
    assert!(poll(&mut memory, 2, reply(2, Vec::new(), &["a"])).records.is_empty());
}

/// Another replica may have replied meanwhile, or the relay may not have applied the last reply.
#[test]
fn a_relay_at_another_revision_receives_the_full_state() {
    let mut memory = FollowConverter::default();
    poll(&mut memory, 0, reply(5, vec![record("a", InstanceState::Ready, 5)], &["a"]));
    let request = memory.to_level_one(&follow(4));
    assert_eq!((request.instance_revision, request.silent.len()), (0, 0));
    let changes = poll(&mut memory, 4, reply(6, vec![record("b", InstanceState::Ready, 6)], &[]));
    assert!(changes.whole);
    assert_eq!(silent_flags(&changes), [("b", false)]);
}
