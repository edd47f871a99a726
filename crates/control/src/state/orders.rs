//! Orders to engines and to the platform. Before a replica sends an order it commits an order intent, so that the next
//! leader can wait until an earlier order can no longer arrive.

use bitcode::{Decode, Encode};
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;

/// Record that a replica was about to send an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OrderIntent {
    /// The replica that was about to send the order.
    pub holder: ReplicaId,
    /// Unique, ascending number of the intent.
    pub number: u64,
}

/// The holder of orders and the newest intent of each subject.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct OrderState {
    pub(super) holder: Option<ReplicaId>,
    pub(super) intents: BTreeMap<OrderSubject, OrderIntent>,
    pub(super) intents_recorded: u64,
}

impl OrderState {
    /// The replica that recorded the newest intent.
    pub fn holder(&self) -> Option<ReplicaId> {
        self.holder
    }

    /// The newest intent of each subject.
    pub fn intents(&self) -> &BTreeMap<OrderSubject, OrderIntent> {
        &self.intents
    }

    /// Number of intents recorded so far.
    pub fn intents_recorded(&self) -> u64 {
        self.intents_recorded
    }

    /// Records that `holder` is about to send orders about these subjects; returns whether another replica was the
    /// holder.
    pub fn record(&mut self, holder: ReplicaId, subjects: Vec<OrderSubject>) -> bool {
        for subject in subjects {
            self.intents_recorded += 1;
            self.intents.insert(subject, OrderIntent { holder, number: self.intents_recorded });
        }
        let before = self.holder.replace(holder);
        before.is_some_and(|before| before != holder)
    }

    /// Removes the intent of an engine whose name is not used again.
    pub fn remove_engine(&mut self, instance: &InstanceId) {
        self.intents.remove(&OrderSubject::engine(instance));
    }
}
