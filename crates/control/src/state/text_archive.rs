//! The texts of listed results: bytes that never change again, kept outside snapshots.
//!
//! Texts are appended in the order of the log. Whenever enough have come they are sealed as a segment, which replication
//! writes to a file of its own. Memory keeps the newest segments only.

use bitcode::{Decode, Encode};
use saddlerelay_replication::segments::Segment;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes that are sealed together: large beside what a file costs, small beside what a replica reads between heartbeats.
const SEGMENT_BYTES: usize = 1024 * 1024;

/// Bytes of segments that stay in memory although they are on disk: the last seconds of a busy group, which trainers still
/// read and later jobs take texts from.
const MEMORY_BYTES: u64 = 4 * 1024 * 1024;

/// Texts that were read back from disk.
#[derive(Clone, Debug, Default)]
pub struct LoadedTexts(BTreeMap<TextPlace, Vec<u8>>);

impl LoadedTexts {
    /// Takes the texts at `places` that stand in segment `number`.
    pub fn take_from(&mut self, number: u64, segment: &[u8], places: &[TextPlace]) {
        for place in places.iter().filter(|place| place.segment == number) {
            if let Some(text) = place.of(segment) {
                self.0.insert(*place, text.to_vec());
            }
        }
    }
}

/// Where a text stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct TextPlace {
    segment: u64,
    offset: u32,
    length: u32,
}

impl TextPlace {
    /// The segment that it stands in.
    pub fn segment(&self) -> u64 {
        self.segment
    }

    /// Length of the text in bytes.
    pub fn length(&self) -> usize {
        self.length as usize
    }

    fn of<'a>(&self, segment: &'a [u8]) -> Option<&'a [u8]> {
        let start = self.offset as usize;
        segment.get(start..start + self.length as usize)
    }
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct Sealed {
    segment: Segment,
    /// Texts in it that are still referred to.
    texts: u32,
}

#[derive(Clone, Debug)]
struct InMemory {
    bytes: Rc<Vec<u8>>,
    /// Only memory is known to hold it.
    unreleased: bool,
}

/// The texts.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub struct TextArchive {
    sealed: BTreeMap<u64, Sealed>,
    /// The number of the segment that is being filled.
    filling: u64,
    /// Its bytes so far.
    tail: Vec<u8>,
    /// Texts in it that are still referred to.
    tail_texts: u32,
    /// What memory holds of the sealed segments. Differs among replicas.
    #[bitcode(skip)]
    memory: BTreeMap<u64, InMemory>,
}

impl PartialEq for TextArchive {
    /// Compares what is replicated.
    fn eq(&self, other: &Self) -> bool {
        let replicated = |archive: &Self| (archive.filling, archive.tail_texts);
        replicated(self) == replicated(other) && self.sealed == other.sealed && self.tail == other.tail
    }
}

impl TextArchive {
    /// Appends a text.
    pub fn append(&mut self, text: &[u8]) -> TextPlace {
        let place = TextPlace { segment: self.filling, offset: self.tail.len() as u32, length: text.len() as u32 };
        self.tail.extend_from_slice(text);
        self.tail_texts += 1;
        if self.tail.len() >= SEGMENT_BYTES {
            self.seal();
        }
        place
    }

    fn seal(&mut self) {
        let number = self.filling;
        let bytes = std::mem::take(&mut self.tail);
        let texts = std::mem::take(&mut self.tail_texts);
        self.filling += 1;
        if texts > 0 {
            self.sealed.insert(number, Sealed { segment: Segment::of(number, &bytes), texts });
            self.memory.insert(number, InMemory { bytes: Rc::new(bytes), unreleased: true });
        }
    }

    /// A text is no longer referred to.
    pub fn forget(&mut self, place: &TextPlace) {
        if place.segment == self.filling {
            self.tail_texts = self.tail_texts.saturating_sub(1);
            return;
        }
        let Some(sealed) = self.sealed.get_mut(&place.segment) else {
            return;
        };
        sealed.texts = sealed.texts.saturating_sub(1);
        if sealed.texts == 0 {
            self.sealed.remove(&place.segment);
            self.memory.remove(&place.segment);
        }
    }

    /// A text, if memory holds its segment or `loaded` holds it.
    pub fn text<'a>(&'a self, place: &TextPlace, loaded: &'a LoadedTexts) -> Option<&'a [u8]> {
        if place.segment == self.filling {
            return place.of(&self.tail);
        }
        let in_memory = self.memory.get(&place.segment).and_then(|held| place.of(&held.bytes));
        in_memory.or_else(|| loaded.0.get(place).map(Vec::as_slice))
    }

    /// The sealed segments, by rising number.
    pub fn segments(&self) -> Vec<Segment> {
        self.sealed.values().map(|sealed| sealed.segment).collect()
    }

    /// A sealed segment's bytes, if memory holds them.
    pub fn segment_bytes(&self, number: u64) -> Option<Rc<Vec<u8>>> {
        self.memory.get(&number).map(|held| held.bytes.clone())
    }

    /// The oldest segment that only memory is known to hold.
    pub fn unreleased_segment(&self) -> Option<Segment> {
        let (number, _) = self.memory.iter().find(|(_, held)| held.unreleased)?;
        self.sealed.get(number).map(|sealed| sealed.segment)
    }

    /// The segment is on disk. It leaves memory once enough newer ones have come.
    pub fn release_segment(&mut self, number: u64) {
        if let Some(held) = self.memory.get_mut(&number) {
            held.unreleased = false;
        }
        let mut newer_bytes = 0;
        self.memory = std::mem::take(&mut self.memory)
            .into_iter()
            .rev()
            .filter(|(_, held)| {
                newer_bytes += held.bytes.len() as u64;
                held.unreleased || newer_bytes <= MEMORY_BYTES
            })
            .collect();
    }
}
