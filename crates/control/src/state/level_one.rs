//! The state at level one: how it is written, and what only that level's commands do to it.
//!
//! At level one the state holds nothing that this level cannot write: no reports that wait, no usage, no wanted numbers of
//! engines, no suspected work, no starts of engines. What is found faster today by indexes is made from the rest.

use super::ControlState;
use super::claims::ClaimTable;
use super::configuration::ConfigurationStore;
use super::instances::{InstanceTable, place_of};
use super::jobs::{Job, JobTable, ListedItem};
use super::members::MemberTable;
use super::orders::{OrderNote, OrderState};
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

/// The whole state, as released.
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
    gone: BTreeSet<one::InstanceId>,
    gone_order: VecDeque<one::InstanceId>,
    revision: u64,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct WeightsOne {
    named: BTreeMap<String, u64>,
    holder: Option<ReplicaId>,
    order_notes: BTreeMap<one::InstanceId, OrderNote>,
    notes_taken: u64,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct JobsOne {
    jobs: BTreeMap<JobId, JobOne>,
    taken: u64,
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
    order: u64,
}

/// A value that level one cannot write does not come into a state of that level.
const UNSPEAKABLE: &str = "a state of level one holds what level one can write";

impl ControlState {
    /// The state as level one writes it.
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

    /// The state that level one has written.
    pub fn decode_level_one(bytes: &[u8]) -> Result<Self, bitcode::Error> {
        let one: StateOne = bitcode::decode(bytes)?;
        let (weights, orders) = one.weights.into_today();
        Ok(Self {
            time: one.time,
            configuration: one.configuration,
            claims: one.claims,
            rollouts: one.rollouts,
            members: one.members,
            routing: RoutingState { current: one.routing.current.map(Into::into) },
            instances: one.instances.into_today(),
            weights,
            orders,
            jobs: one.jobs.into_today(),
            stores: one.stores,
            ..Self::default()
        })
    }

    /// Leaves level one. What replicas may have come to in different ways, for example by a snapshot, is made anew from
    /// what they hold in common, and relays are told all of it.
    pub fn leave_level_one(&mut self) {
        self.instances = InstancesOne::of(&self.instances).into_today();
        self.instances.revision += 1;
        self.instances.shares_revision = self.instances.revision;
    }
}

impl RoutingOne {
    fn of(routing: &RoutingState) -> Self {
        let written = |document: &saddlerelay_types::routing::RoutingDocument| {
            RoutingDocument::of(document.clone()).expect(UNSPEAKABLE)
        };
        Self { current: routing.current.as_ref().map(written) }
    }
}

impl InstancesOne {
    fn of(table: &InstanceTable) -> Self {
        let record = |record: &InstanceRecord| one::InstanceRecord::from(record.clone());
        Self {
            records: table.records.iter().map(|(id, held)| (id.into(), record(held))).collect(),
            by_revision: table.by_revision.iter().map(|(revision, id)| (*revision, id.into())).collect(),
            gone: table.gone.iter().map(Into::into).collect(),
            gone_order: table.gone_order.iter().map(Into::into).collect(),
            revision: table.revision,
        }
    }

    fn into_today(self) -> InstanceTable {
        let mut table = InstanceTable::default();
        table.by_revision = self.by_revision.into_iter().map(|(revision, id)| (revision, id.into())).collect();
        table.gone = self.gone.into_iter().map(Into::into).collect();
        table.gone_order = self.gone_order.into_iter().map(Into::into).collect();
        table.revision = self.revision;
        for record in self.records.into_values() {
            let record = record.with_silence(false);
            table.enter_place(&record);
            table.follow_shares(&place_of(&record.report));
            table.records.insert(record.report.id.clone(), record);
        }
        table
    }
}

impl WeightsOne {
    fn of(weights: &WeightState, orders: &OrderState) -> Self {
        let note = |(subject, note): (&OrderSubject, &OrderNote)| match subject {
            OrderSubject::Engine(name) => (one::InstanceId(name.clone()), *note),
            OrderSubject::UsageReports | OrderSubject::EngineCount(_) => panic!("{UNSPEAKABLE}"),
        };
        Self {
            named: weights.named().clone(),
            holder: orders.holder,
            order_notes: orders.notes.iter().map(note).collect(),
            notes_taken: orders.notes_taken,
        }
    }

    fn into_today(self) -> (WeightState, OrderState) {
        let notes = self.order_notes.into_iter().map(|(id, note)| (OrderSubject::Engine(id.0), note)).collect();
        let orders = OrderState { holder: self.holder, notes, notes_taken: self.notes_taken };
        (WeightState { named: self.named }, orders)
    }
}

impl JobsOne {
    fn of(table: &JobTable) -> Self {
        Self {
            jobs: table.jobs.iter().map(|(id, job)| (id.clone(), JobOne::of(job))).collect(),
            taken: table.taken,
            texts: table.texts.clone(),
        }
    }

    fn into_today(self) -> JobTable {
        let jobs = self.jobs.into_iter().map(|(id, job)| (id, job.into_today())).collect();
        JobTable { jobs, taken: self.taken, texts: self.texts }
    }
}

impl JobOne {
    fn of(job: &Job) -> Self {
        Self {
            submission: one::JobSubmission::of(job.submission.clone()).expect(UNSPEAKABLE),
            digests: job.digests.clone(),
            results: job.results.clone(),
            listed: job.listed.clone(),
            partial: job.partial.clone(),
            ended: job.ended,
            keep_until: job.keep_until,
            order: job.order,
        }
    }

    fn into_today(self) -> Job {
        Job {
            submission: self.submission.into(),
            digests: self.digests,
            results: self.results,
            listed: self.listed,
            partial: self.partial,
            ended: self.ended,
            keep_until: self.keep_until,
            order: self.order,
        }
    }
}

impl InstanceTable {
    /// Takes a report as level one does: whatever names its service, and from anyone who names the instance.
    pub fn take_report_level_one(&mut self, report: InstanceReport) {
        let is_news = match self.records.get(&report.id) {
            None => !self.gone.contains(&report.id),
            Some(record) => record.state == InstanceState::Ready && report.leaving,
        };
        if !is_news {
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

    /// Level one keeps no silence on the log: the leader's own view of it stands in the records of its state alone.
    pub fn mark_silence(&mut self, silent: &[InstanceId], heard: &[InstanceId]) {
        let marks = silent.iter().map(|id| (id, true)).chain(heard.iter().map(|id| (id, false)));
        for (id, is_silent) in marks {
            let Some(record) = self.records.get(id).filter(|record| record.state == InstanceState::Ready).cloned()
            else {
                continue;
            };
            self.leave_place(&record);
            let marked = InstanceRecord { silent: is_silent, ..record };
            self.enter_place(&marked);
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
    /// A holder notes orders that it is about to give.
    pub fn note_level_one(&mut self, holder: ReplicaId, instances: Vec<one::InstanceId>) {
        for instance in instances {
            self.notes_taken += 1;
            self.notes.insert(OrderSubject::Engine(instance.0), OrderNote { holder, number: self.notes_taken });
        }
    }

    /// A replica becomes the holder; returns whether another one was it.
    pub fn take_level_one(&mut self, holder: ReplicaId) -> bool {
        let before = self.holder.replace(holder);
        before.is_some_and(|before| before != holder)
    }
}
