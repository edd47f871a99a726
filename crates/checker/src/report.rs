//! The result of checking a run.

use crate::measures::Measures;
use serde::{Deserialize, Serialize};

/// The invariant that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A sample lists weight versions that did not generate it.
    SampleVersions,
    /// A sample exceeded its tenant's staleness bound.
    Staleness,
    /// A sample was received twice, out of order or never.
    ExactlyOnce,
    /// A response was incomplete, or belonged to another request.
    WholeAnswers,
    /// A request was reported as not executed, but was executed.
    NotExecuted,
    /// A non-repeatable request was executed more than once.
    AtMostOnce,
    /// A draining engine received new work.
    Leaving,
    /// A planned stop interrupted a request.
    PlannedStop,
    /// A configuration was applied late, reverted, or accepted twice.
    Configuration,
    /// A retryable rejection had no retry-after time.
    RetryAfter,
    /// The scenario's expected outcome was not reached.
    StatedOutcome,
}

/// One violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The violated invariant.
    pub promise: Invariant,
    /// Human-readable description of what was observed.
    pub detail: String,
}

/// Event counts of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests sent by callers.
    pub requests: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Requests reported as not executed.
    pub not_executed: u64,
    /// Requests with an unknown execution outcome.
    pub unknown: u64,
    /// Requests that failed during execution.
    pub failed_while_executing: u64,
    /// Requests without a final response.
    pub lost: u64,
    /// Requests that must be executed at most once.
    pub non_repeatable: u64,
    /// Non-repeatable requests executed more than once.
    pub non_repeatable_doubled: u64,
    /// Generations that engines admitted.
    pub executions: u64,
    /// Samples requested.
    pub samples_expected: u64,
    /// Samples received.
    pub samples_delivered: u64,
    /// Samples received more than once.
    pub samples_duplicated: u64,
    /// Samples never received.
    pub samples_missing: u64,
    /// Samples that exceeded their tenant's staleness bound.
    pub samples_stale: u64,
    /// Accepted configuration changes.
    pub changes_accepted: u64,
    /// Weight versions published.
    pub versions_published: u64,
    /// Injected faults.
    pub faults: u64,
}

/// Violations, counts and measures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Event counts.
    pub counts: Counts,
    /// Latency, staleness and idle-time measures.
    pub measures: Measures,
}
