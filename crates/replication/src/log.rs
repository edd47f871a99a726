//! The in-memory part of the log.

use crate::membership::Membership;
use bitcode::{Decode, Encode};
use std::collections::VecDeque;

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LogEntry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum EntryPayload {
    /// No content: the first entry of a new leader.
    Empty,
    /// An encoded command of the state machine.
    Command(Vec<u8>),
    /// A new membership, in force as soon as it is appended.
    Membership(Membership),
}

impl EntryPayload {
    /// Approximate size in bytes.
    pub fn size(&self) -> u64 {
        match self {
            Self::Command(bytes) => bytes.len() as u64 + 32,
            _ => 256,
        }
    }
}

/// Entries after a base index, and the memberships in force from it on.
#[derive(Clone, Debug, Default)]
pub struct MemoryLog {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<LogEntry>,
    memberships: Vec<(u64, Membership)>,
    /// Approximate size of the entries in bytes.
    bytes: u64,
}

impl MemoryLog {
    /// An empty log that follows a snapshot.
    pub fn new(base_index: u64, base_term: u64, membership: Membership) -> Self {
        Self { base_index, base_term, entries: VecDeque::new(), memberships: vec![(base_index, membership)], bytes: 0 }
    }

    /// Index of the entry before the first one in memory.
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Index of the last entry, or the base index.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Term of the entry at `index`, if it is in memory or at the base index.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Up to `limit` entries from `first` on, and no more than `max_bytes` unless the first one alone is larger.
    /// `None` if `first` is not in memory, except empty if it is the next index.
    pub fn entries_within(&self, first: u64, limit: usize, max_bytes: u64) -> Option<Vec<LogEntry>> {
        let offset = first.checked_sub(self.base_index + 1)? as usize;
        if offset > self.entries.len() {
            return None;
        }
        let mut bytes = 0;
        let within = |entry: &&LogEntry| {
            bytes += entry.payload.size();
            entry.index == first || bytes <= max_bytes
        };
        Some(self.entries.iter().skip(offset).take(limit).take_while(within).cloned().collect())
    }

    /// Up to `limit` entries from `first` on. `None` if `first` is not in memory, except empty if it is the next
    /// index.
    pub fn entries_from(&self, first: u64, limit: usize) -> Option<Vec<LogEntry>> {
        let offset = first.checked_sub(self.base_index + 1)? as usize;
        if offset > self.entries.len() {
            return None;
        }
        Some(self.entries.iter().skip(offset).take(limit).cloned().collect())
    }

    /// Appends `entry`, replacing entries from its index on.
    pub fn push(&mut self, entry: LogEntry) {
        self.truncate(entry.index - 1);
        assert_eq!(entry.index, self.last_index() + 1, "a log has no gaps");
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.bytes += entry.payload.size();
        self.entries.push_back(entry);
    }

    /// Removes all entries after `last`.
    pub fn truncate(&mut self, last: u64) {
        let keep = last.saturating_sub(self.base_index) as usize;
        while self.entries.len() > keep {
            if let Some(dropped) = self.entries.pop_back() {
                self.bytes -= dropped.payload.size();
            }
        }
        self.memberships.retain(|(index, _)| *index <= last.max(self.base_index));
    }

    /// Approximate size of the entries in memory, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Index up to which entries must be removed to leave at most `bytes` in memory.
    pub fn excess_end(&self, bytes: u64) -> u64 {
        let mut remaining_bytes = self.bytes;
        let mut index = self.base_index;
        for entry in &self.entries {
            if remaining_bytes <= bytes {
                break;
            }
            remaining_bytes -= entry.payload.size();
            index = entry.index;
        }
        index
    }

    /// Removes all entries up to `index`.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let membership = self.membership_at(index).clone();
        let drop_count = (index - self.base_index) as usize;
        for dropped in self.entries.drain(..drop_count) {
            self.bytes -= dropped.payload.size();
        }
        self.base_index = index;
        self.base_term = term;
        self.memberships.retain(|(at, _)| *at > index);
        self.memberships.insert(0, (index, membership));
    }

    /// The newest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships.last().expect("a log always has a membership").1
    }

    /// Index of the entry with the newest membership.
    pub fn membership_index(&self) -> u64 {
        self.memberships.last().expect("a log always has a membership").0
    }

    /// The membership in force at `index`.
    pub fn membership_at(&self, index: u64) -> &Membership {
        let mut newest_first = self.memberships.iter().rev();
        let found = newest_first.find(|(at, _)| *at <= index);
        &found.unwrap_or(&self.memberships[0]).1
    }
}
