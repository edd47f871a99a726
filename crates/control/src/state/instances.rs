//! Engine instances.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::EnginePlace;
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceReport, InstanceState};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Instances remembered after they are gone, so that their late reports do not bring them back.
const GONE_KEPT: usize = 8192;

/// The table. Each change takes the next revision.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct InstanceTable {
    records: BTreeMap<InstanceId, InstanceRecord>,
    by_revision: BTreeMap<u64, InstanceId>,
    /// Instances that are gone, also those that were never known otherwise.
    gone: BTreeSet<InstanceId>,
    gone_order: VecDeque<InstanceId>,
    revision: u64,
}

impl InstanceTable {
    /// The revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// An instance.
    pub fn get(&self, id: &InstanceId) -> Option<&InstanceRecord> {
        self.records.get(id)
    }

    /// Every instance, also those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.records.values()
    }

    /// How many engines of a place may be given work and are not among the `silent`, which are in order.
    pub fn present(&self, place: &EnginePlace, silent: &[InstanceId]) -> u32 {
        let there = |record: &&InstanceRecord| {
            record.state == InstanceState::Ready
                && record.report.service == place.service
                && record.report.zone == place.zone
                && silent.binary_search(&record.report.id).is_err()
        };
        self.records.values().filter(there).count() as u32
    }

    /// The instances changed after revision `known`. One that knows nothing is not told of those that are gone.
    pub fn changed_after(&self, known: u64) -> Vec<InstanceRecord> {
        let changed = self.by_revision.range(known + 1..).filter_map(|(_, id)| self.records.get(id));
        changed.filter(|record| known > 0 || record.state != InstanceState::Gone).cloned().collect()
    }

    /// Whether `report` would change the table.
    pub fn is_news(&self, report: &InstanceReport) -> bool {
        if self.gone.contains(&report.id) {
            return false;
        }
        match self.records.get(&report.id) {
            None => true,
            Some(record) => record.state == InstanceState::Ready && report.leaving,
        }
    }

    /// Takes a report. An instance never goes back from leaving or gone, and a new one takes its address over.
    pub fn take_report(&mut self, report: InstanceReport) {
        if !self.is_news(&report) {
            return;
        }
        let replaced: Vec<InstanceId> = self.others_at(&report).collect();
        for id in replaced {
            self.remove(&id);
        }
        let state = if report.leaving { InstanceState::Leaving } else { InstanceState::Ready };
        self.write(InstanceRecord { report, state, revision: 0 });
    }

    fn others_at<'a>(&'a self, report: &'a InstanceReport) -> impl Iterator<Item = InstanceId> + 'a {
        let same_address = |record: &&InstanceRecord| {
            record.report.address == report.address
                && record.report.id != report.id
                && record.state != InstanceState::Gone
        };
        self.records.values().filter(same_address).map(|record| record.report.id.clone())
    }

    /// An instance is gone, and stays so.
    pub fn remove(&mut self, id: &InstanceId) {
        if !self.gone.insert(id.clone()) {
            return;
        }
        if let Some(record) = self.records.get(id).cloned() {
            self.write(InstanceRecord { state: InstanceState::Gone, ..record });
        }
        self.gone_order.push_back(id.clone());
        while self.gone_order.len() > GONE_KEPT {
            self.forget_oldest_gone();
        }
    }

    fn forget_oldest_gone(&mut self) {
        let Some(oldest) = self.gone_order.pop_front() else {
            return;
        };
        self.gone.remove(&oldest);
        if let Some(record) = self.records.remove(&oldest) {
            self.by_revision.remove(&record.revision);
        }
    }

    fn write(&mut self, mut record: InstanceRecord) {
        self.revision += 1;
        record.revision = self.revision;
        let id = record.report.id.clone();
        if let Some(before) = self.records.insert(id.clone(), record) {
            self.by_revision.remove(&before.revision);
        }
        self.by_revision.insert(self.revision, id);
    }
}
