//! When this process saw in the log that work came to be suspected, by its own steady clock.
//!
//! A suspicion is forgotten some minutes after the last engine ended. The log has that moment by the time of day of whoever led then; by
//! that of a later leader, an hour ahead, all of them would be over at once, and work that ends its engines would run anywhere. Replicas that do
//! not lead watch too, so that they know how old a suspicion is when they lead.

use crate::state::suspicions::SuspicionTable;
use saddlerelay_types::suspicion::Suspicion;
use saddlerelay_types::work::WorkDigest;
use std::collections::BTreeMap;
use std::time::Duration;

/// The suspicions of the log.
#[derive(Debug, Default)]
pub struct SuspicionWatch {
    seen: BTreeMap<WorkDigest, (Suspicion, Duration)>,
}

impl SuspicionWatch {
    /// Looks at the log's state.
    pub fn see(&mut self, table: &SuspicionTable, now: Duration) {
        let mut before = std::mem::take(&mut self.seen);
        for suspicion in table.iter() {
            let known = before.remove(&suspicion.work).filter(|(seen, _)| seen == suspicion);
            self.seen.insert(suspicion.work, known.unwrap_or_else(|| (suspicion.clone(), now)));
        }
    }

    /// Whether forgetting at `unix_ms` of the log forgets something, and nothing that is younger than it may be by this clock.
    pub fn may_expire(&self, table: &SuspicionTable, unix_ms: u64, now: Duration) -> bool {
        let is_old = |(suspicion, kept): (&Suspicion, Duration)| {
            self.seen.get(&suspicion.work).is_some_and(|(_, seen_at)| now >= *seen_at + kept)
        };
        let mut due = table.due(unix_ms).peekable();
        due.peek().is_some() && due.all(is_old)
    }
}
