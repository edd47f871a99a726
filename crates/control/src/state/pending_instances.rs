//! Reports of engines whose service no routing document in force names: they wait here until one does.
//!
//! An engine may report before the first document, or before the one that names its service, and is to be found as soon as
//! that is in force. A report with a service that is never named comes from another writer. Until its service is named a
//! report therefore takes no address, no name and no place from any engine, and relays are not told of it.

use bitcode::{Decode, Encode};
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use std::collections::{BTreeMap, VecDeque};

/// Reports that are kept, the oldest give way: about 1 MB in each snapshot at most times. An engine whose report has given
/// way is found with its first report after its service is named.
const PENDING_KEPT: usize = 4_096;

/// A service, and an instance that says it belongs to it: what one writer says is not replaced by another's service.
type PendingKey = (String, InstanceId);

fn key_of(report: &InstanceReport) -> PendingKey {
    (report.service.clone(), report.id.clone())
}

/// The reports that wait.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct PendingInstances {
    reports: BTreeMap<PendingKey, InstanceReport>,
    /// The oldest first; also some that no longer wait.
    order: VecDeque<PendingKey>,
}

impl PendingInstances {
    /// Whether a report of this instance waits.
    pub fn holds(&self, id: &InstanceId) -> bool {
        self.reports.keys().any(|(_, held)| held == id)
    }

    /// How many reports wait.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Whether `report` would change anything.
    pub fn is_news(&self, report: &InstanceReport) -> bool {
        let held = self.reports.get(&key_of(report));
        held.is_none_or(|held| report.leaving && !held.leaving && held.address == report.address)
    }

    /// Keeps a report.
    pub fn take(&mut self, report: InstanceReport) {
        let key = key_of(&report);
        if self.reports.insert(key.clone(), report).is_some() {
            return;
        }
        self.order.push_back(key);
        while self.order.len() > PENDING_KEPT {
            if let Some(oldest) = self.order.pop_front() {
                self.reports.remove(&oldest);
            }
        }
    }

    /// Forgets what `wanted` tells, and returns it.
    fn take_where(&mut self, wanted: impl Fn(&InstanceReport) -> bool) -> Vec<InstanceReport> {
        let keys: Vec<PendingKey> =
            self.reports.iter().filter(|(_, report)| wanted(report)).map(|(key, _)| key.clone()).collect();
        self.order.retain(|key| !keys.contains(key));
        keys.iter().filter_map(|key| self.reports.remove(key)).collect()
    }

    /// Takes out the reports of services that are named now.
    pub fn take_named(&mut self, is_named: impl Fn(&str) -> bool) -> Vec<InstanceReport> {
        self.take_where(|report| is_named(&report.service))
    }

    /// Forgets the starts of an engine up to this one.
    pub fn remove(&mut self, ended: &InstanceId) {
        self.take_where(|report| report.id.name == ended.name && report.id <= *ended);
    }

    /// The newest start under this name that waits.
    pub fn newest_start(&self, name: &str) -> Option<&InstanceId> {
        self.reports.keys().map(|(_, held)| held).filter(|held| held.name == name).max()
    }
}
