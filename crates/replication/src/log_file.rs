//! Index of the log file, for reading entries that are no longer in memory.

use crate::wal::WalRecord;
use std::collections::VecDeque;

/// Location of an entry in the log file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryLocation {
    /// Index of the entry.
    pub index: u64,
    /// Byte offset of its record.
    pub offset: u64,
    /// Length of its record in bytes.
    pub length: u64,
}

/// Locations of all entries in the log file that were not replaced, ordered by consecutive indexes.
#[derive(Clone, Debug, Default)]
pub struct LogFileIndex {
    locations: VecDeque<EntryLocation>,
    file_length: u64,
}

impl LogFileIndex {
    /// Records that a record of `length` bytes was appended. An entry replaces those from its index on.
    pub fn push(&mut self, record: &WalRecord, length: u64) {
        if let WalRecord::Entry(entry) = record {
            while self.locations.back().is_some_and(|last| last.index >= entry.index) {
                self.locations.pop_back();
            }
            if self.locations.back().is_some_and(|last| last.index + 1 != entry.index) {
                self.locations.clear();
            }
            self.locations.push_back(EntryLocation { index: entry.index, offset: self.file_length, length });
        }
        self.file_length += length;
    }

    /// Locations of the entries from `first` on: at least two if they exist, and further ones within `max_bytes`.
    pub fn locations_from(&self, first: u64, max_bytes: u64) -> Vec<EntryLocation> {
        let Some(start) = self.locations.front().and_then(|front| first.checked_sub(front.index)) else {
            return Vec::new();
        };
        let locations = self.locations.iter().skip(start as usize);
        let base = locations.clone().next().map_or(0, |location| location.offset);
        let within =
            |entry: &&EntryLocation| entry.index <= first + 1 || entry.offset + entry.length <= base + max_bytes;
        locations.take_while(within).copied().collect()
    }
}
