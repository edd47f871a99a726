//! The relay's copy of routes and engine states, and the lease under which it may be used.

use crate::table::RouteTable;
use saddlerelay_types::gateway::FollowReply;
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceState, InstanceUpdate};
use saddlerelay_types::routing_update::EncodedRoutingUpdate;
use saddlerelay_upstream::{EngineTarget, ReadyEngine};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Routes and engine states; empty and without a lease until the first reply from the control group.
#[derive(Default)]
pub struct View {
    table: Option<Rc<RouteTable>>,
    instances: BTreeMap<InstanceId, InstanceRecord>,
    instance_revision: u64,
    /// Lease expiry in monotonic time.
    leased_until: Duration,
    /// Duration of the newest lease.
    lease_duration: Duration,
    /// Send time of the request whose reply was applied last, in monotonic time.
    requested_at: Duration,
    /// The last routing update could not be applied to the current document.
    needs_full_document: bool,
}

impl View {
    /// The version of the current routing document.
    pub fn routing_version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.document().version)
    }

    /// The revision of the current instance table.
    pub fn instance_revision(&self) -> u64 {
        self.instance_revision
    }

    /// Whether the lease is valid at `now`.
    pub fn is_leased(&self, now: Duration) -> bool {
        now < self.leased_until
    }

    /// Whether more than half of the lease remains at `now`, enough to retry a follower instead of the leader.
    pub fn may_retry_follower(&self, now: Duration) -> bool {
        self.lease_left(now) > self.lease_duration / 2
    }

    /// Remaining lease time.
    pub fn lease_left(&self, now: Duration) -> Duration {
        self.leased_until.saturating_sub(now)
    }

    /// Time since the request of the newest applied reply was sent.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.requested_at)
    }

    /// The route table, if a routing document was received.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.clone()
    }

    /// Applies a reply to a request sent at `requested_at`. Older routing versions are ignored, and the lease is not
    /// extended if the newest routing update cannot be applied.
    pub fn apply_reply(&mut self, reply: FollowReply, requested_at: Duration, offset: f64) {
        self.needs_full_document = !self.apply_routing(reply.routing, offset);
        if self.needs_full_document {
            return;
        }
        let lease = Duration::from_millis(reply.lease_ms);
        self.leased_until = self.leased_until.max(requested_at + lease);
        self.lease_duration = lease;
        self.requested_at = requested_at;
        self.apply_instances(reply.instances);
    }

    fn apply_instances(&mut self, update: InstanceUpdate) {
        if update.whole {
            self.instances.clear();
            self.instance_revision = 0;
        }
        for record in update.records {
            match record.state {
                InstanceState::Gone => self.instances.remove(&record.report.id),
                _ => self.instances.insert(record.report.id.clone(), record),
            };
        }
        self.instance_revision = self.instance_revision.max(update.revision);
    }

    /// Applies a newer routing document; returns `false` if an update could not be applied.
    fn apply_routing(&mut self, update: Option<EncodedRoutingUpdate>, offset: f64) -> bool {
        let Some(update) =
            update.filter(|update| self.routing_version().is_none_or(|current| update.version > current))
        else {
            return true;
        };
        let current = self.table.as_ref().map(|table| table.document());
        let document = update.decode().and_then(|update| update.apply(current));
        let applied = document.is_some();
        if let Some(document) = document {
            self.table = Some(Rc::new(RouteTable::replacing(document, self.table.as_deref(), offset)));
        }
        applied
    }

    /// The version that the next routing update may be based on; `None` requests a full document.
    pub fn update_base(&self) -> Option<u64> {
        self.routing_version().filter(|_| !self.needs_full_document)
    }

    /// Whether `instance` is ready for new requests.
    pub fn is_ready(&self, instance: &InstanceId) -> bool {
        self.instances.get(instance).is_some_and(|record| record.state == InstanceState::Ready)
    }

    /// Whether `instance` is in the instance table.
    pub fn is_known(&self, instance: &InstanceId) -> bool {
        self.instances.contains_key(instance)
    }

    /// The engines of `service` that are ready for new requests.
    pub fn ready_engines<'a>(&'a self, service: &'a str) -> impl Iterator<Item = ReadyEngine> + 'a {
        let ready = self
            .instances
            .values()
            .filter(move |record| record.state == InstanceState::Ready && record.report.service == service);
        ready.map(|record| ReadyEngine {
            target: EngineTarget { instance: record.report.id.clone(), address: record.report.address },
            zone: record.report.zone.clone(),
            slots: record.report.slots,
            silent: record.silent,
        })
    }
}
