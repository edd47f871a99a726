//! A relay's questions to a leader that speaks level one.
//!
//! Level one names silent instances apart from their records, all of them in each answer; today each record says whether its
//! instance is silent. What was answered last is kept here to tell which records a new answer changes.

use crate::level_one::convert::update_from_one;
use crate::level_one::gateway::{FollowReply, FollowRequest, InstanceId, InstanceRecord};
use saddlerelay_types::gateway as today;
use saddlerelay_types::instance::{InstanceNews, InstanceState};
use std::collections::{BTreeMap, BTreeSet};

/// What the relay was answered last.
#[derive(Debug, Default)]
pub struct FollowMemory {
    revision: u64,
    records: BTreeMap<InstanceId, InstanceRecord>,
    silent: BTreeSet<InstanceId>,
}

impl FollowMemory {
    /// The relay's question in the words of level one. If it holds something else than it was answered last, it is told
    /// everything anew.
    pub fn question(&self, follow: &today::FollowRequest) -> FollowRequest {
        let goes_on = self.revision > 0 && follow.instance_revision == self.revision;
        FollowRequest {
            relay: follow.relay.clone(),
            zone: follow.zone.clone(),
            routing_version: follow.routing_version,
            instance_revision: if goes_on { self.revision } else { 0 },
            silent: if goes_on { self.silent.iter().cloned().collect() } else { Vec::new() },
        }
    }

    /// The answer to `asked`; `None` if its routing cannot be read.
    pub fn take(&mut self, asked: &FollowRequest, reply: FollowReply) -> Option<today::FollowReply> {
        let routing = match &reply.routing {
            Some(update) => Some(update_from_one(update)?),
            None => None,
        };
        let whole = asked.instance_revision == 0;
        if whole {
            self.records.clear();
        }
        let before = if whole { BTreeSet::new() } else { std::mem::take(&mut self.silent) };
        self.silent = reply.silent.into_iter().collect();
        let mut changed: BTreeSet<InstanceId> = before.symmetric_difference(&self.silent).cloned().collect();
        let mut records = Vec::new();
        for record in reply.instances {
            let id = record.report.id.clone();
            if record.state == InstanceState::Gone {
                self.records.remove(&id);
                records.push(record.with_silence(false));
            } else {
                self.records.insert(id.clone(), record);
                changed.insert(id);
            }
        }
        let held = changed.iter().filter_map(|id| self.records.get(id));
        records.extend(held.map(|record| record.clone().with_silence(self.silent.contains(&record.report.id))));
        self.revision = reply.instance_revision;
        Some(today::FollowReply {
            lease_ms: reply.lease_ms,
            routing,
            instances: InstanceNews { revision: reply.instance_revision, whole, records },
            follower: None,
            retry_pause_ms: 0,
            replicas: reply.replicas,
            nearest_replica: reply.nearest_replica,
            group_unix_ms: None,
            usage_taken: 0,
            suspicions: None,
        })
    }
}
