//! Engine instances as they report themselves: each start of an engine is a new instance, also one under the name of an
//! earlier start.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// One start of an engine. What is known of an instance, is under way at it or is kept for it holds for this start alone.
///
/// In order, the starts under one name stand together, the newest last.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct InstanceId {
    /// The name under which it is called; another start may have it too.
    #[serde(rename = "id")]
    pub name: String,
    /// When it started, in Unix milliseconds; `None` where engines do not tell, and take a new name with each start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
}

impl InstanceId {
    /// An instance that does not tell when it started.
    pub fn named(name: impl Into<String>) -> Self {
        Self { name: name.into(), started_at_ms: None }
    }

    /// The start of an engine at a time in Unix milliseconds.
    pub fn started(name: impl Into<String>, at_ms: u64) -> Self {
        Self { name: name.into(), started_at_ms: Some(at_ms) }
    }

    /// Every start under a name, from the oldest to the newest.
    pub fn all_starts(name: &str) -> RangeInclusive<Self> {
        Self::named(name)..=Self::started(name, u64::MAX)
    }

    /// The starts under this name from this one on, the newest last.
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

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The instance.
    #[serde(flatten)]
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// What it has loaded.
    pub models: Vec<LoadedModel>,
    /// Rises with each report of one start, so that a late one can be known.
    pub sequence: u64,
}

/// That an instance is still there and has nothing new to say.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceHeartbeat {
    /// The instance.
    pub id: InstanceId,
    /// That of its report.
    pub sequence: u64,
}

/// Reports that one machine has gathered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct GatheredReports {
    /// Those that say something that this machine has not handed over yet.
    pub news: Vec<InstanceReport>,
    /// The others.
    pub heartbeats: Vec<InstanceHeartbeat>,
}

/// Whether an instance may be given work. States only go forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub enum InstanceState {
    /// It may.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// It has said goodbye, or its name or its address belongs to a newer instance.
    Gone,
}

/// An instance as the control group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Its newest committed report.
    pub report: InstanceReport,
    /// Whether it may be given work.
    pub state: InstanceState,
    /// It is ready, but its reports have ceased: it is given work only where no other can have it.
    pub silent: bool,
    /// The table's revision at its last change.
    pub revision: u64,
}

/// What a relay lacks of the engines that it is told of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct InstanceNews {
    /// The instance table's revision.
    pub revision: u64,
    /// The records are all that the relay is told of: it forgets the others.
    pub whole: bool,
    /// Instances, changed ones unless `whole`.
    pub records: Vec<InstanceRecord>,
}
