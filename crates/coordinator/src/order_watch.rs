//! When this process saw in the log that an order to an engine was about to be given, and by whom.
//!
//! A holder commits a note before each order and gives the order soon after. Whoever takes over need not wait out the
//! lease of orders at every engine then, only at those that may have had an order lately: an order noted in the log was
//! given no later than its validity after this process first saw the note.

use saddlerelay_control::state::weights::OrderNote;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct SeenNote {
    note: OrderNote,
    seen_at: Duration,
}

/// The notes as this process has seen them, by its own clock.
#[derive(Debug, Default)]
pub struct OrderWatch {
    notes: BTreeMap<InstanceId, SeenNote>,
}

impl OrderWatch {
    /// Takes the notes that this process's copy of the state holds at `now`.
    pub fn see(&mut self, notes: &BTreeMap<InstanceId, OrderNote>, now: Duration) {
        self.notes.retain(|instance, _| notes.contains_key(instance));
        for (instance, note) in notes {
            match self.notes.get(instance) {
                Some(seen) if seen.note == *note => {}
                _ => {
                    self.notes.insert(instance.clone(), SeenNote { note: *note, seen_at: now });
                }
            }
        }
    }

    /// From when on `holder` may give orders to an engine, if every holder's orders are apart by `distance` from the
    /// first sight of the note of another's.
    pub fn free_at(&self, instance: &InstanceId, holder: ReplicaId, distance: Duration) -> Duration {
        let by_another = self.notes.get(instance).filter(|seen| seen.note.holder != holder);
        by_another.map_or(Duration::ZERO, |seen| seen.seen_at + distance)
    }
}
