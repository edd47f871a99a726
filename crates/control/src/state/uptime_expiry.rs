//! Expiry of ended jobs by the group's uptime.
//!
//! Each advance of the uptime is at most the time since the previous one, measured by the monotonic clock of a replica
//! that observed both. Wall clocks do not affect it: a leader whose wall clock is ahead would expire the records of all
//! ended jobs, and a job that is submitted again would run again.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::UptimeAdvance;
use saddlerelay_types::job::JobId;
use std::collections::BTreeMap;

/// The group's uptime, and the uptime at which each job was submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct UptimeExpiry {
    uptime_ms: u64,
    /// The uptime of the first advance after each submission; `None` before that advance.
    submitted_at_ms: BTreeMap<JobId, Option<u64>>,
    /// Number of jobs that have expired.
    expired_count: u64,
}

impl UptimeExpiry {
    /// Starts at uptime zero with `jobs`.
    pub fn of(jobs: impl Iterator<Item = JobId>) -> Self {
        Self { submitted_at_ms: jobs.map(|id| (id, None)).collect(), ..Self::default() }
    }

    /// The group's uptime in milliseconds.
    pub fn uptime_ms(&self) -> u64 {
        self.uptime_ms
    }

    /// Number of jobs that have expired so far.
    pub fn expired_count(&self) -> u64 {
        self.expired_count
    }

    /// Whether no job waits to expire.
    pub fn is_empty(&self) -> bool {
        self.submitted_at_ms.is_empty()
    }

    /// Adds a submitted job; a known one keeps its time.
    pub fn add(&mut self, id: JobId) {
        self.submitted_at_ms.entry(id).or_default();
    }

    /// Advances the uptime; removes and returns the jobs that have expired and for which `is_ended` holds.
    pub fn advance(&mut self, advance: UptimeAdvance, is_ended: impl Fn(&JobId) -> bool) -> Vec<JobId> {
        if advance.since_ms != self.uptime_ms {
            return Vec::new();
        }
        self.uptime_ms = self.uptime_ms.saturating_add(advance.elapsed_ms);
        let now = self.uptime_ms;
        let mut expired = Vec::new();
        self.submitted_at_ms.retain(|id, submitted_at| {
            let submitted_at = *submitted_at.get_or_insert(now);
            let has_expired = now >= submitted_at.saturating_add(advance.keep_ms) && is_ended(id);
            if has_expired {
                expired.push(id.clone());
            }
            !has_expired
        });
        self.expired_count += expired.len() as u64;
        expired
    }
}
