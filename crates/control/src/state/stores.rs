//! The machines that store the group's data, and their retirement.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::StoreRecord;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Retirement state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Retirement {
    /// Not requested.
    None,
    /// Requested; the machine's replica is being replaced.
    Running,
    /// The machine's replica was removed; the machine holds no data that is still needed.
    Completed,
}

/// A registered machine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Store {
    /// The record that the machine registered.
    pub record: StoreRecord,
    /// Current state of its retirement.
    pub retirement: Retirement,
}

/// All machines that were ever registered, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StoreTable {
    stores: BTreeMap<String, Store>,
}

impl StoreTable {
    /// Looks up a machine.
    pub fn get(&self, name: &str) -> Option<&Store> {
        self.stores.get(name)
    }

    /// Whether this record is already registered without changes.
    pub fn is_registered(&self, record: &StoreRecord) -> bool {
        self.stores.get(&record.name).is_some_and(|store| store.record == *record)
    }

    /// Registers a machine or updates its record; its retirement state is kept.
    pub fn register(&mut self, record: StoreRecord) {
        let retirement = self.stores.get(&record.name).map_or(Retirement::None, |store| store.retirement);
        self.stores.insert(record.name.clone(), Store { record, retirement });
    }

    /// Replica addresses of machines without a retirement, in `zone` or, with `None`, in all zones.
    pub fn addresses<'a>(&'a self, zone: Option<&'a str>) -> impl Iterator<Item = SocketAddr> + 'a {
        let active = self.stores.values().filter(|store| store.retirement == Retirement::None);
        let in_zone = active.filter(move |store| zone.is_none_or(|zone| store.record.zone == zone));
        in_zone.map(|store| store.record.address)
    }

    /// Replica addresses of machines whose retirement is not completed.
    pub fn present(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let present = self.stores.values().filter(|store| store.retirement != Retirement::Completed);
        present.map(|store| store.record.address)
    }

    /// Zones of machines whose retirement is not completed, by replica address.
    pub fn zones(&self) -> BTreeMap<SocketAddr, String> {
        let present = self.stores.values().filter(|store| store.retirement != Retirement::Completed);
        present.map(|store| (store.record.address, store.record.zone.clone())).collect()
    }

    /// Starts a retirement; `false` for an unknown machine.
    pub fn retire(&mut self, name: &str) -> bool {
        let Some(store) = self.stores.get_mut(name) else {
            return false;
        };
        if store.retirement == Retirement::None {
            store.retirement = Retirement::Running;
        }
        true
    }

    /// Completes a retirement; `false` unless one is running.
    pub fn complete(&mut self, name: &str) -> bool {
        let store = self.stores.get_mut(name).filter(|store| store.retirement == Retirement::Running);
        store.map(|store| store.retirement = Retirement::Completed).is_some()
    }

    /// Machines in this retirement state.
    pub fn in_stage(&self, stage: Retirement) -> impl Iterator<Item = &StoreRecord> {
        self.stores.values().filter(move |store| store.retirement == stage).map(|store| &store.record)
    }

    /// Replicas of machines whose retirement was requested or completed; they must not be members.
    pub fn unwanted_replicas(&self) -> impl Iterator<Item = ReplicaId> {
        let retiring = self.stores.values().filter(|store| store.retirement != Retirement::None);
        retiring.map(|store| store.record.replica)
    }
}
