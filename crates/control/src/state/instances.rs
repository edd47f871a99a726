//! Engine instances. What is asked for often is found without a look at all of them: who holds an address, how many are
//! ready in a place, and what has changed for one relay.

use super::engine_subset::{RelayPlace, Shares, engine_position};
use bitcode::{Decode, Encode};
use saddlerelay_runtime::steps;
use saddlerelay_types::gateway::EnginePlace;
use saddlerelay_types::instance::{InstanceId, InstanceNews, InstanceRecord, InstanceReport, InstanceState};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Instances remembered after they are gone, so that their late reports do not bring them back.
const GONE_KEPT: usize = 8192;

/// The engines of one place that are not gone.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
struct PlaceEngines {
    /// By position.
    engines: BTreeSet<(u64, InstanceId)>,
    /// Those that may be given work and report themselves.
    present: u32,
    shares: Shares,
}

/// The table. Each change takes the next revision.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct InstanceTable {
    pub(super) records: BTreeMap<InstanceId, InstanceRecord>,
    pub(super) by_revision: BTreeMap<u64, InstanceId>,
    /// The instance at each address that is not gone.
    by_address: BTreeMap<SocketAddr, InstanceId>,
    places: BTreeMap<EnginePlace, PlaceEngines>,
    /// How many instances of each service have told when they started and are not gone.
    telling_starts: BTreeMap<String, u32>,
    /// Ready instances whose reports have ceased.
    pub(super) silent: BTreeSet<InstanceId>,
    /// Instances that are gone, also those that were never known otherwise. Earlier starts under the same name are gone
    /// with them.
    pub(super) gone: BTreeSet<InstanceId>,
    pub(super) gone_order: VecDeque<InstanceId>,
    pub(super) revision: u64,
    /// The revision at which relays began to be told of other parts of places than before.
    pub(super) shares_revision: u64,
}

/// Where an instance stands.
pub fn place_of(report: &InstanceReport) -> EnginePlace {
    EnginePlace { service: report.service.clone(), zone: report.zone.clone() }
}

/// Whether `report` tells the service and the address that its instance began with.
fn is_from(record: &InstanceRecord, report: &InstanceReport) -> bool {
    record.report.service == report.service && record.report.address == report.address
}

fn is_present(record: &InstanceRecord) -> bool {
    record.state == InstanceState::Ready && !record.silent
}

impl InstanceTable {
    /// The revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// An instance.
    pub fn get(&self, id: &InstanceId) -> Option<&InstanceRecord> {
        steps::look();
        self.records.get(id)
    }

    /// Every instance, also those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.records.values().inspect(|_| steps::look())
    }

    /// Every place that has engines which are not gone.
    pub fn places(&self) -> impl Iterator<Item = &EnginePlace> {
        self.places.keys()
    }

    /// The engines of a place that are not gone, in the order of their positions, which has nothing to do with their names.
    pub fn engines_in(&self, place: &EnginePlace) -> impl Iterator<Item = &InstanceRecord> {
        let engines = self.places.get(place).into_iter().flat_map(|place| &place.engines);
        engines.filter_map(|(_, id)| self.get(id))
    }

    /// How many engines of a place may be given work and report themselves.
    pub fn present(&self, place: &EnginePlace) -> u32 {
        self.places.get(place).map_or(0, |place| place.present)
    }

    /// Ready instances whose reports have ceased, in order.
    pub fn silent(&self) -> &BTreeSet<InstanceId> {
        &self.silent
    }

    /// The instances changed after revision `known`. One that knows nothing is not told of those that are gone.
    pub fn changed_after(&self, known: u64) -> impl Iterator<Item = &InstanceRecord> {
        let changed = self.by_revision.range(known.saturating_add(1)..).filter_map(|(_, id)| self.get(id));
        changed.filter(move |record| known > 0 || record.state != InstanceState::Gone)
    }

    /// What a relay lacks that holds revision `known` of the engines that it is told of.
    pub fn news_for(&self, relay: RelayPlace<'_>, known: u64) -> InstanceNews {
        let whole = known == 0 || known < self.shares_revision || known > self.revision;
        let records = if whole { self.whole_for(relay) } else { self.changes_for(relay, known) };
        InstanceNews { revision: self.revision, whole, records }
    }

    fn whole_for(&self, relay: RelayPlace<'_>) -> Vec<InstanceRecord> {
        let mut records = Vec::new();
        for (place, held) in &self.places {
            let (first, last) = held.shares.range(place, relay);
            let from = (first, InstanceId::named(""));
            let told = held.engines.range(from..).take_while(|(position, _)| *position <= last);
            records.extend(told.filter_map(|(_, id)| self.get(id)).cloned());
        }
        records
    }

    fn changes_for(&self, relay: RelayPlace<'_>, known: u64) -> Vec<InstanceRecord> {
        self.changed_after(known).filter(|record| self.is_told(relay, record)).cloned().collect()
    }

    fn is_told(&self, relay: RelayPlace<'_>, record: &InstanceRecord) -> bool {
        let place = place_of(&record.report);
        let shares = self.places.get(&place).map(|held| held.shares).unwrap_or_default();
        let (first, last) = shares.range(&place, relay);
        (first..=last).contains(&engine_position(&record.report.id))
    }

    /// The newest start that is known under a name, also one that is gone.
    pub fn newest_start(&self, name: &str) -> Option<&InstanceId> {
        steps::look();
        self.records.range(InstanceId::all_starts(name)).next_back().map(|(newest, _)| newest)
    }

    /// The instance at an address.
    pub fn holder(&self, address: SocketAddr) -> Option<&InstanceId> {
        self.by_address.get(&address)
    }

    /// Whether an instance is gone, or a later start under its name is known: what still comes of it is late.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        let is_gone = self.gone.range(id.starts_from_here()).next().is_some();
        is_gone || self.newest_start(&id.name).is_some_and(|newest| newest > id)
    }

    /// Whether `report` comes from the instance that is held under its name. One start has one service and one address; what
    /// tells another under the same name comes from another writer.
    pub fn is_said_by_holder(&self, report: &InstanceReport) -> bool {
        let record = self.get(&report.id).filter(|record| record.state != InstanceState::Gone);
        record.is_some_and(|record| is_from(record, report))
    }

    /// Whether `report` would change the table.
    pub fn is_news(&self, report: &InstanceReport) -> bool {
        if self.has_ended(&report.id) {
            return false;
        }
        match self.get(&report.id) {
            None => self.tells_as_others(report) && self.may_take_address(report),
            Some(record) => record.state == InstanceState::Ready && report.leaving && is_from(record, report),
        }
    }

    /// Whether a new instance tells its start if others of its service do. Where all tell it, a report without it comes from
    /// another writer; where none does, engines do not tell it yet.
    fn tells_as_others(&self, report: &InstanceReport) -> bool {
        report.id.started_at_ms.is_some() || !self.telling_starts.contains_key(&report.service)
    }

    /// Whether a new instance may stand at its address. A late report of one that started before the instance that serves
    /// there does not take the address back.
    fn may_take_address(&self, report: &InstanceReport) -> bool {
        let holder = self.by_address.get(&report.address).and_then(|holder| self.get(holder));
        let Some(holder) = holder.filter(|holder| !holder.silent) else {
            return true;
        };
        match (holder.report.id.started_at_ms, report.id.started_at_ms) {
            (Some(held), Some(new)) => held <= new,
            _ => true,
        }
    }

    /// Takes a report. An instance never goes back from leaving or gone; a new one takes over its address, and the name that
    /// an earlier start of the engine had.
    pub fn take_report(&mut self, report: InstanceReport) {
        if !self.is_news(&report) {
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

    /// Notes that the reports of ready instances have ceased, or have come again.
    pub fn note_silence(&mut self, silent: &[InstanceId], heard: &[InstanceId]) {
        let changes = silent.iter().map(|id| (id, true)).chain(heard.iter().map(|id| (id, false)));
        for (id, silent) in changes {
            let record = self.get(id).filter(|record| record.state == InstanceState::Ready && record.silent != silent);
            if let Some(record) = record.cloned() {
                self.write(InstanceRecord { silent, ..record });
            }
        }
    }

    /// An instance is gone, and stays so, with all earlier starts under its name.
    pub fn remove(&mut self, id: &InstanceId) {
        if !self.gone.insert(id.clone()) {
            return;
        }
        let up_to_here = self.records.range(InstanceId::named(&*id.name)..=id.clone());
        let newest = up_to_here.map(|(_, record)| record).next_back();
        if let Some(record) = newest.filter(|record| record.state != InstanceState::Gone).cloned() {
            self.write(InstanceRecord { state: InstanceState::Gone, silent: false, ..record });
        }
        self.gone_order.push_back(id.clone());
        while self.gone_order.len() > GONE_KEPT {
            self.forget_oldest_gone();
        }
    }

    fn forget_oldest_gone(&mut self) {
        let Some(oldest) = self.gone_order.pop_front() else {
            return;
        };
        self.gone.remove(&oldest);
        if let Some(record) = self.records.remove(&oldest) {
            self.by_revision.remove(&record.revision);
        }
    }

    pub(super) fn write(&mut self, mut record: InstanceRecord) {
        steps::look();
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
            self.leave_place(&before);
        }
        self.enter_place(&record);
        self.follow_shares(&place_of(&record.report));
        self.by_revision.insert(self.revision, id.clone());
        self.records.insert(id, record);
    }

    pub(super) fn enter_place(&mut self, record: &InstanceRecord) {
        if record.state == InstanceState::Gone {
            return;
        }
        let id = record.report.id.clone();
        self.by_address.insert(record.report.address, id.clone());
        if id.started_at_ms.is_some() {
            *self.telling_starts.entry(record.report.service.clone()).or_default() += 1;
        }
        let place = self.places.entry(place_of(&record.report)).or_default();
        place.engines.insert((engine_position(&id), id));
        place.present += u32::from(is_present(record));
    }

    pub(super) fn leave_place(&mut self, record: &InstanceRecord) {
        if record.state == InstanceState::Gone {
            return;
        }
        let id = &record.report.id;
        if self.by_address.get(&record.report.address) == Some(id) {
            self.by_address.remove(&record.report.address);
        }
        if id.started_at_ms.is_some()
            && let Some(count) = self.telling_starts.get_mut(&record.report.service)
        {
            *count -= 1;
            if *count == 0 {
                self.telling_starts.remove(&record.report.service);
            }
        }
        if let Some(place) = self.places.get_mut(&place_of(&record.report)) {
            place.engines.remove(&(engine_position(id), id.clone()));
            place.present -= u32::from(is_present(record));
        }
    }

    /// Has relays told of another part of a place whose size has changed much.
    pub(super) fn follow_shares(&mut self, place: &EnginePlace) {
        if let Some(held) = self.places.get_mut(place)
            && held.shares.follow(held.engines.len())
        {
            self.shares_revision = self.revision;
        }
    }
}
