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

/// An instance, and the service that it says it belongs to: what one writer says is not replaced by another's service.
type PendingKey = (InstanceId, String);

fn key_of(report: &InstanceReport) -> PendingKey {
    (report.id.clone(), report.service.clone())
}

/// The reports that wait.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct PendingInstances {
    reports: BTreeMap<PendingKey, InstanceReport>,
    /// The oldest first.
    order: VecDeque<PendingKey>,
}

impl PendingInstances {
    /// Whether a report of this instance waits.
    pub fn holds(&self, id: &InstanceId) -> bool {
        let first = self.reports.range((id.clone(), String::new())..).next();
        first.is_some_and(|((held, _), _)| held == id)
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

    /// Takes out the reports of services that are named now.
    pub fn take_named(&mut self, is_named: impl Fn(&str) -> bool) -> Vec<InstanceReport> {
        let (named, left) =
            std::mem::take(&mut self.reports).into_iter().partition(|((_, service), _)| is_named(service));
        self.reports = left;
        self.order.retain(|key| self.reports.contains_key(key));
        BTreeMap::into_values(named).collect()
    }

    /// Forgets the starts of an engine up to this one.
    pub fn remove(&mut self, ended: &InstanceId) {
        let of_name = self.of_name(&ended.name).into_iter();
        let keys: Vec<PendingKey> = of_name.filter(|(id, _)| id <= ended).cloned().collect();
        if keys.is_empty() {
            return;
        }
        keys.iter().for_each(|key| drop(self.reports.remove(key)));
        self.order.retain(|key| self.reports.contains_key(key));
    }

    /// The starts of an engine that wait, the newest last.
    fn of_name(&self, name: &str) -> Vec<&PendingKey> {
        let from = (InstanceId::named(name), String::new());
        self.reports.range(from..).map(|(key, _)| key).take_while(|(id, _)| id.name == name).collect()
    }

    /// The newest start under this name that waits.
    pub fn newest_start(&self, name: &str) -> Option<&InstanceId> {
        self.of_name(name).last().map(|(id, _)| id)
    }
}
