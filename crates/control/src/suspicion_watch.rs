//! Records when this process observed each suspicion in the log, by its monotonic clock.
//!
//! A suspicion expires a fixed time after the last engine loss. The log records the time of the loss by the wall clock
//! of the leader at that time; a later leader whose wall clock is ahead would expire every suspicion too early. Expiry
//! therefore also requires that age by the monotonic clock. Followers observe suspicions too, so that a new leader
//! knows their age.

use crate::state::suspicions::SuspicionTable;
use saddlerelay_types::suspicion::Suspicion;
use saddlerelay_types::work::WorkDigest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Suspicions with the time of their last observed change.
#[derive(Debug, Default)]
pub struct SuspicionWatch {
    observed: BTreeMap<WorkDigest, (Suspicion, Duration)>,
}

impl SuspicionWatch {
    /// Observes the suspicions in the locally applied state at `now`.
    pub fn observe(&mut self, table: &SuspicionTable, now: Duration) {
        let mut previous = std::mem::take(&mut self.observed);
        for suspicion in table.iter() {
            let unchanged = previous.remove(&suspicion.work).filter(|(observed, _)| observed == suspicion);
            self.observed.insert(suspicion.work, unchanged.unwrap_or_else(|| (suspicion.clone(), now)));
        }
    }

    /// Whether expiry at log time `unix_ms` would remove a suspicion, and only suspicions that are old enough by the
    /// monotonic clock too.
    pub fn may_expire(&self, table: &SuspicionTable, unix_ms: u64, now: Duration) -> bool {
        let is_old = |(suspicion, lifetime): (&Suspicion, Duration)| {
            self.observed.get(&suspicion.work).is_some_and(|(_, observed_at)| now >= *observed_at + lifetime)
        };
        let mut due = table.due(unix_ms).peekable();
        due.peek().is_some() && due.all(is_old)
    }
}
