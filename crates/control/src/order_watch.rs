//! Records when this process first observed each order note in the log, and which replica wrote it.
//!
//! A leader commits a note before each order to an engine or the platform, and sends the order within its validity. A
//! new leader therefore delays orders only for subjects that another replica has recently noted: such an order was sent
//! at the latest one validity period after this process first observed the note.

use crate::state::orders::{OrderNote, OrderState};
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct ObservedNote {
    note: OrderNote,
    observed_at: Duration,
}

/// Order notes with the time of their first observation, by this process's monotonic clock.
#[derive(Debug, Default)]
pub struct OrderWatch {
    notes: BTreeMap<OrderSubject, ObservedNote>,
    /// Total number of notes and number of subjects at the last observation; unchanged numbers mean no new notes.
    last_counts: (u64, usize),
}

impl OrderWatch {
    /// Observes the notes in the locally applied state at `now`.
    pub fn observe(&mut self, state: &OrderState, now: Duration) {
        let notes = state.notes();
        let counts = (state.notes_recorded(), notes.len());
        if std::mem::replace(&mut self.last_counts, counts) == counts {
            return;
        }
        self.notes.retain(|subject, _| notes.contains_key(subject));
        for (subject, note) in notes {
            match self.notes.get(subject) {
                Some(observed) if observed.note == *note => {}
                _ => {
                    self.notes.insert(subject.clone(), ObservedNote { note: *note, observed_at: now });
                }
            }
        }
    }

    /// The earliest time at which `holder` may send orders about a subject: `delay` after another replica's note was
    /// first observed, or zero without such a note.
    pub fn earliest_order_time(&self, subject: &OrderSubject, holder: ReplicaId, delay: Duration) -> Duration {
        let other_holder_note = self.notes.get(subject).filter(|observed| observed.note.holder != holder);
        other_holder_note.map_or(Duration::ZERO, |observed| observed.observed_at + delay)
    }
}
