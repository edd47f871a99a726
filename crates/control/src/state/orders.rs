//! Orders to engines and to the platform: which replica was about to give the newest one about each subject.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;

/// That an order was about to be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OrderNote {
    /// Who was to give it.
    pub holder: ReplicaId,
    /// Counts notes; tells them apart.
    pub number: u64,
}

/// The newest note of each subject.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct OrderState {
    pub(super) holder: Option<ReplicaId>,
    pub(super) notes: BTreeMap<OrderSubject, OrderNote>,
    pub(super) notes_taken: u64,
}

impl OrderState {
    /// Who noted an order last.
    pub fn holder(&self) -> Option<ReplicaId> {
        self.holder
    }

    /// The newest note of each subject.
    pub fn notes(&self) -> &BTreeMap<OrderSubject, OrderNote> {
        &self.notes
    }

    /// How many notes there have been.
    pub fn notes_taken(&self) -> u64 {
        self.notes_taken
    }

    /// Notes that `holder` is about to give orders about these subjects; returns whether another gave the orders before.
    pub fn note(&mut self, holder: ReplicaId, subjects: Vec<OrderSubject>) -> bool {
        for subject in subjects {
            self.notes_taken += 1;
            self.notes.insert(subject, OrderNote { holder, number: self.notes_taken });
        }
        let before = self.holder.replace(holder);
        before.is_some_and(|before| before != holder)
    }

    /// Forgets an engine whose name never comes back.
    pub fn forget_engine(&mut self, instance: &InstanceId) {
        self.notes.remove(&OrderSubject::engine(instance));
    }
}
