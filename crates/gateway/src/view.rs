//! What a relay knows of routes and engines, and how long it may act on it.

use crate::table::RouteTable;
use saddlerelay_types::gateway::FollowReply;
use saddlerelay_types::instance::{InstanceId, InstanceNews, InstanceRecord, InstanceState};
use saddlerelay_types::routing_update::EncodedRoutingUpdate;
use saddlerelay_upstream::{EngineTarget, ReadyEngine};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The view. Empty, and without a lease, until the control group has answered.
#[derive(Default)]
pub struct View {
    table: Option<Rc<RouteTable>>,
    instances: BTreeMap<InstanceId, InstanceRecord>,
    instance_revision: u64,
    /// By the relay's own clock.
    leased_until: Duration,
    /// How long the newest lease was.
    newest_lease: Duration,
    asked_at: Duration,
    /// An update did not go on from the document that is held.
    needs_whole_document: bool,
}

impl View {
    /// The routing version acted on.
    pub fn routing_version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.document().version)
    }

    /// The revision of the instance table acted on.
    pub fn instance_revision(&self) -> u64 {
        self.instance_revision
    }

    /// Whether the relay may act at `now`.
    pub fn is_leased(&self, now: Duration) -> bool {
        now < self.leased_until
    }

    /// Whether enough of the lease is left at `now` to wait for the replica that is asked, rather than to ask the leader.
    pub fn may_wait(&self, now: Duration) -> bool {
        self.lease_left(now) > self.newest_lease / 2
    }

    /// For how long the relay may act from `now` on.
    pub fn lease_left(&self, now: Duration) -> Duration {
        self.leased_until.saturating_sub(now)
    }

    /// How old the newest answer of the control group is.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.asked_at)
    }

    /// The routes, if there are any yet.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.clone()
    }

    /// Takes an answer to a question asked at `asked_at`. A routing version never goes back, and a relay that cannot take
    /// the newest document is not given a longer lease.
    pub fn take(&mut self, reply: FollowReply, asked_at: Duration, offset: f64) {
        self.needs_whole_document = !self.take_routing(reply.routing, offset);
        if self.needs_whole_document {
            return;
        }
        let lease = Duration::from_millis(reply.lease_ms);
        self.leased_until = self.leased_until.max(asked_at + lease);
        self.newest_lease = lease;
        self.asked_at = asked_at;
        self.take_instances(reply.instances);
    }

    fn take_instances(&mut self, news: InstanceNews) {
        if news.whole {
            self.instances.clear();
            self.instance_revision = 0;
        }
        for record in news.records {
            match record.state {
                InstanceState::Gone => self.instances.remove(&record.report.id),
                _ => self.instances.insert(record.report.id.clone(), record),
            };
        }
        self.instance_revision = self.instance_revision.max(news.revision);
    }

    /// Takes a newer document; returns whether the relay holds the newest it was told of.
    fn take_routing(&mut self, update: Option<EncodedRoutingUpdate>, offset: f64) -> bool {
        let Some(update) = update.filter(|update| self.routing_version().is_none_or(|held| update.version > held))
        else {
            return true;
        };
        let held = self.table.as_ref().map(|table| table.document());
        let document = update.decode().and_then(|update| update.apply(held));
        let taken = document.is_some();
        if let Some(document) = document {
            self.table = Some(Rc::new(RouteTable::following(document, self.table.as_deref(), offset)));
        }
        taken
    }

    /// The version on which an update may go on; `None` asks for a whole document.
    pub fn update_base(&self) -> Option<u64> {
        self.routing_version().filter(|_| !self.needs_whole_document)
    }

    /// Whether `instance` may be given new work.
    pub fn is_ready(&self, instance: &InstanceId) -> bool {
        self.instances.get(instance).is_some_and(|record| record.state == InstanceState::Ready)
    }

    /// Whether `instance` is known and not gone.
    pub fn is_known(&self, instance: &InstanceId) -> bool {
        self.instances.contains_key(instance)
    }

    /// The engines of `service` that may be given new work.
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
