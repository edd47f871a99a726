//! How many requests of each tenant engines have begun, by windows of time.

use crate::identity::{Incarnation, TenantId};
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of a window: it begins that many window lengths after the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageWindow(pub u64);

impl UsageWindow {
    /// The window in which `unix_ms` lies.
    pub fn containing(unix_ms: u64, length_ms: u64) -> Self {
        Self(unix_ms / length_ms.max(1))
    }

    /// The window after it.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// When it ends, in Unix milliseconds.
    pub fn ends_at_ms(self, length_ms: u64) -> u64 {
        (self.0 + 1) * length_ms
    }
}

/// Requests that engines have begun, by tenant.
pub type TenantCounts = BTreeMap<TenantId, u64>;

/// What a relay has counted since it last handed counts over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct UsageDifference {
    /// Rises by one with each difference of one start of a relay; the first is 1.
    pub sequence: u64,
    /// The counts to be added, by window.
    pub counts: BTreeMap<UsageWindow, TenantCounts>,
}

/// A relay's difference, with the start of the relay that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RelayUsage {
    /// The start of the relay.
    pub relay: Incarnation,
    /// What it has counted.
    pub difference: UsageDifference,
}

/// The counts of one window as they are reported: once fixed they never change.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: UsageWindow,
    /// Its counts.
    pub counts: TenantCounts,
}
