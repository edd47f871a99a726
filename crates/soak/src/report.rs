//! Summary of one soak.

use crate::case::Case;
use crate::journal::{Journal, KeepAliveOutcome, Outcome, Violation};
use crate::waits::{ItemWait, longest_waits};
use saddlerelay_types::job::ItemEnd;
use std::fmt;
use std::time::Duration;

/// Lag of the soak's own tasks above which violated time limits are inconclusive. All connections and clocks are the
/// soak's, and its shortest time limit is as long.
pub const LAG_LIMIT: Duration = crate::checks::CLOSE_RACE_WINDOW;

/// Results of one soak.
#[derive(Clone, Debug)]
pub struct Report {
    /// The case that was run.
    pub case: Case,
    /// Number of injected faults.
    pub faults: usize,
    /// Numbers of clients' requests: total, complete, not executed, and failed or incomplete.
    pub requests: [usize; 4],
    /// Numbers of requests on keep-alive connections: total, and those that closed a connection that had served earlier
    /// requests.
    pub keep_alive: [usize; 2],
    /// Number of planned stops and reloads.
    pub planned: usize,
    /// Numbers of acknowledged routing documents and of reads.
    pub documents: [usize; 2],
    /// Numbers of batch jobs accepted, items completed and items aborted.
    pub jobs: [usize; 3],
    /// Number of orders received by engines.
    pub orders: usize,
    /// Number of requests and items executed by engines.
    pub runs: usize,
    /// Largest resident memory of any one process, in bytes.
    pub memory: u64,
    /// Longest time for which an accepted item was at no engine while engines had capacity.
    pub longest_wait: Option<ItemWait>,
    /// Maximum scheduling lag of the soak's own tasks.
    pub own_lag: Duration,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Exceeded time limits that are inconclusive because the soak's own tasks lagged.
    pub inconclusive: Vec<Violation>,
}

impl Report {
    /// Summarizes a journal.
    pub fn new(case: Case, memory: u64, journal: &Journal) -> Self {
        journal.read(|records| {
            let count_requests =
                |test: fn(&Outcome) -> bool| records.requests.iter().filter(|request| test(&request.outcome)).count();
            let results = |end: ItemEnd| {
                records.jobs.values().flat_map(|job| job.results.values()).filter(|result| result.end == end).count()
            };
            let is_lagging = records.own_lag > LAG_LIMIT;
            let (inconclusive, violations) =
                records.violations.iter().cloned().partition(|violation| is_lagging && violation.time_bound);
            Self {
                case,
                faults: records.faults.len(),
                requests: [
                    records.requests.len(),
                    count_requests(|outcome| *outcome == Outcome::Complete),
                    count_requests(|outcome| matches!(outcome, Outcome::NotExecuted(_))),
                    count_requests(|outcome| matches!(outcome, Outcome::Failed(_) | Outcome::Incomplete)),
                ],
                keep_alive: [
                    records.keep_alive.len(),
                    records
                        .keep_alive
                        .iter()
                        .filter(|keep_alive| keep_alive.outcome == KeepAliveOutcome::Closed && !keep_alive.is_first)
                        .count(),
                ],
                planned: records.planned_work.len(),
                documents: [
                    records.documents.iter().filter(|document| document.acknowledged_at.is_some()).count(),
                    records.reads.len(),
                ],
                jobs: [
                    records.jobs.values().filter(|job| job.acknowledged_at.is_some()).count(),
                    results(ItemEnd::Completed),
                    results(ItemEnd::Aborted),
                ],
                orders: records.orders.len(),
                runs: records.runs.len(),
                memory,
                longest_wait: longest_waits(records).into_iter().next(),
                own_lag: records.own_lag,
                violations,
                inconclusive,
            }
        })
    }

    /// Whether no invariant was violated, apart from inconclusive time limits.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [requests, complete, not_executed, failed] = self.requests;
        let [keep_alive, closed] = self.keep_alive;
        let [documents, reads] = self.documents;
        let [jobs, completed, aborted] = self.jobs;
        write!(
            formatter,
            "{}: {} faults, {} planned; {requests} requests: {complete} whole, {not_executed} not run, {failed} failed; {keep_alive} on kept \
             connections, {closed} cut; {documents} documents, {reads} reads; {jobs} jobs: {completed} items completed, {aborted} given up; {} runs, {} orders; \
             largest process {} MB; own lag {} ms; {} violations",
            self.case,
            self.faults,
            self.planned,
            self.runs,
            self.orders,
            self.memory / 1_000_000,
            self.own_lag.as_millis(),
            self.violations.len(),
        )?;
        match &self.longest_wait {
            Some(wait) => write!(formatter, "; longest wait of an item: {wait}")?,
            None => write!(formatter, "; no item waited while engines had room")?,
        }
        if self.own_lag > LAG_LIMIT {
            let (limit, findings) = (LAG_LIMIT.as_millis(), self.inconclusive.len());
            write!(
                formatter,
                "; time limits not judged, because the soak was late by more than {limit} ms: {findings} findings"
            )?;
        }
        Ok(())
    }
}
