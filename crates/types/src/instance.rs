//! Engine instances and their reports. Each start of an engine is a new instance, even under the same name.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Identifies one start of an engine. State recorded for an instance applies to this start only.
///
/// Identifiers sort by name and then by start time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct InstanceId {
    /// The engine's name, shared by all its starts.
    #[serde(rename = "id")]
    pub name: String,
    /// Start time in Unix milliseconds; `None` for engines that report none and use a new name for each start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
}

impl InstanceId {
    /// An instance without a start time.
    pub fn without_start_time(name: impl Into<String>) -> Self {
        Self { name: name.into(), started_at_ms: None }
    }

    /// An instance started at `at_ms`, in Unix milliseconds.
    pub fn started(name: impl Into<String>, at_ms: u64) -> Self {
        Self { name: name.into(), started_at_ms: Some(at_ms) }
    }

    /// All instances of a name, from the oldest to the newest.
    pub fn all_starts(name: &str) -> RangeInclusive<Self> {
        Self::without_start_time(name)..=Self::started(name, u64::MAX)
    }

    /// This instance and all later ones of the same name.
    pub fn starts_from_here(&self) -> RangeInclusive<Self> {
        self.clone()..=Self::started(&*self.name, u64::MAX)
    }
}

/// A model that an instance has loaded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: String,
    /// Its weight version.
    pub version: u64,
}

/// Status reported by an instance.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The instance.
    #[serde(flatten)]
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Whether it is draining and accepts no new work.
    pub leaving: bool,
    /// Loaded models, with their weight versions.
    pub models: Vec<LoadedModel>,
    /// Increases with each report of an instance; used to discard reports that arrive out of order.
    pub sequence: u64,
}

/// A heartbeat: the instance is alive and its report is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceHeartbeat {
    /// The instance.
    pub id: InstanceId,
    /// Sequence number of the unchanged report.
    pub sequence: u64,
}

/// Reports collected by one machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ReportBatch {
    /// Reports with changes that the machine has not forwarded yet.
    pub changed: Vec<InstanceReport>,
    /// Instances whose reports are unchanged.
    pub heartbeats: Vec<InstanceHeartbeat>,
}

/// Whether an instance may receive work. Transitions go only from an earlier variant to a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub enum InstanceState {
    /// Accepts work.
    Ready,
    /// Draining: it finishes the work in flight.
    Leaving,
    /// Deregistered, or replaced by a newer instance with its name or address.
    Gone,
}

/// An instance as recorded by the control group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The newest committed report.
    pub report: InstanceReport,
    /// Whether it may receive work.
    pub state: InstanceState,
    /// Whether its reports have stopped; it then receives work only if no other instance is available.
    pub silent: bool,
    /// Revision of the instance table at the record's last change.
    pub revision: u64,
}

/// Changes to the instance table visible to a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct InstanceUpdate {
    /// The instance table's revision.
    pub revision: u64,
    /// Whether `records` is the full table, which replaces the relay's.
    pub whole: bool,
    /// The changed instances, or all of them if `whole`.
    pub records: Vec<InstanceRecord>,
}
