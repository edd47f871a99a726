//! Reports of engines whose service is not in the current routing document.
//!
//! An engine may report before the document that names its service is applied; its report is kept here until then. A
//! pending report does not replace any registered instance and is not sent to relays.

use bitcode::{Decode, Encode};
use saddlerelay_types::instance::{InstanceId, InstanceReport};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of pending reports; the oldest is evicted. An engine whose report was evicted is registered by its
/// next report after its service is named. About 1 MB in each snapshot.
const MAX_PENDING_REPORTS: usize = 4_096;

/// Instance and reported service. Reports of the same instance with different services are kept separately.
type PendingKey = (InstanceId, String);

fn key_of(report: &InstanceReport) -> PendingKey {
    (report.id.clone(), report.service.clone())
}

/// The pending reports.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct PendingInstances {
    reports: BTreeMap<PendingKey, InstanceReport>,
    /// Insertion order, oldest first.
    order: VecDeque<PendingKey>,
}

impl PendingInstances {
    /// Whether a report of this instance is pending.
    pub fn contains(&self, id: &InstanceId) -> bool {
        let first = self.reports.range((id.clone(), String::new())..).next();
        first.is_some_and(|((pending, _), _)| pending == id)
    }

    /// Number of pending reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether no report is pending.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Whether `report` would change the pending reports.
    pub fn would_change(&self, report: &InstanceReport) -> bool {
        let pending = self.reports.get(&key_of(report));
        pending.is_none_or(|pending| report.leaving && !pending.leaving && pending.address == report.address)
    }

    /// Adds or replaces a pending report.
    pub fn insert(&mut self, report: InstanceReport) {
        let key = key_of(&report);
        if self.reports.insert(key.clone(), report).is_some() {
            return;
        }
        self.order.push_back(key);
        while self.order.len() > MAX_PENDING_REPORTS {
            if let Some(oldest) = self.order.pop_front() {
                self.reports.remove(&oldest);
            }
        }
    }

    /// Removes and returns the reports whose service matches.
    pub fn take_matching(&mut self, matches: impl Fn(&str) -> bool) -> Vec<InstanceReport> {
        let (matching, remaining) =
            std::mem::take(&mut self.reports).into_iter().partition(|((_, service), _)| matches(service));
        self.reports = remaining;
        self.order.retain(|key| self.reports.contains_key(key));
        BTreeMap::into_values(matching).collect()
    }

    /// Removes all starts of an engine up to and including this one.
    pub fn remove(&mut self, ended: &InstanceId) {
        let starts = self.starts(&ended.name).into_iter();
        let keys: Vec<PendingKey> = starts.filter(|(id, _)| id <= ended).cloned().collect();
        if keys.is_empty() {
            return;
        }
        keys.iter().for_each(|key| drop(self.reports.remove(key)));
        self.order.retain(|key| self.reports.contains_key(key));
    }

    /// Pending starts of an engine, oldest first.
    fn starts(&self, name: &str) -> Vec<&PendingKey> {
        let from = (InstanceId::without_start_time(name), String::new());
        self.reports.range(from..).map(|(key, _)| key).take_while(|(id, _)| id.name == name).collect()
    }

    /// The newest pending start under this name.
    pub fn newest_start(&self, name: &str) -> Option<&InstanceId> {
        self.starts(name).last().map(|(id, _)| id)
    }
}
