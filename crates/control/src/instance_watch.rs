//! What engine instances have told this leader: when each was last heard, and the weights it has loaded. Not replicated: a
//! new leader hears every instance within one report interval. That an instance's reports have ceased is replicated, with
//! its record.
//!
//! A heartbeat costs one look and a number: the engines of a large fleet, started together, report together, 10,000 within
//! half a second. Each instance stands in one queue, and is looked at when its time would be over: if it has been heard
//! meanwhile, it goes to the end.

use crate::state::instances::InstanceTable;
use saddlerelay_runtime::steps;
use saddlerelay_types::instance::{InstanceHeartbeat, InstanceId, InstanceReport, InstanceState, LoadedModel};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What an instance has told.
#[derive(Clone, Debug)]
struct Heard {
    /// When; if it has told nothing in this term, when it was first seen in it.
    at: Duration,
    /// Of its newest report; `None` if it has told nothing in this term.
    sequence: Option<u64>,
    /// `None` as long as only heartbeats have come.
    models: Option<Vec<LoadedModel>>,
    /// The time at which it stands in the queue, if it does.
    queued_at: Option<Duration>,
}

impl Heard {
    fn first_at(at: Duration) -> Self {
        Self { at, sequence: None, models: None, queued_at: None }
    }
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
    /// Ready instances that are not noted as silent, and when each was heard as far as the queue knows.
    queue: BTreeSet<(Duration, InstanceId)>,
    /// Those of them whose time is over, until that is noted.
    overdue: BTreeSet<InstanceId>,
    /// How far the table has been looked at.
    table_revision: u64,
    /// Instances that have told their weights, which nobody has taken yet.
    unread: BTreeSet<InstanceId>,
    /// The newest start of each engine, where the log has its name alone.
    starts: BTreeMap<String, u64>,
}

impl InstanceWatch {
    /// Starts anew in a new term: nobody falls silent at once.
    pub fn follow_term(&mut self, term: u64) {
        if self.term != term {
            *self = Self { term, ..Self::default() };
        }
    }

    /// Where the log has an engine's name alone: notes which start of it speaks. What was heard of an earlier one counts no more,
    /// as its sequences begin anew. Returns whether this is the newest start.
    pub fn note_start(&mut self, id: &InstanceId) -> bool {
        let Some(started_at_ms) = id.started_at_ms else {
            return true;
        };
        let newest = self.starts.entry(id.name.clone()).or_insert(started_at_ms);
        if started_at_ms > *newest {
            *newest = started_at_ms;
            self.heard.remove(&InstanceId::named(&*id.name));
        }
        started_at_ms == *newest
    }

    /// Takes a report; a late one changes nothing.
    pub fn hear(&mut self, report: &InstanceReport, now: Duration) {
        if let Some(heard) = self.take_sequence(&report.id, report.sequence, now) {
            heard.models = Some(report.models.clone());
            self.unread.insert(report.id.clone());
        }
    }

    /// Takes a heartbeat; a late one changes nothing.
    pub fn hear_again(&mut self, heartbeat: &InstanceHeartbeat, now: Duration) {
        let heard = self.take_sequence(&heartbeat.id, heartbeat.sequence, now);
        if heard.is_some_and(|heard| heard.models.is_some()) {
            // It has what it told last, whatever was believed since.
            self.unread.insert(heartbeat.id.clone());
        }
    }

    fn take_sequence(&mut self, id: &InstanceId, sequence: u64, now: Duration) -> Option<&mut Heard> {
        if !self.heard.contains_key(id) {
            self.heard.insert(id.clone(), Heard::first_at(now));
        }
        let heard = self.heard.get_mut(id)?;
        if heard.sequence.is_some_and(|held| sequence <= held) {
            return None;
        }
        heard.sequence = Some(sequence);
        heard.at = now;
        Some(heard)
    }

    /// What an instance last said it has loaded, and when it was last heard.
    pub fn models(&self, id: &InstanceId) -> Option<(Duration, &[LoadedModel])> {
        let heard = self.heard.get(id)?;
        Some((heard.at, heard.models.as_deref()?))
    }

    /// The instances that have told their weights since the last call.
    pub fn take_unread(&mut self) -> BTreeSet<InstanceId> {
        std::mem::take(&mut self.unread)
    }

    /// Instances that have not reported for `limit`, and those noted as silent that have. Looks only at what has changed in
    /// the table, at those that are due, and at those that are silent.
    pub fn silence_changes(&mut self, table: &InstanceTable, now: Duration, limit: Duration) -> SilenceChanges {
        self.follow_table(table, now);
        self.follow_queue(now, limit);
        let is_heard = |id: &&InstanceId| {
            steps::look();
            self.heard.get(*id).is_some_and(|heard| heard.sequence.is_some() && now < heard.at + limit)
        };
        let heard = table.silent().iter().filter(is_heard).cloned().collect();
        SilenceChanges { silent: self.overdue.iter().cloned().collect(), heard }
    }

    /// Looks at those whose time would be over by what the queue knows.
    fn follow_queue(&mut self, now: Duration, limit: Duration) {
        while let Some((at, id)) = self.queue.pop_first() {
            if now < at + limit {
                self.queue.insert((at, id));
                break;
            }
            let Some(heard) = self.heard.get_mut(&id) else {
                continue;
            };
            heard.queued_at = None;
            if now < heard.at + limit {
                self.enqueue(&id, now);
            } else {
                self.overdue.insert(id);
            }
        }
        let heard = &self.heard;
        let back: Vec<InstanceId> = self
            .overdue
            .iter()
            .filter(|id| heard.get(*id).is_some_and(|heard| now < heard.at + limit))
            .cloned()
            .collect();
        for id in back {
            self.overdue.remove(&id);
            self.enqueue(&id, now);
        }
    }

    /// Has an instance looked at when it has not been heard for long.
    fn enqueue(&mut self, id: &InstanceId, now: Duration) {
        let heard = self.heard.entry(id.clone()).or_insert_with(|| Heard::first_at(now));
        if heard.queued_at.is_none() {
            heard.queued_at = Some(heard.at);
            self.queue.insert((heard.at, id.clone()));
        }
    }

    fn dequeue(&mut self, id: &InstanceId) {
        self.overdue.remove(id);
        let queued_at = self.heard.get_mut(id).and_then(|heard| heard.queued_at.take());
        if let Some(at) = queued_at {
            self.queue.remove(&(at, id.clone()));
        }
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
                    if !self.overdue.contains(id) {
                        self.enqueue(id, now);
                    }
                }
                InstanceState::Ready | InstanceState::Leaving => self.dequeue(id),
                InstanceState::Gone => {
                    self.dequeue(id);
                    self.heard.remove(id);
                    self.unread.remove(id);
                }
            }
        }
        self.table_revision = table.revision();
    }
}
