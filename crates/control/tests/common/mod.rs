//! Helpers that apply commands to a replicated state.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

pub mod golden_files;

use saddlerelay_control::commands;
use saddlerelay_control::state::ControlState;
use saddlerelay_types::identity::{Incarnation, Zone};
use saddlerelay_types::membership::RelayDescription;
use saddlerelay_types::protocol::{Command, CommandOutcome, LogCommand, MembershipCommand};

/// The leader's clock in these tests, in Unix milliseconds.
pub const NOW: u64 = 1_000_000;

/// Applies a command at [`NOW`].
pub fn apply(state: &mut ControlState, command: Command) -> CommandOutcome {
    commands::apply(state, LogCommand { time: NOW, command })
}

/// Adds the relay `relay-<incarnation>`.
pub fn add_relay(state: &mut ControlState, incarnation: u64) {
    let description = RelayDescription {
        name: format!("relay-{incarnation}"),
        incarnation: Incarnation(incarnation),
        zone: Zone::new("surco"),
        address: ([127, 0, 0, 1], 1).into(),
    };
    apply(state, Command::Membership(MembershipCommand::RelayJoined(description)));
}

/// Declares the relay with this incarnation lost.
pub fn declare_relay_lost(state: &mut ControlState, incarnation: u64) {
    apply(state, Command::Membership(MembershipCommand::RelayLost(Incarnation(incarnation))));
}
