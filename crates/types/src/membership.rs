//! Relays and engines as the control group records them.

use crate::engine::{EngineDescription, WeightState};
use crate::identity::{EngineId, Incarnation, Revision, Zone};
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether an engine may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAvailability {
    /// Registered and answering.
    Available,
    /// Does not answer control.
    Unreachable,
    /// On its way out; stays so until it registers with a new incarnation.
    Leaving,
}

/// An engine as recorded.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Where it is.
    pub description: EngineDescription,
    /// The process start that reported last; zero before the first report.
    pub incarnation: u64,
    /// Whether it may get new work.
    pub availability: EngineAvailability,
    /// The weights it confirmed last.
    pub weights: WeightState,
    /// The record's own revision: rises with each change.
    pub revision: u64,
}

/// Where a relay is.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RelayDescription {
    /// The relay's name from its settings.
    pub name: String,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// Its caller-facing address.
    pub address: SocketAddr,
}

/// A relay as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RelayView {
    /// Where it is.
    pub description: RelayDescription,
    /// The configuration revision it said it acts on.
    pub revision: Revision,
    /// Milliseconds since its last lease renewal.
    pub renewed_milliseconds_ago: u64,
}

/// What the platform's list says of a machine; may lag.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct PlatformMachine {
    /// The engine on the machine.
    pub engine: EngineDescription,
    /// Whether the platform is taking the machine away.
    pub leaving: bool,
}

/// Names a changed engine in a commit.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineObservation {
    /// The engine.
    pub id: EngineId,
    /// The process start that was observed.
    pub incarnation: u64,
    /// Whether it may get new work.
    pub availability: EngineAvailability,
    /// Its weights.
    pub weights: WeightState,
}
