//! Engine instances, with indexes by address, by engine pool (service and zone) and by revision, so that common lookups
//! do not scan the whole table.

use super::engine_subset::{RelayLocation, SubsetPrefixes, engine_position};
use bitcode::{Decode, Encode};
use saddlerelay_runtime::steps;
use saddlerelay_types::gateway::EnginePool;
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceReport, InstanceState, InstanceUpdate};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Maximum number of tombstones. A tombstone rejects delayed reports of a removed instance.
const MAX_TOMBSTONES: usize = 8192;

/// The engines of one engine pool that are not [`InstanceState::Gone`].
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
struct PoolEngines {
    /// Ordered by hash position.
    engines: BTreeSet<(u64, InstanceId)>,
    /// Number of engines that are ready and not silent.
    available: u32,
    subset_prefixes: SubsetPrefixes,
}

/// The replicated instance table. Each change increments the revision.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct InstanceTable {
    pub(super) records: BTreeMap<InstanceId, InstanceRecord>,
    pub(super) by_revision: BTreeMap<u64, InstanceId>,
    /// The instance at each address, without those that are gone.
    by_address: BTreeMap<SocketAddr, InstanceId>,
    engine_pools: BTreeMap<EnginePool, PoolEngines>,
    /// By service, the number of instances that report a start time and are not gone.
    start_time_counts: BTreeMap<String, u32>,
    /// Ready instances that have stopped reporting.
    pub(super) silent: BTreeSet<InstanceId>,
    /// Tombstones of removed instances, including instances that never reported. A tombstone also covers earlier starts
    /// under the same name.
    pub(super) tombstones: BTreeSet<InstanceId>,
    pub(super) tombstone_order: VecDeque<InstanceId>,
    pub(super) revision: u64,
    /// The revision of the newest change to any pool's subset sizes. Relays with an older revision need a full update.
    pub(super) subset_revision: u64,
}

/// The service and zone of a reported instance.
pub fn engine_pool_of(report: &InstanceReport) -> EnginePool {
    EnginePool { service: report.service.clone(), zone: report.zone.clone() }
}

/// Whether `report` has the same service and address as the recorded instance.
fn has_same_endpoint(record: &InstanceRecord, report: &InstanceReport) -> bool {
    record.report.service == report.service && record.report.address == report.address
}

fn is_available(record: &InstanceRecord) -> bool {
    record.state == InstanceState::Ready && !record.silent
}

impl InstanceTable {
    /// The revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Looks up an instance, including those that are gone.
    pub fn get(&self, id: &InstanceId) -> Option<&InstanceRecord> {
        steps::record_lookup();
        self.records.get(id)
    }

    /// All instances, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.records.values().inspect(|_| steps::record_lookup())
    }

    /// All engine pools that have or had registered instances.
    pub fn engine_pools(&self) -> impl Iterator<Item = &EnginePool> {
        self.engine_pools.keys()
    }

    /// The engines of a pool that are not gone, ordered by hash position.
    pub fn engines_in(&self, pool: &EnginePool) -> impl Iterator<Item = &InstanceRecord> {
        let engines = self.engine_pools.get(pool).into_iter().flat_map(|pool| &pool.engines);
        engines.filter_map(|(_, id)| self.get(id))
    }

    /// Number of engines of a pool that are ready and not silent.
    pub fn available(&self, pool: &EnginePool) -> u32 {
        self.engine_pools.get(pool).map_or(0, |pool| pool.available)
    }

    /// Ready instances that have stopped reporting, ordered by id.
    pub fn silent(&self) -> &BTreeSet<InstanceId> {
        &self.silent
    }

    /// The instances changed after revision `since`. With `since` 0, instances that are gone are left out.
    pub fn changed_after(&self, since: u64) -> impl Iterator<Item = &InstanceRecord> {
        let changed = self.by_revision.range(since.saturating_add(1)..).filter_map(|(_, id)| self.get(id));
        changed.filter(move |record| since > 0 || record.state != InstanceState::Gone)
    }

    /// The changes of the relay's engine subset after revision `since`, or the whole subset if a delta is not possible.
    pub fn changes_for_relay(&self, relay: RelayLocation<'_>, since: u64) -> InstanceUpdate {
        let whole = since == 0 || since < self.subset_revision || since > self.revision;
        let records = if whole { self.subset_records(relay) } else { self.changed_subset_records(relay, since) };
        InstanceUpdate { revision: self.revision, whole, records }
    }

    fn subset_records(&self, relay: RelayLocation<'_>) -> Vec<InstanceRecord> {
        let mut records = Vec::new();
        for (pool, entry) in &self.engine_pools {
            let (first, last) = entry.subset_prefixes.range(pool, relay);
            let from = (first, InstanceId::without_start_time(""));
            let subset = entry.engines.range(from..).take_while(|(position, _)| *position <= last);
            records.extend(subset.filter_map(|(_, id)| self.get(id)).cloned());
        }
        records
    }

    fn changed_subset_records(&self, relay: RelayLocation<'_>, since: u64) -> Vec<InstanceRecord> {
        self.changed_after(since).filter(|record| self.is_in_subset(relay, record)).cloned().collect()
    }

    fn is_in_subset(&self, relay: RelayLocation<'_>, record: &InstanceRecord) -> bool {
        let pool = engine_pool_of(&record.report);
        let subset_prefixes = self.engine_pools.get(&pool).map(|entry| entry.subset_prefixes).unwrap_or_default();
        let (first, last) = subset_prefixes.range(&pool, relay);
        (first..=last).contains(&engine_position(&record.report.id))
    }

    /// The newest recorded start under a name, including one that is gone.
    pub fn newest_start(&self, name: &str) -> Option<&InstanceId> {
        steps::record_lookup();
        self.records.range(InstanceId::all_starts(name)).next_back().map(|(newest, _)| newest)
    }

    /// The instance that currently serves at an address.
    pub fn instance_at(&self, address: SocketAddr) -> Option<&InstanceId> {
        self.by_address.get(&address)
    }

    /// Whether an instance was removed, or replaced by a later start with its name. Its further reports are ignored.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        let has_tombstone = self.tombstones.range(id.starts_from_here()).next().is_some();
        has_tombstone || self.newest_start(&id.name).is_some_and(|newest| newest > id)
    }

    /// Whether `report` comes from the recorded instance with its id. One start of an engine has one service and one
    /// address; a report with other values was sent by a different process.
    pub fn is_from_recorded_instance(&self, report: &InstanceReport) -> bool {
        let record = self.get(&report.id).filter(|record| record.state != InstanceState::Gone);
        record.is_some_and(|record| has_same_endpoint(record, report))
    }

    /// Whether `report` would change the table.
    pub fn would_change(&self, report: &InstanceReport) -> bool {
        if self.has_ended(&report.id) {
            return false;
        }
        match self.get(&report.id) {
            None => self.has_expected_start_time(report) && self.may_take_address(report),
            Some(record) => record.state == InstanceState::Ready && report.leaving && has_same_endpoint(record, report),
        }
    }

    /// Whether a new instance reports a start time, or no other instance of its service does. Engines of older builds
    /// do not report one.
    fn has_expected_start_time(&self, report: &InstanceReport) -> bool {
        report.id.started_at_ms.is_some() || !self.start_time_counts.contains_key(&report.service)
    }

    /// Whether a new instance may take over its address. A delayed report of an instance that started before the
    /// current, reporting instance at that address may not.
    fn may_take_address(&self, report: &InstanceReport) -> bool {
        let holder = self.by_address.get(&report.address).and_then(|holder| self.get(holder));
        let Some(holder) = holder.filter(|holder| !holder.silent) else {
            return true;
        };
        match (holder.report.id.started_at_ms, report.id.started_at_ms) {
            (Some(current), Some(new)) => current <= new,
            _ => true,
        }
    }

    /// Applies a report. An instance never returns from leaving or gone to ready. A new instance replaces earlier
    /// starts under its name and the previous instance at its address.
    pub fn apply_report(&mut self, report: InstanceReport) {
        if !self.would_change(&report) {
            return;
        }
        let earlier = self.newest_start(&report.id.name).filter(|earlier| **earlier != report.id).cloned();
        let holder = self.by_address.get(&report.address).filter(|holder| **holder != report.id).cloned();
        for replaced in earlier.into_iter().chain(holder) {
            self.remove(&replaced);
        }
        let state = if report.leaving { InstanceState::Leaving } else { InstanceState::Ready };
        self.write(InstanceRecord { report, state, silent: false, revision: 0 });
    }

    /// Sets the silent flag of ready instances that have stopped reporting, and clears it for those that report again.
    pub fn record_silence(&mut self, silent: &[InstanceId], recovered: &[InstanceId]) {
        let changes = silent.iter().map(|id| (id, true)).chain(recovered.iter().map(|id| (id, false)));
        for (id, silent) in changes {
            let record = self.get(id).filter(|record| record.state == InstanceState::Ready && record.silent != silent);
            if let Some(record) = record.cloned() {
                self.write(InstanceRecord { silent, ..record });
            }
        }
    }

    /// Marks an instance and all earlier starts under its name as gone permanently.
    pub fn remove(&mut self, id: &InstanceId) {
        if !self.tombstones.insert(id.clone()) {
            return;
        }
        let up_to_here = self.records.range(InstanceId::without_start_time(&*id.name)..=id.clone());
        let newest = up_to_here.map(|(_, record)| record).next_back();
        if let Some(record) = newest.filter(|record| record.state != InstanceState::Gone).cloned() {
            self.write(InstanceRecord { state: InstanceState::Gone, silent: false, ..record });
        }
        self.tombstone_order.push_back(id.clone());
        while self.tombstone_order.len() > MAX_TOMBSTONES {
            self.evict_oldest_tombstone();
        }
    }

    fn evict_oldest_tombstone(&mut self) {
        let Some(oldest) = self.tombstone_order.pop_front() else {
            return;
        };
        self.tombstones.remove(&oldest);
        if let Some(record) = self.records.remove(&oldest) {
            self.by_revision.remove(&record.revision);
        }
    }

    pub(super) fn write(&mut self, mut record: InstanceRecord) {
        steps::record_lookup();
        self.revision += 1;
        record.revision = self.revision;
        let id = record.report.id.clone();
        if record.silent {
            self.silent.insert(id.clone())
        } else {
            self.silent.remove(&id)
        };
        if let Some(before) = self.records.remove(&id) {
            self.by_revision.remove(&before.revision);
            self.remove_from_indexes(&before);
        }
        self.add_to_indexes(&record);
        self.update_subset_prefixes(&engine_pool_of(&record.report));
        self.by_revision.insert(self.revision, id.clone());
        self.records.insert(id, record);
    }

    pub(super) fn add_to_indexes(&mut self, record: &InstanceRecord) {
        if record.state == InstanceState::Gone {
            return;
        }
        let id = record.report.id.clone();
        self.by_address.insert(record.report.address, id.clone());
        if id.started_at_ms.is_some() {
            *self.start_time_counts.entry(record.report.service.clone()).or_default() += 1;
        }
        let pool = self.engine_pools.entry(engine_pool_of(&record.report)).or_default();
        pool.engines.insert((engine_position(&id), id));
        pool.available += u32::from(is_available(record));
    }

    pub(super) fn remove_from_indexes(&mut self, record: &InstanceRecord) {
        if record.state == InstanceState::Gone {
            return;
        }
        let id = &record.report.id;
        if self.by_address.get(&record.report.address) == Some(id) {
            self.by_address.remove(&record.report.address);
        }
        if id.started_at_ms.is_some()
            && let Some(count) = self.start_time_counts.get_mut(&record.report.service)
        {
            *count -= 1;
            if *count == 0 {
                self.start_time_counts.remove(&record.report.service);
            }
        }
        if let Some(pool) = self.engine_pools.get_mut(&engine_pool_of(&record.report)) {
            pool.engines.remove(&(engine_position(id), id.clone()));
            pool.available -= u32::from(is_available(record));
        }
    }

    /// Recomputes the subset sizes of an engine pool. If one changes, relays get a full update.
    pub(super) fn update_subset_prefixes(&mut self, pool: &EnginePool) {
        if let Some(entry) = self.engine_pools.get_mut(pool)
            && entry.subset_prefixes.update(entry.engines.len())
        {
            self.subset_revision = self.revision;
        }
    }
}
