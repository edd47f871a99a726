//! What engine instances have told this leader: when each was last heard, and the weights it has loaded. Not
//! replicated: a new leader hears every instance within one report interval.

use saddlerelay_types::instance::{InstanceId, InstanceReport, InstanceState, LoadedModel};
use std::collections::BTreeMap;
use std::time::Duration;

use crate::state::instances::InstanceTable;

#[derive(Clone, Debug)]
struct Heard {
    at: Duration,
    sequence: u64,
    models: Vec<LoadedModel>,
}

/// Reports as this leader has received them.
#[derive(Debug, Default)]
pub struct InstanceWatch {
    term: u64,
    since: Duration,
    heard: BTreeMap<InstanceId, Heard>,
}

impl InstanceWatch {
    /// Starts anew in a new term: nobody is silent yet.
    pub fn follow_term(&mut self, term: u64, now: Duration) {
        if self.term != term {
            self.term = term;
            self.since = now;
            self.heard.clear();
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
    }

    /// What an instance last said it has loaded, and when.
    pub fn models(&self, id: &InstanceId) -> Option<(Duration, &[LoadedModel])> {
        self.heard.get(id).map(|heard| (heard.at, heard.models.as_slice()))
    }

    /// Ready instances that have not reported for `limit`, in order.
    pub fn silent(&self, table: &InstanceTable, now: Duration, limit: Duration) -> Vec<InstanceId> {
        let last_heard = |id: &InstanceId| self.heard.get(id).map_or(self.since, |heard| heard.at);
        let ready = table.iter().filter(|record| record.state == InstanceState::Ready);
        let silent = ready.filter(|record| now >= last_heard(&record.report.id) + limit);
        silent.map(|record| record.report.id.clone()).collect()
    }
}
