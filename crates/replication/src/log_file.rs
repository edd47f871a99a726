//! Where the entries of the log stand in its file, so that those no longer in memory can be read back.

use crate::wal::WalRecord;
use std::collections::VecDeque;

/// One entry's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryPlace {
    /// The entry's index.
    pub index: u64,
    /// Offset of its record in the file, in bytes.
    pub offset: u64,
    /// Length of its record in bytes.
    pub length: u64,
}

/// The places of all entries that the file holds and that were not replaced, by rising index without gaps.
#[derive(Clone, Debug, Default)]
pub struct LogFileIndex {
    places: VecDeque<EntryPlace>,
    file_length: u64,
}

impl LogFileIndex {
    /// Notes that a record of so many bytes was appended. An entry replaces those from its index on.
    pub fn push(&mut self, record: &WalRecord, length: u64) {
        if let WalRecord::Entry(entry) = record {
            while self.places.back().is_some_and(|last| last.index >= entry.index) {
                self.places.pop_back();
            }
            if self.places.back().is_some_and(|last| last.index + 1 != entry.index) {
                self.places.clear();
            }
            self.places.push_back(EntryPlace { index: entry.index, offset: self.file_length, length });
        }
        self.file_length += length;
    }

    /// The places of the entries from `first` on, two if they are there, and further ones within `most_bytes` of the file.
    pub fn from(&self, first: u64, most_bytes: u64) -> Vec<EntryPlace> {
        let Some(start) = self.places.front().and_then(|front| first.checked_sub(front.index)) else {
            return Vec::new();
        };
        let places = self.places.iter().skip(start as usize);
        let begins = places.clone().next().map_or(0, |place| place.offset);
        let within =
            |place: &&EntryPlace| place.index <= first + 1 || place.offset + place.length <= begins + most_bytes;
        places.take_while(within).copied().collect()
    }
}
