//! Command handlers of the replicated state. They are deterministic: no clock reads, no random numbers.

pub mod claims;
pub mod configuration;
pub mod gateway;
pub mod level_one;
pub mod membership;
pub mod rollouts;

use crate::state::ControlState;
use saddlerelay_types::protocol::{Command, CommandOutcome, LogCommand};

/// Applies one committed command.
pub fn apply(state: &mut ControlState, entry: LogCommand) -> CommandOutcome {
    advance_time(state, entry.time);
    match entry.command {
        Command::Configuration(change) => CommandOutcome::Configuration(configuration::apply(state, change)),
        Command::Claim(command) => CommandOutcome::Claim(claims::apply(state, command)),
        Command::Rollout(command) => rollouts::apply(state, command),
        Command::Membership(command) => membership::apply(state, command),
        Command::Gateway(command) => CommandOutcome::Gateway(gateway::apply(state, command)),
    }
}

/// Advances the state's time to the command's `time`, in Unix milliseconds by the leader's clock, and drops expired
/// claims.
fn advance_time(state: &mut ControlState, time: u64) {
    state.time = state.time.max(time);
    state.claims.drop_expired(state.time);
}
