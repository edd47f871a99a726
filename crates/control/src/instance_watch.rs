//! What engine instances have told this leader: when each was last heard, and the weights it has loaded. Not replicated: a
//! new leader hears every instance within one report interval. That an instance's reports have ceased is replicated, with
//! its record.

use crate::state::instances::InstanceTable;
use saddlerelay_runtime::steps;
use saddlerelay_types::instance::{InstanceId, InstanceReport, InstanceState, LoadedModel};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Debug)]
struct Heard {
    at: Duration,
    sequence: u64,
    models: Vec<LoadedModel>,
}

/// Instances whose silence begins or ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SilenceChanges {
    /// Their reports have ceased.
    pub silent: Vec<InstanceId>,
    /// They are heard again.
    pub heard: Vec<InstanceId>,
}

impl SilenceChanges {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.silent.is_empty() && self.heard.is_empty()
    }
}

/// Reports as this leader has received them.
#[derive(Debug, Default)]
pub struct InstanceWatch {
    term: u64,
    heard: BTreeMap<InstanceId, Heard>,
    /// Ready instances that are not noted as silent, and when each was last heard, or first seen in this term.
    watched: BTreeMap<InstanceId, Duration>,
    /// The same, those first that were heard longest ago.
    by_time: BTreeSet<(Duration, InstanceId)>,
    /// How far the table has been looked at.
    table_revision: u64,
    /// Instances that have reported and whose reports nobody has taken yet.
    unread: BTreeSet<InstanceId>,
}

impl InstanceWatch {
    /// Starts anew in a new term: nobody falls silent at once.
    pub fn follow_term(&mut self, term: u64) {
        if self.term != term {
            *self = Self { term, ..Self::default() };
        }
    }

    /// Takes a report; a late one changes nothing.
    pub fn hear(&mut self, report: &InstanceReport, now: Duration) {
        let earlier = self.heard.get(&report.id);
        if earlier.is_some_and(|earlier| report.sequence <= earlier.sequence) {
            return;
        }
        let heard = Heard { at: now, sequence: report.sequence, models: report.models.clone() };
        self.heard.insert(report.id.clone(), heard);
        self.unread.insert(report.id.clone());
        if self.watched.contains_key(&report.id) {
            self.watch(&report.id, now);
        }
    }

    fn watch(&mut self, id: &InstanceId, at: Duration) {
        self.unwatch(id);
        self.watched.insert(id.clone(), at);
        self.by_time.insert((at, id.clone()));
    }

    fn unwatch(&mut self, id: &InstanceId) {
        if let Some(at) = self.watched.remove(id) {
            self.by_time.remove(&(at, id.clone()));
        }
    }

    /// What an instance last said it has loaded, and when.
    pub fn models(&self, id: &InstanceId) -> Option<(Duration, &[LoadedModel])> {
        self.heard.get(id).map(|heard| (heard.at, heard.models.as_slice()))
    }

    /// The instances that have reported since the last call.
    pub fn take_unread(&mut self) -> BTreeSet<InstanceId> {
        std::mem::take(&mut self.unread)
    }

    /// Instances that have not reported for `limit`, and those noted as silent that have. Looks only at what has changed in
    /// the table, at those that are due, and at those that are silent.
    pub fn silence_changes(&mut self, table: &InstanceTable, now: Duration, limit: Duration) -> SilenceChanges {
        self.follow_table(table, now);
        let due = self.by_time.iter().take_while(|(at, _)| now >= *at + limit);
        let silent = due.map(|(_, id)| id.clone()).collect();
        let is_heard = |id: &&InstanceId| {
            steps::look();
            self.heard.get(*id).is_some_and(|heard| now < heard.at + limit)
        };
        let heard = table.silent().iter().filter(is_heard).cloned().collect();
        SilenceChanges { silent, heard }
    }

    fn follow_table(&mut self, table: &InstanceTable, now: Duration) {
        if table.revision() < self.table_revision {
            // Another state has taken the place of this one's.
            self.table_revision = 0;
        }
        for record in table.changed_after(self.table_revision) {
            let id = &record.report.id;
            match record.state {
                InstanceState::Ready if !record.silent => {
                    if !self.watched.contains_key(id) {
                        let at = self.heard.get(id).map_or(now, |heard| heard.at);
                        self.watch(id, at);
                    }
                }
                InstanceState::Ready | InstanceState::Leaving => self.unwatch(id),
                InstanceState::Gone => {
                    self.unwatch(id);
                    self.heard.remove(id);
                    self.unread.remove(id);
                }
            }
        }
        self.table_revision = table.revision();
    }
}
