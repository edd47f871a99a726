//! Relays and engines coming, changing and going.

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
        MembershipCommand::DrawFence => CommandOutcome::Fence(state.members.draw_fence()),
    }
}

/// A relay that starts anew replaces its earlier incarnation at once.
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

/// Takes back everything a relay was running.
fn relay_lost(state: &mut ControlState, relay: Incarnation) -> bool {
    state.claims.holder_lost(relay);
    rollouts::relay_lost(state, relay);
    state.members.lose_relay(relay)
}

/// An engine gets work only after it has been observed.
fn register_engine(state: &mut ControlState, description: EngineDescription) -> bool {
    let known = state.members.engine(&description.id).is_some_and(|record| record.description == description);
    if known {
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

/// An incarnation that is leaving stays so: only a new start of the engine makes it available again.
fn observe(state: &mut ControlState, observation: &EngineObservation) -> bool {
    let Some(record) = state.members.engine(&observation.id) else {
        return false;
    };
    let same_start = record.incarnation == observation.incarnation;
    let stays_leaving = same_start && record.availability == EngineAvailability::Leaving;
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
