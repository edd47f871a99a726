//! Membership commands: relays that join or are lost, engine registration and observations.

use crate::commands::rollouts;
use crate::state::ControlState;
use saddlerelay_types::engine::{EngineDescription, WeightState};
use saddlerelay_types::identity::{Incarnation, WeightVersion};
use saddlerelay_types::membership::{EngineAvailability, EngineObservation, EngineRecord, RelayDescription};
use saddlerelay_types::protocol::{CommandOutcome, MembershipCommand};

/// Applies a membership command.
pub fn apply(state: &mut ControlState, command: MembershipCommand) -> CommandOutcome {
    match command {
        MembershipCommand::RelayJoined(description) => CommandOutcome::Applied(relay_joined(state, description)),
        MembershipCommand::RelayLost(relay) => CommandOutcome::Applied(relay_lost(state, relay)),
        MembershipCommand::RegisterEngine(description) => CommandOutcome::Applied(register_engine(state, description)),
        MembershipCommand::Observe(observations) => {
            let changed = observations.into_iter().filter(|observation| observe(state, observation)).count();
            CommandOutcome::Applied(changed > 0)
        }
        MembershipCommand::IssueFence => CommandOutcome::Fence(state.members.issue_fence()),
    }
}

/// Adds a relay. Earlier incarnations with the same name are declared lost immediately.
fn relay_joined(state: &mut ControlState, description: RelayDescription) -> bool {
    let same_name =
        |other: &&RelayDescription| other.name == description.name && other.incarnation != description.incarnation;
    let earlier: Vec<_> = state.members.relays().values().filter(same_name).map(|relay| relay.incarnation).collect();
    let joined = state.members.add_relay(description);
    if joined {
        for incarnation in earlier {
            relay_lost(state, incarnation);
        }
    }
    joined
}

/// Declares a relay lost: its running claims are marked lost and its samples are requeued.
fn relay_lost(state: &mut ControlState, relay: Incarnation) -> bool {
    state.claims.mark_holder_lost(relay);
    rollouts::relay_lost(state, relay);
    state.members.declare_relay_lost(relay)
}

/// Registers an engine as unreachable; it receives work only after it has been observed. Returns whether anything
/// changed.
fn register_engine(state: &mut ControlState, description: EngineDescription) -> bool {
    let registered = state.members.engine(&description.id).is_some_and(|record| record.description == description);
    if registered {
        return false;
    }
    state.members.put_engine(EngineRecord {
        description,
        incarnation: 0,
        availability: EngineAvailability::Unreachable,
        weights: WeightState::Loading(WeightVersion(0)),
        revision: 0,
    });
    true
}

/// Applies an observation; returns whether the record changed. A leaving engine becomes available again only with a new
/// incarnation.
fn observe(state: &mut ControlState, observation: &EngineObservation) -> bool {
    let Some(record) = state.members.engine(&observation.id) else {
        return false;
    };
    let same_incarnation = record.incarnation == observation.incarnation;
    let stays_leaving = same_incarnation && record.availability == EngineAvailability::Leaving;
    let availability = if stays_leaving { EngineAvailability::Leaving } else { observation.availability };
    let updated = EngineRecord {
        incarnation: observation.incarnation,
        availability,
        weights: observation.weights,
        ..record.clone()
    };
    let changed = updated != *record;
    if changed {
        state.members.put_engine(updated);
    }
    changed
}
