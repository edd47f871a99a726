//! A relay of this build that a leader of level one answers.

use saddlerelay_layouts::level_one::follow::FollowMemory;
use saddlerelay_layouts::level_one::gateway::{FollowReply, InstanceId, InstanceRecord, InstanceReport};
use saddlerelay_types::gateway::FollowRequest;
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::{InstanceNews, InstanceState};

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

/// Asks at `revision`, and takes the answer.
fn ask(memory: &mut FollowMemory, revision: u64, answer: FollowReply) -> InstanceNews {
    let question = memory.question(&follow(revision));
    memory.take(&question, answer).expect("an answer without routing").instances
}

/// Names in the news, each with whether it is silent.
fn told(news: &InstanceNews) -> Vec<(&str, bool)> {
    news.records.iter().map(|record| (record.report.id.name.as_str(), record.silent)).collect()
}

#[test]
fn silence_that_is_named_apart_becomes_a_change_of_the_record() {
    let mut memory = FollowMemory::default();
    let both = vec![record("a", InstanceState::Ready, 1), record("b", InstanceState::Ready, 2)];
    let first = ask(&mut memory, 0, reply(2, both, &["b"]));
    assert!(first.whole);
    assert_eq!(told(&first), [("a", false), ("b", true)]);
    let flipped = ask(&mut memory, 2, reply(2, Vec::new(), &["a"]));
    assert!(!flipped.whole);
    assert_eq!(told(&flipped), [("a", true), ("b", false)]);
    let nothing = ask(&mut memory, 2, reply(2, Vec::new(), &["a"]));
    assert!(!nothing.whole && nothing.records.is_empty());
}

/// Otherwise the leader, which sees a relay that lacks news, would answer again and again at once.
#[test]
fn the_question_names_what_the_relay_was_told_of_silence() {
    let mut memory = FollowMemory::default();
    ask(&mut memory, 0, reply(3, vec![record("a", InstanceState::Ready, 3)], &["a"]));
    let question = memory.question(&follow(3));
    assert_eq!((question.instance_revision, question.silent), (3, vec![InstanceId("a".to_string())]));
}

#[test]
fn an_instance_that_is_gone_is_told_once_and_forgotten() {
    let mut memory = FollowMemory::default();
    ask(&mut memory, 0, reply(1, vec![record("a", InstanceState::Ready, 1)], &[]));
    let gone = ask(&mut memory, 1, reply(2, vec![record("a", InstanceState::Gone, 2)], &[]));
    assert_eq!(gone.records.len(), 1);
    assert_eq!(gone.records[0].state, InstanceState::Gone);
    assert!(ask(&mut memory, 2, reply(2, Vec::new(), &["a"])).records.is_empty());
}

/// It was answered by another replica meanwhile, or did not take the last answer.
#[test]
fn a_relay_that_holds_something_else_is_told_everything_anew() {
    let mut memory = FollowMemory::default();
    ask(&mut memory, 0, reply(5, vec![record("a", InstanceState::Ready, 5)], &["a"]));
    let question = memory.question(&follow(4));
    assert_eq!((question.instance_revision, question.silent.len()), (0, 0));
    let news = ask(&mut memory, 4, reply(6, vec![record("b", InstanceState::Ready, 6)], &[]));
    assert!(news.whole);
    assert_eq!(told(&news), [("b", false)]);
}
