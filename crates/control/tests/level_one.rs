//! Builds of level one and this one do the same: pictures that a released build of that level has written are read, the state
//! that its log leads to is the same to the byte, and what is written here at that level it would read.
//!
//! Seen: while a newer build replaced an older one, machine by machine, two of three control processes ended at each start,
//! relays of the newer build never became ready, and nothing that had been acknowledged could be read. How it came about:
//! a build read its own format of files only, spoke its own protocol only, and wrote the log from its own types. Cause: what
//! one build writes another must read, and the two had no language in common. Proved by `.ci/upgrade`, which runs both builds
//! side by side: the same case broke hundreds of promises before and none since levels are spoken.

use saddlerelay_control::instance_watch::InstanceWatch;
use saddlerelay_control::machine::ControlMachine;
use saddlerelay_control::state::ControlState;
use saddlerelay_layouts::commands::{Committed, decode, encode};
use saddlerelay_layouts::level_one::follow::FollowMemory;
use saddlerelay_layouts::level_one::gateway as one;
use saddlerelay_layouts::level_one::protocol::{ControlReply, ControlRequest};
use saddlerelay_layouts::messages::{self, Request};
use saddlerelay_replication::StateMachine;
use saddlerelay_replication::{message_codec, wal};
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, OrderSubject};
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::{InstanceId, InstanceReport, LoadedModel};
use saddlerelay_types::protocol::{Command, CommandOutcome};
use std::time::Duration;

const LOG: &[u8] = include_bytes!("pictures/level_one.log");
const STATE: &[u8] = include_bytes!("pictures/level_one.state");
const MESSAGES: &[u8] = include_bytes!("pictures/level_one.messages");
const PEERS: &[u8] = include_bytes!("pictures/level_one.peers");

/// Requests among the messages; answers follow.
const REQUESTS: usize = 19;

/// Requests of replicas among the pictures of peers; their answers follow, then records of the log.
const PEER_REQUESTS: usize = 6;
const PEER_REPLIES: usize = 8;

fn frames(mut bytes: &[u8]) -> Vec<&[u8]> {
    let mut frames = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let (frame, rest) = rest.split_at(u32::from_le_bytes(*length) as usize);
        frames.push(frame);
        bytes = rest;
    }
    frames
}

fn at_level_one() -> ControlMachine {
    let mut machine = ControlMachine::default();
    machine.enter_level(FeatureLevel::One);
    machine
}

fn applied() -> ControlMachine {
    let mut machine = at_level_one();
    for entry in frames(LOG) {
        machine.apply(entry);
    }
    machine
}

#[test]
fn the_log_of_a_released_build_leads_to_the_state_that_it_led_to_there() {
    assert_eq!(applied().snapshot(), STATE);
}

#[test]
fn every_prefix_of_the_log_may_be_left_to_the_other_build() {
    let entries = frames(LOG);
    for cut in (0..entries.len()).step_by(50) {
        let mut machine = at_level_one();
        entries[..cut].iter().for_each(|entry| drop(machine.apply(entry)));
        let mut restored = ControlMachine::default();
        restored.restore(&machine.snapshot(), FeatureLevel::One);
        entries[cut..].iter().for_each(|entry| drop(restored.apply(entry)));
        assert_eq!(restored.snapshot(), STATE, "cut at {cut}");
    }
}

/// A replica that has applied every entry and one that was sent a snapshot hold the same once the level is raised.
#[test]
fn replicas_agree_on_the_state_at_which_the_level_is_raised() {
    let mut lived = applied();
    let mut restored = ControlMachine::default();
    restored.restore(STATE, FeatureLevel::One);
    let marked: Vec<_> = lived.state().instances.iter().map(|record| record.report.id.clone()).collect();
    lived.mark_silence(&marked, &[]);
    lived.enter_level(FeatureLevel::Two);
    restored.enter_level(FeatureLevel::Two);
    assert_eq!(lived.snapshot(), restored.snapshot());
    assert!(lived.state() == restored.state());
    assert!(lived.state().instances.silent().is_empty());
    assert_eq!(lived.state().routing.version(), restored.state().routing.version());
}

/// Nothing that was acknowledged at level one is lost by the raise.
#[test]
fn what_was_acknowledged_stands_behind_the_raise() {
    let mut machine = applied();
    let before = machine.state().clone();
    machine.enter_level(FeatureLevel::Two);
    let after = machine.state();
    assert!(after.routing == before.routing && after.jobs == before.jobs && after.orders == before.orders);
    assert!(after.weights == before.weights && after.stores == before.stores && after.members == before.members);
    assert!(after.instances.revision() > before.instances.revision());
    let states = |state: &ControlState| -> Vec<_> {
        state.instances.iter().map(|record| (record.report.clone(), record.state)).collect()
    };
    assert_eq!(states(after), states(&before));
}

#[test]
fn entries_are_written_as_a_released_build_writes_them() {
    for entry in frames(LOG) {
        let Some(Committed::One(command)) = decode(entry, FeatureLevel::One) else {
            panic!("an entry of a released build is read");
        };
        assert_eq!(bitcode::encode(&command), entry);
    }
}

#[test]
fn messages_are_written_as_a_released_build_writes_them() {
    let messages = frames(MESSAGES);
    let (requests, replies) = messages.split_at(REQUESTS);
    for request in requests {
        let read: ControlRequest = bitcode::decode(request).expect("a request of a released build is read");
        assert_eq!(bitcode::encode(&read), *request);
        match messages::decode_request(request, FeatureLevel::One).expect("it can be asked here") {
            Request::Today(today) => {
                let written = messages::encode_request(&today, FeatureLevel::One).expect("it can be asked there");
                assert_eq!(written, *request, "{today:?}");
            }
            Request::FollowOne(follow) => assert_eq!(messages::encode_follow_one(follow), *request),
        }
    }
    for reply in replies {
        let read: ControlReply = bitcode::decode(reply).expect("an answer of a released build is read");
        assert_eq!(bitcode::encode(&read), *reply);
        if let Some(today) = messages::decode_reply(reply, FeatureLevel::One) {
            let written = messages::encode_reply(today.clone(), FeatureLevel::One).expect("it can be answered there");
            assert_eq!(written, *reply, "{today:?}");
        }
    }
}

#[test]
fn replicas_write_each_other_as_a_released_build_does() {
    let pictures = frames(PEERS);
    let (requests, rest) = pictures.split_at(PEER_REQUESTS);
    let (replies, records) = rest.split_at(PEER_REPLIES);
    for picture in requests {
        let request = message_codec::decode_request(picture, FeatureLevel::One).expect("it is read");
        assert_eq!(message_codec::encode_request(&request, FeatureLevel::One).as_deref(), Some(*picture));
    }
    for picture in replies {
        let reply = message_codec::decode_reply(picture, FeatureLevel::One).expect("it is read");
        assert_eq!(message_codec::encode_reply(reply, FeatureLevel::One), *picture);
    }
    for picture in records {
        let content = wal::read(picture).expect("it is read");
        assert_eq!(wal::encode(&content.records[0]), *picture);
    }
}

/// The answer to a relay's question names silent instances apart.
#[test]
fn a_relay_reads_what_a_released_build_answers_it() {
    let messages = frames(MESSAGES);
    let question = one::FollowRequest {
        relay: "relay".to_string(),
        zone: "north".to_string(),
        routing_version: None,
        instance_revision: 0,
        silent: Vec::new(),
    };
    let mut memory = FollowMemory::default();
    let reply = messages::decode_follow_one(messages[REQUESTS], &question, &mut memory);
    let Some(saddlerelay_types::protocol::ControlReply::Gateway(saddlerelay_types::gateway::GatewayReply::Followed(
        reply,
    ))) = reply
    else {
        panic!("the answer is read");
    };
    let document = reply.routing.expect("a document").decode().expect("it is read").apply(None).expect("it is whole");
    assert!(!document.routes.is_empty() && document.tenants.is_none());
    assert!(reply.instances.whole && reply.instances.records.len() == 1);
}

#[test]
fn an_order_is_noted_and_draws_a_fence_in_two_entries() {
    let holder = ReplicaId(5);
    let subjects = vec![OrderSubject::Engine("engine-1".to_string())];
    let note = Command::Gateway(GatewayCommand::NoteOrders { holder, subjects });
    let mut machine = at_level_one();
    let entries = encode(1, note.clone(), FeatureLevel::One).expect("level one has words for it");
    let outcomes: Vec<CommandOutcome> = entries.iter().map(|entry| machine.apply(entry)).collect();
    let Some(CommandOutcome::Gateway(GatewayOutcome::Orders { taken_over: false, .. })) = outcomes.last() else {
        panic!("{outcomes:?}");
    };
    assert_eq!(machine.state().orders.holder(), Some(holder));
    assert_eq!(machine.state().orders.notes().len(), 1);
    let mut today = ControlMachine::default();
    let entry = &encode(1, note, FeatureLevel::Two).expect("today has words for it")[0];
    assert_eq!(Some(today.apply(entry)), outcomes.last().cloned());
}

#[test]
fn what_level_one_has_no_words_for_is_not_written() {
    let unspeakable = [
        GatewayCommand::FixUsage(saddlerelay_types::usage::UsageWindow(3)),
        GatewayCommand::NoteOrders { holder: ReplicaId(1), subjects: vec![OrderSubject::UsageReports] },
        GatewayCommand::ExpireSuspicions,
    ];
    for command in unspeakable {
        assert!(encode(1, Command::Gateway(command.clone()), FeatureLevel::One).is_none(), "{command:?}");
    }
}

/// An engine that starts again under its name counts its reports anew; where the log has its name alone, the leader must hear it all the
/// same, and its earlier start no more.
#[test]
fn an_engine_that_starts_again_is_heard_where_the_log_has_its_name_alone() {
    let report = |sequence| InstanceReport {
        id: InstanceId::named("engine"),
        service: "web".to_string(),
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: "north".to_string(),
        slots: 1,
        leaving: false,
        models: vec![LoadedModel { model: "notes".to_string(), version: sequence }],
        sequence,
    };
    let seconds = Duration::from_secs;
    let mut watch = InstanceWatch::default();
    assert!(watch.note_start(&InstanceId::started("engine", 100)));
    watch.hear(&report(50), seconds(1));
    assert!(watch.note_start(&InstanceId::started("engine", 200)));
    watch.hear(&report(1), seconds(2));
    let (heard_at, models) = watch.models(&InstanceId::named("engine")).expect("it was heard");
    assert_eq!((heard_at, models[0].version), (seconds(2), 1));
    assert!(!watch.note_start(&InstanceId::started("engine", 100)), "a late report of the earlier start");
    assert!(watch.note_start(&InstanceId::named("other")), "one that tells no start");
}
