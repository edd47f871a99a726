//! Liveness and loaded models of engine instances, as reported to this leader. Not replicated: a new leader receives a
//! report or heartbeat of every instance within one report interval. Only the `silent` flag of an instance's record is
//! replicated.
//!
//! A heartbeat updates one timestamp and leaves the timeout queue alone, as thousands may arrive within a second. When
//! the queued timeout of an instance expires, the instance is queued again if a heartbeat has arrived in the meantime.

use crate::state::instances::InstanceTable;
use saddlerelay_runtime::steps;
use saddlerelay_types::instance::{InstanceHeartbeat, InstanceId, InstanceReport, InstanceState, LoadedModel};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The last report or heartbeat of an instance.
#[derive(Clone, Debug)]
struct LastReport {
    /// When it was received; before the first one in this term, when tracking started.
    at: Duration,
    /// Its sequence number; `None` before the first one in this term.
    sequence: Option<u64>,
    /// The loaded models of the last report; `None` while only heartbeats have been received.
    models: Option<Vec<LoadedModel>>,
    /// Its key in the timeout queue, if queued.
    queued_at: Option<Duration>,
}

impl LastReport {
    fn tracked_since(at: Duration) -> Self {
        Self { at, sequence: None, models: None, queued_at: None }
    }
}

/// Instances that have become silent or have resumed reporting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SilenceChanges {
    /// Not marked as silent, and no report or heartbeat within the limit.
    pub silent: Vec<InstanceId>,
    /// Marked as silent, and reporting again.
    pub resumed: Vec<InstanceId>,
}

impl SilenceChanges {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.silent.is_empty() && self.resumed.is_empty()
    }
}

/// Reports and heartbeats received by this leader.
#[derive(Debug, Default)]
pub struct InstanceWatch {
    term: u64,
    last_reports: BTreeMap<InstanceId, LastReport>,
    /// Timeout queue of ready instances that are not marked as silent, by the time of a report that may not be the
    /// last.
    queue: BTreeSet<(Duration, InstanceId)>,
    /// Instances whose timeout has expired and that are not marked as silent yet.
    overdue: BTreeSet<InstanceId>,
    /// Revision up to which changes of the instance table have been processed.
    table_revision: u64,
    /// Instances whose loaded models have been reported since the last [`Self::take_unread`].
    unread: BTreeSet<InstanceId>,
    /// Newest start time of each engine, in Unix milliseconds, at feature level one, where the log identifies engines
    /// by name only.
    newest_starts: BTreeMap<String, u64>,
}

impl InstanceWatch {
    /// Resets everything in a new term, so that no instance times out at once.
    pub fn reset_for_term(&mut self, term: u64) {
        if self.term != term {
            *self = Self { term, ..Self::default() };
        }
    }

    /// Records an engine's start time at feature level one, where the log identifies engines by name only. A newer
    /// start discards the last report of the earlier one, as sequence numbers restart. Returns whether this is the
    /// newest start.
    pub fn record_start(&mut self, id: &InstanceId) -> bool {
        let Some(started_at_ms) = id.started_at_ms else {
            return true;
        };
        let newest = self.newest_starts.entry(id.name.clone()).or_insert(started_at_ms);
        if started_at_ms > *newest {
            *newest = started_at_ms;
            self.last_reports.remove(&InstanceId::without_start_time(&*id.name));
        }
        started_at_ms == *newest
    }

    /// Records a report; one with an old sequence number is ignored.
    pub fn record_report(&mut self, report: &InstanceReport, now: Duration) {
        if let Some(last) = self.accept_sequence(&report.id, report.sequence, now) {
            last.models = Some(report.models.clone());
            self.unread.insert(report.id.clone());
        }
    }

    /// Records a heartbeat; one with an old sequence number is ignored.
    pub fn record_heartbeat(&mut self, heartbeat: &InstanceHeartbeat, now: Duration) {
        let last = self.accept_sequence(&heartbeat.id, heartbeat.sequence, now);
        if last.is_some_and(|last| last.models.is_some()) {
            // A heartbeat confirms the models of the last report.
            self.unread.insert(heartbeat.id.clone());
        }
    }

    fn accept_sequence(&mut self, id: &InstanceId, sequence: u64, now: Duration) -> Option<&mut LastReport> {
        if !self.last_reports.contains_key(id) {
            self.last_reports.insert(id.clone(), LastReport::tracked_since(now));
        }
        let last = self.last_reports.get_mut(id)?;
        if last.sequence.is_some_and(|previous| sequence <= previous) {
            return None;
        }
        last.sequence = Some(sequence);
        last.at = now;
        Some(last)
    }

    /// The models that an instance last reported as loaded, and when its last report or heartbeat was received.
    pub fn models(&self, id: &InstanceId) -> Option<(Duration, &[LoadedModel])> {
        let last = self.last_reports.get(id)?;
        Some((last.at, last.models.as_deref()?))
    }

    /// The instances whose loaded models were reported or confirmed since the last call.
    pub fn take_unread(&mut self) -> BTreeSet<InstanceId> {
        std::mem::take(&mut self.unread)
    }

    /// Instances that have not reported for `limit`, and those marked as silent that have. Visits only changed records,
    /// expired timeouts and silent instances.
    pub fn silence_changes(&mut self, table: &InstanceTable, now: Duration, limit: Duration) -> SilenceChanges {
        self.process_table_changes(table, now);
        self.process_timeouts(now, limit);
        let has_resumed = |id: &&InstanceId| {
            steps::record_lookup();
            self.last_reports.get(*id).is_some_and(|last| last.sequence.is_some() && now < last.at + limit)
        };
        let resumed = table.silent().iter().filter(has_resumed).cloned().collect();
        SilenceChanges { silent: self.overdue.iter().cloned().collect(), resumed }
    }

    /// Processes expired timeouts: queues an instance again if it has reported in the meantime.
    fn process_timeouts(&mut self, now: Duration, limit: Duration) {
        while let Some((at, id)) = self.queue.pop_first() {
            if now < at + limit {
                self.queue.insert((at, id));
                break;
            }
            let Some(last) = self.last_reports.get_mut(&id) else {
                continue;
            };
            last.queued_at = None;
            if now < last.at + limit {
                self.enqueue(&id, now);
            } else {
                self.overdue.insert(id);
            }
        }
        let last_reports = &self.last_reports;
        let recovered: Vec<InstanceId> = self
            .overdue
            .iter()
            .filter(|id| last_reports.get(*id).is_some_and(|last| now < last.at + limit))
            .cloned()
            .collect();
        for id in recovered {
            self.overdue.remove(&id);
            self.enqueue(&id, now);
        }
    }

    /// Adds an instance to the timeout queue.
    fn enqueue(&mut self, id: &InstanceId, now: Duration) {
        let last = self.last_reports.entry(id.clone()).or_insert_with(|| LastReport::tracked_since(now));
        if last.queued_at.is_none() {
            last.queued_at = Some(last.at);
            self.queue.insert((last.at, id.clone()));
        }
    }

    fn dequeue(&mut self, id: &InstanceId) {
        self.overdue.remove(id);
        let queued_at = self.last_reports.get_mut(id).and_then(|last| last.queued_at.take());
        if let Some(at) = queued_at {
            self.queue.remove(&(at, id.clone()));
        }
    }

    fn process_table_changes(&mut self, table: &InstanceTable, now: Duration) {
        if table.revision() < self.table_revision {
            // The state was replaced by one at an older revision.
            self.table_revision = 0;
        }
        for record in table.changed_after(self.table_revision) {
            let id = &record.report.id;
            match record.state {
                InstanceState::Ready if !record.silent => {
                    if !self.overdue.contains(id) {
                        self.enqueue(id, now);
                    }
                }
                InstanceState::Ready | InstanceState::Leaving => self.dequeue(id),
                InstanceState::Gone => {
                    self.dequeue(id);
                    self.last_reports.remove(id);
                    self.unread.remove(id);
                }
            }
        }
        self.table_revision = table.revision();
    }
}
