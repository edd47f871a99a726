//! What a run brought.

use crate::measures::Measures;
use serde::{Deserialize, Serialize};

/// Which promise was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A sample names versions that did not make it.
    SampleVersions,
    /// A sample was older than its tenant's bound.
    Staleness,
    /// A sample was received twice or never.
    ExactlyOnce,
    /// An answer was not whole, or belonged to another request.
    WholeAnswers,
    /// A request was called not run and had run.
    NotExecuted,
    /// A request that must run at most once ran more often.
    AtMostOnce,
    /// A leaving back end got new work.
    Leaving,
    /// A planned stop broke a request off.
    PlannedStop,
    /// A configuration was late, reverted, or accepted twice.
    Configuration,
    /// A final answer did not say when to come back.
    RetryAfter,
    /// A scenario's stated outcome was missed.
    StatedOutcome,
}

/// One broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Callers' requests.
    pub requests: u64,
    /// Answered whole.
    pub answered: u64,
    /// Told not executed.
    pub not_executed: u64,
    /// Told unknown.
    pub unknown: u64,
    /// Told failed while executing.
    pub failed_while_executing: u64,
    /// Without a final answer.
    pub lost: u64,
    /// Requests that must run at most once.
    pub non_repeatable: u64,
    /// Those of them that ran more often.
    pub non_repeatable_doubled: u64,
    /// Generations that engines admitted.
    pub executions: u64,
    /// Samples asked for.
    pub samples_expected: u64,
    /// Samples received.
    pub samples_delivered: u64,
    /// Samples received again.
    pub samples_duplicated: u64,
    /// Samples never received.
    pub samples_missing: u64,
    /// Samples older than the bound.
    pub samples_stale: u64,
    /// Accepted changes of configuration.
    pub changes_accepted: u64,
    /// Weight versions published.
    pub versions_published: u64,
    /// Faults caused.
    pub faults: u64,
}

/// What a run brought.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Counts.
    pub counts: Counts,
    /// Measures.
    pub measures: Measures,
}
