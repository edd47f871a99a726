//! When this process saw in the log that the rights to run suspected work were granted or renewed.
//!
//! A right lasts [`TRIAL_LEASE`] beyond its last renewal, by the clock of the replica that leads: the time in the log
//! stands still when a leader's time of day was ahead, and would keep a right for as long. Replicas that do not lead watch too,
//! so that they know how old a renewal is when they lead.

use crate::state::suspicions::SuspicionTable;
use saddlerelay_types::suspicion::{TRIAL_LEASE, TRIAL_RENEWAL, TrialStanding};
use saddlerelay_types::work::WorkDigest;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a new leader leaves all rights as they are: holders that live have renewed them with it by then.
const NEW_LEADER_GRACE: Duration = TRIAL_RENEWAL.saturating_mul(2);

#[derive(Clone, Copy, Debug)]
struct SeenTrial {
    standing: TrialStanding,
    seen_at: Duration,
}

/// The rights as this process has seen them, by its own clock.
#[derive(Debug, Default)]
pub struct TrialWatch {
    trials: BTreeMap<WorkDigest, SeenTrial>,
    term: u64,
    leads_since: Duration,
}

impl TrialWatch {
    /// Takes the rights that this process's copy of the state holds at `now`.
    pub fn see(&mut self, table: &SuspicionTable, now: Duration) {
        let mut before = std::mem::take(&mut self.trials);
        for standing in table.trials() {
            let work = standing.held.work;
            let known = before.remove(&work).filter(|seen| seen.standing == standing);
            self.trials.insert(work, known.unwrap_or(SeenTrial { standing, seen_at: now }));
        }
    }

    /// Rights whose lease is over at `now` for the leader of `term`.
    pub fn expired(&mut self, term: u64, now: Duration) -> Vec<TrialStanding> {
        if std::mem::replace(&mut self.term, term) != term {
            self.leads_since = now;
        }
        if now < self.leads_since + NEW_LEADER_GRACE {
            return Vec::new();
        }
        let is_over = |seen: &&SeenTrial| now >= seen.seen_at + TRIAL_LEASE;
        self.trials.values().filter(is_over).map(|seen| seen.standing).collect()
    }
}
