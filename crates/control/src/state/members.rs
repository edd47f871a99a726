//! Membership of relays and engines.

use bitcode::{Decode, Encode};
use saddlerelay_types::identity::{EngineId, Fence, Incarnation};
use saddlerelay_types::membership::{EngineRecord, RelayDescription};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of lost relay incarnations that are recorded; the oldest is evicted.
const MAX_LOST_RELAYS: usize = 8192;

/// Relays and engines, and the counter of fencing tokens.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct MemberTable {
    relays: BTreeMap<Incarnation, RelayDescription>,
    lost: BTreeSet<Incarnation>,
    lost_order: VecDeque<Incarnation>,
    engines: BTreeMap<EngineId, EngineRecord>,
    engines_by_revision: BTreeMap<u64, EngineId>,
    engine_revision: u64,
    fence: Fence,
}

impl MemberTable {
    /// The relays that have joined and were not lost.
    pub fn relays(&self) -> &BTreeMap<Incarnation, RelayDescription> {
        &self.relays
    }

    /// Whether this incarnation has joined and was not declared lost.
    pub fn is_live(&self, relay: Incarnation) -> bool {
        self.relays.contains_key(&relay)
    }

    /// Whether this incarnation was declared lost.
    pub fn is_lost(&self, relay: Incarnation) -> bool {
        self.lost.contains(&relay)
    }

    /// Adds a relay; `false` if it was declared lost before.
    pub fn add_relay(&mut self, description: RelayDescription) -> bool {
        if self.is_lost(description.incarnation) {
            return false;
        }
        self.relays.insert(description.incarnation, description);
        true
    }

    /// Declares a relay lost; `false` if it is not a live member.
    pub fn declare_relay_lost(&mut self, relay: Incarnation) -> bool {
        let was_live = self.relays.remove(&relay).is_some();
        if was_live {
            self.lost.insert(relay);
            self.lost_order.push_back(relay);
        }
        while self.lost_order.len() > MAX_LOST_RELAYS {
            if let Some(oldest) = self.lost_order.pop_front() {
                self.lost.remove(&oldest);
            }
        }
        was_live
    }

    /// All engines.
    pub fn engines(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values()
    }

    /// Looks up an engine.
    pub fn engine(&self, id: &EngineId) -> Option<&EngineRecord> {
        self.engines.get(id)
    }

    /// The revision of the newest change to any engine.
    pub fn engine_revision(&self) -> u64 {
        self.engine_revision
    }

    /// The engines changed after revision `since`.
    pub fn engines_changed_after(&self, since: u64) -> Vec<EngineRecord> {
        let changed = self.engines_by_revision.range(since + 1..);
        changed.filter_map(|(_, id)| self.engines.get(id)).cloned().collect()
    }

    /// Writes an engine at the next revision.
    pub fn put_engine(&mut self, mut record: EngineRecord) {
        self.engine_revision += 1;
        record.revision = self.engine_revision;
        let id = record.description.id.clone();
        if let Some(before) = self.engines.insert(id.clone(), record) {
            self.engines_by_revision.remove(&before.revision);
        }
        self.engines_by_revision.insert(self.engine_revision, id);
    }

    /// Issues the next fencing token.
    pub fn issue_fence(&mut self) -> Fence {
        self.fence = self.fence.next();
        self.fence
    }
}
