//! The machines that keep the group's data, by name, and those that are being emptied.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::StoreRecord;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How far a machine's retirement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Retirement {
    /// Not asked for.
    None,
    /// Its replica is to be replaced.
    Running,
    /// It holds nothing that anyone needs.
    Completed,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Store {
    /// What it told of itself.
    pub record: StoreRecord,
    /// How far its retirement is.
    pub retirement: Retirement,
}

/// Every machine that ever introduced itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StoreTable {
    stores: BTreeMap<String, Store>,
}

impl StoreTable {
    /// A machine.
    pub fn get(&self, name: &str) -> Option<&Store> {
        self.stores.get(name)
    }

    /// Whether this is what the table holds.
    pub fn holds(&self, record: &StoreRecord) -> bool {
        self.stores.get(&record.name).is_some_and(|store| store.record == *record)
    }

    /// Takes what a machine tells of itself; its retirement stands.
    pub fn register(&mut self, record: StoreRecord) {
        let retirement = self.stores.get(&record.name).map_or(Retirement::None, |store| store.retirement);
        self.stores.insert(record.name.clone(), Store { record, retirement });
    }

    /// Where the replicas of machines in `zone`, or in any, listen that are not being emptied.
    pub fn addresses<'a>(&'a self, zone: Option<&'a str>) -> impl Iterator<Item = SocketAddr> + 'a {
        let staying = self.stores.values().filter(|store| store.retirement == Retirement::None);
        let there = staying.filter(move |store| zone.is_none_or(|zone| store.record.zone == zone));
        there.map(|store| store.record.address)
    }

    /// Where the replicas of machines listen that have not been taken away, also of those that are being emptied.
    pub fn present(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let present = self.stores.values().filter(|store| store.retirement != Retirement::Completed);
        present.map(|store| store.record.address)
    }

    /// Begins a retirement; `false` for an unknown machine.
    pub fn retire(&mut self, name: &str) -> bool {
        let Some(store) = self.stores.get_mut(name) else {
            return false;
        };
        if store.retirement == Retirement::None {
            store.retirement = Retirement::Running;
        }
        true
    }

    /// Ends a retirement.
    pub fn complete(&mut self, name: &str) -> bool {
        let store = self.stores.get_mut(name).filter(|store| store.retirement == Retirement::Running);
        store.map(|store| store.retirement = Retirement::Completed).is_some()
    }

    /// Machines in this stage of retirement.
    pub fn in_stage(&self, stage: Retirement) -> impl Iterator<Item = &StoreRecord> {
        self.stores.values().filter(move |store| store.retirement == stage).map(|store| &store.record)
    }

    /// Replicas that are not to be members.
    pub fn unwanted_replicas(&self) -> impl Iterator<Item = ReplicaId> {
        let unwanted = self.stores.values().filter(|store| store.retirement != Retirement::None);
        unwanted.map(|store| store.record.replica)
    }
}
