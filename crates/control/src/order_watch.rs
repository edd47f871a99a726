//! When this process saw in the log that an order was about to be given, and by whom.
//!
//! A holder commits a note before each order and gives the order soon after. Whoever takes over need not wait out the
//! lease of orders for every subject then, only for those about which an order may have been given lately: an order noted
//! in the log was given no later than its validity after this process first saw the note.

use crate::state::orders::{OrderNote, OrderState};
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::identity::ReplicaId;
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
    notes: BTreeMap<OrderSubject, SeenNote>,
    /// How many notes there were at the last look, and about how many subjects.
    looked_at: (u64, usize),
}

impl OrderWatch {
    /// Takes the notes that this process's copy of the state holds at `now`.
    pub fn see(&mut self, state: &OrderState, now: Duration) {
        let notes = state.notes();
        let held = (state.notes_taken(), notes.len());
        if std::mem::replace(&mut self.looked_at, held) == held {
            return;
        }
        self.notes.retain(|subject, _| notes.contains_key(subject));
        for (subject, note) in notes {
            match self.notes.get(subject) {
                Some(seen) if seen.note == *note => {}
                _ => {
                    self.notes.insert(subject.clone(), SeenNote { note: *note, seen_at: now });
                }
            }
        }
    }

    /// From when on `holder` may give orders about a subject, if every holder's orders are apart by `distance` from the
    /// first sight of the note of another's.
    pub fn free_at(&self, subject: &OrderSubject, holder: ReplicaId, distance: Duration) -> Duration {
        let by_another = self.notes.get(subject).filter(|seen| seen.note.holder != holder);
        by_another.map_or(Duration::ZERO, |seen| seen.seen_at + distance)
    }
}
