//! Records when this process observed the grant or last renewal of each trial lease in the log.
//!
//! A trial lease is the exclusive right to run suspected work. It expires [`TRIAL_LEASE`] after its last renewal by the
//! leader's monotonic clock. The log's time is not used: it does not advance while the wall clock is behind that of an
//! earlier leader, which would prolong the lease. Followers observe renewals too, so that a new leader knows their age.

use crate::state::suspicions::SuspicionTable;
use saddlerelay_types::suspicion::{TRIAL_LEASE, TRIAL_RENEWAL, TrialLease};
use saddlerelay_types::work::WorkDigest;
use std::collections::BTreeMap;
use std::time::Duration;

/// A new leader expires no lease for this long, which gives live holders time to renew with it.
const NEW_LEADER_GRACE: Duration = TRIAL_RENEWAL.saturating_mul(2);

#[derive(Clone, Copy, Debug)]
struct ObservedTrial {
    lease: TrialLease,
    observed_at: Duration,
}

/// Trial leases with the time of their last observed change, by this process's monotonic clock.
#[derive(Debug, Default)]
pub struct TrialWatch {
    trials: BTreeMap<WorkDigest, ObservedTrial>,
    term: u64,
    leads_since: Duration,
}

impl TrialWatch {
    /// Observes the leases in the locally applied state at `now`.
    pub fn observe(&mut self, table: &SuspicionTable, now: Duration) {
        let mut previous = std::mem::take(&mut self.trials);
        for lease in table.trials() {
            let work = lease.held.work;
            let unchanged = previous.remove(&work).filter(|observed| observed.lease == lease);
            self.trials.insert(work, unchanged.unwrap_or(ObservedTrial { lease, observed_at: now }));
        }
    }

    /// The leases that have expired at `now` for the leader of `term`.
    pub fn expired(&mut self, term: u64, now: Duration) -> Vec<TrialLease> {
        if std::mem::replace(&mut self.term, term) != term {
            self.leads_since = now;
        }
        if now < self.leads_since + NEW_LEADER_GRACE {
            return Vec::new();
        }
        let has_expired = |observed: &&ObservedTrial| now >= observed.observed_at + TRIAL_LEASE;
        self.trials.values().filter(has_expired).map(|observed| observed.lease).collect()
    }
}
