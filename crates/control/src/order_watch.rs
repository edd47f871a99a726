//! Records when this process first observed each order intent in the log, and which replica wrote it.
//!
//! A leader commits an intent before each order to an engine or the platform, and sends the order within its validity.
//! A new leader therefore delays orders only for subjects with a recent intent of another replica: such an order was
//! sent at the latest one validity period after this process first observed the intent.

use crate::state::orders::{OrderIntent, OrderState};
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct ObservedIntent {
    intent: OrderIntent,
    observed_at: Duration,
}

/// Order intents with the time of their first observation, by this process's monotonic clock.
#[derive(Debug, Default)]
pub struct OrderWatch {
    intents: BTreeMap<OrderSubject, ObservedIntent>,
    /// Total number of intents and number of subjects at the last observation; unchanged numbers mean no new intents.
    last_counts: (u64, usize),
}

impl OrderWatch {
    /// Observes the intents in the locally applied state at `now`.
    pub fn observe(&mut self, state: &OrderState, now: Duration) {
        let intents = state.intents();
        let counts = (state.intents_recorded(), intents.len());
        if std::mem::replace(&mut self.last_counts, counts) == counts {
            return;
        }
        self.intents.retain(|subject, _| intents.contains_key(subject));
        for (subject, intent) in intents {
            match self.intents.get(subject) {
                Some(observed) if observed.intent == *intent => {}
                _ => {
                    self.intents.insert(subject.clone(), ObservedIntent { intent: *intent, observed_at: now });
                }
            }
        }
    }

    /// The earliest time at which `holder` may send orders about a subject: `delay` after another replica's intent was
    /// first observed, or zero without such an intent.
    pub fn earliest_order_time(&self, subject: &OrderSubject, holder: ReplicaId, delay: Duration) -> Duration {
        let other_holder_intent = self.intents.get(subject).filter(|observed| observed.intent.holder != holder);
        other_holder_intent.map_or(Duration::ZERO, |observed| observed.observed_at + delay)
    }
}
