//! Feature level one: the snapshot layout, and the state changes that only commands of that level make.
//!
//! At level one the state contains no pending reports, usage, wanted engine counts, suspicions or engine start times,
//! which that level's layout cannot represent. Indexes that the layout lacks are rebuilt after decoding.

use super::ControlState;
use super::claims::ClaimTable;
use super::configuration::ConfigurationStore;
use super::instances::{InstanceTable, engine_pool_of};
use super::jobs::{Job, JobTable, ListedItem};
use super::members::MemberTable;
use super::orders::{OrderIntent, OrderState};
use super::rollouts::RolloutLedger;
use super::routing::RoutingState;
use super::stores::StoreTable;
use super::text_archive::TextArchive;
use super::weights::WeightState;
use bitcode::{Decode, Encode};
use saddlerelay_layouts::level_one::gateway as one;
use saddlerelay_layouts::level_one::routing::RoutingDocument;
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceReport, InstanceState};
use saddlerelay_types::job::{JobId, PartialText};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The whole state in the layout of level one.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct StateOne {
    time: u64,
    configuration: ConfigurationStore,
    claims: ClaimTable,
    rollouts: RolloutLedger,
    members: MemberTable,
    routing: RoutingOne,
    instances: InstancesOne,
    weights: WeightsOne,
    jobs: JobsOne,
    stores: StoreTable,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct RoutingOne {
    current: Option<RoutingDocument>,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct InstancesOne {
    records: BTreeMap<one::InstanceId, one::InstanceRecord>,
    by_revision: BTreeMap<u64, one::InstanceId>,
    tombstones: BTreeSet<one::InstanceId>,
    tombstone_order: VecDeque<one::InstanceId>,
    revision: u64,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct WeightsOne {
    published: BTreeMap<String, u64>,
    holder: Option<ReplicaId>,
    order_intents: BTreeMap<one::InstanceId, OrderIntent>,
    intents_recorded: u64,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct JobsOne {
    jobs: BTreeMap<JobId, JobOne>,
    submission_count: u64,
    texts: TextArchive,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct JobOne {
    submission: one::JobSubmission,
    digests: Vec<u64>,
    results: Vec<ListedItem>,
    listed: Vec<bool>,
    partial: BTreeMap<u32, PartialText>,
    ended: bool,
    keep_until: u64,
    submission_number: u64,
}

/// Panic message for a state that contains values from commands of a later level.
const NOT_REPRESENTABLE: &str = "a state at feature level one contains only values of that level's layout";

impl ControlState {
    /// Encodes the state in the layout of level one.
    pub fn encode_level_one(&self) -> Vec<u8> {
        bitcode::encode(&StateOne {
            time: self.time,
            configuration: self.configuration.clone(),
            claims: self.claims.clone(),
            rollouts: self.rollouts.clone(),
            members: self.members.clone(),
            routing: RoutingOne::of(&self.routing),
            instances: InstancesOne::of(&self.instances),
            weights: WeightsOne::of(&self.weights, &self.orders),
            jobs: JobsOne::of(&self.jobs),
            stores: self.stores.clone(),
        })
    }

    /// Decodes a state from the layout of level one.
    pub fn decode_level_one(bytes: &[u8]) -> Result<Self, bitcode::Error> {
        let one: StateOne = bitcode::decode(bytes)?;
        let (weights, orders) = one.weights.into_current();
        Ok(Self {
            time: one.time,
            configuration: one.configuration,
            claims: one.claims,
            rollouts: one.rollouts,
            members: one.members,
            routing: RoutingState { current: one.routing.current.map(Into::into) },
            instances: one.instances.into_current(),
            weights,
            orders,
            jobs: one.jobs.into_current(),
            stores: one.stores,
            ..Self::default()
        })
    }

    /// Leaves level one. State that may differ among replicas, such as silent flags, is rebuilt from the replicated
    /// records, and relays get a full update.
    pub fn leave_level_one(&mut self) {
        self.instances = InstancesOne::of(&self.instances).into_current();
        self.instances.revision += 1;
        self.instances.subset_revision = self.instances.revision;
    }
}

impl RoutingOne {
    fn of(routing: &RoutingState) -> Self {
        let encode = |document: &saddlerelay_types::routing::RoutingDocument| {
            RoutingDocument::of(document.clone()).expect(NOT_REPRESENTABLE)
        };
        Self { current: routing.current.as_ref().map(encode) }
    }
}

impl InstancesOne {
    fn of(table: &InstanceTable) -> Self {
        let record = |record: &InstanceRecord| one::InstanceRecord::from(record.clone());
        Self {
            records: table.records.iter().map(|(id, current)| (id.into(), record(current))).collect(),
            by_revision: table.by_revision.iter().map(|(revision, id)| (*revision, id.into())).collect(),
            tombstones: table.tombstones.iter().map(Into::into).collect(),
            tombstone_order: table.tombstone_order.iter().map(Into::into).collect(),
            revision: table.revision,
        }
    }

    fn into_current(self) -> InstanceTable {
        let mut table = InstanceTable::default();
        table.by_revision = self.by_revision.into_iter().map(|(revision, id)| (revision, id.into())).collect();
        table.tombstones = self.tombstones.into_iter().map(Into::into).collect();
        table.tombstone_order = self.tombstone_order.into_iter().map(Into::into).collect();
        table.revision = self.revision;
        for record in self.records.into_values() {
            let record = record.with_silence(false);
            table.add_to_indexes(&record);
            table.update_subset_prefixes(&engine_pool_of(&record.report));
            table.records.insert(record.report.id.clone(), record);
        }
        table
    }
}

impl WeightsOne {
    fn of(weights: &WeightState, orders: &OrderState) -> Self {
        let intent = |(subject, intent): (&OrderSubject, &OrderIntent)| match subject {
            OrderSubject::Engine(name) => (one::InstanceId(name.clone()), *intent),
            OrderSubject::UsageReports | OrderSubject::EngineCount(_) => panic!("{NOT_REPRESENTABLE}"),
        };
        Self {
            published: weights.published().clone(),
            holder: orders.holder,
            order_intents: orders.intents.iter().map(intent).collect(),
            intents_recorded: orders.intents_recorded,
        }
    }

    fn into_current(self) -> (WeightState, OrderState) {
        let intents = self.order_intents.into_iter().map(|(id, intent)| (OrderSubject::Engine(id.0), intent)).collect();
        let orders = OrderState { holder: self.holder, intents, intents_recorded: self.intents_recorded };
        (WeightState { published: self.published }, orders)
    }
}

impl JobsOne {
    fn of(table: &JobTable) -> Self {
        Self {
            jobs: table.jobs.iter().map(|(id, job)| (id.clone(), JobOne::of(job))).collect(),
            submission_count: table.submission_count,
            texts: table.texts.clone(),
        }
    }

    fn into_current(self) -> JobTable {
        let jobs = self.jobs.into_iter().map(|(id, job)| (id, job.into_current())).collect();
        JobTable { jobs, submission_count: self.submission_count, texts: self.texts, uptime_expiry: None }
    }
}

impl JobOne {
    fn of(job: &Job) -> Self {
        Self {
            submission: one::JobSubmission::of(job.submission.clone()).expect(NOT_REPRESENTABLE),
            digests: job.digests.clone(),
            results: job.results.clone(),
            listed: job.listed.clone(),
            partial: job.partial.clone(),
            ended: job.ended,
            keep_until: job.keep_until,
            submission_number: job.submission_number,
        }
    }

    fn into_current(self) -> Job {
        Job {
            submission: self.submission.into(),
            digests: self.digests,
            results: self.results,
            listed: self.listed,
            partial: self.partial,
            ended: self.ended,
            keep_until: self.keep_until,
            submission_number: self.submission_number,
        }
    }
}

impl InstanceTable {
    /// Applies a report as at level one, which checks neither the routing document nor the service and address of the
    /// recorded instance.
    pub fn apply_report_level_one(&mut self, report: InstanceReport) {
        let would_change = match self.records.get(&report.id) {
            None => !self.tombstones.contains(&report.id),
            Some(record) => record.state == InstanceState::Ready && report.leaving,
        };
        if !would_change {
            return;
        }
        let others = self.records.values().filter(|record| {
            record.report.address == report.address
                && record.report.id != report.id
                && record.state != InstanceState::Gone
        });
        let replaced: Vec<InstanceId> = others.map(|record| record.report.id.clone()).collect();
        replaced.iter().for_each(|id| self.remove(id));
        let state = if report.leaving { InstanceState::Leaving } else { InstanceState::Ready };
        self.write(InstanceRecord { report, state, silent: false, revision: 0 });
    }

    /// Updates the silent flags in the leader's own state; they are not replicated at level one.
    pub fn mark_silence(&mut self, silent: &[InstanceId], recovered: &[InstanceId]) {
        let changes = silent.iter().map(|id| (id, true)).chain(recovered.iter().map(|id| (id, false)));
        for (id, is_silent) in changes {
            let Some(record) = self.records.get(id).filter(|record| record.state == InstanceState::Ready).cloned()
            else {
                continue;
            };
            self.remove_from_indexes(&record);
            let marked = InstanceRecord { silent: is_silent, ..record };
            self.add_to_indexes(&marked);
            self.records.insert(id.clone(), marked);
            if is_silent {
                self.silent.insert(id.clone())
            } else {
                self.silent.remove(id)
            };
        }
    }
}

impl OrderState {
    /// Records orders that `holder` is about to send.
    pub fn record_level_one(&mut self, holder: ReplicaId, instances: Vec<one::InstanceId>) {
        for instance in instances {
            self.intents_recorded += 1;
            self.intents
                .insert(OrderSubject::Engine(instance.0), OrderIntent { holder, number: self.intents_recorded });
        }
    }

    /// Makes a replica the holder of orders; returns whether another replica was the holder.
    pub fn set_holder_level_one(&mut self, holder: ReplicaId) -> bool {
        let before = self.holder.replace(holder);
        before.is_some_and(|before| before != holder)
    }
}
