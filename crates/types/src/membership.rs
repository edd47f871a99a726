//! Relays and engines as recorded by the control group.

use crate::engine::{EngineDescription, WeightState};
use crate::identity::{EngineId, Incarnation, Revision, Zone};
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether an engine may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAvailability {
    /// Registered and responding.
    Available,
    /// Does not respond to the control group.
    Unreachable,
    /// Draining, until it registers with a new incarnation.
    Leaving,
}

/// The record of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Its registered description.
    pub description: EngineDescription,
    /// Incarnation of the last report; zero before the first report.
    pub incarnation: u64,
    /// Whether it may receive new work.
    pub availability: EngineAvailability,
    /// The weights it reported last.
    pub weights: WeightState,
    /// Revision of the record, which increases with each change.
    pub revision: u64,
}

/// A relay process.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RelayDescription {
    /// The relay's name from its settings.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// Address at which it accepts callers.
    pub address: SocketAddr,
}

/// A relay's status for operators.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RelayView {
    /// Its address, zone and name.
    pub description: RelayDescription,
    /// The configuration revision that it last reported as in use.
    pub revision: Revision,
    /// Milliseconds since its last lease renewal.
    pub renewed_milliseconds_ago: u64,
}

/// An entry of the platform's machine list; may be stale.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct PlatformMachine {
    /// The engine on the machine.
    pub engine: EngineDescription,
    /// Whether the platform is removing the machine.
    pub leaving: bool,
}

/// An observed change of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineObservation {
    /// The engine.
    pub id: EngineId,
    /// The observed incarnation.
    pub incarnation: u64,
    /// Whether it may receive new work.
    pub availability: EngineAvailability,
    /// State of its weights.
    pub weights: WeightState,
}
