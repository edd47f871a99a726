//! Engines and relays: who may get work, and what becomes of a lost relay.

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
fn an_engine_gets_no_work_before_it_was_observed() {
    let mut state = ControlState::default();
    register(&mut state, 1);
    let record = state.members.engine(&engine()).expect("the engine is registered");
    assert_eq!(record.availability, EngineAvailability::Unreachable);
    assert_eq!(observe(&mut state, 9, EngineAvailability::Available), EngineAvailability::Available);
}

#[test]
fn a_leaving_engine_stays_so_until_it_starts_anew() {
    let mut state = ControlState::default();
    register(&mut state, 1);
    observe(&mut state, 9, EngineAvailability::Leaving);
    assert_eq!(observe(&mut state, 9, EngineAvailability::Available), EngineAvailability::Leaving);
    assert_eq!(observe(&mut state, 9, EngineAvailability::Unreachable), EngineAvailability::Leaving);
    assert_eq!(observe(&mut state, 10, EngineAvailability::Available), EngineAvailability::Available);
}

#[test]
fn an_engine_that_moved_must_be_observed_again() {
    let mut state = ControlState::default();
    register(&mut state, 1);
    observe(&mut state, 9, EngineAvailability::Available);
    register(&mut state, 2);
    let record = state.members.engine(&engine()).expect("the engine is registered");
    assert_eq!(record.availability, EngineAvailability::Unreachable);
}

#[test]
fn a_relay_that_starts_anew_replaces_its_earlier_incarnation_and_a_lost_one_never_comes_back() {
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
fn fences_rise() {
    let mut state = ControlState::default();
    let first = apply(&mut state, MembershipCommand::DrawFence);
    let second = apply(&mut state, MembershipCommand::DrawFence);
    let (CommandOutcome::Fence(first), CommandOutcome::Fence(second)) = (first, second) else {
        panic!("drawing a fence brought no fence");
    };
    assert!(second > first);
}
