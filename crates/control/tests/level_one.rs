//! Compatibility with builds of feature level one, for rolling upgrades: golden files written by a released build of
//! that level are read and written again byte for byte, and its log leads to an identical snapshot.

use saddlerelay_control::instance_watch::InstanceWatch;
use saddlerelay_control::machine::ControlMachine;
use saddlerelay_control::state::ControlState;
use saddlerelay_layouts::commands::{DecodedCommand, decode, encode};
use saddlerelay_layouts::level_one::follow::FollowConverter;
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

/// Number of requests in [`MESSAGES`]; replies follow.
const REQUESTS: usize = 19;

/// Number of requests in [`PEERS`]; [`PEER_REPLIES`] replies follow, then log file records.
const PEER_REQUESTS: usize = 6;
const PEER_REPLIES: usize = 8;

fn frames(mut bytes: &[u8]) -> Vec<&[u8]> {
    let mut frames = Vec::new();
    while let Some((length, remaining)) = bytes.split_first_chunk::<4>() {
        let (frame, remaining) = remaining.split_at(u32::from_le_bytes(*length) as usize);
        frames.push(frame);
        bytes = remaining;
    }
    frames
}

fn new_machine() -> ControlMachine {
    let mut machine = ControlMachine::default();
    machine.enter_level(FeatureLevel::One);
    machine
}

fn machine_with_log_applied() -> ControlMachine {
    let mut machine = new_machine();
    for entry in frames(LOG) {
        machine.apply(entry);
    }
    machine
}

#[test]
fn log_of_a_released_build_leads_to_an_identical_snapshot() {
    assert_eq!(machine_with_log_applied().snapshot(), STATE);
}

#[test]
fn snapshot_after_any_prefix_of_the_log_can_be_restored() {
    let entries = frames(LOG);
    for cut in (0..entries.len()).step_by(50) {
        let mut machine = new_machine();
        entries[..cut].iter().for_each(|entry| drop(machine.apply(entry)));
        let mut restored = ControlMachine::default();
        restored.restore(&machine.snapshot(), FeatureLevel::One);
        entries[cut..].iter().for_each(|entry| drop(restored.apply(entry)));
        assert_eq!(restored.snapshot(), STATE, "cut at {cut}");
    }
}

/// A replica that applied every entry and one that was restored from a snapshot have the same state after the level is
/// raised, even if only one of them has silent flags set.
#[test]
fn replicas_have_the_same_state_after_the_level_is_raised() {
    let mut replayed = machine_with_log_applied();
    let mut restored = ControlMachine::default();
    restored.restore(STATE, FeatureLevel::One);
    let marked: Vec<_> = replayed.state().instances.iter().map(|record| record.report.id.clone()).collect();
    replayed.mark_silence(&marked, &[]);
    replayed.enter_level(FeatureLevel::Two);
    restored.enter_level(FeatureLevel::Two);
    assert_eq!(replayed.snapshot(), restored.snapshot());
    assert!(replayed.state() == restored.state());
    assert!(replayed.state().instances.silent().is_empty());
    assert_eq!(replayed.state().routing.version(), restored.state().routing.version());
}

/// Raising the level loses no state of level one.
#[test]
fn raising_the_level_keeps_the_state() {
    let mut machine = machine_with_log_applied();
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
fn log_entries_are_encoded_as_by_a_released_build() {
    for entry in frames(LOG) {
        let Some(DecodedCommand::One(command)) = decode(entry, FeatureLevel::One) else {
            panic!("an entry of a released build does not decode");
        };
        assert_eq!(bitcode::encode(&command), entry);
    }
}

#[test]
fn messages_are_encoded_as_by_a_released_build() {
    let messages = frames(MESSAGES);
    let (requests, replies) = messages.split_at(REQUESTS);
    for request in requests {
        let decoded: ControlRequest = bitcode::decode(request).expect("a request of a released build decodes");
        assert_eq!(bitcode::encode(&decoded), *request);
        match messages::decode_request(request, FeatureLevel::One).expect("the request has a current equivalent") {
            Request::Current(current) => {
                let encoded = messages::encode_request(&current, FeatureLevel::One)
                    .expect("the request is representable at level one");
                assert_eq!(encoded, *request, "{current:?}");
            }
            Request::FollowOne(follow) => assert_eq!(messages::encode_follow_one(follow), *request),
        }
    }
    for reply in replies {
        let decoded: ControlReply = bitcode::decode(reply).expect("a reply of a released build decodes");
        assert_eq!(bitcode::encode(&decoded), *reply);
        if let Some(current) = messages::decode_reply(reply, FeatureLevel::One) {
            let encoded = messages::encode_reply(current.clone(), FeatureLevel::One)
                .expect("the reply is representable at level one");
            assert_eq!(encoded, *reply, "{current:?}");
        }
    }
}

#[test]
fn replication_messages_are_encoded_as_by_a_released_build() {
    let golden_messages = frames(PEERS);
    let (requests, replies_and_records) = golden_messages.split_at(PEER_REQUESTS);
    let (replies, records) = replies_and_records.split_at(PEER_REPLIES);
    for golden in requests {
        let request = message_codec::decode_request(golden, FeatureLevel::One).expect("the golden data decodes");
        assert_eq!(message_codec::encode_request(&request, FeatureLevel::One).as_deref(), Some(*golden));
    }
    for golden in replies {
        let reply = message_codec::decode_reply(golden, FeatureLevel::One).expect("the golden data decodes");
        assert_eq!(message_codec::encode_reply(reply, FeatureLevel::One), *golden);
    }
    for golden in records {
        let content = wal::read(golden).expect("the golden data decodes");
        assert_eq!(wal::encode(&content.records[0]), *golden);
    }
}

/// A follow reply of level one lists silent instances separately from their records.
#[test]
fn follow_reply_of_a_released_build_is_decoded() {
    let messages = frames(MESSAGES);
    let request = one::FollowRequest {
        relay: "relay".to_string(),
        zone: "north".to_string(),
        routing_version: None,
        instance_revision: 0,
        silent: Vec::new(),
    };
    let mut converter = FollowConverter::default();
    let reply = messages::decode_follow_one(messages[REQUESTS], &request, &mut converter);
    let Some(saddlerelay_types::protocol::ControlReply::Gateway(saddlerelay_types::gateway::GatewayReply::Followed(
        reply,
    ))) = reply
    else {
        panic!("the reply does not decode");
    };
    let document = reply
        .routing
        .expect("the reply contains a routing update")
        .decode()
        .expect("the golden data decodes")
        .apply(None)
        .expect("the update contains the whole document");
    assert!(!document.routes.is_empty() && document.tenants.is_none());
    assert!(reply.instances.whole && reply.instances.records.len() == 1);
}

#[test]
fn order_intent_and_fencing_token_take_two_entries_at_level_one() {
    let holder = ReplicaId(5);
    let subjects = vec![OrderSubject::Engine("engine-1".to_string())];
    let intent = Command::Gateway(GatewayCommand::RecordOrderIntents { holder, subjects });
    let mut machine = new_machine();
    let entries = encode(1, intent.clone(), FeatureLevel::One).expect("the command is representable at level one");
    let outcomes: Vec<CommandOutcome> = entries.iter().map(|entry| machine.apply(entry)).collect();
    let Some(CommandOutcome::Gateway(GatewayOutcome::Orders { holder_changed: false, .. })) = outcomes.last() else {
        panic!("unexpected outcomes of an order intent: {outcomes:?}");
    };
    assert_eq!(machine.state().orders.holder(), Some(holder));
    assert_eq!(machine.state().orders.intents().len(), 1);
    let mut level_two = ControlMachine::default();
    let entry = &encode(1, intent, FeatureLevel::Two).expect("the command is representable at level two")[0];
    assert_eq!(Some(level_two.apply(entry)), outcomes.last().cloned());
}

#[test]
fn commands_not_representable_at_level_one_are_not_encoded() {
    let not_representable = [
        GatewayCommand::CloseUsageWindows(saddlerelay_types::usage::UsageWindow(3)),
        GatewayCommand::RecordOrderIntents { holder: ReplicaId(1), subjects: vec![OrderSubject::UsageReports] },
        GatewayCommand::ExpireSuspicions,
    ];
    for command in not_representable {
        assert!(encode(1, Command::Gateway(command.clone()), FeatureLevel::One).is_none(), "{command:?}");
    }
}

/// At level one the log has only the engine's name. The leader must accept reports of a new start, whose sequence
/// numbers begin again, and ignore delayed reports of the earlier start.
#[test]
fn reports_of_a_restarted_engine_are_accepted_at_level_one() {
    let report = |sequence| InstanceReport {
        id: InstanceId::without_start_time("engine"),
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
    assert!(watch.record_start(&InstanceId::started("engine", 100)));
    watch.record_report(&report(50), seconds(1));
    assert!(watch.record_start(&InstanceId::started("engine", 200)));
    watch.record_report(&report(1), seconds(2));
    let (received_at, models) = watch.models(&InstanceId::without_start_time("engine")).expect("a report was received");
    assert_eq!((received_at, models[0].version), (seconds(2), 1));
    assert!(!watch.record_start(&InstanceId::started("engine", 100)), "a delayed report of the earlier start");
    assert!(watch.record_start(&InstanceId::without_start_time("other")), "an engine without a start time");
}
