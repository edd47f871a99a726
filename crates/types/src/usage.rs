//! Usage: requests started by engines, counted by tenant and time window.

use crate::identity::{Incarnation, TenantId};
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Index of a usage window, counted in window lengths from the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageWindow(pub u64);

impl UsageWindow {
    /// The window that contains `unix_ms`.
    pub fn containing(unix_ms: u64, length_ms: u64) -> Self {
        Self(unix_ms / length_ms.max(1))
    }

    /// The following window.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// End of the window (exclusive), in Unix milliseconds.
    pub fn ends_at_ms(self, length_ms: u64) -> u64 {
        (self.0 + 1) * length_ms
    }
}

/// Requests started by engines, by tenant.
pub type TenantCounts = BTreeMap<TenantId, u64>;

/// Usage counted by a relay since its previous delta.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct UsageDelta {
    /// Sequence number within a relay's incarnation, starting at 1.
    pub sequence: u64,
    /// Counts to add, by window.
    pub counts: BTreeMap<UsageWindow, TenantCounts>,
}

/// A usage delta with the incarnation of the relay that counted it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RelayUsage {
    /// Incarnation of the relay.
    pub relay: Incarnation,
    /// The counts.
    pub delta: UsageDelta,
}

/// Final counts of a closed window, as reported to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct UsageReport {
    /// The closed window.
    pub window: UsageWindow,
    /// Requests started in the window, by tenant.
    pub counts: TenantCounts,
}
