//! Records when this process observed each suspicion in the log, by its monotonic clock.
//!
//! A suspicion expires a fixed time after the last engine loss. The log records the time of the loss by the wall clock
//! of the leader at that time; a later leader whose wall clock is ahead would expire every suspicion too early. Expiry
//! therefore also requires that age by the monotonic clock. Retrials of quarantined work and the pause before a last
//! trial go by the monotonic clock alone. Followers observe suspicions too, so that a new leader knows their age.

use crate::state::suspicions::SuspicionTable;
use saddlerelay_types::suspicion::{Retrial, Suspicion};
use saddlerelay_types::work::WorkDigest;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug)]
struct ObservedSuspicion {
    suspicion: Suspicion,
    /// When it last changed.
    changed_at: Duration,
    /// When an engine loss was last added.
    last_loss_at: Duration,
}

impl ObservedSuspicion {
    fn new(suspicion: Suspicion, now: Duration) -> Self {
        Self { suspicion, changed_at: now, last_loss_at: now }
    }

    fn update(self, suspicion: &Suspicion, now: Duration) -> Self {
        if self.suspicion == *suspicion {
            return self;
        }
        let has_new_loss = suspicion.engines.iter().any(|engine| !self.suspicion.engines.contains(engine));
        let last_loss_at = if has_new_loss { now } else { self.last_loss_at };
        Self { suspicion: suspicion.clone(), changed_at: now, last_loss_at }
    }
}

/// Suspicions with the times of their last observed changes.
#[derive(Debug, Default)]
pub struct SuspicionWatch {
    observed: BTreeMap<WorkDigest, ObservedSuspicion>,
    /// Revision of the table that was last observed.
    revision: Option<u64>,
}

impl SuspicionWatch {
    /// Observes the suspicions in the locally applied state at `now`.
    pub fn observe(&mut self, table: &SuspicionTable, now: Duration) {
        if self.revision.replace(table.revision()) == Some(table.revision()) {
            return;
        }
        let mut previous = std::mem::take(&mut self.observed);
        for suspicion in table.iter() {
            let known = previous.remove(&suspicion.work).map(|observed| observed.update(suspicion, now));
            let observed = known.unwrap_or_else(|| ObservedSuspicion::new(suspicion.clone(), now));
            self.observed.insert(suspicion.work, observed);
        }
    }

    /// Whether expiry at log time `unix_ms` would remove a suspicion, and only suspicions that are old enough by the
    /// monotonic clock too.
    pub fn may_expire(&self, table: &SuspicionTable, unix_ms: u64, now: Duration) -> bool {
        let is_old = |(suspicion, lifetime): (&Suspicion, Duration)| {
            self.observed.get(&suspicion.work).is_some_and(|observed| now >= observed.changed_at + lifetime)
        };
        let mut due = table.due(unix_ms).peekable();
        due.peek().is_some() && due.all(is_old)
    }

    /// Time since an engine loss of `work` was last observed; zero if the work was not observed to be suspected.
    pub fn since_last_loss(&self, work: &WorkDigest, now: Duration) -> Duration {
        self.observed.get(work).map_or(Duration::ZERO, |observed| now.saturating_sub(observed.last_loss_at))
    }

    /// The retrials of quarantined work that are due at `now`.
    pub fn due_retrials(&self, table: &SuspicionTable, now: Duration) -> Vec<Retrial> {
        let is_due = |work: &WorkDigest| {
            let after = table.retrial_after(work);
            after.is_some_and(|after| self.since_last_loss(work, now) >= after)
        };
        let due = self.observed.keys().filter(|work| is_due(work));
        due.map(|work| Retrial { work: *work, number: table.retrials(work) }).collect()
    }
}
