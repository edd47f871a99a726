//! Membership of engines and relays: availability, incarnations and fencing tokens.

use saddlerelay_control::commands;
use saddlerelay_control::state::ControlState;
use saddlerelay_types::engine::{EngineDescription, WeightState};
use saddlerelay_types::identity::{EngineId, Incarnation, ModelName, WeightVersion, Zone};
use saddlerelay_types::membership::{EngineAvailability, EngineObservation, RelayDescription};
use saddlerelay_types::protocol::{Command, CommandOutcome, LogCommand, MembershipCommand};

fn apply(state: &mut ControlState, command: MembershipCommand) -> CommandOutcome {
    commands::apply(state, LogCommand { time: 1, command: Command::Membership(command) })
}

fn engine() -> EngineId {
    EngineId::new("engine-1")
}

fn register(state: &mut ControlState, port: u16) {
    let description = EngineDescription {
        id: engine(),
        address: ([127, 0, 0, 1], port).into(),
        zone: Zone::new("plateau"),
        model: ModelName::new("guichet-prix"),
        slots: 8,
    };
    apply(state, MembershipCommand::RegisterEngine(description));
}

fn observe(state: &mut ControlState, incarnation: u64, availability: EngineAvailability) -> EngineAvailability {
    let weights = WeightState::Confirmed(WeightVersion(3));
    let observation = EngineObservation { id: engine(), incarnation, availability, weights };
    apply(state, MembershipCommand::Observe(vec![observation]));
    state.members.engine(&engine()).expect("the engine is registered").availability
}

#[test]
fn registered_engine_is_unreachable_until_observed() {
    let mut state = ControlState::default();
    register(&mut state, 1);
    let record = state.members.engine(&engine()).expect("the engine is registered");
    assert_eq!(record.availability, EngineAvailability::Unreachable);
    assert_eq!(observe(&mut state, 9, EngineAvailability::Available), EngineAvailability::Available);
}

#[test]
fn leaving_engine_is_available_again_only_with_a_new_incarnation() {
    let mut state = ControlState::default();
    register(&mut state, 1);
    observe(&mut state, 9, EngineAvailability::Leaving);
    assert_eq!(observe(&mut state, 9, EngineAvailability::Available), EngineAvailability::Leaving);
    assert_eq!(observe(&mut state, 9, EngineAvailability::Unreachable), EngineAvailability::Leaving);
    assert_eq!(observe(&mut state, 10, EngineAvailability::Available), EngineAvailability::Available);
}

#[test]
fn engine_with_a_new_address_is_unreachable_until_observed() {
    let mut state = ControlState::default();
    register(&mut state, 1);
    observe(&mut state, 9, EngineAvailability::Available);
    register(&mut state, 2);
    let record = state.members.engine(&engine()).expect("the engine is registered");
    assert_eq!(record.availability, EngineAvailability::Unreachable);
}

#[test]
fn new_relay_incarnation_replaces_the_earlier_one_and_a_lost_one_cannot_rejoin() {
    let mut state = ControlState::default();
    let relay = |incarnation| RelayDescription {
        name: "relay-1".to_string(),
        incarnation: Incarnation(incarnation),
        zone: Zone::new("plateau"),
        address: ([127, 0, 0, 1], 1).into(),
    };
    assert_eq!(apply(&mut state, MembershipCommand::RelayJoined(relay(1))), CommandOutcome::Applied(true));
    assert_eq!(apply(&mut state, MembershipCommand::RelayJoined(relay(2))), CommandOutcome::Applied(true));
    assert!(state.members.is_lost(Incarnation(1)));
    assert_eq!(apply(&mut state, MembershipCommand::RelayJoined(relay(1))), CommandOutcome::Applied(false));
    assert!(state.members.is_live(Incarnation(2)));
}

#[test]
fn fencing_tokens_increase() {
    let mut state = ControlState::default();
    let first = apply(&mut state, MembershipCommand::IssueFence);
    let second = apply(&mut state, MembershipCommand::IssueFence);
    let (CommandOutcome::Fence(first), CommandOutcome::Fence(second)) = (first, second) else {
        panic!("expected two fencing tokens");
    };
    assert!(second > first);
}
