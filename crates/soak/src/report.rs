//! What a soak brought.

use crate::case::Case;
use crate::journal::{Ending, Journal, KeptEnding, Violation};
use crate::waits::{ItemWait, longest_waits};
use saddlerelay_types::job::ItemEnd;
use std::fmt;
use std::time::Duration;

/// Beyond this lateness of the soak's own tasks, its findings about times are not judged: the soak carries every connection
/// and reads every clock, and the shortest time that its checks allow is as long.
pub const LATENESS_LIMIT: Duration = crate::checks::LOSS_SLACK;

/// The figures of one soak.
#[derive(Clone, Debug)]
pub struct Report {
    /// What it was made from.
    pub case: Case,
    /// Faults that were caused.
    pub faults: usize,
    /// Clients' requests: all, answered whole, said not to have run, failed or broken.
    pub requests: [usize; 4],
    /// Those of them on kept connections: all, and those whose connection had served others and ended before the answer.
    pub kept: [usize; 2],
    /// Planned stops and reloads.
    pub planned: usize,
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
    /// The longest that an accepted item was at no engine while engines had room, and the item.
    pub longest_wait: Option<ItemWait>,
    /// The latest that a task of the soak itself ran.
    pub own_lag: Duration,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Findings about times that are not judged, for the soak itself was late.
    pub not_judged: Vec<Violation>,
}

impl Report {
    /// Counts what the journal holds.
    pub fn new(case: Case, memory: u64, journal: &Journal) -> Self {
        journal.read(|records| {
            let with =
                |wanted: fn(&Ending) -> bool| records.requests.iter().filter(|request| wanted(&request.ending)).count();
            let results = |end: ItemEnd| {
                records.jobs.values().flat_map(|job| job.results.values()).filter(|result| result.end == end).count()
            };
            let is_late = records.own_lag > LATENESS_LIMIT;
            let (not_judged, violations) =
                records.violations.iter().cloned().partition(|violation| is_late && violation.time_bound);
            Self {
                case,
                faults: records.faults.len(),
                requests: [
                    records.requests.len(),
                    with(|ending| *ending == Ending::Whole),
                    with(|ending| matches!(ending, Ending::NotRun(_))),
                    with(|ending| matches!(ending, Ending::Failed(_) | Ending::Broken)),
                ],
                kept: [
                    records.kept.len(),
                    records.kept.iter().filter(|kept| kept.ending == KeptEnding::Closed && !kept.is_first).count(),
                ],
                planned: records.planned.len(),
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
                not_judged,
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
        let [kept, closed] = self.kept;
        let [documents, reads] = self.documents;
        let [jobs, completed, aborted] = self.jobs;
        write!(
            formatter,
            "{}: {} faults, {} planned; {requests} requests: {whole} whole, {not_run} not run, {failed} failed; {kept} on kept \
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
        if self.own_lag > LATENESS_LIMIT {
            let (limit, findings) = (LATENESS_LIMIT.as_millis(), self.not_judged.len());
            write!(
                formatter,
                "; checks of times not judged, for it was late by more than {limit} ms: {findings} findings"
            )?;
        }
        Ok(())
    }
}
