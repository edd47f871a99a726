//! What a soak brought.

use crate::journal::{Ending, Journal, Violation};
use saddlerelay_types::job::ItemEnd;
use std::fmt;

/// The figures of one soak.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Faults that were caused.
    pub faults: usize,
    /// Clients' requests: all, answered whole, said not to have run, failed or broken.
    pub requests: [usize; 4],
    /// Routing documents acknowledged, and reads of them.
    pub documents: [usize; 2],
    /// Batch jobs accepted, items completed and given up.
    pub jobs: [usize; 3],
    /// Orders that engines saw.
    pub orders: usize,
    /// Requests and items that engines ran.
    pub runs: usize,
    /// The most memory that one process held, in bytes.
    pub memory: u64,
    /// The latest that a task of the soak itself ran.
    pub own_lag: std::time::Duration,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Counts what the journal holds.
    pub fn new(seed: u64, memory: u64, journal: &Journal) -> Self {
        journal.read(|records| {
            let with =
                |wanted: fn(&Ending) -> bool| records.requests.iter().filter(|request| wanted(&request.ending)).count();
            let results = |end: ItemEnd| {
                records.jobs.values().flat_map(|job| job.results.values()).filter(|result| result.end == end).count()
            };
            Self {
                seed,
                faults: records.faults.len(),
                requests: [
                    records.requests.len(),
                    with(|ending| *ending == Ending::Whole),
                    with(|ending| matches!(ending, Ending::NotRun(_))),
                    with(|ending| matches!(ending, Ending::Failed(_) | Ending::Broken)),
                ],
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
                own_lag: records.own_lag,
                violations: records.violations.clone(),
            }
        })
    }

    /// Whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [requests, whole, not_run, failed] = self.requests;
        let [documents, reads] = self.documents;
        let [jobs, completed, aborted] = self.jobs;
        write!(
            formatter,
            "seed {}: {} faults; {requests} requests: {whole} whole, {not_run} not run, {failed} failed; {documents} \
             documents, {reads} reads; {jobs} jobs: {completed} items completed, {aborted} given up; {} runs, {} orders; \
             largest process {} MB; own lag {} ms; {} violations",
            self.seed,
            self.faults,
            self.runs,
            self.orders,
            self.memory / 1_000_000,
            self.own_lag.as_millis(),
            self.violations.len(),
        )
    }
}
