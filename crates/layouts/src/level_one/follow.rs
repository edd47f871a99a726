//! A relay's follow requests to a leader that runs at level one.
//!
//! Level one sends the full list of silent instances, separate from the records, in each reply; the current level has
//! a flag in each record. The last reply is kept to determine which records a new reply changes.

use crate::level_one::convert::update_from_one;
use crate::level_one::gateway::{FollowReply, FollowRequest, InstanceId, InstanceRecord};
use saddlerelay_types::gateway as current;
use saddlerelay_types::instance::{InstanceState, InstanceUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// Converts follow requests to level one and replies from it, with the state from the last reply.
#[derive(Debug, Default)]
pub struct FollowConverter {
    revision: u64,
    records: BTreeMap<InstanceId, InstanceRecord>,
    silent: BTreeSet<InstanceId>,
}

impl FollowConverter {
    /// Converts the relay's request to level one. Requests the full state if the relay's revision is not that of
    /// the last reply.
    pub fn to_level_one(&self, follow: &current::FollowRequest) -> FollowRequest {
        let is_incremental = self.revision > 0 && follow.instance_revision == self.revision;
        FollowRequest {
            relay: follow.relay.clone(),
            zone: follow.zone.clone(),
            routing_version: follow.routing_version,
            instance_revision: if is_incremental { self.revision } else { 0 },
            silent: if is_incremental { self.silent.iter().cloned().collect() } else { Vec::new() },
        }
    }

    /// Converts the reply to `request`; `None` if its routing update is malformed.
    pub fn convert_reply(&mut self, request: &FollowRequest, reply: FollowReply) -> Option<current::FollowReply> {
        let routing = match &reply.routing {
            Some(update) => Some(update_from_one(update)?),
            None => None,
        };
        let whole = request.instance_revision == 0;
        if whole {
            self.records.clear();
        }
        let previously_silent = if whole { BTreeSet::new() } else { std::mem::take(&mut self.silent) };
        self.silent = reply.silent.into_iter().collect();
        let mut changed: BTreeSet<InstanceId> = previously_silent.symmetric_difference(&self.silent).cloned().collect();
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
        let changed_records = changed.iter().filter_map(|id| self.records.get(id));
        records
            .extend(changed_records.map(|record| record.clone().with_silence(self.silent.contains(&record.report.id))));
        self.revision = reply.instance_revision;
        Some(current::FollowReply {
            lease_ms: reply.lease_ms,
            routing,
            instances: InstanceUpdate { revision: reply.instance_revision, whole, records },
            follower: None,
            retry_pause_ms: 0,
            replicas: reply.replicas,
            nearest_replica: reply.nearest_replica,
            group_unix_ms: None,
            committed_usage_sequence: 0,
            suspicions: None,
        })
    }
}
